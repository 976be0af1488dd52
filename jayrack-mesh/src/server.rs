//! State of the backend server beside the daemon, from its status reports.
use std::{cmp::Ordering, collections::VecDeque};

use serde::{Deserialize, Serialize};

use crate::era::StoreEra;

/// Phase of a backend server, as it reports it; a later phase is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerPhase {
    /// Accepts requests.
    Ready,
    /// Finishes its running requests and accepts no new ones.
    Draining,
    /// Has left.
    Gone,
}

/// Record of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Instance identifier under which the server answers requests.
    pub instance: String,
    /// Start of this incarnation, in milliseconds since the Unix epoch, by the server's clock.
    pub born_ms: u64,
    /// Sequence number of the latest report.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Phase in the latest report.
    pub phase: ServerPhase,
    /// Version of its software; empty if it is not known.
    #[serde(default)]
    pub version: String,
}

/// A status report, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// Reported record of the server.
    pub record: ServerRecord,
    /// Remaining warm-up time, during which the server is slow, in milliseconds.
    pub warmup_left_ms: u64,
}

/// Effect of a report on the record of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportEffect {
    /// The server, its phase or its number of slots has changed; other daemons must receive the new record.
    Changed,
    /// What it says was known before; at most the sequence number is new.
    Repeated,
    /// The incarnation has said since that it leaves; the report was ignored.
    Outdated,
    /// It is not certain that the incarnation is the present one; the report was ignored.
    Unproven,
}

impl ReportEffect {
    /// Whether what the server said is in force, so that it may be told so.
    pub fn is_in_force(self) -> bool {
        match self {
            ReportEffect::Changed | ReportEffect::Repeated => true,
            ReportEffect::Outdated | ReportEffect::Unproven => false,
        }
    }
}

/// Time for which an incarnation with an earlier start must go on reporting, while the known one is silent, until it counts as
/// the present one, in milliseconds: longer than the interval of two reports, in which a living server would be heard.
const PROOF_MS: u64 = 2_000;
/// Number of earlier incarnations that are remembered; reports are delayed by seconds, in which few servers start.
const MAX_PAST: usize = 8;

/// An incarnation that may be the present one although it states an earlier start than the known one.
#[derive(Debug)]
struct Candidate {
    record: ServerRecord,
    /// When it was first heard, with the known one silent since.
    since_ms: u64,
}

/// A departure that the store has acknowledged.
#[derive(Debug)]
struct StoredDeparture {
    record: ServerRecord,
    /// Era of the store in which it did; in a later one, the record may be lost.
    era: Option<StoreEra>,
}

/// Record of the backend server beside the daemon, updated by its reports.
///
/// Guarantees that an incarnation that was reported as leaving never counts as ready again, in whatever order
/// reports arrive, and also if the departure is the first report of it that this process receives.
///
/// Incarnations are ordered by their stated starts only as long as nothing contradicts that: the time of day may jump, so
/// that a later incarnation states an earlier start. It counts as the present one once it has reported for [`PROOF_MS`]
/// while the known one was silent.
#[derive(Debug, Default)]
pub struct ServerTracker {
    record: Option<ServerRecord>,
    candidate: Option<Candidate>,
    /// Latest records of incarnations that another one has replaced, the oldest first.
    past: VecDeque<ServerRecord>,
    reported_ms: u64,
    is_restored: bool,
    /// Latest departure that the store has acknowledged.
    stored_departure: Option<StoredDeparture>,
}

impl ServerTracker {
    /// Restores the record that an earlier process at this address has stored; returns whether it replaces the known one.
    ///
    /// A restored server is given no requests before it reports again, since it may have left in the meantime.
    pub fn restore(&mut self, record: ServerRecord) -> bool {
        let is_newer = match &self.record {
            None => true,
            Some(known) => {
                let is_same_incarnation = known.instance == record.instance
                    && (known.born_ms == record.born_ms || record.born_ms == 0);
                known.born_ms < record.born_ms || is_same_incarnation && known.phase < record.phase
            }
        };
        if is_newer {
            self.is_restored = record.phase == ServerPhase::Ready;
            self.record = Some(record);
        }
        is_newer
    }

    /// Applies a report received at `now_ms`.
    pub fn handle(&mut self, now_ms: u64, report: StatusReport) -> ReportEffect {
        let record = report.record;
        if let Some(known) = &mut self.record {
            let is_undated_departure = known.phase == ServerPhase::Gone && known.born_ms == 0;
            if is_undated_departure && known.instance == record.instance {
                // The departure did not state which incarnation left; it applies to the first one that reports.
                known.born_ms = record.born_ms;
            }
        }
        if let Some(effect) = self.reject(now_ms, &record) {
            return effect;
        }
        self.reported_ms = now_ms;
        let is_changed = self.is_restored
            || self.record.as_ref().is_none_or(|known| {
                known.instance != record.instance
                    || known.born_ms != record.born_ms
                    || known.phase != record.phase
                    || known.slots != record.slots
                    || known.version != record.version
            });
        self.is_restored = false;
        self.replace(record);
        if is_changed {
            ReportEffect::Changed
        } else {
            ReportEffect::Repeated
        }
    }

    /// Effect of a report that does not replace the record; `None` if it does.
    fn reject(&mut self, now_ms: u64, record: &ServerRecord) -> Option<ReportEffect> {
        let known = self.record.as_ref()?;
        if is_same_incarnation(known, record) {
            return match record.phase.cmp(&known.phase) {
                // Whatever the sequence numbers: an incarnation never returns from leaving, and its word that it leaves
                // must not be lost because a number of before was too high.
                Ordering::Greater => None,
                Ordering::Equal if record.sequence > known.sequence => None,
                Ordering::Equal => Some(ReportEffect::Repeated),
                Ordering::Less => Some(ReportEffect::Outdated),
            };
        }
        let past = self
            .past
            .iter()
            .find(|past| is_same_incarnation(past, record));
        if past.is_some_and(|past| past.phase > record.phase) {
            return Some(ReportEffect::Outdated);
        }
        let is_later = match record.born_ms.cmp(&known.born_ms) {
            Ordering::Greater => past.is_none(),
            Ordering::Equal => known.phase == ServerPhase::Gone,
            Ordering::Less => false,
        };
        let is_present = is_later || self.prove(now_ms, record);
        (!is_present).then_some(ReportEffect::Unproven)
    }

    /// Whether `record`, which states no later start than the known one, is of the present incarnation.
    fn prove(&mut self, now_ms: u64, record: &ServerRecord) -> bool {
        let reported_ms = self.reported_ms;
        let candidate = self.candidate.take().filter(|candidate| {
            is_same_incarnation(&candidate.record, record) && reported_ms <= candidate.since_ms
        });
        let since_ms = candidate
            .as_ref()
            .map_or(now_ms, |candidate| candidate.since_ms);
        // A report that was delayed proves nothing of the time at which it arrives.
        let is_new = candidate.is_some_and(|candidate| {
            record.sequence > candidate.record.sequence || record.phase > candidate.record.phase
        });
        if is_new && now_ms.saturating_sub(since_ms) >= PROOF_MS {
            return true;
        }
        self.candidate = Some(Candidate {
            record: record.clone(),
            since_ms,
        });
        false
    }

    /// Makes `record` the present one and remembers the incarnation before it.
    fn replace(&mut self, record: ServerRecord) {
        self.past.retain(|past| !is_same_incarnation(past, &record));
        let before = self
            .record
            .take_if(|known| !is_same_incarnation(known, &record));
        if let Some(before) = before {
            self.candidate = None;
            self.past.push_back(before);
            if self.past.len() > MAX_PAST {
                self.past.pop_front();
            }
        }
        self.record = Some(record);
    }

    /// Records at `now_ms` that the server leaves at once; `born_ms` is zero if the server did not state it, and matches any
    /// incarnation then.
    ///
    /// A departure of a server without a record, as after a restart of the daemon, is kept as well: reports of before
    /// may still be on their way.
    pub fn leave(&mut self, now_ms: u64, instance: &str, born_ms: u64) -> ReportEffect {
        let departure = ServerRecord {
            instance: instance.to_string(),
            born_ms,
            sequence: 0,
            service: String::new(),
            slots: 0,
            phase: ServerPhase::Gone,
            version: String::new(),
        };
        let past = self.past.iter_mut();
        let past = past.filter(|past| is_same_incarnation(past, &departure));
        let is_past = past.map(|past| past.phase = ServerPhase::Gone).count() > 0;
        match &mut self.record {
            Some(record)
                if record.instance == instance && (born_ms == 0 || record.born_ms == born_ms) =>
            {
                if record.phase == ServerPhase::Gone {
                    return ReportEffect::Repeated;
                }
                record.phase = ServerPhase::Gone;
            }
            Some(record)
                if (!self.is_restored && born_ms <= record.born_ms)
                    || (born_ms != 0 && born_ms < record.born_ms) =>
            {
                match (self.prove(now_ms, &departure), is_past) {
                    (true, _) => self.replace(departure),
                    (false, true) => return ReportEffect::Outdated,
                    (false, false) => return ReportEffect::Unproven,
                }
            }
            _ => self.replace(departure),
        }
        self.is_restored = false;
        ReportEffect::Changed
    }

    /// Record of a departure that must be stored before it is acknowledged, so that it outlives this process; `None`
    /// if the server has not left or its departure is stored in the era `latest` of the store.
    pub fn unstored_departure(&self, latest: Option<StoreEra>) -> Option<&ServerRecord> {
        let record = self.departed()?;
        let is_stored = self.stored_departure.as_ref().is_some_and(|stored| {
            stored.era == latest && is_same_incarnation(&stored.record, record)
        });
        (!is_stored).then_some(record)
    }

    /// Record of the latest departure that this process knows, which the store must hold for the next process at this
    /// address: reports of before it may still arrive after another server has started.
    pub fn latest_departure(&self) -> Option<&ServerRecord> {
        let stored = self.stored_departure.as_ref().map(|stored| &stored.record);
        self.departed().or(stored)
    }

    /// Records that the store has acknowledged the departure `record` in its era `era`.
    pub fn departure_stored(&mut self, record: &ServerRecord, era: Option<StoreEra>) {
        let record = record.clone();
        self.stored_departure = Some(StoredDeparture { record, era });
    }

    /// Record of the server if it leaves or has left.
    fn departed(&self) -> Option<&ServerRecord> {
        let record = self.record.as_ref();
        record.filter(|record| record.phase != ServerPhase::Ready)
    }

    /// Record of the server, also if it has left; `None` without a report or restored record.
    pub fn record(&self) -> Option<&ServerRecord> {
        self.record.as_ref()
    }

    /// Record of the server if requests may be sent to it.
    pub fn serving(&self) -> Option<&ServerRecord> {
        self.record
            .as_ref()
            .filter(|record| record.phase == ServerPhase::Ready && !self.is_restored)
    }

    /// When the latest report was applied, in milliseconds.
    pub fn reported_ms(&self) -> u64 {
        self.reported_ms
    }
}

/// Whether two records are of the same start of a server.
fn is_same_incarnation(one: &ServerRecord, other: &ServerRecord) -> bool {
    one.instance == other.instance && one.born_ms == other.born_ms
}
