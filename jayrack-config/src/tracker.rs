//! Tracks appends until their records are seen in the stream.
//!
//! An append whose answer was lost may still be stored later. It therefore stays pending, and never counts
//! as failed, until its record or a decision that makes it void has been folded.
use std::collections::BTreeMap;

use crate::fold::{self, ConfigState, Outcome};

/// Limit on the number of tracked appends.
pub const TRACKED_LIMIT: usize = 1024;

/// Time for which an append is tracked, in milliseconds.
pub const TRACKED_LIFETIME_MS: u64 = 2 * fold::PLAN_LIFETIME_MS;

/// State of one append.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendState {
    /// The record may or may not be in the log, or may be stored later.
    Pending,
    /// The log refused the append before storing anything.
    Refused,
    /// The record was folded.
    Folded {
        /// Offset of the record.
        offset: u64,
        /// Outcome of folding the record.
        outcome: Outcome,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Tracked {
    plan: String,
    since_ms: u64,
    state: AppendState,
}

/// Recent appends of this daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AppendTracker {
    appends: BTreeMap<String, Tracked>,
}

impl AppendTracker {
    /// A tracker without appends.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts tracking a record that is about to be sent to the log.
    pub fn start(&mut self, record_id: &str, plan_id: &str, now_ms: u64) {
        self.evict(now_ms);
        let tracked = Tracked {
            plan: plan_id.to_string(),
            since_ms: now_ms,
            state: AppendState::Pending,
        };
        self.appends.entry(record_id.to_string()).or_insert(tracked);
    }

    /// Marks an append as not stored, which only an explicit refusal of the first attempt proves.
    pub fn refused(&mut self, record_id: &str) {
        if let Some(tracked) = self.appends.get_mut(record_id)
            && tracked.state == AppendState::Pending
        {
            tracked.state = AppendState::Refused;
        }
    }

    /// Sets the outcome of a folded record; the first of several copies counts.
    pub fn folded(&mut self, record_id: &str, offset: u64, outcome: &Outcome) {
        let Some(tracked) = self.appends.get_mut(record_id) else {
            return;
        };
        if !matches!(tracked.state, AppendState::Folded { .. }) {
            tracked.state = AppendState::Folded {
                offset,
                outcome: outcome.clone(),
            };
        }
    }

    /// Resolves pending appends from a state that was restored and not folded record by record.
    pub fn reconcile(&mut self, state: &ConfigState) {
        for (record_id, tracked) in &mut self.appends {
            if tracked.state == AppendState::Refused
                || matches!(tracked.state, AppendState::Folded { .. })
            {
                continue;
            }
            if let Some((offset, outcome)) = find_outcome(state, record_id, &tracked.plan) {
                tracked.state = AppendState::Folded { offset, outcome };
            }
        }
    }

    /// State of the append of `record_id`, if it is tracked.
    pub fn state(&self, record_id: &str) -> Option<&AppendState> {
        self.appends.get(record_id).map(|tracked| &tracked.state)
    }

    /// Whether an append for the plan is pending.
    pub fn is_pending(&self, plan_id: &str) -> bool {
        self.appends
            .values()
            .any(|tracked| tracked.plan == plan_id && tracked.state == AppendState::Pending)
    }

    /// Number of tracked appends.
    pub fn len(&self) -> usize {
        self.appends.len()
    }

    /// Whether no append is tracked.
    pub fn is_empty(&self) -> bool {
        self.appends.is_empty()
    }

    fn evict(&mut self, now_ms: u64) {
        self.appends
            .retain(|_, tracked| now_ms.saturating_sub(tracked.since_ms) < TRACKED_LIFETIME_MS);
        while self.appends.len() >= TRACKED_LIMIT {
            let oldest = self.appends.iter().min_by_key(|(_, tracked)| {
                let is_pending = tracked.state == AppendState::Pending;
                (is_pending, tracked.since_ms)
            });
            let Some(record_id) = oldest.map(|(record_id, _)| record_id.clone()) else {
                return;
            };
            self.appends.remove(&record_id);
        }
    }
}

fn find_outcome(state: &ConfigState, record_id: &str, plan_id: &str) -> Option<(u64, Outcome)> {
    if let Some(closed) = state.find_closed(plan_id) {
        return Some((closed.offset, closed.outcome.fold_outcome()));
    }
    let plan = state.plans().get(plan_id)?;
    (plan.proposed.record == record_id).then_some((plan.offset, Outcome::Proposed))
}
