//! How many of the announced slots are used.
//!
//! Long service times may come from elsewhere, so that they lower the slots to a half at most; only a
//! backend server that refuses work is brought down to one.
use super::service::SLOWDOWN_SCALE;

/// Units of one slot.
const UNITS_PER_SLOT: u64 = 1_024;
/// Stretch of service times above which slots are lowered.
const HIGH_SLOWDOWN: u64 = 2 * SLOWDOWN_SCALE;
/// Time between two reductions, in milliseconds.
const REDUCE_INTERVAL_MS: u64 = 100;

/// The number of slots in use: lowered in steps, raised by one for each round of good answers.
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

    /// Takes the stretch of service times after an answer.
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

    /// Notes that the backend server refused work.
    pub(super) fn record_refusal(&mut self, now_ms: u64) {
        if self.is_adaptive {
            self.reduce(now_ms, UNITS_PER_SLOT);
        }
    }

    /// Lowers the slots by a step, but not below `min_units`.
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
