//! Service by rank under a flood, on one of the deployments.
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use serde::Serialize;
use serde_json::json;
use tokio::{task::JoinSet, time::sleep_until};

use super::{
    arrivals::{self, ArrivalStream},
    customer::{self, CustomerOutcome, CustomerResult},
    flood_report::{self, ScenarioReport},
    ideal,
};
use crate::{
    deployment::DeploymentPlan,
    fleet::{Fleet, FleetPlan},
    http_client::ClientPool,
    observe,
};

/// Share of the usual capacity that the usual load takes, in percent.
const USUAL_LOAD_PERCENT: u32 = 50;

/// Source of the flood.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FloodSource {
    /// The least urgent kind.
    LeastUrgent,
    /// The most urgent kind.
    MostUrgent,
    /// One customer, with all kinds in their usual shares.
    OneCustomer,
}

impl FloodSource {
    /// All sources in the order in which they are measured.
    pub const ALL: [FloodSource; 3] = [
        FloodSource::LeastUrgent,
        FloodSource::MostUrgent,
        FloodSource::OneCustomer,
    ];
}

/// Parameters of the measurement.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The deployment.
    pub deployment: DeploymentPlan,
    /// Slots of each server.
    pub slots: u32,
    /// Size of the flood in multiples of capacity, one scenario each.
    pub multiples: Vec<f64>,
    /// Length of each scenario, in seconds.
    pub seconds: u64,
    /// Deadline of customer requests, in milliseconds.
    pub deadline_ms: u64,
    /// Whether to use the baseline: first come first served, with unconditional retries.
    pub is_fifo: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Report of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Name of the measurement.
    pub measure: &'static str,
    /// Seed of all random choices.
    pub seed: u64,
    /// Name of the deployment.
    pub deployment: &'static str,
    /// How work was ordered.
    pub policy: &'static str,
    /// Slots of each server.
    pub slots: u32,
    /// Length of each scenario, in seconds.
    pub seconds: u64,
    /// Deadline of customer requests, in milliseconds.
    pub deadline_ms: u64,
    /// Usual load, in percent of capacity.
    pub usual_load_percent: u32,
    /// One entry per source and multiple.
    pub scenarios: Vec<ScenarioReport>,
}

/// One scenario before it runs.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioPlan {
    /// Source of the flood.
    pub source: FloodSource,
    /// Size of the flood in multiples of capacity.
    pub multiple: f64,
    /// The streams of requests.
    pub streams: Vec<ArrivalStream>,
}

/// Starts a fleet, runs the measurement and stops the fleet.
pub async fn run(options: &Options) -> Result<Report> {
    let mut plan = FleetPlan::new(options.deployment.server_count()).seed(options.seed);
    for server in options.deployment.servers(options.slots) {
        plan = plan.server(server);
    }
    if options.is_fifo {
        plan = plan.setting("policy", json!("fifo"));
    }
    let fleet = plan.start().await?;
    let outcome = measure(&fleet, options).await;
    fleet.close().await?;
    Ok(Report {
        measure: "flood",
        seed: options.seed,
        deployment: options.deployment.name,
        policy: if options.is_fifo { "fifo" } else { "rank" },
        slots: options.slots,
        seconds: options.seconds,
        deadline_ms: options.deadline_ms,
        usual_load_percent: USUAL_LOAD_PERCENT,
        scenarios: outcome?,
    })
}

async fn measure(fleet: &Fleet, options: &Options) -> Result<Vec<ScenarioReport>> {
    let version = fleet.apply(&options.deployment.change(), 0, 1).await?;
    fleet.until_in_force(version).await?;
    until_served(fleet, options).await?;
    let mut reports = Vec::new();
    for source in FloodSource::ALL {
        for multiple in &options.multiples {
            let plan = scenario(options, source, *multiple);
            reports.push(run_scenario(fleet, options, &plan, reports.len()).await?);
        }
    }
    Ok(reports)
}

/// Waits until each daemon completes a request of each kind.
async fn until_served(fleet: &Fleet, options: &Options) -> Result<()> {
    let customer_options = Arc::new(customer::Options {
        run: "warm-up".to_string(),
        deadline_ms: options.deadline_ms,
    });
    let mut number = 0;
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let pool = Arc::new(ClientPool::new(daemon.callers()));
        for (kind_index, kind) in options.deployment.kinds.iter().enumerate() {
            let what = format!("{} to be served at {}", kind.name, daemon.name);
            observe::until(crate::fleet::run::STATE_TIMEOUT, &what, async || {
                number += 1;
                let arrival = arrivals::CustomerArrival {
                    at_us: 0,
                    kind: kind_index,
                    number,
                    daemon: index,
                    customer: "warm-up".to_string(),
                    is_flood: false,
                };
                let kind = Arc::new(kind.clone());
                let result =
                    customer::send(pool.clone(), kind, arrival, customer_options.clone()).await;
                (result.outcome == CustomerOutcome::Completed).then_some(())
            })
            .await?;
        }
    }
    Ok(())
}

fn scenario(options: &Options, source: FloodSource, multiple: f64) -> ScenarioPlan {
    let deployment = &options.deployment;
    let usual = ideal::usual_rate(deployment, options.slots);
    let load = f64::from(USUAL_LOAD_PERCENT) / 100.0;
    let share = |index: usize| f64::from(deployment.kinds[index].share_percent) / 100.0;
    let stream = |kind, per_second, is_flood| ArrivalStream {
        kind,
        per_second,
        is_flood,
        is_one_customer: is_flood && source == FloodSource::OneCustomer,
    };
    let kinds = 0..deployment.kinds.len();
    let mut streams: Vec<ArrivalStream> = kinds
        .clone()
        .map(|kind| stream(kind, usual * load * share(kind), false))
        .collect();
    match source {
        FloodSource::OneCustomer => {
            streams.extend(kinds.map(|kind| stream(kind, usual * multiple * share(kind), true)));
        }
        FloodSource::LeastUrgent | FloodSource::MostUrgent => {
            let by_rank = |kind: &usize| deployment.kinds[*kind].rank;
            let kind = match source {
                FloodSource::MostUrgent => kinds.min_by_key(by_rank),
                _ => kinds.max_by_key(by_rank),
            };
            let kind = kind.unwrap_or_default();
            let alone = ideal::kind_rate(deployment, &deployment.kinds[kind], options.slots);
            streams.push(stream(kind, alone * multiple, true));
        }
    }
    ScenarioPlan {
        source,
        multiple,
        streams,
    }
}

async fn run_scenario(
    fleet: &Fleet,
    options: &Options,
    plan: &ScenarioPlan,
    number: usize,
) -> Result<ScenarioReport> {
    let run = format!("{}-{number}", options.seed);
    let customer_options = Arc::new(customer::Options {
        run,
        deadline_ms: options.deadline_ms,
    });
    let results = send_all(fleet, options, plan, &customer_options).await?;
    let work = work_by_customer_request(fleet).await?;
    Ok(flood_report::report(
        options,
        plan,
        &customer_options,
        &results,
        &work,
    ))
}

async fn send_all(
    fleet: &Fleet,
    options: &Options,
    plan: &ScenarioPlan,
    customer_options: &Arc<customer::Options>,
) -> Result<Vec<CustomerResult>> {
    let seconds = options.seconds as f64;
    let daemons = fleet.daemons.len();
    let arrivals = arrivals::draw(&plan.streams, seconds, daemons, options.seed);
    let pools: Vec<_> = fleet
        .daemons
        .iter()
        .map(|daemon| Arc::new(ClientPool::new(daemon.callers())))
        .collect();
    let kinds: Vec<_> = options
        .deployment
        .kinds
        .iter()
        .map(|kind| Arc::new(kind.clone()))
        .collect();
    let started = Instant::now();
    let mut requests = JoinSet::new();
    for arrival in arrivals {
        sleep_until((started + Duration::from_micros(arrival.at_us)).into()).await;
        let pool = pools[arrival.daemon].clone();
        let kind = kinds[arrival.kind].clone();
        requests.spawn(customer::send(
            pool,
            kind,
            arrival,
            customer_options.clone(),
        ));
    }
    let mut results = Vec::new();
    while let Some(result) = requests.join_next().await {
        results.push(result.map_err(|error| eyre!("a request failed to run: {error}"))?);
    }
    Ok(results)
}

async fn work_by_customer_request(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let mut work = BTreeMap::new();
    for index in 0..fleet.servers.len() {
        let counts = fleet.server_counts(index).await?;
        for (id, work_us) in counts.work_us_by_customer_request {
            *work.entry(id).or_default() += work_us;
        }
    }
    Ok(work)
}
