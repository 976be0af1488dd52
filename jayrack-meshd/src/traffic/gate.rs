//! Asynchronous driver of the admission gate of the backend server beside the daemon.
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use jayrack_mesh::gate::{
    Admission, AdmissionGate, GateDecision, GateLoad, GateRefusal, GateRequest, RefusalReason,
    ServiceTimeEstimate,
};
use tokio::{runtime::Handle, sync::oneshot};

/// Maximum number of queued requests; with the target latencies in use, more could not be served in time.
const MAX_WAITING: usize = 64;

/// Part of the slots that requests of an earlier process are assumed to use; a larger one refuses more than a server
/// that is usually half full loses.
const INHERITED_SLOTS_DIVISOR: u32 = 2;
/// Time for which requests of an earlier process are assumed to run, in milliseconds: most of the targets' service times.
const INHERITED_TIME_MS: u64 = 1_500;

type AdmissionResult = Result<(), GateRefusal>;

#[derive(Debug)]
struct GateCore {
    gate: AdmissionGate,
    waiting: BTreeMap<u64, oneshot::Sender<AdmissionResult>>,
    next_id: u64,
}

#[derive(Debug)]
struct GateInner {
    core: Mutex<GateCore>,
    started: Instant,
}

/// Admission gate of one backend server; clones share it.
#[derive(Debug, Clone)]
pub struct OwnerGate {
    inner: Arc<GateInner>,
}

impl OwnerGate {
    /// Creates a suspended gate.
    pub fn new() -> Self {
        Self {
            inner: Arc::new(GateInner {
                core: Mutex::new(GateCore {
                    gate: AdmissionGate::new(MAX_WAITING),
                    waiting: BTreeMap::new(),
                    next_id: 0,
                }),
                started: Instant::now(),
            }),
        }
    }

    /// Admits requests to a server with `slots` slots.
    pub fn resume(&self, slots: u32) {
        let now_ms = self.now_ms();
        let mut core = self.lock();
        let decisions = core.gate.resume(now_ms, slots);
        core.apply(now_ms, decisions);
    }

    /// Assumes for a short time that the server still runs requests of an earlier process in a part of its `slots`.
    pub fn inherit(&self, slots: u32) {
        let until_ms = self.now_ms() + INHERITED_TIME_MS;
        let inherited = slots / INHERITED_SLOTS_DIVISOR;
        self.lock().gate.inherit(inherited, until_ms);
    }

    /// Records the average service time of `route` at all servers, in milliseconds.
    pub fn expect_service_ms(&self, route: &str, service_ms: f64) {
        self.lock().gate.expect_service_ms(route, service_ms);
    }

    /// Refuses queued and new requests.
    pub fn suspend(&self) {
        let now_ms = self.now_ms();
        let mut core = self.lock();
        let decisions = core.gate.suspend();
        core.apply(now_ms, decisions);
    }

    /// Refuses the queued requests that have waited for too long.
    pub fn tick(&self) {
        let now_ms = self.now_ms();
        let mut core = self.lock();
        let decisions = core.gate.tick(now_ms);
        core.apply(now_ms, decisions);
    }

    /// Current load of the gate.
    pub fn load(&self) -> GateLoad {
        self.lock().gate.load()
    }

    /// Average service time of requests of `route`, in milliseconds.
    pub fn estimated_service_ms(&self, route: &str) -> f64 {
        self.lock().gate.estimated_service_ms(route)
    }

    /// Service time estimate of `route`, if it is known.
    pub fn service_time_estimate(&self, route: &str) -> Option<ServiceTimeEstimate> {
        self.lock().gate.service_time_estimate(route)
    }

    /// Service time estimates of the `count` most frequent routes.
    pub fn service_time_estimates(&self, count: usize) -> Vec<ServiceTimeEstimate> {
        self.lock().gate.service_time_estimates(count)
    }

    /// Time since the gate was created, in milliseconds; the clock of the times in a [`GateRequest`].
    pub fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    /// Waits for a slot; dropping the future withdraws the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns the refusal; the request was not run.
    pub async fn acquire(&self, mut request: GateRequest) -> Result<SlotPermit, GateRefusal> {
        let mut ticket = {
            let now_ms = self.now_ms();
            let mut core = self.lock();
            core.next_id += 1;
            request.id = core.next_id;
            let id = request.id;
            let (admission, evicted) = core.gate.admit(now_ms, request);
            core.apply(now_ms, evicted.into_iter().collect());
            match admission {
                Admission::Run => return Ok(SlotPermit::new(self, id)),
                Admission::Refuse(refusal) => return Err(refusal),
                Admission::Wait => {
                    let (sender, receiver) = oneshot::channel();
                    core.waiting.insert(id, sender);
                    QueueTicket {
                        gate: self.clone(),
                        id,
                        receiver: Some(receiver),
                    }
                }
            }
        };
        ticket.wait().await
    }

    fn lock(&self) -> MutexGuard<'_, GateCore> {
        self.inner
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn finish(&self, id: u64, service_ms: Option<u64>) {
        let now_ms = self.now_ms();
        let mut core = self.lock();
        let decisions = core.gate.finished(now_ms, id, service_ms);
        core.apply(now_ms, decisions);
    }
}

impl Default for OwnerGate {
    fn default() -> Self {
        Self::new()
    }
}

impl GateCore {
    /// Sends decisions to the queued requests; the slot of a request that was dropped goes to the next one.
    fn apply(&mut self, now_ms: u64, mut decisions: Vec<GateDecision>) {
        while let Some(decision) = decisions.pop() {
            match decision {
                GateDecision::Run(id) => {
                    let sender = self.waiting.remove(&id);
                    if sender.is_none_or(|sender| sender.send(Ok(())).is_err()) {
                        decisions.extend(self.gate.finished(now_ms, id, None));
                    }
                }
                GateDecision::Refuse(id, refusal) => {
                    if let Some(sender) = self.waiting.remove(&id) {
                        // A request that was withdrawn meanwhile needs no decision.
                        let _ = sender.send(Err(refusal));
                    }
                }
            }
        }
    }
}

/// A queued request; dropping the ticket withdraws it.
struct QueueTicket {
    gate: OwnerGate,
    id: u64,
    receiver: Option<oneshot::Receiver<AdmissionResult>>,
}

impl QueueTicket {
    async fn wait(&mut self) -> Result<SlotPermit, GateRefusal> {
        let receiver = self.receiver.as_mut().expect("a ticket is awaited once");
        let result = receiver.await;
        self.receiver = None;
        match result {
            Ok(Ok(())) => Ok(SlotPermit::new(&self.gate, self.id)),
            Ok(Err(refusal)) => Err(refusal),
            // The gate decides each ticket before it drops the sender; without a decision nothing was run.
            Err(_) => Err(GateRefusal {
                reason: RefusalReason::Closed,
                retry_after_ms: 0,
            }),
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        {
            let mut core = self.gate.lock();
            core.waiting.remove(&self.id);
            core.gate.withdraw(self.id);
        }
        if let Ok(Ok(())) = receiver.try_recv() {
            self.gate.finish(self.id, None);
        }
    }
}

/// A slot of the backend server; dropping the permit releases it.
#[derive(Debug)]
pub struct SlotPermit {
    gate: OwnerGate,
    id: u64,
    started: Instant,
    is_sample: bool,
    /// Until when the server may run the request if nobody waits for the answer any more.
    occupied_until: Option<Instant>,
}

impl SlotPermit {
    fn new(gate: &OwnerGate, id: u64) -> Self {
        Self {
            gate: gate.clone(),
            id,
            started: Instant::now(),
            is_sample: false,
            occupied_until: None,
        }
    }

    /// Records that the request is sent: if the permit is dropped before the outcome is known, the slot is released
    /// at `until` only, since the server may still run the request.
    pub fn occupy_until(&mut self, until: Instant) {
        self.occupied_until = Some(until);
    }

    /// Records that the outcome is known, so that the slot is free when the permit is dropped.
    pub fn release(&mut self) {
        self.occupied_until = None;
    }

    /// Records the time for which the slot is held as a service time when the permit is dropped.
    pub fn record_service_time(&mut self) {
        self.is_sample = true;
    }

    /// Time since the slot was taken, in milliseconds.
    pub fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let left = self
            .occupied_until
            .map(|until| until.saturating_duration_since(Instant::now()))
            .filter(|left| !left.is_zero());
        if let (Some(left), Ok(runtime)) = (left, Handle::try_current()) {
            let (gate, id) = (self.gate.clone(), self.id);
            runtime.spawn(async move {
                tokio::time::sleep(left).await;
                gate.finish(id, None);
            });
            return;
        }
        let service_ms = self.is_sample.then(|| self.elapsed_ms());
        self.gate.finish(self.id, service_ms);
    }
}
