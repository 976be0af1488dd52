//! Answers of an owner: as sent to the ingress, and as stored in the outcome ledger.
use std::sync::Arc;

use bytes::Bytes;
use jayrack_protocol::{
    ResultCode,
    forward::{LoadReport, OutcomeReply, OutcomeState, ResponseHead},
};
use jayrack_traffic::{LoadLevel, ledger::QueryResult};

use crate::transport::body::RelayBody;

/// An owner's answer to the ingress.
#[derive(Debug)]
pub(crate) struct OwnerAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: RelayBody,
}

/// An answer stored in the outcome ledger.
#[derive(Debug, Clone)]
pub(crate) struct StoredAnswer {
    pub(crate) head: ResponseHead,
    /// `None` when it is too large to be stored.
    pub(crate) body: Option<Bytes>,
}

impl OwnerAnswer {
    /// Makes an answer with `code` that holds no response of a backend server.
    pub(crate) fn refusal(code: ResultCode) -> Self {
        Self {
            head: ResponseHead {
                code: u32::from(code.number()),
                ..ResponseHead::default()
            },
            body: RelayBody::full(Bytes::new()),
        }
    }

    /// Returns the result code; an unknown number counts as an unknown outcome.
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

/// Returns the result code with `number`; an unknown number counts as an unknown outcome.
pub(crate) fn code_of(number: u32) -> ResultCode {
    u16::try_from(number)
        .ok()
        .and_then(ResultCode::from_number)
        .unwrap_or(ResultCode::OutcomeUnknown)
}

/// Makes the reply to a query: its message and the body that follows.
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

/// Makes the load report that is sent with an answer.
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

/// Reads the load report of an answer.
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
