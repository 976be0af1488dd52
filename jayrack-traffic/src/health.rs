//! Detects silence on one connection.

/// Settings of a [`ConnectionHealth`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Time without traffic after which a keep-alive is sent, in milliseconds.
    pub keep_alive_ms: u64,
    /// Time without an answer to something sent after which the connection is dead, in milliseconds.
    pub dead_after_ms: u64,
    /// Age of the last sign of life up to which no proof is needed, in milliseconds.
    pub proof_age_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            keep_alive_ms: 1_000,
            dead_after_ms: 2_000,
            proof_age_ms: 1_500,
        }
    }
}

/// Verdict on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing to do.
    Healthy,
    /// A keep-alive must be sent now.
    KeepAliveDue,
    /// Nothing was heard in time; the connection must be abandoned.
    Dead,
}

/// Silence detector of one connection.
#[derive(Debug, Clone)]
pub struct ConnectionHealth {
    options: Options,
    heard_ms: u64,
    waiting_since_ms: Option<u64>,
}

impl ConnectionHealth {
    /// Starts with a connection that was established at `now_ms`.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            options,
            heard_ms: now_ms,
            waiting_since_ms: None,
        }
    }

    /// Notes that bytes arrived from the peer.
    pub fn heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
        self.waiting_since_ms = None;
    }

    /// Notes that something was sent that the peer must answer or acknowledge.
    pub fn sent(&mut self, now_ms: u64) {
        self.waiting_since_ms.get_or_insert(now_ms);
    }

    /// Whether a non-idempotent request must wait for a sign of life before it is sent.
    pub fn needs_proof(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.heard_ms) > self.options.proof_age_ms
    }

    /// What to do at `now_ms`.
    pub fn verdict(&self, now_ms: u64) -> Verdict {
        match self.waiting_since_ms {
            Some(since_ms) if now_ms.saturating_sub(since_ms) >= self.options.dead_after_ms => {
                Verdict::Dead
            }
            None if now_ms.saturating_sub(self.heard_ms) >= self.options.keep_alive_ms => {
                Verdict::KeepAliveDue
            }
            _ => Verdict::Healthy,
        }
    }

    /// When [`verdict`](Self::verdict) has to be asked again.
    pub fn next_check_ms(&self) -> u64 {
        match self.waiting_since_ms {
            Some(since_ms) => since_ms + self.options.dead_after_ms,
            None => self.heard_ms + self.options.keep_alive_ms,
        }
    }
}
