//! Failure detection.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{Ack, Nack, Ping, PingRequest, datagram::Body},
};
use rand_pcg::rand_core::Rng;

use super::{MembershipCore, TICK_INTERVAL_MS};
use crate::view::MemberStatus;

/// Highest value of the local health factor.
const MAX_HEALTH_FACTOR: u64 = 8;
/// One probe in this many goes to another data centre.
const FAR_PROBE_EVERY: u32 = 5;
/// Time between two ticks that counts as a pause of this daemon, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Time between two ticks that is not made up for, in milliseconds.
const GAP_TOLERANCE_MS: u64 = 150;
/// Probes that must be answered after a pause before this daemon rules on others again.
const ANSWERS_TO_TRUST: u32 = 2;
/// Unanswered probes after which a paused daemon rules on others again all the same.
const FAILURES_TO_TRUST: u32 = 30;
/// Probes on behalf of others that are kept at once.
const MAX_RELAYS: usize = 64;

/// A probe that this daemon waits for.
#[derive(Debug)]
struct Outstanding {
    target: MemberId,
    nonce: u32,
    ack_deadline_ms: u64,
    end_deadline_ms: u64,
    has_asked_helpers: bool,
    nacks_expected: usize,
}

/// A probe made for another member.
#[derive(Debug)]
struct Relay {
    nonce: u32,
    requester: SocketAddr,
    requester_nonce: u32,
    deadline_ms: u64,
}

/// State of failure detection.
#[derive(Debug)]
pub(super) struct ProbeState {
    near: Vec<MemberId>,
    far: Vec<MemberId>,
    count: u32,
    next_probe_ms: u64,
    outstanding: Option<Outstanding>,
    relays: Vec<Relay>,
    health_factor: u64,
    doubt: Option<SelfDoubt>,
}

/// What is missing until a daemon that was paused rules on others again.
#[derive(Debug)]
struct SelfDoubt {
    answers_left: u32,
    failures_left: u32,
}

impl ProbeState {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            near: Vec::new(),
            far: Vec::new(),
            count: 0,
            next_probe_ms: now_ms,
            outstanding: None,
            relays: Vec::new(),
            health_factor: 0,
            doubt: None,
        }
    }

    fn is_trusted(&self) -> bool {
        self.doubt.is_none()
    }

    fn count_answer(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.answers_left = doubt.answers_left.saturating_sub(1);
        }
        self.end_doubt();
    }

    fn count_failure(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.failures_left = doubt.failures_left.saturating_sub(1);
        }
        self.end_doubt();
    }

    fn end_doubt(&mut self) {
        let is_over = |doubt: &mut SelfDoubt| doubt.answers_left == 0 || doubt.failures_left == 0;
        self.doubt.take_if(is_over);
    }

    /// Counts evidence that this daemon itself is slow or cut off.
    pub(super) fn doubt_self(&mut self) {
        self.health_factor = (self.health_factor + 1).min(MAX_HEALTH_FACTOR);
    }

    fn trust_self(&mut self) {
        self.health_factor = self.health_factor.saturating_sub(1);
    }

    pub(super) fn note_nack(&mut self, nonce: u32) {
        if let Some(probe) = &mut self.outstanding
            && probe.nonce == nonce
        {
            probe.nacks_expected = probe.nacks_expected.saturating_sub(1);
        }
    }
}

impl MembershipCore {
    pub(super) fn tick_probe(&mut self, now_ms: u64) {
        self.answer_relays(now_ms);
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
        let is_asking = now_ms >= probe.ack_deadline_ms && !probe.has_asked_helpers;
        if is_asking {
            probe.has_asked_helpers = true;
            let nonce = probe.nonce;
            return self.ask_helpers(now_ms, target, nonce);
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
            self.probe.doubt_self();
        }
        if self.probe.is_trusted() {
            self.suspect(now_ms, probe.target, self.local.id);
        }
        self.probe.count_failure();
    }

    /// Makes up for time in which this daemon did not run.
    pub(super) fn note_gap(&mut self, now_ms: u64, gap_ms: u64) {
        let lost_ms = gap_ms.saturating_sub(TICK_INTERVAL_MS + GAP_TOLERANCE_MS);
        if lost_ms == 0 {
            return;
        }
        self.probe.doubt_self();
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend(lost_ms);
        }
        if let Some(probe) = &mut self.probe.outstanding {
            probe.ack_deadline_ms += lost_ms;
            probe.end_deadline_ms += lost_ms;
        }
        if gap_ms >= PAUSE_MS {
            self.wake(now_ms);
        }
    }

    fn wake(&mut self, now_ms: u64) {
        self.probe.outstanding = None;
        self.probe.relays.clear();
        self.probe.next_probe_ms = now_ms;
        self.probe.doubt = Some(SelfDoubt {
            answers_left: ANSWERS_TO_TRUST,
            failures_left: FAILURES_TO_TRUST,
        });
        if !self.is_departing() {
            self.raise_incarnation(now_ms, 0);
        }
    }

    fn start_probe(&mut self, now_ms: u64) {
        let factor = self.probe.health_factor + 1;
        self.probe.next_probe_ms = now_ms + self.options.probe_interval_ms * factor;
        let Some(target) = self.next_target() else {
            return;
        };
        let nonce = self.rng.next_u32();
        self.probe.outstanding = Some(Outstanding {
            target,
            nonce,
            ack_deadline_ms: now_ms + self.options.ack_timeout_ms * factor,
            end_deadline_ms: now_ms + self.options.probe_interval_ms * factor,
            has_asked_helpers: false,
            nacks_expected: 0,
        });
        let to = self.address_of(target);
        self.send(now_ms, to, Some(Body::Ping(Ping { nonce })));
    }

    fn next_target(&mut self) -> Option<MemberId> {
        self.probe.count = self.probe.count.wrapping_add(1);
        let is_far = self.probe.count.is_multiple_of(FAR_PROBE_EVERY);
        self.pop_target(is_far).or_else(|| self.pop_target(!is_far))
    }

    /// Takes the next member of the present round, or starts a new round in random order.
    fn pop_target(&mut self, is_far: bool) -> Option<MemberId> {
        if self.round(is_far).is_empty() {
            *self.round(is_far) = self.new_round(is_far);
        }
        while let Some(id) = self.round(is_far).pop() {
            let entry = self.view.get(id);
            if entry.is_some_and(|entry| entry.status.is_running()) {
                return Some(id);
            }
        }
        None
    }

    fn round(&mut self, is_far: bool) -> &mut Vec<MemberId> {
        match is_far {
            true => &mut self.probe.far,
            false => &mut self.probe.near,
        }
    }

    fn new_round(&mut self, is_far: bool) -> Vec<MemberId> {
        let local = &self.local;
        let in_round = self.view.alive().map(|entry| &entry.record);
        let mut ids: Vec<MemberId> = in_round
            .filter(|record| record.id != local.id)
            .filter(|record| (record.data_centre != local.data_centre) == is_far)
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

    fn ask_helpers(&mut self, now_ms: u64, target: MemberId, nonce: u32) {
        let mut helpers = self.running_others().to_vec();
        helpers.retain(|id| *id != target);
        self.shuffle(&mut helpers);
        helpers.truncate(self.options.helpers);
        if let Some(probe) = &mut self.probe.outstanding {
            probe.nacks_expected = helpers.len();
        }
        for helper in helpers {
            let to = self.address_of(helper);
            let request = PingRequest {
                nonce,
                target: target.0,
            };
            self.send(now_ms, to, Some(Body::PingRequest(request)));
        }
    }

    pub(super) fn relay_probe(&mut self, now_ms: u64, from: SocketAddr, request: &PingRequest) {
        let Some(entry) = self.view.get(MemberId(request.target)) else {
            return;
        };
        let to = entry.record.gossip_address;
        if self.probe.relays.len() >= MAX_RELAYS {
            return;
        }
        let nonce = self.rng.next_u32();
        self.probe.relays.push(Relay {
            nonce,
            requester: from,
            requester_nonce: request.nonce,
            deadline_ms: now_ms + self.options.ack_timeout_ms,
        });
        self.send(now_ms, to, Some(Body::Ping(Ping { nonce })));
    }

    fn answer_relays(&mut self, now_ms: u64) {
        let relays = std::mem::take(&mut self.probe.relays);
        let (due, kept) = relays.into_iter().partition(|r| now_ms >= r.deadline_ms);
        self.probe.relays = kept;
        let due: Vec<Relay> = due;
        for relay in due {
            let nack = Nack {
                nonce: relay.requester_nonce,
            };
            self.send(now_ms, relay.requester, Some(Body::Nack(nack)));
        }
    }

    pub(super) fn receive_ack(&mut self, now_ms: u64, nonce: u32) {
        let relays = &mut self.probe.relays;
        if let Some(index) = relays.iter().position(|relay| relay.nonce == nonce) {
            let relay = relays.swap_remove(index);
            let ack = Ack {
                nonce: relay.requester_nonce,
            };
            return self.send(now_ms, relay.requester, Some(Body::Ack(ack)));
        }
        let is_awaited = |probe: &mut Outstanding| probe.nonce == nonce;
        if self.probe.outstanding.take_if(is_awaited).is_some() {
            self.probe.trust_self();
            self.probe.count_answer();
        }
    }

    pub(super) fn expire_suspicions(&mut self, now_ms: u64) {
        if !self.probe.is_trusted() {
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
            self.end(now_ms, id, MemberStatus::Dead);
        }
    }
}
