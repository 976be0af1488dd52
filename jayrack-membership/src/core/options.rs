//! Settings of the state machine.

/// Intervals, in milliseconds, and counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Interval between probes.
    pub probe_interval_ms: u64,
    /// Time without an ack after which a probe is repeated as indirect probes.
    pub ack_timeout_ms: u64,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Interval between datagrams of pending updates.
    pub gossip_interval_ms: u64,
    /// Interval between pings of seeds or addresses of dead members.
    pub retry_interval_ms: u64,
    /// Interval between anti-entropy exchanges while views differ.
    pub sync_interval_ms: u64,
    /// Time after which a dead member is removed from the view.
    pub dead_retention_ms: u64,
    /// Time after which a member that left is removed from the view.
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
    /// Sets the interval between probes.
    pub fn with_probe_interval_ms(mut self, interval_ms: u64) -> Self {
        self.probe_interval_ms = interval_ms;
        self
    }

    /// Sets the time without an ack after which a probe is repeated as indirect probes.
    pub fn with_ack_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.ack_timeout_ms = timeout_ms;
        self
    }

    /// Sets the interval between datagrams of pending updates.
    pub fn with_gossip_interval_ms(mut self, interval_ms: u64) -> Self {
        self.gossip_interval_ms = interval_ms;
        self
    }

    /// Sets the interval between pings of seeds or addresses of dead members.
    pub fn with_retry_interval_ms(mut self, interval_ms: u64) -> Self {
        self.retry_interval_ms = interval_ms;
        self
    }

    /// Sets the interval between anti-entropy exchanges while views differ.
    pub fn with_sync_interval_ms(mut self, interval_ms: u64) -> Self {
        self.sync_interval_ms = interval_ms;
        self
    }

    /// Sets the time after which a dead member is removed from the view.
    pub fn with_dead_retention_ms(mut self, time_ms: u64) -> Self {
        self.dead_retention_ms = time_ms;
        self
    }
}
