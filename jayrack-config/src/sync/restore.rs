//! Snapshots: restoring from them, writing them, and continuing after records expired before they were folded.
use std::collections::BTreeSet;

use jayrack_protocol::{MemberId, ResultCode};

use super::{Action, ConfigSync, ScheduleView, SnapshotPosition};
use crate::{fold::ConfigState, record::StoredRecord, snapshot};

/// Time after which an unanswered search for snapshots counts as lost, in milliseconds.
const SEARCH_TIMEOUT_MS: u64 = 5_000;

/// Time for which a daemon searches for the records of a gap before it continues without them, in milliseconds.
const GAP_WAIT_MS: u64 = 5_000;

/// Why the latest snapshots are being read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchPurpose {
    /// The daemon started, or the log has expired records that it needs.
    Restore,
    /// A snapshot is due unless another reader wrote it.
    Write,
}

/// An outstanding read of the latest snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SnapshotSearch {
    purpose: SearchPurpose,
    deadline_ms: u64,
}

/// Records that expired in the log before this daemon folded them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ExpiredGap {
    /// Offset of the first record that the log still has.
    first: u64,
    since_ms: u64,
    /// Data centres with a ready member that has not folded the records either.
    confirming_data_centres: BTreeSet<String>,
}

impl ConfigSync {
    pub(super) fn is_restoring(&self) -> bool {
        let is_restore = |search: &SnapshotSearch| search.purpose == SearchPurpose::Restore;
        self.is_restore_pending || self.search.as_ref().is_some_and(is_restore)
    }

    /// Starts a search for snapshots if one is needed to restore, or one is due to be written.
    pub(super) fn search_snapshots(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        if self.search.is_some() {
            return;
        }
        let purpose = if self.is_restore_pending || self.gap.is_some() {
            if !self.log_reader.start(now_ms, SEARCH_TIMEOUT_MS) {
                return;
            }
            SearchPurpose::Restore
        } else {
            if !self.is_snapshot_due(now_ms) {
                return;
            }
            self.schedule.attempted(now_ms);
            SearchPurpose::Write
        };
        self.search = Some(SnapshotSearch {
            purpose,
            deadline_ms: now_ms + SEARCH_TIMEOUT_MS,
        });
        actions.push(Action::ReadSnapshots);
    }

    fn is_snapshot_due(&mut self, now_ms: u64) -> bool {
        if !self.is_ready() || self.halted.is_some() || self.log_reader.is_failing() {
            return false;
        }
        match self.schedule_view(now_ms) {
            Some(view) => self.schedule.is_due(now_ms, &view),
            None => false,
        }
    }

    fn schedule_view(&self, now_ms: u64) -> Option<ScheduleView> {
        let elapsed_ms = now_ms.saturating_sub(self.log.received_ms);
        Some(ScheduleView {
            next_offset: self.state.next_offset(),
            log_first: self.log.first,
            log_now_ms: self.log.now_ms.saturating_add(elapsed_ms),
            writer_index: self.fleet.writer_index()?,
        })
    }

    pub(super) fn expire_search(&mut self, now_ms: u64) {
        self.search.take_if(|search| now_ms >= search.deadline_ms);
    }

    pub(super) fn snapshots_failed(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let purpose = self.search.take().map(|search| search.purpose);
        if purpose == Some(SearchPurpose::Restore) {
            self.log_failed(now_ms, actions);
        }
    }

    pub(super) fn snapshots_read(
        &mut self,
        now_ms: u64,
        records: &[StoredRecord],
        actions: &mut Vec<Action>,
    ) {
        let Some(search) = self.search.take() else {
            return;
        };
        let found = self.newest_snapshot(records, actions);
        if let Some((position, state)) = found {
            self.schedule
                .found(position, position.next_offset >= self.state.next_offset());
            self.install(state);
        }
        match search.purpose {
            SearchPurpose::Restore => self.restored(now_ms, actions),
            SearchPurpose::Write => self.write_if_needed(now_ms, actions),
        }
    }

    fn newest_snapshot(
        &mut self,
        records: &[StoredRecord],
        actions: &mut Vec<Action>,
    ) -> Option<(SnapshotPosition, ConfigState)> {
        let mut best: Option<(SnapshotPosition, ConfigState)> = None;
        for stored in records {
            let state = match snapshot::decode(&stored.data) {
                Ok(state) => state,
                Err(error) => {
                    let detail = format!("snapshot at offset {}: {error}", stored.offset);
                    self.report(error.code(), stored.offset, detail, actions);
                    continue;
                }
            };
            let position = SnapshotPosition {
                next_offset: state.next_offset(),
                time_ms: stored.time_ms,
            };
            let order = |state: &ConfigState| (state.version(), state.next_offset());
            if best
                .as_ref()
                .is_none_or(|(_, best)| order(&state) >= order(best))
            {
                best = Some((position, state));
            }
        }
        best
    }

    /// Continues after a search for a snapshot to restore from.
    fn restored(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        self.log_reader.answered(now_ms);
        self.is_restore_pending = false;
        self.close_gap();
        let Some(gap) = &self.gap else {
            return;
        };
        let first = gap.first;
        if self.may_skip_expired_records(now_ms) {
            self.skip_expired_records(first);
            actions.push(Action::AppendSnapshot {
                text: self.snapshot_text(),
            });
            return;
        }
        self.log_reader
            .back_off(now_ms, self.fleet.len(), &mut self.rng);
        let detail = format!("records before offset {first} expired and no snapshot covers them");
        self.report(ResultCode::LogExpired, first, detail, actions);
    }

    fn write_if_needed(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let view = self.schedule_view(now_ms);
        if self.is_ready() && view.is_some_and(|view| self.schedule.is_needed(&view)) {
            actions.push(Action::AppendSnapshot {
                text: self.snapshot_text(),
            });
        }
    }

    /// Replaces the state by one with a higher offset and no lower version; returns whether it did.
    pub(super) fn install(&mut self, state: ConfigState) -> bool {
        let is_further = state.next_offset() > self.state.next_offset();
        let is_same =
            state.version() == self.state.version() && state.digest() == self.state.digest();
        if !is_further || !(is_same || state.version() > self.state.version()) {
            return false;
        }
        self.tail.reset(state.next_offset());
        self.halted.take_if(|offset| *offset < state.next_offset());
        self.state = state;
        true
    }

    /// Opens or extends the gap after the log has expired records that were not folded here.
    pub(super) fn log_expired(&mut self, now_ms: u64) {
        if self.log.first <= self.state.next_offset() {
            return;
        }
        self.readiness.log_unavailable();
        let gap = self.gap.get_or_insert(ExpiredGap {
            first: self.log.first,
            since_ms: now_ms,
            confirming_data_centres: BTreeSet::new(),
        });
        gap.first = self.log.first;
    }

    pub(super) fn close_gap(&mut self) {
        self.gap
            .take_if(|gap| gap.first <= self.state.next_offset());
    }

    pub(super) fn reset_gap_confirmations(&mut self, now_ms: u64) {
        if let Some(gap) = &mut self.gap {
            gap.since_ms = now_ms;
            gap.confirming_data_centres.clear();
        }
    }

    pub(super) fn confirm_gap(&mut self, data_centre: &str) {
        if let Some(gap) = &mut self.gap {
            gap.confirming_data_centres.insert(data_centre.to_string());
        }
    }

    pub(super) fn is_gap_confirmation_wanted(&self, peer: MemberId) -> bool {
        match (&self.gap, self.fleet.data_centre(peer)) {
            (Some(gap), Some(data_centre)) => !gap.confirming_data_centres.contains(data_centre),
            _ => false,
        }
    }

    /// Whether the expired records can be skipped: the daemon was ready before, and in each data centre
    /// a ready member has confirmed that it does not have them.
    fn may_skip_expired_records(&self, now_ms: u64) -> bool {
        let (Some(gap), Some(writer_index)) = (&self.gap, self.fleet.writer_index()) else {
            return false;
        };
        let wait_ms = GAP_WAIT_MS * (1 + writer_index as u64);
        self.is_ready()
            && now_ms.saturating_sub(gap.since_ms) >= wait_ms
            && gap.confirming_data_centres.len() >= self.fleet.other_data_centres()
    }

    fn skip_expired_records(&mut self, first: u64) {
        self.state.skip_to(first, self.log.now_ms);
        self.tail.reset(first);
        self.gap = None;
    }
}
