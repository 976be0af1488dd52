//! The streams of the log, their expiry and the append quota.
use std::collections::{BTreeMap, VecDeque};

use jayrack_platform::log::{Appended, LogEntry, ReadBatch};

/// One token of the append quota, in thousandths.
const TOKEN_MILLIS: u64 = 1_000;

/// Why an append was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Throttled {
    /// When a token will be there, in milliseconds.
    pub retry_after_ms: u64,
}

/// What a read finds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The offset is kept or is the next one.
    Batch(ReadBatch),
    /// The offset was expired; the batch has no records.
    Expired(ReadBatch),
}

#[derive(Debug)]
struct RecordStream {
    first: u64,
    records: VecDeque<LogEntry>,
}

impl Default for RecordStream {
    fn default() -> Self {
        Self {
            first: 1,
            records: VecDeque::new(),
        }
    }
}

impl RecordStream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn expire_before(&mut self, time_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|record| record.time_ms < time_ms)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

/// All streams in memory.
#[derive(Debug, Default)]
pub struct LogStore {
    streams: BTreeMap<String, RecordStream>,
    last_time_ms: u64,
    token_millis: u64,
    refilled_ms: u64,
}

impl LogStore {
    /// Appends a record; times never go back.
    pub fn append(&mut self, stream: &str, data: String, now_ms: u64) -> Appended {
        self.last_time_ms = self.last_time_ms.max(now_ms);
        let time_ms = self.last_time_ms;
        let stream = self.streams.entry(stream.to_string()).or_default();
        let offset = stream.next();
        stream.records.push_back(LogEntry {
            offset,
            time_ms,
            data,
        });
        Appended { offset, time_ms }
    }

    /// Reads at most `max` records from offset `from` on.
    pub fn read(&self, stream: &str, from: u64, max: usize, now_ms: u64) -> ReadOutcome {
        let empty = RecordStream::default();
        let stream = self.streams.get(stream).unwrap_or(&empty);
        let mut batch = ReadBatch {
            first: stream.first,
            next: stream.next(),
            now_ms: now_ms.max(self.last_time_ms),
            records: Vec::new(),
        };
        let Some(skipped) = from.checked_sub(stream.first) else {
            return ReadOutcome::Expired(batch);
        };
        let records = stream.records.iter().skip(skipped as usize).take(max);
        batch.records = records.cloned().collect();
        ReadOutcome::Batch(batch)
    }

    /// Drops the records that were appended before `time_ms`.
    pub fn expire_before(&mut self, time_ms: u64) {
        for stream in self.streams.values_mut() {
            stream.expire_before(time_ms);
        }
    }

    /// Drops all records and keeps the offsets.
    pub fn expire_all(&mut self) {
        self.expire_before(u64::MAX);
    }

    /// Takes one token of a bucket that holds a second's worth of `per_second` appends.
    pub fn take_token(&mut self, per_second: u64, now_ms: u64) -> Result<(), Throttled> {
        let capacity = per_second * TOKEN_MILLIS;
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let gained = elapsed_ms.saturating_mul(per_second);
        self.token_millis = self.token_millis.saturating_add(gained).min(capacity);
        self.refilled_ms = now_ms;
        if self.token_millis >= TOKEN_MILLIS {
            self.token_millis -= TOKEN_MILLIS;
            return Ok(());
        }
        let missing = TOKEN_MILLIS - self.token_millis;
        Err(Throttled {
            retry_after_ms: missing.div_ceil(per_second.max(1)),
        })
    }

    /// The number of records kept per stream.
    pub fn record_counts(&self) -> BTreeMap<String, u64> {
        self.streams
            .iter()
            .map(|(name, stream)| (name.clone(), stream.records.len() as u64))
            .collect()
    }
}
