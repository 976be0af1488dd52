//! Who gets a slot of the backend server beside the daemon, who waits and who is refused.
//!
//! A request is admitted only if it can be expected to be answered in time, so that whoever waits is
//! served and whoever cannot be served learns it at once.
use std::{cmp::Reverse, collections::BTreeMap};

/// Service time assumed of a route that has not been seen yet, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 150.0;
/// Weight of a new observation in the average service time.
const SERVICE_SMOOTHING: f64 = 0.08;
/// Observations from which on an average is told to other hosts: single ones differ by as much as their size.
const MIN_ESTIMATE_SAMPLES: u64 = 6;
/// Part of the expected service time that a running request is assumed to need at least, since long
/// runs outlast the average.
const MIN_RESIDUAL_FRACTION: f64 = 0.25;
/// Part of the expected service time that is kept as room for runs longer than the average.
const SERVICE_MARGIN_RATIO: f64 = 1.5;
/// Part of the expected service time that any request may wait, so that a slot that becomes free is
/// taken at once.
const SHORT_WAIT_FRACTION: f64 = 0.2;
/// Part of the expected service time without which a request cannot be answered in time any more.
const LATE_FRACTION: f64 = 0.7;
/// Weight of a new observation in the ratio of waits to their estimates.
const WAIT_RATIO_SMOOTHING: f64 = 0.1;
/// Bounds of that ratio: more urgent requests that come later at most so much prolong a wait.
const WAIT_RATIO_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Shortest estimate that is compared with the wait that followed, in milliseconds.
const MIN_ESTIMATED_WAIT_MS: f64 = 5.0;
/// Shortest pause that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 40;
/// Part of the slots' time that the least urgent requests get while others wait, so that none starves.
const RESERVED_FRACTION: f64 = 0.1;

/// How urgent a request is; the order of the fields is that of their weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// 0 for a call of a request that is already being worked on, 1 for a new request.
    pub stage: u8,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// How long requests of a route take at a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTimeEstimate {
    /// The route.
    pub route: String,
    /// Average time, in milliseconds.
    pub service_ms: u32,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateRequest {
    /// Unique among the requests at this gate.
    pub id: u64,
    /// Route, by which service times are averaged.
    pub route: String,
    /// How urgent it is.
    pub urgency: Urgency,
    /// Time until which an answer is worth most, in milliseconds of the monotonic clock.
    pub target_at_ms: u64,
    /// Time at which its caller stops waiting, in milliseconds of the monotonic clock.
    pub expires_at_ms: u64,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Others come first and the time left is not enough.
    Busy,
    /// The backend server takes no work.
    Closed,
    /// Its time is over.
    Expired,
    /// The host's link cannot carry the answer in time.
    LinkFull,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs now.
    Run,
    /// It waits for a slot.
    Wait,
    /// It does not run.
    Refuse(GateRefusal),
}

/// A refusal with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// When there may be room, in milliseconds from now.
    pub retry_after_ms: u64,
}

/// A decision about a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// The request runs now.
    Run(u64),
    /// The request does not run.
    Refuse(u64, GateRefusal),
}

/// Load at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

#[derive(Debug, Clone, Copy)]
struct RouteAverage {
    service_ms: f64,
    samples: u64,
}

#[derive(Debug)]
struct WaitingRequest {
    request: GateRequest,
    estimated_service_ms: f64,
    arrival: u64,
    arrived_ms: u64,
    estimated_wait_ms: f64,
}

#[derive(Debug)]
struct RunningRequest {
    route: String,
    started_ms: u64,
    estimated_service_ms: f64,
}

/// The slots of one backend server and the requests that wait for them.
#[derive(Debug)]
pub struct AdmissionGate {
    slots: u32,
    max_waiting: usize,
    is_admitting: bool,
    waiting: Vec<WaitingRequest>,
    running: BTreeMap<u64, RunningRequest>,
    averages: BTreeMap<String, RouteAverage>,
    /// Ratio of waits to their estimates, by stage and rank.
    wait_ratios: BTreeMap<(u8, u8), f64>,
    arrivals: u64,
    /// Time that the least urgent requests have not had of their part yet, in milliseconds.
    reserved_credit_ms: f64,
}

impl AdmissionGate {
    /// Creates a closed gate where at most `max_waiting` requests wait.
    pub fn new(max_waiting: usize) -> Self {
        Self {
            slots: 0,
            max_waiting,
            is_admitting: false,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            averages: BTreeMap::new(),
            wait_ratios: BTreeMap::new(),
            arrivals: 0,
            reserved_credit_ms: 0.0,
        }
    }

    /// Opens the gate for a backend server with `slots` slots.
    pub fn resume(&mut self, now_ms: u64, slots: u32) -> Vec<GateDecision> {
        self.is_admitting = true;
        self.slots = slots;
        self.dispatch(now_ms)
    }

    /// Refuses whatever waits or comes until the gate is opened again.
    pub fn suspend(&mut self) -> Vec<GateDecision> {
        self.is_admitting = false;
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|waiting| GateDecision::Refuse(waiting.request.id, closed_refusal()))
            .collect()
    }

    /// Decides about a request that arrives, and about one that has to make room for it.
    pub fn admit(
        &mut self,
        now_ms: u64,
        request: GateRequest,
    ) -> (Admission, Option<GateDecision>) {
        let is_reserved_slot_due = self.is_reserved_slot_due(
            request.urgency.rank,
            self.estimated_service_ms(&request.route),
        );
        let admission = self.decide(now_ms, request);
        let limit = self.max_waiting + usize::from(is_reserved_slot_due);
        let evicted = (self.waiting.len() > limit).then(|| self.evict(now_ms));
        (admission, evicted.flatten())
    }

    fn decide(&mut self, now_ms: u64, request: GateRequest) -> Admission {
        if !self.is_admitting {
            return Admission::Refuse(closed_refusal());
        }
        let estimated_service_ms = self.estimated_service_ms(&request.route);
        let time_left_ms = request.expires_at_ms.saturating_sub(now_ms) as f64;
        if time_left_ms < 1.0 {
            return Admission::Refuse(GateRefusal {
                reason: RefusalReason::Expired,
                retry_after_ms: MIN_RETRY_AFTER_MS,
            });
        }
        if self.free_slots() > 0 && self.waiting.is_empty() {
            self.start(now_ms, &request, estimated_service_ms);
            return Admission::Run;
        }
        let estimated_wait_ms = self.wait_ms(now_ms, &request);
        let queue_wait_ms = estimated_wait_ms * self.wait_ratio(request.urgency);
        let wait_ms = match self.reserved_slot_wait_ms(&request, estimated_service_ms) {
            Some(reserved_wait_ms) => queue_wait_ms.min(reserved_wait_ms),
            None => queue_wait_ms,
        };
        let limit_ms = wait_limit_ms(now_ms, &request, estimated_service_ms);
        if wait_ms > limit_ms || self.is_full_for(now_ms, &request, estimated_service_ms) {
            return Admission::Refuse(GateRefusal {
                reason: RefusalReason::Busy,
                retry_after_ms: ((wait_ms - limit_ms) as u64).max(MIN_RETRY_AFTER_MS),
            });
        }
        self.arrivals += 1;
        self.waiting.push(WaitingRequest {
            request,
            estimated_service_ms,
            arrival: self.arrivals,
            arrived_ms: now_ms,
            estimated_wait_ms,
        });
        Admission::Wait
    }

    /// Whether the queue is full of requests that come before `request`.
    fn is_full_for(&self, now_ms: u64, request: &GateRequest, estimated_service_ms: f64) -> bool {
        let own = (
            is_late(now_ms, request, estimated_service_ms),
            request.urgency,
        );
        let is_behind = |waiting: &WaitingRequest| {
            let late = is_late(now_ms, &waiting.request, waiting.estimated_service_ms);
            (late, waiting.request.urgency) > own
        };
        self.waiting.len() >= self.max_waiting
            && !self.is_reserved_slot_due(request.urgency.rank, estimated_service_ms)
            && !self.waiting.iter().any(is_behind)
    }

    /// Refuses the request that would be served last.
    fn evict(&mut self, now_ms: u64) -> Option<GateDecision> {
        let key = |index: &usize| order(now_ms, &self.waiting[*index]);
        let last = (0..self.waiting.len()).max_by_key(key)?;
        let evicted = self.waiting.swap_remove(last);
        Some(GateDecision::Refuse(
            evicted.request.id,
            GateRefusal {
                reason: RefusalReason::Busy,
                retry_after_ms: (evicted.estimated_wait_ms as u64).max(MIN_RETRY_AFTER_MS),
            },
        ))
    }

    /// Notes that a request has ended; `service_ms` is the time that it took, if that tells how long
    /// others of its route take.
    pub fn finished(&mut self, now_ms: u64, id: u64, service_ms: Option<u64>) -> Vec<GateDecision> {
        if let Some(running) = self.running.remove(&id)
            && let Some(service_ms) = service_ms
        {
            self.observe(&running.route, service_ms as f64);
        }
        self.dispatch(now_ms)
    }

    /// Takes a waiting request out.
    pub fn withdraw(&mut self, id: u64) {
        self.waiting.retain(|waiting| waiting.request.id != id);
    }

    /// Refuses the requests whose callers can no longer be served in time.
    pub fn tick(&mut self, now_ms: u64) -> Vec<GateDecision> {
        let is_expired = |waiting: &WaitingRequest| {
            let left_ms = waiting.request.expires_at_ms.saturating_sub(now_ms) as f64;
            left_ms < waiting.estimated_service_ms / 2.0
        };
        let (expired, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(is_expired);
        self.waiting = waiting;
        let refuse = |waiting: WaitingRequest| {
            let refusal = GateRefusal {
                reason: RefusalReason::Expired,
                retry_after_ms: MIN_RETRY_AFTER_MS,
            };
            GateDecision::Refuse(waiting.request.id, refusal)
        };
        expired.into_iter().map(refuse).collect()
    }

    /// Load at this moment.
    pub fn load(&self) -> GateLoad {
        GateLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: if self.is_admitting { self.slots } else { 0 },
        }
    }

    /// Average time that requests of `route` take here, in milliseconds.
    pub fn estimated_service_ms(&self, route: &str) -> f64 {
        let known = self.averages.get(route);
        known.map_or(DEFAULT_SERVICE_MS, |average| average.service_ms)
    }

    /// How long requests of `route` take here, if enough of them were seen.
    pub fn service_time_estimate(&self, route: &str) -> Option<ServiceTimeEstimate> {
        let average = self.averages.get(route)?;
        (average.samples >= MIN_ESTIMATE_SAMPLES).then(|| estimate_of(route, average))
    }

    /// How long requests of the `count` routes take that were seen most.
    pub fn service_time_estimates(&self, count: usize) -> Vec<ServiceTimeEstimate> {
        let mut known: Vec<(&String, &RouteAverage)> = self
            .averages
            .iter()
            .filter(|(_, average)| average.samples >= MIN_ESTIMATE_SAMPLES)
            .collect();
        known.sort_by_key(|(_, average)| Reverse(average.samples));
        known.truncate(count);
        known
            .into_iter()
            .map(|(route, average)| estimate_of(route, average))
            .collect()
    }

    fn observe(&mut self, route: &str, service_ms: f64) {
        match self.averages.get_mut(route) {
            Some(average) => {
                average.service_ms += (service_ms - average.service_ms) * SERVICE_SMOOTHING;
                average.samples += 1;
            }
            None => {
                let average = RouteAverage {
                    service_ms,
                    samples: 1,
                };
                self.averages.insert(route.to_string(), average);
            }
        }
    }

    fn wait_ratio(&self, urgency: Urgency) -> f64 {
        let key = (urgency.stage, urgency.rank);
        self.wait_ratios.get(&key).copied().unwrap_or(1.0)
    }

    /// Compares a wait with its estimate.
    fn observe_wait(&mut self, now_ms: u64, waiting: &WaitingRequest) {
        if waiting.estimated_wait_ms < MIN_ESTIMATED_WAIT_MS {
            return;
        }
        let waited_ms = now_ms.saturating_sub(waiting.arrived_ms) as f64;
        let Urgency { stage, rank } = waiting.request.urgency;
        let ratio = self.wait_ratios.entry((stage, rank)).or_insert(1.0);
        *ratio += (waited_ms / waiting.estimated_wait_ms - *ratio) * WAIT_RATIO_SMOOTHING;
        *ratio = ratio.clamp(WAIT_RATIO_BOUNDS.0, WAIT_RATIO_BOUNDS.1);
    }

    fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.running.len() as u32)
    }

    fn start(&mut self, now_ms: u64, request: &GateRequest, estimated_service_ms: f64) {
        let running = RunningRequest {
            route: request.route.clone(),
            started_ms: now_ms,
            estimated_service_ms,
        };
        self.running.insert(request.id, running);
    }

    fn dispatch(&mut self, now_ms: u64) -> Vec<GateDecision> {
        let mut decisions = Vec::new();
        while self.is_admitting && self.free_slots() > 0 {
            let Some(index) = self.next(now_ms) else {
                break;
            };
            let waiting = self.waiting.swap_remove(index);
            self.observe_wait(now_ms, &waiting);
            self.start(now_ms, &waiting.request, waiting.estimated_service_ms);
            decisions.push(GateDecision::Run(waiting.request.id));
        }
        decisions
    }

    /// Index of the request that runs next.
    fn next(&mut self, now_ms: u64) -> Option<usize> {
        let key = |index: &usize| order(now_ms, &self.waiting[*index]);
        let rank = |index: &usize| self.waiting[*index].request.urgency.rank;
        let indices = 0..self.waiting.len();
        let first = indices.clone().min_by_key(key)?;
        let least_urgent_rank = indices.clone().map(|index| rank(&index)).max()?;
        let least_urgent = indices
            .filter(|index| rank(index) == least_urgent_rank)
            .min_by_key(key)?;
        let least_urgent_ms = self.estimated_service_ms(&self.waiting[least_urgent].request.route);
        if rank(&first) < least_urgent_rank && self.reserved_credit_ms >= least_urgent_ms {
            self.reserved_credit_ms -= least_urgent_ms;
            return Some(least_urgent);
        }
        let first_ms = self.estimated_service_ms(&self.waiting[first].request.route);
        let credit_ms = self.reserved_credit_ms + first_ms * RESERVED_FRACTION;
        self.reserved_credit_ms = credit_ms.min(self.longest_service_ms());
        Some(first)
    }

    /// Time of the slowest route seen, in milliseconds: the floor saves no more than one request's.
    fn longest_service_ms(&self) -> f64 {
        let averages = self.averages.values().map(|average| average.service_ms);
        averages.fold(DEFAULT_SERVICE_MS, f64::max)
    }

    /// Whether the floor lets a request of `rank` run next though the others that wait are more urgent.
    fn is_reserved_slot_due(&self, rank: u8, estimated_service_ms: f64) -> bool {
        let ranks = self
            .waiting
            .iter()
            .map(|waiting| waiting.request.urgency.rank);
        self.reserved_credit_ms >= estimated_service_ms
            && ranks.into_iter().all(|other| other < rank)
    }

    /// How long `request` would wait for a slot out of the floor of the least urgent, if it is one of these.
    fn reserved_slot_wait_ms(
        &self,
        request: &GateRequest,
        estimated_service_ms: f64,
    ) -> Option<f64> {
        let rank = request.urgency.rank;
        let ranks = self
            .waiting
            .iter()
            .map(|waiting| waiting.request.urgency.rank);
        let is_least_urgent = ranks.clone().all(|other| other <= rank);
        if !is_least_urgent || ranks.clone().all(|other| other == rank) {
            return None;
        }
        let same_rank = self
            .waiting
            .iter()
            .filter(|waiting| waiting.request.urgency.rank == rank);
        let same_rank_ms: f64 = same_rank.map(|waiting| waiting.estimated_service_ms).sum();
        let missing_ms = (same_rank_ms + estimated_service_ms - self.reserved_credit_ms).max(0.0);
        Some(missing_ms / (RESERVED_FRACTION * f64::from(self.slots.max(1))))
    }

    /// How long `request` would wait for a slot.
    fn wait_ms(&self, now_ms: u64, request: &GateRequest) -> f64 {
        let own = (
            is_late(now_ms, request, self.estimated_service_ms(&request.route)),
            request.urgency,
        );
        let is_ahead = |waiting: &&WaitingRequest| {
            let late = is_late(now_ms, &waiting.request, waiting.estimated_service_ms);
            (late, waiting.request.urgency) <= own
        };
        let ahead_ms: f64 = self
            .waiting
            .iter()
            .filter(is_ahead)
            .map(|waiting| waiting.estimated_service_ms)
            .sum();
        let residual_ms: f64 = self
            .running
            .values()
            .map(|running| running.residual_ms(now_ms))
            .sum();
        let running = self.running.len().max(1) as f64;
        let next_end_ms = residual_ms / (running * f64::from(self.slots.max(1)));
        ahead_ms / f64::from(self.slots.max(1)) + next_end_ms
    }
}

impl RunningRequest {
    fn residual_ms(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.started_ms) as f64;
        (self.estimated_service_ms - elapsed_ms)
            .max(self.estimated_service_ms * MIN_RESIDUAL_FRACTION)
    }
}

fn estimate_of(route: &str, average: &RouteAverage) -> ServiceTimeEstimate {
    ServiceTimeEstimate {
        route: route.to_string(),
        service_ms: average.service_ms.round() as u32,
    }
}

fn closed_refusal() -> GateRefusal {
    GateRefusal {
        reason: RefusalReason::Closed,
        retry_after_ms: MIN_RETRY_AFTER_MS,
    }
}

/// Whether the time in which an answer is worth most has passed before the request could end.
fn is_late(now_ms: u64, request: &GateRequest, estimated_service_ms: f64) -> bool {
    (request.target_at_ms as f64) < now_ms as f64 + estimated_service_ms * LATE_FRACTION
}

/// How long a request may wait: until its target, or until its caller leaves where that is missed anyway.
///
/// A call may always wait until then, since the work of its request is lost without it.
fn wait_limit_ms(now_ms: u64, request: &GateRequest, estimated_service_ms: f64) -> f64 {
    let is_call = request.urgency.stage == 0;
    let end_ms = if is_call || is_late(now_ms, request, estimated_service_ms) {
        request.expires_at_ms
    } else {
        request.target_at_ms.min(request.expires_at_ms)
    };
    let left_ms = end_ms.saturating_sub(now_ms) as f64;
    let limit_ms = left_ms - estimated_service_ms * (1.0 + SERVICE_MARGIN_RATIO);
    limit_ms.max((left_ms - estimated_service_ms).min(estimated_service_ms * SHORT_WAIT_FRACTION))
}

/// Requests that can be answered in time come before those that cannot.
fn order(now_ms: u64, waiting: &WaitingRequest) -> (bool, Urgency, u64) {
    let late = is_late(now_ms, &waiting.request, waiting.estimated_service_ms);
    (late, waiting.request.urgency, waiting.arrival)
}
