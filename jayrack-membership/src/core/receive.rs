//! Handling of received datagrams.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{Ack, Datagram, SyncPull, datagram::Body},
};

use super::{Action, AppliedState, Departure, MembershipCore, merge::RecordOrigin};

impl MembershipCore {
    pub(super) fn is_departing(&self) -> bool {
        self.departure != Departure::Staying
    }

    pub(super) fn receive(&mut self, now_ms: u64, from: SocketAddr, datagram: &Datagram) {
        let sender = MemberId(datagram.sender);
        let is_authentic = sender == MemberId::from_address(from);
        if !is_authentic || sender == self.local.id || self.departure == Departure::Done {
            return;
        }
        let peer_state = self.peers.entry(sender).or_default();
        if !peer_state
            .window
            .accept(datagram.incarnation, datagram.sequence)
        {
            return;
        }
        peer_state.last_received_ms = Some(now_ms);
        self.last_received_ms = now_ms;
        let origin = match datagram.body {
            Some(Body::SyncRecords(_)) => RecordOrigin::Sync,
            _ => RecordOrigin::Update,
        };
        for record in &datagram.records {
            self.merge_record(now_ms, record, origin);
        }
        for status in &datagram.statuses {
            self.merge_status(now_ms, status);
        }
        if let Some(report) = &datagram.applied {
            self.merge_applied(now_ms, report);
        }
        self.store_candidates(&datagram.leads);
        self.report_sender_state(now_ms, sender, datagram);
        self.request_sender_record(now_ms, from, datagram);
        self.answer(now_ms, from, datagram);
        self.start_sync(now_ms, from, datagram);
    }

    fn report_sender_state(&mut self, now_ms: u64, sender: MemberId, datagram: &Datagram) {
        let is_present = self
            .view
            .get(sender)
            .is_some_and(|entry| entry.record.incarnation == datagram.incarnation);
        if is_present {
            self.raise_applied(now_ms, sender, datagram.applied_version);
        }
        if datagram.floor > 0 {
            self.actions.push(Action::MinimumVersion {
                version: datagram.floor,
            });
        }
        if datagram.body.is_none() {
            return;
        }
        self.actions.push(Action::PeerApplied {
            peer: sender,
            state: AppliedState {
                version: datagram.applied_version,
                digest: datagram.config_digest,
                next_offset: datagram.next_offset,
            },
        });
    }

    fn request_sender_record(&mut self, now_ms: u64, from: SocketAddr, datagram: &Datagram) {
        let sender = MemberId(datagram.sender);
        let known = self.view.get(sender).map(|entry| entry.record.incarnation);
        let is_current = known.is_some_and(|incarnation| incarnation >= datagram.incarnation);
        if !is_current {
            let ids = vec![sender.0];
            self.send(now_ms, from, Some(Body::SyncPull(SyncPull { ids })));
        }
    }

    fn answer(&mut self, now_ms: u64, from: SocketAddr, datagram: &Datagram) {
        match &datagram.body {
            Some(Body::Ping(ping)) => {
                let ack = Ack { nonce: ping.nonce };
                self.send(now_ms, from, Some(Body::Ack(ack)));
            }
            Some(Body::PingRequest(request)) => self.relay_probe(now_ms, from, request),
            Some(Body::Ack(ack)) => self.receive_ack(now_ms, ack.nonce),
            Some(Body::Nack(nack)) => self.probe.count_nack(nack.nonce),
            Some(Body::SyncDigest(digest)) => self.receive_digest(now_ms, from, digest),
            Some(Body::SyncSummary(summary)) => self.receive_summary(now_ms, from, summary),
            Some(Body::SyncPull(pull)) => self.receive_pull(from, pull),
            Some(Body::SyncRecords(_)) => self.answer_disputes(from),
            None => {}
        }
    }
}
