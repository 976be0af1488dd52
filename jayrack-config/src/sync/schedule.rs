//! Decides when a snapshot is due and which reader writes it.
/// Time by which each further reader waits longer before it writes a due snapshot, in milliseconds.
pub const WRITER_STAGGER_MS: u64 = 2_000;

/// Time between two attempts to write a snapshot, in milliseconds.
pub const ATTEMPT_INTERVAL_MS: u64 = 10_000;

/// Number of records past the last snapshot that make the next one due.
pub const RECORDS_PER_SNAPSHOT: u64 = 512;

/// What the daemon knows about the log and its own state when it looks for a due snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduleView {
    /// Offset after the last folded record.
    pub next_offset: u64,
    /// Offset of the first record that the log still has.
    pub log_first: u64,
    /// Log time now, in milliseconds since the Unix epoch.
    pub log_now_ms: u64,
    /// Place of the daemon among the readers.
    pub writer_index: usize,
}

/// The last snapshot in the log, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotPosition {
    /// Offset after the last record that the snapshot covers.
    pub next_offset: u64,
    /// Time at which the log stored the snapshot, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Keeps track of the last snapshot and of the records after it.
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

    /// The time for which the log keeps records as far as known, in milliseconds.
    pub fn retention_ms(&self) -> u64 {
        self.retention_ms
    }

    /// Lowers the retention, after a record of this age was found to be expired.
    pub fn lower_retention(&mut self, age_ms: u64) {
        self.retention_ms = self.retention_ms.min(age_ms.max(1));
    }

    /// Notes that a record was folded.
    pub fn folded(&mut self, offset: u64, time_ms: u64) {
        let is_covered = self.last.is_some_and(|last| offset < last.next_offset);
        if !is_covered && self.uncovered_since_ms.is_none() {
            self.uncovered_since_ms = Some(time_ms);
        }
    }

    /// Notes a snapshot that is in the log; `is_current` when no folded record lies past it.
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
    /// Readers are staggered by their rank, so that a further one acts only when those before it did not.
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

    /// Whether the records and snapshots in the log do not suffice for much longer.
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

    /// Notes that an attempt begins.
    pub fn attempted(&mut self, now_ms: u64) {
        self.attempted_ms = Some(now_ms);
    }

    /// Forgets for how long a snapshot has been due, after a pause.
    pub fn restart_wait(&mut self) {
        self.due_since_ms = None;
    }
}
