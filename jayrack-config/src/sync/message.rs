//! Inputs and actions of configuration distribution.
use jayrack_protocol::{MemberId, ResultCode};

use super::fleet::FleetMember;
use crate::{fold, object::Version, record::StoredRecord};

/// The log's answer to a read of the `intents` stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogAnswer {
    /// Offset of the first record that the log still has.
    pub first: u64,
    /// Offset of the next record to be appended.
    pub next: u64,
    /// Log time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// Records from the offset asked for, without gaps.
    pub records: Vec<StoredRecord>,
}

/// What a peer answers to a pull.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PullAnswer {
    /// Records from the offset asked for; empty when a snapshot is sent.
    pub records: Vec<StoredRecord>,
    /// Snapshot of the peer's state when the offset is no longer held.
    pub snapshot: Option<String>,
    /// The peer's next offset.
    pub next_offset: u64,
    /// Version in force at the peer; 0 when the peer is not ready.
    pub version: Version,
    /// Digest of the peer's state; 0 when the peer is not ready.
    pub digest: u64,
    /// Highest version seen in force at the asking daemon's address; 0 when unknown.
    pub minimum_version: Version,
}

/// What a peer tells about its state in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerDigest {
    /// The peer.
    pub peer: MemberId,
    /// Version in force at the peer; 0 when the peer is not ready.
    pub version: Version,
    /// Digest of the peer's state; 0 when the peer is not ready.
    pub digest: u64,
    /// The peer's next offset, if told.
    pub next_offset: Option<u64>,
    /// Latest log time that the peer knows of, if told, in milliseconds since the Unix epoch.
    pub log_now_ms: Option<u64>,
}

/// Records that a peer hands on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPush {
    /// The peer, if known.
    pub peer: Option<MemberId>,
    /// Records in offset order.
    pub records: Vec<StoredRecord>,
    /// Number of times the records may still be handed on.
    pub hops: u32,
}

/// What happens to a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time passes; to be sent at least once a second.
    Tick,
    /// The log answered [`Action::ReadLog`].
    LogRead(LogAnswer),
    /// The log has expired records that [`Action::ReadLog`] asked for.
    LogExpired {
        /// Offset of the first record that the log still has.
        first: u64,
        /// Offset of the next record to be appended.
        next: u64,
        /// Log time, in milliseconds since the Unix epoch.
        now_ms: u64,
    },
    /// The log did not answer [`Action::ReadLog`], or refused it.
    LogFailed,
    /// The log answered [`Action::ReadSnapshots`].
    SnapshotsRead {
        /// The latest records of the `snapshots` stream, the newest last.
        records: Vec<StoredRecord>,
    },
    /// The log did not answer [`Action::ReadSnapshots`], or refused it.
    SnapshotsFailed,
    /// A peer handed records on.
    Pushed(RecordPush),
    /// A peer answered [`Action::Pull`].
    Pulled {
        /// The peer.
        peer: MemberId,
        /// The answer.
        answer: PullAnswer,
    },
    /// A peer did not answer [`Action::Pull`].
    PullFailed {
        /// The peer.
        peer: MemberId,
    },
    /// A peer told its state.
    PeerDigest(PeerDigest),
    /// The list of living members changed.
    Members(Vec<FleetMember>),
    /// Peers remember this version for the daemon's address.
    MinimumVersion(Version),
}

/// What a daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the `intents` stream.
    ReadLog {
        /// Offset of the first record wanted.
        from: u64,
        /// Number of records wanted at most.
        max: usize,
        /// Time for which the log may hold the read without new records, in milliseconds.
        wait_ms: u64,
    },
    /// Read the latest few records of the `snapshots` stream.
    ReadSnapshots,
    /// Append to the `snapshots` stream; a lost answer needs no repeat.
    AppendSnapshot {
        /// Text of the record.
        text: String,
    },
    /// Hand records on.
    Push {
        /// The receivers.
        peers: Vec<MemberId>,
        /// Records in offset order.
        records: Vec<StoredRecord>,
        /// Number of times the receivers may hand the records on.
        hops: u32,
    },
    /// Ask a peer for its records.
    Pull {
        /// The peer.
        peer: MemberId,
        /// Offset of the first record wanted.
        from: u64,
        /// Number of records wanted at most.
        max: usize,
    },
    /// A record was folded.
    Folded {
        /// Offset of the record.
        offset: u64,
        /// Identifier of the record; empty when it cannot be decoded.
        record_id: String,
        /// Identifier of the plan; empty when it cannot be decoded.
        plan_id: String,
        /// What the fold made of it.
        outcome: fold::Outcome,
    },
    /// A new version is in force; the route table is to be built anew.
    Installed {
        /// The version.
        version: Version,
    },
    /// The daemon may serve from now on.
    Ready,
    /// Something is wrong that operators should know.
    Report {
        /// What is wrong.
        code: ResultCode,
        /// Details for the log.
        detail: String,
    },
}
