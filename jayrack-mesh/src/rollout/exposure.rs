//! Budget of requests that an ingress may send to an unproven version.
use super::ExposureBounds;

/// Fraction of the bounded share that is used before the promotion; the rest is reserved for the promotion's ramp.
const CANARY_FRACTION: f64 = 0.5;
/// Fraction of the slack that the initial budgets of all hosts may sum up to, if the slack is too small for the initial
/// budget of [`ExposureBudget::new`].
const INITIAL_FRACTION: f64 = 0.8;
/// Standard deviations of the sum of exposures that the slack must cover for random initial budgets up to one request.
const MIN_DEVIATIONS: f64 = 4.0;
/// Largest budget, in requests: without a server of the version it must not grow into a burst.
const MAX_BUDGET: f64 = 2.0;

/// Share of a service's requests that a version may receive before its promotion.
pub fn canary_share(bounds: &ExposureBounds) -> f64 {
    (bounds.share * CANARY_FRACTION).clamp(0.0, 1.0)
}

/// Requests that one ingress may send to an unproven version. It is earned by requests to the service and used up by
/// those to the version, so that the sum over all ingresses is bounded without communication.
#[derive(Debug, Clone, PartialEq)]
pub struct ExposureBudget {
    requests: f64,
}

impl ExposureBudget {
    /// Creates the budget of one of `hosts` ingresses; `fraction` is a random number from 0 to 1.
    ///
    /// It is uniform up to one request: the number of requests that a budget allows is then on average exactly what
    /// it earns, from the first moment on, and the sum over the hosts deviates from that by at most half the square
    /// root of their number.
    pub fn new(bounds: &ExposureBounds, hosts: usize, fraction: f64) -> Self {
        let hosts = hosts.max(1) as f64;
        let limit = match MIN_DEVIATIONS * hosts.sqrt() / 2.0 <= bounds.slack {
            true => 1.0,
            false => INITIAL_FRACTION * bounds.slack / hosts,
        };
        Self {
            requests: (limit * fraction.clamp(0.0, 1.0)).min(MAX_BUDGET),
        }
    }

    /// Creates the empty budget of an ingress that may have used its initial one in an earlier process.
    pub fn empty() -> Self {
        Self { requests: 0.0 }
    }

    /// Counts a request to the service, of which the version may receive the fraction `share`.
    pub fn earn(&mut self, share: f64) {
        self.requests = (self.requests + share.clamp(0.0, 1.0)).min(MAX_BUDGET);
    }

    /// Whether a request may be sent to the version.
    pub fn allows_request(&self) -> bool {
        self.requests >= 1.0
    }

    /// Counts a request that was sent to the version.
    pub fn spend(&mut self) {
        self.requests -= 1.0;
    }
}
