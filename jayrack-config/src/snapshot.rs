//! Snapshots of the configuration state, for the `snapshots` stream and for peers that need
//! records which the tail no longer holds.
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
};

use jayrack_protocol::ResultCode;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fold::{ClosedPlan, ConfigState, OpenPlan, Removal},
    object::{ObjectKey, Version},
    validate::ObjectEntry,
};

/// Format number of the snapshots that this release writes.
pub const SNAPSHOT_FORMAT: u64 = 1;

/// Limit on the text of one snapshot, in bytes.
pub const SNAPSHOT_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Why a snapshot cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The format is newer than this release.
    NotUnderstood {
        /// The format number found.
        format: u64,
    },
    /// The text is not a snapshot, or it is corrupt.
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

impl Error {
    /// The code shown to operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::NotUnderstood { .. } => ResultCode::RecordNotUnderstood,
            Error::Malformed { .. } => ResultCode::SnapshotInvalid,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotUnderstood { format } => {
                write!(f, "the snapshot has the unknown format {format}")
            }
            Error::Malformed { detail } => write!(f, "the snapshot is malformed: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    format: u64,
    /// Hash of `state`.
    checksum: u64,
    /// JSON text of a [`Body`].
    state: String,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Body {
    version: Version,
    digest: u64,
    next_offset: u64,
    log_time_ms: u64,
    horizon: u64,
    objects: Vec<ObjectEntry>,
    removals: BTreeMap<ObjectKey, Removal>,
    plans: Vec<OpenPlan>,
    closed: Vec<ClosedPlan>,
}

/// Encodes `state` as JSON text.
pub fn encode(state: &ConfigState) -> String {
    let body = Body {
        version: state.version,
        digest: state.digest,
        next_offset: state.next_offset,
        log_time_ms: state.log_time_ms,
        horizon: state.horizon,
        objects: state
            .objects
            .values()
            .map(|entry| entry.as_ref().clone())
            .collect(),
        removals: state.removals.clone(),
        plans: state
            .plans
            .values()
            .map(|plan| plan.as_ref().clone())
            .collect(),
        closed: state.closed().cloned().collect(),
    };
    let text = serde_json::to_string(&body).expect("snapshots have string keys only");
    let envelope = Envelope {
        format: SNAPSHOT_FORMAT,
        checksum: xxh3_64(text.as_bytes()),
        state: text,
    };
    serde_json::to_string(&envelope).expect("snapshots have string keys only")
}

/// Decodes a state from JSON text of at most [`SNAPSHOT_LIMIT_BYTES`].
pub fn decode(text: &str) -> Result<ConfigState, Error> {
    #[derive(Deserialize)]
    struct Format {
        format: u64,
    }
    if text.len() > SNAPSHOT_LIMIT_BYTES {
        return Err(malformed("longer than the limit"));
    }
    let Format { format } = serde_json::from_str(text).map_err(malformed)?;
    if format > SNAPSHOT_FORMAT {
        return Err(Error::NotUnderstood { format });
    }
    let envelope: Envelope = serde_json::from_str(text).map_err(malformed)?;
    if envelope.format != SNAPSHOT_FORMAT || envelope.checksum != xxh3_64(envelope.state.as_bytes())
    {
        return Err(malformed("the checksum differs"));
    }
    let body: Body = serde_json::from_str(&envelope.state).map_err(malformed)?;
    if body.next_offset == 0 || body.version >= body.next_offset || body.digest == 0 {
        return Err(malformed("the offsets contradict each other"));
    }
    Ok(restore(body))
}

fn restore(body: Body) -> ConfigState {
    let objects = body.objects.into_iter();
    let objects = objects.map(|entry| (entry.object.key(), Arc::new(entry)));
    let plans = body.plans.into_iter();
    let plans = plans.map(|plan| (plan.proposed.plan.clone(), Arc::new(plan)));
    let closed: VecDeque<_> = body.closed.into_iter().map(Arc::new).collect();
    ConfigState {
        version: body.version,
        digest: body.digest,
        next_offset: body.next_offset,
        log_time_ms: body.log_time_ms,
        horizon: body.horizon,
        objects: objects.collect(),
        removals: body.removals,
        plans: plans.collect(),
        closed,
    }
}

fn malformed(detail: impl fmt::Display) -> Error {
    Error::Malformed {
        detail: detail.to_string(),
    }
}
