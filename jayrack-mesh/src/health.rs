//! Health of the backend server beside the daemon, as it tells it to other daemons.

/// Smoothing factor of the fraction of failures at a server, over the requests of all daemons.
pub const FAILURE_SMOOTHING: f64 = 0.05;
/// Time without requests in which a fraction of failures fades to 1/e, in milliseconds: long against a service time, so
/// that a failing server is tried seldom; short against the time in which operators look at it.
const FAILURE_MEMORY_MS: f64 = 5_000.0;

/// Least fraction of failures that is reported, in percent: smaller ones hardly change a choice, and a healthy fleet's
/// datagrams stay as small as without the field.
const MIN_REPORTED_PERCENT: u32 = 5;

/// Health of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerHealth {
    /// Recent requests that failed, were refused by the server or not answered, in percent.
    pub failure_percent: u32,
    /// Remaining warm-up time, during which the server is slow, in milliseconds.
    pub warmup_left_ms: u32,
}

/// Fraction of the requests of all daemons that failed at the backend server beside this one.
///
/// It fades with time, so that a server that gets few requests because it has failed comes back.
#[derive(Debug, Default, Clone, Copy)]
pub struct FailureMeter {
    fraction: f64,
    at_ms: u64,
}

impl FailureMeter {
    /// Records the outcome of a request that the server received.
    pub fn record(&mut self, now_ms: u64, has_failed: bool, smoothing: f64) {
        let sample = f64::from(u8::from(has_failed));
        let earlier = self.fraction(now_ms);
        self.fraction = earlier + (sample - earlier) * smoothing;
        self.at_ms = now_ms;
    }

    /// Fraction of the recent requests that failed.
    pub fn fraction(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.fraction * (-age_ms / FAILURE_MEMORY_MS).exp()
    }

    /// Recent requests that failed, in percent; 0 for a fraction that is too small to be reported.
    pub fn percent(&self, now_ms: u64) -> u32 {
        let percent = (self.fraction(now_ms) * 100.0).round() as u32;
        match percent >= MIN_REPORTED_PERCENT {
            true => percent,
            false => 0,
        }
    }
}
