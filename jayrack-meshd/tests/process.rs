//! The daemon as a process, with a stand-in of the store and of the backend servers.
mod support;

use std::{process::Command, time::Duration};

use hyper::{Method, StatusCode, header};
use jayrack_platform::headers;
use jayrack_testkit::log_standin::{LogBehaviour, Outage};
use support::{FleetStore, HostProcess, ServerStandin, configuration, until};

const NO_DELAY: Duration = Duration::ZERO;

/// A host whose server has reported, with a configuration in force.
async fn ready_host(store: &FleetStore, delay: Duration) -> (HostProcess, ServerStandin) {
    let host = HostProcess::start(store);
    let server = ServerStandin::start(host.server(), "i-1", delay).await;
    host.until_reported("i-1", host.status("ready", 1, 1)).await;
    host.until_ready(StatusCode::OK).await;
    (host, server)
}

/// Waits until a caller at `host` is answered by a server.
async fn until_served(host: &HostProcess) {
    until("a caller is answered", || async {
        let answer = host.ask(Method::GET, "/browse/1", "warm").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test]
async fn a_request_reaches_the_server_of_another_host() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (_owner, server) = ready_host(&store, NO_DELAY).await;
    let ingress = HostProcess::start(&store);
    ingress.until_ready(StatusCode::OK).await;
    until_served(&ingress).await;

    let answer = ingress.ask(Method::POST, "/book/1", "b-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body, "whole");
    assert!(answer.headers.contains_key(headers::ANSWER_SIGNATURE));
    assert_eq!(server.runs().iter().filter(|id| *id == "b-1").count(), 1);
}

#[tokio::test]
async fn a_daemon_without_a_configuration_refuses_instead_of_denying() {
    let store = FleetStore::start().await;
    let host = HostProcess::start(&store);
    host.until_ready(StatusCode::SERVICE_UNAVAILABLE).await;

    let answer = host.ask(Method::GET, "/browse/1", "r-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key(header::RETRY_AFTER));
}

#[tokio::test]
async fn an_unknown_route_is_denied() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;

    let answer = host.ask(Method::GET, "/nowhere/1", "r-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_departure_outlives_the_process_that_acknowledged_it() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (mut host, server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;
    assert!(
        host.report("i-1", "heartbeat", host.status("draining", 1, 5))
            .await
    );
    let before = server.runs().len();

    host.kill();
    host.restart();
    host.until_ready(StatusCode::OK).await;
    // A report from before the departure, delayed on its way.
    host.until_reported("i-1", host.status("ready", 1, 4)).await;
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.runs().len(), before);
}

#[tokio::test]
async fn a_departure_is_acknowledged_while_the_store_is_away() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;
    store.standin.set_behaviour(LogBehaviour {
        outage: Outage::Silent,
        ..LogBehaviour::default()
    });

    let acknowledged = host
        .report("i-1", "deregister", serde_json::json!({"born": 1}))
        .await;
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();

    assert!(acknowledged);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn a_report_that_cannot_be_read_names_no_server() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;

    let odd = serde_json::json!({"service": "slots", "state": "asleep", "sequence": 9});
    let acknowledged = host.report("i-1", "heartbeat", odd).await;

    assert!(!acknowledged);
    until_served(&host).await;
}

#[tokio::test]
async fn a_planned_stop_cuts_no_request() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 4.0)).await;
    let (mut host, server) = ready_host(&store, Duration::from_millis(1_500)).await;
    until_served(&host).await;

    let asking = host.ask(Method::POST, "/book/1", "b-1");
    let stopping = async {
        until("the request runs", || async {
            server.runs().contains(&"b-1".to_string())
        })
        .await;
        host.terminate();
        host.until_ready(StatusCode::SERVICE_UNAVAILABLE).await;
    };
    let (answer, ()) = tokio::join!(asking, stopping);

    assert_eq!(answer.unwrap().status, StatusCode::OK);
    assert_eq!(host.exit_code().await, Some(0));
}

#[tokio::test]
async fn a_bad_configuration_is_refused_whole_and_the_last_one_stays() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;

    store.put_configuration(&configuration(2, 2.0)[..200]).await;
    store.put_configuration(&configuration(3, -1.0)).await;
    let good = configuration(4, 2.0).replace("/browse/", "/look/");
    store.put_configuration(&good).await;
    until("the good one is in force", || async {
        let answer = host.ask(Method::GET, "/look/1", "r-1").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    let dropped = host.ask(Method::GET, "/browse/1", "r-2").await.unwrap();

    assert_eq!(dropped.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn the_final_answer_comes_at_the_route_s_time_out() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 0.3)).await;
    let (host, server) = ready_host(&store, Duration::from_secs(20)).await;

    let answer = host.ask(Method::POST, "/book/1", "b-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(server.runs(), ["b-1"]);
}

#[test]
fn settings_without_a_field_end_the_process_with_one_line() {
    let path = std::env::temp_dir().join(format!("jayrack-meshd-bad-{}.jsonc", std::process::id()));
    std::fs::write(&path, "{ /* nothing */ }").unwrap();

    let output = Command::new(env!("CARGO_BIN_EXE_jayrack-meshd"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();

    std::fs::remove_file(&path).unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(
        text.contains("103 SettingsInvalidValue") && text.contains("host"),
        "{text}"
    );
}
