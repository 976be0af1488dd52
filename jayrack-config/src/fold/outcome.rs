//! Open and closed plans, their outcomes, and the result of folding a record.
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
    /// The record that proposed the plan.
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
        /// Version of the configuration with the change.
        version: Version,
    },
    /// The plan was dropped before it was confirmed.
    Dropped,
    /// The plan was not confirmed in time.
    Expired,
    /// A touched object was changed after the plan was proposed.
    Conflict(ObjectConflict),
    /// The change did not validate when it was confirmed.
    Invalid {
        /// All reasons.
        reasons: Vec<String>,
    },
}

/// A closed plan with its outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedPlan {
    /// Identifier of the plan.
    pub plan: String,
    /// Team that proposed the plan.
    pub team: String,
    /// Version in force when the plan was proposed.
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
    /// Outcome of folding a further record about the plan.
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

/// An object that was changed after a plan about it was proposed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectConflict {
    /// The object.
    pub object: ObjectKey,
    /// Version of the object when the plan was proposed; 0 when it was absent.
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

/// Outcome of folding one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record is below the next offset and was folded before.
    Ignored,
    /// A plan was opened.
    Proposed,
    /// A change came into force.
    Accepted {
        /// Version of the configuration with the change.
        version: Version,
    },
    /// The plan was not put in force because a touched object had changed.
    Conflict(ObjectConflict),
    /// The plan is dropped, by this record or an earlier one.
    Dropped,
    /// The plan had expired.
    Expired,
    /// An earlier record already proposed or decided the plan, and that record counts.
    Repeated {
        /// Version that the plan put in force; 0 when the plan is open or was refused.
        version: Version,
    },
    /// The record is refused and does not change the configuration.
    Invalid {
        /// All reasons.
        reasons: Vec<Reason>,
    },
}

/// Why the fold cannot continue with a record; the state is unchanged.
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
        /// The unknown format or kind.
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
