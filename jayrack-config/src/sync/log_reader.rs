//! Timing of reads of the log: one at a time, with backoff and jitter after failures.
use rand_pcg::Pcg64;

use super::fleet::random_below;

const INITIAL_BACKOFF_MS: u64 = 200;
const MAX_BACKOFF_MS: u64 = 10_000;

/// Amount by which each member of the fleet raises the longest backoff, in milliseconds.
const MAX_BACKOFF_PER_MEMBER_MS: u64 = 20;

/// Time after the end of a long poll after which an unanswered read counts as lost, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Tracks the outstanding read of the log and when the next one may start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogReader {
    /// Time at which the outstanding read counts as lost.
    deadline_ms: Option<u64>,
    not_before_ms: u64,
    failures: u32,
}

impl LogReader {
    /// A reader that may read from `not_before_ms` on.
    pub fn new(not_before_ms: u64) -> Self {
        Self {
            deadline_ms: None,
            not_before_ms,
            failures: 0,
        }
    }

    /// Whether the last reads failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Starts a read if none is outstanding and the backoff has ended; returns whether it did.
    pub fn start(&mut self, now_ms: u64, wait_ms: u64) -> bool {
        if self.deadline_ms.is_some() || now_ms < self.not_before_ms {
            return false;
        }
        self.deadline_ms = Some(now_ms + wait_ms + ANSWER_TIMEOUT_MS);
        true
    }

    /// Ends the outstanding read after an answer and resets the backoff.
    pub fn answered(&mut self, now_ms: u64) {
        self.deadline_ms = None;
        self.not_before_ms = now_ms;
        self.failures = 0;
    }

    /// Ends the outstanding read after a failure and backs off; no effect without one.
    pub fn failed(&mut self, now_ms: u64, members: usize, rng: &mut Pcg64) {
        if self.deadline_ms.take().is_some() {
            self.back_off(now_ms, members, rng);
        }
    }

    /// Delays the next read, longer with each consecutive call.
    pub fn back_off(&mut self, now_ms: u64, members: usize, rng: &mut Pcg64) {
        let limit_ms = MAX_BACKOFF_MS + MAX_BACKOFF_PER_MEMBER_MS * members as u64;
        let delay_ms = (INITIAL_BACKOFF_MS << self.failures.min(16)).min(limit_ms);
        self.failures = self.failures.saturating_add(1).min(16);
        self.not_before_ms = now_ms + delay_ms / 2 + random_below(rng, delay_ms / 2);
    }

    /// Gives up an outstanding read that is overdue; returns whether there was one.
    pub fn expire(&mut self, now_ms: u64, members: usize, rng: &mut Pcg64) -> bool {
        match self.deadline_ms {
            Some(deadline_ms) if now_ms >= deadline_ms => {
                self.failed(now_ms, members, rng);
                true
            }
            _ => false,
        }
    }
}
