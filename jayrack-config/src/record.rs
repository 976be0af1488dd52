//! Records of the `intents` stream: plans proposed, confirmed and dropped.
//!
//! A record is JSON text. The schema of a format number never changes; a release that needs another
//! schema writes a higher number, and older releases stop at such a record.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::object::{ConfigChange, ObjectKey, Version};

/// Format number of the records that this release writes.
pub const RECORD_FORMAT: u64 = 1;

/// Limit on the text of one record, in bytes.
pub const RECORD_LIMIT_BYTES: usize = 64 * 1024;

/// One record as the log returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset in the stream; the first is 1.
    pub offset: u64,
    /// Time at which the log stored the record, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Text of the record.
    pub data: String,
}

/// What an operator may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read access only.
    Viewer,
    /// Adds objects and changes those of the operator's own team.
    Operator,
    /// Changes the objects of all teams.
    Admin,
}

/// A change proposed by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProposedRecord {
    /// Identifies the record among all records.
    pub record: String,
    /// Identifies the plan.
    pub plan: String,
    /// Team of the operator.
    pub team: String,
    /// Role of the operator.
    pub role: Role,
    /// Highest offset that the author had folded.
    pub after: u64,
    /// Version that the author had in force.
    pub base_version: Version,
    /// Version at which each touched object was last changed; 0 for an absent object.
    pub base: BTreeMap<ObjectKey, Version>,
    /// The change.
    pub change: ConfigChange,
    /// Remark of the operator.
    #[serde(default)]
    pub note: String,
}

/// Confirms or drops a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionRecord {
    /// Identifies the record among all records.
    pub record: String,
    /// Identifies the plan.
    pub plan: String,
    /// Team of the operator.
    pub team: String,
    /// Role of the operator.
    pub role: Role,
}

/// A record of the `intents` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum IntentRecord {
    /// Proposes a plan.
    Proposed(ProposedRecord),
    /// Confirms a plan.
    Confirmed(DecisionRecord),
    /// Drops a plan.
    Dropped(DecisionRecord),
}

/// Why a record cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The format is newer than this release, or the kind is unknown.
    NotUnderstood {
        /// The unknown format or kind.
        found: String,
    },
    /// The text is not a record that any release writes.
    Malformed {
        /// What is wrong.
        detail: String,
    },
}

#[derive(Serialize)]
struct Envelope<'a> {
    format: u64,
    #[serde(flatten)]
    record: &'a IntentRecord,
}

impl IntentRecord {
    /// Identifier of the record, unique among all records.
    pub fn record_id(&self) -> &str {
        match self {
            IntentRecord::Proposed(record) => &record.record,
            IntentRecord::Confirmed(record) | IntentRecord::Dropped(record) => &record.record,
        }
    }

    /// Identifier of the plan that the record is about.
    pub fn plan_id(&self) -> &str {
        match self {
            IntentRecord::Proposed(record) => &record.plan,
            IntentRecord::Confirmed(record) | IntentRecord::Dropped(record) => &record.plan,
        }
    }
}

/// Encodes `record` as JSON text.
pub fn encode(record: &IntentRecord) -> String {
    let envelope = Envelope {
        format: RECORD_FORMAT,
        record,
    };
    serde_json::to_string(&envelope).expect("records have string keys only")
}

/// Decodes a record from JSON text of at most [`RECORD_LIMIT_BYTES`].
pub fn decode(text: &str) -> Result<IntentRecord, Error> {
    if text.len() > RECORD_LIMIT_BYTES {
        return Err(malformed("longer than the limit"));
    }
    let mut value: serde_json::Value = serde_json::from_str(text).map_err(malformed)?;
    let Some(fields) = value.as_object_mut() else {
        return Err(malformed("no JSON object"));
    };
    let format = fields.remove("format").and_then(|format| format.as_u64());
    check_format(format)?;
    check_kind(fields.get("kind"))?;
    serde_json::from_value(value).map_err(malformed)
}

fn check_format(format: Option<u64>) -> Result<(), Error> {
    match format {
        Some(RECORD_FORMAT) => Ok(()),
        Some(format) if format > RECORD_FORMAT => Err(Error::NotUnderstood {
            found: format!("format {format}"),
        }),
        _ => Err(malformed("no format number")),
    }
}

fn check_kind(kind: Option<&serde_json::Value>) -> Result<(), Error> {
    match kind.and_then(|kind| kind.as_str()) {
        Some("proposed" | "confirmed" | "dropped") => Ok(()),
        Some(kind) => Err(Error::NotUnderstood {
            found: format!("kind `{}`", kind.chars().take(40).collect::<String>()),
        }),
        None => Err(malformed("no kind")),
    }
}

fn malformed(detail: impl std::fmt::Display) -> Error {
    Error::Malformed {
        detail: detail.to_string(),
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::NotUnderstood { found } => write!(f, "the record has the unknown {found}"),
            Error::Malformed { detail } => write!(f, "the record is malformed: {detail}"),
        }
    }
}

impl std::error::Error for Error {}
