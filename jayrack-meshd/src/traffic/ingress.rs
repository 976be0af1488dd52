//! Forwards callers' requests to backend servers and returns the answers.
use std::{net::IpAddr, sync::Arc, time::Duration};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
};
use jayrack_mesh::{
    attempts::{AttemptHistory, AttemptOutcome},
    budget::RequestKind,
    pick::{HostCandidate, PickRequest},
    running::RequestClaim,
    stop::StopPhase,
};
use jayrack_platform::headers;
use jayrack_protocol::ResultCode;
use tokio::time::{Instant, timeout_at};

use super::{
    allowance,
    answer::{CallerAnswer, to_response},
    attempt::{Attempt, AttemptGuard, log_attempt, send},
    authentication,
    body::AnswerBody,
    connections::ConnectionState,
    forward::{self, AttemptKind, ForwardHead, NotRunReason, OwnerOutcome, SendTime},
    intake::{CallerRequest, NOT_READY_RETRY_AFTER_MS, read_request, refuse_for_stop},
    owner::{self, OwnedRequest},
    request_body,
    state::TrafficState,
};
use crate::{logging, shared::boot_ms};

/// Minimum time in `Retry-After`, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// `Retry-After` is at most the caller's time left divided by this.
const RETRY_AFTER_DIVISOR: u64 = 3;
/// Minimum time in `Retry-After` in percent of the route's target latency: late enough for other requests to
/// have finished, early enough for an answer in time.
const MIN_RETRY_AFTER_TARGET_PERCENT: u64 = 8;
/// Time after a caller's deadline after which an answer that is still being received is broken off; callers leave at
/// their deadline.
const STREAM_GRACE: Duration = Duration::from_secs(1);
/// Largest body that is accepted from another daemon before the first configuration, in bytes: the largest that a
/// configuration states.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 << 20;
/// Minimum transit delay that is logged, in milliseconds: many times that of an idle link.
const LONG_TRANSIT_MS: u64 = 100;

/// Serves a request that another daemon forwards.
pub async fn serve_daemon(
    state: &Arc<TrafficState>,
    connection: &ConnectionState,
    request: Request<Incoming>,
    peer: IpAddr,
) -> Response<AnswerBody> {
    let (parts, body) = request.into_parts();
    if let Some(response) = crate::control::sync::serve(&state.mesh, &parts) {
        return response;
    }
    let Some(mut head) = ForwardHead::decode(&parts.headers) else {
        log::warn!(path = parts.uri.path(); "forwarded request without a head");
        return forward::empty(StatusCode::BAD_REQUEST);
    };
    subtract_transit(state, &mut head, peer, forward::request_id(&parts.headers));
    let max_bytes = state
        .mesh
        .routes
        .load()
        .as_ref()
        .map_or(DEFAULT_MAX_BODY_BYTES, |routes| routes.limits().body_bytes);
    let body = match request_body::receive(connection, body, max_bytes).await {
        Ok(body) => body,
        Err(refusal) => {
            log::info!(peer:% = peer, reason = refusal.name(); "body of a forwarded request not received");
            state.mesh.metrics.count_limit(refusal.name());
            connection.record_unread_body();
            let mut response = owner::refuse_body(state, &head).encode();
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            return response;
        }
    };
    let request = OwnedRequest { head, parts, body };
    // Lets the connection's task notice first whether the other daemon has closed it meanwhile.
    tokio::task::yield_now().await;
    record_sent(state, owner::serve(state, request).await.encode())
}

/// Records an answer at the host's link unless it is paced; a paced one has a turn there.
fn record_sent(state: &TrafficState, response: Response<AnswerBody>) -> Response<AnswerBody> {
    response.map(|body| match body.is_paced() {
        true => body,
        false => state.link.record_other_answer(body),
    })
}

/// Subtracts the transit delay of a request from the time that its caller has left.
fn subtract_transit(state: &TrafficState, head: &mut ForwardHead, peer: IpAddr, id: &str) {
    let SendTime { epoch, at_ms } = head.sent;
    let mut transit = state.mesh.transit();
    let delay_ms = transit.delay_ms(boot_ms(), peer, epoch, at_ms);
    drop(transit);
    head.target_left_ms = head.target_left_ms.saturating_sub(delay_ms);
    head.time_left_ms = head.time_left_ms.saturating_sub(delay_ms);
    if delay_ms >= LONG_TRANSIT_MS {
        log::log!(
            target: logging::REQUEST,
            logging::request_level(id),
            id = id,
            peer:% = peer,
            delay_ms = delay_ms,
            time_left_ms = head.time_left_ms;
            "held up between hosts"
        );
    }
}

/// Answers a request of a caller.
pub async fn serve(
    state: &Arc<TrafficState>,
    connection: &ConnectionState,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let started = Instant::now();
    let id = request.headers().get(headers::REQUEST_ID).cloned();
    let has_key = request.headers().contains_key(header::AUTHORIZATION);
    let answer = match read_request(state, connection, request, started).await {
        Ok(request) => match allowance::admit(state, &request).await {
            Ok(permit) => {
                let answer = forward_request(state, request).await;
                if let Some(permit) = permit {
                    permit.settle(&answer);
                }
                answer
            }
            Err(answer) => answer,
        },
        Err(answer) => {
            log_not_taken(state, id.as_ref(), &answer);
            answer
        }
    };
    let is_refused = matches!(answer, CallerAnswer::Refusal(..));
    if is_refused && let Some(id) = id.as_ref().and_then(|id| id.to_str().ok()) {
        let claim = RequestClaim::new(id, has_key);
        state.mesh.running().record_refused_call(claim);
    }
    state
        .mesh
        .metrics
        .latency
        .observe(started.elapsed().as_secs_f64());
    let mut response = record_sent(state, to_response(state, answer, id));
    let id = forward::request_id(response.headers());
    if logging::is_sampled(id) {
        log::info!(
            target: logging::REQUEST,
            id = id,
            status = response.status().as_u16(),
            elapsed_ms = started.elapsed().as_millis() as u64;
            "answered"
        );
    }
    if state.mesh.is_leaving() || is_refused || connection.has_unread_body() {
        // A daemon that leaves accepts no further request on this connection; a refused caller retries on a new one.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Logs why a request was answered without being forwarded.
fn log_not_taken(state: &TrafficState, id: Option<&HeaderValue>, answer: &CallerAnswer) {
    let (CallerAnswer::Code(code) | CallerAnswer::Refusal(code, _)) = answer else {
        return;
    };
    let routes = state.mesh.routes.load();
    let version = routes.as_ref().map(|routes| routes.version().to_string());
    log::info!(
        target: logging::REQUEST,
        id = id.and_then(|id| id.to_str().ok()).unwrap_or(""),
        code = code.name(),
        version = version.as_deref().unwrap_or("none");
        "not taken"
    );
}

/// Forwarding attempts of a request and their results so far.
struct RequestProgress {
    attempts: AttemptHistory,
    retry_after_ms: Option<u64>,
    /// Failure of a backend server; returned unless a later attempt yields another answer.
    failure: Option<Box<Response<AnswerBody>>>,
    /// Whether the request may have run without an answer.
    is_lost: bool,
}

impl RequestProgress {
    fn new(local: IpAddr) -> Self {
        Self {
            attempts: AttemptHistory::new(local),
            retry_after_ms: None,
            failure: None,
            is_lost: false,
        }
    }
}

async fn forward_request(state: &Arc<TrafficState>, request: CallerRequest) -> CallerAnswer {
    if request.time_left_ms == 0 {
        return CallerAnswer::Refusal(ResultCode::DeadlinePassed, MIN_RETRY_AFTER_MS);
    }
    // The body or a token may have arrived long after the head, by which the request was accepted.
    if state.mesh.is_closing() {
        return refuse_for_stop();
    }
    state
        .router
        .record_request(&request.service, request.kind(), request.is_parent_retry);
    // Only where tenants compete for room: elsewhere callers that find none at once may still get the next free slot.
    let is_new = request.kind() == RequestKind::NewRequest && request.tenant.is_some();
    let (service, rank) = (&request.service, request.urgency.rank);
    if is_new && let Some(retry_after_ms) = state.router.shed(service, rank) {
        return refuse_for_room(state, &request, ResultCode::Shed, retry_after_ms);
    }
    let answer = try_in_time(state, &request).await;
    if is_new {
        record_room(state, &request, &answer);
    }
    answer
}

/// Records whether a host had room for a new request, by which further ones are refused early.
fn record_room(state: &TrafficState, request: &CallerRequest, answer: &CallerAnswer) {
    let refused_for_ms = match answer {
        CallerAnswer::Refusal(ResultCode::Shed, retry_after_ms) => Some(*retry_after_ms),
        CallerAnswer::Refusal(..) => return,
        CallerAnswer::Answer(_) | CallerAnswer::Code(_) => None,
    };
    let (service, rank) = (&request.service, request.urgency.rank);
    state.router.record_room(service, rank, refused_for_ms);
}

/// Forwards the request until its deadline.
async fn try_in_time(state: &Arc<TrafficState>, request: &CallerRequest) -> CallerAnswer {
    let mut progress = RequestProgress::new(state.mesh.settings.host.address);
    let mut is_sent = false;
    let expires_at = request.expires_at;
    let stream_ends_at =
        Instant::now() + Duration::from_millis(request.time_left_ms) + STREAM_GRACE;
    let forwarding = try_hosts(state, request, &mut progress, &mut is_sent);
    let in_time = tokio::select! {
        biased;
        in_time = timeout_at(expires_at, forwarding) => in_time.ok(),
        () = state.mesh.until_phase(StopPhase::Ending) => None,
    };
    if let Some(answer) = in_time {
        return answer.with_deadline(stream_ends_at);
    }
    let is_expired = Instant::now() >= expires_at;
    let event = match is_expired {
        true => "time-out",
        false => "ended by a stop",
    };
    log::warn!(
        target: logging::REQUEST,
        id = forward::request_id(&request.parts.headers),
        route = request.route.name.as_str(),
        hosts:? = progress.attempts.hosts(),
        sent = is_sent;
        "{event}"
    );
    if let Some(failure) = progress.failure {
        return CallerAnswer::Answer(failure);
    }
    match (is_sent || progress.is_lost, is_expired) {
        (true, true) => CallerAnswer::Code(ResultCode::DeadlineExceeded),
        (true, false) => CallerAnswer::Code(ResultCode::OutcomeUnknown),
        (false, true) => CallerAnswer::Refusal(ResultCode::DeadlinePassed, MIN_RETRY_AFTER_MS),
        (false, false) => refuse_for_stop(),
    }
}

/// Sends the request to one host after another until one answers or none is left.
///
/// `is_sent` is true while the request is at a host that has not replied yet.
async fn try_hosts(
    state: &Arc<TrafficState>,
    request: &CallerRequest,
    progress: &mut RequestProgress,
    is_sent: &mut bool,
) -> CallerAnswer {
    let pick = PickRequest {
        route: &request.route.name,
        urgency: request.urgency,
    };
    loop {
        let (candidates, picked) =
            state
                .router
                .choose(&request.service, progress.attempts.hosts(), &pick);
        let Some(picked) = picked else {
            return give_up(state, request, progress, &candidates);
        };
        let service_time =
            Duration::from_millis(state.router.service_ms(&request.route.name) as u64);
        if !state.mesh.has_time_for(service_time) {
            return give_up(state, request, progress, &candidates);
        }
        let is_new = request.kind() == RequestKind::NewRequest;
        let estimates_loads = state.mesh.estimates_loads();
        if estimates_loads
            && is_new
            && !picked.has_free_slots
            && progress.attempts.is_exhausted_when_full()
        {
            return give_up(state, request, progress, &candidates);
        }
        let candidate = &candidates[picked.index];
        let kind = match progress.attempts.is_retry() {
            true => AttemptKind::Retry,
            false
                if estimates_loads
                    && picked.has_free_slots
                    && progress.attempts.may_pass(candidates.len()) =>
            {
                AttemptKind::MayPass
            }
            false => AttemptKind::First,
        };
        progress.attempts.record_attempt(candidate.address);
        *is_sent = true;
        let mut guard = AttemptGuard::start(state, candidate, &pick);
        let attempt = send(state, request, candidate, kind).await;
        *is_sent = false;
        guard.end(&attempt);
        log_attempt(request, candidate, &attempt);
        drop(guard);
        if let Some(answer) = evaluate(state, request, progress, attempt) {
            return answer;
        }
    }
}

/// Evaluates an attempt; `None` if another host is to be tried.
fn evaluate(
    state: &Arc<TrafficState>,
    request: &CallerRequest,
    progress: &mut RequestProgress,
    attempt: Attempt,
) -> Option<CallerAnswer> {
    let outcome = match attempt {
        Attempt::Unreachable => {
            return progress
                .attempts
                .is_exhausted()
                .then(|| give_up(state, request, progress, &[]));
        }
        Attempt::Lost => OwnerOutcome::Lost,
        Attempt::Replied(reply) => reply.outcome,
    };
    match outcome {
        OwnerOutcome::Answered {
            response,
            has_refused_call,
            ..
        } => {
            progress.attempts.record_outcome(AttemptOutcome::Ran);
            if !response.status().is_server_error() || has_refused_call {
                return Some(CallerAnswer::Answer(response));
            }
            if may_retry(state, request, progress) {
                log_retry(request, progress, response.status().as_str());
                progress.failure = Some(response);
                return None;
            }
            Some(CallerAnswer::Answer(response))
        }
        OwnerOutcome::NotRun {
            reason,
            retry_after_ms,
        } => {
            if reason != NotRunReason::Passed {
                let known = progress.retry_after_ms.unwrap_or(u64::MAX);
                progress.retry_after_ms = Some(known.min(retry_after_ms));
            }
            let outcome = match reason {
                NotRunReason::ServerRefused => AttemptOutcome::ServerRefused,
                NotRunReason::LinkFull => AttemptOutcome::LinkFull,
                NotRunReason::Passed => AttemptOutcome::Passed,
                NotRunReason::Busy
                | NotRunReason::Closed
                | NotRunReason::Expired
                | NotRunReason::ServerDown => AttemptOutcome::Refused,
            };
            progress.attempts.record_outcome(outcome);
            let is_server_refusal = outcome == AttemptOutcome::ServerRefused;
            let is_out_of_budget = is_server_refusal && !try_retry(state, request);
            let is_final = progress.attempts.is_exhausted() || is_out_of_budget;
            is_final.then(|| give_up(state, request, progress, &[]))
        }
        OwnerOutcome::Lost => {
            progress.attempts.record_outcome(AttemptOutcome::Ran);
            progress.is_lost = true;
            if may_retry(state, request, progress) {
                log_retry(request, progress, "lost");
                return None;
            }
            Some(match progress.failure.take() {
                Some(failure) => CallerAnswer::Answer(failure),
                None => CallerAnswer::Code(ResultCode::OutcomeUnknown),
            })
        }
    }
}

/// Whether a request that ran may be retried at another server; spends a retry of the budget.
fn may_retry(state: &TrafficState, request: &CallerRequest, progress: &RequestProgress) -> bool {
    let route = &request.route;
    if !route.kind.is_idempotent()
        || progress.attempts.runs() >= route.attempts
        || progress.attempts.is_exhausted()
    {
        return false;
    }
    let left = request.expires_at.saturating_duration_since(Instant::now());
    let needed = Duration::from_millis(state.router.service_ms(&route.name) as u64);
    left > needed && try_retry(state, request)
}

/// Takes a retry from the budget; a nested call gets none if its parent has ended or fails anyway.
fn try_retry(state: &TrafficState, request: &CallerRequest) -> bool {
    let kind = request.kind();
    if kind == RequestKind::NestedCall {
        let claim = authentication::claim_of(&request.parts.headers);
        let parent = state.mesh.running().parent(claim);
        if parent.is_none_or(|parent| parent.has_refused_call) {
            return false;
        }
    }
    state.router.try_retry(&request.service, kind)
}

/// Answer to a request for which no further host is tried.
fn give_up(
    state: &TrafficState,
    request: &CallerRequest,
    progress: &mut RequestProgress,
    candidates: &[HostCandidate],
) -> CallerAnswer {
    if let Some(failure) = progress.failure.take() {
        return CallerAnswer::Answer(failure);
    }
    if progress.is_lost {
        return CallerAnswer::Code(ResultCode::OutcomeUnknown);
    }
    let route = &request.route.name;
    if state.mesh.estimates_loads() && state.router.knows_free_host(&request.service, route) {
        state
            .mesh
            .metrics
            .count_refused_despite_free(&request.service);
    }
    let earliest_retry_ms = state.router.earliest_retry_ms(candidates);
    let retry_after_ms = match (progress.retry_after_ms, earliest_retry_ms) {
        (Some(stated), Some(estimated)) => stated.min(estimated),
        (stated, estimated) => stated.or(estimated).unwrap_or(NOT_READY_RETRY_AFTER_MS),
    };
    let code = if progress.attempts.hosts().is_empty() && earliest_retry_ms.is_none() {
        ResultCode::RouteInactive
    } else {
        ResultCode::Shed
    };
    log::info!(
        target: logging::REQUEST,
        id = forward::request_id(&request.parts.headers),
        route = request.route.name.as_str(),
        service = request.service.as_str(),
        tenant = request.tenant.as_ref().map_or("", |tenant| tenant.name.as_str()),
        urgency:? = request.urgency,
        hosts:? = progress.attempts.hosts(),
        pause_ms = retry_after_ms,
        code = code.name();
        "refused"
    );
    refuse_for_room(state, request, code, retry_after_ms)
}

/// Refusal of a request that no host has room for before `retry_after_ms`.
fn refuse_for_room(
    state: &TrafficState,
    request: &CallerRequest,
    code: ResultCode,
    retry_after_ms: u64,
) -> CallerAnswer {
    let route_min_ms = request.route.target_ms * MIN_RETRY_AFTER_TARGET_PERCENT / 100;
    let retry_after_ms = state.router.jittered_ms(retry_after_ms.max(route_min_ms));
    let caller_max_ms = request.time_left_ms / RETRY_AFTER_DIVISOR;
    CallerAnswer::Refusal(
        code,
        retry_after_ms.min(caller_max_ms).max(MIN_RETRY_AFTER_MS),
    )
}

fn log_retry(request: &CallerRequest, progress: &RequestProgress, reason: &str) {
    log::info!(
        target: logging::REQUEST,
        id = forward::request_id(&request.parts.headers),
        route = request.route.name.as_str(),
        hosts:? = progress.attempts.hosts(),
        reason = reason;
        "repeated at another server"
    );
}
