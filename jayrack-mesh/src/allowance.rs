//! Rate limits of tenants, which hold over the whole fleet.
//!
//! For each tenant one host is the lender: it keeps the tenant's token bucket and leases tokens to the daemons that
//! receive the tenant's requests, the borrowers. Each request that runs uses a token. The design and its alternatives
//! are in `docs/design/ALLOWANCES.md`.
//!
//! * [`node`]: the parts of one daemon, and the exchange between them.
//! * [`borrower`]: tokens that a daemon holds, and when it asks for more.
//! * [`lender`]: buckets of the tenants that a daemon lends for.
//! * [`contacts`]: hosts that a lender hears from.
mod account;
pub mod borrower;
mod borrowing;
pub mod contacts;
pub mod lender;
pub mod node;

use std::net::IpAddr;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Number of hosts that a daemon asks for a tenant's tokens, one after another: with half of the fleet cut off, all of
/// them are in the other half for one tenant in 256.
pub const LENDER_CANDIDATES: usize = 8;
/// Time for which a lease is valid, in milliseconds, counted by the borrower from its request.
pub const LEASE_VALIDITY_MS: u64 = 1_000;

/// Part of the permitted overrun that borrowers hold in advance.
const PREFETCH_FRACTION: f64 = 0.5;
/// Part of the permitted overrun that a bucket may hold beyond the burst, so that tokens are not lost between two
/// requests of a borrower.
const HEADROOM_FRACTION: f64 = 0.1;
/// Part of the slack that a bucket may hold beyond the burst.
const SPARE_FRACTION: f64 = 0.25;
/// Part of the slack with which a new bucket starts. A dead lender and the one that takes over may both have used
/// theirs within one window.
const START_FRACTION: f64 = 1.0 / 6.0;

/// Accuracy with which the limits must hold over the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverrunBounds {
    /// Length of the window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Fraction by which the requests of a window may exceed the limit.
    pub overrun: f64,
    /// Requests of a window that may exceed the limit in addition.
    pub slack: f64,
}

impl OverrunBounds {
    /// Time of a borrower's demand that it holds tokens for, in seconds.
    fn prefetch_s(&self) -> f64 {
        self.window_s * self.overrun * PREFETCH_FRACTION
    }

    /// Time of the rate that a bucket may hold beyond the burst, in seconds.
    fn headroom_s(&self) -> f64 {
        self.window_s * self.overrun * HEADROOM_FRACTION
    }

    /// Tokens that a bucket may hold beyond the burst.
    fn spare_tokens(&self) -> f64 {
        self.slack * SPARE_FRACTION
    }

    /// Tokens in a new bucket.
    fn start_tokens(&self) -> f64 {
        self.slack * START_FRACTION
    }
}

/// Request of a borrower to a lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRequest {
    /// Name of the tenant; empty in a probe, which only asks for an answer.
    pub tenant: String,
    /// Grows with each request of a borrower; a request that is sent again keeps it.
    pub id: u64,
    /// Tokens that the borrower needs.
    pub tokens: u32,
    /// Tokens of earlier leases that it gives back.
    pub returned: u32,
}

/// Answer of a lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TokenLease {
    /// Name of the tenant; empty in the answer to a probe.
    pub tenant: String,
    /// Identifier of the request.
    pub id: u64,
    /// Tokens that the borrower may use.
    pub tokens: u32,
    /// Time after which the bucket has a token again, in milliseconds; 0 if the request was met in full.
    pub wait_ms: u32,
}

/// Notice of a standby to the hosts before it in the tenant's order, which may be lending as well.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StandbyNotice {
    /// Name of the tenant.
    pub tenant: String,
    /// Tokens that the standby has lent since it began to: a sum, so that no lost, repeated or late notice falsifies it.
    pub lent: u64,
}

/// Message between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowanceMessage {
    /// From a borrower.
    Request(LeaseRequest),
    /// From a lender.
    Lease(TokenLease),
    /// From a standby to a lender.
    Notice(StandbyNotice),
}

/// The hosts with the highest rendezvous hashes for a tenant, the lender first, at most [`LENDER_CANDIDATES`].
///
/// Hosts with the same view of the live hosts choose the same lender, and the loss of a host moves only the tenants
/// that it lent for.
pub fn lender_order(tenant: &str, live: &[IpAddr]) -> Vec<IpAddr> {
    let seed = xxh3_64(tenant.as_bytes());
    let weight = |address: &IpAddr| match address {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
    };
    let mut order: Vec<(u64, IpAddr)> = live
        .iter()
        .map(|address| (weight(address), *address))
        .collect();
    order.sort_unstable_by(|first, second| second.cmp(first));
    order.truncate(LENDER_CANDIDATES);
    order.into_iter().map(|(_, address)| address).collect()
}

/// Events per second with exponential decay.
#[derive(Debug, Default)]
struct RateMeter {
    events: f64,
    updated_ms: u64,
}

impl RateMeter {
    /// Time constant of the decay, in milliseconds: as long as a lease is valid.
    const DECAY_MS: f64 = 1_000.0;

    fn add(&mut self, now_ms: u64) {
        self.events = self.per_second(now_ms) * Self::DECAY_MS / 1_000.0 + 1.0;
        self.updated_ms = now_ms;
    }

    fn per_second(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.events * (-elapsed_ms / Self::DECAY_MS).exp() * 1_000.0 / Self::DECAY_MS
    }
}
