//! Report of one flood scenario.
use std::collections::BTreeMap;

use serde::Serialize;

use super::{
    customer::{self, CustomerOutcome, CustomerResult},
    flood::{FloodSource, Options, ScenarioPlan},
    ideal,
    summary::{SampleSet, SampleSummary},
};

/// Arrivals before this are not counted, in microseconds.
const WARM_UP_US: u64 = 1_000_000;

/// Report of one scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ScenarioReport {
    /// Source of the flood.
    pub source: FloodSource,
    /// Size of the flood in multiples of capacity.
    pub multiple: f64,
    /// One entry per kind of customer request, the most urgent first.
    pub kinds: Vec<KindReport>,
    /// Weighted number of completed customer requests.
    pub weighted_completed: u64,
    /// Weighted number of customer requests that could be completed at best.
    pub weighted_ideal: f64,
    /// Share of the servers' work whose customer request did not complete, in percent.
    pub wasted_work_percent: f64,
}

/// Report of one kind of customer request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct KindReport {
    /// Name of the kind.
    pub kind: &'static str,
    /// Name of its rank.
    pub rank: &'static str,
    /// Customer requests sent.
    pub offered: u64,
    /// Completed in time.
    pub completed: u64,
    /// What could be completed at best.
    pub ideal: f64,
    /// Completed in percent of the ideal.
    pub ideal_percent: f64,
    /// Share of the requests outside the flood that was completed, in percent.
    pub others_kept_percent: f64,
    /// Refused with the answer that they did not run.
    pub not_run: u64,
    /// Answered that it is not known whether they ran.
    pub unknown: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer by the deadline.
    pub late: u64,
    /// With a wrong answer.
    pub wrong: u64,
    /// Latency of the completed ones, in microseconds.
    pub latency_us: SampleSummary,
}

/// Builds the report of one scenario.
pub fn report(
    options: &Options,
    plan: &ScenarioPlan,
    customer_options: &customer::Options,
    results: &[CustomerResult],
    work: &BTreeMap<String, u64>,
) -> ScenarioReport {
    let offered = offered_rates(options, plan);
    let fractions = ideal::completable_fractions(&options.deployment, &offered, options.slots);
    let kinds: Vec<KindReport> = (0..options.deployment.kinds.len())
        .map(|kind| kind_report(options, kind, fractions[kind], results))
        .collect();
    let weights = options.deployment.kinds.iter().map(|kind| kind.weight);
    let weighted = kinds.iter().zip(weights);
    ScenarioReport {
        source: plan.source,
        multiple: plan.multiple,
        weighted_completed: weighted
            .clone()
            .map(|(kind, weight)| kind.completed * u64::from(weight))
            .sum(),
        weighted_ideal: weighted
            .map(|(kind, weight)| kind.ideal * f64::from(weight))
            .sum(),
        kinds,
        wasted_work_percent: wasted_percent(customer_options, results, work),
    }
}

fn offered_rates(options: &Options, plan: &ScenarioPlan) -> Vec<f64> {
    let mut rates = vec![0.0; options.deployment.kinds.len()];
    for stream in &plan.streams {
        rates[stream.kind] += stream.per_second;
    }
    rates
}

fn kind_report(
    options: &Options,
    kind: usize,
    ideal_fraction: f64,
    results: &[CustomerResult],
) -> KindReport {
    let plan = &options.deployment.kinds[kind];
    let counted: Vec<_> = results
        .iter()
        .filter(|result| result.arrival.kind == kind && result.arrival.at_us >= WARM_UP_US)
        .collect();
    let with = |outcome| count(&counted, |result| result.outcome == outcome);
    let mut latency = SampleSet::default();
    for result in &counted {
        if result.outcome == CustomerOutcome::Completed {
            latency.record(result.elapsed_us);
        }
    }
    let completed = with(CustomerOutcome::Completed);
    let offered = counted.len() as u64;
    let ideal = offered as f64 * ideal_fraction;
    let others = count(&counted, |result| !result.arrival.is_flood);
    let others_completed = count(&counted, |result| {
        !result.arrival.is_flood && result.outcome == CustomerOutcome::Completed
    });
    KindReport {
        kind: plan.name,
        rank: options.deployment.ranks[plan.rank].name,
        offered,
        completed,
        ideal,
        ideal_percent: percent(completed as f64, ideal),
        others_kept_percent: percent(others_completed as f64, others as f64),
        not_run: with(CustomerOutcome::NotRun),
        unknown: with(CustomerOutcome::Unknown),
        failed: with(CustomerOutcome::Failed),
        late: with(CustomerOutcome::Late),
        wrong: with(CustomerOutcome::Wrong),
        latency_us: latency.summary(),
    }
}

fn count(results: &[&CustomerResult], is_counted: impl Fn(&CustomerResult) -> bool) -> u64 {
    results.iter().filter(|result| is_counted(result)).count() as u64
}

fn wasted_percent(
    options: &customer::Options,
    results: &[CustomerResult],
    work: &BTreeMap<String, u64>,
) -> f64 {
    let mut total_us = 0;
    let mut wasted_us = 0;
    for result in results {
        let id = customer::customer_request(options, &result.arrival);
        let work_us = work.get(&id).copied().unwrap_or_default();
        total_us += work_us;
        if result.outcome != CustomerOutcome::Completed {
            wasted_us += work_us;
        }
    }
    percent(wasted_us as f64, total_us as f64)
}

/// `numerator` in percent of `denominator`; 100 when the denominator is 0.
fn percent(numerator: f64, denominator: f64) -> f64 {
    if denominator > 0.0 {
        numerator / denominator * 100.0
    } else {
        100.0
    }
}
