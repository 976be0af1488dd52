//! Starts a fleet on loopback, applies one intent and serves one request across two daemons.
//!
//! With `--once` it then stops the fleet and exits; otherwise it prints the addresses and runs until interrupted.
#![deny(missing_docs, unsafe_code)]
use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use eyre::{Result, ensure, eyre};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header};
use jayrack_testkit::{
    backend_standin::{body, headers},
    fleet::{Fleet, FleetPlan, ServerPlan, run::STATE_TIMEOUT, settings::ADMIN_TOKEN},
    http_client::{self, HttpAnswer},
    observe, standin_process, tool,
};
use serde_json::{Value, json};

/// Index of the daemon at which the intent is proposed.
const PROPOSED_AT: usize = 0;
/// Index of the daemon at which the plan is confirmed.
const CONFIRMED_AT: usize = 1;
/// Index of the daemon that the caller uses; no backend server is beside it.
const CALLED_AT: usize = 2;

const REQUEST_ID: &str = "demo-booking-1";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const PLAN_UNKNOWN: u64 = 207;

#[tokio::main]
async fn main() -> ExitCode {
    match run().await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jayrack-demo: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<()> {
    let mut options = getopts::Options::new();
    options.optflag("", "once", "stop the fleet after the demonstration");
    let matches = options.parse(std::env::args().skip(1))?;
    let fleet = start().await?;
    let outcome = run_steps(&fleet).await;
    if outcome.is_ok() && !matches.opt_present("once") {
        print_addresses(&fleet);
        standin_process::wait_for_interrupt().await?;
    }
    if outcome.is_err() {
        print_logs(&fleet);
    }
    fleet.close().await?;
    outcome?;
    println!("fleet stopped, all steps passed");
    Ok(())
}

async fn start() -> Result<Fleet> {
    let started = Instant::now();
    let fleet = FleetPlan::new(3)
        .server(ServerPlan::new("bookings", PROPOSED_AT))
        .server(ServerPlan::new("bookings", CONFIRMED_AT))
        .start()
        .await?;
    for daemon in &fleet.daemons {
        println!("daemon {} ready in {}", daemon.name, daemon.data_centre);
    }
    for server in &fleet.servers {
        let daemon = &fleet.daemons[server.daemon].name;
        println!("backend server {} announced to {daemon}", server.name);
    }
    step("started", started);
    Ok(fleet)
}

async fn run_steps(fleet: &Fleet) -> Result<()> {
    let started = Instant::now();
    let plan = propose(fleet)?;
    step("intent proposed", started);
    let started = Instant::now();
    confirm(fleet, &plan).await?;
    step("plan confirmed at another daemon", started);
    wait_in_force(fleet).await?;
    step("in force on all daemons, counted from the confirm", started);
    let started = Instant::now();
    let answer = call(fleet).await?;
    check_answer(fleet, &answer).await?;
    step("caller served across two daemons", started);
    Ok(())
}

fn intent() -> Value {
    json!({"put": [
        {"type": "rank", "name": "confirm", "order": 0, "floor_percent": 20},
        {"type": "service", "name": "bookings"},
        {"type": "route", "name": "confirm", "path_prefix": "/bookings", "service": "bookings",
            "rank": "confirm", "kind": "confirm", "weight": 10},
    ]})
}

fn propose(fleet: &Fleet) -> Result<String> {
    let daemon = &fleet.daemons[PROPOSED_AT];
    let file = tool::write_intent(fleet.directory(), &intent())?;
    let output = tool::run(daemon.addresses.admin, ADMIN_TOKEN, &["plan", &file])?;
    ensure!(
        output.status == 0,
        "the intent was refused: {}",
        output.body
    );
    let plan = &output.body["plan"];
    let id = plan["id"]
        .as_str()
        .ok_or_else(|| eyre!("no plan: {plan}"))?;
    println!("plan {id} proposed at {}:", daemon.name);
    for effect in plan["effects"].as_array().into_iter().flatten() {
        println!("  {}", effect.as_str().unwrap_or_default());
    }
    Ok(id.to_string())
}

async fn confirm(fleet: &Fleet, plan: &str) -> Result<()> {
    let daemon = &fleet.daemons[CONFIRMED_AT];
    // The other daemon may not have read the plan yet.
    let output = observe::until(STATE_TIMEOUT, "the plan to be known", async || {
        let output = tool::run(daemon.addresses.admin, ADMIN_TOKEN, &["confirm", plan]);
        let is_unknown = output
            .as_ref()
            .is_ok_and(|output| output.body["code"] == PLAN_UNKNOWN);
        (!is_unknown).then_some(output)
    })
    .await??;
    ensure!(
        output.status == 0,
        "the confirm was refused: {}",
        output.body
    );
    let version = &output.body["plan"]["version"];
    println!(
        "plan {plan} confirmed at {} as version {version}",
        daemon.name
    );
    Ok(())
}

async fn wait_in_force(fleet: &Fleet) -> Result<()> {
    let daemon = &fleet.daemons[PROPOSED_AT];
    let total = fleet.daemons.len();
    let status = observe::until(
        STATE_TIMEOUT,
        "the version in force everywhere",
        async || {
            let output = tool::run(daemon.addresses.admin, ADMIN_TOKEN, &["status"]).ok()?;
            let is_everywhere = output.body["on"] == total && output.body["of"] == total;
            (is_everywhere && output.body["version"] != 0).then_some(output.body)
        },
    )
    .await?;
    println!("in force on {} of {}", status["on"], status["of"]);
    Ok(())
}

/// Sends one booking; retries while the answer is "not run", as it is until the ingress knows the servers.
async fn call(fleet: &Fleet) -> Result<HttpAnswer> {
    let address = fleet.daemons[CALLED_AT].callers();
    observe::until(STATE_TIMEOUT, "the booking to be served", async || {
        let request = Request::builder()
            .method(Method::POST)
            .uri("/bookings/confirm")
            .header(header::HOST, address.to_string())
            .header(headers::ID, REQUEST_ID)
            .header(headers::KIND, "confirm")
            .header("idempotency-key", REQUEST_ID)
            .body(Full::from("lathe 4, Monday"))
            .ok()?;
        let answer = http_client::send(address, request, ANSWER_TIMEOUT).await;
        let is_not_run = answer
            .as_ref()
            .is_ok_and(|answer| answer.header("x-jayrack-outcome") == "not-run");
        if let Ok(answer) = &answer
            && is_not_run
        {
            println!(
                "caller refused with code {}, retrying",
                answer.header("x-jayrack-code")
            );
        }
        (!is_not_run).then_some(answer)
    })
    .await?
}

async fn check_answer(fleet: &Fleet, answer: &HttpAnswer) -> Result<()> {
    ensure!(answer.status == StatusCode::OK, "answered {answer:?}");
    ensure!(
        body::is_intact(REQUEST_ID, &answer.body),
        "the answer is not intact"
    );
    let mut runs = 0;
    for index in 0..fleet.servers.len() {
        let counts = fleet.server_counts(index).await?;
        runs += counts.by_id.get(REQUEST_ID).copied().unwrap_or_default();
    }
    ensure!(runs == 1, "the booking ran {runs} times");
    println!(
        "caller at {} answered by {} with {} bytes, run once",
        fleet.daemons[CALLED_AT].name,
        answer.header(headers::SERVER),
        answer.body.len()
    );
    Ok(())
}

fn print_addresses(fleet: &Fleet) {
    println!("token {ADMIN_TOKEN}");
    for daemon in &fleet.daemons {
        let addresses = daemon.addresses;
        println!(
            "{}: administration {}, callers {}",
            daemon.name, addresses.admin, addresses.callers
        );
    }
    println!("end with an interrupt (Ctrl-C)");
}

fn print_logs(fleet: &Fleet) {
    for daemon in &fleet.daemons {
        eprintln!("last lines of {}:\n{}", daemon.name, daemon.log_tail());
    }
}

fn step(what: &str, started: Instant) {
    println!("ok: {what}, {} ms", started.elapsed().as_millis());
}
