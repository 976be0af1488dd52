//! Reference implementation of the fold, without bounds, shortcuts or eviction.
use std::collections::{BTreeMap, BTreeSet};

use jayrack_config::{
    fold::PLAN_LIFETIME_MS,
    object::{ConfigObject, ObjectKey},
    record::{self, DecisionRecord, IntentRecord, ProposedRecord, Role, StoredRecord},
};

/// An object in force: its key, value, owner and version.
pub type NaiveObject = (ObjectKey, ConfigObject, String, u64);

#[derive(Debug, Clone)]
struct Accepted {
    version: u64,
    time_ms: u64,
    proposed: ProposedRecord,
}

#[derive(Debug, Default)]
pub struct NaiveReplay {
    accepted: Vec<Accepted>,
    open: Vec<(u64, ProposedRecord)>,
    /// How each closed plan ended.
    pub outcomes: BTreeMap<String, &'static str>,
}

impl NaiveReplay {
    pub fn replay(records: &[StoredRecord]) -> Self {
        let mut replay = Self::default();
        let mut now_ms = 0;
        for stored in records {
            now_ms = now_ms.max(stored.time_ms);
            replay.step(stored, now_ms);
        }
        replay
    }

    pub fn version(&self) -> u64 {
        self.accepted.last().map_or(0, |accepted| accepted.version)
    }

    pub fn open_plans(&self) -> BTreeSet<String> {
        self.open
            .iter()
            .map(|(_, plan)| plan.plan.clone())
            .collect()
    }

    /// All objects in force, computed anew from all accepted changes.
    pub fn objects(&self) -> Vec<NaiveObject> {
        let mut objects: Vec<NaiveObject> = Vec::new();
        for accepted in &self.accepted {
            objects = changed(&objects, &accepted.proposed, accepted.version);
        }
        objects.sort_by(|a, b| a.0.cmp(&b.0));
        objects
    }

    fn step(&mut self, stored: &StoredRecord, now_ms: u64) {
        for (time_ms, plan) in std::mem::take(&mut self.open) {
            if time_ms + PLAN_LIFETIME_MS <= now_ms {
                self.outcomes.insert(plan.plan, "expired");
            } else {
                self.open.push((time_ms, plan));
            }
        }
        match record::decode(&stored.data) {
            Ok(IntentRecord::Proposed(plan)) => self.propose(plan, stored.offset, now_ms),
            Ok(IntentRecord::Confirmed(decision)) => {
                self.decide(&decision, Some((stored.offset, now_ms)))
            }
            Ok(IntentRecord::Dropped(decision)) => self.decide(&decision, None),
            Err(_) => {}
        }
    }

    fn propose(&mut self, plan: ProposedRecord, offset: u64, now_ms: u64) {
        let is_known =
            self.outcomes.contains_key(&plan.plan) || self.open_plans().contains(&plan.plan);
        let mut touched: Vec<ObjectKey> = plan.change.put.iter().map(ConfigObject::key).collect();
        touched.extend(plan.change.remove.iter().cloned());
        touched.sort();
        touched.dedup();
        let is_based = touched == plan.base.keys().cloned().collect::<Vec<_>>();
        if !is_known && is_based && plan.role != Role::Viewer && plan.after < offset {
            self.open.push((now_ms, plan));
        }
    }

    fn decide(&mut self, decision: &DecisionRecord, confirmed: Option<(u64, u64)>) {
        if self.outcomes.contains_key(&decision.plan) || decision.role == Role::Viewer {
            return;
        }
        let found = self
            .open
            .iter()
            .position(|(_, plan)| plan.plan == decision.plan);
        let Some(index) = found else {
            if confirmed.is_none() {
                self.outcomes.insert(decision.plan.clone(), "dropped");
            }
            return;
        };
        if decision.role != Role::Admin && decision.team != self.open[index].1.team {
            return;
        }
        let (_, plan) = self.open.remove(index);
        let outcome = match confirmed {
            None => "dropped",
            Some((offset, now_ms)) => self.confirm(plan, offset, now_ms),
        };
        self.outcomes.insert(decision.plan.clone(), outcome);
    }

    fn confirm(&mut self, plan: ProposedRecord, offset: u64, now_ms: u64) -> &'static str {
        let objects = self.objects();
        let stored = |key: &ObjectKey| objects.iter().find(|object| object.0 == *key);
        for (key, base) in &plan.base {
            let version = stored(key).map_or(0, |object| object.3);
            if version != *base || self.is_removed_after(key, plan.after, now_ms) {
                return "conflict";
            }
        }
        let is_foreign = |key: &ObjectKey| stored(key).is_some_and(|object| object.2 != plan.team);
        if plan.role != Role::Admin && plan.base.keys().any(is_foreign) {
            return "invalid";
        }
        let named = plan.change.put.len() + plan.change.remove.len();
        let is_present = |key: &ObjectKey| stored(key).is_some();
        if named == 0 || named != plan.base.len() || !plan.change.remove.iter().all(is_present) {
            return "invalid";
        }
        if !is_valid(&changed(&objects, &plan, offset)) {
            return "invalid";
        }
        self.accepted.push(Accepted {
            version: offset,
            time_ms: now_ms,
            proposed: plan,
        });
        "confirmed"
    }

    fn is_removed_after(&self, key: &ObjectKey, after: u64, now_ms: u64) -> bool {
        let mut touches = self
            .accepted
            .iter()
            .filter(|accepted| accepted.proposed.base.contains_key(key));
        touches.next_back().is_some_and(|accepted| {
            accepted.proposed.change.remove.contains(key)
                && accepted.version > after
                && accepted.time_ms + PLAN_LIFETIME_MS > now_ms
        })
    }
}

fn changed(objects: &[NaiveObject], plan: &ProposedRecord, version: u64) -> Vec<NaiveObject> {
    let mut result: Vec<NaiveObject> = objects.to_vec();
    result.retain(|object| !plan.base.contains_key(&object.0));
    for object in &plan.change.put {
        let key = object.key();
        let previous = objects.iter().find(|object| object.0 == key);
        let team = previous.map_or(plan.team.clone(), |object| object.2.clone());
        result.push((key, object.clone(), team, version));
    }
    result
}

fn is_valid(objects: &[NaiveObject]) -> bool {
    let has = |key: ObjectKey| objects.iter().any(|object| object.0 == key);
    let mut orders = Vec::new();
    let mut reserved_percent = 0;
    for (_, object, _, _) in objects {
        match object {
            ConfigObject::Rank(rank) => {
                orders.push(rank.order);
                reserved_percent += u32::from(rank.floor_percent);
            }
            ConfigObject::Service(_) => {}
            ConfigObject::Route(route) => {
                let is_closed = has(ObjectKey::Service(route.service.clone()))
                    && has(ObjectKey::Rank(route.rank.clone()));
                if !is_closed {
                    return false;
                }
            }
        }
    }
    let count = orders.len();
    orders.sort();
    orders.dedup();
    orders.len() == count && reserved_percent <= 100
}
