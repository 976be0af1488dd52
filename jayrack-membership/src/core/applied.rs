//! Aggregation of the versions in force at the members.
//!
//! A row of a report holds one bit for each running member of a bucket: whether the member has the
//! report's version in force. Rows are merged only between daemons whose views hold the same
//! members and incarnations in the bucket, since the bits refer to these.
use jayrack_protocol::{
    MemberId,
    gossip::{AppliedReport, Datagram},
};
use xxhash_rust::xxh3::Xxh3;

use super::{Action, MembershipCore};
use crate::{
    digest::{BUCKETS, bucket_of, bucket_range},
    updates::UpdateKey,
    view::MemberEntry,
};

/// Maximum number of members of a bucket that a row covers.
const ROW_MEMBERS: usize = u64::BITS as usize;
/// Longest row of a report, in bytes.
pub(super) const MAX_ROW_BYTES: usize = 15;
/// Bytes of a report besides its rows.
pub(super) const REPORT_BYTES: usize = 24;

const APPLIED_INTERVAL_MS: u64 = 1_000;
/// Transmissions of a row that only repeats what others should have received already.
const REPEAT_TRANSMISSIONS: u32 = 2;

/// Row of a report: which members of one bucket have the report's version in force.
struct AppliedRow {
    members: u32,
    bits: u64,
}

impl MembershipCore {
    pub(super) fn tick_applied(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_applied_ms {
            return;
        }
        self.schedule.next_applied_ms = now_ms + APPLIED_INTERVAL_MS;
        self.queue_outdated_row();
        self.send_applied_rows(now_ms);
        if std::mem::take(&mut self.is_applied_changed) {
            self.actions.push(Action::Changed);
        }
    }

    /// Raises the version known to be in force at a member, in the view and in the address history.
    pub(super) fn raise_applied(&mut self, now_ms: u64, id: MemberId, version: u64) {
        let Some(entry) = self.view.members.get_mut(&id) else {
            return;
        };
        if version <= entry.applied_version {
            return;
        }
        entry.applied_version = version;
        entry.minimum_version = entry.minimum_version.max(version);
        self.is_applied_changed = true;
        self.address_history
            .raise_minimum_version(now_ms, id, version);
        if version > self.highest_applied {
            self.highest_applied = version;
            for bucket in 0..BUCKETS as u8 {
                self.updates.remove(UpdateKey::Applied(bucket));
            }
        }
        if version == self.highest_applied {
            self.updates.push(UpdateKey::Applied(bucket_of(id) as u8));
        }
    }

    /// Adds the row of a bucket to the report of a datagram.
    pub(super) fn add_applied(&self, datagram: &mut Datagram, bucket: u8) {
        let row = self.applied_row(usize::from(bucket), self.highest_applied);
        let report = datagram.applied.get_or_insert_with(|| AppliedReport {
            version: self.highest_applied,
            ..AppliedReport::default()
        });
        report.buckets.push(bucket);
        report.members.push(row.members);
        report.bits.push(row.bits);
    }

    /// Sends new rows to a random member of any data centre, since most probes stay in one.
    pub(super) fn send_applied_rows(&mut self, now_ms: u64) {
        let limit = self.retransmit_limit();
        if self
            .updates
            .has_non_urgent_below(limit.saturating_sub(REPEAT_TRANSMISSIONS))
        {
            self.send_updates(now_ms);
        }
    }

    /// Queues a row in which a member is behind, so that a receiver with newer information sends
    /// its own row.
    pub(super) fn queue_outdated_row(&mut self) {
        let first = self.random_index(BUCKETS).unwrap_or(0);
        let version = self.highest_applied;
        let behind = self.view.members.range(bucket_range(first).start()..);
        let behind = behind
            .map(|(_, entry)| entry)
            .find(|entry| entry.status.is_running() && entry.applied_version < version);
        if let Some(bucket) = behind.map(|entry| bucket_of(entry.record.id) as u8) {
            let limit = self.retransmit_limit();
            self.updates.push_if_absent(
                UpdateKey::Applied(bucket),
                limit.saturating_sub(REPEAT_TRANSMISSIONS),
            );
        }
    }

    pub(super) fn merge_applied(&mut self, now_ms: u64, report: &AppliedReport) {
        let rows = report.buckets.iter().zip(&report.members).zip(&report.bits);
        for ((bucket, members), bits) in rows {
            let bucket = usize::from(*bucket);
            if bucket < BUCKETS {
                let row = AppliedRow {
                    members: *members,
                    bits: *bits,
                };
                self.merge_row(now_ms, bucket, row, report.version);
            }
        }
    }

    fn merge_row(&mut self, now_ms: u64, bucket: usize, row: AppliedRow, version: u64) {
        let own = self.applied_row(bucket, version);
        if own.members != row.members {
            return;
        }
        let new_bits = row.bits & !own.bits;
        let ids: Vec<MemberId> = self.row_members(bucket).map(|e| e.record.id).collect();
        for (index, id) in ids.into_iter().enumerate() {
            if new_bits & (1 << index) != 0 && id != self.local.id {
                self.raise_applied(now_ms, id, version);
            }
        }
        let limit = self.retransmit_limit();
        let key = UpdateKey::Applied(bucket as u8);
        if own.bits & !row.bits != 0 {
            self.updates
                .push_if_absent(key, limit.saturating_sub(REPEAT_TRANSMISSIONS));
        }
    }

    fn applied_row(&self, bucket: usize, version: u64) -> AppliedRow {
        let mut hash = Xxh3::new();
        let mut bits = 0;
        for (index, entry) in self.row_members(bucket).enumerate() {
            hash.update(&entry.record.id.0.to_le_bytes());
            hash.update(&entry.record.incarnation.to_le_bytes());
            bits |= u64::from(entry.applied_version >= version) << index;
        }
        AppliedRow {
            members: hash.digest() as u32,
            bits,
        }
    }

    fn row_members(&self, bucket: usize) -> impl Iterator<Item = &MemberEntry> {
        self.view
            .members
            .range(bucket_range(bucket))
            .map(|(_, entry)| entry)
            .filter(|entry| entry.status.is_running())
            .take(ROW_MEMBERS)
    }
}
