//! Guards against wasted work when all servers of a service refuse about half of their requests, including nested
//! calls (lookups) of running requests.
//!
//! A running request needs both of its lookups; callers of new requests retry by themselves.
use jayrack_mesh::{
    RetryBudget, RunningRequests,
    budget::{Options, RequestKind},
    running::RequestClaim,
};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

/// Nested call of a server, which carries no key.
fn nested(id: &str) -> RequestClaim<'_> {
    RequestClaim::new(id, false)
}

const SERVICE: &str = "bookings";
const HOSTS: usize = 20;
/// Running requests with two lookups each, per second and host.
const PARENTS_PER_SECOND: u64 = 16;
/// New requests of the service, per second and host.
const NEW_PER_SECOND: u64 = 6;
const SECONDS: u64 = 20;
/// Share of the requests that the servers refuse, in percent.
const SHED_PERCENT: u32 = 55;
/// Most servers that a request is sent to.
const MAX_ATTEMPTS: u32 = 6;

fn budget() -> RetryBudget {
    RetryBudget::new(Options {
        window_ms: 10_000,
        retries_per_request: 0.2,
        fixed_retries: 200.0,
    })
}

/// Times of requests and retries of one host, and the number of running requests that completed.
#[derive(Debug, Default)]
struct HostResult {
    requests: Vec<u64>,
    retries: Vec<u64>,
    parents_served: u32,
}

struct HostSimulation {
    budget: RetryBudget,
    running: RunningRequests,
    random: Pcg32,
    result: HostResult,
}

impl HostSimulation {
    fn new(seed: u64) -> Self {
        Self {
            budget: budget(),
            running: RunningRequests::default(),
            random: Pcg32::seed_from_u64(seed),
            result: HostResult::default(),
        }
    }

    /// Sends a request until a server accepts it, its parent request fails anyway, or no retry is left.
    fn send(&mut self, now_ms: u64, retry_kind: RequestKind, call: Option<&str>) -> bool {
        let kind = match call {
            Some(_) => RequestKind::NestedCall,
            None => RequestKind::NewRequest,
        };
        self.budget.record_request(now_ms, SERVICE, kind);
        self.result.requests.push(now_ms);
        for _ in 0..MAX_ATTEMPTS {
            if self.random.next_u32() % 100 >= SHED_PERCENT {
                return true;
            }
            let is_needed = call
                .filter(|_| retry_kind == RequestKind::NestedCall)
                .and_then(|id| self.running.parent(nested(id)))
                .is_none_or(|parent| !parent.has_refused_call);
            if !is_needed || !self.budget.try_retry(now_ms, SERVICE, HOSTS, retry_kind) {
                return false;
            }
            self.result.retries.push(now_ms);
        }
        false
    }

    /// Runs a request with two lookups, whose retries count as `retry_kind`.
    fn run_parent(&mut self, now_ms: u64, number: u64, retry_kind: RequestKind) {
        let id = format!("p{number}");
        self.running.start(&id, false, None);
        for lookup in ["a", "b"] {
            let id = format!("{id}.{lookup}");
            if !self.send(now_ms, retry_kind, Some(&id)) {
                self.running.record_refused_call(nested(&id));
            }
        }
        let state = self.running.end(&id);
        self.result.parents_served += u32::from(!state.has_refused_call);
    }
}

/// Simulates all hosts; retries of lookups count as `retry_kind`.
fn simulate(retry_kind: RequestKind) -> Vec<HostResult> {
    let mut results = Vec::new();
    for host in 0..HOSTS {
        let mut simulation = HostSimulation::new(host as u64);
        let mut number = 0;
        for step in 0..SECONDS * (PARENTS_PER_SECOND + NEW_PER_SECOND) {
            let now_ms = step * 1_000 / (PARENTS_PER_SECOND + NEW_PER_SECOND);
            if step % (PARENTS_PER_SECOND + NEW_PER_SECOND) < NEW_PER_SECOND {
                simulation.send(now_ms, RequestKind::NewRequest, None);
            } else {
                number += 1;
                simulation.run_parent(now_ms, number, retry_kind);
            }
        }
        results.push(simulation.result);
    }
    results
}

fn served(results: &[HostResult]) -> u32 {
    results.iter().map(|result| result.parents_served).sum()
}

#[test]
fn prioritising_retries_of_nested_calls_completes_more_requests() {
    let unprioritised = simulate(RequestKind::NewRequest);
    let prioritised = simulate(RequestKind::NestedCall);

    let (unprioritised, prioritised) = (served(&unprioritised), served(&prioritised));

    assert!(
        prioritised * 10 >= unprioritised * 11,
        "{prioritised} against {unprioritised} completed"
    );
}

#[test]
fn retries_of_nested_calls_stay_within_the_allowance_of_the_fleet() {
    let results = simulate(RequestKind::NestedCall);

    for start_ms in (0..=(SECONDS - 10) * 1_000).step_by(500) {
        let within = |times: &dyn Fn(&HostResult) -> &Vec<u64>| {
            let window = start_ms..start_ms + 10_000;
            let all = results.iter().flat_map(times);
            all.filter(|time| window.contains(*time)).count()
        };
        let requests = within(&|result| &result.requests);
        let retries = within(&|result| &result.retries);
        assert!(
            retries * 5 <= requests + 5 * 200,
            "{retries} of {requests} from {start_ms} ms"
        );
    }
}

#[test]
fn nested_calls_of_retried_requests_use_up_the_allowance() {
    let mut budget = budget();
    for _ in 0..100 {
        budget.record_request(0, SERVICE, RequestKind::NestedCall);
    }

    for _ in 0..100 {
        budget.record_nested_retry(0, SERVICE);
    }

    assert!(!budget.try_retry(0, SERVICE, HOSTS, RequestKind::NestedCall));
}

#[test]
fn a_refused_nested_call_is_recorded_for_its_parent_request() {
    let mut running = RunningRequests::default();
    running.start("one", true, None);
    running.start("two", false, None);

    running.record_refused_call(nested("one.a"));
    running.record_refused_call(nested("three.a"));

    let one = running.parent(nested("one.b")).expect("it runs");
    assert!(one.is_retry && one.has_refused_call);
    assert_eq!(
        running
            .parent(nested("two.a"))
            .map(|two| two.has_refused_call),
        Some(false)
    );
    assert_eq!(running.parent(nested("three.a")), None);
    assert!(running.end("one").has_refused_call);
    assert_eq!(running.parent(nested("one.c")), None);
}

/// Guards against a client that gets what a nested call gets by choosing its identifier.
#[test]
fn a_request_with_a_key_is_no_nested_call() {
    let mut running = RunningRequests::default();
    running.start("one", true, None);
    let claim = RequestClaim::new("one.a", true);

    running.record_refused_call(claim);

    assert_eq!(running.parent(claim), None);
    assert!(!running.end("one").has_refused_call);
}

/// The servers of a service that receives no nested calls refuse half of their requests.
#[test]
fn new_requests_get_the_full_allowance_at_a_service_without_nested_calls() {
    const REQUESTS: u64 = 1_000;
    let retries_of = |called: bool| {
        let mut budget = budget();
        for _ in 0..REQUESTS {
            budget.record_request(0, SERVICE, RequestKind::NewRequest);
        }
        if called {
            budget.record_request(0, SERVICE, RequestKind::NestedCall);
        }
        let retry = |_: &u64| budget.try_retry(1, SERVICE, HOSTS, RequestKind::NewRequest);
        (0..REQUESTS).filter(retry).count() as u64
    };

    let (alone, beside_calls) = (retries_of(false), retries_of(true));

    assert!(
        alone * 10 >= beside_calls * 15,
        "{alone} against {beside_calls}"
    );
    assert!(alone * 5 <= REQUESTS, "{alone} of the allowance");
}

#[test]
fn new_requests_get_the_full_allowance_once_the_last_nested_call_left_the_window() {
    let mut budget = budget();
    budget.record_request(0, SERVICE, RequestKind::NestedCall);
    for _ in 0..100 {
        budget.record_request(9_000, SERVICE, RequestKind::NewRequest);
    }
    let retries = |budget: &mut RetryBudget, now_ms: u64| {
        let retry = |_: &u32| budget.try_retry(now_ms, SERVICE, HOSTS, RequestKind::NewRequest);
        (0..100).filter(retry).count()
    };

    let beside_call = retries(&mut budget, 9_000);
    let later = retries(&mut budget, 10_500);

    assert!(later > 0, "{beside_call}, then {later}");
}

#[test]
fn changed_bounds_apply_to_requests_counted_earlier() {
    let mut budget = budget();
    for _ in 0..100 {
        budget.record_request(0, SERVICE, RequestKind::NewRequest);
    }
    assert!(budget.try_retry(0, SERVICE, HOSTS, RequestKind::NewRequest));

    budget.set_options(Options {
        window_ms: 10_000,
        retries_per_request: 0.0,
        fixed_retries: 0.0,
    });

    assert!(!budget.try_retry(0, SERVICE, HOSTS, RequestKind::NewRequest));
}
