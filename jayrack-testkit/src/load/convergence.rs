//! Time from the acceptance of a change until the last daemon has it in force.
use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::{task::JoinSet, time::sleep};

use super::summary::{SampleSet, SampleSummary};
use crate::{
    fleet::{Fleet, FleetPlan, run::STATE_TIMEOUT},
    operator::{FleetOperator, PlanAnswer},
};

/// Time between polls of one daemon, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Parameters of the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of changes.
    pub changes: usize,
    /// Whether every daemon polls the log.
    pub polls: bool,
    /// Whether one data centre's readers are killed right before each change.
    pub kills_readers: bool,
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
    /// Readers killed in all.
    pub readers_killed: usize,
    /// Intents that were refused because the append quota was used up, and proposed again.
    pub intents_throttled: u64,
    /// From the sending of the confirm to the last daemon, in milliseconds.
    pub from_confirm_ms: SampleSummary,
    /// From the operator's answer to the last daemon, in milliseconds.
    pub from_answer_ms: SampleSummary,
    /// Time between polls, which is how much a sample may be too high, in milliseconds.
    pub look_interval_ms: u64,
}

/// Starts a fleet, runs the measurement and stops the fleet.
pub async fn run(options: Options) -> Result<Report> {
    ensure!(options.daemons >= 3, "at least 3 daemons are needed");
    let mut plan = FleetPlan::new(options.daemons).seed(options.seed);
    if options.polls {
        plan = plan.setting("distribution", json!("poll"));
    }
    let mut fleet = plan.start().await?;
    let outcome = measure(&mut fleet, options).await;
    fleet.close().await?;
    outcome
}

async fn measure(fleet: &mut Fleet, options: Options) -> Result<Report> {
    let mut random = Pcg64Mcg::seed_from_u64(options.seed);
    let version = fleet.apply(&change(0), 0, 0).await?;
    fleet.until_in_force(version).await?;
    let mut from_confirm = SampleSet::default();
    let mut from_answer = SampleSet::default();
    let mut readers_killed = 0;
    let mut throttled = 0;
    for number in 1..=options.changes {
        // The first daemon of each data centre is never killed, so that one is left to propose and one to confirm.
        let proposed_at = random.next_u32() as usize % 3;
        let operator = fleet.daemons[proposed_at].operator();
        let proposed = propose_with_retry(&operator, number, &mut throttled).await?;
        fleet.until_plan_known(&proposed.plan.id).await?;
        let killed = match options.kills_readers {
            true => kill_readers(fleet, number % 3).await?,
            false => Vec::new(),
        };
        readers_killed += killed.len();
        let sent = Instant::now();
        let confirmed_at = (number + 1) % 3;
        let operator = fleet.daemons[confirmed_at].operator();
        let confirmed = operator.confirm(&proposed.plan.id).await?;
        let answered = Instant::now();
        ensure!(
            confirmed.code == 0,
            "the confirm was refused: {confirmed:?}"
        );
        let last = wait_for_last_daemon(fleet, confirmed.plan.version).await?;
        from_confirm.record(last.duration_since(sent).as_millis() as u64);
        from_answer.record(last.saturating_duration_since(answered).as_millis() as u64);
        for index in killed {
            fleet.daemons[index].start()?;
            fleet.until_ready(index).await?;
        }
    }
    Ok(Report {
        measure: "convergence",
        seed: options.seed,
        daemons: options.daemons,
        distribution: if options.polls { "poll" } else { "push" },
        readers_killed,
        intents_throttled: throttled,
        from_confirm_ms: from_confirm.summary(),
        from_answer_ms: from_answer.summary(),
        look_interval_ms: POLL_INTERVAL_MS,
    })
}

/// Proposes the change; retries after a backoff while the append quota is used up.
async fn propose_with_retry(
    operator: &FleetOperator,
    number: usize,
    throttled: &mut u64,
) -> Result<PlanAnswer> {
    const LOG_THROTTLED: u16 = 301;
    const THROTTLE_BACKOFF_MS: u64 = 500;
    let deadline = Instant::now() + STATE_TIMEOUT;
    loop {
        let proposed = operator.propose(&change(number)).await?;
        if proposed.code == 0 {
            return Ok(proposed);
        }
        ensure!(
            proposed.code == LOG_THROTTLED && Instant::now() < deadline,
            "the plan was refused: {proposed:?}"
        );
        *throttled += 1;
        sleep(Duration::from_millis(THROTTLE_BACKOFF_MS)).await;
    }
}

fn change(number: usize) -> Value {
    json!({"put": [{"type": "rank", "name": "measured", "order": 0, "deadline_ms": 1_000 + number}]})
}

/// Kills the readers of data centre number `data_centre`, except its first daemon.
async fn kill_readers(fleet: &mut Fleet, data_centre: usize) -> Result<Vec<usize>> {
    let mut killed = Vec::new();
    for index in (data_centre..fleet.daemons.len()).step_by(3).skip(1) {
        if fleet.daemons[index].operator().status().await?.reader {
            fleet.daemons[index].kill()?;
            killed.push(index);
        }
    }
    Ok(killed)
}

/// Waits until all running daemons have `version`; returns when the last was seen to have it.
async fn wait_for_last_daemon(fleet: &Fleet, version: u64) -> Result<Instant> {
    let mut polls = JoinSet::new();
    for daemon in &fleet.daemons {
        if daemon.process_id().is_some() {
            polls.spawn(wait_for_version(daemon.operator(), version));
        }
    }
    let mut last = Instant::now();
    while let Some(seen) = polls.join_next().await {
        last = last.max(seen??);
    }
    Ok(last)
}

async fn wait_for_version(operator: FleetOperator, version: u64) -> Result<Instant> {
    let deadline = Instant::now() + STATE_TIMEOUT;
    loop {
        let status = operator.status().await;
        if status.is_ok_and(|status| status.version >= version) {
            return Ok(Instant::now());
        }
        ensure!(
            Instant::now() < deadline,
            "version {version} did not reach {}",
            operator.daemon
        );
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
