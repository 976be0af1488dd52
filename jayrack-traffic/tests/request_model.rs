//! Model check of a non-idempotent request, its retry by the caller and their fences.
//!
//! A search stops after [`MAX_STATES`] states; larger state spaces are searched up to the printed depth.
mod support {
    pub mod model;
}

use rstest::rstest;
use support::model::{CallerResponse, Defect, Exploration, FaultBudget, Scenario, explore};

const MAX_STATES: usize = 200_000;
const NO_FAULTS: FaultBudget = FaultBudget {
    duplicates: 0,
    crashes: 0,
    refusals: 0,
    broken_connections: 0,
    clock_ticks: 0,
};

/// One request; both owners, which are claim replicas too, may crash.
fn single(budget: FaultBudget) -> Scenario {
    Scenario {
        budget,
        defect: Defect::None,
        calls: 1,
        crashable: vec![2, 3],
        weight_order: [2, 3, 4, 0, 1],
        suspected: [None, None],
        joined: None,
        has_other_digest: false,
        is_retry_late: false,
    }
}

/// A request and a concurrent retry.
fn concurrent(budget: FaultBudget) -> Scenario {
    Scenario {
        calls: 2,
        ..single(budget)
    }
}

/// A request and a retry that starts after the replicas granted the claim of the first.
fn retried(budget: FaultBudget) -> Scenario {
    Scenario {
        calls: 2,
        is_retry_late: true,
        crashable: vec![0, 2],
        ..single(budget)
    }
}

fn run(scenario: Scenario) -> Exploration {
    let name = format!("{scenario:?}");
    let exploration = explore(scenario, MAX_STATES);
    let extent = if exploration.is_exhaustive {
        "exhaustive"
    } else {
        "stopped"
    };
    let (states, depth) = (exploration.states, exploration.depth);
    println!("{states} states, depth {depth}, {extent}: {name}");
    exploration
}

#[rstest]
#[case::one(single(NO_FAULTS))]
#[case::one_lost(single(FaultBudget { broken_connections: 2, ..NO_FAULTS }))]
#[case::one_lost_and_crashed(single(FaultBudget { broken_connections: 1, crashes: 1, ..NO_FAULTS }))]
#[case::one_duplicated(single(FaultBudget { duplicates: 1, refusals: 1, broken_connections: 1, ..NO_FAULTS }))]
#[case::one_delayed(single(FaultBudget { clock_ticks: 2, crashes: 1, ..NO_FAULTS }))]
#[case::concurrent(concurrent(NO_FAULTS))]
#[case::concurrent_lost(concurrent(FaultBudget { broken_connections: 1, ..NO_FAULTS }))]
#[case::concurrent_crashed(concurrent(FaultBudget { crashes: 1, ..NO_FAULTS }))]
#[case::concurrent_refused(concurrent(FaultBudget { refusals: 1, ..NO_FAULTS }))]
#[case::concurrent_delayed(concurrent(FaultBudget { clock_ticks: 1, ..NO_FAULTS }))]
#[case::retried(retried(NO_FAULTS))]
#[case::retried_lost(retried(FaultBudget { broken_connections: 1, ..NO_FAULTS }))]
#[case::retried_crashed(retried(FaultBudget { crashes: 1, ..NO_FAULTS }))]
#[case::retried_refused(retried(FaultBudget { refusals: 1, ..NO_FAULTS }))]
#[case::retried_duplicated(retried(FaultBudget { duplicates: 1, refusals: 1, ..NO_FAULTS }))]
#[case::retried_delayed(retried(FaultBudget { clock_ticks: 2, ..NO_FAULTS }))]
#[case::retried_delayed_crashed(retried(FaultBudget { clock_ticks: 1, crashes: 1, ..NO_FAULTS }))]
#[case::replicas_crashed(Scenario { crashable: vec![3, 4], ..retried(FaultBudget { crashes: 2, ..NO_FAULTS }) })]
#[case::replicas_suspected(Scenario {
    suspected: [Some(3), Some(4)],
    ..concurrent(FaultBudget { broken_connections: 1, ..NO_FAULTS })
})]
#[case::replicas_suspected_late(Scenario {
    suspected: [Some(3), Some(4)],
    ..retried(FaultBudget { refusals: 1, ..NO_FAULTS })
})]
#[case::replica_joined(Scenario { joined: Some((2, [true, false])), ..concurrent(NO_FAULTS) })]
#[case::replica_joined_late(Scenario {
    joined: Some((2, [false, true])),
    ..retried(FaultBudget { broken_connections: 1, ..NO_FAULTS })
})]
#[case::replica_joined_refused(Scenario {
    joined: Some((3, [true, false])),
    ..retried(FaultBudget { refusals: 1, ..NO_FAULTS })
})]
#[case::replica_joined_and_suspected(Scenario {
    joined: Some((2, [false, true])),
    suspected: [Some(3), None],
    ..retried(FaultBudget { refusals: 1, ..NO_FAULTS })
})]
#[case::suspected_and_crashed(Scenario {
    suspected: [None, Some(4)],
    ..retried(FaultBudget { crashes: 1, ..NO_FAULTS })
})]
#[case::other_request(Scenario { has_other_digest: true, ..concurrent(NO_FAULTS) })]
fn invariants_hold(#[case] scenario: Scenario) {
    let exploration = run(scenario);

    let path = exploration.violation.unwrap_or_default();
    let fault = path.last().and_then(|state| state.violation());
    assert!(
        fault.is_none(),
        "{fault:?} after {} steps: {:#?}",
        path.len() - 1,
        path.last()
    );
}

#[rstest]
#[case::lost_is_not_sent(Defect::LostIsNotSent, single(FaultBudget { broken_connections: 1, ..NO_FAULTS }))]
#[case::no_horizon(Defect::NoHorizon, single(FaultBudget { broken_connections: 1, crashes: 1, ..NO_FAULTS }))]
#[case::vouches_at_once(
    Defect::VouchesAtOnce,
    Scenario { crashable: vec![3, 4], ..retried(FaultBudget { crashes: 2, ..NO_FAULTS }) }
)]
#[case::replaces_running(Defect::ReplacesRunning, retried(NO_FAULTS))]
#[case::single_replica(Defect::SingleReplica, retried(NO_FAULTS))]
#[case::unrecorded_retry(Defect::UnrecordedRetry, retried(FaultBudget { refusals: 1, ..NO_FAULTS }))]
fn seeded_defects_are_found(#[case] defect: Defect, #[case] scenario: Scenario) {
    let without_defect = run(scenario.clone());

    let exploration = run(Scenario { defect, ..scenario });

    assert!(without_defect.violation.is_none());
    let path = exploration.violation.expect("the defect is found");
    let fault = path.last().and_then(|state| state.violation());
    println!("{defect:?}: {fault:?} after {} steps", path.len() - 1);
}

#[test]
fn a_retry_gets_the_first_answer() {
    let exploration = run(retried(FaultBudget {
        crashes: 1,
        ..NO_FAULTS
    }));

    let answer = Some(CallerResponse::Answer(0));
    assert!(
        exploration.responses.contains(&[answer, answer]),
        "both calls get the answer"
    );
    assert!(
        exploration.responses.contains(&[None, answer]),
        "the retry gets the answer after the first ingress crashed"
    );
    assert!(
        exploration
            .responses
            .contains(&[None, Some(CallerResponse::Answer(1))]),
        "the retry runs after a fence"
    );
}
