//! Paths and bodies of the administration API.
use jayrack_config::{object::ConfigChange, record::Role};
use jayrack_protocol::ResultCode;
use serde::Deserialize;
use warp::http::Method;

use super::{ApiAnswer, OperatorIdentity, csrf_token, identity::is_same_secret};

/// Body of `POST /v1/plans`.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// Change to the configuration.
    pub change: ConfigChange,
    /// Remark for readers of the plan.
    #[serde(default)]
    pub note: String,
}

/// Command of an administration request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCommand {
    /// Propose a plan.
    Propose(PlanRequest),
    /// Confirm the plan with this identifier.
    Confirm(String),
    /// Drop the plan with this identifier.
    Drop(String),
    /// Show the plan with this identifier.
    ShowPlan(String),
    /// List the plans.
    ListPlans,
    /// Show on which daemons the configuration is in force.
    Status,
    /// List the daemons.
    Members,
    /// Return the fleet's burn report as JSON.
    Report,
    /// Return the fleet's burn report as an HTML page.
    ReportPage,
    /// Return this daemon's own report to a daemon that gathers the fleet's.
    LocalReport,
    /// Return the metrics in the OpenMetrics text format.
    Metrics,
    /// Report that the daemon runs.
    Health,
    /// Report whether the daemon is ready and not stopping.
    Readiness,
}

/// Result of matching the method and the path of a request, before its body is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteTarget {
    /// `POST /v1/plans`; the body is a [`PlanRequest`].
    Propose,
    /// `POST /report/plans/PLAN/VERB`; the body is a form with the field `check`.
    Form {
        /// Identifier of the plan.
        plan: String,
        /// Command that the form sends.
        command: AdminCommand,
    },
    /// A command that takes no body.
    Command(AdminCommand),
}

/// Returns the command of a path that needs no token.
pub fn public_command(method: &Method, path: &str) -> Option<AdminCommand> {
    match (method, path) {
        (&Method::GET, "/metrics") => Some(AdminCommand::Metrics),
        (&Method::GET, "/healthz") => Some(AdminCommand::Health),
        (&Method::GET, "/readyz") => Some(AdminCommand::Readiness),
        _ => None,
    }
}

/// Matches the method and the path, or refuses an unknown path or method.
pub fn target_of(method: &Method, path: &str) -> Result<RouteTarget, ApiAnswer> {
    let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
    let is_get = method == Method::GET;
    let is_post = method == Method::POST;
    let command = match segments.as_slice() {
        ["v1", "plans"] if is_post => return Ok(RouteTarget::Propose),
        ["v1", "plans"] if is_get => AdminCommand::ListPlans,
        ["v1", "plans", plan] if is_get => AdminCommand::ShowPlan(plan.to_string()),
        ["v1", "plans", plan, "confirm"] if is_post => AdminCommand::Confirm(plan.to_string()),
        ["v1", "plans", plan, "drop"] if is_post => AdminCommand::Drop(plan.to_string()),
        ["v1", "status"] if is_get => AdminCommand::Status,
        ["v1", "members"] if is_get => AdminCommand::Members,
        ["v1", "report"] if is_get => AdminCommand::Report,
        ["v1", "report", "local"] if is_get => AdminCommand::LocalReport,
        ["report"] if is_get => AdminCommand::ReportPage,
        ["report", "plans", plan, "confirm"] if is_post => {
            return Ok(form_target(plan, AdminCommand::Confirm(plan.to_string())));
        }
        ["report", "plans", plan, "drop"] if is_post => {
            return Ok(form_target(plan, AdminCommand::Drop(plan.to_string())));
        }
        ["v1", "plans"]
        | ["v1", "plans", _]
        | ["v1", "plans", _, "confirm" | "drop"]
        | ["v1", "status" | "members" | "report"]
        | ["v1", "report", "local"]
        | ["report"] => return Err(ApiAnswer::refusal(ResultCode::MethodNotAllowed)),
        _ => return Err(ApiAnswer::refusal(ResultCode::PathUnknown)),
    };
    Ok(RouteTarget::Command(command))
}

/// Refuses proposals, confirms and drops of the JSON API by viewers.
pub fn check_role(target: &RouteTarget, role: Role) -> Result<(), ApiAnswer> {
    let changes = matches!(
        target,
        RouteTarget::Propose
            | RouteTarget::Command(AdminCommand::Confirm(_) | AdminCommand::Drop(_))
    );
    if changes && role == Role::Viewer {
        return Err(ApiAnswer::refusal(ResultCode::RoleInsufficient));
    }
    Ok(())
}

/// Parses the body for `target` and returns the command; a form needs a valid CSRF token.
pub fn command_of(
    target: RouteTarget,
    operator: &OperatorIdentity,
    body: &[u8],
) -> Result<AdminCommand, ApiAnswer> {
    match target {
        RouteTarget::Command(command) => Ok(command),
        RouteTarget::Propose => parse_plan(body).map(AdminCommand::Propose),
        RouteTarget::Form { plan, command } => {
            let expected = format!("check={}", csrf_token(&operator.token, &plan));
            let body = std::str::from_utf8(body).unwrap_or_default();
            match is_same_secret(body.trim(), &expected) {
                true => Ok(command),
                false => Err(ApiAnswer::refusal(ResultCode::TokenInvalid)),
            }
        }
    }
}

/// Whether requests to `path` come from a form on the report page.
pub fn is_form(path: &str) -> bool {
    path.starts_with("/report/plans/")
}

fn form_target(plan: &str, command: AdminCommand) -> RouteTarget {
    RouteTarget::Form {
        plan: plan.to_string(),
        command,
    }
}

fn parse_plan(body: &[u8]) -> Result<PlanRequest, ApiAnswer> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let result = serde_path_to_error::deserialize(&mut deserializer);
    let request = result.map_err(|error| {
        let code = match error.inner().classify() {
            serde_json::error::Category::Data => ResultCode::JsonInvalid,
            _ => ResultCode::JsonMalformed,
        };
        ApiAnswer::refusal_because(code, &error.to_string())
    })?;
    let end = deserializer.end();
    end.map_err(|error| ApiAnswer::refusal_because(ResultCode::JsonMalformed, &error.to_string()))?;
    Ok(request)
}
