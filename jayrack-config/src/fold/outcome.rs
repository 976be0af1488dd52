//! Plans inside the fold, their verdicts, and what folding a record leads to.
use std::fmt;

use jayrack_protocol::ResultCode;
use serde::{Deserialize, Serialize};

use crate::{
    object::{ObjectKey, Version},
    record::ProposedRecord,
    validate::Reason,
};

/// A plan that is neither confirmed nor dropped nor expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenPlan {
    /// The record that stated the plan.
    pub proposed: ProposedRecord,
    /// Offset of that record.
    pub offset: u64,
    /// Log time after which the plan is expired, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Size of the record's text in bytes.
    pub size_bytes: usize,
}

/// How a plan ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum PlanOutcome {
    /// The change came into force.
    Confirmed {
        /// The version that it got.
        version: Version,
    },
    /// The plan was dropped before it was confirmed.
    Dropped,
    /// The plan was not confirmed in time.
    Expired,
    /// A touched object was changed after the plan was stated.
    Conflict(ObjectConflict),
    /// The change did not validate when it was confirmed.
    Invalid {
        /// All reasons.
        reasons: Vec<String>,
    },
}

/// A plan with its verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedPlan {
    /// Identifier of the plan.
    pub plan: String,
    /// Team that stated the plan.
    pub team: String,
    /// Version in force when the plan was stated.
    pub base_version: Version,
    /// Objects that the plan touches.
    pub touches: Vec<ObjectKey>,
    /// Remark of the operator.
    pub note: String,
    /// Offset of the record that closed the plan.
    pub offset: u64,
    /// Log time after which the plan would have expired, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// How the plan ended.
    #[serde(rename = "verdict")]
    pub outcome: PlanOutcome,
}

impl PlanOutcome {
    /// The outcome of a further record about the plan.
    pub fn fold_outcome(&self) -> Outcome {
        match self {
            PlanOutcome::Confirmed { version } => Outcome::Repeated { version: *version },
            PlanOutcome::Dropped => Outcome::Dropped,
            PlanOutcome::Expired => Outcome::Expired,
            PlanOutcome::Conflict(conflict) => Outcome::Conflict(conflict.clone()),
            PlanOutcome::Invalid { .. } => Outcome::Repeated { version: 0 },
        }
    }
}

/// An object that was changed after a plan about it was stated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectConflict {
    /// The object.
    pub object: ObjectKey,
    /// Version of the object when the plan was stated; 0 when it was absent.
    pub base: Version,
    /// Version that changed the object last.
    pub current: Version,
}

impl fmt::Display for ObjectConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            object,
            base,
            current,
        } = self;
        write!(
            f,
            "{object} was at version {base} when the plan was stated and is now at version {current}"
        )
    }
}

/// What folding one record led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record lies below the next offset and was folded before.
    Ignored,
    /// A plan was opened.
    Proposed,
    /// A change came into force.
    Accepted {
        /// The version that it got.
        version: Version,
    },
    /// The plan was not put in force, as a touched object had changed.
    Conflict(ObjectConflict),
    /// The plan is dropped, by this record or an earlier one.
    Dropped,
    /// The plan had expired.
    Expired,
    /// The plan was confirmed by an earlier record, which counts.
    Repeated {
        /// The version that the plan got; 0 when the plan is open or was refused.
        version: Version,
    },
    /// The record was applied nowhere.
    Invalid {
        /// All reasons.
        reasons: Vec<Reason>,
    },
}

/// Why the fold cannot go on with a record; the state is as before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Records are missing before this one.
    Gap {
        /// The offset that comes next.
        expected: u64,
        /// The offset of the record.
        found: u64,
    },
    /// The record needs a newer release.
    NotUnderstood {
        /// Offset of the record.
        offset: u64,
        /// What was found in the place of a known format or kind.
        found: String,
    },
}

impl Error {
    /// The code shown to operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Gap { .. } => ResultCode::LogExpired,
            Error::NotUnderstood { .. } => ResultCode::RecordNotUnderstood,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Gap { expected, found } => {
                write!(f, "expected the record at offset {expected}, found {found}")
            }
            Error::NotUnderstood { offset, found } => {
                write!(f, "the record at offset {offset} has the unknown {found}")
            }
        }
    }
}

impl std::error::Error for Error {}
