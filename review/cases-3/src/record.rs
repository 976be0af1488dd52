//! What was sent, answered and run, with times since the start.
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Result of a case that ran.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// A request that a backend server ran.
#[derive(Debug, Clone)]
pub struct ServerRun {
    pub at: Duration,
    pub id: String,
    pub path: String,
    pub service: String,
    pub instance: String,
}

/// A request that a caller sent.
#[derive(Debug, Clone)]
pub struct SentRequest {
    pub at: Duration,
    pub id: String,
    pub path: String,
    /// Number of the host at which it was sent.
    pub host: usize,
    /// Status of the answer and when it arrived; `None` without a complete answer.
    pub answer: Option<(u16, Duration)>,
    /// Length of the answer's body, in bytes.
    pub body_bytes: usize,
}

#[derive(Debug, Default)]
struct Entries {
    notes: Vec<(Duration, String)>,
    runs: Vec<ServerRun>,
    requests: Vec<SentRequest>,
}

/// Record of one run; clones share it.
#[derive(Debug, Clone)]
pub struct CaseRecord {
    started: Instant,
    entries: Arc<Mutex<Entries>>,
}

impl CaseRecord {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            entries: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        self.entries
            .lock()
            .unwrap()
            .notes
            .push((now, text.to_string()));
    }

    pub fn add_run(&self, run: ServerRun) {
        self.entries.lock().unwrap().runs.push(run);
    }

    pub fn add_request(&self, request: SentRequest) {
        self.entries.lock().unwrap().requests.push(request);
    }

    pub fn runs(&self) -> Vec<ServerRun> {
        self.entries.lock().unwrap().runs.clone()
    }

    pub fn requests(&self) -> Vec<SentRequest> {
        self.entries.lock().unwrap().requests.clone()
    }

    /// All entries in the order of their times, in seconds since the start.
    pub fn text(&self) -> String {
        let entries = self.entries.lock().unwrap();
        let mut lines: Vec<(Duration, String)> = entries
            .notes
            .iter()
            .map(|(at, text)| (*at, format!("-- {text}")))
            .collect();
        lines.extend(entries.runs.iter().map(|run| {
            let ServerRun {
                id,
                path,
                service,
                instance,
                ..
            } = run;
            (
                run.at,
                format!("run {id} {path} by {instance} of {service}"),
            )
        }));
        lines.extend(entries.requests.iter().map(|request| {
            let SentRequest { id, path, host, .. } = request;
            let bytes = request.body_bytes;
            let answer = match request.answer {
                Some((status, at)) => {
                    format!("{status} with {bytes} bytes at {:.3}", at.as_secs_f64())
                }
                None => "no answer".to_string(),
            };
            (
                request.at,
                format!("sent {id} {path} at host {host}: {answer}"),
            )
        }));
        lines.sort_by_key(|(at, _)| *at);
        lines
            .iter()
            .map(|(at, text)| format!("{:8.3} {text}\n", at.as_secs_f64()))
            .collect()
    }
}
