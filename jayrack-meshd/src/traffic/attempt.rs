//! One forwarding attempt: to the daemon beside a backend server, or to the server on this host.
use std::sync::Arc;

use bytes::Bytes;
use hyper::{Request, Response, body::Body, header};
use jayrack_mesh::{
    gate::ServiceTimeEstimate,
    pick::{HostCandidate, HostOutcome, HostReport, PickRequest},
};
use tokio::time::Instant;

use super::{
    body::{self, AnswerBody},
    forward::{self, AttemptKind, ForwardHead, NotRunReason, OwnerOutcome, OwnerReply, SendTime},
    intake::CallerRequest,
    memory::ByteBudget,
    owner::{self, BUFFERED_ANSWER_BYTES, OwnedRequest},
    pool,
    state::{PEER_MAX_IDLE, TrafficState},
};
use crate::{logging, shared::boot_ms};

/// Time reserved for the answer's transit back to the ingress, in milliseconds.
const RETURN_MARGIN_MS: u64 = 5;

/// Result of one forwarding attempt.
pub(super) enum Attempt {
    Replied(OwnerReply),
    /// The host was not reached; nothing ran.
    Unreachable,
    /// The connection was lost after the request was sent.
    Lost,
}

/// Sends the request to the daemon beside `candidate`, or to the server on this host.
pub(super) async fn send(
    state: &Arc<TrafficState>,
    request: &CallerRequest,
    candidate: &HostCandidate,
    kind: AttemptKind,
) -> Attempt {
    let now = Instant::now();
    let left_ms = |at: Instant| at.saturating_duration_since(now).as_millis() as u64;
    let head = ForwardHead {
        route: request.route.name.clone(),
        instance: candidate.instance.clone(),
        urgency: request.urgency,
        target_left_ms: left_ms(request.target_at),
        time_left_ms: left_ms(request.expires_at).saturating_sub(RETURN_MARGIN_MS),
        is_idempotent: request.route.kind.is_idempotent(),
        attempt: kind,
        is_same_data_centre: candidate.is_same_data_centre,
        sent: SendTime {
            epoch: state.mesh.started_boot_ms(),
            at_ms: boot_ms(),
        },
        tenant_rank: request.tenant_rank,
    };
    let mut parts = request.parts.clone();
    let body = request.body.clone();
    if candidate.address == state.mesh.settings.host.address {
        let route = &request.route.name;
        let request = OwnedRequest { head, parts, body };
        let mut reply = owner::serve(state, request).await;
        observe_streamed_answer(state, route, &mut reply);
        return Attempt::Replied(reply);
    }
    let forward = {
        let directory = state.mesh.directory();
        directory
            .get(candidate.address)
            .map(|entry| entry.record.forward)
    };
    let Some(forward) = forward else {
        return Attempt::Unreachable;
    };
    head.encode(&mut parts.headers);
    state.link.record_other(body.len() as u64);
    let message = Request::from_parts(parts, body);
    let sent = state.peer_pool.send(forward, message, PEER_MAX_IDLE).await;
    let response = match sent {
        Ok(answer) => answer.response,
        Err(pool::Error::NotSent(error)) => {
            let now_ms = state.mesh.now_ms();
            let backoff_ms = state
                .mesh
                .directory()
                .record_unreachable(now_ms, candidate.address);
            log::warn!(host:% = candidate.address, pause_ms = backoff_ms, error = error.as_str(); "host not reached");
            state.peer_pool.close_idle(forward);
            return Attempt::Unreachable;
        }
        Err(pool::Error::Lost(error)) => {
            let now_ms = state.mesh.now_ms();
            state
                .mesh
                .directory()
                .record_unreachable(now_ms, candidate.address);
            log::warn!(host:% = candidate.address, error = error.as_str(); "connection to host lost");
            state.peer_pool.close_idle(forward);
            return Attempt::Lost;
        }
    };
    let Some(mut reply) = OwnerReply::decode(response) else {
        log::warn!(host:% = candidate.address; "malformed answer of host");
        return Attempt::Lost;
    };
    if let OwnerOutcome::Answered { response, .. } = &mut reply.outcome
        && let Err(error) = buffer_small_answer(response, &state.budget).await
    {
        log::warn!(host:% = candidate.address, error:? = error; "answer of host ended early");
        reply.outcome = OwnerOutcome::Lost;
    }
    observe_streamed_answer(state, &request.route.name, &mut reply);
    Attempt::Replied(reply)
}

/// Learns the size of an answer that is not in memory when it has been passed on.
///
/// The length that its head states is not used: the answer may break off before.
fn observe_streamed_answer(state: &Arc<TrafficState>, route: &str, reply: &mut OwnerReply) {
    let OwnerOutcome::Answered { response, .. } = &mut reply.outcome else {
        return;
    };
    if response.body().is_buffered() {
        return;
    }
    let (state, route) = (state.clone(), route.to_string());
    let unread = AnswerBody::buffered(Bytes::new());
    let body = std::mem::replace(response.body_mut(), unread);
    *response.body_mut() = body.on_end(move |progress| {
        if progress.is_complete() {
            let bytes = progress.passed_bytes();
            state.router.record_answer_size(&route, bytes);
        }
    });
}

/// Reads a small answer completely before it is passed on, so that a truncated one can be retried.
async fn buffer_small_answer(
    response: &mut Response<AnswerBody>,
    budget: &ByteBudget,
) -> Result<(), body::Error> {
    let length = forward::number(response.headers(), header::CONTENT_LENGTH);
    if length.is_some_and(|length| length > BUFFERED_ANSWER_BYTES as u64) {
        return Ok(());
    }
    let unread = AnswerBody::buffered(Bytes::new());
    let body = std::mem::replace(response.body_mut(), unread);
    *response.body_mut() = body.read_ahead(BUFFERED_ANSWER_BYTES, budget).await?;
    Ok(())
}

/// Counts an attempt as in flight until it ends, also when the caller disconnects.
pub(super) struct AttemptGuard<'a> {
    state: &'a TrafficState,
    candidate: &'a HostCandidate,
    pick: &'a PickRequest<'a>,
    is_ended: bool,
}

impl<'a> AttemptGuard<'a> {
    pub(super) fn start(
        state: &'a TrafficState,
        candidate: &'a HostCandidate,
        pick: &'a PickRequest<'a>,
    ) -> Self {
        state.router.started(candidate);
        Self {
            state,
            candidate,
            pick,
            is_ended: false,
        }
    }

    pub(super) fn end(&mut self, attempt: &Attempt) {
        self.is_ended = true;
        let (outcome, report) = match attempt {
            Attempt::Unreachable => (HostOutcome::Unreachable, None),
            Attempt::Lost => (HostOutcome::Failed, None),
            Attempt::Replied(reply) => {
                let report = host_report(reply, self.pick.route);
                self.state.router.named(&reply.free_hosts);
                self.state.router.health(self.candidate, reply.health);
                (host_outcome(&reply.outcome), Some(report))
            }
        };
        self.state
            .router
            .finished(self.candidate, self.pick, outcome, report);
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            let outcome = HostOutcome::Abandoned;
            self.state
                .router
                .finished(self.candidate, self.pick, outcome, None);
        }
    }
}

fn host_report(reply: &OwnerReply, route: &str) -> HostReport {
    let estimate = reply.service_ms.map(|service_ms| ServiceTimeEstimate {
        route: route.to_string(),
        service_ms,
    });
    HostReport {
        load: reply.load,
        service_times: estimate.into_iter().collect(),
    }
}

fn host_outcome(outcome: &OwnerOutcome) -> HostOutcome {
    match outcome {
        OwnerOutcome::Answered {
            response,
            has_refused_call,
            ..
        } if response.status().is_server_error() => match has_refused_call {
            true => HostOutcome::Abandoned,
            false => HostOutcome::Failed,
        },
        OwnerOutcome::Answered {
            response,
            service_ms,
            ..
        } => HostOutcome::Answered {
            service_ms: *service_ms,
            answer_bytes: buffered_bytes(response),
        },
        OwnerOutcome::NotRun {
            reason: NotRunReason::ServerDown | NotRunReason::Closed,
            ..
        } => HostOutcome::Unreachable,
        OwnerOutcome::NotRun {
            reason: NotRunReason::Passed,
            ..
        } => HostOutcome::Passed,
        OwnerOutcome::NotRun {
            reason: NotRunReason::ServerRefused,
            ..
        } => HostOutcome::ServerRefused,
        OwnerOutcome::NotRun { retry_after_ms, .. } => HostOutcome::Refused {
            retry_after_ms: *retry_after_ms,
        },
        OwnerOutcome::Lost => HostOutcome::Failed,
    }
}

/// Size of an answer that is completely in memory, in bytes.
fn buffered_bytes(response: &Response<AnswerBody>) -> Option<u64> {
    let body = response.body();
    body.is_buffered().then(|| body.size_hint().lower())
}

/// Logs the host and the outcome of an attempt if the request is sampled.
pub(super) fn log_attempt(request: &CallerRequest, candidate: &HostCandidate, attempt: &Attempt) {
    let id = forward::request_id(&request.parts.headers);
    if !logging::is_sampled(id) {
        return;
    }
    let (outcome, load) = match attempt {
        Attempt::Unreachable => ("unreachable", None),
        Attempt::Lost => ("connection lost", None),
        Attempt::Replied(reply) => (reply.outcome.name(), Some(reply.load)),
    };
    log::info!(
        target: logging::REQUEST,
        id = id,
        host:% = candidate.address,
        instance = candidate.instance.as_str(),
        near = candidate.is_same_data_centre,
        paused = candidate.is_unresponsive,
        load:? = load,
        outcome = outcome;
        "attempt ended"
    );
}
