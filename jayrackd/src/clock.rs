//! The daemon's clocks.
use std::time::{Instant, SystemTime};

/// A monotonic clock that counts from the start of the daemon.
#[derive(Debug, Clone, Copy)]
pub struct DaemonClock {
    start: Instant,
    start_ms: u64,
}

impl DaemonClock {
    /// Starts the clock at 0.
    pub fn start() -> Self {
        Self::start_at(0)
    }

    /// Starts the clock at `start_ms`.
    pub fn start_at(start_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            start_ms,
        }
    }

    /// Milliseconds since the clock stood at 0.
    pub fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }
}

/// Milliseconds since 1970, by the host's clock.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
