//! Indirect probes on behalf of other members.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{Ack, Nack, Ping, PingRequest, datagram::Body},
};
use rand_pcg::rand_core::Rng;

use super::MembershipCore;

/// Maximum number of probes on behalf of others that are pending at once.
const MAX_RELAYED_PROBES: usize = 64;

/// A probe that another member requested.
#[derive(Debug)]
pub(super) struct RelayedProbe {
    nonce: u32,
    requester: SocketAddr,
    requester_nonce: u32,
    deadline_ms: u64,
}

impl MembershipCore {
    pub(super) fn relay_probe(&mut self, now_ms: u64, from: SocketAddr, request: &PingRequest) {
        let Some(entry) = self.view.get(MemberId(request.target)) else {
            return;
        };
        let to = entry.record.gossip_address;
        if self.probe.relayed_probes.len() >= MAX_RELAYED_PROBES {
            return;
        }
        let nonce = self.rng.next_u32();
        self.probe.relayed_probes.push(RelayedProbe {
            nonce,
            requester: from,
            requester_nonce: request.nonce,
            deadline_ms: now_ms + self.options.ack_timeout_ms,
        });
        self.send(now_ms, to, Some(Body::Ping(Ping { nonce })));
    }

    pub(super) fn expire_relayed_probes(&mut self, now_ms: u64) {
        let relayed_probes = std::mem::take(&mut self.probe.relayed_probes);
        let (due, kept) = relayed_probes
            .into_iter()
            .partition(|r| now_ms >= r.deadline_ms);
        self.probe.relayed_probes = kept;
        let due: Vec<RelayedProbe> = due;
        for relay in due {
            let nack = Nack {
                nonce: relay.requester_nonce,
            };
            self.send(now_ms, relay.requester, Some(Body::Nack(nack)));
        }
    }

    /// Sends an ack to the requester of the relayed probe with `nonce`; false when there is none.
    pub(super) fn finish_relay(&mut self, now_ms: u64, nonce: u32) -> bool {
        let relayed_probes = &mut self.probe.relayed_probes;
        let Some(index) = relayed_probes.iter().position(|relay| relay.nonce == nonce) else {
            return false;
        };
        let relay = relayed_probes.swap_remove(index);
        let ack = Ack {
            nonce: relay.requester_nonce,
        };
        self.send(now_ms, relay.requester, Some(Body::Ack(ack)));
        true
    }
}
