//! Rate limit of what is sent.

/// A token bucket that refills at a constant rate up to `burst` tokens.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    per_second: u64,
    burst: u64,
    milli_tokens: u64,
    refilled_ms: u64,
}

const MILLI: u64 = 1_000;

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now_ms: u64, per_second: u64, burst: u64) -> Self {
        Self {
            per_second,
            burst,
            milli_tokens: burst * MILLI,
            refilled_ms: now_ms,
        }
    }

    /// Refills the bucket and returns the number of tokens that are left.
    pub fn left(&mut self, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        let refill = elapsed_ms.saturating_mul(self.per_second);
        self.milli_tokens = self
            .milli_tokens
            .saturating_add(refill)
            .min(self.burst * MILLI);
        self.milli_tokens / MILLI
    }

    /// Removes tokens; the bucket is empty when there are fewer.
    pub fn spend(&mut self, tokens: u64) {
        self.milli_tokens = self.milli_tokens.saturating_sub(tokens * MILLI);
    }
}
