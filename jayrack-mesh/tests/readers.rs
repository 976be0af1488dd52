//! Tests of the selection of readers.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::readers::{READERS_PER_DATA_CENTRE, ReaderCandidate, is_reader};

fn fleet(size: u8) -> Vec<ReaderCandidate> {
    let candidate = |number| ReaderCandidate {
        address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)),
        link_mbps: 10,
        reaches_store: true,
    };
    (0..size).map(candidate).collect()
}

fn readers(candidates: &[ReaderCandidate]) -> Vec<IpAddr> {
    let addresses = candidates.iter().map(|candidate| candidate.address);
    addresses
        .filter(|address| is_reader(*address, candidates))
        .collect()
}

#[test]
fn the_number_of_readers_does_not_grow_with_the_fleet() {
    for size in [2, 14, 80, 250] {
        assert_eq!(readers(&fleet(size)).len(), READERS_PER_DATA_CENTRE);
    }
}

#[test]
fn readers_that_cannot_reach_the_store_are_replaced() {
    let mut candidates = fleet(14);
    let refused = readers(&candidates);
    for candidate in &mut candidates {
        candidate.reaches_store = !refused.contains(&candidate.address);
    }

    let replaced = readers(&candidates);

    assert_eq!(replaced.len(), READERS_PER_DATA_CENTRE);
    assert!(replaced.iter().all(|address| !refused.contains(address)));
}

#[test]
fn readers_remain_when_no_host_reaches_the_store() {
    let mut candidates = fleet(14);
    for candidate in &mut candidates {
        candidate.reaches_store = false;
    }

    assert_eq!(readers(&candidates).len(), READERS_PER_DATA_CENTRE);
}

#[test]
fn a_host_without_peers_is_a_reader() {
    let alone = &fleet(1)[..];

    assert_eq!(readers(alone).len(), 1);
}

#[test]
fn hosts_with_faster_links_are_preferred() {
    let mut candidates = fleet(14);
    candidates[3].link_mbps = 140;
    candidates[9].link_mbps = 140;

    let expected = [candidates[3].address, candidates[9].address];

    assert_eq!(readers(&candidates), expected);
}
