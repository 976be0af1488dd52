//! Tests of the transit delay of requests between hosts.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::TransitMeter;

const SENDER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const EPOCH: u64 = 5;
/// Offset of the sender's clock, in milliseconds.
const AHEAD_MS: u64 = 70_000;
/// Time on an idle link, in milliseconds.
const FREE_MS: u64 = 2;

fn delay(meter: &mut TransitMeter, sent_ms: u64, transit_ms: u64) -> u64 {
    meter.delay_ms(sent_ms + transit_ms, SENDER, EPOCH, sent_ms + AHEAD_MS)
}

/// Guards against running nested calls whose callers have given up: copies of a configuration fill a narrow link, and
/// calls queue on it for longer than their callers wait.
#[test]
fn time_queued_on_a_full_link_is_measured_as_delay() {
    let mut meter = TransitMeter::default();
    for sent_ms in (0..8_000).step_by(500) {
        assert_eq!(delay(&mut meter, sent_ms, FREE_MS), 0);
    }

    let delayed = delay(&mut meter, 8_000, 1_050);
    let next = delay(&mut meter, 9_500, FREE_MS);

    assert_eq!(delayed, 1_050 - FREE_MS);
    assert_eq!(next, 0);
}

#[test]
fn a_link_that_is_full_for_seconds_does_not_become_the_baseline() {
    let mut meter = TransitMeter::default();
    delay(&mut meter, 0, FREE_MS);

    let delays: Vec<u64> = (9_000..18_000)
        .step_by(500)
        .map(|sent_ms| delay(&mut meter, sent_ms, 700))
        .collect();

    assert!(
        delays.iter().all(|delay| *delay == 700 - FREE_MS),
        "{delays:?}"
    );
}

#[test]
fn the_offset_of_a_clock_that_stopped_becomes_the_baseline_after_two_windows() {
    const STOPPED_MS: u64 = 4_000;
    let mut meter = TransitMeter::default();
    delay(&mut meter, 0, FREE_MS);

    let last = (5_000..40_000)
        .step_by(1_000)
        .map(|sent_ms| delay(&mut meter, sent_ms, FREE_MS + STOPPED_MS))
        .last();

    assert_eq!(last, Some(0));
}

#[test]
fn a_new_process_at_the_same_address_starts_a_new_baseline() {
    let mut meter = TransitMeter::default();
    delay(&mut meter, 10_000, FREE_MS);

    let other = meter.delay_ms(11_000, SENDER, EPOCH + 1, 30);

    assert_eq!(other, 0);
}

#[test]
fn a_difference_above_the_maximum_delay_starts_a_new_baseline() {
    let mut meter = TransitMeter::default();
    delay(&mut meter, 0, FREE_MS);

    let set = delay(&mut meter, 1_000, 60_000);

    assert_eq!(set, 0);
}
