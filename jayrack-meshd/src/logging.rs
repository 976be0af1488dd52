//! Logs as JSON lines on standard output: limited in rate, and written without blocking.
use std::{
    io::{self, Write},
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Instant, SystemTime},
};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// Target of log lines about single requests; all other lines are about the fleet's state and the process.
pub const REQUEST: &str = "request";
/// Maximum number of lines about requests per second.
const REQUEST_LINES_PER_SECOND: u64 = 40;
/// Maximum number of other lines per second.
const OTHER_LINES_PER_SECOND: u64 = 40;
/// One line in so many is reserved for warnings and errors.
const RESERVED_DIVISOR: u64 = 4;
/// One request in so many is logged from arrival to answer; the others are logged only if they fail.
const SAMPLING_DIVISOR: u64 = 16;

static REQUEST_BUDGET: Mutex<Option<LineBudget>> = Mutex::new(None);
static OTHER_BUDGET: Mutex<Option<LineBudget>> = Mutex::new(None);
static DROPPED: AtomicU64 = AtomicU64::new(0);

#[derive(Debug)]
struct LineBudget {
    second: Instant,
    written: u64,
}

/// Installs the logger; the environment variable `RUST_LOG` sets the level, `info` by default.
pub fn init() {
    if let Err(error) = make_nonblocking() {
        eprintln!("jayrack-meshd: cannot make standard output non-blocking: {error}");
    }
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(UnbufferedStdout)))
        .format(|out, record| {
            if is_within_budget(record) {
                writeln!(out, "{}", format_line(record))
            } else {
                DROPPED.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
        })
        .try_init();
}

/// Number of lines dropped since the start, by the rate limit or because the reader of the output was too slow.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn make_nonblocking() -> io::Result<()> {
    let output = io::stdout();
    let flags = rustix::fs::fcntl_getfl(&output)?;
    rustix::fs::fcntl_setfl(&output, flags | rustix::fs::OFlags::NONBLOCK)?;
    Ok(())
}

/// Standard output without the standard library's buffer, whose lock could block.
#[derive(Debug)]
struct UnbufferedStdout;

impl Write for UnbufferedStdout {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match rustix::io::write(io::stdout(), line) {
            Ok(count) if count == line.len() => {}
            Ok(_) | Err(_) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Whether all lines of the request `id` are logged; every daemon makes the same decision for a request.
pub fn is_sampled(id: &str) -> bool {
    // The identifier of a nested call starts with that of its root request.
    let request = id.split('.').next().unwrap_or(id);
    xxhash_rust::xxh3::xxh3_64(request.as_bytes()).is_multiple_of(SAMPLING_DIVISOR)
}

/// Level of a line that is logged only for sampled requests.
pub fn request_level(id: &str) -> log::Level {
    if is_sampled(id) {
        log::Level::Info
    } else {
        log::Level::Debug
    }
}

/// Whether `record` is within the rate limit of the current second; counts it if so.
fn is_within_budget(record: &log::Record<'_>) -> bool {
    let (budget, lines) = if record.target() == REQUEST {
        (&REQUEST_BUDGET, REQUEST_LINES_PER_SECOND)
    } else {
        (&OTHER_BUDGET, OTHER_LINES_PER_SECOND)
    };
    let limit = match record.level() {
        log::Level::Error | log::Level::Warn => lines,
        _ => lines - lines / RESERVED_DIVISOR,
    };
    let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let budget = budget.get_or_insert(LineBudget {
        second: now,
        written: 0,
    });
    if now.duration_since(budget.second).as_secs() >= 1 {
        budget.second = now;
        budget.written = 0;
    }
    if budget.written >= limit {
        return false;
    }
    budget.written += 1;
    true
}

/// Formats `record` as one JSON object.
fn format_line(record: &log::Record<'_>) -> serde_json::Value {
    let mut fields = FieldMap(Map::new());
    fields.0.insert("time_ms".into(), unix_ms().into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    fields
        .0
        .insert("event".into(), record.args().to_string().into());
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("log_error".into(), error.to_string().into());
    }
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

/// Milliseconds since the Unix epoch by the host's clock, which may be set at any time; only for logs, epochs and
/// seeds.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
