//! Forwarding attempts of one request, and whether another host is tried.
use std::net::IpAddr;

/// Attempts after which a request is refused.
const MAX_ATTEMPTS: usize = 6;
/// Hosts without a free slot after which the next one lets the request wait.
const MAX_PASSES: u32 = 4;
/// Untried hosts up to which requests are not passed on: a request is refused when it has tried all hosts.
const MIN_UNTRIED_HOSTS: usize = 4;
/// Attempts after which a new request is refused while its service has no free slots: further ones would find none, and
/// use processor time and links.
const MAX_FULL_SERVICE_ATTEMPTS: usize = 3;
/// Attempts at hosts with full links after which a request is refused: an attempt itself uses capacity of the link, and
/// where each host receives attempts from all others, they add up.
const MAX_LINK_FULL_ATTEMPTS: u32 = 2;

/// Outcome of an attempt, as far as it matters for further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The host has no room for the request, or was not reached.
    Refused,
    /// The host would have let the request wait, but knew others with free slots.
    Passed,
    /// The host's link cannot carry the answer in time.
    LinkFull,
    /// The backend server received the request and refused it without running it.
    ServerRefused,
    /// The backend server ran the request, or may have.
    Ran,
}

/// Hosts that one request was sent to, with counts of the outcomes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptHistory {
    local: IpAddr,
    hosts: Vec<IpAddr>,
    runs: u32,
    server_refusals: u32,
    link_full_attempts: u32,
    passes: u32,
    /// Whether the link of `local` is full; an answer of another host would need it, too.
    is_local_link_full: bool,
}

impl AttemptHistory {
    /// Creates the history of a request that entered at the host `local`.
    pub fn new(local: IpAddr) -> Self {
        Self {
            local,
            hosts: Vec::new(),
            runs: 0,
            server_refusals: 0,
            link_full_attempts: 0,
            passes: 0,
            is_local_link_full: false,
        }
    }

    /// Records that the request is sent to `host`.
    pub fn record_attempt(&mut self, host: IpAddr) {
        self.hosts.push(host);
    }

    /// Records the outcome of the last attempt.
    pub fn record_outcome(&mut self, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Refused => {}
            AttemptOutcome::Passed => self.passes += 1,
            AttemptOutcome::LinkFull => {
                self.link_full_attempts += 1;
                self.is_local_link_full |= self.hosts.last() == Some(&self.local);
            }
            AttemptOutcome::ServerRefused => self.server_refusals += 1,
            AttemptOutcome::Ran => self.runs += 1,
        }
    }

    /// The hosts tried, in the order of the attempts.
    pub fn hosts(&self) -> &[IpAddr] {
        &self.hosts
    }

    /// Number of backend servers that ran the request, or may have.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Whether a further attempt counts as a retry: a backend server has received the request already.
    pub fn is_retry(&self) -> bool {
        self.runs + self.server_refusals > 0
    }

    /// Whether the next of `untried` hosts may pass the request on instead of letting it wait; the others must suffice
    /// for the request to wait at one of them.
    pub fn may_pass(&self, untried: usize) -> bool {
        untried > MIN_UNTRIED_HOSTS
            && self.passes < MAX_PASSES
            && self.refusals() + 1 < MAX_ATTEMPTS
    }

    /// Whether no further host is tried while the service of a new request has no free slots.
    pub fn is_exhausted_when_full(&self) -> bool {
        self.refusals() >= MAX_FULL_SERVICE_ATTEMPTS || self.is_exhausted()
    }

    /// Attempts that were not passed on: a request that was is refused no sooner than others.
    fn refusals(&self) -> usize {
        self.hosts.len() - self.passes as usize
    }

    /// Whether no further host is tried.
    pub fn is_exhausted(&self) -> bool {
        self.refusals() >= MAX_ATTEMPTS
            || self.link_full_attempts >= MAX_LINK_FULL_ATTEMPTS
            || self.is_local_link_full
    }
}
