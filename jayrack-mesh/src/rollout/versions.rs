//! Versions of a service that may receive requests.
use std::{collections::BTreeMap, net::IpAddr};

use super::{
    RolloutPhase,
    book::{Baseline, RolloutBook, ServiceRollout},
    exposure::canary_share,
    leader::rendezvous_hash,
};

/// Time without a server of the version in use after which another version may replace it without an order, in
/// milliseconds: the longest silence after which a daemon may still report its server.
const MISSING_TIMEOUT_MS: u64 = 3_000;
/// Time after the choice of a version without an order in which the server that started first still decides, in
/// milliseconds: the longest interval of datagrams, since a daemon that has just started may not know all servers.
const PROVISIONAL_MS: u64 = 9_000;
/// Time for which canary requests go to the same servers, in milliseconds. They alternate between two sets, so that
/// a server in trouble can be told from a bad version.
const CANARY_TURN_MS: u64 = 1_500;

/// Smallest part of a turn in which requests are sent in a pulse: a shorter one would overload the server.
const MIN_DUTY: f64 = 0.25;

/// A ready server and its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionedServer<'a> {
    /// Address of its host.
    pub address: IpAddr,
    /// Service that it belongs to.
    pub service: &'a str,
    /// Version of its software.
    pub version: &'a str,
    /// Start of the server, in milliseconds since the Unix epoch.
    pub born_ms: u64,
}

/// Indices of servers in the order in which they are to be tried; the first group goes first.
pub type ServerGroups = Vec<Vec<usize>>;

impl RolloutBook {
    /// Updates the versions in use from all ready servers of the fleet.
    ///
    /// Where an order is known or servers differ, a first version is chosen only once `is_settled`: a daemon that has just
    /// started may know only the new servers.
    pub fn observe_servers(
        &mut self,
        now_ms: u64,
        servers: &[VersionedServer<'_>],
        is_settled: bool,
    ) {
        if !self.is_enabled() {
            return;
        }
        let mut by_service: BTreeMap<&str, Vec<&VersionedServer<'_>>> = BTreeMap::new();
        for server in servers {
            by_service.entry(server.service).or_default().push(server);
        }
        self.target_servers.clear();
        for (service, servers) in by_service {
            if let Some(rollout) = self.rollouts.get(service) {
                let target = &rollout.order.target_version;
                let count = servers.iter().filter(|s| s.version == target).count();
                self.target_servers.insert(service.to_string(), count);
            }
            self.update_baseline(now_ms, service, &servers, is_settled);
        }
    }

    fn update_baseline(
        &mut self,
        now_ms: u64,
        service: &str,
        servers: &[&VersionedServer<'_>],
        is_settled: bool,
    ) {
        if let Some(rollout) = self.rollouts.get(service)
            && rollout.phase == RolloutPhase::Completed
        {
            let target = rollout.order.target_version.clone();
            let baseline = Baseline::settled(target);
            self.baselines.insert(service.to_string(), baseline);
            return;
        }
        let baseline = self.baseline(service);
        let is_known = baseline.is_some();
        let is_provisional = self
            .baselines
            .get(service)
            .is_some_and(|baseline| now_ms < baseline.provisional_until_ms);
        let is_present = servers
            .iter()
            .any(|server| Some(server.version) == baseline);
        if is_present && !is_provisional {
            self.missing_since_ms.remove(service);
            return;
        }
        if !is_settled && (is_known || !self.is_undisputed(service, servers)) {
            return;
        }
        let since_ms = *self
            .missing_since_ms
            .entry(service.to_string())
            .or_insert(now_ms);
        let is_over = now_ms.saturating_sub(since_ms) >= MISSING_TIMEOUT_MS;
        // Without a known version there is none whose servers could come back.
        if is_known && !is_over && !is_provisional {
            return;
        }
        if let Some(version) = self.successor(service, servers, is_over) {
            let provisional_until_ms = match self.baselines.get(service) {
                Some(known) if is_provisional => known.provisional_until_ms,
                _ => now_ms + PROVISIONAL_MS,
            };
            let baseline = Baseline {
                version,
                provisional_until_ms,
            };
            self.baselines.insert(service.to_string(), baseline);
            self.missing_since_ms.remove(service);
        }
    }

    /// Whether no order for `service` is known and all known servers run one version; there is nothing to wait for then,
    /// also while a daemon that has just started knows only a few hosts.
    fn is_undisputed(&self, service: &str, servers: &[&VersionedServer<'_>]) -> bool {
        let mut versions = servers.iter().map(|server| server.version);
        let first = versions.next();
        !self.rollouts.contains_key(service) && versions.all(|version| Some(version) == first)
    }

    /// Version that replaces a missing baseline: that of the server that started first. An ordered version is used if
    /// there has been no other for long enough, and one that was rolled back never.
    fn successor(
        &self,
        service: &str,
        servers: &[&VersionedServer<'_>],
        is_over: bool,
    ) -> Option<String> {
        let rollout = self.rollouts.get(service);
        let is_usable = |version: &str| {
            let is_rolled_back = self
                .rolled_back
                .get(service)
                .is_some_and(|versions| versions.contains(version));
            let is_target = rollout.is_some_and(|rollout| rollout.order.target_version == version);
            let may_replace = rollout.is_none_or(|rollout| match rollout.phase {
                RolloutPhase::Unknown | RolloutPhase::Canary | RolloutPhase::Promoting => is_over,
                RolloutPhase::Draining | RolloutPhase::Completed => true,
                RolloutPhase::RollingBack | RolloutPhase::RolledBack => false,
            });
            !is_rolled_back && (!is_target || may_replace)
        };
        let usable = servers.iter().filter(|server| is_usable(server.version));
        let first = usable.min_by_key(|server| (server.born_ms, server.version));
        first.map(|server| server.version.to_string())
    }

    /// Version of `service` that is in use apart from a roll-out, if it is known.
    pub fn baseline(&self, service: &str) -> Option<&str> {
        let baseline = self.baselines.get(service);
        baseline.map(|baseline| baseline.version.as_str())
    }

    /// Servers that a request for `service` may be sent to, among the ready ones; `None` if all may be.
    pub fn groups(
        &self,
        now_ms: u64,
        service: &str,
        servers: &[VersionedServer<'_>],
    ) -> Option<ServerGroups> {
        self.bounds?;
        let baseline = self.baseline(service);
        let having = |version: Option<&str>| -> Vec<usize> {
            let is_of_version = |index: &usize| Some(servers[*index].version) == version;
            (0..servers.len()).filter(is_of_version).collect()
        };
        let Some(rollout) = self.rollouts.get(service) else {
            let is_uniform = servers.iter().all(|s| Some(s.version) == baseline);
            return (!is_uniform).then(|| vec![having(baseline)]);
        };
        let target = Some(rollout.order.target_version.as_str());
        let may_receive = rollout.budget.allows_request() && rollout.has_contact(now_ms);
        let groups = match rollout.phase {
            RolloutPhase::Draining | RolloutPhase::Completed => {
                vec![having(target)]
            }
            RolloutPhase::RollingBack | RolloutPhase::RolledBack => match baseline == target {
                true => vec![],
                false => vec![having(baseline)],
            },
            RolloutPhase::Unknown => vec![having(baseline)],
            _ if baseline == target => vec![having(baseline)],
            RolloutPhase::Canary | RolloutPhase::Promoting if may_receive => {
                let olds = having(baseline);
                let mut targets = self.unstopped(rollout, having(target), servers);
                self.limit_targets(rollout, now_ms, (&mut targets, olds.len()), servers);
                vec![targets, olds]
            }
            RolloutPhase::Canary | RolloutPhase::Promoting => vec![having(baseline)],
        };
        Some(groups)
    }

    /// Leaves out servers whose daemons have stopped requests to them.
    fn unstopped(
        &self,
        rollout: &ServiceRollout,
        chosen: Vec<usize>,
        servers: &[VersionedServer<'_>],
    ) -> Vec<usize> {
        let is_unstopped = |index: &usize| {
            let evidence = rollout.evidence.get(&servers[*index].address);
            evidence.is_none_or(|(_, evidence)| !evidence.is_stopped)
        };
        chosen.into_iter().filter(is_unstopped).collect()
    }

    /// Reduces `targets` to the servers that receive requests at this time: as many as `share` of the traffic loads like
    /// the `olds` old ones, the same at every ingress. If it does not even load one, the requests are sent in pulses.
    fn limit_targets(
        &self,
        rollout: &ServiceRollout,
        now_ms: u64,
        (targets, olds): (&mut Vec<usize>, usize),
        servers: &[VersionedServer<'_>],
    ) {
        let service = &rollout.order.service;
        let seed = rollout.order.position.offset.wrapping_add(1);
        targets.sort_by_key(|index| rendezvous_hash(service, servers[*index].address, seed));
        let age_ms = rollout.age_ms(now_ms);
        let share = self.share(rollout, age_ms);
        let equal_load = share / (1.0 - share).max(0.01) * olds as f64;
        let pulse_ms = (equal_load.clamp(MIN_DUTY, 1.0) * CANARY_TURN_MS as f64) as u64;
        if age_ms % CANARY_TURN_MS >= pulse_ms {
            targets.clear();
            return;
        }
        let count = (equal_load.round() as usize).clamp(1, targets.len().max(1));
        let is_second_turn = !(age_ms / CANARY_TURN_MS).is_multiple_of(2);
        if is_second_turn {
            targets.drain(..count.min(targets.len().saturating_sub(count)));
        }
        targets.truncate(count);
    }

    /// Share of the traffic that the new version receives at this time.
    fn share(&self, rollout: &ServiceRollout, age_ms: u64) -> f64 {
        let canary_share = self.bounds.as_ref().map_or(0.0, canary_share);
        match rollout.phase {
            RolloutPhase::Canary if rollout.schedule().is_stale(age_ms) => 0.0,
            RolloutPhase::Canary => canary_share,
            RolloutPhase::Promoting => {
                let ramp = rollout.schedule().ramp_share(age_ms, rollout.phase_at_ms);
                canary_share.max(ramp)
            }
            RolloutPhase::Draining | RolloutPhase::Completed => 1.0,
            RolloutPhase::Unknown | RolloutPhase::RollingBack | RolloutPhase::RolledBack => 0.0,
        }
    }

    /// Counts a request that is sent to a server of `version`.
    pub fn record_sent(&mut self, now_ms: u64, service: &str, version: &str) {
        let Some(rollout) = self.rollouts.get(service) else {
            return;
        };
        let share = self.share(rollout, rollout.age_ms(now_ms));
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.budget.earn(share);
            if version == rollout.order.target_version {
                rollout.budget.spend();
            }
        }
    }

    /// Whether the daemon beside a server of `version` accepts new requests for it.
    pub fn admits(&self, service: &str, version: &str) -> bool {
        let Some(rollout) = self.rollouts.get(service) else {
            return self.may_run(service, version);
        };
        let is_target = version == rollout.order.target_version;
        match rollout.phase {
            RolloutPhase::Draining => is_target && self.may_run(service, version),
            _ => self.may_run(service, version),
        }
    }

    /// Whether a request that the daemon has accepted may be sent to its server of `version`.
    pub fn may_run(&self, service: &str, version: &str) -> bool {
        if !self.is_enabled() {
            return true;
        }
        let is_baseline = self.baseline(service) == Some(version);
        let Some(rollout) = self.rollouts.get(service) else {
            return is_baseline;
        };
        let is_target = version == rollout.order.target_version;
        match rollout.phase {
            RolloutPhase::Unknown => is_baseline,
            RolloutPhase::Canary | RolloutPhase::Promoting | RolloutPhase::Draining => {
                match is_target {
                    true => rollout.stopped.is_none(),
                    false => is_baseline,
                }
            }
            RolloutPhase::Completed => is_target,
            RolloutPhase::RollingBack | RolloutPhase::RolledBack => is_baseline && !is_target,
        }
    }
}
