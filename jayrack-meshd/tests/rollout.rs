//! Roll-outs with daemon processes and stand-ins for the store and the backend servers.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use support::{FleetStore, HostProcess, ServerStandin, configuration, until};
use tokio::time::sleep;

const SERVICE_TIME: Duration = Duration::from_millis(5);
/// Time between two requests of the caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const RUNNING: &str = "running";
const COMPLETED: &str = "completed";
const ROLLED_BACK: &str = "rolled_back";

/// Three hosts: two with old servers and one with a new server.
struct RolloutFleet {
    store: FleetStore,
    hosts: Vec<HostProcess>,
    servers: Vec<ServerStandin>,
}

impl RolloutFleet {
    async fn start() -> Self {
        Self::start_at(FleetStore::start().await, false).await
    }

    /// Starts the fleet for the first time at a store that states its era.
    async fn start_at_store_with_era() -> Self {
        let store = FleetStore::start().await;
        store.standin.state_era();
        Self::start_at(store, true).await
    }

    async fn start_at(store: FleetStore, is_first_start: bool) -> Self {
        store.put_configuration(&configuration(1, 2.0)).await;
        let mut fleet = Self {
            store,
            hosts: Vec::new(),
            servers: Vec::new(),
        };
        for (number, version) in ["v1", "v1", "v2"].into_iter().enumerate() {
            let host = HostProcess::start_with_rollouts(&fleet.store, is_first_start);
            let instance = format!("i-{number}");
            let server = ServerStandin::start(host.server(), &instance, SERVICE_TIME).await;
            let mut status = host.status("ready", 1 + number as u64, 1);
            status["version"] = version.into();
            host.until_reported(&instance, status).await;
            host.until_ready(StatusCode::OK).await;
            fleet.hosts.push(host);
            fleet.servers.push(server);
        }
        fleet.until_all_serve().await;
        fleet
    }

    /// Waits until each host forwards requests.
    async fn until_all_serve(&self) {
        for host in &self.hosts {
            until("a caller is answered", || async {
                let answer = host.ask(Method::GET, "/browse/1", "warm").await;
                answer.is_some_and(|answer| answer.status == StatusCode::OK)
            })
            .await;
        }
    }

    async fn order(&self, duration_s: f64) {
        let order = serde_json::json!({
            "service": "slots", "target_version": "v2", "duration_s": duration_s,
        });
        let value = order.to_string();
        self.store
            .put("op", "rollout/slots", value.as_bytes())
            .await;
    }

    /// Sends requests from all hosts until the store holds a final state; returns the states in the order in which they
    /// were recorded, and the number of requests that were not answered with success.
    async fn serve_until_final(&self) -> (Vec<String>, usize) {
        let mut failures = 0;
        for number in 0_usize.. {
            let host = &self.hosts[number % self.hosts.len()];
            let id = format!("r-{number}");
            let answer = host.ask(Method::GET, "/browse/1", &id).await;
            failures += usize::from(answer.is_none_or(|answer| answer.status != StatusCode::OK));
            if number % 20 == 0 {
                let states = self.states().await;
                if states.iter().any(|state| state != RUNNING) {
                    return (states, failures);
                }
            }
            sleep(REQUEST_INTERVAL).await;
        }
        unreachable!("the loop ends with the final state");
    }

    async fn states(&self) -> Vec<String> {
        let records = self.store.values("status", "rollout/slots").await;
        let states = records.iter().map(|value| {
            let state: serde_json::Value = serde_json::from_slice(value).unwrap();
            assert_eq!(state["target_version"], "v2");
            state["state"].as_str().unwrap().to_string()
        });
        states.collect()
    }
}

#[tokio::test]
async fn a_good_version_is_completed_and_receives_all_requests() {
    let fleet = RolloutFleet::start().await;
    assert!(
        fleet.servers[2].runs().is_empty(),
        "requests before the order"
    );
    fleet.order(8.0).await;

    let (states, failures) = fleet.serve_until_final().await;

    assert_eq!(states, [RUNNING, COMPLETED]);
    assert_eq!(failures, 0);
    let old_runs = || fleet.servers[0].runs().len() + fleet.servers[1].runs().len();
    let before = (old_runs(), fleet.servers[2].runs().len());
    for host in &fleet.hosts {
        let answer = host.ask(Method::GET, "/browse/1", "after").await;
        assert!(answer.is_some_and(|answer| answer.status == StatusCode::OK));
    }
    let after = (old_runs(), fleet.servers[2].runs().len());
    assert_eq!(after, (before.0, before.1 + fleet.hosts.len()));
}

#[tokio::test]
async fn a_bad_version_is_rolled_back_and_receives_no_more_requests() {
    let fleet = RolloutFleet::start().await;
    fleet.servers[2].fail_all();
    fleet.order(8.0).await;

    let (states, _) = fleet.serve_until_final().await;

    assert_eq!(states, [RUNNING, ROLLED_BACK]);
    let runs = fleet.servers[2].runs().len();
    for _ in 0..20 {
        fleet.until_all_serve().await;
    }
    assert_eq!(fleet.servers[2].runs().len(), runs);
}

/// Guards against records of other writers that stop the daemon from following the topic.
#[tokio::test]
async fn records_that_are_no_orders_name_no_rollout() {
    let fleet = RolloutFleet::start().await;
    for value in [
        "",
        "{}",
        "[1]",
        r#"{"service":"slots","target_version":"v2"}"#,
        r#"{"service":"slots","target_version":2,"duration_s":8}"#,
        r#"{"service":"other","target_version":"v2","duration_s":8}"#,
        r#"{"service":"slots","target_version":"v2","duration_s":-1}"#,
    ] {
        let put = fleet.store.put("op", "rollout/slots", value.as_bytes());
        put.await;
    }
    fleet.until_all_serve().await;
    sleep(Duration::from_secs(1)).await;
    fleet.until_all_serve().await;
    assert!(fleet.servers[2].runs().is_empty());

    fleet.order(8.0).await;
    let (states, _) = fleet.serve_until_final().await;

    assert_eq!(states, [RUNNING, COMPLETED]);
}

/// Guards against a version that was judged bad and gets requests again: the store has lost its order and the recorded
/// state, and the operator writes the order again at another offset.
#[tokio::test]
async fn a_rolled_back_version_stays_so_when_the_store_has_lost_its_order() {
    let fleet = RolloutFleet::start_at_store_with_era().await;
    let copy = fleet.store.standin.copy();
    fleet.servers[2].fail_all();
    fleet.order(8.0).await;
    fleet.serve_until_final().await;
    let runs = fleet.servers[2].runs().len();

    fleet.store.standin.return_from(&copy);
    fleet.store.put("op", "another", b"{}").await;
    fleet.order(8.0).await;
    let (states, failures) = fleet.serve_until_final().await;
    for _ in 0..100 {
        fleet.until_all_serve().await;
    }

    assert_eq!(states, [ROLLED_BACK]);
    assert_eq!(failures, 0);
    assert_eq!(fleet.servers[2].runs().len(), runs);
}
