//! Detects silent connections.

/// Settings of a [`ConnectionHealth`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Time without traffic after which a keep-alive is sent, in milliseconds.
    pub keep_alive_ms: u64,
    /// Time without an answer to something sent after which the connection counts as dead, in
    /// milliseconds.
    pub dead_after_ms: u64,
    /// Time since the last received byte after which a non-idempotent request needs a liveness check, in
    /// milliseconds.
    pub liveness_check_after_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            keep_alive_ms: 1_000,
            dead_after_ms: 2_000,
            liveness_check_after_ms: 1_500,
        }
    }
}

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionState {
    /// Nothing is due.
    Healthy,
    /// A keep-alive must be sent now.
    KeepAliveDue,
    /// Nothing was received in time; the connection must be closed.
    Dead,
}

/// Silence detector of one connection.
#[derive(Debug, Clone)]
pub struct ConnectionHealth {
    options: Options,
    last_received_ms: u64,
    unanswered_since_ms: Option<u64>,
}

impl ConnectionHealth {
    /// Creates the detector of a connection that was established at `now_ms`.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            options,
            last_received_ms: now_ms,
            unanswered_since_ms: None,
        }
    }

    /// Records that bytes arrived from the peer.
    pub fn received(&mut self, now_ms: u64) {
        self.last_received_ms = now_ms;
        self.unanswered_since_ms = None;
    }

    /// Records that something was sent that the peer must answer or acknowledge.
    pub fn sent(&mut self, now_ms: u64) {
        self.unanswered_since_ms.get_or_insert(now_ms);
    }

    /// Whether a non-idempotent request must wait until something is received before it is sent.
    pub fn needs_liveness_check(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_received_ms) > self.options.liveness_check_after_ms
    }

    /// State at `now_ms`.
    pub fn state(&self, now_ms: u64) -> ConnectionState {
        match self.unanswered_since_ms {
            Some(since_ms) if now_ms.saturating_sub(since_ms) >= self.options.dead_after_ms => {
                ConnectionState::Dead
            }
            None if now_ms.saturating_sub(self.last_received_ms) >= self.options.keep_alive_ms => {
                ConnectionState::KeepAliveDue
            }
            _ => ConnectionState::Healthy,
        }
    }

    /// Time at which [`state`](Self::state) has to be checked again, in milliseconds.
    pub fn next_check_ms(&self) -> u64 {
        match self.unanswered_since_ms {
            Some(since_ms) => since_ms + self.options.dead_after_ms,
            None => self.last_received_ms + self.options.keep_alive_ms,
        }
    }
}
