//! Retry budget: how many requests of a service may be sent again.
use std::collections::{BTreeMap, VecDeque};

/// Share of the per-request allowance that retries may use, in percent; the rest covers requests that are counted by
/// another host than the one that retries them.
const ALLOWANCE_PERCENT: f64 = 90.0;
/// Share of the per-request allowance that retries of new requests may use at a service that receives nested calls,
/// in percent: callers of new requests retry by themselves, those of nested calls do not. A service without nested
/// calls keeps nothing back for them.
const NEW_REQUEST_PERCENT: f64 = 55.0;
/// Share of the fixed allowance that is used, in percent; the rest covers hosts that join within a window.
const FIXED_PERCENT: f64 = 50.0;
/// Rounding error below which an allowance counts as a whole number.
const ROUNDING_ERROR: f64 = 1e-9;

/// Kind of a request, which decides on its share of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A call made by a running request, whose work is lost if the call fails.
    NestedCall,
    /// A request that no running request depends on.
    NewRequest,
}

/// Bounds on retries that the operator sets for the fleet as a whole.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed for each request of a service in the window; fractions are usual.
    pub retries_per_request: f64,
    /// Retries allowed for each service in the window in addition, whatever the number of requests; may be a fraction.
    pub fixed_retries: f64,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
    /// When the last nested call was recorded; `None` if there was none within the window.
    last_call_ms: Option<u64>,
}

impl ServiceWindow {
    fn expire(&mut self, start_ms: u64) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| *time < start_ms) {
                times.pop_front();
            }
        }
        self.last_call_ms = self
            .last_call_ms
            .filter(|last_call_ms| *last_call_ms >= start_ms);
    }
}

/// This daemon's share of the fleet's retry allowance, for each service.
///
/// The shares of all daemons together stay within the allowance in every window.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    services: BTreeMap<String, ServiceWindow>,
}

impl RetryBudget {
    /// Creates a budget without recorded requests.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            services: BTreeMap::new(),
        }
    }

    /// Replaces the bounds and keeps the counts of the current window.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Counts a request of `service`.
    pub fn record_request(&mut self, now_ms: u64, service: &str, kind: RequestKind) {
        let window = self.window(now_ms, service);
        window.requests.push_back(now_ms);
        if kind == RequestKind::NestedCall {
            window.last_call_ms = Some(now_ms);
        }
    }

    /// Counts a nested call of a retried request as a retry; it uses up the budget but can't be withheld.
    pub fn record_nested_retry(&mut self, now_ms: u64, service: &str) {
        self.window(now_ms, service).retries.push_back(now_ms);
    }

    /// Takes one retry at `service` from the budget; returns false if none is left.
    ///
    /// `hosts` is the number of hosts that share the fixed allowance.
    pub fn try_retry(
        &mut self,
        now_ms: u64,
        service: &str,
        hosts: usize,
        kind: RequestKind,
    ) -> bool {
        let Options {
            retries_per_request,
            fixed_retries,
            ..
        } = self.options;
        let window = self.window(now_ms, service);
        let percent = match kind {
            RequestKind::NewRequest if window.last_call_ms.is_some() => NEW_REQUEST_PERCENT,
            RequestKind::NewRequest | RequestKind::NestedCall => ALLOWANCE_PERCENT,
        };
        let requests = window.requests.len() as f64;
        let by_requests = whole_retries(requests * retries_per_request * percent / 100.0);
        let by_fixed = whole_retries(fixed_retries * FIXED_PERCENT / 100.0 / hosts.max(1) as f64);
        if window.retries.len() as u64 >= by_requests.saturating_add(by_fixed) {
            return false;
        }
        window.retries.push_back(now_ms);
        true
    }

    fn window(&mut self, now_ms: u64, service: &str) -> &mut ServiceWindow {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceWindow::default());
        }
        let window = self.services.get_mut(service).expect("inserted above");
        window.expire(now_ms.saturating_sub(self.options.window_ms));
        window
    }
}

/// Number of whole retries in an allowance.
fn whole_retries(allowance: f64) -> u64 {
    (allowance + ROUNDING_ERROR) as u64
}
