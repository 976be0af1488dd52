//! The retry budget: retries are limited to a percentage of the first attempts in a sliding window.
use std::collections::VecDeque;

/// Resolution of the sliding window, in milliseconds.
const SLICE_MS: u64 = 100;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Retries allowed per hundred first attempts in the window.
    pub percent: u32,
    /// Retries allowed in each window, however few first attempts there are.
    pub minimum: u32,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            percent: 10,
            minimum: 3,
            window_ms: 10_000,
        }
    }
}

#[derive(Debug)]
struct TimeSlice {
    start_ms: u64,
    attempts: u64,
    retries: u64,
}

/// Limits retries to a percentage of the first attempts.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    slices: VecDeque<TimeSlice>,
    attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            slices: VecDeque::new(),
            attempts: 0,
            retries: 0,
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_attempt(&mut self, now_ms: u64) {
        self.expire(now_ms);
        self.current(now_ms).attempts += 1;
        self.attempts += 1;
    }

    /// Takes one retry from the budget; returns whether there was one left.
    pub fn try_retry(&mut self, now_ms: u64) -> bool {
        self.expire(now_ms);
        let allowed = self.attempts * u64::from(self.options.percent) / 100;
        if self.retries >= allowed.max(u64::from(self.options.minimum)) {
            return false;
        }
        self.current(now_ms).retries += 1;
        self.retries += 1;
        true
    }

    fn current(&mut self, now_ms: u64) -> &mut TimeSlice {
        let start_ms = now_ms / SLICE_MS * SLICE_MS;
        if self
            .slices
            .back()
            .is_none_or(|last| last.start_ms < start_ms)
        {
            self.slices.push_back(TimeSlice {
                start_ms,
                attempts: 0,
                retries: 0,
            });
        }
        self.slices.back_mut().expect("a slice was pushed")
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some(first) = self.slices.front()
            && first.start_ms + SLICE_MS + self.options.window_ms <= now_ms
        {
            self.attempts -= first.attempts;
            self.retries -= first.retries;
            self.slices.pop_front();
        }
    }
}

/// Whether a request at `depth` may be retried.
///
/// If attempts were passed down with the request, it may be retried while any are left; otherwise
/// only a root request, at depth 0, may be retried.
pub fn may_retry(depth: u32, attempts_left: Option<u32>) -> bool {
    match attempts_left {
        Some(left) => left > 0,
        None => depth == 0,
    }
}
