//! Inputs for tests.
use std::net::{Ipv4Addr, SocketAddr};

use jayrack_membership::{Input, MemberRecord, ServerRecord, core::AppliedState};
use jayrack_protocol::MemberId;

const DATA_CENTRES: [&str; 7] = ["wrecsam", "abertawe", "casnewydd", "a", "b", "c", "d"];
const START_MS: u64 = 1_700_000_000_000;

pub fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

pub fn id(index: usize) -> MemberId {
    MemberId::from_address(address(index))
}

/// The record of a daemon that starts `now_ms` after the beginning of the test.
pub fn record(index: usize, now_ms: u64) -> MemberRecord {
    let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
    MemberRecord::new(address(index), START_MS + now_ms).with_location(data_centre, "wales")
}

pub fn server(name: &str, draining: bool) -> ServerRecord {
    ServerRecord {
        name: name.to_string(),
        service: "bookings".to_string(),
        slots: 12,
        connections: 110,
        draining,
        warm_percent: 100,
    }
}

pub fn applied(version: u64) -> Input {
    Input::Applied(AppliedState {
        version,
        digest: version,
        next_offset: version + 1,
    })
}
