//! Bounds of what is kept of members that are gone.
use jayrack_protocol::MemberId;

use super::MembershipCore;
use crate::{
    updates::UpdateKey,
    view::{MemberEntry, MemberStatus},
};

pub(super) const FORGET_INTERVAL_MS: u64 = 10_000;
/// Time after which an unknown sender is forgotten.
const FORGET_SENDER_MS: u64 = 600_000;

impl MembershipCore {
    pub(super) fn tick_forget(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_forget_ms {
            return;
        }
        self.schedule.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
        let is_due = |entry: &MemberEntry| {
            let limit_ms = match entry.status {
                MemberStatus::Dead => self.options.forget_dead_ms,
                MemberStatus::Left => self.options.forget_left_ms,
                MemberStatus::Alive | MemberStatus::Suspect => return false,
            };
            now_ms.saturating_sub(entry.since_ms) >= limit_ms
        };
        let entries = self.view.members.values();
        let due: Vec<MemberId> = entries
            .filter(|entry| is_due(entry))
            .map(|entry| entry.record.id)
            .collect();
        for id in due {
            self.forget(id);
        }
        let members = &self.view.members;
        self.peers.retain(|id, track| {
            let heard_ms = track.heard_ms.unwrap_or(0);
            members.contains_key(id) || now_ms.saturating_sub(heard_ms) < FORGET_SENDER_MS
        });
    }

    pub(super) fn forget(&mut self, id: MemberId) {
        if let Some(entry) = self.view.members.remove(&id) {
            self.digest.toggle(&entry);
            self.running.is_current = false;
        }
        self.peers.remove(&id);
        self.updates.remove(UpdateKey::Record(id));
        self.updates.remove(UpdateKey::Status(id));
        self.note_change();
    }
}
