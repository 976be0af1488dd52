//! Breadth-first search over the real state machines: one outcome for each plan, and no falling version.
mod support;

use pathfinding::prelude::bfs;
use rstest::rstest;
use support::world::{Defect, Faults, NODES, World};

/// No faults except lost answers, late appends and reordering, which are always possible.
const NO_FAULTS: Faults = Faults {
    crashes: 0,
    log_failures: 0,
    expiries: 0,
    losses: 0,
    duplicates: 0,
    clock_steps: 0,
    digests: 0,
    readers_crash: false,
    operators: 2,
};

/// Number of states after which a search is cut short.
const STATE_LIMIT: usize = 150_000;

/// Extent of a search, in numbers of states and in steps.
#[derive(Debug, Default)]
struct Coverage {
    states: usize,
    depth: usize,
    settled: usize,
    recovered: usize,
}

/// Searches all histories up to `depth` steps; returns the shortest one that breaks an invariant.
fn search(faults: Faults, defect: Option<Defect>, depth: usize) -> (Coverage, Option<Vec<String>>) {
    let mut coverage = Coverage::default();
    let successors = |world: &World| {
        coverage.states += 1;
        coverage.depth = coverage.depth.max(world.depth);
        coverage.settled += usize::from(world.is_settled() && world.depth > 0);
        coverage.recovered += usize::from(world.is_recovered());
        match world.depth < depth && coverage.states <= STATE_LIMIT {
            true => world.successors(),
            false => Vec::new(),
        }
    };
    let path = bfs(&World::new(faults, defect), successors, |world| {
        world.violation.is_some()
    });
    let labels = |path: Vec<World>| {
        let last = path.last().and_then(|world| world.violation.clone());
        path.into_iter()
            .map(|world| world.label)
            .chain(last)
            .collect()
    };
    (coverage, path.map(labels))
}

#[rstest]
#[case::operators_race("race", NO_FAULTS, 9)]
#[case::network("network", Faults { losses: 1, duplicates: 1, digests: 1, ..NO_FAULTS }, 6)]
#[case::any_daemon_crashes("crash", Faults { crashes: 1, digests: 1, readers_crash: true, ..NO_FAULTS }, 7)]
#[case::log_fails("log failure", Faults { crashes: 1, log_failures: 2, clock_steps: 2, digests: 1, ..NO_FAULTS }, 7)]
#[case::records_expire("expiry", Faults { expiries: 1, crashes: 1, clock_steps: 2, ..NO_FAULTS }, 7)]
#[case::restart_without_log(
    "restart without the log",
    Faults { crashes: 1, log_failures: 1, operators: 1, ..NO_FAULTS },
    9
)]
#[case::restart_after_expiry(
    "restart after expiry",
    Faults { crashes: 1, expiries: 1, operators: 1, ..NO_FAULTS },
    8
)]
fn invariants_hold(#[case] name: &str, #[case] faults: Faults, #[case] depth: usize) {
    let (coverage, path) = search(faults, None, depth);

    assert!(coverage.states <= STATE_LIMIT, "the search was cut short");
    println!(
        "model {name}: {NODES} daemons, {} states, depth {}, {} settled, {} recovered",
        coverage.states, coverage.depth, coverage.settled, coverage.recovered
    );
    assert_eq!(path, None);
}

#[rstest]
#[case::arrival_order(Defect::ArrivalOrder, NO_FAULTS, 9)]
#[case::accepts_lower(Defect::AcceptsLower, Faults { digests: 1, ..NO_FAULTS }, 6)]
#[case::one_confirming_peer(Defect::OneConfirmingPeer, Faults { crashes: 1, log_failures: 1, operators: 1, ..NO_FAULTS }, 9)]
#[case::serves_unready(Defect::ServesUnready, Faults { crashes: 1, ..NO_FAULTS }, 6)]
#[case::lost_is_failed(Defect::LostIsFailed, NO_FAULTS, 6)]
#[case::drop_unfolded(Defect::DropUnfolded, NO_FAULTS, 6)]
fn seeded_defect_is_found(#[case] defect: Defect, #[case] faults: Faults, #[case] depth: usize) {
    let (coverage, path) = search(faults, Some(defect), depth);

    let path = path.expect("the model finds the defect");
    println!(
        "model with {defect:?}: {} states, {} steps: {path:#?}",
        coverage.states,
        path.len() - 2
    );
}
