//! Traces of requests: all log lines about one request, collected from several daemons.
use serde_json::{Map, Value};

/// Fields that are left out of a line's details: they have their own column or carry no information
/// about the request.
const OMITTED_FIELDS: [&str; 4] = ["time_ms", "event", "level", "id"];

/// One line of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine {
    /// Time by the clock of the host that wrote the line, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// File name, followed by the text before the JSON object in the line.
    pub source: String,
    /// Fields of the JSON object.
    pub fields: Map<String, Value>,
}

/// Collects the lines of `text` about request `id` and its nested calls.
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

/// Parses a line; text before its JSON object, such as a host name, is kept as part of the source.
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

/// Formats a trace, ordered by time.
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
