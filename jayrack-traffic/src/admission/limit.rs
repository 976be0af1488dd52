//! How many of the announced slots are used.
//!
//! Long service times may come from elsewhere, so that they lower the slots to a half at most; only a
//! backend server that refuses work is brought down to one.
use super::service::WHOLE_STRETCH;

/// Units of one slot.
const SLOT: u64 = 1_024;
/// Stretch of service times above which slots are lowered.
const HIGH_STRETCH: u64 = 2 * WHOLE_STRETCH;
/// Time between two reductions, in milliseconds.
const REDUCE_INTERVAL_MS: u64 = 100;

/// The number of slots in use: lowered in steps, raised by one for each round of good answers.
#[derive(Debug)]
pub(super) struct SlotLimit {
    announced: u32,
    used: u64,
    is_adaptive: bool,
    reduced_ms: Option<u64>,
}

impl SlotLimit {
    pub(super) fn new(slots: u32, is_adaptive: bool) -> Self {
        Self {
            announced: slots,
            used: u64::from(slots) * SLOT,
            is_adaptive,
            reduced_ms: None,
        }
    }

    pub(super) fn slots(&self) -> u32 {
        let used = (self.used / SLOT) as u32;
        used.max(1).min(self.announced)
    }

    pub(super) fn set_slots(&mut self, slots: u32) {
        let was_full = self.used == u64::from(self.announced) * SLOT;
        self.announced = slots;
        let full = u64::from(slots) * SLOT;
        self.used = if was_full { full } else { self.used.min(full) };
    }

    /// Takes the stretch of service times after an answer.
    pub(super) fn observe(&mut self, now_ms: u64, stretch: u64) {
        if !self.is_adaptive {
            return;
        }
        let full = u64::from(self.announced) * SLOT;
        if stretch > HIGH_STRETCH {
            self.reduce(now_ms, full / 2);
            return;
        }
        self.used = (self.used + SLOT * SLOT / self.used.max(SLOT)).min(full);
    }

    /// Notes that the backend server refused work.
    pub(super) fn shed(&mut self, now_ms: u64) {
        if self.is_adaptive {
            self.reduce(now_ms, SLOT);
        }
    }

    /// Lowers the slots by a step, but not below `least`.
    fn reduce(&mut self, now_ms: u64, least: u64) {
        let is_recent = self
            .reduced_ms
            .is_some_and(|reduced_ms| now_ms < reduced_ms + REDUCE_INTERVAL_MS);
        if is_recent {
            return;
        }
        self.reduced_ms = Some(now_ms);
        let reduced = (self.used * 7 / 8).max(least).max(SLOT);
        self.used = self.used.min(reduced);
    }
}
