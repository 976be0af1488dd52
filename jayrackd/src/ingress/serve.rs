//! Handling of one caller's request at the ingress.
use std::{sync::Arc, time::Instant};

use hyper::{Request, Response, body::Incoming};
use jayrack_protocol::{ResultCode, forward::RequestHead};

use super::{
    answer,
    claim::{self, ClaimResult, ClaimSubject},
    flow::{self, FlowRequest},
    guard::ConnectionState,
    meta,
    objective::{self, RequestSubject},
    replay::ReplayBody,
};
use crate::{
    owner::{OwnerAnswer, headers},
    traffic::{TrafficState, counters::RequestReport},
    transport::body::RelayBody,
};

/// Answers one request.
pub(super) async fn serve(
    state: Arc<TrafficState>,
    connection_state: Arc<ConnectionState>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let guard = state.in_flight.enter();
    let service = connection_state.enter();
    let started = Instant::now();
    let mut subject = RequestSubject::default();
    let result = match service.refusal {
        Some(code) => Err(code),
        None => forward(&state, &connection_state, request, &mut subject).await,
    };
    let code = match &result {
        Ok(answer) => answer.code(),
        Err(code) => *code,
    };
    let elapsed = started.elapsed();
    state.counters.observe(&RequestReport {
        rank: &subject.rank,
        code,
        elapsed,
    });
    objective::observe(&state, &subject, &result, elapsed);
    let response = to_response(result);
    response.map(|body| body.with_guard(guard))
}

fn to_response(result: Result<OwnerAnswer, ResultCode>) -> Response<RelayBody> {
    let response = match result {
        Ok(answer) if answer.code() == ResultCode::Ok => {
            headers::to_response(answer).ok_or(ResultCode::ServerFailed)
        }
        Ok(answer) => Err(answer.code()),
        Err(code) => Err(code),
    };
    match response {
        Ok(mut response) => {
            answer::set_outcome_headers(response.headers_mut(), ResultCode::Ok);
            response
        }
        Err(code) => answer::refuse(code),
    }
}

async fn forward(
    state: &Arc<TrafficState>,
    connection_state: &ConnectionState,
    request: Request<Incoming>,
    subject: &mut RequestSubject,
) -> Result<OwnerAnswer, ResultCode> {
    if state.shared.is_leaving() {
        return Err(ResultCode::Draining);
    }
    if !state.shared.is_ready() {
        return Err(ResultCode::NotReady);
    }
    let now_ms = state.clock.now_ms();
    let (parts, body) = request.into_parts();
    let table = state.shared.table.load_full();
    let route = table
        .find(meta::host(&parts), parts.uri.path(), parts.method.as_str())
        .ok_or(ResultCode::RouteUnknown)?;
    let key = meta::idempotency_key(&parts.headers)?;
    let head = meta::to_head(&table, route, parts, state.router.new_ids())?;
    *subject = RequestSubject::of(&table, route);
    if route.servers.is_empty() {
        return Err(ResultCode::RouteInactive);
    }
    state.router.check_shedding(now_ms, &head)?;
    let replay_bytes = state.options.limits.replay_bytes;
    let body = ReplayBody::read(body, replay_bytes, connection_state).await?;
    let flow = FlowRequest {
        deadline_ms: now_ms + u64::from(head.deadline_ms),
        head,
        body,
        candidates: route.servers.clone(),
        claim: None,
        first: None,
    };
    match key.filter(|_| !flow.head.idempotent) {
        None => flow::run(state.clone(), flow).await,
        Some(key) => {
            // Runs as a task of its own: a caller that retries with its key expects the first request to
            // continue.
            let running = tokio::spawn(run_claimed(state.clone(), key, flow));
            running.await.unwrap_or(Err(ResultCode::OutcomeUnknown))
        }
    }
}

async fn run_claimed(
    state: Arc<TrafficState>,
    key: String,
    mut flow: FlowRequest,
) -> Result<OwnerAnswer, ResultCode> {
    let _guard = state.in_flight.enter();
    let RequestHead { rank, .. } = flow.head;
    let now_ms = state.clock.now_ms();
    let first = state
        .router
        .pick(now_ms, &flow.candidates, &[], rank)
        .ok_or(ResultCode::RouteInactive)?;
    let subject = ClaimSubject {
        key: &key,
        head: &flow.head,
        body: flow.body.buffered(),
        owner: first.owner,
        deadline_ms: flow.deadline_ms,
    };
    match claim::acquire(&state, subject).await {
        ClaimResult::Granted(claim) => {
            flow.claim = Some(*claim);
            flow.first = Some(first);
            flow::run(state, flow).await
        }
        ClaimResult::EarlierAnswer(answer) => Ok(answer),
        ClaimResult::Refused(code) => Err(code),
    }
}
