//! Tests of orders whose positions in the store change, since the store has come back from a copy.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::{
    RolloutBook,
    era::{LogPosition, StoreEra},
    rollout::{
        ExposureBounds, RolloutOrder, RolloutPhase, book::OrderSource, phase::LeaderStep,
        versions::VersionedServer,
    },
};
use rstest::rstest;

const SERVICE: &str = "slots";
const HOSTS: usize = 2;
const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};

/// An order at the position of the given era and offset.
fn order(target_version: &str, (era, offset): (u64, u64)) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_string(),
        target_version: target_version.to_string(),
        duration_ms: 12_000,
        position: LogPosition {
            era: Some(StoreEra::from_number(era)),
            offset,
        },
    }
}

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

/// A book of a daemon that knows servers of `v1` and `v2`, in era 1.
fn book() -> RolloutBook {
    let server = |number, version| VersionedServer {
        address: address(number),
        service: SERVICE,
        version,
        born_ms: u64::from(number),
    };
    let mut book = RolloutBook::new(Some(BOUNDS), 1);
    book.observe_era(0, Some(StoreEra::from_number(1)));
    book.observe_servers(0, &[server(1, "v1"), server(2, "v2")], true);
    book
}

/// A book in which the roll-out of `v2`, ordered at offset 7 of era 1, has ended with `phase`.
fn book_after(phase: RolloutPhase) -> RolloutBook {
    let mut book = book();
    let order = order("v2", (1, 7));
    book.add_order(0, order.clone(), OrderSource::Change, HOSTS);
    book.enter(1_000, &order, phase);
    book
}

fn phase(book: &RolloutBook) -> RolloutPhase {
    book.rollout(SERVICE).unwrap().1
}

/// Guards against a version that was judged bad and gets requests again: the store has lost its order, and the operator
/// writes it again at another offset.
#[rstest]
#[case::lower(5)]
#[case::the_same(7)]
#[case::higher(9)]
fn an_order_that_is_written_again_keeps_its_verdict(
    #[case] offset: u64,
    #[values(OrderSource::Change, OrderSource::Newest)] source: OrderSource,
) {
    let mut book = book_after(RolloutPhase::RolledBack);

    let is_new = book.add_order(2_000, order("v2", (2, offset)), source, HOSTS);

    assert!(!is_new);
    assert_eq!(phase(&book), RolloutPhase::RolledBack);
    assert!(!book.admits(SERVICE, "v2"));
}

/// Guards against an order that never starts since the offset was given to another one in an earlier era.
#[rstest]
#[case::lower(5)]
#[case::the_same(7)]
#[case::higher(9)]
fn a_new_order_starts_at_whatever_offset(#[case] offset: u64) {
    let mut book = book_after(RolloutPhase::Completed);

    let is_new = book.add_order(2_000, order("v3", (2, offset)), OrderSource::Change, HOSTS);

    assert!(is_new);
    assert_eq!(phase(&book), RolloutPhase::Canary);
}

/// Guards against the order before the latest one, which the store shows until the operator has written that again.
#[test]
fn a_kept_earlier_order_does_not_replace_a_lost_one() {
    let mut book = book_after(RolloutPhase::RolledBack);
    let lost = order("v3", (1, 9));
    book.add_order(2_000, lost.clone(), OrderSource::Change, HOSTS);

    let is_kept_new = book.add_order(3_000, order("v2", (2, 7)), OrderSource::Newest, HOSTS);
    let is_again_new = book.add_order(4_000, order("v3", (2, 8)), OrderSource::Change, HOSTS);

    assert!(!is_kept_new && !is_again_new);
    let (known, phase) = book.rollout(SERVICE).unwrap();
    assert_eq!(known.target_version, lost.target_version);
    assert_eq!(phase, RolloutPhase::Canary);
}

/// Guards against an operator who cannot try a version again: within an era, a later record is another order.
#[test]
fn an_order_that_is_repeated_within_an_era_starts_anew() {
    let mut book = book_after(RolloutPhase::RolledBack);
    book.add_order(2_000, order("v2", (2, 4)), OrderSource::Newest, HOSTS);

    let is_new = book.add_order(3_000, order("v2", (2, 6)), OrderSource::Change, HOSTS);

    assert!(is_new);
    assert_eq!(phase(&book), RolloutPhase::Canary);
}

/// Guards against daemons of which some know the later position only and others the earlier one.
#[rstest]
#[case::sender_knows_the_later(2, 1)]
#[case::receiver_knows_the_later(1, 2)]
fn daemons_that_know_an_order_at_different_positions_agree(
    #[case] sender_era: u64,
    #[case] receiver_era: u64,
) {
    let mut sender = book();
    let known = order("v2", (sender_era, 7));
    sender.add_order(0, known.clone(), OrderSource::Change, HOSTS);
    sender.enter(1_000, &known, RolloutPhase::RollingBack);
    let status = sender.statuses(1_000).remove(0);
    let mut receiver = book();
    let known = order("v2", (receiver_era, 5));
    receiver.add_order(0, known, OrderSource::Change, HOSTS);

    let effect = receiver.merge(1_100, address(2), &status, HOSTS);

    assert!(effect.is_changed && !effect.is_sender_behind);
    assert_eq!(phase(&receiver), RolloutPhase::RollingBack);
}

/// Guards against an operator who reads an older state than the one that was recorded.
#[rstest]
#[case(RolloutPhase::Completed)]
#[case(RolloutPhase::RolledBack)]
fn a_final_state_is_restored_once_after_a_return(#[case] end: RolloutPhase) {
    let mut book = book_after(end);
    let step = |book: &RolloutBook, rank| book.view(9_000, SERVICE, rank, &[]).unwrap().step();
    assert_eq!(step(&book, 0), LeaderStep::Wait);

    book.observe_era(5_000, Some(StoreEra::from_number(2)));

    assert_eq!(book.lost_states(), [SERVICE]);
    assert_eq!(step(&book, 0), LeaderStep::RestoreState);
    assert_eq!(step(&book, 1), LeaderStep::RestoreState);
    assert_eq!(step(&book, 2), LeaderStep::Wait);
    book.set_state_restored(&order("v2", (1, 7)));
    assert_eq!(step(&book, 0), LeaderStep::Wait);
    assert!(book.lost_states().is_empty());
}

/// Guards against an operator who sees no state of a roll-out that goes on.
#[test]
fn the_state_of_a_running_roll_out_is_recorded_again_after_a_return() {
    let mut book = book();
    let order = order("v2", (1, 7));
    book.add_order(0, order.clone(), OrderSource::Change, HOSTS);
    book.set_recorded(&order);
    let step = |book: &RolloutBook| book.view(2_000, SERVICE, 0, &[]).unwrap().step();
    assert_eq!(step(&book), LeaderStep::Wait);

    book.observe_era(1_500, Some(StoreEra::from_number(2)));

    assert_eq!(step(&book), LeaderStep::RecordRunning);
}

#[test]
fn a_store_that_states_no_eras_loses_no_states() {
    let mut book = RolloutBook::new(Some(BOUNDS), 1);
    let order = RolloutOrder {
        position: LogPosition::default(),
        ..order("v2", (0, 0))
    };
    book.add_order(0, order.clone(), OrderSource::Change, HOSTS);
    book.enter(1_000, &order, RolloutPhase::Completed);

    book.observe_era(2_000, None);

    assert!(book.lost_states().is_empty());
}
