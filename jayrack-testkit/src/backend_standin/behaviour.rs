//! Injected faults of a backend server stand-in, and its counters.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How service times vary around their mean.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Distribution {
    /// Not at all.
    #[default]
    Fixed,
    /// Uniformly between half and one and a half times the mean.
    Uniform,
    /// Exponentially.
    Exponential,
}

/// Whether an endpoint reports the true state of the server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportMode {
    /// The true state.
    #[default]
    Truth,
    /// Always good or idle.
    AlwaysGood,
    /// Always bad or full.
    AlwaysBad,
}

/// Behaviour of the stand-in; an omitted field has its default.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendBehaviour {
    /// Mean service time of requests that don't set one, in microseconds.
    pub service_us: u64,
    /// How service times vary.
    pub distribution: Distribution,
    /// Whether it announces that it takes no new work.
    pub draining: bool,
    /// Whether it sends heartbeats.
    pub announcing: bool,
    /// Whether it sheds all work with 503, without running it.
    pub shedding: bool,
    /// Whether it answers 500 after running the work.
    pub failing: bool,
    /// Whether it runs the work and never answers.
    pub hanging: bool,
    /// What `/health` reports.
    pub health: ReportMode,
    /// What `/load` reports.
    pub load: ReportMode,
}

impl Default for BackendBehaviour {
    fn default() -> Self {
        Self {
            service_us: 0,
            distribution: Distribution::Fixed,
            draining: false,
            announcing: true,
            shedding: false,
            failing: false,
            hanging: false,
            health: ReportMode::Truth,
            load: ReportMode::Truth,
        }
    }
}

/// Request counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct BackendCounts {
    /// Requests that began to run.
    pub executed: u64,
    /// Requests that ran and were answered.
    pub completed: u64,
    /// Requests shed with 503, because all slots were taken or shedding is on.
    pub shed: u64,
    /// Requests whose connection was closed while they ran.
    pub cancelled: u64,
    /// Requests whose deadline had passed on arrival.
    pub expired: u64,
    /// Requests that run now.
    pub running: u64,
    /// Highest number of requests that ran at once.
    pub most_running: u64,
    /// Requests that began to run while draining.
    pub while_draining: u64,
    /// Time from the start of the drain to the start of the last of these, in milliseconds.
    pub last_while_draining_ms: u64,
    /// Heartbeats that the daemon accepted.
    pub announced: u64,
    /// Runs per identifier.
    pub by_id: BTreeMap<String, u64>,
    /// Runs per `Idempotency-Key`.
    pub by_key: BTreeMap<String, u64>,
    /// Runs per kind of work.
    pub by_kind: BTreeMap<String, u64>,
    /// Service time per customer request, in microseconds.
    pub work_us_by_customer_request: BTreeMap<String, u64>,
}
