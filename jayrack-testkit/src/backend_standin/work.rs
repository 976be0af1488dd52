//! Slots, service times and counting.
use hyper::HeaderMap;
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};

use super::{
    behaviour::{BackendBehaviour, BackendCounts, Distribution},
    call_tree::{self, CallNode},
    headers,
};

/// Payload length of answers to requests that don't set one, in bytes.
const DEFAULT_ANSWER_BYTES: usize = 64;

/// Factor by which service times are longer at the beginning of the cold start.
const COLD_START_SLOWDOWN: u64 = 4;

/// Parameters of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkRequest {
    /// Identifier under which the run is counted.
    pub id: String,
    /// `Idempotency-Key`; empty without one.
    pub key: String,
    /// Kind of work.
    pub kind: String,
    /// Customer request that the work is for; empty without one.
    pub customer_request: String,
    /// Mean service time, in microseconds; `None` for that of the behaviour.
    pub service_us: Option<u64>,
    /// Length of the answer's payload, in bytes.
    pub answer_bytes: usize,
    /// Time until the deadline on arrival, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Nested calls.
    pub calls: Vec<CallNode>,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs for this time, in microseconds.
    Run(u64),
    /// It is shed.
    Shed,
}

/// The state of one server.
#[derive(Debug)]
pub struct ServerWork {
    /// Current behaviour.
    pub behaviour: BackendBehaviour,
    /// Counters since the start.
    pub counts: BackendCounts,
    slots: u64,
    cold_start_ms: u64,
    drain_started_ms: u64,
    random: Pcg64Mcg,
}

impl WorkRequest {
    /// Reads the parameters from the headers of a request; invalid values count as absent.
    pub fn from_headers(map: &HeaderMap) -> Self {
        let calls = header_text(map, headers::CALLS);
        let id = match header_text(map, headers::ID) {
            "" => header_text(map, "x-jayrack-request-id"),
            id => id,
        };
        Self {
            id: id.to_string(),
            key: header_text(map, "idempotency-key").to_string(),
            kind: header_text(map, headers::KIND).to_string(),
            customer_request: header_text(map, "x-jayrack-customer-request").to_string(),
            service_us: header_text(map, headers::SERVICE_US).parse().ok(),
            answer_bytes: header_text(map, headers::BYTES)
                .parse()
                .unwrap_or(DEFAULT_ANSWER_BYTES),
            deadline_ms: call_tree::deadline_ms(map),
            calls: serde_json::from_str(calls).unwrap_or_default(),
        }
    }
}

impl ServerWork {
    /// Creates a server that starts at 0 ms of its clock.
    pub fn new(slots: u32, cold_start_ms: u64, seed: u64) -> Self {
        Self {
            behaviour: BackendBehaviour::default(),
            counts: BackendCounts::default(),
            slots: u64::from(slots),
            cold_start_ms,
            drain_started_ms: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Replaces the behaviour.
    pub fn set_behaviour(&mut self, behaviour: BackendBehaviour, now_ms: u64) {
        if behaviour.draining && !self.behaviour.draining {
            self.drain_started_ms = now_ms;
        }
        self.behaviour = behaviour;
    }

    /// Acquires a slot and counts the run, or sheds the request.
    pub fn begin(&mut self, work_request: &WorkRequest, now_ms: u64) -> Admission {
        if self.behaviour.shedding || self.counts.running >= self.slots {
            self.counts.shed += 1;
            return Admission::Shed;
        }
        let mean_us = work_request.service_us.unwrap_or(self.behaviour.service_us);
        let sampled_us = self.sample_service_us(mean_us);
        let service_us = self.add_cold_start_delay(sampled_us, now_ms);
        self.count_run(work_request, service_us, now_ms);
        Admission::Run(service_us)
    }

    /// Releases the slot after an answer.
    pub fn complete(&mut self) {
        self.counts.running -= 1;
        self.counts.completed += 1;
    }

    /// Releases the slot after the connection was closed.
    pub fn cancel(&mut self) {
        self.counts.running -= 1;
        self.counts.cancelled += 1;
    }

    fn count_run(&mut self, work_request: &WorkRequest, service_us: u64, now_ms: u64) {
        let counts = &mut self.counts;
        counts.executed += 1;
        counts.running += 1;
        counts.most_running = counts.most_running.max(counts.running);
        counts.expired += u64::from(work_request.deadline_ms == Some(0));
        if self.behaviour.draining {
            counts.while_draining += 1;
            counts.last_while_draining_ms = now_ms - self.drain_started_ms;
        }
        *counts.by_id.entry(work_request.id.clone()).or_default() += 1;
        *counts.by_kind.entry(work_request.kind.clone()).or_default() += 1;
        if !work_request.key.is_empty() {
            *counts.by_key.entry(work_request.key.clone()).or_default() += 1;
        }
        if !work_request.customer_request.is_empty() {
            let work = &mut counts.work_us_by_customer_request;
            *work
                .entry(work_request.customer_request.clone())
                .or_default() += service_us;
        }
    }

    fn sample_service_us(&mut self, mean_us: u64) -> u64 {
        let uniform = (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
        let mean = mean_us as f64;
        match self.behaviour.distribution {
            Distribution::Fixed => mean_us,
            Distribution::Uniform => (mean * (0.5 + uniform)) as u64,
            Distribution::Exponential => (-mean * (1.0 - uniform).ln()) as u64,
        }
    }

    fn add_cold_start_delay(&self, service_us: u64, now_ms: u64) -> u64 {
        if now_ms >= self.cold_start_ms {
            return service_us;
        }
        let cold_start_left_ms = self.cold_start_ms - now_ms;
        service_us
            + service_us * (COLD_START_SLOWDOWN - 1) * cold_start_left_ms / self.cold_start_ms
    }
}

fn header_text<'a>(map: &'a HeaderMap, name: &str) -> &'a str {
    map.get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
