//! Collecting and rendering the trace of one request.
use jayrack::explain::{render, trace_lines};

const INGRESS: &str = r#"{"time_ms":1000,"level":"INFO","event":"received","id":"r-1","route":"book"}
not JSON
{"time_ms":1400,"level":"INFO","event":"refused","id":"r-1","code":"Shed"}
{"time_ms":1100,"level":"INFO","event":"received","id":"r-10"}"#;
const OWNER: &str = r#"0.02 host-2 {"time_ms":1020,"level":"INFO","event":"refused by the owner","id":"r-1","reason":"busy"}
0.03 host-2 {"time_ms":1030,"level":"INFO","event":"received","id":"r-1.c-1"}"#;

#[test]
fn lines_of_several_daemons_are_sorted_by_time() {
    let mut lines = trace_lines("r-1", "ingress.log", INGRESS);
    lines.extend(trace_lines("r-1", "owner.log", OWNER));

    let text = render("r-1", lines);

    let events: Vec<&str> = text.lines().collect();
    assert_eq!(events.len(), 4, "{text}");
    assert!(events[0].contains("received") && events[0].contains("route=\"book\""));
    assert!(events[1].contains("owner.log 0.02 host-2") && events[1].contains("reason=\"busy\""));
    assert!(events[2].contains("received.c-1"));
    assert!(events[3].contains("400 ms") && events[3].contains("code=\"Shed\""));
}

#[test]
fn a_request_without_log_lines_is_reported() {
    assert!(render("r-9", trace_lines("r-9", "ingress.log", INGRESS)).starts_with("no line"));
}
