//! The fold over the `intents` stream: the only judge of which plans come into force.
//!
//! Every daemon folds the same records in offset order and so reaches the same verdicts. The first
//! decision about a plan counts; expiry goes by the times that the log gave the records.
use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    sync::Arc,
};

use jayrack_protocol::ResultCode;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    object::{ObjectKey, Version},
    record::{
        self, DecisionRecord, IntentRecord, ProposedRecord, RECORD_LIMIT_BYTES, Role, StoredRecord,
    },
    validate::{self, Author, ObjectMap, Reason},
};

/// Time from a plan's record until the plan can no longer be confirmed, in milliseconds of log time.
pub const PLAN_LIFETIME_MS: u64 = 15 * 60 * 1000;

/// Number of closed plans that are kept.
pub const CLOSED_PLAN_LIMIT: usize = 512;

/// Limit on the number of open plans.
pub const OPEN_PLAN_LIMIT: usize = 512;

/// Limit on the text of all open plans' records, in bytes.
pub const OPEN_PLAN_LIMIT_BYTES: usize = 32 * RECORD_LIMIT_BYTES;

const INITIAL_DIGEST: u64 = 0x6a61_7972_6163_6b01;

/// A plan that is neither confirmed nor dropped nor expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenPlan {
    /// The record that stated the plan.
    pub proposed: ProposedRecord,
    /// Offset of that record.
    pub offset: u64,
    /// Log time after which the plan is expired, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// Size of the record's text in bytes.
    pub size_bytes: usize,
}

/// How a plan ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
pub enum Verdict {
    /// The change came into force.
    Confirmed {
        /// The version that it got.
        version: Version,
    },
    /// The plan was dropped before it was confirmed.
    Dropped,
    /// The plan was not confirmed in time.
    Expired,
    /// A touched object was changed after the plan was stated.
    Conflict {
        /// The object.
        object: ObjectKey,
        /// Version of the object when the plan was stated.
        base: Version,
        /// Version of the object when the plan was confirmed.
        current: Version,
    },
    /// The change did not validate when it was confirmed.
    Invalid {
        /// All reasons.
        reasons: Vec<String>,
    },
}

/// A plan with its verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedPlan {
    /// Identifier of the plan.
    pub plan: String,
    /// Team that stated the plan.
    pub team: String,
    /// Version in force when the plan was stated.
    pub base_version: Version,
    /// Objects that the plan touches.
    pub touches: Vec<ObjectKey>,
    /// Remark of the operator.
    pub note: String,
    /// Offset of the record that closed the plan.
    pub offset: u64,
    /// Log time after which the plan would have expired, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// How the plan ended.
    pub verdict: Verdict,
}

/// Version at which an object was removed, kept as long as an older plan may be confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Version that removed the object.
    pub version: Version,
    /// Log time after which the entry is not needed, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// What folding one record led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The record lies below the next offset and was folded before.
    Ignored,
    /// A plan was opened.
    Proposed,
    /// A change came into force.
    Accepted {
        /// The version that it got.
        version: Version,
    },
    /// The plan was not put in force, as a touched object had changed.
    Conflict {
        /// The object.
        object: ObjectKey,
        /// Version of the object when the plan was stated.
        base: Version,
        /// Version of the object now.
        current: Version,
    },
    /// The plan is dropped, by this record or an earlier one.
    Dropped,
    /// The plan had expired.
    Expired,
    /// The plan was confirmed by an earlier record, which counts.
    Repeated {
        /// The version that the plan got; 0 when the plan is open or was refused.
        version: Version,
    },
    /// The record was applied nowhere.
    Invalid {
        /// All reasons.
        reasons: Vec<Reason>,
    },
}

/// Why the fold cannot go on with a record; the state is as before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Records are missing before this one.
    Gap {
        /// The offset that comes next.
        expected: u64,
        /// The offset of the record.
        found: u64,
    },
    /// The record needs a newer release.
    NotUnderstood {
        /// Offset of the record.
        offset: u64,
        /// What was found in the place of a known format or kind.
        found: String,
    },
}

impl Error {
    /// The code shown to operators.
    pub fn code(&self) -> ResultCode {
        match self {
            Error::Gap { .. } => ResultCode::LogExpired,
            Error::NotUnderstood { .. } => ResultCode::RecordNotUnderstood,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Gap { expected, found } => {
                write!(f, "expected the record at offset {expected}, found {found}")
            }
            Error::NotUnderstood { offset, found } => {
                write!(f, "the record at offset {offset} has the unknown {found}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// The configuration after all records below an offset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigState {
    pub(crate) version: Version,
    pub(crate) digest: u64,
    pub(crate) next_offset: u64,
    pub(crate) log_time_ms: u64,
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

    /// Highest time that the log gave to a folded record, in milliseconds since the Unix epoch.
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

    /// Version at which the object under `key` was last changed; 0 when it is absent.
    pub fn object_version(&self, key: &ObjectKey) -> Version {
        match (self.objects.get(key), self.removals.get(key)) {
            (Some(entry), _) => entry.version,
            (None, Some(removal)) => removal.version,
            (None, None) => 0,
        }
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
            Err(reason) => invalid(reason),
        })
    }

    /// Goes on at `offset` without the records before it, which expired in the log before any member
    /// folded them.
    ///
    /// All open plans end as expired, as decisions about them may have been lost, and later copies of
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
        self.next_offset = stored.offset + 1;
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
            self.close_plan(&plan, self.next_offset - 1, Verdict::Expired);
        }
    }

    fn open_plan(&mut self, stored: &StoredRecord, proposed: ProposedRecord) -> Outcome {
        if let Some(plan) = self.plans.get(&proposed.plan) {
            return match plan.proposed.record == proposed.record {
                true => Outcome::Repeated { version: 0 },
                false => invalid(Reason::PlanTaken(proposed.plan)),
            };
        }
        if let Some(closed) = self.find_closed(&proposed.plan) {
            return closed.verdict.outcome();
        }
        if let Some(reason) = self.refuse_plan(stored, &proposed) {
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

    fn refuse_plan(&self, stored: &StoredRecord, proposed: &ProposedRecord) -> Option<Reason> {
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

    fn confirm_plan(&mut self, stored: &StoredRecord, decision: &DecisionRecord) -> Outcome {
        let Some(plan) = self.plans.get(&decision.plan).cloned() else {
            return match self.find_closed(&decision.plan) {
                Some(closed) => closed.verdict.outcome(),
                None => invalid(Reason::UnknownPlan(decision.plan.clone())),
            };
        };
        if !may_decide(&plan.proposed, decision) {
            return invalid(Reason::NotAuthor(plan.proposed.team.clone()));
        }
        if let Some(conflict) = self.find_conflict(&plan.proposed) {
            let outcome = conflict.outcome();
            self.close_plan(&plan, stored.offset, conflict);
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
                self.close_plan(&plan, stored.offset, Verdict::Invalid { reasons: texts });
                Outcome::Invalid { reasons }
            }
        }
    }

    fn find_conflict(&self, proposed: &ProposedRecord) -> Option<Verdict> {
        proposed.base.iter().find_map(|(key, base)| {
            let current = self.object_version(key);
            (current != *base).then(|| Verdict::Conflict {
                object: key.clone(),
                base: *base,
                current,
            })
        })
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
        self.close_plan(plan, stored.offset, Verdict::Confirmed { version });
        Outcome::Accepted { version }
    }

    fn drop_plan(&mut self, stored: &StoredRecord, decision: &DecisionRecord) -> Outcome {
        if let Some(closed) = self.find_closed(&decision.plan) {
            return closed.verdict.outcome();
        }
        let Some(plan) = self.plans.get(&decision.plan).cloned() else {
            self.push_closed(fence(stored, decision));
            return Outcome::Dropped;
        };
        if !may_decide(&plan.proposed, decision) {
            return invalid(Reason::NotAuthor(plan.proposed.team.clone()));
        }
        self.close_plan(&plan, stored.offset, Verdict::Dropped);
        Outcome::Dropped
    }

    fn close_plan(&mut self, plan: &OpenPlan, offset: u64, verdict: Verdict) {
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
            verdict,
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

impl Verdict {
    /// The outcome of a further record about the plan.
    pub fn outcome(&self) -> Outcome {
        match self {
            Verdict::Confirmed { version } => Outcome::Repeated { version: *version },
            Verdict::Dropped => Outcome::Dropped,
            Verdict::Expired => Outcome::Expired,
            Verdict::Conflict {
                object,
                base,
                current,
            } => Outcome::Conflict {
                object: object.clone(),
                base: *base,
                current: *current,
            },
            Verdict::Invalid { .. } => Outcome::Repeated { version: 0 },
        }
    }
}

fn may_decide(proposed: &ProposedRecord, decision: &DecisionRecord) -> bool {
    match decision.role {
        Role::Admin => true,
        Role::Operator => decision.team == proposed.team,
        Role::Viewer => false,
    }
}

/// A plan that was dropped before its own record reached the log.
fn fence(stored: &StoredRecord, decision: &DecisionRecord) -> ClosedPlan {
    ClosedPlan {
        plan: decision.plan.clone(),
        team: decision.team.clone(),
        base_version: 0,
        touches: Vec::new(),
        note: String::new(),
        offset: stored.offset,
        expires_ms: 0,
        verdict: Verdict::Dropped,
    }
}

fn chain_digest(previous: u64, version: Version, proposed: &ProposedRecord) -> u64 {
    let change = serde_json::to_string(&proposed.change).expect("changes have string keys only");
    let text = format!("{previous:016x} {version} {} {change}", proposed.team);
    xxh3_64(text.as_bytes()).max(1)
}

fn invalid(reason: Reason) -> Outcome {
    Outcome::Invalid {
        reasons: vec![reason],
    }
}
