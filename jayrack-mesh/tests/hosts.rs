//! Tests of the host directory.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::{
    HostDirectory, HostRecord,
    server::{ServerPhase, ServerRecord},
};

const ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));

fn record(epoch: u64, revision: u64) -> HostRecord {
    HostRecord {
        address: ADDRESS,
        epoch,
        revision,
        data_centre: "wrecsam".to_string(),
        link_mbps: 1_000,
        forward: (ADDRESS, 1).into(),
        gossip: (ADDRESS, 2).into(),
        server: Some(ServerRecord {
            instance: "i-1".to_string(),
            born_ms: 1,
            sequence: 1,
            service: "slots".to_string(),
            slots: 12,
            phase: ServerPhase::Ready,
        }),
        is_leaving: false,
        datagram_format: 1,
    }
}

fn directory_with(record: &HostRecord) -> HostDirectory {
    let mut directory = HostDirectory::default();
    directory.merge(record);
    directory
}

#[test]
fn only_newer_records_are_merged() {
    let mut directory = directory_with(&record(2, 5));

    assert!(!directory.merge(&record(2, 5)));
    assert!(!directory.merge(&record(1, 9)));
    assert!(directory.merge(&record(2, 6)));
    assert!(directory.merge(&record(3, 0)));
}

#[test]
fn a_server_serves_its_own_service_only() {
    let record = record(1, 1);

    assert!(record.serving("slots").is_some());
    assert!(record.serving("ledger").is_none());
}

#[test]
fn a_leaving_host_serves_nothing() {
    let mut record = record(1, 1);
    record.is_leaving = true;

    assert!(record.serving("slots").is_none());
}

#[test]
fn backoff_grows_until_a_message_is_received() {
    let mut directory = directory_with(&record(1, 1));

    let first = directory.record_unreachable(0, ADDRESS);
    let second = directory.record_unreachable(0, ADDRESS);
    directory.record_received(10, ADDRESS);
    let third = directory.record_unreachable(10, ADDRESS);

    assert!(second > first);
    assert_eq!(third, first);
}

#[test]
fn a_restarted_host_is_tried_at_once() {
    let mut directory = directory_with(&record(1, 1));
    directory.record_unreachable(0, ADDRESS);

    directory.merge(&record(2, 0));

    let entry = directory.get(ADDRESS).expect("known");
    assert_eq!(entry.backoff_until_ms, 0);
}

/// Guards against false silence in a fleet so large that a host receives a datagram of each other one only every few
/// seconds.
#[test]
fn the_interval_factors_grow_with_the_fleet_and_its_data_centre() {
    let mut directory = HostDirectory::default();
    let mut factors = Vec::new();

    for number in 1..=90_u8 {
        let mut record = record(1, 1);
        record.address = IpAddr::V4(Ipv4Addr::new(10, 0, 0, number));
        record.data_centre = ["wrecsam", "abertawe"][usize::from(number % 2)].to_string();
        directory.merge(&record);
        let of_fleet = directory.interval_factors("wrecsam");
        factors.push((of_fleet.of(true), of_fleet.of(false)));
    }

    assert_eq!(
        (factors[13], factors[59], factors[89]),
        ((1, 1), (2, 2), (3, 3))
    );
}
