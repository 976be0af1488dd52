//! The hosts that one request was offered to, and whether it is offered to another.
use std::net::IpAddr;

/// Hosts that a request is offered to before it is refused.
const MAX_ATTEMPTS: usize = 6;
/// Hosts with full links that a request is offered to before it is refused: an offer takes a part of the link, too,
/// and where each host is asked by all others, each has enough to carry.
const MAX_LINK_FULL_ATTEMPTS: u32 = 2;

/// Why a host did not run a request, as far as it matters for further offers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It has no room for the request, or was not reached.
    Refused,
    /// Its link cannot carry the answer in time.
    LinkFull,
    /// Its backend server received the request and turned it away.
    ServerRefused,
    /// Its backend server ran the request, or may have.
    Ran,
}

/// Offers of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHistory {
    local: IpAddr,
    hosts: Vec<IpAddr>,
    runs: u32,
    server_refusals: u32,
    link_full_attempts: u32,
    /// No answer of another host can be brought to the caller in time either.
    is_local_link_full: bool,
}

impl AttemptHistory {
    /// Creates the trail of a request that entered at the host `local`.
    pub fn new(local: IpAddr) -> Self {
        Self {
            local,
            hosts: Vec::new(),
            runs: 0,
            server_refusals: 0,
            link_full_attempts: 0,
            is_local_link_full: false,
        }
    }

    /// Notes that the request goes to `host`.
    pub fn record_attempt(&mut self, host: IpAddr) {
        self.hosts.push(host);
    }

    /// Notes how the last offer ended.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Refused => {}
            AttemptOutcome::LinkFull => {
                self.link_full_attempts += 1;
                self.is_local_link_full |= self.hosts.last() == Some(&self.local);
            }
            AttemptOutcome::ServerRefused => self.server_refusals += 1,
            AttemptOutcome::Ran => self.runs += 1,
        }
    }

    /// The hosts, in the order of the offers.
    pub fn hosts(&self) -> &[IpAddr] {
        &self.hosts
    }

    /// Backend servers that ran the request, or may have.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether a further offer counts as a repeat.
    pub fn is_retry(&self) -> bool {
        self.runs + self.server_refusals > 0
    }

    /// Whether no further host is asked.
    pub fn is_exhausted(&self) -> bool {
        self.hosts.len() >= MAX_ATTEMPTS
            || self.link_full_attempts >= MAX_LINK_FULL_ATTEMPTS
            || self.is_local_link_full
    }
}
