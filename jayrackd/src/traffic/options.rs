//! Settings of the traffic threads.
use std::{net::SocketAddr, time::Duration};

use crate::{clock::DaemonClock, settings::PolicyMode, transport::TlsOptions};

/// Sizes that bound the memory of the traffic threads.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Longest request body, in bytes.
    pub body_bytes: u64,
    /// Longest request head, in bytes.
    pub head_bytes: usize,
    /// Longest body that is held back for a retry, in bytes.
    pub replay_bytes: usize,
    /// Longest answer that is collected before it is passed on, and kept for a lost answer, in bytes.
    pub answer_bytes: usize,
    /// Bytes of kept answers, all requests together.
    pub ledger_bytes: usize,
    /// Outcomes kept, all requests together.
    pub ledger_records: usize,
    /// Requests that wait at the owner.
    pub queue: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// QUIC connections from peers.
    pub peer_connections: usize,
    /// Requests at once on one QUIC connection.
    pub peer_streams: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 16 * 1024 * 1024,
            head_bytes: 16 * 1024,
            replay_bytes: 32 * 1024,
            answer_bytes: 32 * 1024,
            ledger_bytes: 4 * 1024 * 1024,
            ledger_records: 20_000,
            queue: 512,
            caller_connections: 1024,
            peer_connections: 256,
            peer_streams: 512,
        }
    }
}

/// Times after which something is given up.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// From the first byte of a request head to its end.
    pub head: Duration,
    /// Between two parts of a request body.
    pub body: Duration,
    /// Without the caller taking a byte of the answer.
    pub send: Duration,
    /// Without a request on a caller's connection.
    pub caller_idle: Duration,
    /// Establishing a connection to a peer or a backend server.
    pub connect: Duration,
    /// Between keep-alive packets on a QUIC connection.
    pub keep_alive: Duration,
    /// Without any packet on a QUIC connection until it counts as lost.
    pub silence: Duration,
    /// Idle time after which a backend connection no longer carries work that is not idempotent.
    pub max_idle_non_idempotent: Duration,
    /// Greatest difference between the clocks of two daemons.
    pub clock_skew: Duration,
    /// For requests in flight when the traffic threads are closed.
    pub grace: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            head: Duration::from_secs(5),
            body: Duration::from_secs(10),
            send: Duration::from_secs(30),
            caller_idle: Duration::from_secs(60),
            connect: Duration::from_millis(500),
            keep_alive: Duration::from_millis(400),
            silence: Duration::from_millis(1500),
            max_idle_non_idempotent: Duration::from_secs(1),
            clock_skew: Duration::from_secs(1),
            grace: Duration::from_secs(20),
        }
    }
}

/// How long and how many Idempotency-Keys are remembered.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Time that a key is kept after its last use, in milliseconds.
    pub retention_ms: u64,
    /// Greatest number of keys for which this daemon is a home.
    pub max_claims: usize,
}

impl Default for ClaimOptions {
    fn default() -> Self {
        Self {
            retention_ms: 60_000,
            max_claims: 20_000,
        }
    }
}

/// Settings of the traffic threads.
#[derive(Debug, Clone)]
pub struct Options {
    pub(crate) callers: SocketAddr,
    pub(crate) forward: SocketAddr,
    pub(crate) tls: TlsOptions,
    pub(crate) limits: Limits,
    pub(crate) timeouts: Timeouts,
    pub(crate) worker_threads: usize,
    pub(crate) seed: u64,
    pub(crate) policy: PolicyMode,
    pub(crate) claims: ClaimOptions,
    pub(crate) clock: DaemonClock,
    pub(crate) claims_known_since_ms: Option<u64>,
}

impl Options {
    /// Takes the addresses of the two listeners and the certificates; all else has defaults.
    pub fn new(callers: SocketAddr, forward: SocketAddr, tls: TlsOptions) -> Self {
        Self {
            callers,
            forward,
            tls,
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            worker_threads: 2,
            seed: 0,
            policy: PolicyMode::default(),
            claims: ClaimOptions::default(),
            clock: DaemonClock::start(),
            claims_known_since_ms: None,
        }
    }

    /// Replaces the sizes.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Replaces the memory of Idempotency-Keys.
    #[must_use]
    pub fn claims(mut self, claims: ClaimOptions) -> Self {
        self.claims = claims;
        self
    }

    /// Sets the clock that the shared state's times are measured on.
    #[must_use]
    pub fn clock(mut self, clock: DaemonClock) -> Self {
        self.clock = clock;
        self
    }

    /// States since when this daemon has seen all claims that it is a home for, in milliseconds of
    /// its clock; since its start by default.
    #[must_use]
    pub fn claims_known_since_ms(mut self, since_ms: u64) -> Self {
        self.claims_known_since_ms = Some(since_ms);
        self
    }

    /// Replaces the times.
    #[must_use]
    pub fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Sets how work is ordered and retried.
    #[must_use]
    pub fn policy(mut self, policy: PolicyMode) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the number of worker threads.
    #[must_use]
    pub fn worker_threads(mut self, worker_threads: usize) -> Self {
        self.worker_threads = worker_threads;
        self
    }

    /// Sets the seed of request identifiers and random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}
