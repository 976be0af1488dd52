//! Cost of the control traffic for each daemon of a fleet.
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::{Result, eyre};
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use serde::Serialize;
use serde_json::json;
use tokio::time::sleep;

use super::{
    metrics::{self, MetricValues},
    proc_usage::{self, ProcessUsage},
    summary::Spread,
};
use crate::{
    backend_standin::{BackendBehaviour, BackendStandin, Options as ServerOptions},
    fleet::{Fleet, FleetPlan},
    log_standin::LogCounts,
    standin_process::ANY_PORT,
};

/// Slots and connections of the servers.
const SERVER_SLOTS: u32 = 12;
const SERVER_CONNECTIONS: u32 = 110;

/// Time for the fleet to settle before the first phase, in milliseconds.
const SETTLE_MS: u64 = 5_000;

/// Parameters of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Number of daemons.
    pub daemons: usize,
    /// Length of each phase, in seconds.
    pub seconds: u64,
    /// Server changes per second in the fleet while endpoints churn.
    pub churn_per_second: u64,
    /// Whether every daemon polls the log.
    pub polls: bool,
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
    /// Number of daemons.
    pub daemons: usize,
    /// How configuration was distributed.
    pub distribution: &'static str,
    /// Server changes per second while endpoints churn.
    pub churn_per_second: u64,
    /// Without any change.
    pub idle: PhaseReport,
    /// While endpoints churn.
    pub churn: PhaseReport,
}

/// Report of one phase, per daemon unless stated otherwise.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PhaseReport {
    /// Length, in seconds.
    pub seconds: f64,
    /// Share of one core, in percent.
    pub cpu_percent: Spread,
    /// Resident memory, in megabytes (1,000,000 bytes).
    pub resident_megabytes: Spread,
    /// Growth per second of each counter of bytes, datagrams and connections.
    pub counters_per_second: BTreeMap<String, Spread>,
    /// Requests per second at the log, of all daemons together.
    pub log_requests_per_second: f64,
    /// Appends per second at the log, of all daemons together.
    pub log_appends_per_second: f64,
}

struct Snapshot {
    time: Instant,
    usage: Vec<ProcessUsage>,
    metrics: Vec<MetricValues>,
    log: LogCounts,
}

/// Starts a fleet, runs the measurement and stops the fleet.
pub async fn run(options: Options) -> Result<Report> {
    let mut plan = FleetPlan::new(options.daemons).seed(options.seed);
    if options.polls {
        plan = plan.setting("distribution", json!("poll"));
    }
    let fleet = plan.start().await?;
    let outcome = measure(&fleet, options).await;
    fleet.close().await?;
    outcome
}

async fn measure(fleet: &Fleet, options: Options) -> Result<Report> {
    let servers = start_servers(fleet, options.seed).await?;
    let change = json!({"put": [{"type": "service", "name": "bookings"}]});
    let version = fleet.apply(&change, 0, 1).await?;
    fleet.until_in_force(version).await?;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    let idle = measure_phase(fleet, sleep(Duration::from_secs(options.seconds))).await?;
    let churn = measure_phase(fleet, churn(&servers, options)).await?;
    for server in servers {
        server.close().await;
    }
    Ok(Report {
        measure: "control-cost",
        seed: options.seed,
        daemons: options.daemons,
        distribution: if options.polls { "poll" } else { "push" },
        churn_per_second: options.churn_per_second,
        idle,
        churn,
    })
}

/// Starts one server beside each daemon, in this process.
async fn start_servers(fleet: &Fleet, seed: u64) -> Result<Vec<BackendStandin>> {
    let mut servers = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        let server = BackendStandin::start(ServerOptions {
            name: format!("{}-server", daemon.name),
            service: "bookings".to_string(),
            listen: ANY_PORT,
            advertise: None,
            announce: Some(daemon.addresses.announce),
            callers: None,
            slots: SERVER_SLOTS,
            connections: SERVER_CONNECTIONS,
            cold_start_ms: 0,
            behaviour: BackendBehaviour::default(),
            seed: seed + index as u64,
        });
        servers.push(server.await?);
    }
    Ok(servers)
}

/// Starts or ends the drain of random servers at a constant rate.
async fn churn(servers: &[BackendStandin], options: Options) {
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let mut draining = vec![false; servers.len()];
    let interval = Duration::from_secs(1) / options.churn_per_second.max(1) as u32;
    for _ in 0..options.churn_per_second * options.seconds {
        let index = random.next_u32() as usize % servers.len();
        draining[index] = !draining[index];
        servers[index].set_behaviour(BackendBehaviour {
            draining: draining[index],
            ..BackendBehaviour::default()
        });
        sleep(interval).await;
    }
}

async fn measure_phase(fleet: &Fleet, phase: impl Future<Output = ()>) -> Result<PhaseReport> {
    let before = take_snapshot(fleet).await?;
    phase.await;
    let after = take_snapshot(fleet).await?;
    Ok(compare(&before, &after))
}

async fn take_snapshot(fleet: &Fleet) -> Result<Snapshot> {
    let mut usage = Vec::new();
    let mut metrics = Vec::new();
    for daemon in &fleet.daemons {
        let id = daemon
            .process_id()
            .ok_or_else(|| eyre!("{} does not run", daemon.name))?;
        usage.push(proc_usage::read(id)?);
        let admin: SocketAddr = daemon.addresses.admin;
        metrics.push(metrics::read(admin).await?);
    }
    Ok(Snapshot {
        time: Instant::now(),
        usage,
        metrics,
        log: fleet.log_counts().await?,
    })
}

fn compare(before: &Snapshot, after: &Snapshot) -> PhaseReport {
    let seconds = after.time.duration_since(before.time).as_secs_f64();
    let pairs = before.usage.iter().zip(&after.usage);
    let cpu: Vec<f64> = pairs
        .map(|(before, after)| (after.cpu_seconds - before.cpu_seconds) / seconds * 100.0)
        .collect();
    let resident: Vec<f64> = after
        .usage
        .iter()
        .map(|usage| usage.resident_bytes as f64 / 1e6)
        .collect();
    let requests = |counts: &LogCounts| (counts.appends + counts.reads) as f64;
    let appends = (after.log.appends - before.log.appends) as f64;
    PhaseReport {
        seconds,
        cpu_percent: Spread::of(&cpu),
        resident_megabytes: Spread::of(&resident),
        counters_per_second: counters(before, after, seconds),
        log_requests_per_second: (requests(&after.log) - requests(&before.log)) / seconds,
        log_appends_per_second: appends / seconds,
    }
}

fn counters(before: &Snapshot, after: &Snapshot, seconds: f64) -> BTreeMap<String, Spread> {
    let mut figures: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (before, after) in before.metrics.iter().zip(&after.metrics) {
        for (series, growth) in metrics::growth(before, after) {
            if series.contains("bytes") || series.contains("units") {
                figures.entry(series).or_default().push(growth / seconds);
            }
        }
    }
    figures
        .into_iter()
        .map(|(series, figures)| (series, Spread::of(&figures)))
        .collect()
}
