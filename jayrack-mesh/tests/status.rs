//! Tests of the number of datagrams that a change of one host causes.
use jayrack_mesh::status::{DueInput, PeerState, ReceivedStatus, RecordOrder};

/// Interval at which a daemon checks which datagrams are due, in milliseconds.
const TICK_MS: u64 = 200;
/// Interval factor of a fleet of 300 hosts: 10 s within a data centre and 20 s between data centres.
const INTERVAL_FACTOR: u64 = 10;
const OLD: RecordOrder = (1, 1);
const NEW: RecordOrder = (1, 2);

fn input(now_ms: u64, own: RecordOrder, last_received_ms: u64) -> DueInput {
    DueInput {
        now_ms,
        own,
        last_received_ms: Some(last_received_ms),
        is_same_data_centre: false,
        interval_factor: INTERVAL_FACTOR,
    }
}

fn received(now_ms: u64, known: RecordOrder, is_newer: bool) -> ReceivedStatus {
    ReceivedStatus {
        now_ms,
        own: NEW,
        known: Some(known),
        is_newer,
        is_sender_outdated: false,
    }
}

/// Number of datagrams to a host within `time_ms` of a change at `start_ms`, the first `lost` of which are lost.
fn datagrams(state: &mut PeerState, start_ms: u64, time_ms: u64, lost: usize) -> usize {
    state.record_sent(start_ms, NEW);
    let mut sent = 1;
    for now_ms in (start_ms..start_ms + time_ms).step_by(TICK_MS as usize) {
        if sent > lost {
            // The host confirms a record that is new to it.
            state.receive(&received(now_ms, NEW, false));
        }
        if state.is_due(&input(now_ms, NEW, start_ms)) {
            state.record_sent(now_ms, NEW);
            sent += 1;
        }
    }
    sent
}

fn settled_state() -> PeerState {
    let mut state = PeerState::default();
    state.record_sent(50_000, OLD);
    state
}

/// Servers of a large fleet are replaced one after the other, and each replacement is a change.
#[test]
fn a_change_is_sent_once_to_a_host_that_confirms_it() {
    assert_eq!(datagrams(&mut settled_state(), 60_000, 10_000, 0), 1);
}

#[test]
fn a_lost_change_is_resent_soon() {
    assert_eq!(datagrams(&mut settled_state(), 60_000, 1_000, 1), 2);
}

#[test]
fn resends_to_a_silent_host_become_rarer() {
    let sent = datagrams(&mut settled_state(), 60_000, 10_000, usize::MAX);

    assert!((4..=8).contains(&sent), "{sent}");
}

#[test]
fn only_a_new_record_is_confirmed_at_once() {
    let mut state = settled_state();

    assert!(state.receive(&received(60_000, NEW, true)));
    assert!(!state.receive(&received(60_100, NEW, false)));
}

#[test]
fn a_sender_with_an_old_record_is_sent_the_new_one_unless_it_is_in_transit() {
    let mut state = settled_state();

    assert!(state.receive(&received(60_000, OLD, false)));
    state.record_sent(60_000, NEW);

    assert!(!state.receive(&received(60_010, OLD, false)));
}
