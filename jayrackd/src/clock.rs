//! Clocks of the daemon: monotonic and wall-clock time.
use std::time::{Instant, SystemTime};

/// Monotonic clock that counts milliseconds from the start of the daemon.
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

    /// Starts the clock at `start_ms` milliseconds.
    pub fn start_at(start_ms: u64) -> Self {
        Self {
            start: Instant::now(),
            start_ms,
        }
    }

    /// Current time of the clock, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start_ms + self.start.elapsed().as_millis() as u64
    }
}

/// Time of the host's clock, in milliseconds since the Unix epoch; 0 if the clock is before it.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
