//! The admission queue of one backend server, at its owner.
//!
//! * `queue`: waiting requests, fair-queued by rank, kind and customer.
//! * `limit`: the number of slots in use.
//! * `level`: the fraction of each rank that ingresses have to shed.
//! * `service`: service time estimates.
mod level;
mod limit;
mod queue;
mod service;

use std::collections::BTreeMap;

use jayrack_protocol::{RequestId, ResultCode};

pub use level::LoadLevel;

use crate::class::RequestClass;
use level::LevelMeter;
use limit::SlotLimit;
use queue::{QueuedRequest, WaitingRequests};
use service::ServiceTimeEstimate;

/// Settings of an [`AdmissionQueue`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Requests that the backend server runs at once.
    pub slots: u32,
    /// Maximum number of waiting requests.
    pub max_queued: usize,
    /// Whether fewer slots are used when service times rise or the backend server refuses requests.
    pub adaptive: bool,
    /// Longest wait of a root request, in percent of the time from its arrival to its deadline.
    pub root_wait_percent: u8,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            slots: 12,
            max_queued: 512,
            adaptive: true,
            root_wait_percent: 25,
        }
    }
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Result {
    /// The backend server answered.
    Ok,
    /// The backend server failed.
    Failed,
    /// The backend server refused the request because it is overloaded.
    ServerShed,
    /// The request was cancelled.
    Cancelled,
}

/// Action that the driver has to take on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the backend server.
    Dispatch(RequestId),
    /// Refuse it with this code; it was not run.
    Refuse(RequestId, ResultCode),
}

#[derive(Debug)]
struct RunningRequest {
    rank: u8,
    kind: String,
    estimated_service_us: u64,
}

/// Orders the requests for one backend server and dispatches or refuses them.
#[derive(Debug)]
pub struct AdmissionQueue {
    options: Options,
    is_draining: bool,
    waiting: WaitingRequests,
    running: BTreeMap<RequestId, RunningRequest>,
    estimate: ServiceTimeEstimate,
    limit: SlotLimit,
    meter: LevelMeter,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(options: Options) -> Self {
        Self {
            is_draining: false,
            waiting: WaitingRequests::new(),
            running: BTreeMap::new(),
            estimate: ServiceTimeEstimate::new(),
            limit: SlotLimit::new(options.slots, options.adaptive),
            meter: LevelMeter::new(),
            options,
        }
    }

    /// Queues or refuses a request that arrived. The decisions returned may concern this request, others
    /// or none.
    pub fn offer(&mut self, now_ms: u64, id: RequestId, class: RequestClass) -> Vec<Decision> {
        let estimated_service_us = self.estimate.service_us(&class.kind);
        self.meter.offered(now_ms, &class, estimated_service_us);
        if self.is_draining {
            return vec![Decision::Refuse(id, ResultCode::Draining)];
        }
        let min_wait_us = self.min_wait_us(&class);
        if now_ms * 1_000 + min_wait_us + estimated_service_us > class.deadline_ms * 1_000 {
            return vec![Decision::Refuse(id, ResultCode::DeadlinePassed)];
        }
        let request = QueuedRequest {
            id,
            latest_start_ms: self.latest_start_ms(now_ms, &class, estimated_service_us),
            estimated_service_us,
            class,
        };
        self.waiting.push(request);
        let mut decisions = self.dispatch_waiting(now_ms);
        self.drop_excess(&mut decisions);
        decisions
    }

    /// Records that a dispatched request ended after `service_us` and returns the decisions due.
    pub fn finished(
        &mut self,
        now_ms: u64,
        id: RequestId,
        service_us: u64,
        result: Result,
    ) -> Vec<Decision> {
        if let Some(running) = self.running.remove(&id) {
            self.settle(now_ms, &running, service_us, result);
        }
        self.dispatch_waiting(now_ms)
    }

    /// Removes a request that has not been dispatched and returns the decisions due.
    pub fn cancel(&mut self, now_ms: u64, id: RequestId) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.waiting.remove(id) {
            decisions.push(Decision::Refuse(id, ResultCode::Cancelled));
        }
        decisions.append(&mut self.dispatch_waiting(now_ms));
        decisions
    }

    /// Refuses requests that are past their latest start time. Must be called about every 10 ms while
    /// requests wait.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for id in self.waiting.take_overdue(now_ms) {
            decisions.push(Decision::Refuse(id, ResultCode::DeadlinePassed));
        }
        decisions.append(&mut self.dispatch_waiting(now_ms));
        decisions
    }

    /// Sets the number of slots that the backend server announces.
    pub fn set_slots(&mut self, slots: u32) {
        self.options.slots = slots;
        self.limit.set_slots(slots);
    }

    /// Starts or stops refusing all requests that are not dispatched yet; the next call returns the
    /// refusals of those that wait.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Load report to attach to answers.
    pub fn load(&self) -> LoadLevel {
        let mut level = self.meter.level();
        level.slots = self.limit.slots();
        level.running = self.running.len() as u32;
        level.queued = self.waiting.len() as u32;
        level
    }

    fn settle(&mut self, now_ms: u64, running: &RunningRequest, service_us: u64, result: Result) {
        self.waiting
            .correct_charge(running.rank, running.estimated_service_us, service_us);
        match result {
            Result::Ok => {
                let slowdown = self.estimate.observe(&running.kind, service_us);
                self.limit.observe(now_ms, slowdown);
            }
            Result::ServerShed => self.limit.record_refusal(now_ms),
            Result::Failed | Result::Cancelled => {}
        }
    }

    fn dispatch_waiting(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        if self.is_draining {
            for id in self.waiting.take_all() {
                decisions.push(Decision::Refuse(id, ResultCode::Draining));
            }
        }
        while (self.running.len() as u32) < self.limit.slots() {
            let Some(request) = self.waiting.pop() else {
                break;
            };
            decisions.push(self.start(now_ms, request));
        }
        self.meter.roll(now_ms, self.limit.slots());
        decisions
    }

    fn start(&mut self, now_ms: u64, request: QueuedRequest) -> Decision {
        if now_ms > request.latest_start_ms {
            self.waiting.refund(&request);
            return Decision::Refuse(request.id, ResultCode::DeadlinePassed);
        }
        let running = RunningRequest {
            rank: request.class.rank,
            kind: request.class.kind,
            estimated_service_us: request.estimated_service_us,
        };
        self.running.insert(request.id, running);
        Decision::Dispatch(request.id)
    }

    fn drop_excess(&mut self, decisions: &mut Vec<Decision>) {
        while self.waiting.len() > self.options.max_queued {
            let Some(id) = self.waiting.take_least_urgent(self.options.max_queued) else {
                return;
            };
            decisions.push(Decision::Refuse(id, ResultCode::Shed));
        }
    }

    /// Lower bound of the time until a request of `class` would be dispatched, in microseconds.
    fn min_wait_us(&self, class: &RequestClass) -> u64 {
        let slots = u64::from(self.limit.slots().max(1));
        self.waiting.work_before_us(class) / slots
    }

    fn latest_start_ms(&self, now_ms: u64, class: &RequestClass, estimated_service_us: u64) -> u64 {
        let latest_start_ms = class
            .deadline_ms
            .saturating_sub(estimated_service_us.div_ceil(1_000));
        if class.depth > 0 {
            return latest_start_ms;
        }
        let remaining_ms = class.deadline_ms.saturating_sub(now_ms);
        let max_wait_ms = remaining_ms * u64::from(self.options.root_wait_percent) / 100;
        latest_start_ms.min(now_ms + max_wait_ms)
    }
}
