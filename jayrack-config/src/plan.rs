//! Requests of operators about plans: proposing, confirming, dropping and listing.
//!
//! The functions only prepare records; the fold over the log decides the outcome of each plan.
mod error;
mod view;

use self::view::view_open;
pub use self::{
    error::Error,
    view::{PlanState, PlanView, effects, list, view},
};
pub use crate::record::Role;
use crate::{
    fold::{ConfigState, OpenPlan, PLAN_LIFETIME_MS},
    object::ConfigChange,
    record::{self, DecisionRecord, IntentRecord, ProposedRecord, RECORD_LIMIT_BYTES},
    table::ServerEntry,
    validate::{self, Author, Reason},
};

/// Limit on the length of a note, in bytes.
pub const NOTE_LIMIT_BYTES: usize = 1024;

/// The operator who makes a request.
#[derive(Debug, Clone, Copy)]
pub struct Operator<'a> {
    /// Team of the operator.
    pub team: &'a str,
    /// What the operator may do.
    pub role: Role,
}

/// A change that an operator proposes, with new identifiers.
#[derive(Debug, Clone)]
pub struct ProposeRequest<'a> {
    /// Identifier of the new plan; unique among all plans.
    pub plan_id: &'a str,
    /// Identifier of the new record; unique among all records.
    pub record_id: &'a str,
    /// The change.
    pub change: ConfigChange,
    /// Remark of the operator.
    pub note: &'a str,
    /// Backend servers that are known at present, to check pinned routes.
    pub servers: &'a [ServerEntry],
    /// Time now, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// A record to append, and the plan that it proposes.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Text of the record.
    pub record_json: String,
    /// The plan, in the state `pending`.
    pub plan: PlanView,
}

/// Validates a change and prepares the record that proposes it as a plan.
pub fn propose(
    state: &ConfigState,
    operator: &Operator<'_>,
    request: ProposeRequest<'_>,
) -> Result<Proposal, Error> {
    if operator.role < Role::Operator {
        return Err(Error::RoleInsufficient);
    }
    check_change(state, operator, &request)?;
    let keys = validate::touched(&request.change);
    let base = keys
        .into_iter()
        .map(|key| (key.clone(), state.object_version(&key)));
    let proposed = ProposedRecord {
        record: request.record_id.to_string(),
        plan: request.plan_id.to_string(),
        team: operator.team.to_string(),
        role: operator.role,
        after: state.next_offset() - 1,
        base_version: state.version(),
        base: base.collect(),
        change: request.change,
        note: request.note.to_string(),
    };
    let plan = PlanView {
        state: PlanState::Pending,
        ..view_open(
            state,
            &proposed,
            request.now_ms.saturating_add(PLAN_LIFETIME_MS),
        )
    };
    let record_json = record::encode(&IntentRecord::Proposed(proposed));
    if record_json.len() > RECORD_LIMIT_BYTES {
        return Err(Error::TooLarge);
    }
    Ok(Proposal { record_json, plan })
}

fn check_change(
    state: &ConfigState,
    operator: &Operator<'_>,
    request: &ProposeRequest<'_>,
) -> Result<(), Error> {
    let author = Author {
        team: operator.team,
        is_admin: operator.role == Role::Admin,
        version: state.next_offset(),
    };
    let result = validate::apply_change(state.objects(), &request.change, &author);
    let mut reasons = result.err().unwrap_or_default();
    reasons.extend(validate::check_pinned(&request.change, request.servers));
    if request.note.len() > NOTE_LIMIT_BYTES {
        return Err(Error::TooLarge);
    }
    if reasons.is_empty() {
        return Ok(());
    }
    let is_owner = !reasons
        .iter()
        .any(|reason| matches!(reason, Reason::NotOwner { .. }));
    let reasons = reasons.iter().map(Reason::to_string).collect();
    match is_owner {
        true => Err(Error::Invalid { reasons }),
        false => Err(Error::NotOwner { reasons }),
    }
}

/// Prepares the record that confirms an open plan.
pub fn confirm(
    state: &ConfigState,
    operator: &Operator<'_>,
    plan_id: &str,
    record_id: &str,
) -> Result<String, Error> {
    let plan = open_plan(state, operator, plan_id)?;
    if let Some(conflict) = state.conflicts(&plan.proposed).next() {
        return Err(Error::Conflict(conflict));
    }
    let decision = decision(operator, plan_id, record_id);
    Ok(record::encode(&IntentRecord::Confirmed(decision)))
}

/// Prepares the record that drops an open plan.
pub fn drop_plan(
    state: &ConfigState,
    operator: &Operator<'_>,
    plan_id: &str,
    record_id: &str,
) -> Result<String, Error> {
    open_plan(state, operator, plan_id)?;
    let decision = decision(operator, plan_id, record_id);
    Ok(record::encode(&IntentRecord::Dropped(decision)))
}

/// Prepares the record that drops a plan whose own record has not been seen in the log.
///
/// If that record is stored later, the plan stays dropped.
pub fn fence(operator: &Operator<'_>, plan_id: &str, record_id: &str) -> Result<String, Error> {
    if operator.role < Role::Operator {
        return Err(Error::RoleInsufficient);
    }
    let decision = decision(operator, plan_id, record_id);
    Ok(record::encode(&IntentRecord::Dropped(decision)))
}

fn decision(operator: &Operator<'_>, plan_id: &str, record_id: &str) -> DecisionRecord {
    DecisionRecord {
        record: record_id.to_string(),
        plan: plan_id.to_string(),
        team: operator.team.to_string(),
        role: operator.role,
    }
}

fn open_plan<'a>(
    state: &'a ConfigState,
    operator: &Operator<'_>,
    plan_id: &str,
) -> Result<&'a OpenPlan, Error> {
    if operator.role < Role::Operator {
        return Err(Error::RoleInsufficient);
    }
    let Some(plan) = state.plans().get(plan_id) else {
        return Err(match state.find_closed(plan_id) {
            Some(closed) => Error::from(&closed.outcome),
            None => Error::Unknown,
        });
    };
    if operator.role < Role::Admin && operator.team != plan.proposed.team {
        return Err(Error::NotOwner {
            reasons: vec![format!("the plan belongs to team {}", plan.proposed.team)],
        });
    }
    Ok(plan)
}
