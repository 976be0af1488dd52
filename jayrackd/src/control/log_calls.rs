//! Calls to the platform log, each in a task of its own that reports back to the control loop.
use std::sync::Arc;

use jayrack_config::{
    record::StoredRecord,
    sync::{Input, LogAnswer, RecordPush},
};
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

/// Number of the newest snapshots that are read.
const SNAPSHOTS_READ: u64 = 3;

/// Number of times records read ahead may be handed on.
const READ_AHEAD_HOPS: u32 = 12;

/// What to read of the `intents` stream.
#[derive(Debug, Clone, Copy)]
pub struct IntentRead {
    /// Offset of the first record wanted.
    pub from: u64,
    /// Number of records wanted at most.
    pub max: usize,
    /// Time for which the log may hold the read without new records, in milliseconds.
    pub wait_ms: u64,
    /// Time to wait before the read is sent, in milliseconds.
    pub delay_ms: u64,
}

/// Sends calls to the log and their results to the control loop.
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

    /// Connections and bytes of all calls since the start.
    pub fn traffic(&self) -> TrafficCounts {
        self.log.traffic()
    }

    /// Reads the `intents` stream; the result is the next input of the configuration's state machine.
    pub fn read_intents(&self, read: IntentRead) {
        let caller = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(std::time::Duration::from_millis(read.delay_ms)).await;
            let result = caller
                .log
                .read(INTENTS, read.from, read.max, read.wait_ms)
                .await;
            caller.report(ControlEvent::Log(read_input(result))).await;
        });
    }

    /// Reads records beside the regular reads; they are taken and handed on like a peer's push.
    pub fn read_ahead(&self, from: u64, max: usize) {
        let caller = self.clone();
        tokio::spawn(async move {
            let Ok(batch) = caller.log.read(INTENTS, from, max, 0).await else {
                return;
            };
            let push = RecordPush {
                peer: None,
                records: stored(batch.records),
                hops: READ_AHEAD_HOPS,
            };
            caller.report(ControlEvent::Log(Input::Pushed(push))).await;
        });
    }

    /// Reads the newest records of the `snapshots` stream.
    pub fn read_snapshots(&self) {
        let caller = self.clone();
        tokio::spawn(async move {
            let input = match newest_snapshots(&caller.log).await {
                Ok(records) => Input::SnapshotsRead { records },
                Err(_) => Input::SnapshotsFailed,
            };
            caller.report(ControlEvent::Log(input)).await;
        });
    }

    /// Appends a snapshot; a lost answer needs no repeat.
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

    /// Appends the record named to the `intents` stream.
    pub fn append_intent(&self, record: String, text: String) {
        let caller = self.clone();
        tokio::spawn(async move {
            let result = caller.log.append(INTENTS, &text).await;
            caller
                .report(ControlEvent::Appended { record, result })
                .await;
        });
    }

    async fn report(&self, event: ControlEvent) {
        // The loop has ended when nobody receives; the result is of no use then.
        let _ = self.events.send(event).await;
    }
}

/// The result of an append.
pub type AppendResult = Result<Appended, log::Error>;

fn read_input(result: Result<ReadBatch, log::Error>) -> Input {
    match result {
        Ok(batch) => Input::LogRead(LogAnswer {
            first: batch.first,
            next: batch.next,
            now_ms: batch.now_ms,
            records: stored(batch.records),
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

/// Finds the end of the stream with one read and reads the newest records with a second.
async fn newest_snapshots(log: &HttpLog) -> Result<Vec<StoredRecord>, log::Error> {
    let (first, next) = match log.read(SNAPSHOTS, 1, 1, 0).await {
        Ok(batch) => (batch.first, batch.next),
        Err(log::Error::Expired { first, next, .. }) => (first, next),
        Err(error) => return Err(error),
    };
    let from = next.saturating_sub(SNAPSHOTS_READ).max(first).max(1);
    if from >= next {
        return Ok(Vec::new());
    }
    let batch = log
        .read(SNAPSHOTS, from, SNAPSHOTS_READ as usize, 0)
        .await?;
    Ok(stored(batch.records))
}

fn stored(entries: Vec<LogEntry>) -> Vec<StoredRecord> {
    entries
        .into_iter()
        .map(|entry| StoredRecord {
            offset: entry.offset,
            time_ms: entry.time_ms,
            data: entry.data,
        })
        .collect()
}
