//! Requests of operators that wait for the log's verdict.
//!
//! An operation is answered once the fold has passed its record. When that takes too long it is
//! answered as pending: its record may still reach the log.
use jayrack_config::{
    fold::ConfigState,
    plan::{self, PlanState, PlanView},
};
use jayrack_protocol::ResultCode;
use serde_json::json;
use tokio::sync::oneshot;

use crate::admin::ApiAnswer;

/// What an operation brings about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationKind {
    /// States a plan.
    Propose,
    /// Confirms a plan.
    Confirm,
    /// Drops a plan.
    Drop,
}

/// One operation whose record was handed to the log.
#[derive(Debug)]
pub struct PendingOperation {
    /// What it brings about.
    pub kind: OperationKind,
    /// The plan concerned.
    pub plan: String,
    /// Identifier of the record.
    pub record: String,
    /// Offset of the record, once known.
    pub offset: Option<u64>,
    /// When it is answered as pending, in milliseconds of the daemon's clock.
    pub deadline_ms: u64,
    /// The plan as it was prepared, shown while nothing else is known.
    pub prepared: Option<PlanView>,
    /// Takes the answer.
    pub reply: oneshot::Sender<ApiAnswer>,
}

/// All operations that wait.
#[derive(Debug, Default)]
pub struct OperationTable {
    pending: Vec<PendingOperation>,
}

impl OperationTable {
    /// Adds an operation whose append was started.
    pub fn insert(&mut self, operation: PendingOperation) {
        self.pending.push(operation);
    }

    /// When the operation of the record named is answered at the latest; `None` when it was answered.
    pub fn deadline_ms(&self, record: &str) -> Option<u64> {
        let mut pending = self.pending.iter();
        let found = pending.find(|operation| operation.record == record);
        found.map(|operation| operation.deadline_ms)
    }

    /// Notes where the log put the record named.
    pub fn set_offset(&mut self, record: &str, offset: u64) {
        for operation in self
            .pending
            .iter_mut()
            .filter(|operation| operation.record == record)
        {
            operation.offset = Some(offset);
        }
    }

    /// Answers the operation of the record named with a refusal: nothing was appended.
    pub fn refuse(&mut self, record: &str, code: ResultCode) {
        for operation in self.remove_matching(|operation| operation.record == record) {
            let _ = operation.reply.send(ApiAnswer::refusal(code));
        }
    }

    /// Answers the operations that `state` has passed.
    pub fn answer_folded(&mut self, state: &ConfigState) {
        let next_offset = state.next_offset();
        let is_folded = |operation: &PendingOperation| {
            operation.offset.is_some_and(|offset| offset < next_offset)
        };
        for operation in self.remove_matching(is_folded) {
            let answer = plan_answer(operation.kind, plan::view(state, &operation.plan));
            let _ = operation.reply.send(answer);
        }
    }

    /// Answers the operations whose time is over as pending.
    pub fn expire(&mut self, now_ms: u64, state: &ConfigState) {
        for operation in self.remove_matching(|operation| operation.deadline_ms <= now_ms) {
            let view = plan::view(state, &operation.plan).or(operation.prepared);
            let answer = ApiAnswer::refusal_with(ResultCode::PlanPending, json!({"plan": view}));
            let _ = operation.reply.send(answer);
        }
    }

    fn remove_matching(
        &mut self,
        matches: impl Fn(&PendingOperation) -> bool,
    ) -> Vec<PendingOperation> {
        let (removed, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(matches);
        self.pending = rest;
        removed
    }
}

/// The answer to an operation whose plan is now in the state that `view` shows.
fn plan_answer(kind: OperationKind, view: Option<PlanView>) -> ApiAnswer {
    let Some(view) = view else {
        return ApiAnswer::refusal(ResultCode::PlanUnknown);
    };
    let code = match (kind, view.state) {
        (OperationKind::Propose, PlanState::Open) => ResultCode::Ok,
        (OperationKind::Confirm, PlanState::Confirmed) => ResultCode::Ok,
        (OperationKind::Drop, PlanState::Dropped) => ResultCode::Ok,
        (_, state) => refusal_code(state),
    };
    match (code, kind) {
        (ResultCode::Ok, OperationKind::Propose) => ApiAnswer::success(201, json!({"plan": view})),
        (ResultCode::Ok, _) => ApiAnswer::success(200, json!({"plan": view})),
        _ => ApiAnswer::refusal_with(code, json!({"reasons": view.reasons, "plan": view})),
    }
}

/// The code that says why a plan in `state` did not come to the state wanted.
fn refusal_code(state: PlanState) -> ResultCode {
    match state {
        PlanState::Pending | PlanState::Open => ResultCode::PlanPending,
        PlanState::Confirmed => ResultCode::PlanAlreadyConfirmed,
        PlanState::Dropped => ResultCode::PlanDropped,
        PlanState::Conflict => ResultCode::PlanConflict,
        PlanState::Expired => ResultCode::PlanExpired,
        PlanState::Invalid => ResultCode::PlanInvalid,
    }
}
