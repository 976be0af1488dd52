//! The fold over the `intents` stream, which alone decides which plans come into force.
//!
//! Every daemon folds the same records in offset order and so reaches the same plan outcomes. The first
//! decision about a plan counts; plans expire by the times at which the log stored the records.
mod evaluate;
mod outcome;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

pub use self::outcome::{ClosedPlan, Error, ObjectConflict, OpenPlan, Outcome, PlanOutcome};
use crate::{
    object::{ObjectKey, Version},
    record::{self, IntentRecord, ProposedRecord, RECORD_LIMIT_BYTES, StoredRecord},
    validate::{ObjectMap, Reason},
};

/// Time from a plan's record until the plan can no longer be confirmed, in milliseconds of log time.
pub const PLAN_LIFETIME_MS: u64 = 15 * 60 * 1000;

/// Number of closed plans that are kept.
pub const CLOSED_PLAN_LIMIT: usize = 1024;

/// Limit on the number of open plans.
pub const OPEN_PLAN_LIMIT: usize = 512;

/// Limit on the text of all open plans' records, in bytes.
pub const OPEN_PLAN_LIMIT_BYTES: usize = 32 * RECORD_LIMIT_BYTES;

const INITIAL_DIGEST: u64 = 0x6a61_7972_6163_6b01;

/// Version at which an object was removed, kept as long as an older plan may be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Version that removed the object.
    pub version: Version,
    /// Log time after which the entry is not needed, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// The configuration after all records below an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigState {
    pub(crate) version: Version,
    pub(crate) digest: u64,
    pub(crate) next_offset: u64,
    pub(crate) log_time_ms: u64,
    /// Highest offset of the records that were skipped and of the closed plans that were evicted; a
    /// proposal whose author had not folded up to it is refused.
    pub(crate) horizon: u64,
    pub(crate) objects: ObjectMap,
    pub(crate) removals: BTreeMap<ObjectKey, Removal>,
    pub(crate) plans: BTreeMap<String, Arc<OpenPlan>>,
    pub(crate) closed: VecDeque<Arc<ClosedPlan>>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigState {
    /// The empty configuration before the first record.
    pub fn new() -> Self {
        Self {
            version: 0,
            digest: INITIAL_DIGEST,
            next_offset: 1,
            log_time_ms: 0,
            horizon: 0,
            objects: BTreeMap::new(),
            removals: BTreeMap::new(),
            plans: BTreeMap::new(),
            closed: VecDeque::new(),
        }
    }

    /// Offset of the record that put the configuration in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Digest over all accepted changes; never 0.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Offset of the record to fold next.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Highest log time of the folded records, in milliseconds since the Unix epoch.
    pub fn log_time_ms(&self) -> u64 {
        self.log_time_ms
    }

    /// Objects in force.
    pub fn objects(&self) -> &ObjectMap {
        &self.objects
    }

    /// Open plans by identifier.
    pub fn plans(&self) -> &BTreeMap<String, Arc<OpenPlan>> {
        &self.plans
    }

    /// Recently closed plans, the latest last.
    pub fn closed(&self) -> impl DoubleEndedIterator<Item = &ClosedPlan> {
        self.closed.iter().map(Arc::as_ref)
    }

    /// Finds a recently closed plan.
    pub fn find_closed(&self, plan: &str) -> Option<&ClosedPlan> {
        self.closed().rev().find(|closed| closed.plan == plan)
    }

    /// Version at which the object under `key` was last stored; 0 when it is absent.
    pub fn object_version(&self, key: &ObjectKey) -> Version {
        self.objects.get(key).map_or(0, |entry| entry.version)
    }

    /// Objects of the plan that were changed after it was proposed.
    pub fn conflicts<'a>(
        &'a self,
        proposed: &'a ProposedRecord,
    ) -> impl Iterator<Item = ObjectConflict> + 'a {
        proposed.base.iter().filter_map(|(object, base)| {
            let stored = self.object_version(object);
            let removed = match self.removals.get(object) {
                Some(removal) => removal.version,
                None => 0,
            };
            let is_changed = stored != *base || removed > proposed.after;
            is_changed.then(|| ObjectConflict {
                object: object.clone(),
                base: *base,
                current: stored.max(removed),
            })
        })
    }

    /// Folds the record at the next offset; records below it are ignored.
    pub fn apply(&mut self, stored: &StoredRecord) -> Result<Outcome, Error> {
        if stored.offset < self.next_offset {
            return Ok(Outcome::Ignored);
        }
        if stored.offset > self.next_offset {
            return Err(Error::Gap {
                expected: self.next_offset,
                found: stored.offset,
            });
        }
        let record = match record::decode(&stored.data) {
            Ok(record) => Ok(record),
            Err(record::Error::Malformed { detail }) => Err(Reason::Malformed(detail)),
            Err(record::Error::NotUnderstood { found }) => {
                return Err(Error::NotUnderstood {
                    offset: stored.offset,
                    found,
                });
            }
        };
        self.advance(stored);
        Ok(match record {
            Ok(IntentRecord::Proposed(proposed)) => self.open_plan(stored, proposed),
            Ok(IntentRecord::Confirmed(decision)) => self.confirm_plan(stored, &decision),
            Ok(IntentRecord::Dropped(decision)) => self.drop_plan(stored, &decision),
            Err(reason) => evaluate::invalid(reason),
        })
    }

    /// Continues at `offset` without the records before it, which expired in the log before any member
    /// folded them.
    ///
    /// All open plans end as expired, because decisions about them may have been lost, and later copies of
    /// records written before `offset` are refused.
    pub fn skip_to(&mut self, offset: u64, log_now_ms: u64) {
        if offset <= self.next_offset {
            return;
        }
        self.next_offset = offset;
        self.log_time_ms = self.log_time_ms.max(log_now_ms);
        self.close_expired(u64::MAX);
        self.horizon = self.horizon.max(offset - 1);
    }

    fn advance(&mut self, stored: &StoredRecord) {
        self.next_offset = stored.offset.saturating_add(1);
        self.log_time_ms = self.log_time_ms.max(stored.time_ms);
        let now_ms = self.log_time_ms;
        self.removals
            .retain(|_, removal| removal.expires_ms > now_ms);
        self.close_expired(now_ms);
    }

    fn close_expired(&mut self, now_ms: u64) {
        let plans = self.plans.values();
        let expired = plans.filter(|plan| plan.expires_ms <= now_ms);
        let mut expired: Vec<Arc<OpenPlan>> = expired.cloned().collect();
        expired.sort_by_key(|plan| plan.offset);
        for plan in expired {
            self.close_plan(&plan, self.next_offset - 1, PlanOutcome::Expired);
        }
    }

    fn close_plan(&mut self, plan: &OpenPlan, offset: u64, outcome: PlanOutcome) {
        let proposed = &plan.proposed;
        self.plans.remove(&proposed.plan);
        self.push_closed(ClosedPlan {
            plan: proposed.plan.clone(),
            team: proposed.team.clone(),
            base_version: proposed.base_version,
            touches: proposed.base.keys().cloned().collect(),
            note: proposed.note.clone(),
            offset,
            expires_ms: plan.expires_ms,
            outcome,
        });
    }

    fn push_closed(&mut self, closed: ClosedPlan) {
        self.closed.push_back(Arc::new(closed));
        if self.closed.len() > CLOSED_PLAN_LIMIT
            && let Some(oldest) = self.closed.pop_front()
        {
            self.horizon = self.horizon.max(oldest.offset);
        }
    }
}
