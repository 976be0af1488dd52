//! Accounting of the byte budget.
use jayrack_mesh::memory::{
    Admission, BudgetSizes, ConnectionCost, MemoryBudget, Room, SMALL_BYTES,
    connections::{ClientKind, ConnectionPhase},
};
use proptest::prelude::*;
use rstest::rstest;

const TOTAL_BYTES: u64 = 1 << 20;
const RESERVE_BYTES: u64 = 256 << 10;
const LARGE_BYTES: u64 = TOTAL_BYTES - RESERVE_BYTES;
/// Longer than the time after which a body counts as stalled.
const LATER_MS: u64 = 10_000;
/// A segment of a body with its bookkeeping, in bytes.
const SEGMENT_BYTES: u64 = (64 << 10) + 128;
/// More connections than the budget has room for.
const MAX_CONNECTIONS: u64 = 1_000;

fn budget() -> MemoryBudget {
    let sizes = BudgetSizes {
        total_bytes: TOTAL_BYTES,
        reserve_bytes: RESERVE_BYTES,
        waiting_bytes: 0,
        small_listener_bytes: 0,
    };
    MemoryBudget::new(sizes, MAX_CONNECTIONS)
}

/// Guards against a host of the smallest size that has no room for the largest legal body.
#[rstest]
#[case(Some(88))]
#[case(Some(160))]
#[case(None)]
fn the_largest_legal_body_fits(#[case] memory_mb: Option<u64>) {
    let sizes = BudgetSizes::for_host(memory_mb);

    assert!(sizes.largest_bytes() >= 64 << 20);
    assert!(memory_mb.is_none_or(|memory_mb| sizes.total_bytes < memory_mb << 20));
}

/// Guards against large bodies that shut out ordinary requests.
#[test]
fn large_holdings_leave_the_reserve_to_small_ones() {
    let mut budget = budget();
    let large = budget.open();
    let small = budget.open();

    let all = budget.grow(large, 0, LARGE_BYTES);
    let more = budget.grow(large, 0, 1);
    let ordinary = budget.grow(small, 0, SMALL_BYTES);

    assert_eq!(all, Room::Granted);
    assert_eq!(more, Room::Refused);
    assert_eq!(ordinary, Room::Granted);
}

/// Guards against bodies that stop short of their end and keep newcomers out.
#[test]
fn the_body_that_stalled_first_gives_way() {
    let mut budget = budget();
    let [first, second, newcomer] = [budget.open(), budget.open(), budget.open()];
    for (id, at_ms) in [(first, 5), (second, 1)] {
        assert_eq!(budget.grow(id, at_ms, LARGE_BYTES / 2), Room::Granted);
        budget.record_received(id, at_ms, LARGE_BYTES / 2);
    }

    let asked = budget.grow(newcomer, LATER_MS, LARGE_BYTES / 2);
    budget.close(second);
    budget.record_returned();
    let asked_again = budget.grow(newcomer, LATER_MS, LARGE_BYTES / 2);

    assert_eq!(asked, Room::GivesWay(second));
    assert_eq!(asked_again, Room::Granted);
}

/// Guards against complete bodies that are taken from requests that run.
#[test]
fn a_complete_body_does_not_give_way() {
    let mut budget = budget();
    let [complete, newcomer] = [budget.open(), budget.open()];
    budget.grow(complete, 0, LARGE_BYTES);
    budget.record_received(complete, 0, LARGE_BYTES);
    budget.record_complete(complete);

    let asked = budget.grow(newcomer, LATER_MS, LARGE_BYTES);

    assert_eq!(asked, Room::Refused);
}

/// Guards against connections that leave no room for bodies.
#[test]
fn connections_use_half_of_the_budget_at_most() {
    let mut budget = budget();

    let mut opened_bytes = 0;
    for kind in [ClientKind::Caller, ClientKind::Daemon] {
        let cost = ConnectionCost::of(kind);
        while let Admission::Admitted(id) = budget.open_connection(kind, cost, 0) {
            opened_bytes += cost.bytes();
            budget.enter_phase(id, ConnectionPhase::Running, 0);
        }
    }

    let last_bytes = ConnectionCost::of(ClientKind::Daemon).bytes();
    assert!(opened_bytes <= TOTAL_BYTES / 2);
    assert!(opened_bytes + last_bytes > TOTAL_BYTES / 2);
    assert_eq!(budget.taken_bytes(), opened_bytes);
}

/// Guards against a host that has room for the largest legal body only while nobody is connected.
#[test]
fn the_largest_legal_body_fits_beside_connections() {
    let sizes = BudgetSizes::for_host(Some(88));
    let mut budget = MemoryBudget::new(sizes, MAX_CONNECTIONS);
    for kind in [ClientKind::Caller, ClientKind::Daemon] {
        for _ in 0..5 {
            let admission = budget.open_connection(kind, ConnectionCost::of(kind), 0);
            assert!(matches!(admission, Admission::Admitted(_)));
        }
    }
    let body = budget.open();

    let segments = (0..1_024).all(|_| budget.grow(body, 0, SEGMENT_BYTES) == Room::Granted);

    assert!(segments);
}

/// Guards against small bodies that trickle and use up the room of ordinary requests.
#[test]
fn slow_bodies_give_way_to_one_that_has_just_begun() {
    let mut budget = budget();
    let slow: Vec<_> = (0..TOTAL_BYTES / SMALL_BYTES)
        .map(|_| budget.open())
        .collect();
    for (index, id) in slow.iter().enumerate() {
        assert_eq!(budget.grow(*id, 0, SMALL_BYTES), Room::Granted);
        trickle(&mut budget, *id, index as u64 + 1);
    }
    let ordinary = budget.open();
    budget.record_received(ordinary, LATER_MS, 0);

    let asked = budget.grow(ordinary, LATER_MS, SMALL_BYTES);

    assert_eq!(asked, Room::GivesWay(slow[0]));
}

/// Guards against bodies on slow links, or as fast as others, that are refused for a newcomer.
#[test]
fn a_body_does_not_give_way_to_one_that_is_as_fast() {
    let mut budget = budget();
    let [first, second] = [budget.open(), budget.open()];
    for id in [first, second] {
        assert_eq!(budget.grow(id, 0, LARGE_BYTES / 2), Room::Granted);
        trickle(&mut budget, id, 1_250);
    }
    let newcomer = budget.open();
    budget.record_received(newcomer, LATER_MS, 0);

    let grown = budget.grow(first, LATER_MS, SEGMENT_BYTES);
    let begun = budget.grow(newcomer, LATER_MS, LARGE_BYTES / 2);

    assert_eq!(grown, Room::Refused);
    assert_eq!(begun, Room::Refused);
}

/// Guards against an order in which callers lose more than they must.
#[test]
fn connections_give_way_by_what_they_do() {
    let mut budget = budget();
    let kind = ClientKind::Caller;
    let cost = ConnectionCost::of(kind);
    let mut open = |phase| {
        let Admission::Admitted(id) = budget.open_connection(kind, cost, 0) else {
            panic!("no place");
        };
        budget.enter_phase(id, phase, 0);
        (id, phase)
    };
    use ConnectionPhase::{Discarding, Idle, Receiving, Running, Sending};
    let opened = [Running, Sending, Receiving, Idle, Discarding].map(&mut open);
    let order = [Discarding, Idle, Receiving, Sending];

    for expected in order {
        let chosen = budget.make_place(kind, cost, LATER_MS).unwrap();
        budget.close_connection(chosen, cost);
        let (_, phase) = opened.iter().find(|(id, _)| *id == chosen).unwrap();
        assert_eq!(*phase, expected);
    }
    assert_eq!(budget.make_place(kind, cost, LATER_MS), None);
}

/// Lets a body receive `bytes_per_ms` up to [`LATER_MS`].
fn trickle(budget: &mut MemoryBudget, id: u64, bytes_per_ms: u64) {
    for at_ms in LATER_MS - 1_000..=LATER_MS {
        budget.record_received(id, at_ms, bytes_per_ms);
    }
}

proptest! {
    /// Guards against bytes that are lost or counted twice when holdings grow and close in any order.
    #[test]
    fn taken_bytes_are_those_of_the_open_holdings(steps in prop::collection::vec((0_usize..8, 0_u64..200_000, any::<bool>()), 1..200)) {
        let mut budget = budget();
        let mut held: Vec<(u64, u64)> = (0..8).map(|_| (budget.open(), 0)).collect();
        for (index, bytes, is_closed) in steps {
            if is_closed {
                budget.close(held[index].0);
                held[index] = (budget.open(), 0);
            } else if budget.grow(held[index].0, 0, bytes) == Room::Granted {
                held[index].1 += bytes;
            }
            let taken: u64 = held.iter().map(|(_, bytes)| bytes).sum();
            prop_assert_eq!(budget.taken_bytes(), taken);
            prop_assert!(taken <= TOTAL_BYTES);
        }
        for (id, _) in held {
            budget.close(id);
        }
        prop_assert_eq!(budget.taken_bytes(), 0);
    }
}
