//! Rate at which a connection or a body moves bytes.

/// Length of the intervals over which bytes are counted, in milliseconds.
const INTERVAL_MS: u64 = 500;

/// Bytes of the current interval and the one before it.
#[derive(Debug, Clone, Copy)]
pub struct ProgressMeter {
    began_ms: u64,
    interval_ms: u64,
    interval_bytes: u64,
    last_bytes: u64,
}

impl ProgressMeter {
    /// Starts a meter at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            began_ms: now_ms,
            interval_ms: now_ms,
            interval_bytes: 0,
            last_bytes: 0,
        }
    }

    /// Records that `bytes` were moved.
    pub fn record(&mut self, now_ms: u64, bytes: u64) {
        self.advance(now_ms);
        self.interval_bytes += bytes;
    }

    /// Bytes per second in the current interval and the one before it.
    pub fn bytes_per_s(&self, now_ms: u64) -> u64 {
        let mut meter = *self;
        meter.advance(now_ms);
        let counted_from_ms = meter
            .interval_ms
            .saturating_sub(INTERVAL_MS)
            .max(meter.began_ms);
        let counted_ms = now_ms.saturating_sub(counted_from_ms).max(1);
        (meter.last_bytes + meter.interval_bytes) * 1_000 / counted_ms
    }

    fn advance(&mut self, now_ms: u64) {
        let intervals = now_ms.saturating_sub(self.interval_ms) / INTERVAL_MS;
        if intervals > 0 {
            self.last_bytes = match intervals {
                1 => self.interval_bytes,
                _ => 0,
            };
            self.interval_bytes = 0;
            self.interval_ms += intervals * INTERVAL_MS;
        }
    }
}
