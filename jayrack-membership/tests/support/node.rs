//! One state machine on the fake network and the actions recorded of it.
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use jayrack_membership::{Action, MemberRecord, MemberStatus, MembershipCore, core::Options, wire};
use jayrack_protocol::{auth, gossip::Datagram};

use super::record;

/// Bytes of the headers of UDP and IPv4.
pub const HEADER_BYTES: usize = 28;

pub struct FakeNode {
    pub core: MembershipCore,
    pub is_stalled: bool,
    pub minimum_versions: BTreeSet<u64>,
    pub contact_requests: u64,
    pub has_left: bool,
    pub bytes: u64,
    pub backlog: Vec<Delivery>,
}

#[derive(Clone)]
pub struct Delivery {
    pub from: SocketAddr,
    pub to: SocketAddr,
    pub datagram: Arc<Datagram>,
}

impl FakeNode {
    pub fn new(index: usize, seed: u64, now_ms: u64) -> Self {
        let record = record(index, now_ms);
        Self {
            core: MembershipCore::new(Options::default(), record, seed, now_ms),
            is_stalled: false,
            minimum_versions: BTreeSet::new(),
            contact_requests: 0,
            has_left: false,
            bytes: 0,
            backlog: Vec::new(),
        }
    }

    /// Records an action that sends nothing.
    pub fn record_action(&mut self, action: &Action) {
        match action {
            Action::MinimumVersion { version } => _ = self.minimum_versions.insert(*version),
            Action::HasLeft => self.has_left = true,
            Action::NeedContacts => self.contact_requests += 1,
            Action::Send { .. } | Action::Changed | Action::PeerApplied { .. } => {}
        }
    }

    /// Addresses of the members that are dead in this daemon's view.
    pub fn dead(&self) -> Vec<SocketAddr> {
        let members = self.core.view().members.values();
        let dead = members.filter(|entry| entry.status == MemberStatus::Dead);
        dead.map(|entry| entry.record.gossip_address).collect()
    }

    /// Records of the members that are alive in this daemon's view, ordered by address.
    pub fn alive(&self) -> Vec<&MemberRecord> {
        let alive = self.core.view().running();
        let mut records: Vec<&MemberRecord> = alive
            .filter(|entry| entry.status == MemberStatus::Alive)
            .map(|entry| entry.record.as_ref())
            .collect();
        records.sort_by_key(|record| record.gossip_address);
        records
    }
}

/// Bytes of a datagram on the wire, with tag and headers.
pub fn wire_bytes(datagram: &Datagram) -> u64 {
    (wire::encode(datagram).len() + auth::TAG_BYTES + HEADER_BYTES) as u64
}
