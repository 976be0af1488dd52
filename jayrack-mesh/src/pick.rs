//! Selection of a host for a request.
use std::{cmp::Reverse, collections::BTreeMap, net::IpAddr};

use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

use crate::{
    gate::{GateLoad, ServiceTimeEstimate, Urgency},
    health::{FailureMeter, ServerHealth},
    load::{KnownLoad, ServiceLoad},
};

/// Service time assumed for a route without observations, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 150.0;
/// Answer size assumed for a route without observations, in kilobytes.
const DEFAULT_ANSWER_KB: f64 = 4.0;
/// Smoothing factor for a service time that a host reports; it is high, since the host averages many observations.
const REPORT_SMOOTHING: f64 = 0.5;
/// Bounds of a host's service time relative to the average of a route.
const SERVICE_RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Smoothing factor for single observations.
const SMOOTHING: f64 = 0.1;
/// Weight of a host's last report from which the host is always compared; of the others a few random ones are.
const MIN_CERTAINTY: f64 = 0.3;
/// Weight of a host's last report from which its free slots are named to other daemons.
const MIN_NAMED_CERTAINTY: f64 = 0.5;
/// Requests per slot of a service, on average over recent reports, from which requests wait at the first host
/// without a free slot: passing them on finds none elsewhere.
const MAX_PASSING_FULLNESS: f64 = 1.1;
/// Fraction of failures from which a server counts as failing in logs.
const FAILING_FRACTION: f64 = 0.3;
/// Service time relative to the average from which a server counts as slow in logs.
const SLOW_RATIO: f64 = 1.8;
/// Least weight of a failing host relative to that of a healthy one, so that its recovery is noticed.
const MIN_WEIGHT: f64 = 0.05;
/// Age from which a reported load is ignored where loads are not estimated, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 1_500;
/// Service time of a server that warms up, relative to the average.
const COLD_RATIO: f64 = 2.0;
/// Part of a slot that counts as a rounding error.
const ROUNDING_SLOTS: f64 = 0.001;
/// Number of random hosts without recent reports that are compared.
const RANDOM_CHOICES: usize = 2;
/// Cost of a host in another data centre for each kilobyte of the answer, in milliseconds of waiting.
///
/// Traffic between data centres is charged by volume.
const REMOTE_COST_MS_PER_KB: f64 = 20.0;
/// Fixed cost of a host in another data centre, in milliseconds, for the heads of request and answer.
const REMOTE_COST_MS: f64 = 60.0;
/// Upper bound of the cost of a host in another data centre, in milliseconds.
const MAX_REMOTE_COST_MS: f64 = 400.0;
/// Upper bound of the cost of a host without a free slot, in milliseconds, besides the wait itself.
///
/// Up to this bound it costs as much as a host in another data centre, so that requests with small answers don't wait
/// in their own data centre while another one has free slots. Those with large answers wait.
const MAX_FULL_COST_MS: f64 = 180.0;
/// Cost of a host other than this one for each kilobyte of the answer, in milliseconds: the answer uses the links of
/// both hosts, which takes capacity from the link of a host that runs a server.
const RELAY_COST_MS_PER_KB: f64 = 1.0;
/// Cost of a certain failure, in milliseconds; scaled by the fraction of failures.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Cost of a server's last free slot as a fraction of the service time, since servers slow down when full.
const CROWDING_FRACTION: f64 = 0.35;
/// Longest time for which a refusal excludes a host, in milliseconds.
const MAX_REFUSAL_MS: u64 = 80;
/// Largest random addition to the cost, as a fraction of it, so that daemons with the same view do not all choose the
/// same host.
const JITTER_FRACTION: f64 = 0.1;
/// Backoff after a server could not be reached, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 200;
/// Largest number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 4;

/// How the load of a host is judged between two of its reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LoadJudgement {
    /// By its last report, which is ignored from a certain age on.
    #[default]
    Reported,
    /// By an estimate that moves from the last report to the usual load of the host.
    Estimated,
}

/// A host that a request may be sent to.
#[derive(Debug, Clone)]
pub struct HostCandidate {
    /// Address of the host.
    pub address: IpAddr,
    /// Instance identifier of the backend server there.
    pub instance: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Whether it is in the data centre of this daemon.
    pub is_same_data_centre: bool,
    /// Whether it is the host of this daemon.
    pub is_local: bool,
    /// Whether it is silent or in backoff, so that it is used only if there is no other.
    pub is_unresponsive: bool,
}

/// Load and service times that a host reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// Load of its admission gate.
    pub load: GateLoad,
    /// Service time estimates of its server for some routes.
    pub service_times: Vec<ServiceTimeEstimate>,
}

/// The request that a host is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// Outcome of a request that was sent to a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HostOutcome {
    /// The backend server answered.
    Answered {
        /// Time at the backend server, in milliseconds.
        service_ms: u64,
        /// Size of the answer, in bytes; `None` while it is still being received.
        answer_bytes: Option<u64>,
    },
    /// The backend server returned an error status or did not complete its answer.
    Failed,
    /// The host refused the request without running it.
    Refused {
        /// Time after which there may be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// The host knew others with free slots and had none; it would have let the request wait.
    Passed,
    /// The backend server refused the request without running it, although a slot was free.
    ServerRefused,
    /// The host or its server could not be reached.
    Unreachable,
    /// Nobody waits for the outcome any more, or it says nothing about the host.
    Abandoned,
}

/// A host with free slots, as a daemon tells it to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeHost {
    /// Address of the host.
    pub address: IpAddr,
    /// Number of free slots.
    pub free_slots: u32,
    /// Age of that knowledge, in milliseconds.
    pub age_ms: u64,
}

/// Why a server gets less than its share of the requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AvoidanceReason {
    /// It gets its share.
    #[default]
    None,
    /// A large fraction of its requests fails.
    Failing,
    /// It warms up.
    Cold,
    /// It is much slower than the average.
    Slow,
}

/// A change of the reason for which a server is avoided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AvoidanceChange {
    /// The new reason.
    pub reason: AvoidanceReason,
    /// Service time relative to the average of all servers.
    pub service_ratio: f64,
    /// Fraction of the requests that failed.
    pub failure_fraction: f64,
}

#[derive(Debug, Default)]
struct HostStats {
    instance: String,
    in_flight: u32,
    load: Option<KnownLoad>,
    /// Service time relative to the average of the route.
    service_ratio: Option<f64>,
    failures: FailureMeter,
    /// Failures as a moving average that does not fade with time.
    failure_average: f64,
    /// Health that the owner reported, and when.
    health: ServerHealth,
    health_at_ms: u64,
    avoidance: AvoidanceReason,
    refusal: Option<HostRefusal>,
    backoff_until_ms: u64,
    consecutive_failures: u32,
}

#[derive(Debug, Clone, Copy)]
struct HostRefusal {
    until_ms: u64,
    urgency: Urgency,
}

#[derive(Debug, Clone, Copy)]
struct RouteStats {
    service_ms: f64,
    answer_kb: f64,
}

impl Default for RouteStats {
    fn default() -> Self {
        Self {
            service_ms: DEFAULT_SERVICE_MS,
            answer_kb: DEFAULT_ANSWER_KB,
        }
    }
}

/// Selects the host with the lowest cost for a request: the expected time until the answer, plus costs for traffic
/// between hosts and for failures.
#[derive(Debug)]
pub struct HostPicker {
    random: Pcg32,
    hosts: BTreeMap<IpAddr, HostStats>,
    routes: BTreeMap<String, RouteStats>,
    /// Requests per slot in the service of the last pick.
    service_fullness: f64,
    judgement: LoadJudgement,
}

impl HostPicker {
    /// Creates a picker without observations that estimates loads; `seed` determines its choices.
    pub fn new(seed: u64) -> Self {
        Self::with_judgement(seed, LoadJudgement::Estimated)
    }

    /// Creates a picker without observations that judges loads as stated; `seed` determines its choices.
    pub fn with_judgement(seed: u64, judgement: LoadJudgement) -> Self {
        Self {
            judgement,
            random: Pcg32::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            routes: BTreeMap::new(),
            service_fullness: 0.0,
        }
    }

    /// Index of the best of `candidates`; `None` if all of them have just refused a request of this urgency.
    pub fn pick(
        &mut self,
        now_ms: u64,
        candidates: &[HostCandidate],
        request: &PickRequest<'_>,
    ) -> Option<usize> {
        let all_avoided = candidates
            .iter()
            .all(|candidate| self.is_avoided(now_ms, candidate));
        let mut load = ServiceLoad::default();
        for candidate in candidates {
            if let Some(known) = self.stats(candidate).and_then(|stats| stats.load) {
                load.add(now_ms, &known, slots_of(candidate));
            }
        }
        self.service_fullness = load.recent_fullness();
        let mut best: Option<(f64, usize)> = None;
        let mut stale = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let is_skipped = !all_avoided && self.is_avoided(now_ms, candidate);
            if is_skipped || self.has_refused(now_ms, candidate, request) {
                continue;
            }
            let (certainty, cost_ms) = self.cost_ms(now_ms, candidate, request, &load);
            if certainty < MIN_CERTAINTY && self.judgement == LoadJudgement::Estimated {
                let stats = self.stats(candidate);
                let ratio = stats.map_or(1.0, |stats| stats.expected_ratio(now_ms));
                let failed = stats.map_or(0.0, |stats| stats.failure_fraction(now_ms));
                let weight = slots_of(candidate) / ratio * (1.0 - failed).max(MIN_WEIGHT);
                stale.push((weight, cost_ms, index));
                continue;
            }
            self.compare(&mut best, cost_ms, index);
        }
        for _ in 0..RANDOM_CHOICES.min(stale.len()) {
            let total: f64 = stale.iter().map(|(weight, ..)| weight).sum();
            let mut left = total * f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            let chosen = stale.iter().position(|(weight, ..)| {
                left -= weight;
                left <= 0.0
            });
            let (_, cost_ms, index) = stale.swap_remove(chosen.unwrap_or(0));
            self.compare(&mut best, cost_ms, index);
        }
        best.map(|(_, index)| index)
    }

    /// Whether the hosts of the last pick had free slots on average, by the recent reports.
    pub fn has_free_slots(&self) -> bool {
        self.service_fullness < MAX_PASSING_FULLNESS
    }

    fn compare(&mut self, best: &mut Option<(f64, usize)>, cost_ms: f64, index: usize) {
        let jitter = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let cost_ms = cost_ms * (1.0 + JITTER_FRACTION * jitter);
        if best.is_none_or(|(least, _)| cost_ms < least) {
            *best = Some((cost_ms, index));
        }
    }

    /// Time until the first of `candidates` that refused a request may have room, in milliseconds; `None` if none
    /// refused.
    pub fn earliest_retry_ms(&self, now_ms: u64, candidates: &[HostCandidate]) -> Option<u64> {
        let refusals = candidates
            .iter()
            .filter_map(|candidate| self.stats(candidate)?.refusal);
        refusals
            .map(|refusal| refusal.until_ms.saturating_sub(now_ms))
            .min()
    }

    /// A random number from 0 to below 1.
    pub fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    /// A random time between 3/4 and 5/4 of `delay_ms`.
    pub fn jittered_ms(&mut self, delay_ms: u64) -> u64 {
        delay_ms * 3 / 4 + u64::from(self.random.next_u32()) % (delay_ms / 2 + 1)
    }

    /// Records that a request is sent to `candidate`.
    pub fn started(&mut self, candidate: &HostCandidate) {
        self.stats_mut(candidate.address, &candidate.instance)
            .in_flight += 1;
    }

    /// Records the outcome of a request that was started, with the report of the host if there is one.
    pub fn finished(
        &mut self,
        now_ms: u64,
        candidate: &HostCandidate,
        request: &PickRequest<'_>,
        end: (HostOutcome, Option<HostReport>),
    ) {
        let (outcome, report) = end;
        let service_ratio = match outcome {
            HostOutcome::Answered {
                service_ms,
                answer_bytes,
            } => Some(self.observe_route(request.route, service_ms as f64, answer_bytes)),
            _ => None,
        };
        let stated_ratio = report
            .as_ref()
            .and_then(|report| self.reported_ratio(report));
        let stats = self.stats_mut(candidate.address, &candidate.instance);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        // The average that the host reports replaces the single observation.
        stats.observe(
            now_ms,
            outcome,
            service_ratio.filter(|_| stated_ratio.is_none()),
            request.urgency,
        );
        if let Some(report) = report {
            stats.report(now_ms, report.load, stated_ratio);
        }
    }

    /// Records the health that the owner of a server has reported.
    ///
    /// Returns why the server gets less than its share of the requests, if that has changed.
    pub fn health(
        &mut self,
        now_ms: u64,
        address: IpAddr,
        instance: &str,
        health: ServerHealth,
    ) -> Option<AvoidanceChange> {
        let stats = self.stats_mut(address, instance);
        stats.health = health;
        stats.health_at_ms = now_ms;
        let reason = stats.avoidance(now_ms);
        let earlier = std::mem::replace(&mut stats.avoidance, reason);
        (earlier != reason).then(|| AvoidanceChange {
            reason,
            service_ratio: stats.service_ratio.unwrap_or(1.0),
            failure_fraction: stats.failure_fraction(now_ms),
        })
    }

    /// Up to `count` of `candidates` that have free slots by fresh knowledge, most free slots first.
    ///
    /// Each of them counts as used once more, so that the same slots are not named to all.
    pub fn free_hosts(
        &mut self,
        now_ms: u64,
        candidates: &[HostCandidate],
        route: &str,
        count: usize,
    ) -> Vec<FreeHost> {
        let hosts = candidates.iter();
        let mut free: Vec<FreeHost> = hosts
            .filter_map(|candidate| self.free_host(now_ms, candidate, route))
            .collect();
        free.sort_by_key(|host| (Reverse(host.free_slots), host.age_ms));
        free.truncate(count);
        for host in &free {
            let stats = self.hosts.get_mut(&host.address);
            if let Some(load) = stats.and_then(|stats| stats.load.as_mut()) {
                load.use_slot();
            }
        }
        free
    }

    /// Whether one of `candidates` has free slots by fresh knowledge.
    pub fn knows_free_host(&self, now_ms: u64, candidates: &[HostCandidate], route: &str) -> bool {
        let mut hosts = candidates.iter();
        hosts.any(|candidate| self.free_host(now_ms, candidate, route).is_some())
    }

    /// The candidate, if it has free slots by fresh knowledge.
    fn free_host(&self, now_ms: u64, candidate: &HostCandidate, route: &str) -> Option<FreeHost> {
        let stats = self.stats(candidate)?;
        let known = stats.load.as_ref()?;
        let service_ms = self.route(route).service_ms * stats.expected_ratio(now_ms);
        let slots = slots_of(candidate);
        let load = ServiceLoad::default();
        let estimate = load.estimate(now_ms, Some(known), stats.in_flight, (slots, service_ms));
        let free_slots = ((1.0 - estimate.fullness) * slots + ROUNDING_SLOTS).floor();
        let is_usable = estimate.certainty >= MIN_NAMED_CERTAINTY
            && free_slots >= 1.0
            && !self.is_avoided(now_ms, candidate);
        is_usable.then(|| FreeHost {
            address: candidate.address,
            free_slots: free_slots as u32,
            age_ms: known.age_ms(now_ms),
        })
    }

    /// Age of the load that `candidate` reported last, in milliseconds; `None` if it has not reported.
    pub fn load_age_ms(&self, now_ms: u64, candidate: &HostCandidate) -> Option<u64> {
        Some(self.stats(candidate)?.load.as_ref()?.age_ms(now_ms))
    }

    /// Records hosts with free slots that another daemon named.
    pub fn named(
        &mut self,
        now_ms: u64,
        named: &[FreeHost],
        slots_of: impl Fn(IpAddr) -> Option<u32>,
    ) {
        for host in named {
            let Some(slots) = slots_of(host.address) else {
                continue;
            };
            let Some(stats) = self.hosts.get_mut(&host.address) else {
                continue;
            };
            let at_ms = now_ms.saturating_sub(host.age_ms);
            let own = stats.in_flight;
            stats.load = stats
                .load
                .map(|known| KnownLoad::hinted(known, at_ms, (host.free_slots, slots), own));
        }
    }

    /// Records a report that the host at `address`, with the server `instance`, sent without a request.
    pub fn reported(&mut self, now_ms: u64, address: IpAddr, instance: &str, report: &HostReport) {
        let stated_ratio = self.reported_ratio(report);
        self.stats_mut(address, instance)
            .report(now_ms, report.load, stated_ratio);
    }

    /// Service time relative to the average, for the first route of the report that has observations here.
    fn reported_ratio(&self, report: &HostReport) -> Option<f64> {
        let ratio_of = |estimate: &ServiceTimeEstimate| {
            let route = self.routes.get(&estimate.route)?;
            let ratio = f64::from(estimate.service_ms) / route.service_ms.max(1.0);
            Some(ratio.clamp(SERVICE_RATIO_BOUNDS.0, SERVICE_RATIO_BOUNDS.1))
        };
        report.service_times.iter().find_map(ratio_of)
    }

    /// Drops the observations of hosts and routes for which the functions return false.
    pub fn retain(
        &mut self,
        is_host_kept: impl Fn(&IpAddr) -> bool,
        is_route_kept: impl Fn(&str) -> bool,
    ) {
        self.hosts.retain(|address, _| is_host_kept(address));
        self.routes.retain(|route, _| is_route_kept(route));
    }

    /// Average time that requests of `route` take at all backend servers, in milliseconds; a default without
    /// observations.
    pub fn service_ms(&self, route: &str) -> f64 {
        self.route(route).service_ms
    }

    /// Average time that requests of `route` take at all backend servers, in milliseconds; `None` without observations.
    pub fn known_service_ms(&self, route: &str) -> Option<f64> {
        Some(self.routes.get(route)?.service_ms)
    }

    fn route(&self, route: &str) -> RouteStats {
        self.routes.get(route).copied().unwrap_or_default()
    }

    fn stats(&self, candidate: &HostCandidate) -> Option<&HostStats> {
        let stats = self.hosts.get(&candidate.address)?;
        (stats.instance == candidate.instance).then_some(stats)
    }

    /// Observations of a host; those of an earlier server at its address are dropped.
    fn stats_mut(&mut self, address: IpAddr, instance: &str) -> &mut HostStats {
        let stats = self.hosts.entry(address).or_default();
        if stats.instance != instance {
            *stats = HostStats {
                instance: instance.to_string(),
                ..HostStats::default()
            };
        }
        stats
    }

    fn is_avoided(&self, now_ms: u64, candidate: &HostCandidate) -> bool {
        let is_in_backoff = self
            .stats(candidate)
            .is_some_and(|stats| now_ms < stats.backoff_until_ms);
        candidate.is_unresponsive || is_in_backoff
    }

    fn has_refused(
        &self,
        now_ms: u64,
        candidate: &HostCandidate,
        request: &PickRequest<'_>,
    ) -> bool {
        let refusal = self.stats(candidate).and_then(|stats| stats.refusal);
        refusal
            .is_some_and(|refusal| now_ms < refusal.until_ms && refusal.urgency <= request.urgency)
    }

    fn cost_ms(
        &self,
        now_ms: u64,
        candidate: &HostCandidate,
        request: &PickRequest<'_>,
        load: &ServiceLoad,
    ) -> (f64, f64) {
        let route = self.route(request.route);
        let stats = self.stats(candidate);
        let is_estimated = self.judgement == LoadJudgement::Estimated;
        let service_ratio = stats.map_or(1.0, |stats| match is_estimated {
            true => stats.expected_ratio(now_ms),
            false => stats.service_ratio.unwrap_or(1.0),
        });
        let service_ms = route.service_ms * service_ratio;
        let slots = slots_of(candidate);
        let estimate = load.estimate(
            now_ms,
            stats.and_then(|stats| stats.load.as_ref()),
            stats.map_or(0, |stats| stats.in_flight),
            (slots, service_ms),
        );
        let reported = stats.map_or(0, |stats| stats.reported_requests(now_ms));
        let fullness = match is_estimated {
            true => estimate.fullness,
            false => f64::from(reported) / slots,
        };
        let full_probability = match is_estimated {
            true => estimate.full_probability(slots),
            false => f64::from(u8::from(fullness >= 1.0)),
        };
        let crossing_ms =
            (REMOTE_COST_MS + REMOTE_COST_MS_PER_KB * route.answer_kb).min(MAX_REMOTE_COST_MS);
        let free_ms = service_ms * CROWDING_FRACTION * fullness.min(1.0) * fullness.min(1.0);
        let queue_ms = service_ms * (CROWDING_FRACTION + (fullness - 1.0).max(0.0) + 1.0 / slots);
        let full_ms = queue_ms + crossing_ms.min(MAX_FULL_COST_MS);
        let wait_ms = free_ms + (full_ms - free_ms) * full_probability;
        let remote_ms = if candidate.is_same_data_centre {
            0.0
        } else {
            crossing_ms
        };
        let relay_ms = if candidate.is_local {
            0.0
        } else {
            RELAY_COST_MS_PER_KB * route.answer_kb
        };
        let failure_fraction = stats.map_or(0.0, |stats| match is_estimated {
            true => stats.failure_fraction(now_ms),
            false => stats.failure_average,
        });
        let failure_ms = failure_fraction * FAILURE_COST_MS;
        (
            estimate.certainty,
            service_ms + wait_ms + remote_ms + relay_ms + failure_ms,
        )
    }

    /// Records the size of an answer of `route` that has been received completely, in bytes.
    pub fn record_answer_size(&mut self, route: &str, bytes: u64) {
        if let Some(stats) = self.routes.get_mut(route) {
            let answer_kb = bytes as f64 / 1_000.0;
            stats.answer_kb += (answer_kb - stats.answer_kb) * SMOOTHING;
        }
    }

    /// Updates the averages of a route; returns the service time relative to the earlier average.
    fn observe_route(&mut self, route: &str, service_ms: f64, answer_bytes: Option<u64>) -> f64 {
        let answer_kb = answer_bytes.unwrap_or_default() as f64 / 1_000.0;
        if !self.routes.contains_key(route) {
            let stats = RouteStats {
                service_ms: service_ms.max(1.0),
                answer_kb,
            };
            self.routes.insert(route.to_string(), stats);
        }
        let stats = self.routes.get_mut(route).expect("inserted above");
        let service_ratio = service_ms / stats.service_ms.max(1.0);
        stats.service_ms += (service_ms - stats.service_ms) * SMOOTHING / 2.0;
        if let Some(bytes) = answer_bytes {
            self.record_answer_size(route, bytes);
        }
        service_ratio
    }
}

impl HostStats {
    fn reported_requests(&self, now_ms: u64) -> u32 {
        self.load.map_or(self.in_flight, |load| {
            load.reported_requests(now_ms, self.in_flight, MAX_LOAD_AGE_MS)
        })
    }

    fn avoidance(&self, now_ms: u64) -> AvoidanceReason {
        let warm_at_ms = self.health_at_ms + u64::from(self.health.warmup_left_ms);
        match () {
            () if self.failure_fraction(now_ms) >= FAILING_FRACTION => AvoidanceReason::Failing,
            () if now_ms < warm_at_ms => AvoidanceReason::Cold,
            () if self.service_ratio.unwrap_or(1.0) >= SLOW_RATIO => AvoidanceReason::Slow,
            () => AvoidanceReason::None,
        }
    }

    /// Expected service time relative to the average of the route.
    fn expected_ratio(&self, now_ms: u64) -> f64 {
        let ratio = self.service_ratio.unwrap_or(1.0);
        let warm_at_ms = self.health_at_ms + u64::from(self.health.warmup_left_ms);
        match now_ms < warm_at_ms {
            true => ratio.max(COLD_RATIO),
            false => ratio,
        }
    }

    /// Fraction of failures, as this daemon has seen it or as the owner reports it, whichever is higher.
    fn failure_fraction(&self, now_ms: u64) -> f64 {
        let reported = f64::from(self.health.failure_percent) / 100.0;
        self.failures.fraction(now_ms).max(reported)
    }

    fn report(&mut self, now_ms: u64, load: GateLoad, stated_ratio: Option<f64>) {
        if let Some(stated_ratio) = stated_ratio {
            let known = self.service_ratio.unwrap_or(stated_ratio);
            self.service_ratio = Some(known + (stated_ratio - known) * REPORT_SMOOTHING);
        }
        self.load = Some(KnownLoad::after(self.load, now_ms, load, self.in_flight));
    }

    fn observe(
        &mut self,
        now_ms: u64,
        outcome: HostOutcome,
        service_ratio: Option<f64>,
        urgency: Urgency,
    ) {
        match outcome {
            HostOutcome::Answered { .. } => {
                self.consecutive_failures = 0;
                self.refusal = None;
                self.failures.record(now_ms, false, SMOOTHING);
                self.failure_average -= self.failure_average * SMOOTHING;
                if let Some(service_ratio) = service_ratio {
                    let known = self.service_ratio.unwrap_or(1.0);
                    self.service_ratio = Some(known + (service_ratio - known) * SMOOTHING);
                }
            }
            HostOutcome::Failed | HostOutcome::ServerRefused => {
                self.failures.record(now_ms, true, SMOOTHING);
                self.failure_average += (1.0 - self.failure_average) * SMOOTHING;
            }
            HostOutcome::Refused { retry_after_ms } => {
                let until_ms = now_ms + retry_after_ms.min(MAX_REFUSAL_MS);
                self.refusal = Some(HostRefusal { until_ms, urgency });
            }
            HostOutcome::Unreachable => {
                let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
                self.backoff_until_ms = now_ms + (INITIAL_BACKOFF_MS << doublings);
                self.consecutive_failures += 1;
            }
            HostOutcome::Passed | HostOutcome::Abandoned => {}
        }
    }
}

fn slots_of(candidate: &HostCandidate) -> f64 {
    f64::from(candidate.slots.max(1))
}
