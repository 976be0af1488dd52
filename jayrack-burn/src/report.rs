//! Counts of each daemon, their sums over the fleet, and the state of each objective.
//!
//! The burn rate is the fraction of bad requests divided by the fraction that the objective allows,
//! its error budget. At a rate of 1 the budget is used up exactly at the end of the objective's
//! period.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::window::{RequestCount, WindowLength};

/// Burn rate over five minutes and one hour from which an objective is [`BurnState::Burning`].
pub const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate over six hours and three days from which an objective is [`BurnState::Slow`].
pub const SLOW_BURN_RATE: f64 = 1.0;

/// Counts of one daemon for one service and rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalRow {
    /// Name of the service.
    pub service: String,
    /// Name of the rank.
    pub rank: String,
    /// Counts in the order of [`WindowLength::ALL`].
    pub counts: [RequestCount; WindowLength::ALL.len()],
}

/// All counts of one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalReport {
    /// One row per service and rank, sorted by service, then by rank.
    pub rows: Vec<LocalRow>,
}

/// An objective as configured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BurnObjective {
    /// Name of the service.
    pub service: String,
    /// Name of the rank.
    pub rank: String,
    /// Percentage of requests that must be good, in thousandths of a percent.
    pub target_millipercent: u32,
}

/// State of an objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum BurnState {
    /// The error budget will be used up within hours.
    Burning,
    /// The error budget will be used up before its period ends.
    Slow,
    /// The objective is met.
    Met,
    /// No request was counted.
    Idle,
}

impl BurnState {
    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            BurnState::Burning => "burning",
            BurnState::Slow => "slow burn",
            BurnState::Met => "met",
            BurnState::Idle => "idle",
        }
    }
}

/// Burn rate over one window.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window.
    pub window: WindowLength,
    /// Burn rate.
    pub rate: f64,
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

/// State of one objective across the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetRow {
    /// Name of the service.
    pub service: String,
    /// Name of the rank.
    pub rank: String,
    /// State of the objective.
    pub state: BurnState,
    /// Burn rates by window, the shortest first.
    pub windows: Vec<WindowBurn>,
}

/// Sums `reports` and computes the state of each of `objectives`.
///
/// Rows are sorted by state, [`BurnState::Burning`] first, then by falling burn rate over the
/// shortest window.
pub fn summarize<'a>(
    objectives: &[BurnObjective],
    reports: impl IntoIterator<Item = &'a LocalReport>,
) -> Vec<FleetRow> {
    let sums = sum_rows(reports);
    let mut rows: Vec<FleetRow> = objectives
        .iter()
        .map(|objective| {
            let counts = sums.get(&(objective.service.as_str(), objective.rank.as_str()));
            evaluate(objective, &counts.copied().unwrap_or_default())
        })
        .collect();
    rows.sort_by(|left, right| {
        left.state
            .cmp(&right.state)
            .then(shortest_window_rate(right).total_cmp(&shortest_window_rate(left)))
    });
    rows
}

type WindowCounts = [RequestCount; WindowLength::ALL.len()];

fn sum_rows<'a>(
    reports: impl IntoIterator<Item = &'a LocalReport>,
) -> BTreeMap<(&'a str, &'a str), WindowCounts> {
    let mut sums: BTreeMap<(&str, &str), WindowCounts> = BTreeMap::new();
    for row in reports.into_iter().flat_map(|report| &report.rows) {
        let sum = sums
            .entry((row.service.as_str(), row.rank.as_str()))
            .or_default();
        for (total, count) in sum.iter_mut().zip(row.counts) {
            total.add(count);
        }
    }
    sums
}

fn evaluate(objective: &BurnObjective, counts: &WindowCounts) -> FleetRow {
    const ALL_MILLIPERCENT: u32 = 100_000;
    let error_budget_millipercent = ALL_MILLIPERCENT
        .saturating_sub(objective.target_millipercent)
        .max(1);
    let error_budget = f64::from(error_budget_millipercent) / f64::from(ALL_MILLIPERCENT);
    let windows: Vec<WindowBurn> = WindowLength::ALL
        .into_iter()
        .zip(counts)
        .map(|(window, count)| WindowBurn {
            window,
            rate: count.error_ratio() / error_budget,
            good: count.good,
            total: count.total,
        })
        .collect();
    FleetRow {
        service: objective.service.clone(),
        rank: objective.rank.clone(),
        state: burn_state(&windows),
        windows,
    }
}

fn burn_state(windows: &[WindowBurn]) -> BurnState {
    let exceeds = |window: WindowLength, bound: f64| {
        let burn = windows.iter().find(|burn| burn.window == window);
        burn.is_some_and(|burn| burn.rate >= bound)
    };
    if windows.iter().all(|burn| burn.total == 0) {
        return BurnState::Idle;
    }
    if exceeds(WindowLength::FiveMinutes, FAST_BURN_RATE)
        && exceeds(WindowLength::OneHour, FAST_BURN_RATE)
    {
        return BurnState::Burning;
    }
    if exceeds(WindowLength::SixHours, SLOW_BURN_RATE)
        && exceeds(WindowLength::ThreeDays, SLOW_BURN_RATE)
    {
        return BurnState::Slow;
    }
    BurnState::Met
}

fn shortest_window_rate(row: &FleetRow) -> f64 {
    row.windows.first().map_or(0.0, |burn| burn.rate)
}
