//! What records and beliefs of others change.
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

/// A member heard within this time is suspected first when others say that it is dead.
const FRESH_EVIDENCE_MS: u64 = 3_000;
const SUSPICION_MIN_PROBES: f64 = 2.0;
const SUSPICION_MAX_FACTOR: u64 = 4;

impl MembershipCore {
    pub(super) fn merge_record(&mut self, now_ms: u64, message: &gossip::MemberRecord) {
        let Some(record) = wire::from_message(message) else {
            return;
        };
        if record.id == self.local.id {
            return self.merge_own_record(now_ms, &record);
        }
        let id = record.id;
        let known = self.view.get(id).map(|entry| entry.record.age());
        match known.map(|age| record.age().cmp(&age)) {
            None if record.incarnation <= self.floors.get(id).ended_incarnation => {}
            None | Some(Ordering::Greater) => {
                self.store_record(now_ms, record, message.applied_version)
            }
            Some(Ordering::Equal) => {
                let limit = self.retransmit_limit();
                self.updates
                    .count_transmission(UpdateKey::Record(id), limit);
                self.raise_applied(now_ms, id, message.applied_version);
            }
            Some(Ordering::Less) => {}
        }
    }

    fn merge_own_record(&mut self, now_ms: u64, record: &MemberRecord) {
        if record.age() > self.local.age() {
            self.raise_incarnation(now_ms, record.incarnation);
        }
    }

    fn store_record(&mut self, now_ms: u64, record: MemberRecord, applied_version: u64) {
        let id = record.id;
        let previous = self.view.get(id);
        let is_same_life =
            previous.is_some_and(|entry| entry.record.incarnation == record.incarnation);
        let (status, since_ms) = match previous {
            Some(entry) if is_same_life => (entry.status, entry.since_ms),
            Some(entry) if entry.status.is_running() => (MemberStatus::Alive, entry.since_ms),
            _ => (MemberStatus::Alive, now_ms),
        };
        if !is_same_life {
            self.suspicions.remove(&id);
            self.updates.remove(UpdateKey::Status(id));
        }
        let entry = MemberEntry {
            record: Arc::new(record),
            status,
            since_ms,
            applied_version: 0,
        };
        let applied_before = match previous {
            Some(entry) if is_same_life => entry.applied_version,
            _ => 0,
        };
        self.view.members.insert(id, entry);
        self.raise_applied(now_ms, id, applied_version.max(applied_before));
        self.updates.push(UpdateKey::Record(id));
        self.note_change();
    }

    /// Raises the version known in force at a member, in the view and in the memory of its address.
    pub(super) fn raise_applied(&mut self, now_ms: u64, id: MemberId, version: u64) {
        let Some(entry) = self.view.members.get_mut(&id) else {
            return;
        };
        if version <= entry.applied_version {
            return;
        }
        entry.applied_version = version;
        self.floors.raise_version(now_ms, id, version);
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
            Ordering::Equal => {
                let limit = self.retransmit_limit();
                self.updates
                    .count_transmission(UpdateKey::Status(id), limit);
            }
            Ordering::Greater => self.take_status(now_ms, update, status),
        }
    }

    fn take_status(&mut self, now_ms: u64, update: &StatusUpdate, status: MemberStatus) {
        let id = MemberId(update.id);
        let is_doubtful = status == MemberStatus::Dead && self.is_heard_recently(now_ms, id);
        if status == MemberStatus::Suspect || is_doubtful {
            self.suspect(now_ms, id, MemberId(update.source));
        } else {
            self.end(now_ms, id, status);
        }
    }

    fn is_heard_recently(&self, now_ms: u64, id: MemberId) -> bool {
        let heard_ms = self.peers.get(&id).and_then(|track| track.heard_ms);
        heard_ms.is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) < FRESH_EVIDENCE_MS)
    }

    fn refute(&mut self, now_ms: u64, incarnation: u64, status: MemberStatus) {
        let is_about_this_life = incarnation >= self.local.incarnation;
        if status == MemberStatus::Alive || !is_about_this_life || self.is_departing() {
            return;
        }
        self.raise_incarnation(now_ms, incarnation);
        self.probe.doubt_self();
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

    /// Marks a member dead or gone.
    pub(super) fn end(&mut self, now_ms: u64, id: MemberId, status: MemberStatus) {
        self.suspicions.remove(&id);
        let Some(entry) = self.view.get(id) else {
            return;
        };
        let incarnation = entry.record.incarnation;
        self.floors.end_incarnation(now_ms, id, incarnation);
        self.set_status(now_ms, id, status);
        self.updates.remove(UpdateKey::Record(id));
        self.updates.push(UpdateKey::Status(id));
    }

    pub(super) fn set_status(&mut self, now_ms: u64, id: MemberId, status: MemberStatus) {
        if let Some(entry) = self.view.members.get_mut(&id) {
            entry.status = status;
            entry.since_ms = now_ms;
            self.note_change();
        }
    }

    fn suspicion_bounds(&self) -> SuspicionBounds {
        let running = self.view.members.len().max(1) as f64;
        let scale = running.log10().max(1.0) * SUSPICION_MIN_PROBES;
        let min_ms = (scale * self.options.probe_interval_ms as f64) as u64;
        SuspicionBounds {
            min_ms,
            max_ms: min_ms * SUSPICION_MAX_FACTOR,
        }
    }

    /// How often this daemon passes an update on.
    pub(super) fn retransmit_limit(&self) -> u32 {
        const EXTRA_TRANSMISSIONS: u32 = 2;
        let members = self.view.members.len() as u32 + 1;
        members.ilog2() + EXTRA_TRANSMISSIONS
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
