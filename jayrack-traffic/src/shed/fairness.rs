//! Spreads refusal over customers: those who ask for most are refused first.
//!
//! Arrivals are counted by a hash of kind and customer, in constant memory. From each window the next
//! one's bound is derived: the number of requests that no bucket may exceed, such that the sum of what
//! remains is the share to be admitted.
use super::FRACTION_SCALE;

/// Time between two bounds, in milliseconds.
const WINDOW_MS: u64 = 200;
/// Customers that share a count do so by accident; more buckets make it less likely.
const BUCKETS: usize = 512;

/// Arrivals of one rank at one service.
#[derive(Debug)]
pub(super) struct FairShedding {
    window_start_ms: u64,
    arrived: Vec<u32>,
    fractions: Vec<u16>,
}

impl FairShedding {
    /// Starts with the same share for all customers.
    pub(super) fn new(now_ms: u64, mean_fraction: u64) -> Self {
        Self {
            window_start_ms: now_ms,
            arrived: vec![0; BUCKETS],
            fractions: vec![mean_fraction.min(FRACTION_SCALE - 1) as u16; BUCKETS],
        }
    }

    /// Counts an arrival and returns the share of this customer's requests to refuse, if `refused`
    /// of all are to be.
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

    /// Whether nothing arrived for two windows.
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

    /// The greatest count, in parts of [`FRACTION_SCALE`], to which all buckets can be cut so that
    /// `admitted` requests remain.
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

/// Share of `count` requests above `bound`.
fn excess_fraction(count: u64, bound: u64) -> u16 {
    let count = count * FRACTION_SCALE;
    if count <= bound {
        return 0;
    }
    let fraction = (count - bound) / (count / FRACTION_SCALE);
    fraction.min(FRACTION_SCALE - 1) as u16
}
