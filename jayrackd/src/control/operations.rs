//! Operators' requests that wait until their records are folded.
//!
//! An operation is answered once its record is folded. At its deadline it is answered as pending,
//! because its record may still reach the log.
use jayrack_config::{
    fold::ConfigState,
    plan::{self, PlanState, PlanView},
};
use jayrack_protocol::ResultCode;
use serde_json::json;
use tokio::sync::oneshot;

use crate::admin::ApiAnswer;

/// Kind of an operation on a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperationKind {
    /// Proposes a plan.
    Propose,
    /// Confirms a plan.
    Confirm,
    /// Drops a plan.
    Drop,
}

/// An operation whose answer is outstanding.
#[derive(Debug)]
pub struct PendingOperation {
    /// Kind of the operation.
    pub kind: OperationKind,
    /// Identifier of the plan.
    pub plan: String,
    /// Identifier of the record.
    pub record: String,
    /// Offset of the record; `None` until it is known.
    pub offset: Option<u64>,
    /// Time at which it is answered as pending, in milliseconds of the daemon's clock.
    pub deadline_ms: u64,
    /// The plan as prepared by this daemon, returned while the plan is not in the folded state.
    pub prepared: Option<PlanView>,
    /// Receives the answer.
    pub reply: oneshot::Sender<ApiAnswer>,
}

/// Operations that are not answered yet.
#[derive(Debug, Default)]
pub struct OperationTable {
    pending: Vec<PendingOperation>,
}

impl OperationTable {
    /// Adds an operation whose record is about to be appended.
    pub fn insert(&mut self, operation: PendingOperation) {
        self.pending.push(operation);
    }

    /// Deadline of the operation of `record`, in milliseconds of the daemon's clock; `None` once it is
    /// answered.
    pub fn deadline_ms(&self, record: &str) -> Option<u64> {
        let mut pending = self.pending.iter();
        let found = pending.find(|operation| operation.record == record);
        found.map(|operation| operation.deadline_ms)
    }

    /// Sets the offset of `record` in the log.
    pub fn set_offset(&mut self, record: &str, offset: u64) {
        for operation in self
            .pending
            .iter_mut()
            .filter(|operation| operation.record == record)
        {
            operation.offset = Some(offset);
        }
    }

    /// Refuses the operation of `record` with `code`; its record was not appended.
    pub fn refuse(&mut self, record: &str, code: ResultCode) {
        for operation in self.remove_matching(|operation| operation.record == record) {
            let _ = operation.reply.send(ApiAnswer::refusal(code));
        }
    }

    /// Answers the operations whose records are folded into `state`.
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

    /// Answers the operations whose deadline has been reached as pending.
    pub fn expire(&mut self, now_ms: u64, state: &ConfigState) {
        for operation in self.remove_matching(|operation| operation.deadline_ms <= now_ms) {
            let view = plan::view(state, &operation.plan).or(operation.prepared);
            let answer = ApiAnswer::refusal_with(ResultCode::PlanPending, json!({"plan": view}));
            let _ = operation.reply.send(answer);
        }
    }

    fn remove_matching(
        &mut self,
        predicate: impl Fn(&PendingOperation) -> bool,
    ) -> Vec<PendingOperation> {
        let (removed, rest) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(predicate);
        self.pending = rest;
        removed
    }
}

/// Answer to an operation whose plan is now in the state of `view`.
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

/// Result code for an operation that left the plan in `state` instead of the requested state.
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
