//! Runs one permitted request at its backend server.
use std::{sync::Arc, time::Duration};

use hyper::{Response, StatusCode};
use jayrack_protocol::{ResultCode, answer::is_final_status, forward::RequestHead};

use super::{
    answer::{OwnerAnswer, StoredAnswer},
    headers,
    permit::{Permit, RunOutcome},
};
use crate::{
    backend::{self, BackendPool},
    shared::LocalServer,
    transport::body::{BodyError, RelayBody},
};

/// Context of a run besides its permit and its request.
#[derive(Debug, Clone)]
pub(super) struct RunContext {
    pub(super) backends: BackendPool,
    pub(super) server: Arc<LocalServer>,
    /// Maximum size of an answer that is buffered and stored, in bytes.
    pub(super) answer_bytes: usize,
    /// Time until the deadline.
    pub(super) time_left: Duration,
}

/// Sends the request to the backend server; dropping the future closes the connection to it.
pub(super) async fn run(
    context: RunContext,
    permit: Permit,
    head: RequestHead,
    body: RelayBody,
) -> OwnerAnswer {
    let is_idempotent = head.idempotent;
    let time_left = context.time_left;
    let Some(request) = headers::to_request(head, body) else {
        permit.complete(RunOutcome::NotRun(ResultCode::RequestMalformed));
        return OwnerAnswer::refusal(ResultCode::RequestMalformed);
    };
    let address = context.server.address;
    let sending = context.backends.send(address, request, is_idempotent);
    match tokio::time::timeout(time_left, sending).await {
        Ok(Ok(response)) => answered(&context, permit, response).await,
        Ok(Err(backend::Error::NotSent)) => {
            permit.complete(RunOutcome::NotRun(ResultCode::OwnerUnreachable));
            OwnerAnswer::refusal(ResultCode::OwnerUnreachable)
        }
        Ok(Err(backend::Error::Lost)) => {
            permit.complete(RunOutcome::Unknown);
            OwnerAnswer::refusal(ResultCode::OutcomeUnknown)
        }
        Err(_) => {
            permit.complete(RunOutcome::Unknown);
            OwnerAnswer::refusal(ResultCode::DeadlineExceeded)
        }
    }
}

async fn answered(
    context: &RunContext,
    permit: Permit,
    response: Response<RelayBody>,
) -> OwnerAnswer {
    let status = response.status().as_u16();
    if !is_final_status(status) {
        log::warn!(status = status; "status of the server's answer ends no exchange");
        permit.complete(RunOutcome::Failed);
        return OwnerAnswer::refusal(ResultCode::ServerFailed);
    }
    let is_shed = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    let answer = headers::to_answer(response);
    let length = headers::content_length(&answer.head.headers);
    if length.is_none_or(|length| length > context.answer_bytes as u64) {
        return stream(permit, answer);
    }
    let collecting = answer.body.collect_up_to(context.answer_bytes);
    let collected = tokio::time::timeout(context.time_left, collecting).await;
    let Ok(body) = collected.unwrap_or(Err(BodyError::Silent)) else {
        permit.complete(RunOutcome::Failed);
        return OwnerAnswer::refusal(ResultCode::ServerFailed);
    };
    let stored = StoredAnswer {
        head: answer.head.clone(),
        body: Some(body.clone()),
    };
    permit.complete(if is_shed {
        RunOutcome::Shed(stored)
    } else {
        RunOutcome::Done(stored)
    });
    OwnerAnswer {
        head: answer.head,
        body: RelayBody::full(body),
    }
}

/// Streams a large answer; only its head is stored.
fn stream(permit: Permit, answer: OwnerAnswer) -> OwnerAnswer {
    let stored = StoredAnswer {
        head: answer.head.clone(),
        body: None,
    };
    let permit = permit.complete_on_drop(RunOutcome::Done(stored));
    OwnerAnswer {
        head: answer.head,
        body: answer.body.with_guard(permit),
    }
}
