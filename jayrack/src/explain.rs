//! The trail of one request through the logs of several daemons.
use serde_json::{Map, Value};

/// Fields that stand in the columns of a line or say nothing about the request.
const OMITTED_FIELDS: [&str; 4] = ["time_ms", "event", "level", "id"];

/// One line of a trail.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine {
    /// Time by the clock of the host that wrote the line, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// File, and what stands before the JSON object in the line.
    pub source: String,
    /// The line's fields.
    pub fields: Map<String, Value>,
}

/// Collects the lines of `text` about request `id` and its calls.
pub fn trace_lines(id: &str, source: &str, text: &str) -> Vec<TraceLine> {
    let call_prefix = format!("{id}.");
    let lines = text.lines().filter_map(|line| parse(source, line));
    lines
        .filter(|line| {
            let line_id = line.fields.get("id").and_then(Value::as_str).unwrap_or("");
            line_id == id || line_id.starts_with(&call_prefix)
        })
        .collect()
}

/// Parses a line; what stands before its JSON object, such as the name of a host, is kept.
fn parse(source: &str, line: &str) -> Option<TraceLine> {
    let start = line.find('{')?;
    let Value::Object(fields) = serde_json::from_str(&line[start..]).ok()? else {
        return None;
    };
    let prefix = line[..start].trim();
    Some(TraceLine {
        time_ms: fields.get("time_ms")?.as_u64()?,
        source: format!("{source} {prefix}").trim().to_string(),
        fields,
    })
}

/// Writes a trail in the order of time.
pub fn render(id: &str, mut lines: Vec<TraceLine>) -> String {
    if lines.is_empty() {
        return format!("no line about {id}; whole trails are kept of one request in sixteen");
    }
    lines.sort_by_key(|line| line.time_ms);
    let start_ms = lines[0].time_ms;
    let rows = lines.iter().map(|line| {
        let text = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("");
        let details: Vec<String> = line
            .fields
            .iter()
            .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| format!("{name}={value}"))
            .collect();
        let call = text("id").strip_prefix(id).unwrap_or("");
        let after_ms = line.time_ms - start_ms;
        let event = text("event");
        let details = details.join(" ");
        format!(
            "{after_ms:>6} ms  {}  {event}{call}  {details}",
            line.source
        )
    });
    rows.collect::<Vec<_>>().join("\n")
}
