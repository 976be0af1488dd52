//! State of a roll-out as daemons send it to each other.
use super::{RolloutBook, RolloutOrder, RolloutPhase, evidence::ServerEvidence};

/// State of a roll-out as daemons send it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the order was first seen, in milliseconds.
    pub age_ms: u64,
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Age of the order when the phase began, in milliseconds.
    pub phase_at_ms: u64,
    /// Whether the store holds the state `running` of the order.
    pub is_recorded: bool,
    /// Version that was in use before; empty if it is not known.
    pub baseline: String,
    /// Evidence of the sender's server.
    pub evidence: Option<ServerEvidence>,
    /// Whether the sender's server runs the old version and has finished its requests.
    pub is_drained: bool,
}

/// Effect of a received status.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MergeEffect {
    /// Whether the order or its phase was new.
    pub is_changed: bool,
    /// Whether the sender holds an earlier order or phase than this daemon.
    pub is_sender_behind: bool,
}

impl RolloutBook {
    /// Status of each roll-out that datagrams carry: those that run and those that have just ended.
    pub fn news(&mut self, now_ms: u64, is_idle: bool, own: (&str, &str)) -> Vec<RolloutStatus> {
        let services: Vec<String> = self
            .rollouts
            .iter()
            .filter(|(_, rollout)| !rollout.phase.is_final() || now_ms <= rollout.news_until_ms)
            .map(|(service, _)| service.clone())
            .collect();
        let statuses = services.iter();
        statuses
            .filter_map(|service| self.status(now_ms, service, is_idle, own))
            .collect()
    }

    /// Status of all roll-outs, for a daemon that has just started.
    pub fn statuses(&mut self, now_ms: u64) -> Vec<RolloutStatus> {
        let services: Vec<String> = self.rollouts.keys().cloned().collect();
        let statuses = services.iter();
        statuses
            .filter_map(|service| self.status(now_ms, service, false, ("", "")))
            .collect()
    }

    /// Status of the roll-out of `service`; `own` is service and version of the server beside the daemon.
    pub fn status(
        &mut self,
        now_ms: u64,
        service: &str,
        is_idle: bool,
        (own_service, own_version): (&str, &str),
    ) -> Option<RolloutStatus> {
        let baseline = self.baseline(service).unwrap_or_default().to_string();
        let rollout = self.rollouts.get_mut(service)?;
        let is_target = own_version == rollout.order.target_version;
        let is_own = own_service == service && !rollout.phase.is_final();
        let evidence = is_own.then(|| match &rollout.stopped {
            Some(stopped) => stopped.clone(),
            None => ServerEvidence {
                is_target,
                counts: rollout.window.counts(now_ms),
                is_stopped: false,
            },
        });
        Some(RolloutStatus {
            order: rollout.order.clone(),
            age_ms: rollout.age_ms(now_ms),
            phase: rollout.phase,
            phase_at_ms: rollout.phase_at_ms,
            is_recorded: rollout.is_recorded,
            baseline,
            evidence: evidence.filter(|evidence| !evidence.counts.is_empty()),
            is_drained: is_own && !is_target && is_idle && rollout.phase == RolloutPhase::Draining,
        })
    }
}
