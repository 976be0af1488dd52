//! Failure detection.
use jayrack_protocol::{
    MemberId,
    gossip::{Ping, PingRequest, datagram::Body},
};
use rand_pcg::rand_core::Rng;

use super::{MembershipCore, health::StallRecovery, relay::RelayedProbe};
use crate::view::MemberStatus;

/// One probe in this many goes to another data centre.
const PROBES_PER_REMOTE_PROBE: u32 = 5;

/// A probe that has neither been acknowledged nor failed yet.
#[derive(Debug)]
pub(super) struct OutstandingProbe {
    pub(super) target: MemberId,
    pub(super) nonce: u32,
    pub(super) started_ms: u64,
    pub(super) ack_deadline_ms: u64,
    pub(super) end_deadline_ms: u64,
    pub(super) has_started_indirect_probes: bool,
    pub(super) nacks_expected: usize,
}

/// State of failure detection.
#[derive(Debug)]
pub(super) struct ProbeState {
    pub(super) same_data_centre: Vec<MemberId>,
    pub(super) remote: Vec<MemberId>,
    pub(super) count: u32,
    pub(super) next_probe_ms: u64,
    pub(super) outstanding: Option<OutstandingProbe>,
    pub(super) relayed_probes: Vec<RelayedProbe>,
    pub(super) local_health_score: u64,
    pub(super) recovery: Option<StallRecovery>,
}

impl ProbeState {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            same_data_centre: Vec::new(),
            remote: Vec::new(),
            count: 0,
            next_probe_ms: now_ms,
            outstanding: None,
            relayed_probes: Vec::new(),
            local_health_score: 0,
            recovery: None,
        }
    }

    pub(super) fn count_nack(&mut self, nonce: u32) {
        if let Some(probe) = &mut self.outstanding
            && probe.nonce == nonce
        {
            probe.nacks_expected = probe.nacks_expected.saturating_sub(1);
        }
    }
}

impl MembershipCore {
    pub(super) fn tick_probe(&mut self, now_ms: u64) {
        self.expire_relayed_probes(now_ms);
        self.advance_probe(now_ms);
        if self.probe.outstanding.is_none() && now_ms >= self.probe.next_probe_ms {
            self.start_probe(now_ms);
        }
    }

    fn advance_probe(&mut self, now_ms: u64) {
        let Some(probe) = &mut self.probe.outstanding else {
            return;
        };
        let target = probe.target;
        let is_indirect_due = now_ms >= probe.ack_deadline_ms && !probe.has_started_indirect_probes;
        if is_indirect_due {
            probe.has_started_indirect_probes = true;
            let nonce = probe.nonce;
            return self.start_indirect_probes(now_ms, target, nonce);
        }
        if now_ms >= probe.end_deadline_ms {
            self.fail_probe(now_ms);
        }
    }

    fn fail_probe(&mut self, now_ms: u64) {
        let Some(probe) = self.probe.outstanding.take() else {
            return;
        };
        for _ in 0..probe.nacks_expected {
            self.probe.raise_local_health_score();
        }
        if self.probe.is_recovered() && !self.is_isolated(probe.started_ms) {
            self.suspect(now_ms, probe.target, self.local.id);
        }
        self.probe.count_failed_probe();
    }

    fn start_probe(&mut self, now_ms: u64) {
        let multiplier = self.probe.local_health_score + 1;
        let interval_ms = self.probe_interval_ms();
        self.probe.next_probe_ms = now_ms + interval_ms;
        let Some(target) = self.next_target() else {
            return;
        };
        let nonce = self.rng.next_u32();
        self.probe.outstanding = Some(OutstandingProbe {
            target,
            nonce,
            started_ms: now_ms,
            ack_deadline_ms: now_ms + self.options.ack_timeout_ms * multiplier,
            end_deadline_ms: now_ms + interval_ms,
            has_started_indirect_probes: false,
            nacks_expected: 0,
        });
        let to = self.address_of(target);
        self.send(now_ms, to, Some(Body::Ping(Ping { nonce })));
    }

    /// Interval between probes, which grows with the local health score.
    pub(super) fn probe_interval_ms(&self) -> u64 {
        self.options.probe_interval_ms * (self.probe.local_health_score + 1)
    }

    fn next_target(&mut self) -> Option<MemberId> {
        self.probe.count = self.probe.count.wrapping_add(1);
        let is_remote = self.probe.count.is_multiple_of(PROBES_PER_REMOTE_PROBE);
        self.pop_target(is_remote)
            .or_else(|| self.pop_target(!is_remote))
    }

    /// Removes the next member from the current round, or starts a new round in random order.
    fn pop_target(&mut self, is_remote: bool) -> Option<MemberId> {
        if self.round(is_remote).is_empty() {
            *self.round(is_remote) = self.new_round(is_remote);
        }
        while let Some(id) = self.round(is_remote).pop() {
            let entry = self.view.get(id);
            if entry.is_some_and(|entry| entry.status.is_running()) {
                return Some(id);
            }
        }
        None
    }

    fn round(&mut self, is_remote: bool) -> &mut Vec<MemberId> {
        match is_remote {
            true => &mut self.probe.remote,
            false => &mut self.probe.same_data_centre,
        }
    }

    fn new_round(&mut self, is_remote: bool) -> Vec<MemberId> {
        let local = &self.local;
        let in_round = self.view.running().map(|entry| &entry.record);
        let mut ids: Vec<MemberId> = in_round
            .filter(|record| record.id != local.id)
            .filter(|record| (record.data_centre != local.data_centre) == is_remote)
            .map(|record| record.id)
            .collect();
        self.shuffle(&mut ids);
        ids
    }

    fn shuffle(&mut self, ids: &mut [MemberId]) {
        for end in (1..ids.len()).rev() {
            let other = self.random_index(end + 1).unwrap_or(0);
            ids.swap(end, other);
        }
    }

    fn start_indirect_probes(&mut self, now_ms: u64, target: MemberId, nonce: u32) {
        let mut relays = self.running_others().to_vec();
        relays.retain(|id| *id != target);
        self.shuffle(&mut relays);
        relays.truncate(self.options.indirect_probes);
        if let Some(probe) = &mut self.probe.outstanding {
            probe.nacks_expected = relays.len();
        }
        for relay in relays {
            let to = self.address_of(relay);
            let request = PingRequest {
                nonce,
                target: target.0,
            };
            self.send(now_ms, to, Some(Body::PingRequest(request)));
        }
    }

    pub(super) fn receive_ack(&mut self, now_ms: u64, nonce: u32) {
        if self.finish_relay(now_ms, nonce) {
            return;
        }
        let is_awaited = |probe: &mut OutstandingProbe| probe.nonce == nonce;
        if let Some(probe) = self.probe.outstanding.take_if(is_awaited) {
            self.probe.next_probe_ms = probe.started_ms + self.options.probe_interval_ms;
            self.probe.lower_local_health_score();
            self.probe.count_answered_probe();
        }
    }

    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        if !self.probe.is_recovered() {
            return;
        }
        let is_due = |deadline_ms: u64| now_ms >= deadline_ms;
        let due: Vec<MemberId> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| is_due(suspicion.deadline_ms()))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.end_member(now_ms, id, MemberStatus::Dead);
        }
    }
}
