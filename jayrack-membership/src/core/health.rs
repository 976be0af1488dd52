//! Local health, as in Lifeguard: how reliable this daemon's own probes are at the moment.
use super::{MembershipCore, TICK_INTERVAL_MS, probe::ProbeState};

/// Time between two ticks, in milliseconds, from which on this daemon counts as stalled: its
/// process did not run.
const STALL_MS: u64 = 1_000;
/// Delay of a tick that is not compensated, in milliseconds.
const TICK_DELAY_TOLERANCE_MS: u64 = 150;
/// Probes that must be answered after a stall before this daemon acts on its own failure detection
/// again.
const RECOVERY_ANSWERS: u32 = 2;
/// Unanswered probes that end the recovery from a stall even without answers.
const RECOVERY_FAILURES: u32 = 30;
/// Number of other running members from which on silence from all of them is put down to this
/// daemon rather than to them.
const MIN_ISOLATION_MEMBERS: usize = 3;
/// Maximum of the local health score; 0 means healthy.
const MAX_LOCAL_HEALTH_SCORE: u64 = 8;

/// Probe results that are missing after a stall until this daemon acts on its own failure detection
/// again.
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

    /// Counts evidence that this daemon itself is slow or isolated; a higher score is less healthy.
    pub(super) fn raise_local_health_score(&mut self) {
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
    }

    pub(super) fn lower_local_health_score(&mut self) {
        self.local_health_score = self.local_health_score.saturating_sub(1);
    }
}

impl MembershipCore {
    /// Whether no datagram at all has arrived since a probe started, although at least
    /// [`MIN_ISOLATION_MEMBERS`] other members are running.
    pub(super) fn is_isolated(&mut self, started_ms: u64) -> bool {
        self.running_others().len() >= MIN_ISOLATION_MEMBERS && self.last_received_ms < started_ms
    }

    /// Extends pending deadlines by the time in which this daemon did not run, and raises the local
    /// health score.
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
