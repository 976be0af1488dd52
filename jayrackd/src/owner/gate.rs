//! Driver of the admission queues and the outcome ledger: queues requests and grants permits.
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use jayrack_protocol::{RequestId, ResultCode};
use jayrack_traffic::{
    AdmissionQueue, LoadLevel, OutcomeLedger, RequestClass,
    admission::{self, Decision},
    ledger::{self, BeginResult, Outcome, QueryResult},
};
use tokio::sync::{Notify, oneshot};

use super::{
    answer::StoredAnswer,
    permit::{RunOutcome, Ticket},
};
use crate::{
    clock::{self, DaemonClock},
    shared::{LocalServer, SharedState},
    traffic::Options,
};

/// Interval at which waiting requests are checked.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Admits requests for the local backend servers; clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct OwnerGate {
    inner: Arc<GateInner>,
}

#[derive(Debug)]
struct GateInner {
    core: Mutex<GateCore>,
    clock: DaemonClock,
    max_queued: usize,
    has_waiting: Notify,
}

#[derive(Debug)]
struct GateCore {
    ledger: OutcomeLedger<Arc<StoredAnswer>>,
    queues: BTreeMap<String, AdmissionQueue>,
    waiting: BTreeMap<RequestId, WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    server: String,
    reply: oneshot::Sender<TicketDecision>,
}

/// Decision about a queued request.
#[derive(Debug, Clone, Copy)]
pub(super) enum TicketDecision {
    Run,
    Refuse(ResultCode),
}

/// Result of offering a request to the gate.
#[derive(Debug)]
pub(crate) enum Admission {
    /// The request waits for its ticket's decision.
    Queued(Ticket),
    /// The ledger has an entry for this request already, so it must not run.
    Duplicate(Outcome<Arc<StoredAnswer>>),
}

impl OwnerGate {
    pub(crate) fn new(options: &Options) -> Self {
        let ledger = OutcomeLedger::new(ledger::Options {
            started_unix_ms: clock::unix_ms(),
            clock_skew_ms: options.timeouts.clock_skew.as_millis() as u64,
            max_bytes: options.limits.ledger_bytes as u64,
            max_records: options.limits.ledger_records,
            ..ledger::Options::default()
        });
        Self {
            inner: Arc::new(GateInner {
                core: Mutex::new(GateCore {
                    ledger,
                    queues: BTreeMap::new(),
                    waiting: BTreeMap::new(),
                }),
                clock: options.clock,
                max_queued: options.limits.queue,
                has_waiting: Notify::new(),
            }),
        }
    }

    /// Lets the ledger vouch at once, since no request can have run before this daemon started.
    pub(crate) fn assume_complete(&self) {
        self.lock().ledger.assume_complete();
    }

    /// Queues a request for `server`, unless the ledger knows it already.
    pub(crate) fn enter(
        &self,
        id: RequestId,
        server: &LocalServer,
        class: RequestClass,
    ) -> Admission {
        let now_ms = self.inner.clock.now_ms();
        let mut core = self.lock();
        if let BeginResult::Existing(outcome) = core.ledger.begin(now_ms, id) {
            return Admission::Duplicate(outcome);
        }
        let (reply, receiver) = oneshot::channel();
        let waiting = WaitingRequest {
            server: server.name.clone(),
            reply,
        };
        core.waiting.insert(id, waiting);
        let queue = core.queue(server, self.inner.max_queued);
        let decisions = queue.offer(now_ms, id, class);
        core.apply(now_ms, &server.name, decisions);
        if core.waiting.contains_key(&id) {
            self.inner.has_waiting.notify_one();
        }
        Admission::Queued(Ticket::new(self.clone(), id, &server.name, receiver))
    }

    /// Returns the outcome of a request; with `fence`, a request that waits never runs.
    pub(crate) fn query(&self, id: RequestId, fence: bool) -> QueryResult<Arc<StoredAnswer>> {
        let now_ms = self.inner.clock.now_ms();
        let mut core = self.lock();
        let query_result = core.ledger.query(now_ms, id, fence);
        if let QueryResult::NotRun(code) = query_result {
            core.withdraw(now_ms, id, code);
        }
        query_result
    }

    /// Returns the load of `server`; `None` before its first request.
    pub(crate) fn load(&self, server: &str) -> Option<LoadLevel> {
        let core = self.lock();
        core.queues.get(server).map(AdmissionQueue::load)
    }

    /// Returns the numbers of running and queued requests of all local servers.
    pub(crate) fn load_totals(&self) -> LoadTotals {
        let core = self.lock();
        let loads = core.queues.values().map(AdmissionQueue::load);
        loads.fold(LoadTotals::default(), |totals, load| LoadTotals {
            running: totals.running + load.running,
            queued: totals.queued + load.queued,
        })
    }

    /// Refuses requests that waited too long or whose server is draining; runs until the process ends.
    pub(crate) async fn check_waiting_requests(self, shared: Arc<SharedState>) {
        loop {
            if self.lock().waiting.is_empty() {
                self.inner.has_waiting.notified().await;
            }
            tokio::time::sleep(QUEUE_CHECK_INTERVAL).await;
            self.tick(&shared);
        }
    }

    fn tick(&self, shared: &SharedState) {
        let now_ms = self.inner.clock.now_ms();
        let servers = shared.servers.load();
        let mut core = self.lock();
        let names: Vec<String> = core.queues.keys().cloned().collect();
        for name in names {
            let server = servers.iter().find(|server| server.name == name);
            let is_draining = server.is_none_or(|server| server.draining) || shared.is_leaving();
            let Some(queue) = core.queues.get_mut(&name) else {
                continue;
            };
            queue.set_draining(is_draining);
            let decisions = queue.tick(now_ms);
            core.apply(now_ms, &name, decisions);
        }
    }

    /// Removes a waiting request from the queue; it ends as not run, with `code`.
    pub(super) fn withdraw(&self, id: RequestId, code: ResultCode) {
        let now_ms = self.inner.clock.now_ms();
        self.lock().withdraw(now_ms, id, code);
    }

    /// Records how a permitted request ended, and releases its slot.
    pub(super) fn finish(
        &self,
        server: &str,
        id: RequestId,
        service_us: u64,
        run_outcome: RunOutcome,
    ) {
        let now_ms = self.inner.clock.now_ms();
        let mut core = self.lock();
        let result = core.record_outcome(now_ms, id, run_outcome);
        let decisions = core.end(now_ms, server, id, (service_us, result));
        core.apply(now_ms, server, decisions);
    }

    fn lock(&self) -> MutexGuard<'_, GateCore> {
        self.inner
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Load of all local servers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadTotals {
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

impl GateCore {
    fn queue(&mut self, server: &LocalServer, max_queued: usize) -> &mut AdmissionQueue {
        if !self.queues.contains_key(&server.name) {
            let queue = AdmissionQueue::new(admission::Options {
                slots: server.slots,
                max_queued,
                ..admission::Options::default()
            });
            self.queues.insert(server.name.clone(), queue);
        }
        let queue = self
            .queues
            .get_mut(&server.name)
            .expect("inserted when absent");
        queue.set_slots(server.slots);
        queue.set_draining(server.draining);
        queue
    }

    /// Applies decisions, and those that follow from them.
    fn apply(&mut self, now_ms: u64, server: &str, mut decisions: Vec<Decision>) {
        while let Some(decision) = decisions.pop() {
            let mut next_decisions = match decision {
                Decision::Dispatch(id) => self.dispatch(now_ms, server, id),
                Decision::Refuse(id, code) => {
                    self.refuse(now_ms, id, code);
                    Vec::new()
                }
            };
            decisions.append(&mut next_decisions);
        }
    }

    fn dispatch(&mut self, now_ms: u64, server: &str, id: RequestId) -> Vec<Decision> {
        let waiting = self.waiting.remove(&id);
        let is_free = self.ledger.dispatched(now_ms, id);
        let is_taken = waiting
            .is_some_and(|waiting| is_free && waiting.reply.send(TicketDecision::Run).is_ok());
        if is_taken {
            return Vec::new();
        }
        self.ledger.not_run(now_ms, id, ResultCode::Cancelled);
        self.end(now_ms, server, id, (0, admission::Result::Cancelled))
    }

    fn refuse(&mut self, now_ms: u64, id: RequestId, code: ResultCode) {
        self.ledger.not_run(now_ms, id, code);
        if let Some(waiting) = self.waiting.remove(&id) {
            let _ = waiting.reply.send(TicketDecision::Refuse(code));
        }
    }

    fn withdraw(&mut self, now_ms: u64, id: RequestId, code: ResultCode) {
        self.ledger.not_run(now_ms, id, code);
        let Some(server) = self.waiting.get(&id).map(|waiting| waiting.server.clone()) else {
            return;
        };
        if let Some(queue) = self.queues.get_mut(&server) {
            let decisions = queue.cancel(now_ms, id);
            self.apply(now_ms, &server, decisions);
        }
        self.refuse(now_ms, id, code);
    }

    fn end(
        &mut self,
        now_ms: u64,
        server: &str,
        id: RequestId,
        end: (u64, admission::Result),
    ) -> Vec<Decision> {
        let (service_us, result) = end;
        let queue = self.queues.get_mut(server);
        queue.map_or_else(Vec::new, |queue| {
            queue.finished(now_ms, id, service_us, result)
        })
    }

    fn record_outcome(
        &mut self,
        now_ms: u64,
        id: RequestId,
        run_outcome: RunOutcome,
    ) -> admission::Result {
        match run_outcome {
            RunOutcome::Done(answer) => {
                self.store(now_ms, id, answer);
                admission::Result::Ok
            }
            RunOutcome::Shed(answer) => {
                self.store(now_ms, id, answer);
                admission::Result::ServerShed
            }
            RunOutcome::Failed => {
                self.ledger.failed(now_ms, id);
                admission::Result::Failed
            }
            RunOutcome::Unknown => {
                self.ledger.unknown(now_ms, id);
                admission::Result::Cancelled
            }
            RunOutcome::NotRun(code) => {
                self.ledger.not_run(now_ms, id, code);
                admission::Result::Cancelled
            }
        }
    }

    fn store(&mut self, now_ms: u64, id: RequestId, answer: StoredAnswer) {
        let headers = answer.head.headers.iter();
        let head_bytes: usize = headers
            .map(|header| header.name.len() + header.value.len())
            .sum();
        let body_bytes = answer.body.as_ref().map_or(0, bytes::Bytes::len);
        let bytes = (head_bytes + body_bytes) as u64;
        self.ledger.done(now_ms, id, Arc::new(answer), bytes);
    }
}
