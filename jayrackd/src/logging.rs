//! Structured logging: one JSON object a line on standard error.
//!
//! Each object has `time_ms`, `level`, `target`, `message` and the key-value pairs of the log record.
use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

use crate::clock::unix_ms;

/// Installs the logger. The environment variable `RUST_LOG` sets the level; the default is `info`.
pub fn init() {
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .format(|out, record| writeln!(out, "{}", json_line(record)))
        .try_init();
}

/// Converts `record` to one JSON object.
pub fn json_line(record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = FieldMap(Map::new());
    fields.0.insert("time_ms".into(), unix_ms().into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    fields.0.insert("target".into(), record.target().into());
    fields
        .0
        .insert("message".into(), record.args().to_string().into());
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

struct FieldMap(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldMap {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.as_str().to_string(), json);
        Ok(())
    }
}
