//! Phases of a roll-out, their schedule, and the steps of the leader.

/// Duration for which the margins below are chosen; those of a shorter order are scaled down, in milliseconds.
const FULL_MARGIN_DURATION_MS: u64 = 12_000;
/// Time between the last moment for writing `completed` and the deadline, in milliseconds: covers a call to the store
/// that fails and is repeated.
const WRITE_MARGIN_MS: u64 = 2_500;
/// Time for the old servers to finish their requests, in milliseconds. Until its end the new version is watched under
/// the whole load, also if the old servers finish earlier.
const DRAIN_MS: u64 = 1_500;
/// Time in which the traffic shifts to the new version, in milliseconds.
const RAMP_MS: u64 = 2_500;
/// Power of the time with which the traffic shifts.
const RAMP_EXPONENT: i32 = 4;
/// Shortest such time, if the promotion starts late, in milliseconds.
const MIN_RAMP_MS: u64 = 1_000;
/// Shortest time between the end of the ramp and `completed`, in milliseconds: requests that were sent to old servers
/// before arrive within it.
const MIN_DRAIN_MS: u64 = 500;
/// Time for which a busy old server, or one whose state is not known, delays `completed`, in milliseconds.
const MAX_DRAIN_DELAY_MS: u64 = 800;
/// Time that a host waits for each host ranked before it to take an overdue step, in milliseconds: several times the
/// time that a datagram takes.
const RANK_DELAY_MS: u64 = 600;
/// Rank from which on hosts do not restore a final state that the store may have lost: the leader and one substitute do.
const RESTORING_RANKS: usize = 2;
/// Time after the deadline for which an ingress without a final state still sends requests to the version, in
/// milliseconds.
const STALE_AFTER_MS: u64 = 2_000;

/// Phase of a roll-out; a later phase replaces an earlier one, never the reverse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RolloutPhase {
    /// The order was found in the store without knowledge of its state.
    Unknown,
    /// A small share of the traffic goes to the new version.
    Canary,
    /// The traffic shifts to the new version.
    Promoting,
    /// The traffic has shifted; the old servers finish their requests.
    Draining,
    /// The new version is bad and receives no requests; the store does not say so yet.
    RollingBack,
    /// The store says that the new version has taken over.
    Completed,
    /// The store says that the new version is rolled back.
    RolledBack,
}

impl RolloutPhase {
    /// Whether the phase is recorded in the store and ends the roll-out.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Canary => "canary",
            Self::Promoting => "promoting",
            Self::Draining => "draining",
            Self::RollingBack => "rolling-back",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// Times of an order's steps, in milliseconds since the order was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSchedule {
    duration_ms: u64,
}

impl RolloutSchedule {
    /// Schedule of an order with a duration of `duration_ms`.
    pub fn new(duration_ms: u64) -> Self {
        Self { duration_ms }
    }

    /// Start of the promotion: as late as the deadline allows.
    pub fn promote_at_ms(&self) -> u64 {
        self.before_deadline_ms(WRITE_MARGIN_MS + DRAIN_MS + RAMP_MS)
    }

    /// End of the ramp of a promotion that started at `promoted_ms`.
    pub fn drain_at_ms(&self, promoted_ms: u64) -> u64 {
        let planned_ms = self.before_deadline_ms(WRITE_MARGIN_MS + DRAIN_MS);
        planned_ms.max(promoted_ms + self.scaled_ms(MIN_RAMP_MS))
    }

    /// Moment from which `completed` is written once the old servers have no requests.
    pub fn complete_at_ms(&self) -> u64 {
        self.before_deadline_ms(WRITE_MARGIN_MS)
    }

    /// Whether `age_ms` is so long after the deadline that other hosts know a final state.
    pub fn is_stale(&self, age_ms: u64) -> bool {
        age_ms > self.duration_ms + STALE_AFTER_MS
    }

    /// Share of the traffic that goes to the new version during a promotion that started at `promoted_ms`.
    ///
    /// It grows with a power of the time, so that little traffic is at risk while the first answers under the
    /// higher load are judged.
    pub fn ramp_share(&self, age_ms: u64, promoted_ms: u64) -> f64 {
        let length_ms = self.drain_at_ms(promoted_ms).saturating_sub(promoted_ms);
        let passed_ms = age_ms.saturating_sub(promoted_ms);
        let fraction = (passed_ms as f64 / length_ms.max(1) as f64).min(1.0);
        fraction.powi(RAMP_EXPONENT)
    }

    fn before_deadline_ms(&self, margin_ms: u64) -> u64 {
        self.duration_ms.saturating_sub(self.scaled_ms(margin_ms))
    }

    fn scaled_ms(&self, margin_ms: u64) -> u64 {
        margin_ms * self.duration_ms.min(FULL_MARGIN_DURATION_MS) / FULL_MARGIN_DURATION_MS
    }
}

/// What a host knows of a roll-out when it looks for a step to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaderView {
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Duration of the order, in milliseconds.
    pub duration_ms: u64,
    /// Time since the order was first seen, in milliseconds.
    pub age_ms: u64,
    /// Age of the order when the phase began, in milliseconds.
    pub phase_at_ms: u64,
    /// Number of live hosts that come before this one in the ranking; the leader has none.
    pub rank: usize,
    /// Whether the store is known to hold the state `running` of this order.
    pub is_recorded: bool,
    /// Time for which the store may lack the final state, in milliseconds; `None` if it does not.
    pub state_lost_for_ms: Option<u64>,
    /// Whether a server of the new version is ready.
    pub has_target_server: bool,
    /// Whether all old servers have finished their requests.
    pub is_drained: bool,
}

/// Step of the host that leads a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderStep {
    /// Nothing is due.
    Wait,
    /// Read the recorded state from the store.
    ReadState,
    /// Record the state `running` in the store.
    RecordRunning,
    /// Enter a phase and announce it.
    Enter(RolloutPhase),
    /// Record the state `completed` in the store.
    RecordCompleted,
    /// Record the state `rolled_back` in the store.
    RecordRolledBack,
    /// Look whether the store still holds the final state, and record it again if not.
    RestoreState,
}

impl LeaderView {
    /// The step that is due.
    ///
    /// A host that is not the leader takes a step once it is overdue by a delay that grows with the rank. A crashed or
    /// frozen leader is thus replaced without its failure being detected.
    pub fn step(&self) -> LeaderStep {
        let schedule = RolloutSchedule::new(self.duration_ms);
        let delay_ms = RANK_DELAY_MS * self.rank as u64;
        let is_due = |at_ms: u64| self.age_ms >= at_ms + delay_ms;
        match self.phase {
            RolloutPhase::Unknown if is_due(self.phase_at_ms) => LeaderStep::ReadState,
            RolloutPhase::Canary if self.rank == 0 && !self.is_recorded => {
                LeaderStep::RecordRunning
            }
            RolloutPhase::Canary if !self.has_target_server && is_due(self.duration_ms) => {
                LeaderStep::Enter(RolloutPhase::RollingBack)
            }
            RolloutPhase::Canary if self.has_target_server && is_due(schedule.promote_at_ms()) => {
                LeaderStep::Enter(RolloutPhase::Promoting)
            }
            RolloutPhase::Promoting
                if self.has_target_server && is_due(schedule.drain_at_ms(self.phase_at_ms)) =>
            {
                LeaderStep::Enter(RolloutPhase::Draining)
            }
            RolloutPhase::Draining => {
                let drained_ms = self.phase_at_ms + schedule.scaled_ms(MIN_DRAIN_MS);
                let earliest_ms = schedule.complete_at_ms().max(drained_ms);
                let latest_ms = earliest_ms + schedule.scaled_ms(MAX_DRAIN_DELAY_MS);
                match is_due(latest_ms) || self.is_drained && is_due(earliest_ms) {
                    true => LeaderStep::RecordCompleted,
                    false => LeaderStep::Wait,
                }
            }
            RolloutPhase::RollingBack if is_due(self.phase_at_ms) => LeaderStep::RecordRolledBack,
            RolloutPhase::Completed | RolloutPhase::RolledBack
                if self.rank < RESTORING_RANKS
                    && self.state_lost_for_ms.is_some_and(|ms| ms >= delay_ms) =>
            {
                LeaderStep::RestoreState
            }
            RolloutPhase::Unknown
            | RolloutPhase::Canary
            | RolloutPhase::Promoting
            | RolloutPhase::RollingBack
            | RolloutPhase::Completed
            | RolloutPhase::RolledBack => LeaderStep::Wait,
        }
    }
}
