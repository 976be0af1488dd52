//! How many requests may be sent a second time.
use std::collections::{BTreeMap, VecDeque};

/// Part of the allowance for requests that repeats may use, in percent; the rest covers requests that are counted by
/// another host than the one that repeats them.
const ALLOWANCE_PERCENT: u64 = 90;
/// Part of the allowance for requests that repeats of new requests may use at a service that is called, in percent:
/// their callers come back by themselves, those of calls do not. Where nothing calls, no room is kept for calls.
const NEW_REQUEST_PERCENT: u64 = 55;
/// Part of the fixed allowance that is spent, in percent; the rest covers hosts that join within a window.
const FIXED_PERCENT: u64 = 50;

/// What a request is, as far as it matters for repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A call of a running request, whose work is lost if the call fails.
    NestedCall,
    /// A new request.
    NewRequest,
}

/// Bounds that the operator sets for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Repeats allowed for each thousand requests of a service in the window.
    pub retries_per_mille: u64,
    /// Repeats allowed for each service in the window whatever the number of requests.
    pub fixed_retries: u64,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<u64>,
    retries: VecDeque<u64>,
    /// When the last call came.
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

/// This daemon's part of the fleet's allowance of repeats, for each service.
///
/// The parts of all daemons together stay within the allowance in every window.
#[derive(Debug)]
pub struct RetryBudget {
    options: Options,
    services: BTreeMap<String, ServiceWindow>,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            services: BTreeMap::new(),
        }
    }

    /// Replaces the bounds; what was counted counts on.
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

    /// Counts a call of a request that was itself repeated: it is a repeat that nobody can withhold.
    pub fn record_nested_retry(&mut self, now_ms: u64, service: &str) {
        self.window(now_ms, service).retries.push_back(now_ms);
    }

    /// Takes one repeat at `service`; `hosts` is the number of hosts that share the allowance.
    pub fn try_retry(
        &mut self,
        now_ms: u64,
        service: &str,
        hosts: usize,
        kind: RequestKind,
    ) -> bool {
        let Options {
            retries_per_mille,
            fixed_retries,
            ..
        } = self.options;
        let window = self.window(now_ms, service);
        let percent = match kind {
            RequestKind::NewRequest if window.last_call_ms.is_some() => NEW_REQUEST_PERCENT,
            RequestKind::NewRequest | RequestKind::NestedCall => ALLOWANCE_PERCENT,
        };
        let by_requests = window.requests.len() as u64 * retries_per_mille * percent / 100_000;
        let by_fixed = fixed_retries * FIXED_PERCENT / (100 * hosts.max(1) as u64);
        if window.retries.len() as u64 >= by_requests + by_fixed {
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
