//! Suspicions of members and the time that a member has to refute one.
use std::collections::BTreeSet;

use jayrack_protocol::MemberId;

/// Independent confirmations of a suspicion that reduce the time to its minimum.
pub const CONFIRMATIONS: usize = 3;

/// Shortest and longest time for a refutation, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspicionBounds {
    /// Time once [`CONFIRMATIONS`] members confirmed the suspicion.
    pub min_ms: u64,
    /// Time while only one member suspects.
    pub max_ms: u64,
}

/// A suspicion that has not been refuted yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    started_ms: u64,
    bounds: SuspicionBounds,
    sources: BTreeSet<MemberId>,
    latest_source: MemberId,
}

impl Suspicion {
    /// Starts a suspicion that `source` raised.
    pub fn new(now_ms: u64, bounds: SuspicionBounds, source: MemberId) -> Self {
        Self {
            started_ms: now_ms,
            bounds,
            sources: BTreeSet::from([source]),
            latest_source: source,
        }
    }

    /// Counts `source` as suspecting the member too; true when it is new and shortens the time.
    pub fn confirm(&mut self, source: MemberId) -> bool {
        let is_new = self.sources.len() <= CONFIRMATIONS && self.sources.insert(source);
        if is_new {
            self.latest_source = source;
        }
        is_new
    }

    /// The suspecting member that was counted last.
    pub fn latest_source(&self) -> MemberId {
        self.latest_source
    }

    /// Postpones the deadline, after this daemon itself was stalled.
    pub fn extend(&mut self, by_ms: u64) {
        self.started_ms += by_ms;
    }

    /// Time at which the member is declared dead.
    pub fn deadline_ms(&self) -> u64 {
        let confirmed = self.sources.len().saturating_sub(1).min(CONFIRMATIONS);
        let fraction = ((confirmed + 1) as f64).ln() / ((CONFIRMATIONS + 1) as f64).ln();
        let range = (self.bounds.max_ms - self.bounds.min_ms) as f64;
        self.started_ms + self.bounds.max_ms - (range * fraction) as u64
    }
}
