//! Candidate addresses: addresses of random members, sent to a new member so that it asks many
//! members rather than its seed.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{Datagram, datagram::Body},
};

use super::MembershipCore;
use crate::wire;

/// Time for which a member counts as new.
const NEW_MEMBER_MS: u64 = 3_000;
const CANDIDATES_PER_ACK: usize = 6;
const MAX_CANDIDATES: usize = 32;

impl MembershipCore {
    /// Adds the addresses of random members to an ack for a new member.
    pub(super) fn add_candidates(&mut self, now_ms: u64, to: SocketAddr, datagram: &mut Datagram) {
        let entry = self.view.get(MemberId::from_address(to));
        let is_new = entry.is_none_or(|e| now_ms.saturating_sub(e.since_ms) < NEW_MEMBER_MS);
        if !is_new || !matches!(datagram.body, Some(Body::Ack(_))) {
            return;
        }
        for _ in 0..CANDIDATES_PER_ACK {
            let candidate = self.random_address().filter(|candidate| *candidate != to);
            datagram.leads.extend(candidate.map(wire::encode_address));
        }
        datagram.leads.sort();
        datagram.leads.dedup();
    }

    /// Stores the addresses of members that are not known yet.
    pub(super) fn store_candidates(&mut self, candidates: &[Vec<u8>]) {
        for address in candidates
            .iter()
            .filter_map(|candidate| wire::parse_address(candidate))
        {
            let id = MemberId::from_address(address);
            let is_wanted = self.view.get(id).is_none() && !self.candidates.contains(&address);
            if is_wanted && self.candidates.len() < MAX_CANDIDATES {
                self.candidates.push(address);
            }
        }
    }

    /// Removes the address of a member that has become known.
    pub(super) fn remove_candidate(&mut self, address: SocketAddr) {
        self.candidates.retain(|candidate| *candidate != address);
    }
}
