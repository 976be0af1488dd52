//! The daemon as a process, with stand-ins for the store and the backend servers.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use std::{process::Command, time::Duration};

use hyper::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use jayrack_mesh::{delta::TextDelta, gate::Urgency};
use jayrack_meshd::traffic::forward::{AttemptKind, ForwardHead, SendTime};
use jayrack_platform::headers;
use jayrack_testkit::log_standin::{LogBehaviour, Outage};
use rstest::rstest;
use support::{DaemonOutput, FleetStore, HostProcess, ServerStandin, configuration, until};
use tokio::time::sleep;

/// Time between two reports of a server that is not believed yet.
const REPORT_PAUSE: Duration = Duration::from_millis(200);
const NO_DELAY: Duration = Duration::ZERO;

/// Starts a host and its server; waits until the server has reported and a configuration is in force.
async fn ready_host(store: &FleetStore, delay: Duration) -> (HostProcess, ServerStandin) {
    let host = HostProcess::start(store);
    let server = ServerStandin::start(host.server(), "i-1", delay).await;
    host.until_reported("i-1", host.status("ready", 1, 1)).await;
    host.until_ready(StatusCode::OK).await;
    (host, server)
}

/// Waits until a caller at `host` gets an answer of a server.
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

/// Guards against forwarded requests without their head: a header in ASCII could not hold the name of the route.
#[tokio::test]
async fn a_route_whose_name_is_not_ascii_is_served_on_another_host() {
    let store = FleetStore::start().await;
    let text =
        configuration(1, 2.0).replace(r#""name":"browse""#, r#""name":"suche \u00fc\u4e2d""#);
    store.put_configuration(&text).await;
    let (host, server) = ready_host(&store, NO_DELAY).await;
    let other = HostProcess::start(&store);
    until_served(&host).await;

    until_served(&other).await;

    assert!(text.contains("suche") && !server.runs().is_empty());
}

#[tokio::test]
async fn a_daemon_without_a_configuration_answers_503_with_retry_after() {
    let store = FleetStore::start().await;
    let host = HostProcess::start(&store);
    host.until_ready(StatusCode::SERVICE_UNAVAILABLE).await;

    let answer = host.ask(Method::GET, "/browse/1", "r-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key(header::RETRY_AFTER));
}

#[tokio::test]
async fn an_unknown_route_is_answered_with_404() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;

    let answer = host.ask(Method::GET, "/nowhere/1", "r-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn an_acknowledged_departure_survives_a_restart_of_the_daemon() {
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
    // A report that was sent before the departure and arrives late.
    host.until_report_refused("i-1", host.status("ready", 1, 4))
        .await;
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.runs().len(), before);
}

#[tokio::test]
async fn a_departure_is_honoured_at_once_and_acknowledged_when_the_store_has_recorded_it() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (mut host, server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;
    store.standin.set_behaviour(LogBehaviour {
        outage: Outage::Silent,
        ..LogBehaviour::default()
    });

    let leaving = || host.report("i-1", "deregister", serde_json::json!({"born": 1}));
    let acknowledged = leaving().await;
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();
    store.standin.set_behaviour(LogBehaviour::default());
    until("the departure is acknowledged", leaving).await;
    let before = server.runs().len();
    host.kill();
    host.restart();
    host.until_report_refused("i-1", host.status("ready", 1, 4))
        .await;
    host.until_ready(StatusCode::OK).await;
    let later = host.ask(Method::GET, "/browse/1", "later").await.unwrap();

    assert!(!acknowledged);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(later.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.runs().len(), before);
}

/// How the daemon that has acknowledged a departure loses its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Restart {
    /// Its daemon alone, while the store stays silent.
    Alone,
    /// All daemons, and the store answers again afterwards.
    All,
}

/// Guards against the return of a departed server after a restart without the store: the only copies of the departure
/// are those of the other daemons, or nobody holds one until the store answers.
#[rstest]
#[case::alone(Restart::Alone)]
#[case::all(Restart::All)]
#[tokio::test]
async fn an_acknowledged_departure_survives_a_restart_while_the_store_is_silent(
    #[case] restart: Restart,
) {
    /// Longer than a daemon waits for the state of an earlier process.
    const LONG_SILENCE: Duration = Duration::from_millis(5_500);
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (mut host, server) = ready_host(&store, NO_DELAY).await;
    let mut other = HostProcess::start(&store);
    until_served(&host).await;
    until_served(&other).await;
    let leaving = || host.report("i-1", "deregister", serde_json::json!({"born": 1}));
    until("the departure is acknowledged", leaving).await;
    sleep(Duration::from_millis(100)).await;
    let silent = LogBehaviour {
        outage: Outage::Silent,
        ..LogBehaviour::default()
    };
    store.standin.set_behaviour(silent);

    host.kill();
    host.restart();
    if restart == Restart::All {
        other.kill();
        other.restart();
    }
    let before = server.runs().len();
    // Each report was sent before the departure and arrives late.
    let started = std::time::Instant::now();
    let mut sequence = 1;
    while started.elapsed() < LONG_SILENCE {
        sequence += 1;
        host.report("i-1", "heartbeat", host.status("ready", 1, sequence))
            .await;
        sleep(Duration::from_millis(300)).await;
    }
    if restart == Restart::All {
        store.standin.set_behaviour(LogBehaviour::default());
    }
    other.until_ready(StatusCode::OK).await;
    for number in 0..20 {
        let id = format!("late-{number}");
        host.report(
            "i-1",
            "heartbeat",
            host.status("ready", 1, sequence + number),
        )
        .await;
        for asked in [&host, &other] {
            asked.ask(Method::GET, "/browse/1", &id).await;
        }
        sleep(Duration::from_millis(100)).await;
    }

    let runs = server.runs();
    assert_eq!(runs.len(), before, "{:?}", &runs[before..]);
}

/// Guards against a departure that is the first report after a restart, with a report of before behind it.
#[tokio::test]
async fn a_departure_right_after_a_restart_holds_against_a_late_report() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (mut host, server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;
    let before = server.runs().len();

    host.kill();
    host.restart();
    until("the departure is acknowledged", || {
        host.report("i-1", "deregister", serde_json::json!({"born": 1}))
    })
    .await;
    host.until_report_refused("i-1", host.status("ready", 1, 20))
        .await;
    host.until_ready(StatusCode::OK).await;
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.runs().len(), before);
}

/// Entries that another writer left among those of the hosts: keys and values.
fn odd_entries(host: &HostProcess) -> Vec<(String, Vec<u8>)> {
    let address = host.address;
    let key = format!("host/{address}");
    let record = |epoch: u64, forward: &str| {
        serde_json::json!({
            "address": address, "epoch": epoch, "revision": 1, "data_centre": "z", "link_mbps": 1000,
            "forward": forward, "gossip": "127.0.0.1:1", "server": null, "is_leaving": false,
        })
        .to_string()
        .into_bytes()
    };
    let nested = "[".repeat(100_000).into_bytes();
    vec![
        (key.clone(), record(u64::MAX, "127.0.0.1:1")),
        (
            "host/127.9.9.9".to_string(),
            record(u64::MAX, "127.0.0.1:1"),
        ),
        ("host/127.9.9.8".to_string(), record(7, "127.0.0.1:99999")),
        ("host/127.9.9.7".to_string(), nested.clone()),
        ("host/127.9.9.6".to_string(), record(7, "127.0.0.1:1")),
        (
            "host/127.9.9.5".to_string(),
            br#"{"epoch": 1e400}"#.to_vec(),
        ),
        ("left/not an address".to_string(), nested.clone()),
        (format!("left/{address}"), br#"{"instance": 7}"#.to_vec()),
        ("host/".to_string(), vec![0, 1, 2, 0xff]),
        ("\u{e4} b&after=\u{fc}".to_string(), b"{}".to_vec()),
    ]
}

/// Guards against daemons that end, or stop following the store, because of an entry of another writer: deeply nested,
/// with a number too large, with a port out of range, or not readable at all.
#[tokio::test]
async fn odd_entries_of_another_writer_neither_end_a_daemon_nor_hide_the_others() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (mut host, server) = ready_host(&store, NO_DELAY).await;
    let other = HostProcess::start(&store);
    until_served(&other).await;

    for (key, value) in odd_entries(&host) {
        store.put("jayrack-hosts", &key, &value).await;
        store.put("op", &key, &value).await;
    }
    for record in [&b""[..], b"\xffshort", b"\x02\xff\xfe?"] {
        store.append("keyed.op", record).await;
        store.append("keyed.jayrack-hosts", record).await;
    }
    store
        .put("op", "config", &"[".repeat(100_000).into_bytes())
        .await;
    let second = configuration(2, 2.0).replace("/browse/", "/browse-2/");
    store.put_configuration(&second).await;
    until("the next configuration is in force", || async {
        let answer = other.ask(Method::GET, "/browse-2/1", "second").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    host.kill();
    host.restart();
    let before = server.runs().len();
    host.until_ready(StatusCode::OK).await;
    host.until_reported("i-1", host.status("ready", 1, 9)).await;
    until("the server is in use again", || async {
        let answer = other.ask(Method::GET, "/browse-2/1", "third").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;

    assert!(server.runs().len() > before);
    assert!(host.is_running() && other.is_running());
}

/// Guards against a report of another writer that makes the server's own ones outdated: a departure after it holds.
#[rstest]
#[case::lacks_fields(&["zone", "version"], None)]
#[case::of_another_service(&[], Some(("service", serde_json::json!("elsewhere"))))]
#[case::of_the_future(&[], Some(("born", serde_json::json!(u64::MAX))))]
#[case::of_a_higher_number(&[], None)]
#[tokio::test]
async fn a_server_drains_although_another_writer_has_reported_for_it(
    #[case] missing: &[&str],
    #[case] changed: Option<(&str, serde_json::Value)>,
) {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;
    let mut odd = host.status("ready", 1, 400_000);
    let fields = odd.as_object_mut().unwrap();
    missing.iter().for_each(|field| drop(fields.remove(*field)));
    if let Some((field, value)) = changed {
        fields.insert(field.to_string(), value);
    }
    host.report("i-1", "heartbeat", odd).await;

    let is_serving = host.ask(Method::GET, "/browse/1", "serves").await.unwrap();
    let draining = host.status("draining", 1, 6);
    let is_acknowledged = host.report("i-1", "heartbeat", draining).await;
    let before = server.runs().len();
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();

    assert_eq!(is_serving.status, StatusCode::OK);
    assert!(is_acknowledged);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.runs().len(), before);
}

/// Guards against a departure that is acknowledged and ignored, since the server has started again with an earlier time of
/// day.
#[tokio::test]
async fn a_server_that_states_an_earlier_start_is_told_the_truth_and_drains() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, server) = ready_host(&store, NO_DELAY).await;
    host.until_reported("i-1", host.status("ready", 9, 7)).await;
    until_served(&host).await;

    let first = host
        .report("i-1", "heartbeat", host.status("ready", 5, 1))
        .await;
    let mut sequence = 1;
    while !host
        .report("i-1", "heartbeat", host.status("ready", 5, sequence))
        .await
    {
        sequence += 1;
        sleep(REPORT_PAUSE).await;
    }
    until_served(&host).await;
    let drained = host.report("i-1", "heartbeat", host.status("draining", 5, sequence + 1));
    let is_acknowledged = drained.await;
    let before = server.runs().len();
    let answer = host.ask(Method::GET, "/browse/1", "late").await.unwrap();

    assert!(!first, "a report was acknowledged and not believed");
    assert!(is_acknowledged);
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(server.runs().len(), before);
}

/// Calls to the store are charged, and every host of a large fleet restarts during an upgrade.
#[tokio::test]
async fn a_restarted_daemon_does_not_register_again() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (mut host, _server) = ready_host(&store, NO_DELAY).await;
    let hosts_written = || {
        let counts = store.standin.counts();
        counts.appends_by_stream.get("keyed.jayrack-hosts").copied()
    };
    until("the host is registered", || async {
        hosts_written() == Some(1)
    })
    .await;

    host.kill();
    host.restart();
    host.until_ready(StatusCode::OK).await;
    host.until_reported("i-1", host.status("ready", 1, 9)).await;
    until_served(&host).await;

    assert_eq!(hosts_written(), Some(1));
}

#[tokio::test]
async fn a_daemon_that_starts_later_takes_the_configuration_from_another_one() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (_host, _server) = ready_host(&store, NO_DELAY).await;

    let later = HostProcess::start_with_output(store.standin.address(), DaemonOutput::Collected);
    later.until_ready(StatusCode::OK).await;

    until("the configuration comes from the other daemon", || async {
        let received = "configuration received from another daemon";
        later.lines_with("event", received).len() == 1
    })
    .await;
}

#[tokio::test]
async fn an_invalid_status_report_is_rejected_and_the_server_keeps_serving() {
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
async fn a_graceful_stop_completes_the_running_request() {
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
async fn invalid_configurations_are_refused_and_the_next_valid_one_takes_effect() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;

    store.put_configuration(&configuration(2, 2.0)[..200]).await;
    store.put_configuration(&configuration(3, -1.0)).await;
    let good = configuration(4, 2.0).replace("/browse/", "/look/");
    store.put_configuration(&good).await;
    until("the valid configuration is in force", || async {
        let answer = host.ask(Method::GET, "/look/1", "r-1").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    let dropped = host.ask(Method::GET, "/browse/1", "r-2").await.unwrap();

    assert_eq!(dropped.status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_request_is_answered_with_504_after_the_route_s_timeout_and_runs_once() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 0.3)).await;
    let (host, server) = ready_host(&store, Duration::from_secs(20)).await;

    let answer = host.ask(Method::POST, "/book/1", "b-1").await.unwrap();

    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(server.runs(), ["b-1"]);
}

/// Guards against full links: many daemons fetch each version of a large configuration over slow links.
#[tokio::test]
async fn a_daemon_sends_the_delta_from_a_version_that_it_had() {
    let (old, new) = (configuration(1, 2.0), configuration(2, 1.0));
    let store = FleetStore::start().await;
    store.put_configuration(&old).await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    let request = |base: u64| {
        let name = HeaderName::from_static;
        let mut fields = HeaderMap::new();
        fields.insert(
            name("jayrack-sync"),
            HeaderValue::from_static("configuration"),
        );
        fields.insert(name("jayrack-sync-base"), base.into());
        fields.insert(header::HOST, HeaderValue::from_static("daemon"));
        fields
    };
    let has_version = |version: u64| {
        let (host, request) = (&host, &request);
        move || async move {
            let answer = host.ask_as_daemon(request(version)).await;
            answer.is_some_and(|answer| answer.headers.contains_key("jayrack-sync-delta"))
        }
    };
    until("the first version is in force", has_version(1)).await;
    store.put_configuration(&new).await;
    until("the second version is in force", has_version(2)).await;

    let from_old = host.ask_as_daemon(request(1)).await.unwrap();
    let from_unknown = host.ask_as_daemon(request(7)).await.unwrap();

    let delta: TextDelta = serde_json::from_slice(&from_old.body).unwrap();
    assert_eq!(delta.apply(&old), Ok(new.clone()));
    assert!(!from_unknown.headers.contains_key("jayrack-sync-delta"));
    assert_eq!(from_unknown.body, new);
}

/// Guards against useless work: a request waits on a full link until its caller has given up.
#[tokio::test]
async fn a_request_that_arrives_after_its_deadline_does_not_run() {
    let store = FleetStore::start().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    let (host, server) = ready_host(&store, NO_DELAY).await;
    until_served(&host).await;
    let request = |id: &'static str, at_ms: u64| {
        let head = ForwardHead {
            route: "browse".to_string(),
            instance: "i-1".to_string(),
            urgency: Urgency { stage: 1, rank: 0 },
            target_left_ms: 500,
            time_left_ms: 600,
            is_idempotent: true,
            attempt: AttemptKind::First,
            is_same_data_centre: true,
            sent: SendTime { epoch: 3, at_ms },
            tenant_rank: None,
        };
        let mut fields = HeaderMap::new();
        head.encode(&mut fields);
        fields.insert(header::HOST, HeaderValue::from_static("a.example"));
        fields.insert(headers::REQUEST_ID, HeaderValue::from_static(id));
        fields
    };
    // The offset of the sender's clock is arbitrary; the second request was sent two seconds before the first.
    const SENT_MS: u64 = 5_000_000;

    let prompt = host.ask_as_daemon(request("prompt", SENT_MS)).await;
    let held_up = host
        .ask_as_daemon(request("held-up", SENT_MS - 2_000))
        .await;

    assert_eq!(prompt.unwrap().status, StatusCode::OK);
    let reply = held_up.unwrap().headers["jayrack-reply"]
        .to_str()
        .unwrap()
        .to_string();
    assert!(reply.starts_with("expired "), "{reply}");
    assert!(!server.runs().contains(&"held-up".to_string()));
}

#[test]
fn settings_with_a_missing_field_are_reported_in_one_line_with_exit_code_1() {
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
