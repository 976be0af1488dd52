//! Settings of the state machine.

/// Intervals, in milliseconds, and counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Time from one probe to the next.
    pub probe_interval_ms: u64,
    /// Time after which a probe is repeated through other members.
    pub ack_timeout_ms: u64,
    /// Members asked to repeat a probe.
    pub indirect_probes: usize,
    /// Time from one datagram of pending updates to the next.
    pub gossip_interval_ms: u64,
    /// Time from one try of a seed or a dead address to the next.
    pub retry_interval_ms: u64,
    /// Time from one anti-entropy exchange to the next while views differ.
    pub sync_interval_ms: u64,
    /// Time after which a dead member is forgotten.
    pub dead_retention_ms: u64,
    /// Time after which a member that left is forgotten.
    pub left_retention_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            probe_interval_ms: 1_000,
            ack_timeout_ms: 300,
            indirect_probes: 3,
            gossip_interval_ms: 200,
            retry_interval_ms: 2_000,
            sync_interval_ms: 5_000,
            dead_retention_ms: 21_600_000,
            left_retention_ms: 600_000,
        }
    }
}

impl Options {
    /// Sets the time from one probe to the next.
    pub fn with_probe_interval_ms(mut self, interval_ms: u64) -> Self {
        self.probe_interval_ms = interval_ms;
        self
    }

    /// Sets the time after which a probe is repeated through other members.
    pub fn with_ack_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.ack_timeout_ms = timeout_ms;
        self
    }

    /// Sets the time from one datagram of pending updates to the next.
    pub fn with_gossip_interval_ms(mut self, interval_ms: u64) -> Self {
        self.gossip_interval_ms = interval_ms;
        self
    }

    /// Sets the time from one try of a seed or a dead address to the next.
    pub fn with_retry_interval_ms(mut self, interval_ms: u64) -> Self {
        self.retry_interval_ms = interval_ms;
        self
    }

    /// Sets the time from one anti-entropy exchange to the next while views differ.
    pub fn with_sync_interval_ms(mut self, interval_ms: u64) -> Self {
        self.sync_interval_ms = interval_ms;
        self
    }

    /// Sets the time after which a dead member is forgotten.
    pub fn with_dead_retention_ms(mut self, time_ms: u64) -> Self {
        self.dead_retention_ms = time_ms;
        self
    }
}
