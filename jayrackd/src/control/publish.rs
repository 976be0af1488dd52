//! State that the control thread publishes: the route table, the peers and this daemon's own record.
use std::{net::SocketAddr, sync::Arc};

use jayrack_config::{
    fold::ConfigState,
    sync::FleetMember,
    table::{RouteTable, ServerEntry},
};
use jayrack_membership::{MemberEntry, MemberRecord, MemberStatus, MemberView, ServerRecord};
use jayrack_protocol::MemberId;

use crate::shared::{LocalServer, PeerEntry, SharedState};

/// Builds the route table from the configuration and the membership view and puts it in force.
///
/// A table with a lower version than the one in force is discarded.
pub fn publish_table(shared: &SharedState, state: &ConfigState, view: &MemberView) {
    let table = RouteTable::build(state, &server_entries(view));
    if table.version >= shared.table.load().version {
        shared.table.store(Arc::new(table));
    }
}

/// Backend servers of all members that are running and ready.
pub fn server_entries(view: &MemberView) -> Vec<ServerEntry> {
    view.running()
        .filter(|entry| entry.record.ready)
        .flat_map(|entry| {
            entry
                .record
                .servers
                .iter()
                .map(|server| server_entry(&entry.record, server))
        })
        .collect()
}

fn server_entry(member: &MemberRecord, server: &ServerRecord) -> ServerEntry {
    ServerEntry {
        name: server.name.clone(),
        service: server.service.clone(),
        owner: member.id,
        forward_address: member.forward_address,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        slots: server.slots,
        connections: server.connections,
        draining: server.draining,
        warm_percent: server.warm_percent,
    }
}

/// Publishes the daemons of `view`; the entries published before supply since when each has been
/// running.
pub fn publish_peers(shared: &SharedState, view: &MemberView) {
    let earlier = shared.peers.load();
    let peers = view
        .members
        .values()
        .map(|entry| peer_entry(entry, &earlier))
        .collect();
    shared.peers.store(Arc::new(peers));
}

fn peer_entry(entry: &MemberEntry, earlier: &[PeerEntry]) -> PeerEntry {
    let record = &entry.record;
    let is_alive = entry.status.is_running();
    let known = earlier.iter().find(|peer| peer.id == record.id);
    let alive_since_ms = match known {
        Some(peer) if peer.is_alive || !is_alive => peer.alive_since_ms,
        _ => entry.since_ms,
    };
    PeerEntry {
        id: record.id,
        forward_address: record.forward_address,
        data_centre: record.data_centre.clone(),
        region: record.region.clone(),
        is_alive,
        alive_since_ms,
        dead_since_ms: (!is_alive).then_some(entry.since_ms),
        has_left: entry.status == MemberStatus::Left,
    }
}

/// Running members in the form that configuration distribution uses.
pub fn fleet_members(view: &MemberView) -> Vec<FleetMember> {
    view.running()
        .map(|entry| FleetMember {
            id: entry.record.id,
            data_centre: entry.record.data_centre.clone(),
        })
        .collect()
}

/// Converts this daemon's backend servers to the form in its member record.
pub fn server_records(servers: &[LocalServer]) -> Vec<ServerRecord> {
    servers
        .iter()
        .map(|server| ServerRecord {
            name: server.name.clone(),
            service: server.service.clone(),
            slots: server.slots,
            connections: server.connections,
            draining: server.draining,
            warm_percent: server.warm_percent,
        })
        .collect()
}

/// Address of the QUIC listener of `member`; `None` if it is not in `view`.
pub fn forward_address(view: &MemberView, member: MemberId) -> Option<SocketAddr> {
    view.get(member).map(|entry| entry.record.forward_address)
}

/// Name of a member's status in the administration API.
pub fn status_name(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Dead => "dead",
        MemberStatus::Left => "left",
    }
}
