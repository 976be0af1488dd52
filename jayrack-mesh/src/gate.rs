//! Admission gate and queue in front of the backend server beside the daemon.
//!
//! A request is admitted only if it is expected to be answered in time, so that queued requests are served and
//! requests that can't be served are refused at once.
use std::{cmp::Reverse, collections::BTreeMap};

use crate::fairness::SlotShares;

/// Service time assumed for a route without observations, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 150.0;
/// Smoothing factor of the average service time.
const SERVICE_SMOOTHING: f64 = 0.08;
/// Observations needed before an average is reported to other hosts: single ones vary by as much as their mean.
const MIN_ESTIMATE_SAMPLES: u64 = 6;
/// Least remaining time of a running request, as a fraction of its estimated service time, since long runs outlast the
/// average.
const MIN_RESIDUAL_FRACTION: f64 = 0.25;
/// Margin for runs longer than the average, as a multiple of the estimated service time.
const SERVICE_MARGIN_RATIO: f64 = 1.5;
/// Bounds of this server's time relative to the average of all servers, against a few long runs.
const RELATIVE_TIME_BOUNDS: (f64, f64) = (0.25, 4.0);
/// Wait that is allowed to any request, as a fraction of its estimated service time, so that a slot that becomes free
/// is used at once.
const SHORT_WAIT_FRACTION: f64 = 0.2;
/// Time left until the target below which a request counts as late, as a fraction of its estimated service time.
const LATE_FRACTION: f64 = 0.7;
/// Smoothing factor of the ratio of waits to their estimates.
const WAIT_RATIO_SMOOTHING: f64 = 0.1;
/// Bounds of the ratio of waits to their estimates: the most by which more urgent requests that arrive later are
/// assumed to prolong a wait.
const WAIT_RATIO_BOUNDS: (f64, f64) = (0.5, 4.0);
/// Shortest estimated wait that is compared with the actual one, in milliseconds.
const MIN_ESTIMATED_WAIT_MS: f64 = 5.0;
/// Shortest time after which a refused caller may retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 40;
/// Share of the slot time that is reserved for the least urgent requests while others wait, as a fraction, so that they
/// don't starve.
const RESERVED_FRACTION: f64 = 0.1;

/// Urgency of a request, most urgent first; the stage takes precedence over the rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// 0 for a nested call of a running request, 1 for a new request.
    pub stage: u8,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
}

/// Average time that requests of a route take at one backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceTimeEstimate {
    /// Name of the route.
    pub route: String,
    /// Average service time, in milliseconds.
    pub service_ms: u32,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateRequest {
    /// Identifier, unique among the requests at this gate.
    pub id: u64,
    /// Name of the route, by which service times are averaged.
    pub route: String,
    /// Name of the tenant that it runs for, if it has one.
    pub tenant: Option<String>,
    /// Urgency, by which waiting requests are ordered.
    pub urgency: Urgency,
    /// Time until which an answer has its full value, in milliseconds of the monotonic clock.
    pub target_at_ms: u64,
    /// Deadline at which its caller stops waiting, in milliseconds of the monotonic clock.
    pub expires_at_ms: u64,
}

/// Reason why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full, or the request would wait for too long.
    Busy,
    /// The backend server accepts no requests.
    Closed,
    /// Too little time is left until its deadline.
    Expired,
    /// The host's link cannot carry the answer in time.
    LinkFull,
}

/// Decision about an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It gets a slot and runs now.
    Run,
    /// It waits for a slot.
    Wait,
    /// It is refused and does not run.
    Refuse(GateRefusal),
}

/// A refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateRefusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which there may be room, in milliseconds.
    pub retry_after_ms: u64,
}

/// Decision about a waiting request, given by its identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateDecision {
    /// It gets a slot and runs now.
    Run(u64),
    /// It is refused and does not run.
    Refuse(u64, GateRefusal),
}

/// Load of a gate at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that can run concurrently; 0 while the gate is suspended.
    pub slots: u32,
}

impl GateLoad {
    /// Whether a request that arrives is better passed on: all slots are in use, and others wait already.
    ///
    /// The first waiting request gets its slot about as soon as it would elsewhere, and passing it on takes processor
    /// time of two daemons.
    pub fn has_queue(&self) -> bool {
        self.slots > 0 && self.running >= self.slots && self.waiting > 0
    }
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
    tenant: Option<String>,
    started_ms: u64,
    estimated_service_ms: f64,
}

/// Slots of one backend server and the queue of requests that wait for them.
#[derive(Debug)]
pub struct AdmissionGate {
    slots: u32,
    max_waiting: usize,
    is_admitting: bool,
    waiting: Vec<WaitingRequest>,
    running: BTreeMap<u64, RunningRequest>,
    averages: BTreeMap<String, RouteAverage>,
    /// Slot time used by the tenants, which orders requests of the same lateness and urgency.
    shares: SlotShares,
    /// Ratio of waits to their estimates, by stage and rank.
    wait_ratios: BTreeMap<(u8, u8), f64>,
    arrivals: u64,
    /// Reserved slot time that the least urgent requests have not used yet, in milliseconds.
    reserved_credit_ms: f64,
    /// Slots that requests of an earlier process may still use.
    inherited: InheritedSlots,
    /// Average service times of routes at all servers, in milliseconds.
    expected: BTreeMap<String, f64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct InheritedSlots {
    slots: u32,
    until_ms: u64,
}

impl AdmissionGate {
    /// Creates a suspended gate with room for `max_waiting` requests in its queue.
    pub fn new(max_waiting: usize) -> Self {
        Self {
            slots: 0,
            max_waiting,
            is_admitting: false,
            waiting: Vec::new(),
            running: BTreeMap::new(),
            averages: BTreeMap::new(),
            shares: SlotShares::default(),
            wait_ratios: BTreeMap::new(),
            arrivals: 0,
            reserved_credit_ms: 0.0,
            inherited: InheritedSlots::default(),
            expected: BTreeMap::new(),
        }
    }

    /// Assumes that requests of an earlier process still use `slots` slots, at most until `until_ms`; each answer
    /// releases one of them.
    pub fn inherit(&mut self, slots: u32, until_ms: u64) {
        self.inherited = InheritedSlots { slots, until_ms };
    }

    /// Records the average time that requests of `route` take at all servers, in milliseconds; scaled by the speed of
    /// this server on other routes, it serves as the estimate until the route has been observed here.
    pub fn expect_service_ms(&mut self, route: &str, service_ms: f64) {
        match self.expected.get_mut(route) {
            Some(expected) => *expected = service_ms,
            None => {
                self.expected.insert(route.to_string(), service_ms);
            }
        }
    }

    /// Time that requests take here relative to the average of all servers; 1 without a route to compare.
    fn relative_time(&self) -> f64 {
        let compared = self
            .averages
            .iter()
            .filter(|(_, average)| average.samples >= MIN_ESTIMATE_SAMPLES)
            .filter_map(|(route, average)| Some((average.service_ms, *self.expected.get(route)?)));
        let (own_ms, all_ms) = compared.fold((0.0, 0.0), |(own, all), (own_ms, all_ms)| {
            (own + own_ms, all + all_ms)
        });
        match all_ms > 0.0 {
            true => (own_ms / all_ms).clamp(RELATIVE_TIME_BOUNDS.0, RELATIVE_TIME_BOUNDS.1),
            false => 1.0,
        }
    }

    /// Admits requests for a backend server with `slots` slots; returns the waiting requests that run now.
    pub fn resume(&mut self, now_ms: u64, slots: u32) -> Vec<GateDecision> {
        self.is_admitting = true;
        self.slots = slots;
        self.dispatch(now_ms)
    }

    /// Refuses all waiting requests, and arriving ones until [`AdmissionGate::resume`] is called.
    pub fn suspend(&mut self) -> Vec<GateDecision> {
        self.is_admitting = false;
        let waiting = std::mem::take(&mut self.waiting);
        waiting
            .into_iter()
            .map(|waiting| GateDecision::Refuse(waiting.request.id, closed_refusal()))
            .collect()
    }

    /// Decides about an arriving request, and about the waiting one that is evicted for it, if any.
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

    /// Whether the queue is full and no waiting request comes after `request`.
    fn is_full_for(&self, now_ms: u64, request: &GateRequest, estimated_service_ms: f64) -> bool {
        let own = self.position(now_ms, request, estimated_service_ms);
        let is_behind = |waiting: &WaitingRequest| {
            self.position(now_ms, &waiting.request, waiting.estimated_service_ms) > own
        };
        self.waiting.len() >= self.max_waiting
            && !self.is_reserved_slot_due(request.urgency.rank, estimated_service_ms)
            && !self.waiting.iter().any(is_behind)
    }

    /// Refuses the last waiting request of the queue order.
    fn evict(&mut self, now_ms: u64) -> Option<GateDecision> {
        let key = |index: &usize| self.order(now_ms, &self.waiting[*index]);
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

    /// Records that a running request has ended; returns the waiting requests that run now.
    ///
    /// `service_ms` is the time that it took, or `None` if that is no sample of its route's service time.
    pub fn finished(&mut self, now_ms: u64, id: u64, service_ms: Option<u64>) -> Vec<GateDecision> {
        if let Some(running) = self.running.remove(&id) {
            let used_ms = now_ms.saturating_sub(running.started_ms) as f64;
            let tenant = running.tenant.as_deref().unwrap_or_default();
            let correction_ms = used_ms - running.estimated_service_ms;
            self.shares.charge(now_ms, tenant, correction_ms);
            if let Some(service_ms) = service_ms {
                self.observe(&running.route, service_ms as f64);
                self.inherited.slots = self.inherited.slots.saturating_sub(1);
            }
        }
        self.dispatch(now_ms)
    }

    /// Removes a waiting request from the queue.
    pub fn withdraw(&mut self, id: u64) {
        self.waiting.retain(|waiting| waiting.request.id != id);
    }

    /// Refuses the waiting requests that can't be answered before their deadlines any more: those with less than half
    /// of their estimated service time left. Releases the slots of an earlier process in time.
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
        let mut decisions: Vec<GateDecision> = expired.into_iter().map(refuse).collect();
        if self.inherited.slots > 0 && now_ms >= self.inherited.until_ms {
            self.inherited.slots = 0;
            decisions.extend(self.dispatch(now_ms));
        }
        decisions
    }

    /// Load of the gate at this moment.
    pub fn load(&self) -> GateLoad {
        GateLoad {
            running: self.running.len() as u32 + self.inherited.slots,
            waiting: self.waiting.len() as u32,
            slots: if self.is_admitting { self.slots } else { 0 },
        }
    }

    /// Average time that requests of `route` take here, in milliseconds; a default without observations.
    pub fn estimated_service_ms(&self, route: &str) -> f64 {
        match (self.averages.get(route), self.expected.get(route)) {
            (Some(average), _) => average.service_ms,
            (None, Some(expected)) => expected * self.relative_time(),
            (None, None) => DEFAULT_SERVICE_MS,
        }
    }

    /// Service time estimate of `route`, if there are enough observations.
    pub fn service_time_estimate(&self, route: &str) -> Option<ServiceTimeEstimate> {
        let average = self.averages.get(route)?;
        (average.samples >= MIN_ESTIMATE_SAMPLES).then(|| estimate_of(route, average))
    }

    /// Service time estimates of the `count` routes with the most observations.
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

    /// Updates the ratio of waits to their estimates with a wait that has ended.
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
        let used = self.running.len() as u32 + self.inherited.slots;
        self.slots.saturating_sub(used)
    }

    fn start(&mut self, now_ms: u64, request: &GateRequest, estimated_service_ms: f64) {
        // The estimate counts from the start, so that a tenant cannot take all slots before one of its requests ends.
        let tenant = request.tenant.as_deref().unwrap_or_default();
        self.shares.charge(now_ms, tenant, estimated_service_ms);
        let running = RunningRequest {
            route: request.route.clone(),
            tenant: request.tenant.clone(),
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
        let key = |index: &usize| self.order(now_ms, &self.waiting[*index]);
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

    /// Average service time of the slowest route, but at least [`DEFAULT_SERVICE_MS`], in milliseconds: the reserved
    /// credit covers no more than one request.
    fn longest_service_ms(&self) -> f64 {
        let averages = self.averages.values().map(|average| average.service_ms);
        averages.fold(DEFAULT_SERVICE_MS, f64::max)
    }

    /// Whether the reserved share lets a request of `rank` run next although all waiting ones are more urgent.
    fn is_reserved_slot_due(&self, rank: u8, estimated_service_ms: f64) -> bool {
        let ranks = self
            .waiting
            .iter()
            .map(|waiting| waiting.request.urgency.rank);
        self.reserved_credit_ms >= estimated_service_ms
            && ranks.into_iter().all(|other| other < rank)
    }

    /// Estimated wait of `request` for a slot of the reserved share, in milliseconds; `None` if it is not among the
    /// least urgent, or no more urgent request waits.
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

    /// Estimated wait of `request` for a slot by the order of the queue, in milliseconds.
    fn wait_ms(&self, now_ms: u64, request: &GateRequest) -> f64 {
        let own_service_ms = self.estimated_service_ms(&request.route);
        let own = self.position(now_ms, request, own_service_ms);
        let is_ahead = |waiting: &&WaitingRequest| {
            self.position(now_ms, &waiting.request, waiting.estimated_service_ms) <= own
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

/// Place of a request in the queue without its arrival: lateness, urgency, and slot time that its tenant has used.
type QueuePosition = (bool, Urgency, u64);

impl AdmissionGate {
    /// Requests that can meet their target come before late ones, then by urgency, then those of the tenant that has
    /// used less slot time lately.
    fn position(&self, now_ms: u64, request: &GateRequest, service_ms: f64) -> QueuePosition {
        let tenant = request.tenant.as_deref().unwrap_or_default();
        (
            is_late(now_ms, request, service_ms),
            request.urgency,
            self.shares.used_ms(now_ms, tenant),
        )
    }

    /// Sort key of the queue: the position, then the arrival.
    fn order(&self, now_ms: u64, waiting: &WaitingRequest) -> (QueuePosition, u64) {
        let position = self.position(now_ms, &waiting.request, waiting.estimated_service_ms);
        (position, waiting.arrival)
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

/// Whether the request can't be expected to end before its target any more.
fn is_late(now_ms: u64, request: &GateRequest, estimated_service_ms: f64) -> bool {
    (request.target_at_ms as f64) < now_ms as f64 + estimated_service_ms * LATE_FRACTION
}

/// Longest time that a request may wait, in milliseconds: so that it ends before its target, or before its deadline if
/// the target is missed anyway.
///
/// For a nested call only the deadline counts, since the work of its parent request is lost without it.
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
