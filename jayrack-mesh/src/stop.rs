//! Times of a planned stop.
use std::time::Duration;

/// Time after the signal for which callers are still served: the platform notices after two readiness checks, one per
/// second.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Longest time reserved between the last answers and the forced end of the process.
const MAX_MARGIN: Duration = Duration::from_millis(800);
/// The margin is at most this fraction of the time until the forced end, since servers are given time for their work
/// until its last sixth.
const MARGIN_DIVISOR: u32 = 8;

/// Phase of a daemon; each includes what the earlier ones stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum StopPhase {
    /// All requests are served.
    #[default]
    Serving,
    /// The daemon reports itself as not ready for callers; requests that arrive all the same are still served.
    Leaving,
    /// New requests of callers and of other daemons are refused; those in flight go on.
    Closing,
    /// Requests in flight are answered without a server's answer, and connections are closed.
    Ending,
}

/// Times of a stop, from its signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// Until when requests are accepted.
    pub close_after: Duration,
    /// Until when requests in flight may go on.
    pub end_after: Duration,
    /// When the process must have exited.
    pub kill_after: Duration,
}

impl StopPlan {
    /// Plans a stop whose process is killed `kill_after` its signal.
    ///
    /// Whatever that time is, requests that were accepted last have as much time for their answers as there was to accept
    /// them.
    pub fn new(kill_after: Duration) -> Self {
        let margin = MAX_MARGIN.min(kill_after / MARGIN_DIVISOR);
        let end_after = kill_after.saturating_sub(margin);
        Self {
            close_after: CALLER_DRAIN_TIME.min(end_after / 2),
            end_after,
            kill_after,
        }
    }
}
