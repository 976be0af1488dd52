//! The backend server beside the daemon, from its status reports.
use serde::{Deserialize, Serialize};

/// What a backend server says of its willingness to work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerPhase {
    /// Takes work.
    Ready,
    /// Finishes its work and takes no more.
    Draining,
    /// Has left.
    Gone,
}

/// One life of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Identifier that the server answers requests under.
    pub instance: String,
    /// Start of this life, in milliseconds since the Unix epoch, by the server's clock.
    pub born_ms: u64,
    /// Number of the latest report.
    pub sequence: u64,
    /// Service that it works for.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it last said.
    pub phase: ServerPhase,
}

/// A status report, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// What the server says of itself.
    pub record: ServerRecord,
    /// How much longer it is slow after its start, in milliseconds.
    pub warmup_left_ms: u64,
}

/// What followed from a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The server, its phase or its number of slots is new; peers have to learn it.
    Changed,
    /// Nothing but the number of the report is new.
    Repeated,
    /// The report is older than what is known.
    Outdated,
}

/// Orders the reports of the backend server beside the daemon.
///
/// Guarantees that a life that was reported as leaving never counts as ready again, in whatever order
/// reports arrive.
#[derive(Debug, Default)]
pub struct ServerTracker {
    record: Option<ServerRecord>,
    reported_ms: u64,
    is_restored: bool,
}

impl ServerTracker {
    /// Takes over what an earlier process at this address had recorded.
    ///
    /// The server takes no work before it reports again, since it may have left in the meantime.
    pub fn restore(&mut self, record: ServerRecord) {
        let is_newer = match &self.record {
            None => true,
            Some(known) => {
                known.born_ms < record.born_ms
                    || (known.instance == record.instance && record.phase != ServerPhase::Ready)
            }
        };
        if is_newer {
            self.is_restored = record.phase == ServerPhase::Ready;
            self.record = Some(record);
        }
    }

    /// Takes a report.
    pub fn handle(&mut self, now_ms: u64, report: StatusReport) -> ReportEffect {
        let record = report.record;
        if let Some(known) = &self.record
            && !supersedes(known, &record)
        {
            return ReportEffect::Outdated;
        }
        self.reported_ms = now_ms;
        let is_changed = self.is_restored
            || self.record.as_ref().is_none_or(|known| {
                known.instance != record.instance
                    || known.born_ms != record.born_ms
                    || known.phase != record.phase
                    || known.slots != record.slots
            });
        self.is_restored = false;
        self.record = Some(record);
        if is_changed {
            ReportEffect::Changed
        } else {
            ReportEffect::Repeated
        }
    }

    /// Notes that the server said that it leaves at once; `born_ms` is zero where it was not stated.
    pub fn leave(&mut self, instance: &str, born_ms: u64) -> ReportEffect {
        let Some(record) = &mut self.record else {
            return ReportEffect::Outdated;
        };
        let is_same_incarnation = born_ms == 0 || record.born_ms == born_ms;
        if record.instance != instance || !is_same_incarnation || record.phase == ServerPhase::Gone
        {
            return ReportEffect::Outdated;
        }
        record.phase = ServerPhase::Gone;
        ReportEffect::Changed
    }

    /// What is known of the server.
    pub fn record(&self) -> Option<&ServerRecord> {
        self.record.as_ref()
    }

    /// The server, if it may be given work.
    pub fn serving(&self) -> Option<&ServerRecord> {
        self.record
            .as_ref()
            .filter(|record| record.phase == ServerPhase::Ready && !self.is_restored)
    }

    /// Time of the latest report.
    pub fn reported_ms(&self) -> u64 {
        self.reported_ms
    }
}

/// Whether a report about `new` may replace `known`.
fn supersedes(known: &ServerRecord, new: &ServerRecord) -> bool {
    if new.born_ms != known.born_ms {
        return new.born_ms > known.born_ms;
    }
    if new.instance != known.instance {
        return known.phase == ServerPhase::Gone;
    }
    let is_return = known.phase != ServerPhase::Ready && new.phase == ServerPhase::Ready;
    new.sequence > known.sequence && !is_return
}
