//! Addresses told to a daemon that is new, so that it asks many members rather than its seed.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{Datagram, datagram::Body},
};

use super::MembershipCore;
use crate::wire;

/// Time for which a member counts as new.
const NEW_MEMBER_MS: u64 = 3_000;
const LEADS_TOLD: usize = 6;
const MAX_LEADS: usize = 32;

impl MembershipCore {
    /// Names random members to a receiver that is new.
    pub(super) fn add_leads(&mut self, now_ms: u64, to: SocketAddr, datagram: &mut Datagram) {
        let entry = self.view.get(MemberId::from_address(to));
        let is_new = entry.is_none_or(|e| now_ms.saturating_sub(e.since_ms) < NEW_MEMBER_MS);
        if !is_new || !matches!(datagram.body, Some(Body::Ack(_))) {
            return;
        }
        for _ in 0..LEADS_TOLD {
            let lead = self.random_address().filter(|lead| *lead != to);
            datagram.leads.extend(lead.map(wire::full_address));
        }
        datagram.leads.sort();
        datagram.leads.dedup();
    }

    /// Keeps the addresses of members that are not known yet.
    pub(super) fn take_leads(&mut self, leads: &[Vec<u8>]) {
        for address in leads.iter().filter_map(|lead| wire::parse_full(lead)) {
            let id = MemberId::from_address(address);
            let is_wanted = self.view.get(id).is_none() && !self.leads.contains(&address);
            if is_wanted && self.leads.len() < MAX_LEADS {
                self.leads.push(address);
            }
        }
    }

    /// Drops the lead to a member that has become known.
    pub(super) fn drop_lead(&mut self, address: SocketAddr) {
        self.leads.retain(|lead| *lead != address);
    }
}
