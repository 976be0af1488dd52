//! Anti-entropy: two daemons compare digests by bucket and exchange what differs.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{self, Datagram, SyncDigest, SyncPull, SyncRecords, SyncSummary, datagram::Body},
};
use prost::Message;

use super::{MembershipCore, outgoing::field_len};
use crate::{
    digest::{BUCKETS, ViewDigest, bucket_range},
    record::RecordRecency,
    view::{MemberEntry, MemberStatus},
    wire::{self, MAX_PAYLOAD_BYTES},
};

/// New members and incarnations in one exchange from which on the next exchange follows soon.
const CATCH_UP_MEMBERS: usize = 4;
pub(super) const CATCH_UP_INTERVAL_MS: u64 = 400;
const SUSPECTING_INTERVAL_MS: u64 = 1_000;
/// Maximum number of datagrams of records in one step of an exchange.
const MAX_RECORD_DATAGRAMS: usize = 3;
/// Maximum number of members in one summary.
const MAX_SUMMARY_MEMBERS: usize = 60;
/// Maximum number of members requested in one pull.
const MAX_PULL_MEMBERS: usize = 40;
/// Maximum number of statuses of ended members in one reply.
const MAX_ENDED_STATUSES: usize = 20;
/// Bytes of a summary reserved for an incarnation whose encoding is longer than expected.
const SUMMARY_RESERVE_BYTES: usize = 64;

impl MembershipCore {
    /// Starts an exchange with the sender of a probe or ack when its view differs and an exchange
    /// is due.
    pub(super) fn start_sync(&mut self, now_ms: u64, from: SocketAddr, datagram: &Datagram) {
        let is_probe = matches!(datagram.body, Some(Body::Ping(_) | Body::Ack(_)));
        let is_equal = datagram.view_digest == self.digest.root();
        if is_probe && !is_equal && now_ms >= self.sync_due_ms() {
            self.send_digest(now_ms, from);
        }
    }

    /// Time of the next exchange; sooner while a member is suspected, since this daemon may have
    /// missed the refutation.
    fn sync_due_ms(&self) -> u64 {
        let soon_ms = self.schedule.last_sync_ms + SUSPECTING_INTERVAL_MS;
        match self.suspicions.is_empty() {
            true => self.schedule.next_sync_ms,
            false => self.schedule.next_sync_ms.min(soon_ms),
        }
    }

    /// Starts exchanges with random members while this daemon is catching up.
    pub(super) fn tick_sync(&mut self, now_ms: u64) {
        let is_catching_up = self.schedule.sync_interval_ms == CATCH_UP_INTERVAL_MS;
        if !is_catching_up || now_ms < self.schedule.next_sync_ms {
            return;
        }
        if let Some(to) = self.random_address() {
            self.send_digest(now_ms, to);
        }
    }

    fn send_digest(&mut self, now_ms: u64, to: SocketAddr) {
        self.schedule.last_sync_ms = now_ms;
        self.schedule.next_sync_ms = now_ms + self.schedule.sync_interval_ms;
        let longer_ms = self.schedule.sync_interval_ms * 2;
        self.schedule.sync_interval_ms = longer_ms.min(self.options.sync_interval_ms);
        self.learned = 0;
        let buckets = self.digest.to_bytes();
        self.send(now_ms, to, Some(Body::SyncDigest(SyncDigest { buckets })));
    }

    /// Counts a new member or incarnation, and brings the next exchange forward when there are
    /// many.
    pub(super) fn count_learned(&mut self, now_ms: u64) {
        self.learned += 1;
        if self.learned == CATCH_UP_MEMBERS {
            let soon_ms = now_ms + CATCH_UP_INTERVAL_MS;
            self.schedule.next_sync_ms = self.schedule.next_sync_ms.min(soon_ms);
            self.schedule.sync_interval_ms = CATCH_UP_INTERVAL_MS;
        }
    }

    /// Replies with the records of buckets that are empty at the sender, and a summary of the other
    /// buckets that differ.
    pub(super) fn receive_digest(&mut self, now_ms: u64, from: SocketAddr, message: &SyncDigest) {
        let Some(digest) = ViewDigest::from_bytes(&message.buckets) else {
            return;
        };
        if self.sync_budget.left(now_ms) == 0 {
            return;
        }
        self.sync_budget.spend(1);
        let start = self.random_index(BUCKETS).unwrap_or(0);
        let order = (0..BUCKETS).map(|offset| (start + offset) % BUCKETS);
        let differing: Vec<usize> = order
            .filter(|bucket| digest.bucket(*bucket) != self.digest.bucket(*bucket))
            .collect();
        let (empty, other): (Vec<usize>, Vec<usize>) = differing
            .into_iter()
            .partition(|bucket| digest.bucket(*bucket) == 0);
        self.send_bucket_records(from, &empty);
        if let Some(summary) = self.summary(&other) {
            self.send(now_ms, from, Some(Body::SyncSummary(summary)));
        }
    }

    fn send_bucket_records(&mut self, to: SocketAddr, buckets: &[usize]) {
        let ids: Vec<MemberId> = buckets
            .iter()
            .flat_map(|bucket| self.bucket_members(*bucket))
            .map(|entry| entry.record.id)
            .collect();
        if !ids.is_empty() {
            self.send_records(to, &ids, Vec::new());
        }
    }

    fn bucket_members(&self, bucket: usize) -> impl Iterator<Item = &MemberEntry> {
        self.view
            .members
            .range(bucket_range(bucket))
            .map(|(_, entry)| entry)
            .filter(|entry| entry.status.is_running())
    }

    fn summary(&self, buckets: &[usize]) -> Option<SyncSummary> {
        let mut summary = SyncSummary::default();
        for bucket in buckets {
            let before = summary.clone();
            summary.buckets.push(*bucket as u8);
            for entry in self.bucket_members(*bucket) {
                summary.ids.push(entry.record.id.0);
                summary.incarnations.push(entry.record.incarnation);
                summary.revisions.push(entry.record.revision);
            }
            let is_full = summary.ids.len() > MAX_SUMMARY_MEMBERS
                || summary.encoded_len() > MAX_PAYLOAD_BYTES - SUMMARY_RESERVE_BYTES;
            if is_full && !before.buckets.is_empty() {
                return Some(before);
            }
        }
        (!summary.buckets.is_empty()).then_some(summary)
    }

    /// Requests the records that are newer at the sender, and sends those that are older or missing
    /// there.
    pub(super) fn receive_summary(&mut self, now_ms: u64, from: SocketAddr, summary: &SyncSummary) {
        let mut wanted = Vec::new();
        let mut statuses = Vec::new();
        let rows = summary.ids.iter().zip(&summary.incarnations);
        for ((id, incarnation), revision) in rows.zip(&summary.revisions) {
            let recency = RecordRecency {
                incarnation: *incarnation,
                revision: *revision,
            };
            self.compare_row(MemberId(*id), recency, &mut wanted, &mut statuses);
        }
        statuses.truncate(MAX_ENDED_STATUSES);
        let offered = self.newer_than(summary);
        if !offered.is_empty() || !statuses.is_empty() {
            self.send_records(from, &offered, statuses);
        }
        wanted.truncate(MAX_PULL_MEMBERS);
        if !wanted.is_empty() {
            let pull = SyncPull { ids: wanted };
            self.send(now_ms, from, Some(Body::SyncPull(pull)));
        }
    }

    fn compare_row(
        &mut self,
        id: MemberId,
        recency: RecordRecency,
        wanted: &mut Vec<u64>,
        statuses: &mut Vec<gossip::StatusUpdate>,
    ) {
        let Some(entry) = self.view.get(id) else {
            if recency.incarnation > self.address_history.get(id).ended_incarnation {
                wanted.push(id.0);
            }
            return;
        };
        if recency > entry.record.recency() {
            wanted.push(id.0);
        }
        let is_ended = !entry.status.is_running();
        if is_ended && recency.incarnation <= entry.record.incarnation {
            statuses.push(self.ended_status(id, entry));
            self.rechecks.insert(id);
        }
    }

    /// Returns a status update for an ended member: definite when it left, a suspicion when it was
    /// declared dead, since it may have been unreachable from this daemon only.
    fn ended_status(&self, id: MemberId, entry: &MemberEntry) -> gossip::StatusUpdate {
        let mut message = self.status_message(id, entry);
        if entry.status == MemberStatus::Dead {
            message.set_status(gossip::MemberStatus::Suspect);
            message.source = self.local.id.0;
        }
        message
    }

    /// Sends a peer the statuses of members that are running in its view and ended in this one.
    pub(super) fn answer_disputes(&mut self, to: SocketAddr) {
        let disputes = std::mem::take(&mut self.disputes);
        let entries = disputes.iter().filter_map(|id| self.view.get(*id));
        let ended_statuses = entries.map(|entry| self.ended_status(entry.record.id, entry));
        let ended_statuses: Vec<gossip::StatusUpdate> =
            ended_statuses.take(MAX_ENDED_STATUSES).collect();
        if !ended_statuses.is_empty() {
            self.send_records(to, &[], ended_statuses);
        }
    }

    fn newer_than(&self, summary: &SyncSummary) -> Vec<MemberId> {
        let listed = |id: MemberId| {
            let index = summary.ids.iter().position(|other| *other == id.0)?;
            Some(RecordRecency {
                incarnation: *summary.incarnations.get(index)?,
                revision: *summary.revisions.get(index)?,
            })
        };
        let buckets = summary.buckets.iter().map(|bucket| usize::from(*bucket));
        buckets
            .filter(|bucket| *bucket < BUCKETS)
            .flat_map(|bucket| self.bucket_members(bucket))
            .filter(|entry| listed(entry.record.id) < Some(entry.record.recency()))
            .map(|entry| entry.record.id)
            .collect()
    }

    pub(super) fn receive_pull(&mut self, to: SocketAddr, pull: &SyncPull) {
        let ids: Vec<MemberId> = pull.ids.iter().copied().map(MemberId).collect();
        self.send_records(to, &ids, Vec::new());
    }

    /// Sends the records of running members, in a bounded number of datagrams.
    fn send_records(
        &mut self,
        to: SocketAddr,
        ids: &[MemberId],
        mut statuses: Vec<gossip::StatusUpdate>,
    ) {
        let mut waiting = ids.iter().peekable();
        for _ in 0..MAX_RECORD_DATAGRAMS {
            let mut datagram = self.new_datagram(to, Some(Body::SyncRecords(SyncRecords {})));
            datagram.statuses.append(&mut statuses);
            let mut room = MAX_PAYLOAD_BYTES.saturating_sub(datagram.encoded_len());
            while let Some(id) = waiting.peek() {
                let size = self.add_running_record(&mut datagram, **id, room);
                let Some(size) = size else { break };
                room -= size;
                waiting.next();
            }
            self.emit(to, datagram);
            if waiting.peek().is_none() {
                return;
            }
        }
    }

    /// Adds the record of a running member and returns its size; `None` when it exceeds `room`, and
    /// 0 without a record for any other member.
    fn add_running_record(
        &self,
        datagram: &mut Datagram,
        id: MemberId,
        room: usize,
    ) -> Option<usize> {
        let Some(entry) = self.view.get(id).filter(|e| e.status.is_running()) else {
            return Some(0);
        };
        let message = wire::to_message(&entry.record, entry.applied_version);
        let size = field_len(&message);
        (size <= room).then(|| datagram.records.push(message))?;
        Some(size)
    }
}
