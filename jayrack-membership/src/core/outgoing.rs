//! Composition of datagrams.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{self, Datagram, StatusUpdate, datagram::Body},
};
use prost::{Message, encoding::encoded_len_varint};
use rand_pcg::rand_core::Rng;

use super::{
    Action, MembershipCore,
    applied::{MAX_ROW_BYTES, REPORT_BYTES},
};
use crate::{
    updates::UpdateKey,
    view::{MemberEntry, MemberStatus},
    wire::{self, MAX_PAYLOAD_BYTES},
};

/// Updates that may be skipped for lack of room while one datagram is filled.
const MAX_SKIPPED_UPDATES: usize = 4;
/// Size of the tag of a field whose number is 16 or higher.
const TAG_BYTES: usize = 2;
/// Bytes of a datagram besides its updates, including the headers of UDP and IP.
const DATAGRAM_OVERHEAD_BYTES: u64 = 90;
/// Bytes that must be left in the update budget before a datagram of updates is sent.
const MIN_GOSSIP_BYTES: u64 = 400;

impl MembershipCore {
    /// Sends `body` with as many pending updates as fit.
    pub(super) fn send(&mut self, now_ms: u64, to: SocketAddr, body: Option<Body>) {
        let mut datagram = self.new_datagram(to, body);
        self.add_candidates(now_ms, to, &mut datagram);
        self.add_updates(now_ms, &mut datagram);
        self.emit(to, datagram);
    }

    pub(super) fn emit(&mut self, to: SocketAddr, datagram: Datagram) {
        self.actions.push(Action::Send {
            to,
            datagram: Box::new(datagram),
        });
    }

    pub(super) fn new_datagram(&mut self, to: SocketAddr, body: Option<Body>) -> Datagram {
        self.sequence += 1;
        let receiver = MemberId::from_address(to);
        let mut datagram = Datagram {
            sender: self.local.id.0,
            incarnation: self.local.incarnation,
            sequence: self.sequence,
            applied_version: self.applied.version,
            floor: self.minimum_version_for(receiver),
            body,
            ..Datagram::default()
        };
        if datagram.body.is_some() {
            datagram.config_digest = self.applied.digest;
            datagram.next_offset = self.applied.next_offset;
            datagram.view_digest = self.digest.root();
        }
        match self.view.get(receiver) {
            Some(entry) if entry.status == MemberStatus::Alive => {}
            Some(entry) => {
                datagram.statuses.push(self.status_message(receiver, entry));
                datagram.records.push(self.own_message());
            }
            None => datagram.records.push(self.own_message()),
        }
        datagram
    }

    fn minimum_version_for(&self, receiver: MemberId) -> u64 {
        let minimum = self.address_history.get(receiver).minimum_version;
        let reported = self.view.get(receiver).map_or(0, |e| e.applied_version);
        if minimum > reported { minimum } else { 0 }
    }

    fn own_message(&self) -> gossip::MemberRecord {
        wire::to_message(&self.local, self.applied.version)
    }

    pub(super) fn status_message(&self, id: MemberId, entry: &MemberEntry) -> StatusUpdate {
        let suspicion = self.suspicions.get(&id);
        let source = suspicion.map_or(0, |suspicion| suspicion.latest_source().0);
        StatusUpdate {
            id: id.0,
            incarnation: entry.record.incarnation,
            status: status_number(entry.status),
            source,
        }
    }

    fn add_updates(&mut self, now_ms: u64, datagram: &mut Datagram) {
        let budget = self.update_budget.left(now_ms) as usize;
        let mut room = MAX_PAYLOAD_BYTES
            .saturating_sub(datagram.encoded_len())
            .saturating_sub(REPORT_BYTES)
            .min(budget);
        let start = room;
        let mut skipped = 0;
        let mut taken = Vec::new();
        for key in self.updates.iter() {
            let Some(size) = self.add_update(datagram, key, room) else {
                skipped += 1;
                if skipped > MAX_SKIPPED_UPDATES {
                    break;
                }
                continue;
            };
            room -= size;
            taken.push(key);
        }
        self.update_budget.spend((start - room) as u64);
        let limit = self.retransmit_limit();
        for key in taken {
            self.updates.count_transmission(key, limit);
        }
    }

    /// Adds one update and returns its size, unless it exceeds `room`.
    fn add_update(&self, datagram: &mut Datagram, key: UpdateKey, room: usize) -> Option<usize> {
        match key {
            UpdateKey::Status(id) => {
                let message = self.status_message(id, self.view.get(id)?);
                let size = field_len(&message);
                (size <= room).then(|| datagram.statuses.push(message))?;
                Some(size)
            }
            UpdateKey::Record(id) => {
                let entry = self.view.get(id)?;
                let message = wire::to_message(&entry.record, entry.applied_version);
                let size = field_len(&message);
                (size <= room).then(|| datagram.records.push(message))?;
                Some(size)
            }
            UpdateKey::Applied(bucket) => {
                (MAX_ROW_BYTES <= room).then(|| self.add_applied(datagram, bucket))?;
                Some(MAX_ROW_BYTES)
            }
        }
    }

    pub(super) fn tick_gossip(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_gossip_ms || !self.updates.has_urgent() {
            return;
        }
        if self.update_budget.left(now_ms) < MIN_GOSSIP_BYTES {
            return;
        }
        self.schedule.next_gossip_ms = now_ms + self.options.gossip_interval_ms;
        self.update_budget.spend(DATAGRAM_OVERHEAD_BYTES);
        self.send_updates(now_ms);
    }

    /// Sends pending updates to a random running member or candidate address.
    pub(super) fn send_updates(&mut self, now_ms: u64) {
        if let Some(to) = self.random_address() {
            self.send(now_ms, to, None);
        }
    }

    /// Address of a random running member, or a candidate address.
    pub(super) fn random_address(&mut self) -> Option<SocketAddr> {
        let running = self.running_others().len();
        let index = self.random_index(running + self.candidates.len())?;
        match index.checked_sub(running) {
            Some(candidate) => Some(self.candidates[candidate]),
            None => Some(self.address_of(self.running.ids[index])),
        }
    }

    pub(super) fn address_of(&self, id: MemberId) -> SocketAddr {
        self.view.members[&id].record.gossip_address
    }

    /// The other running members.
    pub(super) fn running_others(&mut self) -> &[MemberId] {
        if !self.running.is_current {
            let local = self.local.id;
            let ids = self.view.running().map(|entry| entry.record.id);
            self.running.ids = ids.filter(|id| *id != local).collect();
            self.running.is_current = true;
        }
        &self.running.ids
    }

    pub(super) fn random_index(&mut self, length: usize) -> Option<usize> {
        let scaled = u64::from(self.rng.next_u32()) * length as u64;
        (length > 0).then_some((scaled >> u32::BITS) as usize)
    }
}

/// Encoded size of a message as a field of a datagram.
pub(super) fn field_len(message: &impl Message) -> usize {
    let length = message.encoded_len();
    TAG_BYTES + encoded_len_varint(length as u64) + length
}

fn status_number(status: MemberStatus) -> i32 {
    let status = match status {
        MemberStatus::Alive => gossip::MemberStatus::Alive,
        MemberStatus::Suspect => gossip::MemberStatus::Suspect,
        MemberStatus::Dead => gossip::MemberStatus::Dead,
        MemberStatus::Left => gossip::MemberStatus::Left,
    };
    status as i32
}
