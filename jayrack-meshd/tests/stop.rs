//! Planned stops and pauses of the daemon under load, on real processes.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use std::{net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use jayrack_platform::headers;
use rstest::rstest;
use support::{FleetStore, HostProcess, ServerStandin, configuration, until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Time for which the server runs a request.
const RUN_TIME: Duration = Duration::from_millis(1_200);
/// Number of slots that the server reports.
const SLOTS: usize = 4;
/// Time limit of the routes, in seconds.
const TIMEOUT_S: f64 = 4.0;
/// Time limit of the routes where requests last longer than a stop, in seconds.
const LONG_TIMEOUT_S: f64 = 15.0;
/// Parts of a body that arrives until shortly before the end of a stop, their size in bytes, and the time between two.
const SLOW_PARTS: usize = 9;
const SLOW_PART_BYTES: usize = 6 << 10;
const SLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Time between requests that arrive during a stop.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

async fn running_host(store: &FleetStore) -> (HostProcess, ServerStandin) {
    running_host_with(store, TIMEOUT_S, RUN_TIME).await
}

async fn running_host_with(
    store: &FleetStore,
    timeout_s: f64,
    run_time: Duration,
) -> (HostProcess, ServerStandin) {
    store.put_configuration(&configuration(1, timeout_s)).await;
    let host = HostProcess::start(store);
    let server = ServerStandin::start(host.server(), "i-1", run_time).await;
    host.until_reported("i-1", host.status("ready", 1, 1)).await;
    host.until_ready(StatusCode::OK).await;
    until("a caller is answered", || async {
        let answer = host.ask(Method::GET, "/browse/1", "warm").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    (host, server)
}

/// A host without a server, which forwards to the one of another host.
async fn ingress_host(store: &FleetStore) -> HostProcess {
    let ingress = HostProcess::start(store);
    until("the other host forwards", || async {
        let answer = ingress.ask(Method::GET, "/browse/1", "warm").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    ingress
}

fn request(id: &str, body_bytes: usize) -> String {
    request_within(id, body_bytes, TIMEOUT_S)
}

fn request_within(id: &str, body_bytes: usize, time_left_s: f64) -> String {
    let time_left_ms = time_left_s * 1_000.0;
    let (echo, deadline) = (headers::REQUEST_ID, headers::TIME_LEFT_MS);
    format!(
        "POST /book/1 HTTP/1.1\r\nhost: a.example\r\n{echo}: {id}\r\n{deadline}: {time_left_ms:.0}\r\ncontent-length: {body_bytes}\r\n\r\n"
    )
}

/// Status lines of all answers on `stream` until its end; each answer of the server carries the body `whole`.
async fn statuses(stream: &mut TcpStream) -> Vec<String> {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    let lines = text.split("HTTP/1.1 ").skip(1);
    lines
        .map(|answer| answer.chars().take(3).collect())
        .collect()
}

async fn connect(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

async fn until_running(server: &ServerStandin, id: &str) {
    until("the request runs", || async {
        server.runs().contains(&id.to_string())
    })
    .await;
}

/// Guards against answers that are cut off by an operator's second signal.
#[tokio::test]
async fn a_second_signal_does_not_cut_a_running_request() {
    let store = FleetStore::start().await;
    let (mut host, server) = running_host(&store).await;
    let callers = host.callers();
    let asking = tokio::spawn(async move {
        let mut stream = connect(callers).await;
        stream
            .write_all(request("b-1", 0).as_bytes())
            .await
            .unwrap();
        statuses(&mut stream).await
    });
    until_running(&server, "b-1").await;

    host.terminate();
    sleep(Duration::from_millis(200)).await;
    host.terminate();

    assert_eq!(asking.await.unwrap(), ["200"]);
    assert_eq!(host.exit_code().await, Some(0));
}

/// Guards against requests whose body is still arriving when the signal comes: they are answered, at the latest with the
/// promise that they have not run.
#[rstest]
#[case::while_callers_leave(Duration::from_millis(500))]
#[case::after_callers_have_left(Duration::from_millis(2_700))]
#[tokio::test]
async fn a_request_that_is_half_read_at_a_stop_is_answered(#[case] rest_after: Duration) {
    let store = FleetStore::start().await;
    let (mut host, server) = running_host(&store).await;
    let mut stream = connect(host.callers()).await;
    let head = request("b-1", 8);
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(b"half").await.unwrap();
    sleep(Duration::from_millis(100)).await;

    host.terminate();
    sleep(rest_after).await;
    stream.write_all(b"rest").await.unwrap();
    let answered = statuses(&mut stream).await;

    let is_run = server.runs().contains(&"b-1".to_string());
    assert_eq!(answered, [if is_run { "200" } else { "503" }]);
    assert_eq!(host.exit_code().await, Some(0));
}

/// Guards against a request whose body ends shortly before the end of the process: it was passed on to its server and cut
/// off without an answer.
#[tokio::test]
async fn a_request_whose_body_ends_late_in_a_stop_is_not_cut_off() {
    let store = FleetStore::start().await;
    let (owner, server) = running_host_with(&store, LONG_TIMEOUT_S, RUN_TIME).await;
    owner.keep_reporting();
    let mut host = ingress_host(&store).await;
    let mut stream = connect(host.callers()).await;
    let head = request_within("b-1", SLOW_PARTS * SLOW_PART_BYTES, LONG_TIMEOUT_S);
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(REQUEST_INTERVAL).await;

    host.terminate();
    for _ in 0..SLOW_PARTS {
        sleep(SLOW_INTERVAL).await;
        stream.write_all(&[b'x'; SLOW_PART_BYTES]).await.unwrap();
    }
    let answered = statuses(&mut stream).await;

    assert_eq!(answered, ["503"]);
    assert!(!server.runs().contains(&"b-1".to_string()));
    assert_eq!(host.exit_code().await, Some(0));
}

/// Guards against a stop that accepts requests until its end when the platform gives it little time.
#[tokio::test]
async fn requests_during_a_short_stop_are_answered() {
    let store = FleetStore::start().await;
    let run_time = Duration::from_millis(600);
    let (_owner, server) = running_host_with(&store, TIMEOUT_S, run_time).await;
    let mut host = ingress_host(&store).await;
    host.change_settings("\"stop_s\": 6", "\"stop_s\": 2");
    host.request_settings_reload();
    sleep(Duration::from_millis(200)).await;

    host.terminate();
    let callers = host.callers();
    let asking = (0..11).map(|number| {
        tokio::spawn(async move {
            sleep(REQUEST_INTERVAL * number).await;
            let mut stream = TcpStream::connect(callers).await.ok()?;
            let text = request(&format!("b-{number}"), 0);
            stream.write_all(text.as_bytes()).await.ok()?;
            Some(statuses(&mut stream).await)
        })
    });
    let mut answers = Vec::new();
    for asked in asking.collect::<Vec<_>>() {
        answers.extend(asked.await.unwrap());
    }

    let is_answered = |statuses: &Vec<String>| statuses == &["200"] || statuses == &["503"];
    assert!(answers.iter().all(is_answered), "{answers:?}");
    let succeeded = answers.iter().filter(|statuses| statuses[0] == "200");
    let runs = server.runs();
    let ran = runs.iter().filter(|id| id.starts_with("b-"));
    assert_eq!(succeeded.count(), ran.count(), "{answers:?}, {runs:?}");
    assert_eq!(host.exit_code().await, Some(0));
}

/// Guards against connections that end without any answer at the end of a stop.
#[tokio::test]
async fn a_request_without_an_answer_at_the_end_of_a_stop_is_told_so() {
    let store = FleetStore::start().await;
    let (mut host, server) = running_host_with(&store, LONG_TIMEOUT_S, RUN_TIME).await;
    server.set_delay(Duration::from_secs(30));
    let mut stream = connect(host.callers()).await;
    let text = request_within("b-1", 0, LONG_TIMEOUT_S);
    stream.write_all(text.as_bytes()).await.unwrap();
    until_running(&server, "b-1").await;

    host.terminate();
    let answered = statuses(&mut stream).await;

    assert_eq!(answered, ["502"]);
    assert_eq!(host.exit_code().await, Some(0));
}

/// Guards against a request behind another one on the same connection that runs without an answer after the signal.
#[tokio::test]
async fn pipelined_requests_are_answered_or_do_not_run_at_a_stop() {
    let store = FleetStore::start().await;
    let (mut host, server) = running_host(&store).await;
    let mut stream = connect(host.callers()).await;
    let ids = ["b-1", "b-2", "b-3"];
    let requests = ids.map(|id| request(id, 0)).concat();
    stream.write_all(requests.as_bytes()).await.unwrap();
    until_running(&server, "b-1").await;

    host.terminate();
    let answered = statuses(&mut stream).await;

    let runs = server.runs();
    let ran = ids.iter().filter(|id| runs.contains(&id.to_string()));
    let succeeded = answered.iter().filter(|status| *status == "200");
    assert!(!answered.is_empty());
    assert_eq!(
        succeeded.count(),
        ran.count(),
        "{answered:?}, ran: {runs:?}"
    );
    assert_eq!(host.exit_code().await, Some(0));
}

/// Guards against a paused daemon that acts on a permission which ran out meanwhile: a request that waited for a slot does
/// not run after its caller's deadline.
#[tokio::test]
async fn a_request_that_expired_while_the_daemon_was_paused_does_not_run() {
    let store = FleetStore::start().await;
    let (host, server) = running_host(&store).await;
    let callers = host.callers();
    let ask = |id: String| {
        tokio::spawn(async move {
            let mut stream = connect(callers).await;
            let text = request(&id, 0).replace(": 4000", ": 1500");
            stream.write_all(text.as_bytes()).await.unwrap();
            let mut answer = [0; 12];
            stream.read_exact(&mut answer).await.unwrap();
            String::from_utf8(answer.to_vec()).unwrap()
        })
    };
    let running: Vec<_> = (0..SLOTS)
        .map(|number| ask(format!("r-{number}")))
        .collect();
    until("all slots are taken", || async {
        let runs = server.runs();
        runs.iter().filter(|id| id.starts_with("r-")).count() == SLOTS
    })
    .await;
    let waiting = ask("waits".to_string());
    sleep(Duration::from_millis(100)).await;

    host.suspend();
    sleep(Duration::from_millis(2_500)).await;
    host.resume();
    let answer = waiting.await.unwrap();

    let is_run = server.runs().contains(&"waits".to_string());
    assert!(
        !is_run,
        "it ran after its deadline and was answered {answer}"
    );
    assert_eq!(answer, "HTTP/1.1 503");
    for asked in running {
        asked.await.unwrap();
    }
}

/// Guards against a paused daemon that relies on what it knew before: a server that left meanwhile gets no request of it.
#[tokio::test]
async fn a_daemon_that_was_paused_sends_nothing_to_a_server_that_has_left() {
    let store = FleetStore::start().await;
    let (owner, server) = running_host(&store).await;
    let ingress = ingress_host(&store).await;

    ingress.suspend();
    let asking = ingress.ask(Method::GET, "/browse/1", "late");
    let leaving = async {
        let departure = || owner.report("i-1", "deregister", serde_json::json!({"born": 1}));
        until("the departure is acknowledged", departure).await;
        ingress.resume();
    };
    let (answer, ()) = tokio::join!(asking, leaving);

    assert_eq!(answer.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!server.runs().contains(&"late".to_string()));
}
