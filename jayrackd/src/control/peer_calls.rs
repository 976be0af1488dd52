//! Pulls and pushes of configuration between daemons.
use std::net::SocketAddr;

use jayrack_config::{
    record::StoredRecord,
    sync::{Input, PullAnswer},
};
use jayrack_protocol::{
    MemberId,
    sync::{LogRecord, PullReply, PullRequest, PushReply, PushRequest},
};
use tokio::sync::mpsc;

use super::ControlEvent;
use crate::transport::PeerPool;

/// Sends pulls and pushes to peers; the results of pulls go to the control loop as events.
#[derive(Debug, Clone)]
pub struct PeerCaller {
    peers: PeerPool,
    events: mpsc::Sender<ControlEvent>,
    local: MemberId,
}

/// A pull to send.
#[derive(Debug, Clone, Copy)]
pub struct PullCall {
    /// The peer.
    pub peer: MemberId,
    /// Address of the peer's QUIC listener.
    pub address: SocketAddr,
    /// Offset of the first record wanted.
    pub from: u64,
    /// Maximum number of records in the reply.
    pub max: usize,
}

impl PeerCaller {
    /// Creates a caller for the daemon `local` that reports to `events`.
    pub fn new(peers: PeerPool, events: mpsc::Sender<ControlEvent>, local: MemberId) -> Self {
        Self {
            peers,
            events,
            local,
        }
    }

    /// Pulls records from a peer in a task of its own.
    pub fn pull(&self, call: PullCall) {
        let caller = self.clone();
        tokio::spawn(async move {
            let request = PullRequest {
                from: call.from,
                max_records: call.max as u32,
                sender: caller.local.0,
            };
            let peer = call.peer;
            let input = match caller.peers.pull(call.address, request).await {
                Ok(reply) => Input::Pulled {
                    peer,
                    answer: pull_answer(reply),
                },
                Err(_) => Input::PullFailed { peer },
            };
            let _ = caller.events.send(ControlEvent::Peer(input)).await;
        });
    }

    /// Pushes `records` to the peer at `address` in a task of its own.
    ///
    /// A lost push is not sent again: the peer's own pull fetches the records.
    pub fn push(&self, address: SocketAddr, records: Vec<StoredRecord>, hops: u32) {
        let peers = self.peers.clone();
        let request = PushRequest {
            records: to_wire(records),
            hops,
        };
        tokio::spawn(async move {
            if let Err(error) = peers.push(address, request).await {
                log::debug!(peer:% = address; "push failed: {error}");
            }
        });
    }
}

/// Converts the answer of the configuration's state machine to a message.
pub fn pull_reply(answer: PullAnswer) -> PullReply {
    PullReply {
        records: to_wire(answer.records),
        snapshot: answer.snapshot.unwrap_or_default(),
        next_offset: answer.next_offset,
        version: answer.version,
        digest: answer.digest,
        floor: answer.minimum_version,
    }
}

/// Creates the acknowledgement of a push; `next_offset` follows the last folded record.
pub fn push_reply(next_offset: u64) -> PushReply {
    PushReply { next_offset }
}

/// Converts received records to those of the configuration.
pub fn from_wire(records: Vec<LogRecord>) -> Vec<StoredRecord> {
    records
        .into_iter()
        .map(|record| StoredRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            data: record.data,
        })
        .collect()
}

fn to_wire(records: Vec<StoredRecord>) -> Vec<LogRecord> {
    records
        .into_iter()
        .map(|record| LogRecord {
            offset: record.offset,
            time_ms: record.time_ms,
            data: record.data,
        })
        .collect()
}

fn pull_answer(reply: PullReply) -> PullAnswer {
    PullAnswer {
        records: from_wire(reply.records),
        snapshot: Some(reply.snapshot).filter(|text| !text.is_empty()),
        next_offset: reply.next_offset,
        version: reply.version,
        digest: reply.digest,
        minimum_version: reply.floor,
    }
}
