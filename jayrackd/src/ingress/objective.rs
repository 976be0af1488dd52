//! Counts finished requests against the objective of their service and rank.
use std::time::Duration;

use jayrack_burn::tracker::FinishedRequest;
use jayrack_config::table::{RouteEntry, RouteTable};
use jayrack_protocol::ResultCode;

use crate::{owner::OwnerAnswer, traffic::TrafficState};

/// Service, rank and objective of a request; empty when it matched no route.
#[derive(Debug, Default)]
pub(super) struct RequestSubject {
    /// Name of the rank.
    pub(super) rank: String,
    service: String,
    /// Latency up to which the request counts as good; `None` without an objective.
    latency: Option<Duration>,
}

impl RequestSubject {
    /// Returns the subject of a request that `route` matches.
    pub(super) fn of(table: &RouteTable, route: &RouteEntry) -> Self {
        let rank = &route.rank.name;
        let service = table.services.get(&route.spec.service);
        let objective = service.and_then(|entry| {
            let mut objectives = entry.spec.objectives.iter();
            objectives.find(|objective| objective.rank == *rank)
        });
        Self {
            rank: rank.clone(),
            service: route.spec.service.clone(),
            latency: objective
                .map(|objective| Duration::from_millis(u64::from(objective.latency_ms))),
        }
    }
}

/// Counts one finished request, unless it has no objective or failed through its caller's fault.
pub(super) fn observe(
    state: &TrafficState,
    subject: &RequestSubject,
    result: &Result<OwnerAnswer, ResultCode>,
    elapsed: Duration,
) {
    let Some(latency) = subject.latency else {
        return;
    };
    let code = code_of(result);
    if is_caller_error(code) {
        return;
    }
    let request = FinishedRequest {
        service: &subject.service,
        rank: &subject.rank,
        is_good: code == ResultCode::Ok && elapsed <= latency,
    };
    let now_ms = state.clock.now_ms();
    state.shared.lock_burn().record(now_ms, request);
}

/// Returns the result code; an answer with a status of 500 to 599 counts as failed.
fn code_of(result: &Result<OwnerAnswer, ResultCode>) -> ResultCode {
    const SERVER_ERRORS: std::ops::RangeInclusive<u32> = 500..=599;
    match result {
        Ok(answer)
            if answer.code() == ResultCode::Ok && SERVER_ERRORS.contains(&answer.head.status) =>
        {
            ResultCode::ServerFailed
        }
        Ok(answer) => answer.code(),
        Err(code) => *code,
    }
}

fn is_caller_error(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::RequestMalformed
            | ResultCode::RequestTooLarge
            | ResultCode::KeyMismatch
            | ResultCode::HeadTimeout
            | ResultCode::Cancelled
    )
}
