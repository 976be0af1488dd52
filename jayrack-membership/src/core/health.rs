//! How far this daemon trusts its own probes.
use super::{MembershipCore, TICK_INTERVAL_MS, probe::ProbeState};

/// Time between two ticks that counts as a pause of this daemon, in milliseconds.
const STALL_MS: u64 = 1_000;
/// Time between two ticks that is not made up for, in milliseconds.
const TICK_DELAY_TOLERANCE_MS: u64 = 150;
/// Probes that must be answered after a pause before this daemon rules on others again.
const RECOVERY_ANSWERS: u32 = 2;
/// Unanswered probes after which a paused daemon rules on others again all the same.
const RECOVERY_FAILURES: u32 = 30;
/// Other members from which on silence tells of this daemon rather than of them.
const MIN_ISOLATION_MEMBERS: usize = 3;
/// Highest value of the local health factor.
const MAX_LOCAL_HEALTH_SCORE: u64 = 8;

/// What is missing until a daemon that was paused rules on others again.
#[derive(Debug)]
pub(super) struct StallRecovery {
    answers_left: u32,
    failures_left: u32,
}

impl ProbeState {
    pub(super) fn is_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    pub(super) fn count_answered_probe(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.answers_left = recovery.answers_left.saturating_sub(1);
        }
        self.end_recovery();
    }

    pub(super) fn count_failed_probe(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.failures_left = recovery.failures_left.saturating_sub(1);
        }
        self.end_recovery();
    }

    fn end_recovery(&mut self) {
        let is_over = |recovery: &mut StallRecovery| {
            recovery.answers_left == 0 || recovery.failures_left == 0
        };
        self.recovery.take_if(is_over);
    }

    /// Counts evidence that this daemon itself is slow or cut off.
    pub(super) fn raise_local_health_score(&mut self) {
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
    }

    pub(super) fn lower_local_health_score(&mut self) {
        self.local_health_score = self.local_health_score.saturating_sub(1);
    }
}

impl MembershipCore {
    /// Whether nothing at all was heard since a probe started, from as many members as would talk.
    pub(super) fn is_isolated(&mut self, started_ms: u64) -> bool {
        self.running_others().len() >= MIN_ISOLATION_MEMBERS && self.last_received_ms < started_ms
    }

    /// Makes up for time in which this daemon did not run.
    pub(super) fn compensate_tick_gap(&mut self, now_ms: u64, gap_ms: u64) {
        let stalled_ms = gap_ms.saturating_sub(TICK_INTERVAL_MS + TICK_DELAY_TOLERANCE_MS);
        if stalled_ms == 0 {
            return;
        }
        self.probe.raise_local_health_score();
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend(stalled_ms);
        }
        if let Some(probe) = &mut self.probe.outstanding {
            probe.ack_deadline_ms += stalled_ms;
            probe.end_deadline_ms += stalled_ms;
        }
        if gap_ms >= STALL_MS {
            self.start_stall_recovery(now_ms);
        }
    }

    fn start_stall_recovery(&mut self, now_ms: u64) {
        self.probe.outstanding = None;
        self.probe.relayed_probes.clear();
        self.probe.next_probe_ms = now_ms;
        self.probe.recovery = Some(StallRecovery {
            answers_left: RECOVERY_ANSWERS,
            failures_left: RECOVERY_FAILURES,
        });
        if !self.is_departing() {
            self.raise_incarnation(now_ms, 0);
        }
    }
}
