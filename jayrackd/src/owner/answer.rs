//! An owner's answer on its way to the ingress, and the form in which it is kept.
use std::sync::Arc;

use bytes::Bytes;
use jayrack_protocol::{
    ResultCode,
    forward::{LoadReport, OutcomeReply, OutcomeState, ResponseHead},
};
use jayrack_traffic::{LoadLevel, ledger::QueryResult};

use crate::transport::body::RelayBody;

/// An owner's answer, on its way to the ingress.
#[derive(Debug)]
pub(crate) struct OwnerAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: RelayBody,
}

/// An answer that the ledger keeps.
#[derive(Debug, Clone)]
pub(crate) struct StoredAnswer {
    pub(crate) head: ResponseHead,
    /// Absent when it is too large to be kept.
    pub(crate) body: Option<Bytes>,
}

impl OwnerAnswer {
    /// An answer without a backend server's part in it.
    pub(crate) fn refusal(code: ResultCode) -> Self {
        Self {
            head: ResponseHead {
                code: u32::from(code.number()),
                ..ResponseHead::default()
            },
            body: RelayBody::full(Bytes::new()),
        }
    }

    /// The result code; a number that is not known counts as an unknown outcome.
    pub(crate) fn code(&self) -> ResultCode {
        code_of(self.head.code)
    }
}

impl From<&StoredAnswer> for OwnerAnswer {
    fn from(stored: &StoredAnswer) -> Self {
        match &stored.body {
            Some(body) => Self {
                head: stored.head.clone(),
                body: RelayBody::full(body.clone()),
            },
            None => Self::refusal(ResultCode::AnswerLost),
        }
    }
}

/// The result code with `number`.
pub(crate) fn code_of(number: u32) -> ResultCode {
    u16::try_from(number)
        .ok()
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::OutcomeUnknown)
}

/// Splits an answer to a query into its message and the body that follows.
pub(crate) fn to_reply(
    query_result: QueryResult<Arc<StoredAnswer>>,
) -> (OutcomeReply, Option<Bytes>) {
    let (state, code, stored) = match query_result {
        QueryResult::InProgress => (OutcomeState::InProgress, ResultCode::Ok, None),
        QueryResult::NotRun(code) => (OutcomeState::NotRun, code, None),
        QueryResult::Unknown(code) => (OutcomeState::Uncertain, code, None),
        QueryResult::Done(stored) if stored.body.is_none() => {
            (OutcomeState::Done, ResultCode::AnswerLost, None)
        }
        QueryResult::Done(stored) => (OutcomeState::Done, ResultCode::Ok, Some(stored)),
    };
    let reply = OutcomeReply {
        state: state.into(),
        code: u32::from(code.number()),
        head: stored.as_ref().map(|stored| stored.head.clone()),
    };
    (reply, stored.and_then(|stored| stored.body.clone()))
}

/// Makes the report that goes with an answer.
pub(crate) fn to_report(level: LoadLevel) -> LoadReport {
    LoadReport {
        slots: level.slots,
        running: level.running,
        queued: level.queued,
        shed_rank: u32::from(level.shed_rank),
        shed_share: u32::from(level.shed_share),
        kept_share: u32::from(level.kept_share),
    }
}

/// Reads the report that came with an answer.
pub(crate) fn to_level(report: LoadReport) -> LoadLevel {
    let share = |share: u32| u16::try_from(share).unwrap_or(u16::MAX);
    LoadLevel {
        slots: report.slots,
        running: report.running,
        queued: report.queued,
        shed_rank: u8::try_from(report.shed_rank).unwrap_or(u8::MAX),
        shed_share: share(report.shed_share),
        kept_share: share(report.kept_share),
    }
}
