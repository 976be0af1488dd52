//! Counts finished requests against the objective of their service and rank.
use std::time::Duration;

use jayrack_burn::tracker::FinishedRequest;
use jayrack_config::table::{RouteEntry, RouteTable};
use jayrack_protocol::ResultCode;

use crate::traffic::TrafficState;

/// What a request is about; empty when it matched no route.
#[derive(Debug, Default)]
pub(super) struct RequestSubject {
    /// Name of the rank.
    pub(super) rank: String,
    service: String,
    /// Time within which the request counts as good; none without an objective.
    latency: Option<Duration>,
}

impl RequestSubject {
    /// The subject of a request that `route` matched.
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

/// Counts one finished request, unless it has no objective or the fault is the caller's.
pub(super) fn observe(
    state: &TrafficState,
    subject: &RequestSubject,
    code: ResultCode,
    elapsed: Duration,
) {
    let Some(latency) = subject.latency else {
        return;
    };
    if is_fault_of_caller(code) {
        return;
    }
    let request = FinishedRequest {
        service: &subject.service,
        rank: &subject.rank,
        is_good: code == ResultCode::Ok && elapsed <= latency,
    };
    state
        .shared
        .lock_burn()
        .record(state.clock.now_ms(), request);
}

fn is_fault_of_caller(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::RequestMalformed
            | ResultCode::RequestTooLarge
            | ResultCode::KeyMismatch
            | ResultCode::HeadTimeout
            | ResultCode::Cancelled
    )
}
