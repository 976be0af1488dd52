//! How far this daemon trusts its own probes.
use super::{MembershipCore, TICK_INTERVAL_MS, probe::ProbeState};

/// Time between two ticks that counts as a pause of this daemon, in milliseconds.
const PAUSE_MS: u64 = 1_000;
/// Time between two ticks that is not made up for, in milliseconds.
const GAP_TOLERANCE_MS: u64 = 150;
/// Probes that must be answered after a pause before this daemon rules on others again.
const ANSWERS_TO_TRUST: u32 = 2;
/// Unanswered probes after which a paused daemon rules on others again all the same.
const FAILURES_TO_TRUST: u32 = 30;
/// Other members from which on silence tells of this daemon rather than of them.
const TALKATIVE_MEMBERS: usize = 3;
/// Highest value of the local health factor.
const MAX_HEALTH_FACTOR: u64 = 8;

/// What is missing until a daemon that was paused rules on others again.
#[derive(Debug)]
pub(super) struct SelfDoubt {
    answers_left: u32,
    failures_left: u32,
}

impl ProbeState {
    pub(super) fn is_trusted(&self) -> bool {
        self.doubt.is_none()
    }

    pub(super) fn count_answer(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.answers_left = doubt.answers_left.saturating_sub(1);
        }
        self.end_doubt();
    }

    pub(super) fn count_failure(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.failures_left = doubt.failures_left.saturating_sub(1);
        }
        self.end_doubt();
    }

    fn end_doubt(&mut self) {
        let is_over = |doubt: &mut SelfDoubt| doubt.answers_left == 0 || doubt.failures_left == 0;
        self.doubt.take_if(is_over);
    }

    /// Counts evidence that this daemon itself is slow or cut off.
    pub(super) fn doubt_self(&mut self) {
        self.health_factor = (self.health_factor + 1).min(MAX_HEALTH_FACTOR);
    }

    pub(super) fn trust_self(&mut self) {
        self.health_factor = self.health_factor.saturating_sub(1);
    }
}

impl MembershipCore {
    /// Whether nothing at all was heard since a probe started, from as many members as would talk.
    pub(super) fn is_isolated(&mut self, started_ms: u64) -> bool {
        self.running_others().len() >= TALKATIVE_MEMBERS && self.heard_ms < started_ms
    }

    /// Makes up for time in which this daemon did not run.
    pub(super) fn note_gap(&mut self, now_ms: u64, gap_ms: u64) {
        let lost_ms = gap_ms.saturating_sub(TICK_INTERVAL_MS + GAP_TOLERANCE_MS);
        if lost_ms == 0 {
            return;
        }
        self.probe.doubt_self();
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend(lost_ms);
        }
        if let Some(probe) = &mut self.probe.outstanding {
            probe.ack_deadline_ms += lost_ms;
            probe.end_deadline_ms += lost_ms;
        }
        if gap_ms >= PAUSE_MS {
            self.wake(now_ms);
        }
    }

    fn wake(&mut self, now_ms: u64) {
        self.probe.outstanding = None;
        self.probe.relays.clear();
        self.probe.next_probe_ms = now_ms;
        self.probe.doubt = Some(SelfDoubt {
            answers_left: ANSWERS_TO_TRUST,
            failures_left: FAILURES_TO_TRUST,
        });
        if !self.is_departing() {
            self.raise_incarnation(now_ms, 0);
        }
    }
}
