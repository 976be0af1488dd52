//! Rejection of replayed datagrams.
use std::cmp::Ordering;

/// Number of sequence numbers, down from the highest, whose receipt is tracked.
const WINDOW_BITS: u32 = u64::BITS;

/// Sliding window of the datagrams accepted from one sender.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    incarnation: u64,
    highest: u32,
    seen: u64,
}

impl ReplayWindow {
    /// Accepts the datagram numbered `sequence` of `incarnation`; false when it was accepted before
    /// or is older than the window.
    pub fn accept(&mut self, incarnation: u64, sequence: u32) -> bool {
        match incarnation.cmp(&self.incarnation) {
            Ordering::Less => false,
            Ordering::Equal => self.accept_sequence(sequence),
            Ordering::Greater => {
                *self = Self {
                    incarnation,
                    highest: sequence,
                    seen: 1,
                };
                true
            }
        }
    }

    fn accept_sequence(&mut self, sequence: u32) -> bool {
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = self.seen.checked_shl(shift).unwrap_or(0) | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_BITS {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
