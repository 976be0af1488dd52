//! Encoding of roll-outs in datagrams and in answers to daemons that have just started.
use jayrack_mesh::{
    era::{LogPosition, StoreEra},
    rollout::{
        RolloutOrder, RolloutPhase,
        evidence::{RouteCounts, ServerEvidence},
        status::RolloutStatus,
    },
};
use jayrack_protocol::status as wire;
use prost::Message;

/// Maximum number of routes in the evidence of a server, those with the most bad answers.
const MAX_ROUTES: usize = 6;

/// Encodes the roll-outs that a daemon knows.
pub(super) fn encode_list(statuses: &[RolloutStatus]) -> Vec<u8> {
    let rollouts = statuses.iter().map(encode).collect();
    wire::RolloutList { rollouts }.encode_to_vec()
}

/// Decodes the roll-outs that a daemon knows.
pub(super) fn decode_list(bytes: &[u8]) -> Result<Vec<RolloutStatus>, prost::DecodeError> {
    let list = wire::RolloutList::decode(bytes)?;
    Ok(list.rollouts.into_iter().filter_map(decode).collect())
}

pub(super) fn encode(status: &RolloutStatus) -> wire::Rollout {
    wire::Rollout {
        service: status.order.service.clone(),
        offset: status.order.position.offset,
        era: status.order.position.era.map(StoreEra::to_number),
        target_version: status.order.target_version.clone(),
        duration_ms: status.order.duration_ms,
        age_ms: status.age_ms,
        phase: encode_phase(status.phase).into(),
        phase_at_ms: status.phase_at_ms,
        recorded: status.is_recorded,
        baseline: status.baseline.clone(),
        evidence: status.evidence.as_ref().map(encode_evidence),
        drained: status.is_drained,
    }
}

/// Decodes a roll-out; `None` if a field is missing or its value is unknown.
pub(super) fn decode(rollout: wire::Rollout) -> Option<RolloutStatus> {
    let phase = wire::RolloutPhase::try_from(rollout.phase).ok()?;
    if rollout.service.is_empty() || rollout.target_version.is_empty() {
        return None;
    }
    Some(RolloutStatus {
        order: RolloutOrder {
            service: rollout.service,
            target_version: rollout.target_version,
            duration_ms: rollout.duration_ms,
            position: LogPosition {
                era: rollout.era.map(StoreEra::from_number),
                offset: rollout.offset,
            },
        },
        age_ms: rollout.age_ms,
        phase: decode_phase(phase),
        phase_at_ms: rollout.phase_at_ms,
        is_recorded: rollout.recorded,
        baseline: rollout.baseline,
        evidence: rollout.evidence.map(decode_evidence),
        is_drained: rollout.drained,
    })
}

fn encode_evidence(evidence: &ServerEvidence) -> wire::ServerEvidence {
    let mut counts: Vec<(&String, &RouteCounts)> = evidence.counts.iter().collect();
    counts.sort_by_key(|(_, counts)| std::cmp::Reverse((counts.bad(), counts.answers)));
    let routes = counts.into_iter().take(MAX_ROUTES);
    wire::ServerEvidence {
        target: evidence.is_target,
        routes: routes
            .map(|(route, counts)| wire::RouteEvidence {
                route: route.clone(),
                answers: counts.answers,
                failures: counts.failures,
                slow: counts.slow,
            })
            .collect(),
        stopped: evidence.is_stopped,
    }
}

fn decode_evidence(evidence: wire::ServerEvidence) -> ServerEvidence {
    let routes = evidence.routes.into_iter().map(|counts| {
        // Counts of another build may not add up.
        let failures = counts.failures.min(counts.answers);
        let decoded = RouteCounts {
            answers: counts.answers,
            failures,
            slow: counts.slow.min(counts.answers - failures),
        };
        (counts.route, decoded)
    });
    ServerEvidence {
        is_target: evidence.target,
        counts: routes.collect(),
        is_stopped: evidence.stopped,
    }
}

fn encode_phase(phase: RolloutPhase) -> wire::RolloutPhase {
    match phase {
        RolloutPhase::Unknown => wire::RolloutPhase::Unknown,
        RolloutPhase::Canary => wire::RolloutPhase::Canary,
        RolloutPhase::Promoting => wire::RolloutPhase::Promoting,
        RolloutPhase::Draining => wire::RolloutPhase::Draining,
        RolloutPhase::RollingBack => wire::RolloutPhase::RollingBack,
        RolloutPhase::Completed => wire::RolloutPhase::Completed,
        RolloutPhase::RolledBack => wire::RolloutPhase::RolledBack,
    }
}

fn decode_phase(phase: wire::RolloutPhase) -> RolloutPhase {
    match phase {
        wire::RolloutPhase::Unknown => RolloutPhase::Unknown,
        wire::RolloutPhase::Canary => RolloutPhase::Canary,
        wire::RolloutPhase::Promoting => RolloutPhase::Promoting,
        wire::RolloutPhase::Draining => RolloutPhase::Draining,
        wire::RolloutPhase::RollingBack => RolloutPhase::RollingBack,
        wire::RolloutPhase::Completed => RolloutPhase::Completed,
        wire::RolloutPhase::RolledBack => RolloutPhase::RolledBack,
    }
}
