//! Inputs and results of a borrower.
use std::net::IpAddr;

use super::{LeaseRequest, TokenLease};
use crate::tenants::TenantAllowance;

/// A request of a tenant.
#[derive(Debug, Clone, Copy)]
pub struct BorrowInput<'a> {
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// Name of the tenant.
    pub tenant: &'a str,
    /// Its limit.
    pub allowance: TenantAllowance,
    /// Hosts to ask for tokens, the lender first.
    pub lenders: &'a [IpAddr],
    /// Number of hosts in the fleet.
    pub hosts: usize,
}

/// A lease that was received.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedLease<'a> {
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// Host that sent it.
    pub lender: IpAddr,
    /// The lease.
    pub lease: &'a TokenLease,
    /// Hosts to ask for further tokens, the lender first.
    pub lenders: &'a [IpAddr],
}

/// The token that a request runs with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenPermit {
    /// Lender of the token; `None` if it is of the daemon's own share.
    pub lender: Option<IpAddr>,
    /// End of its lease, in milliseconds.
    pub expires_ms: u64,
}

/// Decision about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AllowanceDecision {
    /// It may run.
    Run(TokenPermit),
    /// It is over the limit; a token is expected after this time in milliseconds.
    Refuse(u64),
}

/// Decision about an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BorrowOutcome {
    /// Decided at once.
    Decided(AllowanceDecision),
    /// The lender is asked; the decision follows under this number.
    Waiting(u64),
}

/// Results of a step: messages to send and decisions about waiting requests.
#[derive(Debug, Default)]
pub struct BorrowerOutput {
    /// Requests to lenders.
    pub requests: Vec<(IpAddr, LeaseRequest)>,
    /// Decisions by the number of the waiting request.
    pub decisions: Vec<(u64, AllowanceDecision)>,
}

/// Requests since the start, by decision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BorrowerCounts {
    /// Admitted.
    pub admitted: u64,
    /// Refused.
    pub refused: u64,
    /// Requests for tokens that no lender answered.
    pub unanswered: u64,
}
