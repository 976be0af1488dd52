//! Merging of records and statuses from other members.
use std::{cmp::Ordering, sync::Arc};

use jayrack_protocol::{
    MemberId,
    gossip::{self, StatusUpdate},
};

use super::MembershipCore;
use crate::{
    record::MemberRecord,
    suspicion::{Suspicion, SuspicionBounds},
    updates::UpdateKey,
    view::{MemberEntry, MemberStatus},
    wire,
};

/// A member whose last datagram is more recent than this is suspected first when others report
/// that it is dead.
const RECENT_DATAGRAM_MS: u64 = 3_000;
const SUSPICION_MIN_PROBES: f64 = 2.0;
/// Transmissions of an update for each factor of ten in the number of members.
const TRANSMISSIONS_PER_DECADE: f64 = 4.0;
const SUSPICION_MAX_FACTOR: u64 = 4;

/// How a record reached this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordOrigin {
    /// As an update, to be passed on.
    Update,
    /// In an anti-entropy exchange.
    Sync,
}

impl MembershipCore {
    pub(super) fn merge_record(
        &mut self,
        now_ms: u64,
        message: &gossip::MemberRecord,
        origin: RecordOrigin,
    ) {
        let Some(record) = wire::from_message(message) else {
            return;
        };
        if record.id == self.local.id {
            return self.merge_own_record(now_ms, &record);
        }
        let id = record.id;
        let known = self.view.get(id).map(|entry| entry.record.recency());
        match known.map(|recency| record.recency().cmp(&recency)) {
            None if record.incarnation <= self.address_history.get(id).ended_incarnation => {}
            None | Some(Ordering::Greater) => {
                self.store_record(now_ms, record);
                self.raise_applied(now_ms, id, message.applied_version);
                if origin == RecordOrigin::Update {
                    self.updates.push(UpdateKey::Record(id));
                }
            }
            Some(Ordering::Equal) => self.merge_equal_record(now_ms, id, message, origin),
            Some(Ordering::Less) => {}
        }
    }

    fn merge_equal_record(
        &mut self,
        now_ms: u64,
        id: MemberId,
        message: &gossip::MemberRecord,
        origin: RecordOrigin,
    ) {
        match origin {
            RecordOrigin::Update => {
                let limit = self.retransmit_limit();
                self.updates
                    .count_transmission(UpdateKey::Record(id), limit);
            }
            RecordOrigin::Sync => self.dispute(id),
        }
        self.raise_applied(now_ms, id, message.applied_version);
    }

    /// Records that an ended member is running in the view of another member.
    fn dispute(&mut self, id: MemberId) {
        let entry = self.view.get(id);
        if entry.is_some_and(|entry| !entry.status.is_running()) {
            self.rechecks.insert(id);
            self.disputes.push(id);
        }
    }

    fn merge_own_record(&mut self, now_ms: u64, record: &MemberRecord) {
        if record.recency() > self.local.recency() && !self.is_departing() {
            self.raise_incarnation(now_ms, record.incarnation);
        }
    }

    fn store_record(&mut self, now_ms: u64, record: MemberRecord) {
        let id = record.id;
        let mut entry = MemberEntry {
            record: Arc::new(record),
            status: MemberStatus::Alive,
            since_ms: now_ms,
            applied_version: 0,
            minimum_version: self.address_history.get(id).minimum_version,
        };
        match self.view.get(id) {
            Some(previous) if previous.record.incarnation == entry.record.incarnation => {
                entry.status = previous.status;
                entry.since_ms = previous.since_ms;
                entry.applied_version = previous.applied_version;
            }
            Some(previous) => {
                if previous.status.is_running() {
                    entry.since_ms = previous.since_ms;
                }
                self.suspicions.remove(&id);
                self.updates.remove(UpdateKey::Status(id));
                self.count_learned(now_ms);
            }
            None => {
                self.count_learned(now_ms);
                self.remove_candidate(entry.record.gossip_address);
            }
        }
        self.put(entry);
    }

    pub(super) fn merge_status(&mut self, now_ms: u64, update: &StatusUpdate) {
        let status = status_of(update.status());
        let id = MemberId(update.id);
        if id == self.local.id {
            return self.refute(now_ms, update.incarnation, status);
        }
        let Some(entry) = self.view.get(id) else {
            return;
        };
        if update.incarnation != entry.record.incarnation || status == MemberStatus::Alive {
            return;
        }
        let known = entry.status;
        match status.cmp(&known) {
            Ordering::Less => {}
            Ordering::Equal if status == MemberStatus::Suspect => {
                self.suspect(now_ms, id, MemberId(update.source))
            }
            Ordering::Equal => {}
            Ordering::Greater => self.apply_status(now_ms, update, status),
        }
    }

    fn apply_status(&mut self, now_ms: u64, update: &StatusUpdate, status: MemberStatus) {
        let id = MemberId(update.id);
        let is_contradicted = status == MemberStatus::Dead && self.has_recent_datagram(now_ms, id);
        if status == MemberStatus::Suspect || is_contradicted {
            self.suspect(now_ms, id, MemberId(update.source));
        } else {
            self.end_member(now_ms, id, status);
        }
    }

    fn has_recent_datagram(&self, now_ms: u64, id: MemberId) -> bool {
        let last_received_ms = self
            .peers
            .get(&id)
            .and_then(|peer_state| peer_state.last_received_ms);
        last_received_ms.is_some_and(|last_received_ms| {
            now_ms.saturating_sub(last_received_ms) < RECENT_DATAGRAM_MS
        })
    }

    fn refute(&mut self, now_ms: u64, incarnation: u64, status: MemberStatus) {
        let is_current_incarnation = incarnation >= self.local.incarnation;
        if status == MemberStatus::Alive || !is_current_incarnation || self.is_departing() {
            return;
        }
        self.raise_incarnation(now_ms, incarnation);
        self.probe.raise_local_health_score();
    }

    /// Suspects a member, or confirms the suspicion.
    pub(super) fn suspect(&mut self, now_ms: u64, id: MemberId, source: MemberId) {
        let bounds = self.suspicion_bounds();
        if let Some(suspicion) = self.suspicions.get_mut(&id) {
            if suspicion.confirm(source) {
                self.updates.push(UpdateKey::Status(id));
            }
            return;
        }
        let is_alive = self
            .view
            .get(id)
            .is_some_and(|entry| entry.status == MemberStatus::Alive);
        if !is_alive {
            return;
        }
        self.suspicions
            .insert(id, Suspicion::new(now_ms, bounds, source));
        self.set_status(now_ms, id, MemberStatus::Suspect);
        self.updates.push(UpdateKey::Status(id));
    }

    /// Marks a member as dead or left.
    pub(super) fn end_member(&mut self, now_ms: u64, id: MemberId, status: MemberStatus) {
        self.suspicions.remove(&id);
        let Some(entry) = self.view.get(id) else {
            return;
        };
        let incarnation = entry.record.incarnation;
        self.address_history
            .record_ended_incarnation(now_ms, id, incarnation);
        self.set_status(now_ms, id, status);
        self.updates.remove(UpdateKey::Record(id));
        self.updates.push(UpdateKey::Status(id));
    }

    pub(super) fn set_status(&mut self, now_ms: u64, id: MemberId, status: MemberStatus) {
        if let Some(previous) = self.view.get(id) {
            let entry = MemberEntry {
                status,
                since_ms: now_ms,
                ..previous.clone()
            };
            self.put(entry);
        }
    }

    fn suspicion_bounds(&self) -> SuspicionBounds {
        let running = self.view.members.len().max(1) as f64;
        let scale = running.log10().max(1.0) * SUSPICION_MIN_PROBES;
        let min_ms = (scale * self.probe_interval_ms() as f64) as u64;
        SuspicionBounds {
            min_ms,
            max_ms: min_ms * SUSPICION_MAX_FACTOR,
        }
    }

    /// Number of transmissions after which an update is no longer passed on.
    pub(super) fn retransmit_limit(&self) -> u32 {
        let members = self.view.members.len() as f64 + 1.0;
        (members.log10() * TRANSMISSIONS_PER_DECADE).ceil() as u32
    }
}

fn status_of(status: gossip::MemberStatus) -> MemberStatus {
    match status {
        gossip::MemberStatus::Alive => MemberStatus::Alive,
        gossip::MemberStatus::Suspect => MemberStatus::Suspect,
        gossip::MemberStatus::Dead => MemberStatus::Dead,
        gossip::MemberStatus::Left => MemberStatus::Left,
    }
}
