//! Invariants of the model.
use jayrack_config::{
    fold::{Outcome, PlanOutcome},
    tracker::AppendState,
};

use super::{NODES, Node, PLANS, World};

impl World {
    /// Records the version that the daemon at an address serves, which must never decrease.
    pub(super) fn served(&mut self, index: usize, version: u64) {
        if version < self.served[index] {
            self.violation = Some(format!(
                "daemon {index} served version {} and now serves {version}",
                self.served[index]
            ));
        }
        self.served[index] = version;
    }

    pub(super) fn check(&mut self) {
        for index in 0..NODES {
            let node = self.nodes[index].clone();
            let state = node.sync.state();
            for plan_id in PLANS {
                let outcome = state
                    .find_closed(plan_id)
                    .map(|closed| outcome_name(&closed.outcome));
                let expected = self
                    .reference
                    .find_closed(plan_id)
                    .map(|closed| outcome_name(&closed.outcome));
                if outcome.is_some() && outcome != expected {
                    self.violation = Some(format!(
                        "daemon {index}: {plan_id} is {outcome:?} and not {expected:?}"
                    ));
                }
            }
            self.check_reported(&node);
        }
    }

    fn check_reported(&mut self, node: &Node) {
        for plan_id in PLANS {
            let Some(closed) = self.reference.find_closed(plan_id) else {
                continue;
            };
            let is_confirmed = matches!(closed.outcome, PlanOutcome::Confirmed { .. });
            if is_confirmed && self.reported.get(plan_id) == Some(&"Dropped") {
                self.violation = Some(format!("{plan_id} was reported as dropped but is in force"));
            }
            let confirm = node.tracker.state(&format!("{plan_id}-0"));
            let is_false = match confirm {
                Some(AppendState::Refused) => is_confirmed,
                Some(AppendState::Folded {
                    outcome: Outcome::Accepted { version },
                    ..
                }) => closed.outcome != PlanOutcome::Confirmed { version: *version },
                Some(AppendState::Folded {
                    outcome: Outcome::Dropped,
                    ..
                }) => is_confirmed,
                _ => false,
            };
            if is_false {
                self.violation = Some(format!(
                    "{plan_id}: reported {confirm:?} but is {:?}",
                    closed.outcome
                ));
            }
        }
    }

    /// Whether all daemons have folded the entire log and no append is in flight.
    pub fn is_settled(&self) -> bool {
        let next = self.reference.next_offset();
        self.in_flight.is_empty()
            && self
                .nodes
                .iter()
                .all(|node| node.sync.state().next_offset() == next)
    }

    /// Whether some daemon restarted and all are ready again.
    pub fn is_recovered(&self) -> bool {
        self.is_restarted && self.nodes.iter().all(|node| node.sync.is_ready())
    }
}

fn outcome_name(outcome: &PlanOutcome) -> String {
    match outcome {
        PlanOutcome::Confirmed { version } => format!("confirmed {version}"),
        PlanOutcome::Conflict(_) => "conflict".to_string(),
        other => format!("{other:?}"),
    }
}
