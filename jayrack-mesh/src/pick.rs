//! The choice of a host for a request.
use std::{collections::BTreeMap, net::IpAddr};

use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

use crate::gate::{GateLoad, ServiceTimeEstimate, Urgency};

/// Service time assumed of a route that has not been seen yet, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 150.0;
/// Answer size assumed of a route that has not been seen yet, in kilobytes.
const DEFAULT_ANSWER_KB: f64 = 4.0;
/// Weight of a host's own average in what is believed of its speed; it rests on many observations.
const REPORT_SMOOTHING: f64 = 0.5;
/// Bounds of a host's service time in relation to the average of a route.
const SERVICE_RATIO_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Weight of a new observation in an average.
const SMOOTHING: f64 = 0.1;
/// Age at which reported load no longer counts, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 1_500;
/// Cost of a border between data centres for each kilobyte of answer, as milliseconds of waiting.
///
/// Traffic between data centres is charged by volume; small answers hardly count, large ones go there
/// only if their own data centre is full.
const REMOTE_COST_MS_PER_KB: f64 = 5.0;
/// Cost of a border between data centres whatever the answer, in milliseconds.
const REMOTE_COST_MS: f64 = 15.0;
/// Most that a border may cost, in milliseconds.
const MAX_REMOTE_COST_MS: f64 = 400.0;
/// Cost of another host than this one for each kilobyte of answer, in milliseconds: the answer takes the links of
/// both, and that of a host with a server is the narrower for it.
const RELAY_COST_MS_PER_KB: f64 = 1.0;
/// Cost of a failure that is certain, in milliseconds; scaled by the share of failures.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Part of the service time that a server's last free slot costs, since servers slow down when full.
const CROWDING_FRACTION: f64 = 0.35;
/// Longest time for which a refusal keeps further requests away, in milliseconds.
const MAX_REFUSAL_MS: u64 = 80;
/// Random part of the cost, so that daemons with the same view do not all choose the same host.
const JITTER_FRACTION: f64 = 0.1;
/// First pause of a server whose connection failed, in milliseconds; it doubles with each further time.
const INITIAL_BACKOFF_MS: u64 = 200;
/// Largest number of doublings of that pause.
const MAX_DOUBLINGS: u32 = 4;

/// A host that could take a request.
#[derive(Debug, Clone)]
pub struct HostCandidate {
    /// Address of the host.
    pub address: IpAddr,
    /// Life of the backend server there.
    pub instance: String,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Whether it stands in the data centre of this daemon.
    pub is_same_data_centre: bool,
    /// Whether it is the host of this daemon.
    pub is_local: bool,
    /// Whether it did not answer lately.
    pub is_unresponsive: bool,
}

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostReport {
    /// Load of its gate.
    pub load: GateLoad,
    /// How long requests of some routes take at its server.
    pub service_times: Vec<ServiceTimeEstimate>,
}

/// The request that a host is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// How urgent it is.
    pub urgency: Urgency,
}

/// How a request at a host ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum HostOutcome {
    /// The backend server answered; with the time that it took and the size of the answer.
    Answered {
        /// Time at the backend server, in milliseconds.
        service_ms: u64,
        /// Size of the answer, in bytes.
        answer_bytes: u64,
    },
    /// The backend server failed, by an error status or by breaking off.
    Failed,
    /// The host refused it; nothing ran.
    Refused {
        /// When there may be room, in milliseconds.
        retry_after_ms: u64,
    },
    /// The backend server itself turned it away although a slot was free; nothing ran.
    ServerRefused,
    /// The host or its server could not be reached.
    Unreachable,
    /// Nobody waits for the outcome any more.
    Abandoned,
}

#[derive(Debug, Default)]
struct HostStats {
    instance: String,
    in_flight: u32,
    load: Option<ReportedLoad>,
    /// Service time in relation to the average of the route.
    service_ratio: Option<f64>,
    failure_fraction: f64,
    refusal: Option<HostRefusal>,
    backoff_until_ms: u64,
    consecutive_failures: u32,
}

#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    requests: u32,
    at_ms: u64,
    /// Own requests that were at the host when it reported.
    own_in_flight: u32,
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

/// Chooses the host where a request is expected to be answered first.
#[derive(Debug)]
pub struct HostPicker {
    random: Pcg32,
    hosts: BTreeMap<IpAddr, HostStats>,
    routes: BTreeMap<String, RouteStats>,
}

impl HostPicker {
    /// Creates a picker without observations; `seed` determines its choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg32::seed_from_u64(seed),
            hosts: BTreeMap::new(),
            routes: BTreeMap::new(),
        }
    }

    /// Index of the best of `candidates`; `None` if each of them refused such a request just now.
    pub fn pick(
        &mut self,
        now_ms: u64,
        candidates: &[HostCandidate],
        request: &PickRequest<'_>,
    ) -> Option<usize> {
        let all_avoided = candidates
            .iter()
            .all(|candidate| self.is_avoided(now_ms, candidate));
        let mut best: Option<(f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            let is_skipped = !all_avoided && self.is_avoided(now_ms, candidate);
            if is_skipped || self.has_refused(now_ms, candidate, request) {
                continue;
            }
            let jitter = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
            let cost = self.cost_ms(now_ms, candidate, request) * (1.0 + JITTER_FRACTION * jitter);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        best.map(|(_, index)| index)
    }

    /// When the first of `candidates` that refused may have room, in milliseconds from now.
    pub fn earliest_retry_ms(&self, now_ms: u64, candidates: &[HostCandidate]) -> Option<u64> {
        let refusals = candidates
            .iter()
            .filter_map(|candidate| self.stats(candidate)?.refusal);
        refusals
            .map(|refusal| refusal.until_ms.saturating_sub(now_ms))
            .min()
    }

    /// A random time between three and five quarters of `pause_ms`.
    pub fn jittered_ms(&mut self, delay_ms: u64) -> u64 {
        delay_ms * 3 / 4 + u64::from(self.random.next_u32()) % (delay_ms / 2 + 1)
    }

    /// Notes that a request goes to `candidate`.
    pub fn started(&mut self, candidate: &HostCandidate) {
        self.stats_mut(candidate.address, &candidate.instance)
            .in_flight += 1;
    }

    /// Notes how a request that was started ended, with what the host reported.
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
        // The host's own average goes before the single observation.
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

    /// Notes what the host at `address` with the server `instance` reported on its own.
    pub fn reported(&mut self, now_ms: u64, address: IpAddr, instance: &str, report: &HostReport) {
        let stated_ratio = self.reported_ratio(report);
        self.stats_mut(address, instance)
            .report(now_ms, report.load, stated_ratio);
    }

    /// Service time in relation to the average, by the first route of the report that is known here.
    fn reported_ratio(&self, report: &HostReport) -> Option<f64> {
        let ratio_of = |estimate: &ServiceTimeEstimate| {
            let route = self.routes.get(&estimate.route)?;
            let ratio = f64::from(estimate.service_ms) / route.service_ms.max(1.0);
            Some(ratio.clamp(SERVICE_RATIO_BOUNDS.0, SERVICE_RATIO_BOUNDS.1))
        };
        report.service_times.iter().find_map(ratio_of)
    }

    /// Forgets the hosts and routes for which the functions do not hold.
    pub fn retain(
        &mut self,
        is_host_kept: impl Fn(&IpAddr) -> bool,
        is_route_kept: impl Fn(&str) -> bool,
    ) {
        self.hosts.retain(|address, _| is_host_kept(address));
        self.routes.retain(|route, _| is_route_kept(route));
    }

    /// Average time that requests of `route` take at backend servers, in milliseconds.
    pub fn service_ms(&self, route: &str) -> f64 {
        self.route(route).service_ms
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

    fn cost_ms(&self, now_ms: u64, candidate: &HostCandidate, request: &PickRequest<'_>) -> f64 {
        let route = self.route(request.route);
        let stats = self.stats(candidate);
        let service_ratio = stats.and_then(|stats| stats.service_ratio).unwrap_or(1.0);
        let requests = stats.map_or(0, |stats| stats.estimated_requests(now_ms));
        let service_ms = route.service_ms * service_ratio;
        let slots = f64::from(candidate.slots.max(1));
        let fullness = f64::from(requests) / slots;
        let wait_ms = if fullness < 1.0 {
            service_ms * CROWDING_FRACTION * fullness * fullness
        } else {
            service_ms * (CROWDING_FRACTION + fullness - 1.0 + 1.0 / slots)
        };
        let remote_ms = if candidate.is_same_data_centre {
            0.0
        } else {
            (REMOTE_COST_MS + REMOTE_COST_MS_PER_KB * route.answer_kb).min(MAX_REMOTE_COST_MS)
        };
        let relay_ms = if candidate.is_local {
            0.0
        } else {
            RELAY_COST_MS_PER_KB * route.answer_kb
        };
        let failure_ms = stats.map_or(0.0, |stats| stats.failure_fraction) * FAILURE_COST_MS;
        service_ms + wait_ms + remote_ms + relay_ms + failure_ms
    }

    /// Averages a route's observations; returns the service time in relation to the average.
    fn observe_route(&mut self, route: &str, service_ms: f64, answer_bytes: u64) -> f64 {
        let answer_kb = answer_bytes as f64 / 1_000.0;
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
        stats.answer_kb += (answer_kb - stats.answer_kb) * SMOOTHING;
        service_ratio
    }
}

impl HostStats {
    /// Requests believed to be at the host.
    fn estimated_requests(&self, now_ms: u64) -> u32 {
        match self.load {
            Some(load) if now_ms.saturating_sub(load.at_ms) < MAX_LOAD_AGE_MS => (load.requests
                + self.in_flight)
                .saturating_sub(load.own_in_flight)
                .max(self.in_flight),
            _ => self.in_flight,
        }
    }

    fn report(&mut self, now_ms: u64, load: GateLoad, stated_ratio: Option<f64>) {
        if let Some(stated_ratio) = stated_ratio {
            let known = self.service_ratio.unwrap_or(stated_ratio);
            self.service_ratio = Some(known + (stated_ratio - known) * REPORT_SMOOTHING);
        }
        self.load = Some(ReportedLoad {
            requests: load.running + load.waiting,
            at_ms: now_ms,
            own_in_flight: self.in_flight,
        });
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
                self.failure_fraction -= self.failure_fraction * SMOOTHING;
                if let Some(service_ratio) = service_ratio {
                    let known = self.service_ratio.unwrap_or(1.0);
                    self.service_ratio = Some(known + (service_ratio - known) * SMOOTHING);
                }
            }
            HostOutcome::Failed | HostOutcome::ServerRefused => {
                self.failure_fraction += (1.0 - self.failure_fraction) * SMOOTHING;
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
            HostOutcome::Abandoned => {}
        }
    }
}
