//! Decides when a snapshot is due and which reader writes it.

/// Additional wait of each further reader before it writes a due snapshot, in milliseconds.
pub const WRITER_STAGGER_MS: u64 = 2_000;

/// Time between two attempts to write a snapshot, in milliseconds.
pub const ATTEMPT_INTERVAL_MS: u64 = 10_000;

/// Number of records past the last snapshot that make the next one due.
pub const RECORDS_PER_SNAPSHOT: u64 = 512;

/// State of the daemon and of the log by which a snapshot is due or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduleView {
    /// Offset after the last folded record.
    pub next_offset: u64,
    /// Offset of the first record that the log still has.
    pub log_first: u64,
    /// Log time now, in milliseconds since the Unix epoch.
    pub log_now_ms: u64,
    /// Position of the daemon in the order in which readers write snapshots.
    pub writer_index: usize,
}

/// Extent and time of a snapshot in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotPosition {
    /// Offset after the last record that the snapshot covers.
    pub next_offset: u64,
    /// Time at which the log stored the snapshot, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Tracks the last known snapshot in the log and the records after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotSchedule {
    retention_ms: u64,
    last: Option<SnapshotPosition>,
    /// Log time of the first record that no snapshot covers.
    uncovered_since_ms: Option<u64>,
    due_since_ms: Option<u64>,
    attempted_ms: Option<u64>,
}

impl SnapshotSchedule {
    /// A schedule for a log that keeps its records for `retention_ms`.
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            last: None,
            uncovered_since_ms: None,
            due_since_ms: None,
            attempted_ms: None,
        }
    }

    /// Time for which the log keeps records as far as known, in milliseconds.
    pub fn retention_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Lowers the retention, after a record of this age was found to be expired.
    pub fn lower_retention(&mut self, age_ms: u64) {
        self.retention_ms = self.retention_ms.min(age_ms.max(1));
    }

    /// Takes a folded record into account.
    pub fn folded(&mut self, offset: u64, time_ms: u64) {
        let is_covered = self.last.is_some_and(|last| offset < last.next_offset);
        if !is_covered && self.uncovered_since_ms.is_none() {
            self.uncovered_since_ms = Some(time_ms);
        }
    }

    /// Takes a snapshot in the log into account; `is_current` if it covers all folded records.
    pub fn found(&mut self, position: SnapshotPosition, is_current: bool) {
        if self
            .last
            .is_some_and(|last| last.next_offset > position.next_offset)
        {
            return;
        }
        let is_newer = self
            .last
            .is_none_or(|last| last.next_offset < position.next_offset);
        self.last = Some(position);
        if is_current {
            self.uncovered_since_ms = None;
        } else if is_newer {
            self.uncovered_since_ms = Some(position.time_ms);
        }
        self.due_since_ms = None;
    }

    /// Whether the log must be searched for a snapshot, and one be written unless it is found.
    ///
    /// Readers are staggered by writer index, so that a later one acts only when those before it did not.
    pub fn is_due(&mut self, now_ms: u64, view: &ScheduleView) -> bool {
        if !self.is_needed(view) {
            self.due_since_ms = None;
            return false;
        }
        let since_ms = *self.due_since_ms.get_or_insert(now_ms);
        let earliest_ms = since_ms + WRITER_STAGGER_MS * view.writer_index as u64;
        let retry_ms = self.attempted_ms.map_or(0, |ms| ms + ATTEMPT_INTERVAL_MS);
        now_ms >= earliest_ms.max(retry_ms)
    }

    /// Whether the records and snapshots in the log will soon not suffice to restore the state.
    pub fn is_needed(&self, view: &ScheduleView) -> bool {
        if view.next_offset <= 1 {
            return false;
        }
        let covered = self.last.map_or(1, |last| last.next_offset);
        let age_ms = |time_ms: u64| view.log_now_ms.saturating_sub(time_ms);
        view.log_first > covered
            || view.next_offset.saturating_sub(covered) >= RECORDS_PER_SNAPSHOT
            || self
                .uncovered_since_ms
                .is_some_and(|ms| age_ms(ms) >= self.retention_ms / 4)
            || self
                .last
                .is_some_and(|last| age_ms(last.time_ms) >= self.retention_ms / 2)
    }

    /// Starts the interval before the next attempt.
    pub fn attempted(&mut self, now_ms: u64) {
        self.attempted_ms = Some(now_ms);
    }

    /// Restarts the wait for a due snapshot, after a suspension.
    pub fn restart_wait(&mut self) {
        self.due_since_ms = None;
    }
}
