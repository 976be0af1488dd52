//! The owner: runs requests at the backend servers beside this daemon, for its own ingress and for
//! peers.
use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use jayrack_protocol::{
    RequestId, ResultCode,
    forward::{OutcomeQuery, RequestHead},
};
use jayrack_traffic::{RequestClass, ledger::Outcome};
use quinn::RecvStream;

use crate::{
    backend::BackendPool,
    settings::PolicyMode,
    shared::LocalServer,
    traffic::{Options, TrafficState},
    transport::{
        self,
        body::RelayBody,
        wire::{self, StreamSender},
    },
};

pub(crate) mod answer;
mod cancel;
mod gate;
pub(crate) mod headers;
mod permit;
mod run;

pub(crate) use answer::OwnerAnswer;
use answer::StoredAnswer;
use cancel::Cancellation;
use gate::Admission;
pub(crate) use gate::OwnerGate;
use permit::{Permit, Ticket};
use run::RunContext;

/// Longest encoded head of a forwarded request or answer, in bytes.
pub(crate) const HEAD_MESSAGE_BYTES: usize = 256 * 1024;

/// State of the owner: its admission gate and its connections to backend servers.
#[derive(Debug)]
pub(crate) struct OwnerState {
    pub(crate) gate: OwnerGate,
    backends: BackendPool,
}

impl OwnerState {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            gate: OwnerGate::new(options),
            backends: BackendPool::new(options),
        }
    }
}

/// Runs one request or refuses it; `cancelled` completes when its sender no longer waits.
pub(crate) async fn serve(
    state: &TrafficState,
    head: RequestHead,
    body: RelayBody,
    cancelled: impl Future<Output = Cancellation>,
) -> OwnerAnswer {
    let guard = state.in_flight.enter();
    let server_name = head.server.clone();
    let mut answer = match find_server(state, &head.server) {
        Ok(server) => admit(state, server, head, body, cancelled).await,
        Err(code) => OwnerAnswer::refusal(code),
    };
    answer.head.load = state.owner.gate.load(&server_name).map(answer::to_report);
    answer.body = answer.body.with_guard(guard);
    answer
}

fn find_server(state: &TrafficState, name: &str) -> Result<Arc<LocalServer>, ResultCode> {
    if state.shared.is_leaving() {
        return Err(ResultCode::Draining);
    }
    let servers = state.shared.servers.load();
    let server = servers.iter().find(|server| server.name == name);
    let server = server.ok_or(ResultCode::ServerUnknown)?;
    if server.draining {
        return Err(ResultCode::Draining);
    }
    Ok(Arc::new(server.clone()))
}

async fn admit(
    state: &TrafficState,
    server: Arc<LocalServer>,
    head: RequestHead,
    body: RelayBody,
    cancelled: impl Future<Output = Cancellation>,
) -> OwnerAnswer {
    let id = RequestId::from_halves(head.request_high, head.request_low);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(head.deadline_ms.into());
    let class = class_of(state, &head);
    let ticket = match state.owner.gate.enter(id, &server, class) {
        Admission::Queued(ticket) => ticket,
        Admission::Duplicate(outcome) => return duplicate_answer(outcome),
    };
    let mut cancelled = pin!(cancelled);
    let permit = match wait(ticket, cancelled.as_mut()).await {
        Ok(permit) => permit,
        Err(code) => return OwnerAnswer::refusal(code),
    };
    let context = RunContext {
        backends: state.owner.backends.clone(),
        server,
        answer_bytes: state.options.limits.answer_bytes,
        time_left: deadline.saturating_duration_since(tokio::time::Instant::now()),
    };
    let is_idempotent = head.idempotent;
    let mut running = pin!(run::run(context, permit, head, body));
    tokio::select! {
        biased;
        answer = running.as_mut() => return answer,
        cancellation = cancelled => {
            if cancellation == Cancellation::Explicit || is_idempotent {
                return OwnerAnswer::refusal(ResultCode::OutcomeUnknown);
            }
        }
    }
    running.await
}

async fn wait(
    mut ticket: Ticket,
    cancelled: impl Future<Output = Cancellation>,
) -> Result<Permit, ResultCode> {
    let cancellation = tokio::select! {
        biased;
        decision = ticket.decision() => return decision,
        cancellation = cancelled => cancellation,
    };
    // A sender that lost the connection queries the outcome, and may then try another owner.
    let code = match cancellation {
        Cancellation::Explicit => ResultCode::Cancelled,
        Cancellation::ConnectionLost => ResultCode::Fenced,
    };
    ticket.withdraw(code);
    Err(code)
}

fn class_of(state: &TrafficState, head: &RequestHead) -> RequestClass {
    if state.options.policy == PolicyMode::Fifo {
        return fifo_class(state.clock.now_ms(), head);
    }
    RequestClass {
        rank: u8::try_from(head.rank).unwrap_or(u8::MAX),
        reserved_share_percent: u8::try_from(head.floor_percent).unwrap_or(0),
        kind: head.kind.clone(),
        customer: head.customer.clone(),
        customer_request: head.customer_request,
        depth: head.depth,
        deadline_ms: state.clock.now_ms() + u64::from(head.deadline_ms),
        idempotent: head.idempotent,
    }
}

/// Returns the same class for all requests, so that [`PolicyMode::Fifo`] serves them in the order of
/// arrival.
fn fifo_class(now_ms: u64, head: &RequestHead) -> RequestClass {
    const DEADLINE_MS: u64 = 3_600_000;
    RequestClass {
        rank: 0,
        reserved_share_percent: 0,
        kind: String::new(),
        customer: String::new(),
        customer_request: 0,
        depth: 0,
        deadline_ms: now_ms + DEADLINE_MS,
        idempotent: head.idempotent,
    }
}

/// Makes the answer to a request that arrived before.
fn duplicate_answer(outcome: Outcome<Arc<StoredAnswer>>) -> OwnerAnswer {
    match outcome {
        Outcome::Done(stored) => OwnerAnswer::from(stored.as_ref()),
        Outcome::AnswerEvicted => OwnerAnswer::refusal(ResultCode::AnswerLost),
        Outcome::NotRun(code) | Outcome::Unknown(code) => OwnerAnswer::refusal(code),
        Outcome::Queued | Outcome::Dispatched => OwnerAnswer::refusal(ResultCode::OutcomeUnknown),
    }
}

/// Serves a stream of the kind [`wire::StreamKind::Forward`].
pub(crate) async fn serve_forward(
    send: &mut StreamSender,
    mut receive: RecvStream,
    state: &Arc<TrafficState>,
) -> Result<(), transport::Error> {
    let head: RequestHead = wire::read_message(&mut receive, HEAD_MESSAGE_BYTES).await?;
    let _guard = state.in_flight.enter();
    let length = headers::content_length(&head.headers);
    let body = RelayBody::quic(receive, length);
    let cancelled = cancel::cancellation(send);
    let answer = serve(state, head, body, cancelled).await;
    transport::body::write_answer(&answer.head, answer.body, send).await?;
    // A closing daemon waits until its answers have arrived.
    let _ = send.stopped().await;
    Ok(())
}

/// Serves a stream of the kind [`wire::StreamKind::Outcome`].
pub(crate) async fn serve_outcome(
    send: &mut StreamSender,
    mut receive: RecvStream,
    state: &Arc<TrafficState>,
) -> Result<(), transport::Error> {
    let query: OutcomeQuery = wire::read_message(&mut receive, HEAD_MESSAGE_BYTES).await?;
    let id = RequestId::from_halves(query.request_high, query.request_low);
    let (reply, body) = answer::to_reply(state.owner.gate.query(id, query.fence));
    let body = RelayBody::full(body.unwrap_or_else(Bytes::new));
    transport::body::write_answer(&reply, body, send).await
}
