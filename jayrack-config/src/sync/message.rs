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

/// Answer of a peer to a pull.
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
    /// Highest version that the peer has seen in force at the pulling daemon's address; 0 when unknown.
    pub minimum_version: Version,
}

/// State of a peer as reported in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerDigest {
    /// The peer.
    pub peer: MemberId,
    /// Version in force at the peer; 0 when the peer is not ready.
    pub version: Version,
    /// Digest of the peer's state; 0 when the peer is not ready.
    pub digest: u64,
    /// The peer's next offset, if reported.
    pub next_offset: Option<u64>,
    /// Latest log time known to the peer, if reported, in milliseconds since the Unix epoch.
    pub log_now_ms: Option<u64>,
}

/// Records pushed by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPush {
    /// The peer, if known.
    pub peer: Option<MemberId>,
    /// Records in offset order.
    pub records: Vec<StoredRecord>,
    /// Number of times that the records may still be relayed.
    pub hops: u32,
}

/// Input to the state machine of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Clock tick; must be sent at least once a second.
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
    /// A peer pushed records.
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
    /// A peer reported its state.
    PeerDigest(PeerDigest),
    /// The list of live members changed.
    Members(Vec<FleetMember>),
    /// Peers have stored this version for the daemon's address.
    MinimumVersion(Version),
}

/// Action that the caller carries out for the state machine.
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
    /// Append to the `snapshots` stream; no retry is needed if the answer is lost.
    AppendSnapshot {
        /// Text of the record.
        text: String,
    },
    /// Push records to peers.
    Push {
        /// The receivers.
        peers: Vec<MemberId>,
        /// Records in offset order.
        records: Vec<StoredRecord>,
        /// Number of times that the receivers may relay the records.
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
        /// Outcome of folding the record.
        outcome: fold::Outcome,
    },
    /// A new version is in force; the route table must be rebuilt.
    Installed {
        /// The version.
        version: Version,
    },
    /// The daemon may serve from now on.
    Ready,
    /// Report a fault to operators.
    Report {
        /// Code of the fault.
        code: ResultCode,
        /// Details for the log.
        detail: String,
    },
}
