//! Requests for the backend server beside the daemon, from its own ingress and from other daemons.
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, StatusCode,
    body::Body,
    header::{self, HeaderValue},
    http::request,
};
use jayrack_mesh::{
    gate::{GateRefusal, GateRequest, RefusalReason},
    health::FAILURE_SMOOTHING,
    link::{CallerLocation, LARGE_ANSWER_BYTES},
};
use jayrack_platform::headers;
use jayrack_protocol::answer::is_final_status;

use super::{
    body::{self, AnswerBody},
    evidence::{self, ServerObservation},
    forward::{self, AttemptKind, ForwardHead, NotRunReason, OwnerOutcome, OwnerReply},
    gate::SlotPermit,
    link::LinkTicket,
    pool,
    request_body::RequestBody,
    state::TrafficState,
};
use crate::logging;

/// Maximum size of an answer that is buffered before it is passed on, in bytes, so that a truncated one can be
/// retried.
pub const BUFFERED_ANSWER_BYTES: usize = 48 << 10;
/// Size up to which an answer is buffered while it waits for the link, in bytes; the byte budget bounds their sum. A
/// longer one, or one for which there is no room, keeps its slot and is streamed when its turn comes.
const MAX_QUEUED_ANSWER_BYTES: usize = 4 << 20;
/// Maximum idle time of a connection for a request that must not run twice: the server may close it at any time
/// after that, and the lost request could not be distinguished from one that ran.
const UNSAFE_MAX_IDLE: Duration = Duration::from_secs(2);
/// Maximum idle time of a connection for other requests.
const SAFE_MAX_IDLE: Duration = Duration::from_secs(8);
/// Time after a request's deadline in which the server's own answer may still arrive.
const ANSWER_GRACE: Duration = Duration::from_millis(150);
/// Time limit for the body of a refusal, whose head already says that the request has not run.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Retry-after time in milliseconds when the server cannot be reached or is not the expected one.
const SERVER_DOWN_RETRY_AFTER_MS: u64 = 300;
/// Retry-after time in milliseconds when the body of a request was not received: stalled bodies have given way by then.
const NO_ROOM_RETRY_AFTER_MS: u64 = 400;

/// A forwarded request with its head and complete body.
#[derive(Debug)]
pub struct OwnedRequest {
    /// What the ingress decided.
    pub head: ForwardHead,
    /// Method, address and headers as the caller sent them.
    pub parts: request::Parts,
    /// The body.
    pub body: RequestBody,
}

/// Runs a request at the backend server once the gate admits it.
pub async fn serve(state: &Arc<TrafficState>, request: OwnedRequest) -> OwnerReply {
    let received = Instant::now();
    let route = request.head.route.clone();
    if request.head.attempt == AttemptKind::MayPass && state.mesh.gate.load().has_queue() {
        state.mesh.metrics.count_gate("passed");
        return reply(state, &route, passed());
    }
    let admitted = match reserve_link(state, &request) {
        Ok(ticket) => admit(state, &request.head, tenant_of(state, &request))
            .await
            .map(|permit| (permit, ticket)),
        Err(refusal) => Err(refusal),
    };
    let outcome = match admitted {
        Ok((permit, ticket)) => {
            let observation = ServerObservation::start(state, &request.head, received);
            let outcome = run(state, request, permit, received).await;
            record_health(state, &outcome);
            observation.end(&outcome);
            queue_transfer(state, &route, outcome, ticket).await
        }
        Err(refusal) => {
            log_refusal(&request, &refusal);
            not_run(refusal)
        }
    };
    reply(state, &route, outcome)
}

fn reply(state: &TrafficState, route: &str, outcome: OwnerOutcome) -> OwnerReply {
    let service = {
        let tracker = state.mesh.tracker();
        tracker.serving().map(|server| server.service.clone())
    };
    let free_hosts = service
        .filter(|_| state.mesh.estimates_loads())
        .map(|service| state.router.free_hosts(&service, route));
    let estimate = state.mesh.gate.service_time_estimate(route);
    OwnerReply {
        outcome,
        load: state.mesh.gate.load(),
        service_ms: estimate.map(|estimate| estimate.service_ms),
        health: state.mesh.health(),
        free_hosts: free_hosts.unwrap_or_default(),
    }
}

fn passed() -> OwnerOutcome {
    OwnerOutcome::NotRun {
        reason: NotRunReason::Passed,
        retry_after_ms: 0,
    }
}

/// Records an outcome at the server; a failure because of a refused nested call is not the server's own.
fn record_health(state: &TrafficState, outcome: &OwnerOutcome) {
    let has_failed = match outcome {
        OwnerOutcome::Answered {
            has_refused_call: true,
            ..
        } => return,
        OwnerOutcome::Answered { response, .. } => response.status().is_server_error(),
        OwnerOutcome::NotRun { reason, .. } => match reason {
            NotRunReason::ServerRefused | NotRunReason::ServerDown => true,
            _ => return,
        },
        OwnerOutcome::Lost => true,
    };
    state
        .mesh
        .failures()
        .record(state.mesh.now_ms(), has_failed, FAILURE_SMOOTHING);
}

/// Reply to a forwarded request whose body was not received completely; it has not run.
pub fn refuse_body(state: &TrafficState, head: &ForwardHead) -> OwnerReply {
    let outcome = OwnerOutcome::NotRun {
        // Daemons of earlier versions know this reason, too.
        reason: NotRunReason::Busy,
        retry_after_ms: NO_ROOM_RETRY_AFTER_MS,
    };
    reply(state, &head.route, outcome)
}

/// Reserves capacity of the host's link for the expected answer; local callers are reached over it, too.
fn reserve_link(state: &TrafficState, request: &OwnedRequest) -> Result<LinkTicket, GateRefusal> {
    let head = &request.head;
    if state.mesh.estimates_loads()
        && let Some(service_ms) = state.router.known_service_ms(&head.route)
    {
        state.mesh.gate.expect_service_ms(&head.route, service_ms);
    }
    let service_ms = state.mesh.gate.estimated_service_ms(&head.route) as u64;
    let left_ms = head
        .target_left_ms
        .min(head.time_left_ms)
        .saturating_sub(service_ms);
    let location = match head.is_same_data_centre {
        true => CallerLocation::SameDataCentre,
        false => CallerLocation::Remote,
    };
    match state.link.reserve(&head.route, left_ms, location) {
        Ok(ticket) => Ok(ticket),
        Err(retry_after_ms) => {
            state.mesh.metrics.count_gate("link");
            Err(GateRefusal {
                reason: RefusalReason::LinkFull,
                retry_after_ms,
            })
        }
    }
}

/// Lets a large answer wait for its turn on the link; a smaller one is returned unchanged.
async fn queue_transfer(
    state: &TrafficState,
    route: &str,
    outcome: OwnerOutcome,
    ticket: LinkTicket,
) -> OwnerOutcome {
    let OwnerOutcome::Answered {
        response,
        service_ms,
        has_refused_call,
    } = outcome
    else {
        return outcome;
    };
    if likely_bytes(state, route, &response) < LARGE_ANSWER_BYTES {
        let response = response.map(|body| state.link.observe(route, body));
        return OwnerOutcome::Answered {
            response: Box::new(response),
            service_ms,
            has_refused_call,
        };
    }
    let pace = ticket.pace();
    let (turn, response) = match ticket.try_acquire() {
        Ok(turn) => (turn, *response),
        Err(ticket) => {
            // Reading the answer releases the slot while the answer waits for the link.
            let (parts, body) = response.into_parts();
            let body = match body
                .read_ahead(MAX_QUEUED_ANSWER_BYTES, &state.budget)
                .await
            {
                Ok(body) => body,
                Err(error) => {
                    log::warn!(route = route, error:? = error; "large answer of the server not read");
                    return OwnerOutcome::Lost;
                }
            };
            let turn = ticket.acquire().await;
            (turn, Response::from_parts(parts, body))
        }
    };
    let pace = pace.with_turn(turn);
    let response = response.map(|body| state.link.observe(route, body).paced(pace));
    OwnerOutcome::Answered {
        response: Box::new(response),
        service_ms,
        has_refused_call,
    }
}

/// Size of an answer in bytes: the one that it states, otherwise the average of its route unless more has arrived.
fn likely_bytes(state: &TrafficState, route: &str, response: &Response<AnswerBody>) -> u64 {
    let received = response.body().size_hint().lower();
    let stated = forward::number(response.headers(), header::CONTENT_LENGTH);
    match stated {
        _ if response.body().is_buffered() => received,
        Some(stated) => stated,
        None => state.link.expected_bytes(route).max(received),
    }
}

async fn admit(
    state: &Arc<TrafficState>,
    head: &ForwardHead,
    tenant: Option<String>,
) -> Result<SlotPermit, GateRefusal> {
    let closed = GateRefusal {
        reason: RefusalReason::Closed,
        retry_after_ms: SERVER_DOWN_RETRY_AFTER_MS,
    };
    if !is_expected(state, head) || !evidence::admits_version(state) {
        return Err(closed);
    }
    let now_ms = state.mesh.gate.now_ms();
    let request = GateRequest {
        id: 0,
        route: head.route.clone(),
        tenant,
        urgency: head.urgency,
        target_at_ms: now_ms + head.target_left_ms,
        expires_at_ms: now_ms + head.time_left_ms,
    };
    let acquired = state.mesh.gate.acquire(request).await;
    let name = match &acquired {
        Ok(_) => "run",
        Err(refusal) => reason_of(refusal.reason).name(),
    };
    state.mesh.metrics.count_gate(name);
    let permit = acquired?;
    // The server or its roll-out may have changed while the request waited.
    if is_expected(state, head) && evidence::may_run_version(state) {
        Ok(permit)
    } else {
        Err(closed)
    }
}

/// Tenant that the ingress stated, if the configuration has it, which bounds the number of names in use.
fn tenant_of(state: &TrafficState, request: &OwnedRequest) -> Option<String> {
    let name = request.parts.headers.get(headers::TENANT)?.to_str().ok()?;
    let routes = state.mesh.routes.load();
    let tenant = routes.as_ref()?.tenants()?.get(name)?;
    Some(tenant.name.clone())
}

/// Whether the daemon accepts requests and the incarnation that the ingress chose serves beside it.
fn is_expected(state: &TrafficState, head: &ForwardHead) -> bool {
    if state.mesh.is_closing() {
        return false;
    }
    let tracker = state.mesh.tracker();
    tracker
        .serving()
        .is_some_and(|server| server.instance == head.instance)
}

async fn run(
    state: &Arc<TrafficState>,
    request: OwnedRequest,
    mut permit: SlotPermit,
    received: Instant,
) -> OwnerOutcome {
    let OwnedRequest { head, parts, body } = request;
    let id = parts.headers.get(headers::REQUEST_ID).cloned();
    let running = id.as_ref().and_then(|id| id.to_str().ok());
    let running = running.map(|id| {
        let mesh = &state.mesh;
        mesh.track_running(id, head.attempt == AttemptKind::Retry, head.tenant_rank)
    });
    let time_left = Duration::from_millis(head.time_left_ms).saturating_sub(received.elapsed());
    if time_left.is_zero() {
        return OwnerOutcome::NotRun {
            reason: NotRunReason::Expired,
            retry_after_ms: 0,
        };
    }
    let outgoing = to_server(parts, body, &head, time_left);
    let max_idle = if head.is_idempotent {
        SAFE_MAX_IDLE
    } else {
        // Lets the connections' tasks notice what the server has closed.
        tokio::task::yield_now().await;
        UNSAFE_MAX_IDLE
    };
    let address = state.mesh.settings.server.address;
    let sending = state.server_pool.send(address, outgoing, max_idle);
    if state.mesh.estimates_loads() {
        permit.occupy_until(Instant::now() + time_left + ANSWER_GRACE);
    }
    let sent = match tokio::time::timeout(time_left + ANSWER_GRACE, sending).await {
        Ok(sent) => sent,
        Err(_) => {
            permit.record_service_time();
            log_lost(id.as_ref(), "no answer in time");
            return OwnerOutcome::Lost;
        }
    };
    permit.release();
    let answer = match sent {
        Ok(answer) => answer,
        Err(pool::Error::NotSent(error)) => {
            log::warn!(target: logging::REQUEST, id = text_of(id.as_ref()), error = error.as_str(); "server not reached");
            return OwnerOutcome::NotRun {
                reason: NotRunReason::ServerDown,
                retry_after_ms: SERVER_DOWN_RETRY_AFTER_MS,
            };
        }
        Err(pool::Error::Lost(error)) => {
            log_lost(id.as_ref(), &error);
            return OwnerOutcome::Lost;
        }
    };
    if answer.is_new {
        state.mesh.metrics.server_connections.inc();
    }
    state.mesh.record_answer();
    let has_refused_call = running.is_some_and(|running| running.has_refused_call());
    check_answer(state, answer.response, id, permit, has_refused_call).await
}

/// Classifies a backend server's answer; the connection is dropped unless the answer is valid.
async fn check_answer(
    state: &TrafficState,
    response: Response<AnswerBody>,
    id: Option<HeaderValue>,
    mut permit: SlotPermit,
    has_refused_call: bool,
) -> OwnerOutcome {
    let status = response.status().as_u16();
    if !is_final_status(status) {
        log_lost(
            id.as_ref(),
            &format!("its status {status} ends no exchange"),
        );
        pool::discard(response.into_body());
        return OwnerOutcome::Lost;
    }
    let is_refusal = response.headers().contains_key(headers::NOT_RUN)
        || response.status() == StatusCode::MISDIRECTED_REQUEST;
    let (mut parts, body) = response.into_parts();
    let echoed = parts.headers.get(headers::REQUEST_ID);
    let is_anonymous_refusal = is_refusal && echoed.is_none();
    if echoed != id.as_ref() && !is_anonymous_refusal {
        log_lost(id.as_ref(), "the answer belongs to another request");
        pool::discard(body);
        return OwnerOutcome::Lost;
    }
    if is_anonymous_refusal {
        // A late copy could not be distinguished from the answer to the next request on the connection.
        pool::discard(body);
        return OwnerOutcome::NotRun {
            reason: NotRunReason::ServerRefused,
            retry_after_ms: 0,
        };
    }
    if is_refusal {
        read_refusal(body, id.as_ref()).await;
        return OwnerOutcome::NotRun {
            reason: NotRunReason::ServerRefused,
            retry_after_ms: 0,
        };
    }
    let is_signed = parts.headers.contains_key(headers::ANSWER_SIGNATURE);
    if parts.status.is_success() && !is_signed {
        log_lost(id.as_ref(), "the answer is not signed");
        pool::discard(body);
        return OwnerOutcome::Lost;
    }
    let service_ms = permit.elapsed_ms();
    if parts.status.is_success() {
        // A failure may arrive sooner than a success, so its time is not recorded.
        permit.record_service_time();
    }
    forward::strip_hop_by_hop(&mut parts.headers);
    forward::strip_internal(&mut parts.headers);
    let length = forward::number(&parts.headers, header::CONTENT_LENGTH);
    let body = if length.is_none_or(|length| length <= BUFFERED_ANSWER_BYTES as u64) {
        match body.read_ahead(BUFFERED_ANSWER_BYTES, &state.budget).await {
            Ok(body) => body,
            Err(error) => {
                log_lost(id.as_ref(), &format!("the answer ended early: {error:?}"));
                return OwnerOutcome::Lost;
            }
        }
    } else {
        body
    };
    let body = if body.is_buffered() {
        body
    } else {
        body.with_guard(Box::new(permit))
    };
    OwnerOutcome::Answered {
        response: Box::new(Response::from_parts(parts, body)),
        service_ms,
        has_refused_call,
    }
}

/// Reads the body of a refusal to its end, so that the connection can be reused.
async fn read_refusal(body: AnswerBody, id: Option<&HeaderValue>) {
    let reading = body.discard_up_to(BUFFERED_ANSWER_BYTES);
    let error = match tokio::time::timeout(REFUSAL_BODY_TIMEOUT, reading).await {
        Ok(Ok(())) => return,
        Ok(Err(error)) => error,
        Err(_) => body::Error::Expired,
    };
    log::info!(target: logging::REQUEST, id = text_of(id), error:% = error; "refusal of the server not read");
}

/// Creates the request to the backend server.
fn to_server(
    parts: request::Parts,
    body: RequestBody,
    head: &ForwardHead,
    time_left: Duration,
) -> Request<RequestBody> {
    let mut request = Request::from_parts(parts, body);
    let fields = request.headers_mut();
    forward::strip_internal(fields);
    forward::strip_hop_by_hop(fields);
    fields.insert(
        headers::TIME_LEFT_MS,
        HeaderValue::from(time_left.as_millis() as u64),
    );
    forward::insert_text(fields, headers::EXPECTED_INSTANCE, &head.instance);
    request
}

fn not_run(refusal: GateRefusal) -> OwnerOutcome {
    OwnerOutcome::NotRun {
        reason: reason_of(refusal.reason),
        retry_after_ms: refusal.retry_after_ms,
    }
}

fn reason_of(reason: RefusalReason) -> NotRunReason {
    match reason {
        RefusalReason::Busy => NotRunReason::Busy,
        RefusalReason::Closed => NotRunReason::Closed,
        RefusalReason::Expired => NotRunReason::Expired,
        RefusalReason::LinkFull => NotRunReason::LinkFull,
    }
}

fn log_refusal(request: &OwnedRequest, refusal: &GateRefusal) {
    let id = forward::request_id(&request.parts.headers);
    log::log!(
        target: logging::REQUEST,
        logging::request_level(id),
        id = id,
        route = request.head.route.as_str(),
        urgency:? = request.head.urgency,
        reason = reason_of(refusal.reason).name(),
        retry_after_ms = refusal.retry_after_ms;
        "refused by the owner"
    );
}

fn log_lost(id: Option<&HeaderValue>, reason: &str) {
    log::warn!(target: logging::REQUEST, id = text_of(id), reason = reason; "answer of the server lost");
}

fn text_of(id: Option<&HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("")
}
