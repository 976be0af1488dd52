//! Settings of the traffic threads.
use std::{net::SocketAddr, time::Duration};

use crate::{clock::DaemonClock, settings::PolicyMode, transport::TlsOptions};

/// Limits that bound the memory of the traffic threads.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body that is buffered for retries, in bytes.
    pub replay_bytes: usize,
    /// Maximum size of an answer that is buffered before it is forwarded, and stored in case it is
    /// lost, in bytes.
    pub answer_bytes: usize,
    /// Maximum size of all stored answers, in bytes.
    pub ledger_bytes: usize,
    /// Maximum number of stored outcomes.
    pub ledger_records: usize,
    /// Maximum number of requests queued for one backend server.
    pub queue: usize,
    /// Maximum number of callers' connections.
    pub caller_connections: usize,
    /// Maximum number of QUIC connections from peers.
    pub peer_connections: usize,
    /// Maximum number of concurrent streams on one QUIC connection.
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

/// Time limits of the traffic threads.
#[derive(Debug, Clone)]
pub struct Timeouts {
    /// From the first byte of a request head to its end.
    pub head: Duration,
    /// Between two reads of a request body.
    pub body: Duration,
    /// Without the caller reading a byte of the answer.
    pub send: Duration,
    /// Without a request on a caller's connection.
    pub caller_idle: Duration,
    /// Establishing a connection to a peer or a backend server.
    pub connect: Duration,
    /// Between keep-alive packets on a QUIC connection.
    pub keep_alive: Duration,
    /// Without any packet on a QUIC connection, after which it counts as lost.
    pub silence: Duration,
    /// Idle time after which a backend connection carries no request that is not idempotent.
    pub max_idle_non_idempotent: Duration,
    /// Maximum difference between the clocks of two daemons.
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

/// Retention and number of the claims on Idempotency-Keys.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Time for which a key is stored after its last use, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of keys stored by this daemon as a claim replica.
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
    /// Creates options with the addresses of the two listeners and the certificates; the rest has
    /// defaults.
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

    /// Sets the limits.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Sets the retention and number of claims.
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

    /// Sets the time since when this daemon has received all claims that it is a replica for, in
    /// milliseconds of its clock; its start by default.
    #[must_use]
    pub fn claims_known_since_ms(mut self, since_ms: u64) -> Self {
        self.claims_known_since_ms = Some(since_ms);
        self
    }

    /// Sets the time limits.
    #[must_use]
    pub fn timeouts(mut self, timeouts: Timeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Sets the policy by which requests are ordered and retried.
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
