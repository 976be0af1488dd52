//! Crashes are detected; slow, stalled, isolated and leaving daemons cause no false positives.
mod support;

use jayrack_membership::{Input, MemberStatus};
use rstest::rstest;
use support::{FakeNetwork, address, converged, id, server, status};

/// Time within which all daemons must detect a crash.
const DETECTION_LIMIT_MS: u64 = 30_000;

fn all_report(network: &FakeNetwork, member: usize, expected: MemberStatus) -> bool {
    let statuses = network.nodes.values().map(|node| {
        let entry = node.core.view().get(id(member))?;
        Some(entry.status)
    });
    statuses.into_iter().all(|status| status == Some(expected))
}

#[rstest]
#[case(3, 1)]
#[case(10, 2)]
#[case(80, 3)]
fn all_members_detect_a_crash(#[case] size: usize, #[case] seed: u64) {
    let mut network = converged(size, seed);

    network.nodes.remove(&address(size - 1));

    let time_ms = network.run_until(DETECTION_LIMIT_MS, |network| {
        all_report(network, size - 1, MemberStatus::Dead)
    });
    assert!(time_ms.is_some());
    assert!(network.false_positives.is_empty());
}

#[test]
fn crash_is_detected_despite_packet_loss() {
    let mut network = converged(30, 4);
    network.loss_percent = 20;

    network.nodes.remove(&address(7));

    let time_ms = network.run_until(2 * DETECTION_LIMIT_MS, |network| {
        all_report(network, 7, MemberStatus::Dead)
    });
    assert!(time_ms.is_some());
}

#[rstest]
#[case::loss(20, 5, 0)]
#[case::delay(0, 250, 0)]
#[case::starvation(0, 5, 900)]
#[case::all(5, 150, 900)]
fn no_member_is_declared_dead_without_a_crash(
    #[case] loss_percent: u32,
    #[case] max_delay_ms: u32,
    #[case] max_tick_delay_ms: u32,
) {
    let mut network = converged(40, 5);
    network.loss_percent = loss_percent;
    network.max_delay_ms = max_delay_ms;
    network.max_tick_delay_ms = max_tick_delay_ms;
    network.duplicate_percent = 10;

    network.run_ms(600_000);

    assert!(network.false_positives.is_empty());
}

#[test]
fn stalled_daemon_declares_no_member_dead_after_resuming() {
    let mut network = converged(20, 6);
    network.node(3).is_stalled = true;
    network.run_ms(60_000);
    let before_resume = network.false_positives.clone();

    network.resume(3);
    network.run_ms(300);
    network
        .run_until(60_000, FakeNetwork::is_converged)
        .unwrap();

    let by_stalled = |(observer, _): &&(_, _)| *observer == address(3);
    assert_eq!(network.false_positives.iter().filter(by_stalled).count(), 0);
    assert!(before_resume.is_empty());
}

#[test]
fn fleet_recovers_after_most_daemons_stall_at_once() {
    let mut network = converged(30, 7);
    (0..25).for_each(|index| network.node(index).is_stalled = true);
    network.run_ms(120_000);

    (0..25).for_each(|index| network.resume(index));

    assert!(
        network
            .run_until(60_000, FakeNetwork::is_converged)
            .is_some()
    );
}

#[test]
fn partition_heals() {
    let mut network = converged(40, 8);
    network.partition = (0..15).map(address).collect();
    network.run_ms(180_000);
    let is_split = status(&network, 0, 39) == Some(MemberStatus::Dead)
        && status(&network, 39, 0) == Some(MemberStatus::Dead);

    network.partition.clear();

    let time_ms = network.run_until(60_000, FakeNetwork::is_converged);
    assert!(is_split);
    assert!(time_ms.is_some());
}

#[test]
fn leaving_member_is_reported_left_rather_than_dead() {
    let mut network = converged(20, 9);

    network.input(4, Input::Leave);
    let has_left = network.run_until(5_000, |network| network.nodes[&address(4)].has_left);
    network.nodes.remove(&address(4));
    let time_ms = network.run_until(10_000, |network| all_report(network, 4, MemberStatus::Left));

    assert!(has_left.is_some());
    assert!(time_ms.is_some());
}

#[test]
fn daemon_that_left_can_rejoin() {
    let mut network = converged(10, 10);
    network.input(4, Input::Leave);
    network.run_ms(10_000);

    network.start(4, &[0]);

    assert!(
        network
            .run_until(30_000, FakeNetwork::is_converged)
            .is_some()
    );
}

#[test]
fn daemon_restarted_with_an_earlier_clock_rejoins() {
    let mut network = converged(10, 11);
    network.node(4).is_stalled = true;
    network.run_ms(30_000);
    network.resume(4);
    network
        .run_until(30_000, FakeNetwork::is_converged)
        .unwrap();
    let incarnation = network.node(4).core.local().incarnation;
    let now_ms = std::mem::take(&mut network.now_ms);

    network.start(4, &[0]);
    let is_lower = network.node(4).core.local().incarnation < incarnation;
    network.now_ms = now_ms;

    assert!(is_lower);
    assert!(
        network
            .run_until(60_000, FakeNetwork::is_converged)
            .is_some()
    );
}

#[test]
fn local_changes_while_leaving_do_not_undo_the_departure() {
    let mut network = converged(10, 12);
    network.input(4, Input::Leave);
    network.run_ms(200);

    network.input(4, Input::Servers(vec![server("bookings-4", true)]));
    network.input(4, Input::Ready(true));
    network.run_ms(2_000);

    assert_eq!(status(&network, 4, 4), Some(MemberStatus::Left));
    assert!(
        network
            .run_until(10_000, |n| all_report(n, 4, MemberStatus::Left))
            .is_some()
    );
}

#[test]
fn daemon_partitioned_while_stalled_declares_no_member_dead() {
    const SILENT_MS: u64 = 25_000;
    let mut network = converged(20, 13);
    network.node(3).is_stalled = true;
    network.run_ms(60_000);
    network.partition = [address(3)].into();

    network.resume(3);
    network.run_ms(SILENT_MS);

    assert_eq!(network.node(3).dead(), []);
    network.partition.clear();
    assert!(
        network
            .run_until(60_000, FakeNetwork::is_converged)
            .is_some()
    );
}

/// The target for a change to be in force everywhere.
const TARGET_MS: u64 = 11_000;

#[rstest]
#[case(20, 180_000, 0)]
#[case(20, 180_000, 2)]
#[case(100, 20_000, 14)]
fn isolated_daemon_declares_no_member_dead_and_reconverges(
    #[case] size: usize,
    #[case] partitioned_ms: u64,
    #[case] seed: u64,
) {
    let mut network = converged(size, seed);
    network.partition = [address(0)].into();
    network.run_ms(partitioned_ms);
    let dead = network.node(0).dead();

    network.partition.clear();

    assert_eq!(dead, []);
    assert!(
        network
            .run_until(TARGET_MS, FakeNetwork::is_converged)
            .is_some()
    );
}
