//! Why a request about a plan is refused.
use std::fmt;

use jayrack_protocol::ResultCode;

use crate::{
    fold::{ObjectConflict, PlanOutcome},
    object::Version,
};

/// Why a request about a plan is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The role does not allow changes.
    RoleInsufficient,
    /// Another team owns touched objects or the plan.
    NotOwner {
        /// All reasons.
        reasons: Vec<String>,
    },
    /// The change does not validate.
    Invalid {
        /// All reasons.
        reasons: Vec<String>,
    },
    /// The change is too large for one record.
    TooLarge,
    /// No plan has this identifier.
    Unknown,
    /// A touched object was changed since the plan was proposed.
    Conflict(ObjectConflict),
    /// The plan was not confirmed in time.
    Expired,
    /// The plan was dropped before.
    Dropped,
    /// The plan was confirmed before.
    AlreadyConfirmed {
        /// Version that the plan put in force.
        version: Version,
    },
}

impl Error {
    /// The code shown to operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::RoleInsufficient => ResultCode::RoleInsufficient,
            Error::NotOwner { .. } => ResultCode::NotOwner,
            Error::Invalid { .. } => ResultCode::PlanInvalid,
            Error::TooLarge => ResultCode::BodyTooLarge,
            Error::Unknown => ResultCode::PlanUnknown,
            Error::Conflict(_) => ResultCode::PlanConflict,
            Error::Expired => ResultCode::PlanExpired,
            Error::Dropped => ResultCode::PlanDropped,
            Error::AlreadyConfirmed { .. } => ResultCode::PlanAlreadyConfirmed,
        }
    }

    /// Reasons as text; empty when the code alone explains the error.
    pub fn reasons(&self) -> Vec<String> {
        match self {
            Error::NotOwner { reasons } | Error::Invalid { reasons } => reasons.clone(),
            Error::Conflict(conflict) => vec![conflict.to_string()],
            Error::AlreadyConfirmed { version } => {
                vec![format!("it is in force as version {version}")]
            }
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.code().meaning(), self.reasons().join("; "))
    }
}

impl std::error::Error for Error {}

impl From<&PlanOutcome> for Error {
    fn from(outcome: &PlanOutcome) -> Self {
        match outcome {
            PlanOutcome::Confirmed { version } => Error::AlreadyConfirmed { version: *version },
            PlanOutcome::Dropped => Error::Dropped,
            PlanOutcome::Expired => Error::Expired,
            PlanOutcome::Conflict(conflict) => Error::Conflict(conflict.clone()),
            PlanOutcome::Invalid { reasons } => Error::Invalid {
                reasons: reasons.clone(),
            },
        }
    }
}
