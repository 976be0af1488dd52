//! Distributes load shedding over customers: requests of those with the most requests are shed first.
//!
//! Arrivals are counted in constant memory, in buckets by a hash of kind and customer. The counts of
//! one window give the bound for the next: the number of requests that no bucket may exceed, such that
//! the requests that remain add up to the fraction to admit (max-min fairness).
use super::FRACTION_SCALE;

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 200;
/// Number of buckets. Customers whose hashes collide share a bucket; more buckets make that less likely.
const BUCKETS: usize = 512;

/// Arrivals and shed fractions by customer, for one rank at one service.
#[derive(Debug)]
pub(super) struct FairShedding {
    window_start_ms: u64,
    arrived: Vec<u32>,
    fractions: Vec<u16>,
}

impl FairShedding {
    /// Creates counters that shed `mean_fraction` of every customer's requests in the first window.
    pub(super) fn new(now_ms: u64, mean_fraction: u64) -> Self {
        Self {
            window_start_ms: now_ms,
            arrived: vec![0; BUCKETS],
            fractions: vec![mean_fraction.min(FRACTION_SCALE - 1) as u16; BUCKETS],
        }
    }

    /// Counts an arrival and returns the fraction of this customer's requests to shed, if
    /// `mean_fraction` of all requests is to be shed.
    pub(super) fn shed_fraction(
        &mut self,
        now_ms: u64,
        customer_hash: u64,
        mean_fraction: u64,
    ) -> u64 {
        if now_ms.saturating_sub(self.window_start_ms) >= WINDOW_MS {
            self.roll(now_ms, mean_fraction);
        }
        let bucket = customer_hash as usize % BUCKETS;
        self.arrived[bucket] = self.arrived[bucket].saturating_add(1);
        u64::from(self.fractions[bucket])
    }

    /// Whether no request arrived for two windows.
    pub(super) fn is_idle(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.window_start_ms) > 2 * WINDOW_MS
    }

    fn roll(&mut self, now_ms: u64, mean_fraction: u64) {
        let total: u64 = self.arrived.iter().copied().map(u64::from).sum();
        let admitted =
            total * (FRACTION_SCALE - mean_fraction.min(FRACTION_SCALE)) / FRACTION_SCALE;
        let bound = self.bound(admitted);
        for (fraction, count) in self.fractions.iter_mut().zip(&self.arrived) {
            *fraction = excess_fraction(u64::from(*count), bound);
        }
        self.arrived.fill(0);
        self.window_start_ms = now_ms;
    }

    /// Largest count per bucket, scaled by [`FRACTION_SCALE`], at which `admitted` requests remain if
    /// every bucket is limited to it.
    fn bound(&self, admitted: u64) -> u64 {
        let mut counts: Vec<u64> = self.arrived.iter().copied().map(u64::from).collect();
        counts.retain(|count| *count > 0);
        counts.sort_unstable();
        let mut remaining = admitted * FRACTION_SCALE;
        let mut buckets = counts.len() as u64;
        for count in counts {
            if count * FRACTION_SCALE * buckets >= remaining {
                return remaining / buckets;
            }
            remaining -= count * FRACTION_SCALE;
            buckets -= 1;
        }
        u64::MAX
    }
}

/// Fraction of `count` requests above `bound`.
fn excess_fraction(count: u64, bound: u64) -> u16 {
    let count = count * FRACTION_SCALE;
    if count <= bound {
        return 0;
    }
    let fraction = (count - bound) / (count / FRACTION_SCALE);
    fraction.min(FRACTION_SCALE - 1) as u16
}
