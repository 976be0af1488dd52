//! Roll-outs known to a daemon.
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::IpAddr,
};

use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

use super::{
    ExposureBounds, OrderRelation, RolloutOrder, RolloutPhase,
    evidence::{EvidenceWindow, ServerEvidence},
    exposure::ExposureBudget,
    observation::{ReportedTimes, RunningRequest},
    phase::{LeaderView, RolloutSchedule},
    status::{MergeEffect, RolloutStatus},
};
use crate::era::StoreEra;

/// Time without a status from another daemon after which an unproven version gets no more requests, in milliseconds:
/// less than the time within which a rollback must take effect, so that it also holds for an isolated or resumed host.
const CONTACT_TIMEOUT_MS: u64 = 3_000;
/// Time for which datagrams still carry a roll-out that has ended, in milliseconds: the longest interval of datagrams
/// between two hosts, and some more for a lost one.
const FINAL_NEWS_MS: u64 = 15_000;
/// Age of an order below which no final state can have been recorded for it, in milliseconds.
const FRESH_ORDER_MS: u64 = 1_000;
/// Time for which datagrams carry an ended roll-out again after a daemon proved not to know its end, in milliseconds.
const REPLY_NEWS_MS: u64 = 200;
/// Age of an order up to which an ingress that learns it starts with an initial budget, in milliseconds; one that
/// learns it later may have used that budget in an earlier process.
const MAX_FRESH_AGE_MS: u64 = 10_000;

/// Number of replaced orders of a service that are remembered: a copy of the store is seconds old, in which few are given.
const MAX_REPLACED: usize = 8;

/// How a daemon learned an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderSource {
    /// As a change in the store: nobody can have acted on it before.
    Change,
    /// Among the newest records of the store: it may have been carried out long ago.
    Newest,
}

/// Version of a service that is in use apart from a roll-out.
#[derive(Debug)]
pub(super) struct Baseline {
    pub(super) version: String,
    /// Until when a server that started earlier proves another version to be in use, in milliseconds.
    pub(super) provisional_until_ms: u64,
}

impl Baseline {
    pub(super) fn settled(version: String) -> Self {
        Self {
            version,
            provisional_until_ms: 0,
        }
    }
}

#[derive(Debug)]
pub(super) struct ServiceRollout {
    pub(super) order: RolloutOrder,
    pub(super) phase: RolloutPhase,
    pub(super) phase_at_ms: u64,
    /// Age of the order and the time at which it had that age, in milliseconds.
    age_at: (u64, u64),
    pub(super) is_recorded: bool,
    /// Since when the store may have lost the final state, in milliseconds; `None` if it has not.
    state_lost_ms: Option<u64>,
    pub(super) budget: ExposureBudget,
    pub(super) evidence: BTreeMap<IpAddr, (u64, ServerEvidence)>,
    pub(super) drained: BTreeSet<IpAddr>,
    pub(super) window: EvidenceWindow,
    /// Evidence for which requests to the server beside the daemon were stopped.
    pub(super) stopped: Option<ServerEvidence>,
    pub(super) news_until_ms: u64,
    /// When another daemon last sent a status of the order, in milliseconds.
    heard_ms: u64,
    /// Number of hosts in the fleet when the order was learned.
    hosts: usize,
}

impl ServiceRollout {
    /// Whether a rollback would have reached this daemon: it hears other daemons, or there are none.
    pub(super) fn has_contact(&self, now_ms: u64) -> bool {
        self.hosts <= 1 || now_ms.saturating_sub(self.heard_ms) <= CONTACT_TIMEOUT_MS
    }

    pub(super) fn age_ms(&self, now_ms: u64) -> u64 {
        let (age_ms, at_ms) = self.age_at;
        age_ms + now_ms.saturating_sub(at_ms)
    }

    pub(super) fn schedule(&self) -> RolloutSchedule {
        RolloutSchedule::new(self.order.duration_ms)
    }

    fn enter(&mut self, now_ms: u64, phase: RolloutPhase, phase_at_ms: u64) -> bool {
        if phase <= self.phase {
            return false;
        }
        self.phase = phase;
        self.phase_at_ms = phase_at_ms;
        self.drained.clear();
        if phase.is_final() {
            self.news_until_ms = now_ms + FINAL_NEWS_MS;
            self.evidence.clear();
            self.stopped = None;
        }
        true
    }

    fn learn_age(&mut self, now_ms: u64, age_ms: u64) {
        if age_ms > self.age_ms(now_ms) {
            self.age_at = (age_ms, now_ms);
        }
    }
}

/// Roll-outs known to a daemon, and the versions in use.
#[derive(Debug)]
pub struct RolloutBook {
    pub(super) bounds: Option<ExposureBounds>,
    pub(super) rollouts: BTreeMap<String, ServiceRollout>,
    /// Version of each service that is in use apart from a roll-out.
    pub(super) baselines: BTreeMap<String, Baseline>,
    /// Orders of each service that a later one has replaced, the oldest first.
    replaced: BTreeMap<String, VecDeque<RolloutOrder>>,
    /// Latest known era of the store.
    era: Option<StoreEra>,
    /// Versions of each service that were rolled back.
    pub(super) rolled_back: BTreeMap<String, BTreeSet<String>>,
    /// Since when no server runs the baseline of a service, in milliseconds.
    pub(super) missing_since_ms: BTreeMap<String, u64>,
    /// Number of hosts with a ready server of the target version.
    pub(super) target_servers: BTreeMap<String, usize>,
    /// Service times that other daemons reported for the routes of their servers.
    pub(super) service_times: BTreeMap<IpAddr, ReportedTimes>,
    /// Requests at the server beside the daemon that have not been assessed.
    pub(super) running: BTreeMap<u64, RunningRequest>,
    pub(super) next_request: u64,
    random: Pcg32,
}

impl RolloutBook {
    /// Creates a book without orders; `seed` determines the initial budgets. Without bounds it has no effect.
    pub fn new(bounds: Option<ExposureBounds>, seed: u64) -> Self {
        Self {
            bounds,
            rollouts: BTreeMap::new(),
            baselines: BTreeMap::new(),
            replaced: BTreeMap::new(),
            era: None,
            rolled_back: BTreeMap::new(),
            missing_since_ms: BTreeMap::new(),
            target_servers: BTreeMap::new(),
            service_times: BTreeMap::new(),
            running: BTreeMap::new(),
            next_request: 0,
            random: Pcg32::seed_from_u64(seed),
        }
    }

    /// Replaces the bounds.
    pub fn set_bounds(&mut self, bounds: Option<ExposureBounds>) {
        self.bounds = bounds;
    }

    /// Whether the settings have bounds of roll-outs.
    pub fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Adds an order read from the store; returns whether it is new. `hosts` is the number of hosts in the fleet.
    pub fn add_order(
        &mut self,
        now_ms: u64,
        order: RolloutOrder,
        source: OrderSource,
        hosts: usize,
    ) -> bool {
        let phase = match source {
            OrderSource::Change => RolloutPhase::Canary,
            OrderSource::Newest => RolloutPhase::Unknown,
        };
        // The same order may first have been found among the newest records, or the reverse.
        match self.relate(&order) {
            OrderRelation::Later => {
                self.insert(now_ms, order, (phase, 0, 0), hosts);
                true
            }
            OrderRelation::Same => {
                self.move_order(&order);
                false
            }
            OrderRelation::Earlier => false,
        }
    }

    /// How `order` is related to the latest known order of its service.
    fn relate(&self, order: &RolloutOrder) -> OrderRelation {
        let Some(known) = self.rollouts.get(&order.service) else {
            return OrderRelation::Later;
        };
        let relation = order.relation_to(&known.order);
        let mut replaced = self.replaced.get(&order.service).into_iter().flatten();
        // The store has lost the known order, which is going to be written again, and shows the one before.
        let is_replaced = replaced.any(|replaced| order.is_kept_record_of(replaced));
        match relation {
            OrderRelation::Later if is_replaced => OrderRelation::Earlier,
            relation => relation,
        }
    }

    /// Adopts the position of an order that the store has lost and that was written again.
    fn move_order(&mut self, order: &RolloutOrder) {
        if let Some(rollout) = self.rollouts.get_mut(&order.service) {
            let position = &mut rollout.order.position;
            *position = order.position.max(*position);
        }
    }

    /// Records the latest era that the store has proved. In a new one, the states that it has recorded may be lost.
    pub fn observe_era(&mut self, now_ms: u64, era: Option<StoreEra>) {
        let is_new = self.era.is_some() && era > self.era;
        self.era = era.max(self.era);
        if !is_new {
            return;
        }
        for rollout in self.rollouts.values_mut() {
            rollout.is_recorded = false;
            rollout.state_lost_ms = rollout.phase.is_final().then_some(now_ms);
        }
    }

    /// Services whose final state the store may have lost.
    pub fn lost_states(&self) -> Vec<String> {
        let lost = self.rollouts.iter();
        let lost = lost.filter(|(_, rollout)| rollout.state_lost_ms.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Records that the store holds the final state of `order` again.
    pub fn set_state_restored(&mut self, order: &RolloutOrder) {
        if let Some(rollout) = self.rollout_of(order) {
            rollout.state_lost_ms = None;
        }
    }

    fn insert(
        &mut self,
        now_ms: u64,
        order: RolloutOrder,
        (phase, phase_at_ms, age_ms): (RolloutPhase, u64, u64),
        hosts: usize,
    ) {
        let service = order.service.clone();
        if let Some(earlier) = self.rollouts.get(&service) {
            let replaced = self.replaced.entry(service.clone()).or_default();
            replaced.push_back(earlier.order.clone());
            if replaced.len() > MAX_REPLACED {
                replaced.pop_front();
            }
            self.settle_earlier(
                earlier.phase,
                earlier.order.target_version.clone(),
                &service,
            );
        }
        if let Some(rolled_back) = self.rolled_back.get_mut(&service) {
            rolled_back.remove(&order.target_version);
        }
        let fraction = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let budget = match &self.bounds {
            Some(bounds) if age_ms <= MAX_FRESH_AGE_MS && phase == RolloutPhase::Canary => {
                ExposureBudget::new(bounds, hosts, fraction)
            }
            _ => ExposureBudget::empty(),
        };
        let rollout = ServiceRollout {
            phase,
            phase_at_ms,
            age_at: (age_ms, now_ms),
            is_recorded: false,
            state_lost_ms: None,
            budget,
            evidence: BTreeMap::new(),
            drained: BTreeSet::new(),
            window: EvidenceWindow::default(),
            stopped: None,
            news_until_ms: now_ms + FINAL_NEWS_MS,
            heard_ms: now_ms,
            hosts,
            order,
        };
        self.rollouts.insert(service, rollout);
    }

    /// Keeps what an earlier order of `service` decided when a later one replaces it.
    fn settle_earlier(&mut self, phase: RolloutPhase, target_version: String, service: &str) {
        match phase {
            RolloutPhase::Completed => {
                let baseline = Baseline::settled(target_version);
                self.baselines.insert(service.to_string(), baseline);
            }
            // An unfinished version that is no longer ordered may not receive requests either.
            RolloutPhase::Unknown
            | RolloutPhase::Canary
            | RolloutPhase::Promoting
            | RolloutPhase::Draining
            | RolloutPhase::RollingBack
            | RolloutPhase::RolledBack => {
                let rolled_back = self.rolled_back.entry(service.to_string()).or_default();
                rolled_back.insert(target_version);
            }
        }
    }

    /// Merges the status that the daemon at `sender` sent.
    pub fn merge(
        &mut self,
        now_ms: u64,
        sender: IpAddr,
        status: &RolloutStatus,
        hosts: usize,
    ) -> MergeEffect {
        if !self.is_enabled() {
            return MergeEffect::default();
        }
        let service = &status.order.service;
        let relation = self.relate(&status.order);
        let is_new = relation == OrderRelation::Later;
        match relation {
            OrderRelation::Earlier => {
                return MergeEffect {
                    is_changed: false,
                    is_sender_behind: true,
                };
            }
            OrderRelation::Same => self.move_order(&status.order),
            OrderRelation::Later => {
                let times = (status.phase, status.phase_at_ms, status.age_ms);
                self.insert(now_ms, status.order.clone(), times, hosts);
            }
        }
        if !self.baselines.contains_key(service) && !status.baseline.is_empty() {
            let baseline = Baseline::settled(status.baseline.clone());
            self.baselines.insert(service.clone(), baseline);
        }
        let rollout = self.rollouts.get_mut(service).expect("inserted above");
        rollout.heard_ms = now_ms;
        rollout.learn_age(now_ms, status.age_ms);
        rollout.is_recorded |= status.is_recorded;
        let is_entered = rollout.enter(now_ms, status.phase, status.phase_at_ms);
        if let Some(evidence) = &status.evidence
            && !rollout.phase.is_final()
        {
            rollout.evidence.insert(sender, (now_ms, evidence.clone()));
        }
        if status.is_drained && status.phase == rollout.phase {
            rollout.drained.insert(sender);
        }
        let effect = MergeEffect {
            is_changed: is_new || is_entered,
            is_sender_behind: status.phase < rollout.phase,
        };
        if rollout.phase.is_final() && effect.is_sender_behind {
            rollout.news_until_ms = rollout.news_until_ms.max(now_ms + REPLY_NEWS_MS);
        }
        effect
    }

    /// Enters a phase of `order`, if that is the latest one; returns whether the phase is later than the current one.
    pub fn enter(&mut self, now_ms: u64, order: &RolloutOrder, phase: RolloutPhase) -> bool {
        let Some(rollout) = self.rollout_of(order) else {
            return false;
        };
        let phase_at_ms = rollout.age_ms(now_ms);
        rollout.enter(now_ms, phase, phase_at_ms)
    }

    /// Records that the store holds the state `running` of `order`.
    pub fn set_recorded(&mut self, order: &RolloutOrder) {
        if let Some(rollout) = self.rollout_of(order) {
            rollout.is_recorded = true;
        }
    }

    /// The roll-out of `order`, unless a later order has replaced it.
    fn rollout_of(&mut self, order: &RolloutOrder) -> Option<&mut ServiceRollout> {
        let rollout = self.rollouts.get_mut(&order.service)?;
        (order.relation_to(&rollout.order) == OrderRelation::Same).then_some(rollout)
    }

    /// Services with a roll-out that has not ended.
    pub fn unfinished(&self) -> Vec<String> {
        let unfinished = self.rollouts.iter().filter(|(_, r)| !r.phase.is_final());
        unfinished.map(|(service, _)| service.clone()).collect()
    }

    /// The order of `service` and its phase.
    pub fn rollout(&self, service: &str) -> Option<(&RolloutOrder, RolloutPhase)> {
        let rollout = self.rollouts.get(service)?;
        Some((&rollout.order, rollout.phase))
    }

    /// Whether the order of `service` is so recent, and nothing recorded for it yet, that a final state in the store
    /// must be that of an earlier order of the same version.
    pub fn is_fresh(&self, now_ms: u64, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| {
            rollout.phase == RolloutPhase::Canary
                && !rollout.is_recorded
                && rollout.age_ms(now_ms) < FRESH_ORDER_MS
        })
    }

    /// Whether the roll-out of `service` should have ended long ago, so that this daemon must have missed its end.
    pub fn is_stale(&self, now_ms: u64, service: &str) -> bool {
        self.rollouts.get(service).is_some_and(|rollout| {
            !rollout.phase.is_final() && rollout.schedule().is_stale(rollout.age_ms(now_ms))
        })
    }

    /// What a host with the given rank knows of the roll-out of `service`; `old_hosts` have a server of another
    /// version that may still have requests.
    pub fn view(
        &self,
        now_ms: u64,
        service: &str,
        rank: usize,
        old_hosts: &[IpAddr],
    ) -> Option<LeaderView> {
        let rollout = self.rollouts.get(service)?;
        Some(LeaderView {
            phase: rollout.phase,
            duration_ms: rollout.order.duration_ms,
            age_ms: rollout.age_ms(now_ms),
            phase_at_ms: rollout.phase_at_ms,
            rank,
            is_recorded: rollout.is_recorded,
            state_lost_for_ms: rollout
                .state_lost_ms
                .map(|lost_ms| now_ms.saturating_sub(lost_ms)),
            has_target_server: self.target_servers.get(service).is_some_and(|n| *n > 0),
            is_drained: old_hosts.iter().all(|host| rollout.drained.contains(host)),
        })
    }

    /// Records that the old server beside this daemon has no requests left.
    pub fn set_drained(&mut self, service: &str, host: IpAddr) {
        if let Some(rollout) = self.rollouts.get_mut(service)
            && rollout.phase == RolloutPhase::Draining
        {
            rollout.drained.insert(host);
        }
    }
}
