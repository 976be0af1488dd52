//! Records, endpoints, applied versions and minimum versions reach all daemons.
mod support;

use std::collections::BTreeMap;

use jayrack_membership::{Input, MemberRecord, in_force};
use jayrack_protocol::MemberId;
use proptest::prelude::*;
use rstest::rstest;
use support::{FakeNetwork, address, applied, converged, id, server, started};

#[rstest]
#[case(2, 1)]
#[case(10, 2)]
#[case(80, 3)]
fn daemons_started_together_discover_each_other(#[case] size: usize, #[case] seed: u64) {
    let mut network = started(size, seed);

    let time_ms = network.run_until(30_000, FakeNetwork::is_converged);

    assert!(time_ms.is_some());
    assert!(network.false_positives.is_empty());
}

#[test]
fn daemon_without_seeds_requests_contacts() {
    let mut network = FakeNetwork::new(4);
    network.start(0, &[]);

    network.run_ms(20_000);

    assert!(network.node(0).contact_requests > 0);
}

#[test]
fn survivors_rediscover_members_restarted_at_their_addresses() {
    let mut network = converged(60, 5);
    (5..60).for_each(|index| _ = network.nodes.remove(&address(index)));
    network.run_ms(120_000);

    (5..60).for_each(|index| network.start(index, &[]));

    let time_ms = network.run_until(60_000, FakeNetwork::is_converged);
    assert!(time_ms.is_some());
}

#[test]
fn changed_endpoints_reach_all_within_the_target() {
    let mut network = converged(80, 6);
    network.loss_percent = 5;
    for index in 0..10 {
        let name = format!("bookings-{index}");
        network.input(index, Input::Servers(vec![server(&name, false)]));
    }
    network.run_ms(500);

    network.input(3, Input::Servers(vec![server("bookings-3", true)]));

    let time_ms = network.run_until(11_000, FakeNetwork::is_converged);
    assert!(time_ms.is_some());
}

#[test]
fn oversized_server_list_is_truncated_to_one_datagram() {
    let mut network = converged(5, 7);
    let servers = (0..200).map(|index| server(&format!("bookings-{index}"), false));

    network.input(0, Input::Servers(servers.collect()));

    let time_ms = network.run_until(11_000, FakeNetwork::is_converged);
    assert!(time_ms.is_some());
    assert!(!network.node(0).core.local().servers.is_empty());
}

#[test]
fn applied_versions_are_known_everywhere() {
    let mut network = converged(80, 8);
    let everywhere = |network: &FakeNetwork, on: usize| {
        let mut views = network.nodes.values().map(|node| node.core.view());
        views.all(|view| in_force(view, 7).on == on)
    };

    (0..79).for_each(|index| network.input(index, applied(7)));
    let nearly = network.run_until(60_000, |network| everywhere(network, 79));
    let report = in_force(network.node(5).core.view(), 7);
    network.input(79, applied(7));
    let fully = network.run_until(60_000, |network| everywhere(network, 80));

    assert!(nearly.is_some());
    assert!(fully.is_some());
    assert_eq!((report.on, report.of), (79, 80));
    assert_eq!(report.behind, [id(79)]);
    let minima: Vec<u64> = report.data_centre_minimum.into_values().collect();
    assert_eq!(minima.iter().filter(|version| **version == 0).count(), 1);
}

#[test]
fn restarted_daemon_receives_the_minimum_version_of_its_address() {
    let mut network = converged(10, 9);
    network.input(4, applied(42));
    network.run_ms(5_000);
    network.nodes.remove(&address(4));
    network.run_ms(120_000);

    network.start(4, &[0]);
    network.run_ms(5_000);

    assert_eq!(network.node(4).minimum_versions.last(), Some(&42));
    let entry = network.node(0).core.view().get(id(4)).unwrap();
    assert_eq!((entry.applied_version, entry.minimum_version), (0, 42));
    let report = in_force(network.node(0).core.view(), 42);
    assert!(report.behind.contains(&id(4)));
}

/// One step of a random history.
#[derive(Debug, Clone)]
enum Step {
    Crash(usize),
    Start(usize),
    Servers(usize, bool),
    Stall(usize),
    Resume(usize),
    Partition(usize),
}

fn step(size: usize) -> impl Strategy<Value = Step> {
    let index = 1..size;
    prop_oneof![
        index.clone().prop_map(Step::Crash),
        index.clone().prop_map(Step::Start),
        (0..size, any::<bool>()).prop_map(|(index, draining)| Step::Servers(index, draining)),
        index.clone().prop_map(Step::Stall),
        index.clone().prop_map(Step::Resume),
        index.prop_map(Step::Partition),
    ]
}

fn take(network: &mut FakeNetwork, step: &Step) {
    let is_running = |network: &FakeNetwork, index: usize| {
        let node = network.nodes.get(&address(index));
        node.is_some_and(|node| !node.is_stalled)
    };
    match *step {
        Step::Crash(index) => _ = network.nodes.remove(&address(index)),
        Step::Start(index) if !network.nodes.contains_key(&address(index)) => {
            network.start(index, &[0])
        }
        Step::Servers(index, draining) if is_running(network, index) => {
            let servers = vec![server(&format!("bookings-{index}"), draining)];
            network.input(index, Input::Servers(servers));
        }
        Step::Stall(index) if is_running(network, index) => network.node(index).is_stalled = true,
        Step::Resume(index) if network.nodes.contains_key(&address(index)) => network.resume(index),
        Step::Partition(index) => network.partition = (0..index).map(address).collect(),
        _ => {}
    }
}

/// The view expected of every daemon, built from the local records of all daemons.
fn reference_view(network: &FakeNetwork) -> BTreeMap<MemberId, MemberRecord> {
    let records = network.nodes.values().map(|node| node.core.local().clone());
    records.map(|record| (record.id, record)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn views_converge_to_the_reference_view(
        seed: u64,
        history in proptest::collection::vec((step(16), 0u64..15_000), 1..20),
    ) {
        let mut network = converged(16, seed);
        network.loss_percent = 5;
        for (step, time_ms) in &history {
            take(&mut network, step);
            network.run_ms(*time_ms);
        }
        network.partition.clear();
        (0..16).for_each(|index| take(&mut network, &Step::Resume(index)));

        network.loss_percent = 0;
        network.run_ms(180_000);

        let expected = reference_view(&network);
        for node in network.nodes.values() {
            let alive = node.alive().into_iter().cloned();
            let view: BTreeMap<_, _> = alive.map(|record| (record.id, record)).collect();
            prop_assert_eq!(&view, &expected);
        }
    }
}
