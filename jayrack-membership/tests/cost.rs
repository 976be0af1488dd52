//! Bytes per second and daemon stay within the target and grow at most logarithmically with the
//! fleet.
mod support;

use jayrack_membership::{Input, MemberStatus};
use support::{FakeNetwork, address, applied, converged, id, server};

/// The target for all control traffic of a daemon at 760 daemons.
const TARGET_BYTES_PER_S: u64 = 4_096;
const TARGET_SIZE: usize = 760;
const SIZES: [usize; 4] = [10, 40, 160, TARGET_SIZE];
const MEASURED_S: u64 = 90;
/// The target for a change to be in force everywhere.
const ENDPOINT_LIMIT_MS: u64 = 11_000;
const CRASH_LIMIT_MS: u64 = 60_000;
/// Interval at which each daemon changes its backend server's record.
const CHURN_INTERVAL_S: u64 = 1_800;
/// Interval of configuration changes at the target of 1,900 a day.
const VERSION_INTERVAL_S: u64 = 45;

#[derive(Debug)]
struct Cost {
    size: usize,
    idle: u64,
    churn_mean: u64,
    churn_max: u64,
}

fn clear_bytes(network: &mut FakeNetwork) {
    network.nodes.values_mut().for_each(|node| node.bytes = 0);
}

fn mean(network: &FakeNetwork) -> u64 {
    let bytes: u64 = network.nodes.values().map(|node| node.bytes).sum();
    bytes / network.nodes.len() as u64 / MEASURED_S
}

/// Simulates a second in which endpoints and configuration change at their usual rate.
fn churn(network: &mut FakeNetwork, second: u64) {
    let size = network.nodes.len() as u64;
    let changed = (second * size / CHURN_INTERVAL_S)..((second + 1) * size / CHURN_INTERVAL_S);
    for index in changed {
        let name = format!("availability-wrecsam-{index}");
        let draining = second.is_multiple_of(2);
        network.input(
            index as usize,
            Input::Servers(vec![server(&name, draining)]),
        );
    }
    if second.is_multiple_of(VERSION_INTERVAL_S) {
        let version = 100 + second;
        (0..size as usize).for_each(|index| network.input(index, applied(version)));
    }
    network.run_ms(1_000);
}

fn cost(size: usize) -> Cost {
    let mut network = converged(size, 1);
    network.run_ms(20_000);
    clear_bytes(&mut network);
    network.run_ms(MEASURED_S * 1_000);
    let idle = mean(&network);
    clear_bytes(&mut network);
    (0..MEASURED_S).for_each(|second| churn(&mut network, second));
    let most = network.nodes.values().map(|node| node.bytes).max();
    Cost {
        size,
        idle,
        churn_mean: mean(&network),
        churn_max: most.unwrap_or(0) / MEASURED_S,
    }
}

#[test]
fn bytes_stay_within_the_target_and_grow_at_most_logarithmically() {
    let costs: Vec<Cost> = SIZES.into_iter().map(cost).collect();

    costs.iter().for_each(|cost| println!("{cost:?}"));
    let (smallest, largest) = (&costs[0], &costs[SIZES.len() - 1]);
    let growth = (largest.size as f64).ln() / (smallest.size as f64).ln();
    assert!(largest.churn_mean <= largest.churn_max);
    assert!(largest.churn_max <= TARGET_BYTES_PER_S, "{largest:?}");
    assert!(
        largest.idle as f64 <= smallest.idle as f64 * growth,
        "{costs:?}"
    );
}

#[test]
fn target_fleet_converges_after_endpoint_changes_crashes_and_restarts() {
    let mut network = converged(TARGET_SIZE, 2);

    network.input(7, Input::Servers(vec![server("bookings-7", true)]));
    let endpoint_ms = network.run_until(ENDPOINT_LIMIT_MS, FakeNetwork::is_converged);
    network.nodes.remove(&address(8));
    let crash_ms = network.run_until(CRASH_LIMIT_MS, |network| {
        let mut views = network.nodes.values().map(|node| node.core.view());
        views.all(|view| view.get(id(8)).unwrap().status == MemberStatus::Dead)
    });
    (100..700).for_each(|index| _ = network.nodes.remove(&address(index)));
    clear_bytes(&mut network);
    (100..700).for_each(|index| network.start(index, &[]));
    let restart_ms = network.run_until(CRASH_LIMIT_MS, FakeNetwork::is_converged);
    let most = network.nodes.values().map(|node| node.bytes).max();

    println!(
        "endpoint {endpoint_ms:?}, crash {crash_ms:?}, restart of 600 {restart_ms:?}, most bytes {most:?}"
    );
    assert!(endpoint_ms.is_some());
    assert!(crash_ms.is_some());
    assert!(restart_ms.is_some());
}
