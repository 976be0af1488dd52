//! Plans as shown to operators.
use std::{cmp::Reverse, collections::BTreeMap};

use serde::Serialize;
use serde_json::Value;

use crate::{
    fold::{ClosedPlan, ConfigState, OpenPlan, PlanOutcome},
    object::{ConfigChange, ConfigObject, ObjectKey, Version},
    record::ProposedRecord,
};

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
    /// A touched object was changed since the plan was proposed.
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
    /// Team that proposed the plan.
    pub team: String,
    /// Version in force when the plan was proposed.
    pub base: Version,
    /// Version that the plan put in force; 0 unless confirmed.
    pub version: Version,
    /// Keys of the objects that the plan touches.
    pub touches: Vec<String>,
    /// Descriptions of what will change, one sentence each; empty once the plan is closed.
    pub effects: Vec<String>,
    /// Why the plan was refused or cannot be confirmed.
    pub reasons: Vec<String>,
    /// Time after which the plan can no longer be confirmed, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Remark of the operator.
    pub note: String,
}

/// View of the plan with `plan_id` if it is open or recently closed.
pub fn view(state: &ConfigState, plan_id: &str) -> Option<PlanView> {
    if let Some(plan) = state.plans().get(plan_id) {
        return Some(view_open(state, &plan.proposed, plan.expires_ms));
    }
    state.find_closed(plan_id).map(view_closed)
}

/// Lists open plans, the latest first, then recently closed ones; open plans past `now_ms` are shown as expired.
pub fn list(state: &ConfigState, now_ms: u64) -> Vec<PlanView> {
    let mut plans: Vec<&OpenPlan> = state.plans().values().map(AsRef::as_ref).collect();
    plans.sort_by_key(|plan| Reverse(plan.offset));
    let open = plans.into_iter().map(|plan| {
        let mut view = view_open(state, &plan.proposed, plan.expires_ms);
        if plan.expires_ms <= now_ms {
            view.state = PlanState::Expired;
        }
        view
    });
    open.chain(state.closed().rev().map(view_closed)).collect()
}

pub(super) fn view_open(
    state: &ConfigState,
    proposed: &ProposedRecord,
    expires_ms: u64,
) -> PlanView {
    let conflicts = state.conflicts(proposed);
    let reasons: Vec<String> = conflicts.map(|conflict| conflict.to_string()).collect();
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
    let (state, version, reasons) = match &closed.outcome {
        PlanOutcome::Confirmed { version } => (PlanState::Confirmed, *version, Vec::new()),
        PlanOutcome::Dropped => (PlanState::Dropped, 0, Vec::new()),
        PlanOutcome::Expired => (PlanState::Expired, 0, Vec::new()),
        PlanOutcome::Conflict(conflict) => (PlanState::Conflict, 0, vec![conflict.to_string()]),
        PlanOutcome::Invalid { reasons } => (PlanState::Invalid, 0, reasons.clone()),
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

/// Describes what `change` does to the configuration in force, in one sentence for each object.
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
