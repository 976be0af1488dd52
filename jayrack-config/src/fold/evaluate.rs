//! Evaluation of records about plans: which are opened, which come into force, and which are refused.
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    ClosedPlan, ConfigState, OPEN_PLAN_LIMIT, OPEN_PLAN_LIMIT_BYTES, OpenPlan, Outcome,
    PLAN_LIFETIME_MS, PlanOutcome, Removal,
};
use crate::{
    object::Version,
    record::{DecisionRecord, ProposedRecord, Role, StoredRecord},
    validate::{self, Author, ObjectMap, Reason},
};

impl ConfigState {
    pub(super) fn open_plan(&mut self, stored: &StoredRecord, proposed: ProposedRecord) -> Outcome {
        if let Some(plan) = self.plans.get(&proposed.plan) {
            return match plan.proposed.record == proposed.record {
                true => Outcome::Repeated { version: 0 },
                false => invalid(Reason::PlanTaken(proposed.plan)),
            };
        }
        if let Some(closed) = self.find_closed(&proposed.plan) {
            return closed.outcome.fold_outcome();
        }
        if let Some(reason) = self.refusal_reason(stored, &proposed) {
            return invalid(reason);
        }
        let plan = OpenPlan {
            offset: stored.offset,
            expires_ms: self.log_time_ms.saturating_add(PLAN_LIFETIME_MS),
            size_bytes: stored.data.len(),
            proposed,
        };
        self.plans
            .insert(plan.proposed.plan.clone(), Arc::new(plan));
        Outcome::Proposed
    }

    fn refusal_reason(&self, stored: &StoredRecord, proposed: &ProposedRecord) -> Option<Reason> {
        let touched = validate::touched(&proposed.change);
        if proposed.after < self.horizon || proposed.after >= stored.offset {
            return Some(Reason::Stale);
        }
        if proposed.role < Role::Operator {
            return Some(Reason::NotAuthor(proposed.team.clone()));
        }
        if !touched.iter().eq(proposed.base.keys()) {
            return Some(Reason::BadBase);
        }
        let size_bytes: usize = self.plans.values().map(|plan| plan.size_bytes).sum();
        let is_full = self.plans.len() >= OPEN_PLAN_LIMIT
            || size_bytes + stored.data.len() > OPEN_PLAN_LIMIT_BYTES;
        is_full.then_some(Reason::TooManyPlans)
    }

    pub(super) fn confirm_plan(
        &mut self,
        stored: &StoredRecord,
        decision: &DecisionRecord,
    ) -> Outcome {
        let Some(plan) = self.plans.get(&decision.plan).cloned() else {
            return match self.find_closed(&decision.plan) {
                Some(closed) => closed.outcome.fold_outcome(),
                None => invalid(Reason::UnknownPlan(decision.plan.clone())),
            };
        };
        if !may_decide(&plan.proposed, decision) {
            return invalid(Reason::NotAuthor(plan.proposed.team.clone()));
        }
        let conflict = self.conflicts(&plan.proposed).next();
        if let Some(conflict) = conflict {
            let plan_outcome = PlanOutcome::Conflict(conflict);
            let outcome = plan_outcome.fold_outcome();
            self.close_plan(&plan, stored.offset, plan_outcome);
            return outcome;
        }
        let author = Author {
            team: &plan.proposed.team,
            is_admin: plan.proposed.role == Role::Admin,
            version: stored.offset,
        };
        match validate::apply_change(&self.objects, &plan.proposed.change, &author) {
            Ok(objects) => self.accept(stored, &plan, objects),
            Err(reasons) => {
                let texts = reasons.iter().map(Reason::to_string).collect();
                self.close_plan(
                    &plan,
                    stored.offset,
                    PlanOutcome::Invalid { reasons: texts },
                );
                Outcome::Invalid { reasons }
            }
        }
    }

    fn accept(&mut self, stored: &StoredRecord, plan: &OpenPlan, objects: ObjectMap) -> Outcome {
        let version = stored.offset;
        let expires_ms = self.log_time_ms.saturating_add(PLAN_LIFETIME_MS);
        for key in validate::touched(&plan.proposed.change) {
            if objects.contains_key(&key) {
                self.removals.remove(&key);
            } else {
                self.removals.insert(
                    key,
                    Removal {
                        version,
                        expires_ms,
                    },
                );
            }
        }
        self.objects = objects;
        self.version = version;
        self.digest = chain_digest(self.digest, version, &plan.proposed);
        self.close_plan(plan, stored.offset, PlanOutcome::Confirmed { version });
        Outcome::Accepted { version }
    }

    pub(super) fn drop_plan(
        &mut self,
        stored: &StoredRecord,
        decision: &DecisionRecord,
    ) -> Outcome {
        if let Some(closed) = self.find_closed(&decision.plan) {
            return closed.outcome.fold_outcome();
        }
        let Some(plan) = self.plans.get(&decision.plan).cloned() else {
            if decision.role < Role::Operator {
                return invalid(Reason::UnknownPlan(decision.plan.clone()));
            }
            self.push_closed(fence(stored, decision));
            return Outcome::Dropped;
        };
        if !may_decide(&plan.proposed, decision) {
            return invalid(Reason::NotAuthor(plan.proposed.team.clone()));
        }
        self.close_plan(&plan, stored.offset, PlanOutcome::Dropped);
        Outcome::Dropped
    }
}

fn may_decide(proposed: &ProposedRecord, decision: &DecisionRecord) -> bool {
    match decision.role {
        Role::Admin => true,
        Role::Operator => decision.team == proposed.team,
        Role::Viewer => false,
    }
}

/// Closed entry of a plan that was dropped before its own record reached the log.
fn fence(stored: &StoredRecord, decision: &DecisionRecord) -> ClosedPlan {
    ClosedPlan {
        plan: decision.plan.clone(),
        team: decision.team.clone(),
        base_version: 0,
        touches: Vec::new(),
        note: String::new(),
        offset: stored.offset,
        expires_ms: 0,
        outcome: PlanOutcome::Dropped,
    }
}

fn chain_digest(previous: u64, version: Version, proposed: &ProposedRecord) -> u64 {
    let change = serde_json::to_string(&proposed.change).expect("changes have string keys only");
    let text = format!("{previous:016x} {version} {} {change}", proposed.team);
    xxh3_64(text.as_bytes()).max(1)
}

pub(super) fn invalid(reason: Reason) -> Outcome {
    Outcome::Invalid {
        reasons: vec![reason],
    }
}
