//! In-memory topics with retention, and the append quota.
use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;

/// One token of the append quota, in thousandths.
const TOKEN_THOUSANDTHS: u64 = 1_000;

/// The append quota is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Throttled {
    /// Time until a token is available, in milliseconds.
    pub retry_after_ms: u64,
}

/// Consecutive records of a topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicBatch {
    /// Offset of the oldest retained record.
    pub first: u64,
    /// Offset of the next record to be appended.
    pub end: u64,
    /// The records, in the order of their offsets.
    pub records: Vec<Bytes>,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The offset is retained or is the next one; the batch may be empty.
    Batch(TopicBatch),
    /// There is no record at the offset, and it is not the next one; holds the oldest retained offset.
    Expired(u64),
}

/// The newest value of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedValue {
    /// The value, without the key.
    pub value: Bytes,
    /// Offset of the record.
    pub offset: u64,
}

#[derive(Debug, Clone)]
struct TopicRecord {
    time_ms: u64,
    data: Bytes,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    first: u64,
    records: VecDeque<TopicRecord>,
    newest: BTreeMap<String, KeyedValue>,
}

impl Topic {
    fn end(&self) -> u64 {
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

    /// Stores the value of a record as the newest one of its key; an empty value removes the key.
    ///
    /// A record starts with the length of its key in one byte and the key; the value follows.
    fn update_newest(&mut self, record: &Bytes, offset: u64) {
        let Some((length, rest)) = record.split_first() else {
            return;
        };
        let Some((key, _)) = rest.split_at_checked(usize::from(*length)) else {
            return;
        };
        let key = String::from_utf8_lossy(key).into_owned();
        let value = record.slice(1 + usize::from(*length)..);
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, KeyedValue { value, offset });
        }
    }
}

/// All topics and the append quota, in memory.
#[derive(Debug, Clone, Default)]
pub struct LogStore {
    topics: BTreeMap<String, Topic>,
    token_thousandths: u64,
    refilled_ms: u64,
}

impl LogStore {
    /// Appends a record and returns its offset; an unknown topic is created.
    pub fn append(&mut self, name: &str, data: Bytes, now_ms: u64) -> u64 {
        let topic = self.topics.entry(name.to_string()).or_default();
        let offset = topic.end();
        if name.starts_with("keyed.") {
            topic.update_newest(&data, offset);
        }
        topic.records.push_back(TopicRecord {
            time_ms: now_ms,
            data,
        });
        offset
    }

    /// Offset that the next record of a topic gets.
    pub fn end(&self, name: &str) -> u64 {
        self.topics.get(name).map_or(0, Topic::end)
    }

    /// Reads all retained records from offset `from` on.
    pub fn read(&self, name: &str, from: u64) -> ReadOutcome {
        let empty = Topic::default();
        let topic = self.topics.get(name).unwrap_or(&empty);
        let skipped = from
            .checked_sub(topic.first)
            .filter(|_| from <= topic.end());
        let Some(skipped) = skipped else {
            return ReadOutcome::Expired(topic.first);
        };
        let records = topic.records.iter().skip(skipped as usize);
        ReadOutcome::Batch(TopicBatch {
            first: topic.first,
            end: topic.end(),
            records: records.map(|record| record.data.clone()).collect(),
        })
    }

    /// The newest value of each key of a topic, and the offset of the next record.
    pub fn newest(&self, name: &str) -> (BTreeMap<String, KeyedValue>, u64) {
        self.topics
            .get(name)
            .map_or_else(Default::default, |topic| {
                (topic.newest.clone(), topic.end())
            })
    }

    /// Drops the records that were appended before `time_ms`; the newest value of each key is kept.
    pub fn expire_before(&mut self, time_ms: u64) {
        for topic in self.topics.values_mut() {
            topic.expire_before(time_ms);
        }
    }

    /// Drops all records; offsets continue and the newest value of each key is kept.
    pub fn expire_all(&mut self) {
        self.expire_before(u64::MAX);
    }

    /// Takes one token from a bucket that holds the appends of one second, `per_second` tokens.
    pub fn take_token(&mut self, per_second: u64, now_ms: u64) -> Result<(), Throttled> {
        let capacity = per_second * TOKEN_THOUSANDTHS;
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let gained = elapsed_ms.saturating_mul(per_second);
        self.token_thousandths = self.token_thousandths.saturating_add(gained).min(capacity);
        self.refilled_ms = now_ms;
        if self.token_thousandths >= TOKEN_THOUSANDTHS {
            self.token_thousandths -= TOKEN_THOUSANDTHS;
            return Ok(());
        }
        let missing = TOKEN_THOUSANDTHS - self.token_thousandths;
        Err(Throttled {
            retry_after_ms: missing.div_ceil(per_second.max(1)),
        })
    }

    /// Number of retained records per topic.
    pub fn record_counts(&self) -> BTreeMap<String, u64> {
        self.topics
            .iter()
            .map(|(name, topic)| (name.clone(), topic.records.len() as u64))
            .collect()
    }
}
