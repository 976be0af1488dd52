//! Execution of administration commands.
use jayrack_config::{
    plan::{self, Operator, PlanState, PlanView, ProposeRequest},
    record::Role,
};
use jayrack_platform::log;
use jayrack_protocol::ResultCode;
use rand_pcg::rand_core::Rng;
use serde_json::json;
use tokio::sync::oneshot;

use super::{
    DaemonHandles,
    log_calls::AppendResult,
    operations::{OperationKind, PendingOperation},
    publish,
    report::{ReportFormat, ReportWaiter},
    state::ControlState,
    views::{self, LocalStatus},
};
use crate::admin::{AdminCall, AdminCommand, ApiAnswer, OperatorIdentity, PlanRequest};

/// Maximum number of records read at once to reach the appended record of an operator.
const MAX_CATCH_UP_RECORDS: usize = 256;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// An operator's record that is ready to be appended.
struct PreparedRecord {
    kind: OperationKind,
    plan: String,
    record: String,
    text: String,
    view: Option<PlanView>,
}

impl ControlState {
    /// Executes one administration request; without an identity it runs as a viewer.
    pub fn handle_admin_call(&mut self, handles: &DaemonHandles, call: AdminCall) {
        let reader = OperatorIdentity {
            team: String::new(),
            role: Role::Viewer,
            token: String::new(),
        };
        let identity = call.operator.unwrap_or(reader);
        let operator = Operator {
            team: &identity.team,
            role: identity.role,
        };
        let prepared = match call.command {
            AdminCommand::Propose(request) => self.prepare_proposal(&operator, request),
            AdminCommand::Confirm(plan) => self.prepare_confirm(&operator, plan),
            AdminCommand::Drop(plan) => self.prepare_drop(&operator, plan),
            AdminCommand::Report | AdminCommand::ReportPage => {
                let format = match call.command {
                    AdminCommand::ReportPage => ReportFormat::Page,
                    _ => ReportFormat::Json,
                };
                self.report(ReportWaiter {
                    format,
                    identity,
                    reply: call.reply,
                });
                return;
            }
            command => {
                let _ = call.reply.send(self.answer_query(handles, command));
                return;
            }
        };
        match prepared {
            Ok(prepared) => self.append(prepared, call.reply),
            Err(refusal) => {
                let _ = call.reply.send(refusal);
            }
        }
    }

    /// Handles the log's answer to the append of an operator's record.
    pub fn handle_append_result(&mut self, record: &str, result: AppendResult) {
        match result {
            Ok(appended) => {
                self.operations.set_offset(record, appended.offset);
                self.operations.answer_folded(self.context.sync.state());
                self.catch_up();
            }
            Err(log::Error::Ambiguous) => {
                ::log::warn!(code = ResultCode::PlanPending.number(), record; "append result is ambiguous");
                self.catch_up();
            }
            Err(error) => {
                ::log::warn!(code = error.code().number(), record; "append refused: {error}");
                self.tracker.refused(record);
                self.operations.refuse(record, error.code());
            }
        }
    }

    /// Reads the records that follow the folded state, so that an operator's record is folded and relayed
    /// without waiting for a reader.
    fn catch_up(&self) {
        let from = self.context.sync.state().next_offset();
        self.context.log.read_ahead(from, MAX_CATCH_UP_RECORDS);
    }

    fn append(&mut self, prepared: PreparedRecord, reply: oneshot::Sender<ApiAnswer>) {
        let now_ms = self.now_ms();
        self.tracker.start(&prepared.record, &prepared.plan, now_ms);
        self.operations.insert(PendingOperation {
            kind: prepared.kind,
            plan: prepared.plan,
            record: prepared.record.clone(),
            offset: None,
            deadline_ms: now_ms + self.context.settings.timeouts.confirm_ms,
            prepared: prepared.view,
            reply,
        });
        self.append_within_budget(prepared.record, prepared.text);
    }

    /// Appends an operator's record as soon as the append budget allows, or refuses it if that is not
    /// before the operation's deadline.
    pub(super) fn append_within_budget(&mut self, record: String, text: String) {
        let now_ms = self.now_ms();
        let Some(deadline_ms) = self.operations.deadline_ms(&record) else {
            // The operation was already answered as pending, so its record must not be appended.
            self.tracker.refused(&record);
            return;
        };
        match self.budget.charge(now_ms) {
            Ok(()) => self.context.log.append_intent(record, text),
            Err(wait_ms) if now_ms + wait_ms < deadline_ms => {
                self.context.log.append_later(record, text, wait_ms);
            }
            Err(_) => {
                self.tracker.refused(&record);
                self.operations.refuse(&record, ResultCode::LogThrottled);
            }
        }
    }

    fn prepare_proposal(
        &mut self,
        operator: &Operator<'_>,
        request: PlanRequest,
    ) -> Result<PreparedRecord, ApiAnswer> {
        self.check_ready()?;
        let plan = self.new_id("p");
        let record = self.new_id("r");
        let servers = publish::server_entries(&self.view);
        let request = ProposeRequest {
            plan_id: &plan,
            record_id: &record,
            change: request.change,
            note: &request.note,
            servers: &servers,
            now_ms: self.unix_ms(),
        };
        let proposal = plan::propose(self.context.sync.state(), operator, request);
        let proposal = proposal.map_err(|error| plan_refusal(&error))?;
        Ok(PreparedRecord {
            kind: OperationKind::Propose,
            plan: proposal.plan.id.clone(),
            record,
            text: proposal.record_json,
            view: Some(proposal.plan),
        })
    }

    fn prepare_confirm(
        &mut self,
        operator: &Operator<'_>,
        plan: String,
    ) -> Result<PreparedRecord, ApiAnswer> {
        self.check_ready()?;
        let record = self.new_id("r");
        let text = plan::confirm(self.context.sync.state(), operator, &plan, &record);
        self.prepare_decision(OperationKind::Confirm, plan, record, text)
    }

    fn prepare_drop(
        &mut self,
        operator: &Operator<'_>,
        plan: String,
    ) -> Result<PreparedRecord, ApiAnswer> {
        self.check_ready()?;
        let record = self.new_id("r");
        let text = match plan::drop_plan(self.context.sync.state(), operator, &plan, &record) {
            Err(plan::Error::Unknown) if self.tracker.is_pending(&plan) => {
                plan::fence(operator, &plan, &record)
            }
            result => result,
        };
        self.prepare_decision(OperationKind::Drop, plan, record, text)
    }

    fn prepare_decision(
        &self,
        kind: OperationKind,
        plan: String,
        record: String,
        text: Result<String, plan::Error>,
    ) -> Result<PreparedRecord, ApiAnswer> {
        let view = plan::view(self.context.sync.state(), &plan);
        match text {
            Ok(text) => Ok(PreparedRecord {
                kind,
                plan,
                record,
                text,
                view,
            }),
            Err(error) if is_already_applied(kind, view.as_ref()) => {
                ::log::info!(plan, code = error.code().number(); "plan already has the requested state; nothing is appended");
                Err(ApiAnswer::success(200, json!({"plan": view})))
            }
            Err(error) => Err(plan_refusal(&error)),
        }
    }

    fn check_ready(&self) -> Result<(), ApiAnswer> {
        match self.context.sync.is_ready() {
            true => Ok(()),
            false => Err(ApiAnswer::refusal(ResultCode::NotReady)),
        }
    }

    fn answer_query(&self, handles: &DaemonHandles, command: AdminCommand) -> ApiAnswer {
        match command {
            AdminCommand::ShowPlan(plan) => self.show_plan(&plan),
            AdminCommand::ListPlans => {
                let plans = plan::list(self.context.sync.state(), self.unix_ms());
                ApiAnswer::success(200, json!({"plans": plans}))
            }
            AdminCommand::Status => {
                let body =
                    views::status(self.context.sync.state(), &self.view, self.local_status());
                ApiAnswer::success(200, body)
            }
            AdminCommand::Members => ApiAnswer::success(200, views::members(&self.view)),
            AdminCommand::LocalReport => self.local_report(),
            AdminCommand::Health => ApiAnswer::success(200, json!({})),
            AdminCommand::Readiness => self.readiness(),
            AdminCommand::Metrics => ApiAnswer::Text {
                status: 200,
                media_type: METRICS_TYPE,
                text: self.context.metrics.render(&self.sample(handles)),
            },
            _ => ApiAnswer::refusal(ResultCode::PathUnknown),
        }
    }

    fn show_plan(&self, plan: &str) -> ApiAnswer {
        match plan::view(self.context.sync.state(), plan) {
            Some(view) => ApiAnswer::success(200, json!({"plan": view})),
            None if self.tracker.is_pending(plan) => ApiAnswer::refusal(ResultCode::PlanPending),
            None => ApiAnswer::refusal(ResultCode::PlanUnknown),
        }
    }

    fn readiness(&self) -> ApiAnswer {
        match self.context.sync.is_ready() && !self.context.shared.is_leaving() {
            true => {
                ApiAnswer::success(200, json!({"version": self.context.sync.state().version()}))
            }
            false => ApiAnswer::refusal(ResultCode::NotReady),
        }
    }

    fn local_status(&self) -> LocalStatus {
        LocalStatus {
            is_ready: self.context.sync.is_ready(),
            log_is_up: self.log_is_up,
            is_reader: self.context.sync.fleet().is_reader(),
            unix_ms: self.unix_ms(),
        }
    }

    fn new_id(&mut self, prefix: &str) -> String {
        format!("{prefix}{:016x}", self.rng.next_u64())
    }
}

/// Whether the plan already has the state that the operation requests.
fn is_already_applied(kind: OperationKind, view: Option<&PlanView>) -> bool {
    let state = view.map(|view| view.state);
    matches!(
        (kind, state),
        (OperationKind::Confirm, Some(PlanState::Confirmed))
            | (OperationKind::Drop, Some(PlanState::Dropped))
    )
}

fn plan_refusal(error: &plan::Error) -> ApiAnswer {
    ApiAnswer::refusal_with(error.code(), json!({"reasons": error.reasons()}))
}
