//! Record of what was sent, answered and run.
use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// What a stand-in saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// A client sent a request.
    Sent,
    /// A client got an answer with this status; `None` if the connection ended without a complete one.
    Answered(Option<u16>),
    /// A server began to work on a request.
    Run,
    /// A server refused a request without running it.
    NotRun,
    /// Something else, such as a step of the case.
    Note,
}

#[derive(Debug, Clone)]
pub struct Event {
    pub at_ms: u64,
    /// Client, server or step that saw it.
    pub who: String,
    pub id: String,
    pub seen: Seen,
    pub detail: String,
}

/// Events of all stand-ins, in order.
pub struct Record {
    started: Instant,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            events: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn add(&self, who: &str, id: &str, seen: Seen, detail: &str) {
        let mut events = self.events.lock().expect("no thread panics with the lock");
        events.push(Event {
            at_ms: self.now_ms(),
            who: who.to_string(),
            id: id.to_string(),
            seen,
            detail: detail.to_string(),
        });
    }

    pub fn note(&self, text: &str) {
        self.add("case", "-", Seen::Note, text);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events
            .lock()
            .expect("no thread panics with the lock")
            .clone()
    }

    /// Writes the verdict and all events to a file.
    pub fn write(&self, path: &Path, verdict: &str) -> std::io::Result<()> {
        let mut file = BufWriter::new(File::create(path)?);
        writeln!(file, "{verdict}\n")?;
        for event in self.events() {
            let Event {
                at_ms,
                who,
                id,
                seen,
                detail,
            } = event;
            writeln!(file, "{at_ms:>7} ms  {who:<16} {id:<12} {seen:?} {detail}")?;
        }
        file.flush()
    }
}
