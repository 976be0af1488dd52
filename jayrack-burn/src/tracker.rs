//! Windows by service and rank on one daemon.
use std::collections::BTreeMap;

use crate::{
    report::{LocalReport, LocalRow},
    window::{WindowCounter, WindowLength},
};

/// Maximum number of tracked pairs of service and rank; requests of further pairs are not counted.
pub const MAX_PAIRS: usize = 1_024;

/// One finished request.
#[derive(Debug, Clone, Copy)]
pub struct FinishedRequest<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the rank.
    pub rank: &'a str,
    /// Whether the request met the objective.
    pub is_good: bool,
}

type PairWindows = [WindowCounter; WindowLength::ALL.len()];

/// Counts requests by service and rank over all windows.
#[derive(Debug, Default)]
pub struct BurnTracker {
    services: BTreeMap<String, BTreeMap<String, PairWindows>>,
    pairs: usize,
}

impl BurnTracker {
    /// Counts `request` at `now_ms`.
    pub fn record(&mut self, now_ms: u64, request: FinishedRequest<'_>) {
        if let Some(windows) = self.windows_mut(request.service, request.rank) {
            for window in windows {
                window.record(now_ms, request.is_good);
            }
        }
    }

    /// Returns the counts of the windows that end at `now_ms`.
    pub fn report(&self, now_ms: u64) -> LocalReport {
        let mut rows = Vec::with_capacity(self.pairs);
        for (service, ranks) in &self.services {
            for (rank, windows) in ranks {
                rows.push(LocalRow {
                    service: service.clone(),
                    rank: rank.clone(),
                    counts: windows.each_ref().map(|window| window.count(now_ms)),
                });
            }
        }
        LocalReport { rows }
    }

    fn windows_mut(&mut self, service: &str, rank: &str) -> Option<&mut PairWindows> {
        let is_tracked = self
            .services
            .get(service)
            .is_some_and(|ranks| ranks.contains_key(rank));
        if !is_tracked {
            if self.pairs >= MAX_PAIRS {
                return None;
            }
            let ranks = self.services.entry(service.to_string()).or_default();
            ranks.insert(rank.to_string(), WindowLength::ALL.map(WindowCounter::new));
            self.pairs += 1;
        }
        self.services.get_mut(service)?.get_mut(rank)
    }
}
