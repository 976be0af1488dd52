//! Driver of one request's flow: sends attempts, queries outcomes and waits as [`RequestFlow`]
//! decides.
use std::{
    pin::Pin,
    sync::Arc,
    time::{Duration, Instant},
};

use jayrack_config::table::ServerEntry;
use jayrack_protocol::{ResultCode, forward::RequestHead};
use jayrack_traffic::{
    RequestFlow,
    pick::PickResult,
    request::{self, Action, Input, Response},
};

use super::{
    attempt::{self, OwnerLocation},
    claim::KeyClaim,
    replay::{AttemptBody, ReplayBody},
    router::{self, AttemptReport},
};
use crate::{owner::OwnerAnswer, traffic::TrafficState, transport};

/// Maximum number of forwarding attempts for one request.
const MAX_ATTEMPTS: usize = 3;

/// Time after the deadline in which the outcome is still queried, in milliseconds.
const QUERY_GRACE_MS: u64 = 500;

/// One request and its candidate servers.
#[derive(Debug)]
pub(super) struct FlowRequest {
    pub(super) head: RequestHead,
    pub(super) body: ReplayBody,
    pub(super) candidates: Vec<Arc<ServerEntry>>,
    /// Deadline in milliseconds of the daemon's clock.
    pub(super) deadline_ms: u64,
    /// Claim on the Idempotency-Key, granted for the owner of `first`.
    pub(super) claim: Option<KeyClaim>,
    /// Server of the first attempt, if it is chosen already.
    pub(super) first: Option<Arc<ServerEntry>>,
}

type InputFuture<'a> = Pin<Box<dyn Future<Output = Input<OwnerAnswer>> + Send + 'a>>;

/// Forwarding attempts of one request, from owner to owner.
struct FlowDriver {
    state: Arc<TrafficState>,
    request: FlowRequest,
    picked: Vec<Arc<ServerEntry>>,
    answer: Option<OwnerAnswer>,
}

/// Runs the request until it has an answer or a result code.
///
/// # Errors
///
/// Returns the result code to report to the caller.
pub(super) async fn run(
    state: Arc<TrafficState>,
    request: FlowRequest,
) -> Result<OwnerAnswer, ResultCode> {
    let mut driver = FlowDriver {
        state,
        request,
        picked: Vec::new(),
        answer: None,
    };
    let result = driver.drive().await;
    if let Some(claim) = driver.request.claim.take() {
        claim.resolve(&driver.state, &result).await;
    }
    result
}

impl FlowDriver {
    async fn drive(&mut self) -> Result<OwnerAnswer, ResultCode> {
        let mut flow = RequestFlow::new(self.options());
        let mut wait_ms = self.request.deadline_ms;
        let mut actions = flow.handle(self.now_ms(), Input::Start);
        loop {
            let mut input = None;
            for action in actions {
                match action {
                    Action::Send { server } => input = Some(Step::Send { server }),
                    Action::Query { server, fence } => input = Some(Step::Query { server, fence }),
                    Action::Wait { until_ms } => wait_ms = until_ms,
                    Action::Respond(response) => return self.respond(response),
                }
            }
            let next = self.step(input, wait_ms).await;
            log_input(&self.request.head, &next);
            actions = flow.handle(self.now_ms(), next);
        }
    }

    fn options(&self) -> request::Options {
        let head = &self.request.head;
        let max_attempts = if self.request.body.is_buffered() {
            MAX_ATTEMPTS
        } else {
            1
        };
        request::Options {
            idempotent: head.idempotent,
            depth: head.depth,
            attempts_left: head.attempts_stated.then_some(head.attempts_left),
            max_attempts,
            deadline_ms: self.request.deadline_ms,
            grace_ms: QUERY_GRACE_MS,
            ..request::Options::default()
        }
    }

    async fn step(&mut self, step: Option<Step>, wait_ms: u64) -> Input<OwnerAnswer> {
        let left_ms = wait_ms.saturating_sub(self.now_ms());
        let limit = Duration::from_millis(left_ms);
        let pending: InputFuture<'_> = match step {
            Some(Step::Send { server }) => Box::pin(self.send(server)),
            Some(Step::Query { server, fence }) => Box::pin(self.query(server, fence)),
            None => Box::pin(std::future::pending()),
        };
        tokio::time::timeout(limit, pending)
            .await
            .unwrap_or(Input::Timeout)
    }

    async fn send(&mut self, server: usize) -> Input<OwnerAnswer> {
        let (head, location, body) = match self.prepare(server).await {
            Ok(prepared) => prepared,
            Err(code) => return Input::NoServer(code),
        };
        let mut guard = AttemptGuard::start(&self.state, &head);
        let sent = attempt::send(&self.state, location, head, body).await;
        guard.end(&sent);
        match sent {
            Ok(answer) => {
                let code = answer.code();
                self.answer = Some(answer);
                Input::Answer { server, code }
            }
            Err(transport::Error::Unreachable) => Input::NotSent { server },
            Err(_) => Input::Lost { server },
        }
    }

    /// Chooses the server; for a retry, also takes it from the retry budget and records the new owner.
    async fn prepare(
        &mut self,
        server: usize,
    ) -> Result<(RequestHead, OwnerLocation, AttemptBody), ResultCode> {
        let now_ms = self.now_ms();
        let entry = match (server, self.request.first.take()) {
            (0, Some(first)) => first,
            _ => self.pick(now_ms)?,
        };
        if server == 0 {
            self.state.router.record_attempt(now_ms);
        } else {
            self.retry(now_ms, &entry).await?;
        }
        let location = self.location_of(&entry);
        let mut head = self.request.head.clone();
        head.server = entry.name.clone();
        head.deadline_ms = self.request.deadline_ms.saturating_sub(now_ms) as u32;
        self.picked.push(entry);
        let body = self.request.body.take();
        let body = body.ok_or(ResultCode::OwnerUnreachable)?;
        Ok((head, location, body))
    }

    fn location_of(&self, entry: &ServerEntry) -> OwnerLocation {
        if entry.owner == self.state.shared.local {
            return OwnerLocation::Local;
        }
        OwnerLocation::Remote(entry.forward_address)
    }

    fn pick(&self, now_ms: u64) -> Result<Arc<ServerEntry>, ResultCode> {
        let excluded: Vec<String> = self.picked.iter().map(|entry| entry.name.clone()).collect();
        let request = &self.request;
        self.state
            .router
            .pick(now_ms, &request.candidates, &excluded, request.head.rank)
            .ok_or(ResultCode::RouteInactive)
    }

    async fn retry(&mut self, now_ms: u64, entry: &ServerEntry) -> Result<(), ResultCode> {
        if !self.state.router.try_retry(now_ms) {
            return Err(ResultCode::RetryBudgetSpent);
        }
        let Some(claim) = &mut self.request.claim else {
            return Ok(());
        };
        if claim.record_owner(&self.state, entry.owner).await {
            Ok(())
        } else {
            Err(ResultCode::OutcomeUnknown)
        }
    }

    async fn query(&self, server: usize, fence: bool) -> Input<OwnerAnswer> {
        let Some(entry) = self.picked.get(server) else {
            return Input::QueryLost { server };
        };
        let location = self.location_of(entry);
        let id = router::id_of(&self.request.head);
        self.state.counters.queries.inc();
        match attempt::query(&self.state, location, id, fence).await {
            Ok(result) => Input::QueryReply { server, result },
            Err(_) => Input::QueryLost { server },
        }
    }

    fn respond(&mut self, response: Response<OwnerAnswer>) -> Result<OwnerAnswer, ResultCode> {
        match response {
            Response::Forwarded { .. } => self.answer.take().ok_or(ResultCode::OutcomeUnknown),
            Response::Fetched(answer) => Ok(answer),
            Response::Code(code) => Err(code),
        }
    }

    fn now_ms(&self) -> u64 {
        self.state.clock.now_ms()
    }
}

/// Logs an attempt that ended without an answer.
fn log_input(head: &RequestHead, input: &Input<OwnerAnswer>) {
    let (event, code) = match input {
        Input::Answer { code, .. } if *code == ResultCode::Ok => return,
        Input::Answer { code, .. } => ("refused", *code),
        Input::NotSent { .. } => ("not sent", ResultCode::OwnerUnreachable),
        Input::Lost { .. } => ("lost", ResultCode::OutcomeUnknown),
        Input::NoServer(code) => ("no server", *code),
        Input::Timeout => ("timeout", ResultCode::DeadlinePassed),
        _ => return,
    };
    log::debug!(
        request = router::id_of(head).to_string(), code = code.number(), event;
        "attempt ended without an answer"
    );
}

enum Step {
    Send { server: usize },
    Query { server: usize, fence: bool },
}

/// Reports the result of an attempt to the router, also when the attempt is abandoned.
struct AttemptGuard {
    state: Arc<TrafficState>,
    head: RequestHead,
    started: Instant,
    is_ended: bool,
}

impl AttemptGuard {
    fn start(state: &Arc<TrafficState>, head: &RequestHead) -> Self {
        state.router.started(state.clock.now_ms(), &head.server);
        let head = RequestHead {
            server: head.server.clone(),
            service: head.service.clone(),
            ..RequestHead::default()
        };
        Self {
            state: state.clone(),
            head,
            started: Instant::now(),
            is_ended: false,
        }
    }

    fn end(&mut self, sent: &Result<OwnerAnswer, transport::Error>) {
        let (result, load) = match sent {
            Ok(answer) => (result_of(answer.code()), answer.head.load),
            Err(_) => (PickResult::Lost, None),
        };
        self.report(result, load);
    }

    fn report(&mut self, result: PickResult, load: Option<jayrack_protocol::forward::LoadReport>) {
        self.is_ended = true;
        let end = AttemptReport {
            head: &self.head,
            latency_us: self.started.elapsed().as_micros() as u64,
            result,
            load,
        };
        self.state.router.finished(self.state.clock.now_ms(), end);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            self.report(PickResult::Lost, None);
        }
    }
}

fn result_of(code: ResultCode) -> PickResult {
    match code {
        ResultCode::Ok => PickResult::Ok,
        ResultCode::ServerFailed | ResultCode::OutcomeUnknown | ResultCode::DeadlineExceeded => {
            PickResult::Failed
        }
        ResultCode::OwnerUnreachable => PickResult::Failed,
        _ => PickResult::Refused,
    }
}
