//! Bounded store of the latest records, for peers that pull.
use std::collections::VecDeque;

use crate::record::StoredRecord;

/// Limits of a [`RecordTail`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Number of records kept.
    pub records: usize,
    /// Size of the text of all records kept, in bytes.
    pub size_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            records: 2048,
            size_bytes: 2 * 1024 * 1024,
        }
    }
}

/// The latest records without gaps, bounded by number and size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordTail {
    options: Options,
    records: VecDeque<StoredRecord>,
    size_bytes: usize,
    next_offset: u64,
}

impl RecordTail {
    /// An empty tail before the record at `next_offset`.
    pub fn new(options: Options, next_offset: u64) -> Self {
        Self {
            options,
            records: VecDeque::new(),
            size_bytes: 0,
            next_offset,
        }
    }

    /// Number of records kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Size of the text of all records kept, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Offset after the last record.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Offset of the first record kept; the next offset when none is kept.
    pub fn first_offset(&self) -> u64 {
        self.next_offset - self.records.len() as u64
    }

    /// The record at `offset`, if it is kept.
    pub fn get(&self, offset: u64) -> Option<&StoredRecord> {
        let index = offset.checked_sub(self.first_offset())?;
        self.records.get(usize::try_from(index).ok()?)
    }

    /// Adds a record; one after a gap replaces all earlier ones, one below the next offset is ignored.
    pub fn push(&mut self, record: StoredRecord) {
        if record.offset < self.next_offset {
            return;
        }
        if record.offset > self.next_offset {
            self.reset(record.offset);
        }
        self.next_offset = record.offset.saturating_add(1);
        self.size_bytes += record.data.len();
        self.records.push_back(record);
        while self.records.len() > self.options.records || self.size_bytes > self.options.size_bytes
        {
            self.evict();
        }
    }

    /// Removes all records and continues at `next_offset`.
    pub fn reset(&mut self, next_offset: u64) {
        self.records.clear();
        self.size_bytes = 0;
        self.next_offset = next_offset;
    }

    /// At most `max` records from `offset` on; `None` when some were evicted or `offset` is ahead of the tail.
    pub fn from(&self, offset: u64, max: usize) -> Option<Vec<StoredRecord>> {
        if offset < self.first_offset() || offset > self.next_offset {
            return None;
        }
        let skipped = usize::try_from(offset - self.first_offset()).ok()?;
        Some(
            self.records
                .iter()
                .skip(skipped)
                .take(max)
                .cloned()
                .collect(),
        )
    }

    fn evict(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.size_bytes -= record.data.len();
        }
    }
}
