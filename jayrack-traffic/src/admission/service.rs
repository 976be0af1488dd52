//! Estimates of service times by kind of work.
use std::collections::BTreeMap;

/// Service time assumed for a kind that was never seen, in microseconds.
const DEFAULT_SERVICE_US: u64 = 1_000;
/// One whole of a stretch.
pub(super) const WHOLE_STRETCH: u64 = 1_024;

#[derive(Debug)]
struct KindEstimate {
    mean_us: u64,
    usual_us: u64,
}

/// Averages of the service time of each kind.
#[derive(Debug)]
pub(super) struct ServiceEstimate {
    kinds: BTreeMap<String, KindEstimate>,
}

impl ServiceEstimate {
    pub(super) fn new() -> Self {
        Self {
            kinds: BTreeMap::new(),
        }
    }

    /// Expected service time of a request of `kind`.
    pub(super) fn service_us(&self, kind: &str) -> u64 {
        self.kinds
            .get(kind)
            .map_or(DEFAULT_SERVICE_US, |estimate| estimate.mean_us)
    }

    /// Takes a measured service time and returns how far the recent mean exceeds the usual one, in
    /// parts of [`WHOLE_STRETCH`].
    pub(super) fn observe(&mut self, kind: &str, service_us: u64) -> u64 {
        let Some(estimate) = self.kinds.get_mut(kind) else {
            let estimate = KindEstimate {
                mean_us: service_us,
                usual_us: service_us,
            };
            self.kinds.insert(kind.to_string(), estimate);
            return WHOLE_STRETCH;
        };
        estimate.mean_us = approach(estimate.mean_us, service_us, 16);
        estimate.usual_us = approach(estimate.usual_us, service_us, 512);
        estimate.mean_us * WHOLE_STRETCH / estimate.usual_us.max(1)
    }
}

fn approach(old: u64, new: u64, divisor: u64) -> u64 {
    if new >= old {
        old + (new - old) / divisor
    } else {
        old - (old - new) / divisor
    }
}
