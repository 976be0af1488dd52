//! A claim whose replicas cannot be reached at first, as in a fleet whose daemons open their first
//! connections.
use jayrack_protocol::{MemberId, RequestId, ResultCode};
use jayrack_traffic::{
    ClaimCoordinator,
    claim::{ClaimReply, ClaimRequest, ReplicaSet},
    coordinate::{Action, Input, Options},
};

const REPLICAS: [MemberId; 3] = [MemberId(1), MemberId(2), MemberId(3)];

fn coordinator() -> ClaimCoordinator {
    let claim = ClaimRequest {
        key_hash: 7,
        request_digest: 0,
        request: RequestId(9),
        ingress: REPLICAS[0],
        owner: REPLICAS[1],
        replaces: None,
    };
    let replicas = ReplicaSet {
        vouching: REPLICAS.to_vec(),
        recording: REPLICAS.to_vec(),
        asked: REPLICAS.to_vec(),
    };
    let options = Options {
        deadline_ms: 5_000,
        ..Options::default()
    };
    ClaimCoordinator::new(options, claim, replicas)
}

/// Replicas that the claim is sent to, the time of the next wait, and the result code if the claim has
/// ended.
fn summarize(actions: Vec<Action<()>>) -> (Vec<MemberId>, Option<u64>, Option<ResultCode>) {
    let mut summary = (Vec::new(), None, None);
    for action in actions {
        match action {
            Action::SendClaim { replica, .. } => summary.0.push(replica),
            Action::Wait { until_ms } => summary.1 = Some(until_ms),
            Action::ReturnCode(code) => summary.2 = Some(code),
            _ => {}
        }
    }
    summary
}

#[test]
fn lost_replicas_are_retried_before_the_outcome_counts_as_unknown() {
    let mut coordinator = coordinator();
    let granted = |replica| Input::<()>::Reply {
        replica,
        reply: ClaimReply::Granted,
    };
    coordinator.handle(0, Input::<()>::Start);
    coordinator.handle(5, granted(REPLICAS[0]));
    coordinator.handle(
        10,
        Input::<()>::ReplicaLost {
            replica: REPLICAS[1],
        },
    );

    let lost = coordinator.handle(
        15,
        Input::<()>::ReplicaLost {
            replica: REPLICAS[2],
        },
    );
    let (asked, retry_at_ms, code) = summarize(lost);
    let retry_at_ms = retry_at_ms.expect("the claim is sent again after a backoff");
    let retried = summarize(coordinator.handle(retry_at_ms, Input::<()>::Timeout));
    let run = coordinator.handle(retry_at_ms + 5, granted(REPLICAS[1]));

    assert!(asked.is_empty() && code.is_none(), "{asked:?} {code:?}");
    assert_eq!(retried.0, REPLICAS[1..]);
    assert_eq!(run, [Action::Run]);
}

#[test]
fn unreachable_replicas_make_the_outcome_unknown_after_the_last_round() {
    let mut coordinator = coordinator();
    let rounds = Options::default().max_rounds;
    let mut actions = coordinator.handle(0, Input::<()>::Start);
    let mut asked_rounds = 0;

    let code = loop {
        let (asked, wait_ms, code) = summarize(actions);
        asked_rounds += u32::from(!asked.is_empty());
        match (code, wait_ms) {
            (Some(code), _) => break code,
            (None, Some(wait_ms)) => actions = coordinator.handle(wait_ms, Input::<()>::Timeout),
            (None, None) => panic!("the claim neither waits nor has ended"),
        }
    };

    assert_eq!(code, ResultCode::OutcomeUnknown);
    assert_eq!(asked_rounds, rounds);
}
