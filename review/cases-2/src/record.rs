//! The record of a case: what was sent, answered and run.
use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// Writes one line an event to `record.txt`; clones share the file.
#[derive(Clone)]
pub struct CaseRecord {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl CaseRecord {
    /// Creates the file.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            started: Instant::now(),
        })
    }

    /// Time since the start of the case, in seconds.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes an event with its time.
    pub fn note(&self, event: &str) {
        let now_s = self.now_s();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // A record that cannot be written does not change the verdict.
        let _ = writeln!(file, "{now_s:8.3} {event}");
    }

    /// Writes an event to the record and to standard output.
    pub fn say(&self, event: &str) {
        self.note(event);
        println!("{:8.3} {event}", self.now_s());
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
