//! Service time estimates by kind of work.
use std::collections::BTreeMap;

/// Service time assumed for a kind without a measurement, in microseconds.
const DEFAULT_SERVICE_US: u64 = 1_000;
/// Fixed-point scale of slowdowns: 1024 is 1.0.
pub(super) const SLOWDOWN_SCALE: u64 = 1_024;

#[derive(Debug)]
struct KindEstimate {
    recent_mean_us: u64,
    long_term_mean_us: u64,
}

/// Moving averages of the service time of each kind.
#[derive(Debug)]
pub(super) struct ServiceTimeEstimate {
    kinds: BTreeMap<String, KindEstimate>,
}

impl ServiceTimeEstimate {
    pub(super) fn new() -> Self {
        Self {
            kinds: BTreeMap::new(),
        }
    }

    /// Expected service time of a request of `kind`, in microseconds.
    pub(super) fn service_us(&self, kind: &str) -> u64 {
        self.kinds
            .get(kind)
            .map_or(DEFAULT_SERVICE_US, |estimate| estimate.recent_mean_us)
    }

    /// Adds a measured service time and returns the slowdown: the recent mean divided by the long-term
    /// mean, scaled by [`SLOWDOWN_SCALE`].
    pub(super) fn observe(&mut self, kind: &str, service_us: u64) -> u64 {
        let Some(estimate) = self.kinds.get_mut(kind) else {
            let estimate = KindEstimate {
                recent_mean_us: service_us,
                long_term_mean_us: service_us,
            };
            self.kinds.insert(kind.to_string(), estimate);
            return SLOWDOWN_SCALE;
        };
        estimate.recent_mean_us = smoothed(estimate.recent_mean_us, service_us, 16);
        estimate.long_term_mean_us = smoothed(estimate.long_term_mean_us, service_us, 512);
        estimate.recent_mean_us * SLOWDOWN_SCALE / estimate.long_term_mean_us.max(1)
    }
}

fn smoothed(old: u64, new: u64, divisor: u64) -> u64 {
    if new >= old {
        old + (new - old) / divisor
    } else {
        old - (old - new) / divisor
    }
}
