//! Calls to the platform log, each in a task of its own that sends its result to the control loop.
use std::{net::SocketAddr, sync::Arc};

use jayrack_config::{
    record::StoredRecord,
    sync::{Input, LogAnswer, RecordPush},
};
use jayrack_membership::contacts::{self, ContactRecord};
use jayrack_platform::{
    HttpLog, LogService,
    log::{self, Appended, LogEntry, ReadBatch},
    traffic::TrafficCounts,
};
use tokio::sync::mpsc;

use super::ControlEvent;

/// Stream of plans, confirms and drops.
pub const INTENTS: &str = "intents";

/// Stream of configuration snapshots.
pub const SNAPSHOTS: &str = "snapshots";

/// Stream of gossip addresses through which new members join.
pub const CONTACTS: &str = "contacts";

/// Maximum number of contacts that one read returns; the newest are read.
const MAX_CONTACTS_READ: u64 = 32;

/// Maximum number of snapshots that one read returns; the newest are read.
const MAX_SNAPSHOTS_READ: u64 = 3;

/// Number of times that peers may relay records that were read ahead.
const READ_AHEAD_HOPS: u32 = 12;

/// A read of the `intents` stream.
#[derive(Debug, Clone, Copy)]
pub struct IntentRead {
    /// Offset of the first record wanted.
    pub from: u64,
    /// Maximum number of records in the answer.
    pub max: usize,
    /// Time for which the log may hold the read without new records, in milliseconds.
    pub wait_ms: u64,
    /// Time to wait before the read is sent, in milliseconds.
    pub delay_ms: u64,
}

/// Sends calls to the log and reports their results to the control loop.
#[derive(Debug, Clone)]
pub struct LogCaller {
    log: Arc<HttpLog>,
    events: mpsc::Sender<ControlEvent>,
}

impl LogCaller {
    /// Creates a caller that reports to `events`.
    pub fn new(log: Arc<HttpLog>, events: mpsc::Sender<ControlEvent>) -> Self {
        Self { log, events }
    }

    /// Connections opened and bytes transferred by all calls since the start.
    pub fn traffic(&self) -> TrafficCounts {
        self.log.traffic()
    }

    /// Reads the `intents` stream; the result becomes an input of the configuration's state machine.
    pub fn read_intents(&self, read: IntentRead) {
        let caller = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(read.delay_ms)).await;
            let result = caller
                .log
                .read(INTENTS, read.from, read.max, read.wait_ms)
                .await;
            caller
                .report(ControlEvent::Log(input_from_read(result)))
                .await;
        });
    }

    /// Reads records outside of the regular reads; they are handled and relayed like those of a peer's
    /// push.
    pub fn read_ahead(&self, from: u64, max: usize) {
        let caller = self.clone();
        tokio::spawn(async move {
            let Ok(batch) = caller.log.read(INTENTS, from, max, 0).await else {
                return;
            };
            let push = RecordPush {
                peer: None,
                records: stored_records(batch.records),
                hops: READ_AHEAD_HOPS,
            };
            caller.report(ControlEvent::Log(Input::Pushed(push))).await;
        });
    }

    /// Reads the newest records of the `snapshots` stream.
    pub fn read_snapshots(&self) {
        let caller = self.clone();
        tokio::spawn(async move {
            let input = match read_newest(&caller.log, SNAPSHOTS, MAX_SNAPSHOTS_READ).await {
                Ok(batch) => Input::SnapshotsRead {
                    records: stored_records(batch.records),
                },
                Err(_) => Input::SnapshotsFailed,
            };
            caller.report(ControlEvent::Log(input)).await;
        });
    }

    /// Appends a snapshot; a lost answer needs no retry.
    pub fn append_snapshot(&self, text: String) {
        let caller = self.clone();
        tokio::spawn(async move {
            match caller.log.append(SNAPSHOTS, &text).await {
                Ok(appended) => {
                    ::log::info!(offset = appended.offset, bytes = text.len(); "snapshot appended")
                }
                Err(error) => {
                    ::log::warn!(code = error.code().number(); "snapshot not appended: {error}")
                }
            }
        });
    }

    /// Reads the newest records of the `contacts` stream.
    pub fn read_contacts(&self) {
        let caller = self.clone();
        tokio::spawn(async move {
            let input = match read_newest(&caller.log, CONTACTS, MAX_CONTACTS_READ).await {
                Ok(batch) => contacts::Input::Read {
                    contacts: contact_records(&batch),
                    log_now_ms: batch.now_ms,
                },
                Err(_) => contacts::Input::Failed,
            };
            caller.report(ControlEvent::Contacts(input)).await;
        });
    }

    /// Appends this daemon's gossip address to the `contacts` stream.
    pub fn append_contact(&self, address: SocketAddr) {
        let caller = self.clone();
        tokio::spawn(async move {
            let input = match caller.log.append(CONTACTS, &address.to_string()).await {
                Ok(_) => contacts::Input::Appended,
                Err(_) => contacts::Input::Failed,
            };
            caller.report(ControlEvent::Contacts(input)).await;
        });
    }

    /// Appends `text` to the `intents` stream and reports the result for the identifier `record`.
    pub fn append_intent(&self, record: String, text: String) {
        let caller = self.clone();
        tokio::spawn(async move {
            let result = caller.log.append(INTENTS, &text).await;
            caller
                .report(ControlEvent::Appended { record, result })
                .await;
        });
    }

    /// Reports after `wait_ms` milliseconds that the append of `record` can be tried again.
    pub fn append_later(&self, record: String, text: String, wait_ms: u64) {
        let caller = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(wait_ms)).await;
            caller
                .report(ControlEvent::AppendDue { record, text })
                .await;
        });
    }

    async fn report(&self, event: ControlEvent) {
        // Sending fails only once the loop has ended, when the result is no longer needed.
        let _ = self.events.send(event).await;
    }
}

/// Result of an append.
pub type AppendResult = Result<Appended, log::Error>;

fn input_from_read(result: Result<ReadBatch, log::Error>) -> Input {
    match result {
        Ok(batch) => Input::LogRead(LogAnswer {
            first: batch.first,
            next: batch.next,
            now_ms: batch.now_ms,
            records: stored_records(batch.records),
        }),
        Err(log::Error::Expired {
            first,
            next,
            now_ms,
        }) => Input::LogExpired {
            first,
            next,
            now_ms,
        },
        Err(_) => Input::LogFailed,
    }
}

/// Finds the end of `stream` with one read and reads its newest `count` records with a second.
async fn read_newest(log: &HttpLog, stream: &str, count: u64) -> Result<ReadBatch, log::Error> {
    let end = match log.read(stream, 1, 1, 0).await {
        Ok(batch) => batch,
        Err(log::Error::Expired {
            first,
            next,
            now_ms,
        }) => ReadBatch {
            first,
            next,
            now_ms,
            records: Vec::new(),
        },
        Err(error) => return Err(error),
    };
    let from = end.next.saturating_sub(count).max(end.first).max(1);
    if from >= end.next {
        return Ok(ReadBatch {
            records: Vec::new(),
            ..end
        });
    }
    log.read(stream, from, count as usize, 0).await
}

fn contact_records(batch: &ReadBatch) -> Vec<ContactRecord> {
    batch
        .records
        .iter()
        .filter_map(|entry| {
            Some(ContactRecord {
                offset: entry.offset,
                time_ms: entry.time_ms,
                address: entry.data.parse().ok()?,
            })
        })
        .collect()
}

fn stored_records(entries: Vec<LogEntry>) -> Vec<StoredRecord> {
    entries
        .into_iter()
        .map(|entry| StoredRecord {
            offset: entry.offset,
            time_ms: entry.time_ms,
            data: entry.data,
        })
        .collect()
}
