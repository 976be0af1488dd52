//! Limits how many of the announced slots are used.
//!
//! Long service times may have a cause outside the backend server, so they reduce the slots to no less
//! than half of those announced; only refusals by the backend server reduce them to one.
use super::service::SLOWDOWN_SCALE;

/// Fixed-point scale of the slots in use: 1024 is one slot.
const UNITS_PER_SLOT: u64 = 1_024;
/// Slowdown above which the slots in use are reduced.
const HIGH_SLOWDOWN: u64 = 2 * SLOWDOWN_SCALE;
/// Minimum time between two reductions, in milliseconds.
const REDUCE_INTERVAL_MS: u64 = 100;

/// Number of slots in use: reduced by an eighth at a time, increased by one slot for each round of
/// answers without a high slowdown.
#[derive(Debug)]
pub(super) struct SlotLimit {
    announced: u32,
    used_units: u64,
    is_adaptive: bool,
    last_reduced_ms: Option<u64>,
}

impl SlotLimit {
    pub(super) fn new(slots: u32, is_adaptive: bool) -> Self {
        Self {
            announced: slots,
            used_units: u64::from(slots) * UNITS_PER_SLOT,
            is_adaptive,
            last_reduced_ms: None,
        }
    }

    pub(super) fn slots(&self) -> u32 {
        let used = (self.used_units / UNITS_PER_SLOT) as u32;
        used.max(1).min(self.announced)
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        let was_full = self.used_units == u64::from(self.announced) * UNITS_PER_SLOT;
        self.announced = slots;
        let full_units = u64::from(slots) * UNITS_PER_SLOT;
        self.used_units = if was_full {
            full_units
        } else {
            self.used_units.min(full_units)
        };
    }

    /// Adjusts the slots to the slowdown measured after an answer.
    pub(super) fn observe(&mut self, now_ms: u64, slowdown: u64) {
        if !self.is_adaptive {
            return;
        }
        let full_units = u64::from(self.announced) * UNITS_PER_SLOT;
        if slowdown > HIGH_SLOWDOWN {
            self.reduce(now_ms, full_units / 2);
            return;
        }
        self.used_units = (self.used_units
            + UNITS_PER_SLOT * UNITS_PER_SLOT / self.used_units.max(UNITS_PER_SLOT))
        .min(full_units);
    }

    /// Reduces the slots because the backend server refused a request.
    pub(super) fn record_refusal(&mut self, now_ms: u64) {
        if self.is_adaptive {
            self.reduce(now_ms, UNITS_PER_SLOT);
        }
    }

    /// Reduces the slots by an eighth, but not below `min_units`, unless a reduction is recent.
    fn reduce(&mut self, now_ms: u64, min_units: u64) {
        let is_recent = self
            .last_reduced_ms
            .is_some_and(|last_reduced_ms| now_ms < last_reduced_ms + REDUCE_INTERVAL_MS);
        if is_recent {
            return;
        }
        self.last_reduced_ms = Some(now_ms);
        let reduced = (self.used_units * 7 / 8).max(min_units).max(UNITS_PER_SLOT);
        self.used_units = self.used_units.min(reduced);
    }
}
