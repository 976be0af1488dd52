//! Fixtures shared by the process tests.
#![allow(dead_code)]
use std::{net::SocketAddr, time::Duration};

use http_body_util::Full;
use hyper::{Method, Request, header};
use jayrack_testkit::{
    backend_standin::headers,
    fleet::{Fleet, FleetPlan, ServerPlan, run::STATE_TIMEOUT},
    http_client::{self, HttpAnswer, HttpRequest},
    load::customer::{self, CustomerOutcome},
    observe,
    operator::PlanAnswer,
};
use serde_json::{Value, json};

/// Timeout of one request; only reached by a hung one.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// A fleet with one bookings server beside each daemon named in `servers`.
pub async fn booking_fleet(daemons: usize, servers: &[usize], seed: u64) -> Fleet {
    let plan = servers
        .iter()
        .fold(FleetPlan::new(daemons).seed(seed), |plan, daemon| {
            plan.server(ServerPlan::new("bookings", *daemon))
        });
    let fleet = plan.start().await.unwrap();
    let version = fleet.apply(&booking_change(5_000), 0, 1).await.unwrap();
    fleet.until_in_force(version).await.unwrap();
    fleet
}

/// Ranks, a service and a route for bookings; `deadline_ms` makes changes differ.
pub fn booking_change(deadline_ms: u32) -> Value {
    json!({"put": [
        {"type": "rank", "name": "confirm", "order": 0, "deadline_ms": deadline_ms},
        {"type": "service", "name": "bookings"},
        {"type": "route", "name": "confirm", "path_prefix": "/bookings", "service": "bookings",
            "rank": "confirm", "kind": "confirm", "weight": 10},
    ]})
}

/// A booking with an `Idempotency-Key` that takes `service_ms`.
pub fn booking(address: SocketAddr, id: &str, service_ms: u64) -> HttpRequest {
    Request::builder()
        .method(Method::POST)
        .uri("/bookings/confirm")
        .header(header::HOST, address.to_string())
        .header(headers::ID, id)
        .header(headers::KIND, "confirm")
        .header(headers::SERVICE_US, service_ms * 1_000)
        .header("idempotency-key", id)
        .header("x-jayrack-deadline-ms", 30_000)
        .body(Full::from("lathe 4"))
        .unwrap()
}

/// Sends a booking; no answer counts as unknown.
pub async fn book(address: SocketAddr, id: &str, service_ms: u64) -> CustomerOutcome {
    let request = booking(address, id, service_ms);
    match http_client::send(address, request, ANSWER_TIMEOUT).await {
        Ok(answer) => customer::classify_answer(id, &answer),
        Err(_) => CustomerOutcome::Unknown,
    }
}

/// Sends a booking and expects an answer.
pub async fn book_answer(address: SocketAddr, id: &str, service_ms: u64) -> HttpAnswer {
    let request = booking(address, id, service_ms);
    http_client::send(address, request, ANSWER_TIMEOUT)
        .await
        .unwrap()
}

/// Sends bookings to the daemon until one is completed.
pub async fn until_served(fleet: &Fleet, daemon: usize) {
    let address = fleet.daemons[daemon].callers();
    let mut number = 0;
    observe::until(STATE_TIMEOUT, "a booking to be served", async || {
        number += 1;
        let id = format!("warm-up-{daemon}-{number}");
        let outcome = book(address, &id, 0).await;
        (outcome == CustomerOutcome::Completed).then_some(())
    })
    .await
    .unwrap();
}

/// Total runs of a key on all servers that answer.
pub async fn runs_of(fleet: &Fleet, key: &str) -> u64 {
    let mut runs = 0;
    for index in 0..fleet.servers.len() {
        if let Ok(counts) = fleet.server_counts(index).await {
            runs += counts.by_key.get(key).copied().unwrap_or_default();
        }
    }
    runs
}

/// Waits until a plan has one of `states` at the daemon and returns it.
pub async fn until_plan_state(
    fleet: &Fleet,
    daemon: usize,
    plan: &str,
    states: &[&str],
) -> PlanAnswer {
    let operator = fleet.daemons[daemon].operator();
    let what = format!("plan {plan} to be one of {states:?} at daemon {daemon}");
    observe::until(STATE_TIMEOUT, &what, async || {
        let answer = operator.show(plan).await.ok()?;
        states
            .contains(&answer.plan.state.as_str())
            .then_some(answer)
    })
    .await
    .unwrap()
}

/// Proposes an intent at a daemon, waits until all know the plan and returns its identifier.
pub async fn propose_everywhere(fleet: &Fleet, daemon: usize, change: &Value) -> String {
    let operator = fleet.daemons[daemon].operator();
    let answer = operator.propose(change).await.unwrap();
    assert_eq!(answer.code, 0, "{answer:?}");
    fleet.until_plan_known(&answer.plan.id).await.unwrap();
    answer.plan.id
}
