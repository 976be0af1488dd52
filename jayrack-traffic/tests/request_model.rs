//! Model checking of a non-idempotent request, its repeat and their fences.
//!
//! A search stops after [`MAX_STATES`] states; larger spaces are searched up to the depth printed.
mod support {
    pub mod world;
}

use rstest::rstest;
use support::world::{Budget, Defect, Exploration, Scenario, Told, explore};

const MAX_STATES: usize = 200_000;
const NO_FAULTS: Budget = Budget {
    duplicates: 0,
    crashes: 0,
    refusals: 0,
    notices: 0,
    ticks: 0,
};

/// One request; its ingress, the owners and the homes may crash.
fn single(budget: Budget) -> Scenario {
    Scenario {
        budget,
        defect: Defect::None,
        calls: 1,
        crashing: vec![2, 3],
        order: [2, 3, 4, 0, 1],
        suspected: [None, None],
        joined: None,
        differs: false,
        is_late: false,
    }
}

/// A request and a repeat that may cross it.
fn crossed(budget: Budget) -> Scenario {
    Scenario {
        calls: 2,
        ..single(budget)
    }
}

/// A request and a repeat that comes after the homes let the first through.
fn repeated(budget: Budget) -> Scenario {
    Scenario {
        calls: 2,
        is_late: true,
        crashing: vec![0, 2],
        ..single(budget)
    }
}

fn run(scenario: Scenario) -> Exploration {
    let name = format!("{scenario:?}");
    let exploration = explore(scenario, MAX_STATES);
    let extent = if exploration.is_whole {
        "whole"
    } else {
        "stopped"
    };
    let (states, depth) = (exploration.states, exploration.depth);
    println!("{states} states, depth {depth}, {extent}: {name}");
    exploration
}

#[rstest]
#[case::one(single(NO_FAULTS))]
#[case::one_lost(single(Budget { notices: 2, ..NO_FAULTS }))]
#[case::one_lost_and_crashed(single(Budget { notices: 1, crashes: 1, ..NO_FAULTS }))]
#[case::one_duplicated(single(Budget { duplicates: 1, refusals: 1, notices: 1, ..NO_FAULTS }))]
#[case::one_paused(single(Budget { ticks: 2, crashes: 1, ..NO_FAULTS }))]
#[case::crossed(crossed(NO_FAULTS))]
#[case::crossed_lost(crossed(Budget { notices: 1, ..NO_FAULTS }))]
#[case::crossed_crashed(crossed(Budget { crashes: 1, ..NO_FAULTS }))]
#[case::crossed_refused(crossed(Budget { refusals: 1, ..NO_FAULTS }))]
#[case::crossed_paused(crossed(Budget { ticks: 1, ..NO_FAULTS }))]
#[case::repeated(repeated(NO_FAULTS))]
#[case::repeated_lost(repeated(Budget { notices: 1, ..NO_FAULTS }))]
#[case::repeated_crashed(repeated(Budget { crashes: 1, ..NO_FAULTS }))]
#[case::repeated_refused(repeated(Budget { refusals: 1, ..NO_FAULTS }))]
#[case::repeated_duplicated(repeated(Budget { duplicates: 1, refusals: 1, ..NO_FAULTS }))]
#[case::repeated_paused(repeated(Budget { ticks: 2, ..NO_FAULTS }))]
#[case::repeated_paused_crashed(repeated(Budget { ticks: 1, crashes: 1, ..NO_FAULTS }))]
#[case::replicas_crashed(Scenario { crashing: vec![3, 4], ..repeated(Budget { crashes: 2, ..NO_FAULTS }) })]
#[case::replicas_suspected(Scenario {
    suspected: [Some(3), Some(4)],
    ..crossed(Budget { notices: 1, ..NO_FAULTS })
})]
#[case::replicas_suspected_late(Scenario {
    suspected: [Some(3), Some(4)],
    ..repeated(Budget { refusals: 1, ..NO_FAULTS })
})]
#[case::replica_joined(Scenario { joined: Some((2, [true, false])), ..crossed(NO_FAULTS) })]
#[case::replica_joined_late(Scenario {
    joined: Some((2, [false, true])),
    ..repeated(Budget { notices: 1, ..NO_FAULTS })
})]
#[case::replica_joined_refused(Scenario {
    joined: Some((3, [true, false])),
    ..repeated(Budget { refusals: 1, ..NO_FAULTS })
})]
#[case::replica_joined_and_suspected(Scenario {
    joined: Some((2, [false, true])),
    suspected: [Some(3), None],
    ..repeated(Budget { refusals: 1, ..NO_FAULTS })
})]
#[case::suspected_and_crashed(Scenario {
    suspected: [None, Some(4)],
    ..repeated(Budget { crashes: 1, ..NO_FAULTS })
})]
#[case::other_request(Scenario { differs: true, ..crossed(NO_FAULTS) })]
fn promises_hold(#[case] scenario: Scenario) {
    let exploration = run(scenario);

    let path = exploration.violation.unwrap_or_default();
    let fault = path.last().and_then(|world| world.violation());
    assert!(
        fault.is_none(),
        "{fault:?} after {} steps: {:#?}",
        path.len() - 1,
        path.last()
    );
}

#[rstest]
#[case::lost_is_not_sent(Defect::LostIsNotSent, single(Budget { notices: 1, ..NO_FAULTS }))]
#[case::no_horizon(Defect::NoHorizon, single(Budget { notices: 1, crashes: 1, ..NO_FAULTS }))]
#[case::vouches_at_once(
    Defect::VouchesAtOnce,
    Scenario { crashing: vec![3, 4], ..repeated(Budget { crashes: 2, ..NO_FAULTS }) }
)]
#[case::replaces_running(Defect::ReplacesRunning, repeated(NO_FAULTS))]
#[case::single_replica(Defect::SingleReplica, repeated(NO_FAULTS))]
#[case::unrecorded_retry(Defect::UnrecordedRetry, repeated(Budget { refusals: 1, ..NO_FAULTS }))]
fn seeded_defects_are_found(#[case] defect: Defect, #[case] scenario: Scenario) {
    let sound = run(scenario.clone());

    let exploration = run(Scenario { defect, ..scenario });

    assert!(sound.violation.is_none());
    let path = exploration.violation.expect("the defect is found");
    let fault = path.last().and_then(|world| world.violation());
    println!("{defect:?}: {fault:?} after {} steps", path.len() - 1);
}

#[test]
fn a_repeat_is_told_the_first_answer() {
    let exploration = run(repeated(Budget {
        crashes: 1,
        ..NO_FAULTS
    }));

    let answer = Some(Told::Answer(0));
    assert!(exploration.told.contains(&[answer, answer]), "told twice");
    assert!(
        exploration.told.contains(&[None, answer]),
        "told after the first ingress crashed"
    );
    assert!(
        exploration.told.contains(&[None, Some(Told::Answer(1))]),
        "run after a fence"
    );
}
