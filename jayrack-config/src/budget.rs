//! The share of the log's append quota that one daemon may use.
//!
//! The quota is one budget for the entire fleet, of which each daemon has an equal share. Every attempt is
//! charged, retries included, because the log counts attempts and not successes.

/// Limits of an [`AppendBudget`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Appends per second that all daemons together may make.
    pub fleet_per_second: u32,
    /// Appends that a daemon may make in one burst after an idle time.
    pub burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fleet_per_second: 200,
            burst: 4,
        }
    }
}

/// Credit that one append costs.
const CREDIT_PER_APPEND: u64 = 1_000_000;

/// A token bucket with the daemon's share of the fleet's append rate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppendBudget {
    options: Options,
    members: u64,
    /// Available credit, in millionths of an append.
    credit: u64,
    refilled_ms: u64,
}

impl AppendBudget {
    /// The budget of one daemon in a fleet of `members`.
    ///
    /// It starts without credit, so that a fleet that restarts at once does not exceed the quota.
    pub fn new(options: Options, members: usize, now_ms: u64) -> Self {
        Self {
            options,
            members: members.max(1) as u64,
            credit: 0,
            refilled_ms: now_ms,
        }
    }

    /// Sets the fleet size.
    pub fn resize(&mut self, members: usize, now_ms: u64) {
        self.refill(now_ms);
        self.members = members.max(1) as u64;
    }

    /// Charges one attempt; if the credit does not suffice, returns the time to wait in milliseconds.
    pub fn charge(&mut self, now_ms: u64) -> Result<(), u64> {
        self.refill(now_ms);
        if self.credit >= CREDIT_PER_APPEND {
            self.credit -= CREDIT_PER_APPEND;
            return Ok(());
        }
        let missing = CREDIT_PER_APPEND - self.credit;
        Err(missing.div_ceil(self.credit_per_ms()).max(1))
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let limit = u64::from(self.options.burst) * CREDIT_PER_APPEND;
        let earned = elapsed_ms.saturating_mul(self.credit_per_ms());
        self.credit = self.credit.saturating_add(earned).min(limit);
        self.refilled_ms = self.refilled_ms.max(now_ms);
    }

    fn credit_per_ms(&self) -> u64 {
        (u64::from(self.options.fleet_per_second) * CREDIT_PER_APPEND / 1000 / self.members).max(1)
    }
}
