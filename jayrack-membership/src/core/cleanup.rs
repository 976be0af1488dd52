//! Removal of ended members and unknown senders, which bounds the stored state.
use jayrack_protocol::MemberId;

use super::MembershipCore;
use crate::{
    updates::UpdateKey,
    view::{MemberEntry, MemberStatus},
};

pub(super) const CLEANUP_INTERVAL_MS: u64 = 10_000;
/// Maximum number of dead and left members kept; those that ended first are removed first.
const MAX_ENDED: usize = 1_024;
/// Time without a datagram after which the state of an unknown sender is removed.
const UNKNOWN_SENDER_RETENTION_MS: u64 = 600_000;

impl MembershipCore {
    pub(super) fn tick_cleanup(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_cleanup_ms {
            return;
        }
        self.schedule.next_cleanup_ms = now_ms + CLEANUP_INTERVAL_MS;
        for id in self.expired_members(now_ms) {
            self.remove_member(id);
        }
        let members = &self.view.members;
        self.peers.retain(|id, peer_state| {
            let last_received_ms = peer_state.last_received_ms.unwrap_or(0);
            members.contains_key(id)
                || now_ms.saturating_sub(last_received_ms) < UNKNOWN_SENDER_RETENTION_MS
        });
    }

    /// Ended members whose retention time is over or that exceed [`MAX_ENDED`].
    fn expired_members(&self, now_ms: u64) -> Vec<MemberId> {
        let entries = self.view.members.values();
        let mut ended: Vec<&MemberEntry> = entries
            .filter(|entry| !entry.status.is_running() && entry.record.id != self.local.id)
            .collect();
        ended.sort_by_key(|entry| entry.since_ms);
        let excess = ended.len().saturating_sub(MAX_ENDED);
        let indexed = ended.into_iter().enumerate();
        indexed
            .filter(|(index, entry)| *index < excess || self.is_retention_over(now_ms, entry))
            .map(|(_, entry)| entry.record.id)
            .collect()
    }

    fn is_retention_over(&self, now_ms: u64, entry: &MemberEntry) -> bool {
        let limit_ms = match entry.status {
            MemberStatus::Left => self.options.left_retention_ms,
            _ => self.options.dead_retention_ms,
        };
        now_ms.saturating_sub(entry.since_ms) >= limit_ms
    }

    fn remove_member(&mut self, id: MemberId) {
        if let Some(entry) = self.view.members.remove(&id) {
            self.digest.toggle(&entry);
            self.running.is_current = false;
        }
        self.peers.remove(&id);
        self.updates.remove(UpdateKey::Record(id));
        self.updates.remove(UpdateKey::Status(id));
        self.record_change();
    }
}
