//! Plans as operators see them: stating, confirming, dropping and listing.
//!
//! The functions only prepare records; the fold over the log decides what becomes of them.
use std::{collections::BTreeMap, fmt};

use jayrack_protocol::ResultCode;
use serde::Serialize;
use serde_json::Value;

use crate::{
    fold::{ClosedPlan, ConfigState, OpenPlan, PLAN_LIFETIME_MS, Verdict},
    object::{ConfigChange, ConfigObject, ObjectKey, Version},
    record::{self, DecisionRecord, IntentRecord, ProposedRecord, RECORD_LIMIT_BYTES},
    table::ServerEntry,
    validate::{self, Author, Reason},
};

pub use crate::record::Role;

/// Limit on the length of a note, in bytes.
pub const NOTE_LIMIT_BYTES: usize = 1024;

/// Who asks.
#[derive(Debug, Clone, Copy)]
pub struct Operator<'a> {
    /// Team of the operator.
    pub team: &'a str,
    /// What the operator may do.
    pub role: Role,
}

/// A change that an operator states, with fresh identifiers.
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
    /// Backend servers that are known now, for pinned routes.
    pub servers: &'a [ServerEntry],
    /// Time now, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// A record to append, and the plan as it will be once the log has the record.
#[derive(Debug, Clone)]
pub struct Proposal {
    /// Text of the record.
    pub record_json: String,
    /// The plan, in the state `pending`.
    pub plan: PlanView,
}

/// State of a plan as shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum PlanState {
    /// The log has not confirmed the append; the outcome is not known yet.
    Pending,
    /// The plan can be confirmed or dropped.
    Open,
    /// The change came into force.
    Confirmed,
    /// The plan was dropped.
    Dropped,
    /// A touched object was changed since the plan was stated.
    Conflict,
    /// The plan was not confirmed in time.
    Expired,
    /// The change did not validate when it was confirmed.
    Invalid,
}

/// A plan as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlanView {
    /// Identifier of the plan.
    pub id: String,
    /// State of the plan.
    pub state: PlanState,
    /// Team that stated the plan.
    pub team: String,
    /// Version in force when the plan was stated.
    pub base: Version,
    /// Version that the change got; 0 unless confirmed.
    pub version: Version,
    /// Keys of the objects that the plan touches.
    pub touches: Vec<String>,
    /// Sentences that say what will change; empty once the plan is closed.
    pub effects: Vec<String>,
    /// Why the plan was refused or cannot be confirmed.
    pub reasons: Vec<String>,
    /// Time after which the plan can no longer be confirmed, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Remark of the operator.
    pub note: String,
}

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
    /// A touched object was changed since the plan was stated.
    Conflict {
        /// The object.
        object: ObjectKey,
        /// Version of the object when the plan was stated.
        base: Version,
        /// Version of the object when the conflict was found.
        current: Version,
    },
    /// The plan was not confirmed in time.
    Expired,
    /// The plan was dropped before.
    Dropped,
    /// The plan was confirmed before.
    AlreadyConfirmed {
        /// The version that it got.
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
            Error::Conflict { .. } => ResultCode::PlanConflict,
            Error::Expired => ResultCode::PlanExpired,
            Error::Dropped => ResultCode::PlanDropped,
            Error::AlreadyConfirmed { .. } => ResultCode::PlanAlreadyConfirmed,
        }
    }

    /// Sentences that say why.
    pub fn reasons(&self) -> Vec<String> {
        match self {
            Error::NotOwner { reasons } | Error::Invalid { reasons } => reasons.clone(),
            Error::Conflict {
                object,
                base,
                current,
            } => vec![conflict_text(object, *base, *current)],
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

/// Validates a change and prepares the record that states it as a plan.
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
    for (key, base) in &plan.proposed.base {
        let current = state.object_version(key);
        if current != *base {
            return Err(Error::Conflict {
                object: key.clone(),
                base: *base,
                current,
            });
        }
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
/// Should that record still be stored later, the plan stays dropped.
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
            Some(closed) => closed_error(&closed.verdict),
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

fn closed_error(verdict: &Verdict) -> Error {
    match verdict {
        Verdict::Confirmed { version } => Error::AlreadyConfirmed { version: *version },
        Verdict::Dropped => Error::Dropped,
        Verdict::Expired => Error::Expired,
        Verdict::Conflict {
            object,
            base,
            current,
        } => Error::Conflict {
            object: object.clone(),
            base: *base,
            current: *current,
        },
        Verdict::Invalid { reasons } => Error::Invalid {
            reasons: reasons.clone(),
        },
    }
}

/// Shows the plan with `plan_id`, open or recently closed.
pub fn view(state: &ConfigState, plan_id: &str) -> Option<PlanView> {
    if let Some(plan) = state.plans().get(plan_id) {
        return Some(view_open(state, &plan.proposed, plan.expires_ms));
    }
    state.find_closed(plan_id).map(view_closed)
}

/// Lists open plans, the latest first, then recently closed ones; open plans past `now_ms` are shown as expired.
pub fn list(state: &ConfigState, now_ms: u64) -> Vec<PlanView> {
    let mut plans: Vec<&OpenPlan> = state.plans().values().map(AsRef::as_ref).collect();
    plans.sort_by_key(|plan| std::cmp::Reverse(plan.offset));
    let open = plans.into_iter().map(|plan| {
        let mut view = view_open(state, &plan.proposed, plan.expires_ms);
        if plan.expires_ms <= now_ms {
            view.state = PlanState::Expired;
        }
        view
    });
    open.chain(state.closed().rev().map(view_closed)).collect()
}

fn view_open(state: &ConfigState, proposed: &ProposedRecord, expires_ms: u64) -> PlanView {
    let reasons: Vec<String> = proposed
        .base
        .iter()
        .filter(|(key, base)| state.object_version(key) != **base)
        .map(|(key, base)| conflict_text(key, *base, state.object_version(key)))
        .collect();
    PlanView {
        id: proposed.plan.clone(),
        state: match reasons.is_empty() {
            true => PlanState::Open,
            false => PlanState::Conflict,
        },
        team: proposed.team.clone(),
        base: proposed.base_version,
        version: 0,
        touches: proposed.base.keys().map(ObjectKey::to_string).collect(),
        effects: effects(state, &proposed.change),
        reasons,
        expires_ms,
        note: proposed.note.clone(),
    }
}

fn view_closed(closed: &ClosedPlan) -> PlanView {
    let (state, version, reasons) = match &closed.verdict {
        Verdict::Confirmed { version } => (PlanState::Confirmed, *version, Vec::new()),
        Verdict::Dropped => (PlanState::Dropped, 0, Vec::new()),
        Verdict::Expired => (PlanState::Expired, 0, Vec::new()),
        Verdict::Conflict {
            object,
            base,
            current,
        } => (
            PlanState::Conflict,
            0,
            vec![conflict_text(object, *base, *current)],
        ),
        Verdict::Invalid { reasons } => (PlanState::Invalid, 0, reasons.clone()),
    };
    PlanView {
        id: closed.plan.clone(),
        state,
        team: closed.team.clone(),
        base: closed.base_version,
        version,
        touches: closed.touches.iter().map(ObjectKey::to_string).collect(),
        effects: Vec::new(),
        reasons,
        expires_ms: closed.expires_ms,
        note: closed.note.clone(),
    }
}

fn conflict_text(object: &ObjectKey, base: Version, current: Version) -> String {
    format!(
        "{object} was at version {base} when the plan was stated and is now at version {current}"
    )
}

/// Sentences that say what `change` does to the configuration in force.
pub fn effects(state: &ConfigState, change: &ConfigChange) -> Vec<String> {
    let mut sentences = Vec::new();
    for object in &change.put {
        let key = object.key();
        match state.objects().get(&key) {
            None => sentences.push(format!("Adds {key}{}.", summary(object))),
            Some(entry) => sentences.push(describe_update(&key, &entry.object, object)),
        }
    }
    sentences.extend(change.remove.iter().map(|key| format!("Removes {key}.")));
    sentences
}

fn summary(object: &ConfigObject) -> String {
    match object {
        ConfigObject::Rank(rank) => format!(
            " with order {}, a floor of {} % and a deadline of {} ms",
            rank.order, rank.floor_percent, rank.deadline_ms
        ),
        ConfigObject::Service(service) => format!(" with {} objectives", service.objectives.len()),
        ConfigObject::Route(route) => format!(
            ": {}{} to service {} as rank {}",
            route.host, route.path_prefix, route.service, route.rank
        ),
    }
}

fn describe_update(key: &ObjectKey, old: &ConfigObject, new: &ConfigObject) -> String {
    let (old, new) = (fields(old), fields(new));
    let changes: Vec<String> = new
        .iter()
        .filter(|(name, value)| old.get(*name) != Some(value))
        .map(|(name, value)| {
            format!(
                "{name} from {} to {value}",
                old.get(name).unwrap_or(&Value::Null)
            )
        })
        .collect();
    match changes.is_empty() {
        true => format!("Leaves {key} as it is."),
        false => format!("Changes {key}: {}.", changes.join(", ")),
    }
}

fn fields(object: &ConfigObject) -> BTreeMap<String, Value> {
    match serde_json::to_value(object) {
        Ok(Value::Object(fields)) => fields.into_iter().collect(),
        _ => BTreeMap::new(),
    }
}
