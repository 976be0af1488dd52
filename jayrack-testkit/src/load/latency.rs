//! Time that two daemons add to a request, against calling the backend server directly.
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, ensure};
use hyper::StatusCode;
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep_until};

use super::summary::{SampleSet, SampleSummary};
use crate::{
    backend_standin::{body, headers},
    fleet::{Fleet, FleetPlan, ServerPlan, run::STATE_TIMEOUT},
    http_client::{self, ClientPool, HttpRequest},
    observe,
};

/// Slots of the server, enough never to queue.
const SERVER_SLOTS: u32 = 256;
const SERVER_CONNECTIONS: u32 = 512;

/// Index of the daemon that callers use and of the one beside the server.
const INGRESS: usize = 0;
const OWNER: usize = 1;

/// Parameters of the measurement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Pairs of requests per second, one load each.
    pub loads_per_second: Vec<u32>,
    /// Length of each load, in seconds.
    pub seconds: u64,
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
    /// One entry per load.
    pub loads: Vec<LoadReport>,
}

/// Report of one load, in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LoadReport {
    /// Pairs of requests per second.
    pub pairs_per_second: u32,
    /// Calls to the server.
    pub direct_us: SampleSummary,
    /// Calls through both daemons.
    pub forwarded_us: SampleSummary,
    /// Difference of the medians.
    pub added_median_us: i64,
    /// Difference of the 99th percentiles.
    pub added_p99_us: i64,
    /// Pairs in which a request had no intact answer; they have no sample.
    pub failed: u64,
}

/// Times of one pair, in microseconds; absent without an intact answer.
#[derive(Debug, Default)]
struct PairTimes {
    direct_us: Option<u64>,
    forwarded_us: Option<u64>,
}

/// Starts a fleet, runs the measurement and stops the fleet.
pub async fn run(options: &Options) -> Result<Report> {
    let mut server = ServerPlan::new("bookings", OWNER).slots(SERVER_SLOTS);
    server.connections = SERVER_CONNECTIONS;
    let fleet = FleetPlan::new(3)
        .seed(options.seed)
        .server(server)
        .start()
        .await?;
    let outcome = measure(&fleet, options).await;
    fleet.close().await?;
    Ok(Report {
        measure: "latency",
        seed: options.seed,
        loads: outcome?,
    })
}

fn change() -> Value {
    json!({"put": [
        {"type": "rank", "name": "browse", "order": 0},
        {"type": "service", "name": "bookings"},
        {"type": "route", "name": "browse", "path_prefix": "/bookings", "service": "bookings",
            "rank": "browse", "kind": "browse", "idempotent": true},
    ]})
}

async fn measure(fleet: &Fleet, options: &Options) -> Result<Vec<LoadReport>> {
    let version = fleet.apply(&change(), 0, 1).await?;
    fleet.until_in_force(version).await?;
    let server = fleet.servers[0].standin()?.address();
    let direct = Arc::new(ClientPool::new(server));
    let forwarded = Arc::new(ClientPool::new(fleet.daemons[INGRESS].callers()));
    observe::until(STATE_TIMEOUT, "the path through both daemons", async || {
        time_one(&forwarded, "warm-up").await.ok()
    })
    .await?;
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let mut reports = Vec::new();
    for load in &options.loads_per_second {
        let pairs = run_load(&direct, &forwarded, *load, options.seconds, &mut random).await?;
        reports.push(report(*load, &pairs));
    }
    Ok(reports)
}

async fn run_load(
    direct: &Arc<ClientPool>,
    forwarded: &Arc<ClientPool>,
    per_second: u32,
    seconds: u64,
    random: &mut Pcg64Mcg,
) -> Result<Vec<PairTimes>> {
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for number in 0..u64::from(per_second) * seconds {
        let at = Duration::from_secs(1) * number as u32 / per_second;
        sleep_until((started + at).into()).await;
        let (direct, forwarded) = (direct.clone(), forwarded.clone());
        let direct_first = random.next_u32().is_multiple_of(2);
        tasks.spawn(async move { time_pair(&direct, &forwarded, number, direct_first).await });
    }
    let mut pairs = Vec::new();
    while let Some(pair) = tasks.join_next().await {
        pairs.push(pair?);
    }
    Ok(pairs)
}

/// Measures both paths one after the other; `direct_first` gives the order.
async fn time_pair(
    direct: &ClientPool,
    forwarded: &ClientPool,
    number: u64,
    direct_first: bool,
) -> PairTimes {
    let id = format!("pair-{number}");
    let mut times = PairTimes::default();
    if direct_first {
        times.direct_us = time_one(direct, &id).await.ok();
    }
    times.forwarded_us = time_one(forwarded, &id).await.ok();
    if !direct_first {
        times.direct_us = time_one(direct, &id).await.ok();
    }
    times
}

async fn time_one(pool: &ClientPool, id: &str) -> Result<u64> {
    let request = request(pool, id)?;
    let started = Instant::now();
    let answer = pool.send(request).await?;
    let elapsed_us = started.elapsed().as_micros() as u64;
    ensure!(answer.status == StatusCode::OK, "answered {answer:?}");
    ensure!(
        body::is_intact(id, &answer.body),
        "the answer is not intact"
    );
    Ok(elapsed_us)
}

fn request(pool: &ClientPool, id: &str) -> Result<HttpRequest> {
    let mut request = http_client::get(pool.address(), "/bookings/browse")?;
    request.headers_mut().insert(headers::ID, id.parse()?);
    Ok(request)
}

fn report(pairs_per_second: u32, pairs: &[PairTimes]) -> LoadReport {
    let mut direct = SampleSet::default();
    let mut forwarded = SampleSet::default();
    let mut failed = 0;
    for pair in pairs {
        match (pair.direct_us, pair.forwarded_us) {
            (Some(direct_us), Some(forwarded_us)) => {
                direct.record(direct_us);
                forwarded.record(forwarded_us);
            }
            _ => failed += 1,
        }
    }
    let (direct_us, forwarded_us) = (direct.summary(), forwarded.summary());
    LoadReport {
        pairs_per_second,
        direct_us,
        forwarded_us,
        added_median_us: forwarded_us.median as i64 - direct_us.median as i64,
        added_p99_us: forwarded_us.p99 as i64 - direct_us.p99 as i64,
        failed,
    }
}
