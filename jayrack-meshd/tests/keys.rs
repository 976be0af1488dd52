//! API keys of tenants at daemon processes.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use std::time::Duration;

use hyper::{
    HeaderMap, Method, StatusCode,
    header::{self, HeaderValue},
};
use jayrack_meshd::logging;
use jayrack_platform::headers;
use jayrack_testkit::log_standin::{LogBehaviour, Outage};
use rstest::rstest;
use serde_json::{Value, json};
use support::{CompleteAnswer, DaemonOutput, FleetStore, HostProcess, ServerStandin, until};
use tokio::time::sleep;

const NO_DELAY: Duration = Duration::ZERO;
/// Time for which a server runs a request whose nested calls are tested.
const LONG_DELAY: Duration = Duration::from_millis(1_500);
/// Bound of the tests: short, but several times the interval between two reads.
const REVOKE_TIME: Duration = Duration::from_secs(2);
const CODE: &str = "jayrack-code";

/// A configuration in which `/browse/` is public and `/book/` needs a key of `tenants`.
fn configuration(version: u64, tenants: Value) -> String {
    let text = support::configuration(version, 4.0);
    let mut body: Value = serde_json::from_str(&text).unwrap();
    body["virtual_hosts"][0]["paths"][1]["public"] = json!(true);
    body["tenants"] = tenants;
    body.to_string()
}

fn both_keys() -> Value {
    json!([{"name": "north", "api_keys": ["key-n"], "priority": 3}, {"name": "south", "api_keys": ["key-s"]}])
}

/// As [`both_keys`] without the key of `north`.
fn one_key() -> Value {
    json!([{"name": "north", "api_keys": []}, {"name": "south", "api_keys": ["key-s"]}])
}

/// Starts a host whose server answers after `delay`; waits until both are ready.
async fn ready_host(store: &FleetStore, delay: Duration) -> (HostProcess, ServerStandin) {
    let host = HostProcess::start_with_output(store.standin.address(), DaemonOutput::Collected);
    let server = ServerStandin::start(host.server(), "i-1", delay).await;
    host.until_reported("i-1", host.status("ready", 1, 1)).await;
    host.keep_reporting();
    host.until_ready(StatusCode::OK).await;
    until("a caller is answered", || async {
        let answer = host.ask(Method::GET, "/browse/1", "warm").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    (host, server)
}

/// Bounds the age of the daemon's knowledge of keys.
fn set_revoke_time(host: &HostProcess) {
    let seconds = REVOKE_TIME.as_secs();
    host.change_settings(
        r#""repeat_window_s": 10"#,
        &format!(r#""repeat_window_s": 10, "revoke_s": {seconds}"#),
    );
    host.request_settings_reload();
}

fn with_key(key: &str) -> HeaderMap {
    let value = HeaderValue::from_str(&format!("Bearer {key}")).unwrap();
    HeaderMap::from_iter([(header::AUTHORIZATION, value)])
}

async fn book(host: &HostProcess, id: &str, fields: HeaderMap) -> CompleteAnswer {
    let answer = host.ask_with(Method::POST, "/book/1", id, fields).await;
    answer.unwrap()
}

async fn until_key_answered(host: &HostProcess, key: &str, expected: StatusCode) {
    until("requests with a key are answered as expected", || async {
        let asking = host.ask_with(Method::POST, "/book/1", "probe", with_key(key));
        asking.await.is_some_and(|answer| answer.status == expected)
    })
    .await;
}

/// Headers that the server received with the request `id`.
fn fields_at(server: &ServerStandin, id: &str) -> HeaderMap {
    let runs = server.server_runs();
    let run = runs.into_iter().find(|run| run.id == id);
    run.expect("the server ran the request").fields
}

#[rstest]
#[case::server_beside_the_daemon(false)]
#[case::server_of_another_host(true)]
#[tokio::test]
async fn a_server_receives_the_name_of_the_tenant_in_place_of_the_key(#[case] is_remote: bool) {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (owner, server) = ready_host(&store, NO_DELAY).await;
    let other = HostProcess::start(&store);
    other.until_ready(StatusCode::OK).await;
    until_key_answered(&other, "key-n", StatusCode::OK).await;
    let ingress = if is_remote { &other } else { &owner };
    let mut fields = with_key("key-n");
    fields.insert(headers::TENANT, HeaderValue::from_static("south"));
    // A caller may name headers that are to be removed.
    let name = HeaderValue::from_str(headers::TENANT.as_str()).unwrap();
    fields.insert(header::CONNECTION, name);

    let answer = book(ingress, "b-1", fields).await;

    assert_eq!(answer.status, StatusCode::OK);
    let received = fields_at(&server, "b-1");
    let names: Vec<_> = received.get_all(headers::TENANT).iter().collect();
    assert_eq!(names, ["north"]);
    assert!(!received.contains_key(header::AUTHORIZATION));
    let is_internal = |name: &&header::HeaderName| name.as_str().starts_with("jayrack-");
    assert_eq!(received.keys().find(is_internal), None);
}

#[tokio::test]
async fn a_request_without_a_valid_key_is_answered_401_and_does_not_run() {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (host, server) = ready_host(&store, NO_DELAY).await;

    let missing = book(&host, "missing", HeaderMap::new()).await;
    let unknown = book(&host, "unknown", with_key("KEY-N")).await;
    let spoofed = HeaderMap::from_iter([(headers::TENANT, HeaderValue::from_static("north"))]);
    let public = host.ask_with(Method::GET, "/browse/1", "public", spoofed);
    let public = public.await.unwrap();

    assert_eq!(
        [missing.status, unknown.status],
        [StatusCode::UNAUTHORIZED; 2]
    );
    assert_eq!(missing.headers[CODE], "516");
    assert_eq!(missing.headers[header::WWW_AUTHENTICATE], "Bearer");
    assert_eq!(public.status, StatusCode::OK);
    assert!(!fields_at(&server, "public").contains_key(headers::TENANT));
    let runs = server.runs();
    assert!(!runs.iter().any(|id| id == "missing" || id == "unknown"));
}

#[tokio::test]
async fn a_key_that_a_new_version_removes_is_refused_and_the_others_are_served() {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    let before = book(&host, "before", with_key("key-n")).await;

    store.put_configuration(&configuration(2, one_key())).await;
    until_key_answered(&host, "key-n", StatusCode::UNAUTHORIZED).await;
    let other = book(&host, "other", with_key("key-s")).await;

    assert_eq!([before.status, other.status], [StatusCode::OK; 2]);
}

/// Guards against nested calls that are refused for lack of a key, against callers that use their form, and against
/// nested calls that lose the rank of the tenant on the way over another host.
#[tokio::test]
async fn a_nested_call_needs_no_key_while_its_parent_runs_and_has_the_rank_of_its_tenant() {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (owner, server) = ready_host(&store, LONG_DELAY).await;
    let ingress = HostProcess::start(&store);
    ingress.until_ready(StatusCode::OK).await;
    until_key_answered(&ingress, "key-s", StatusCode::OK).await;
    // Lines with the urgency are written for a part of the requests only.
    let mut ids = (0..).map(|number| format!("p-{number}"));
    let id = ids.find(|id| logging::is_sampled(id)).unwrap();
    let [nested_id, late_id] = [format!("{id}.1"), format!("{id}.2")];
    let parent = book(&ingress, &id, with_key("key-n"));
    let nested = async {
        until("the parent runs", || async { server.runs().contains(&id) }).await;
        book(&owner, &nested_id, HeaderMap::new()).await
    };

    let (parent, nested) = tokio::join!(parent, nested);
    let late = book(&owner, &late_id, HeaderMap::new()).await;

    assert_eq!([parent.status, nested.status], [StatusCode::OK; 2]);
    assert!(!fields_at(&server, &nested_id).contains_key(headers::TENANT));
    let lines = owner.lines(&nested_id);
    let received = lines.iter().find(|line| line["event"] == "received");
    assert_eq!(
        received.unwrap()["urgency"],
        "Urgency { stage: 0, rank: 3 }"
    );
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(late.headers[CODE], "518");
    assert!(late.headers.contains_key(header::RETRY_AFTER));
}

/// Where the parent of a request runs whose identifier has the form of a nested call.
#[derive(Debug, Clone, Copy)]
enum ParentPlace {
    Here,
    Elsewhere,
    Ended,
}

/// Guards against clients that extend the identifier of a running request, upon which their key was not looked at: an
/// unknown one ran, and a known one ran without its tenant's name.
#[rstest]
#[case::unknown_key("key-x", StatusCode::UNAUTHORIZED, None)]
#[case::key_of_another_tenant("key-s", StatusCode::OK, Some("south"))]
#[case::same_key("key-n", StatusCode::OK, Some("north"))]
#[case::revoked_key("key-r", StatusCode::UNAUTHORIZED, None)]
#[tokio::test]
async fn a_request_with_a_key_is_no_nested_call(
    #[case] key: &str,
    #[case] expected: StatusCode,
    #[case] tenant: Option<&str>,
    #[values(ParentPlace::Here, ParentPlace::Elsewhere, ParentPlace::Ended)] place: ParentPlace,
) {
    let store = FleetStore::start().await;
    let mut with_revoked = both_keys();
    with_revoked[0]["api_keys"] = json!(["key-n", "key-r"]);
    store
        .put_configuration(&configuration(1, with_revoked))
        .await;
    let (host, server) = ready_host(&store, NO_DELAY).await;
    let other = HostProcess::start(&store);
    other.until_ready(StatusCode::OK).await;
    until_key_answered(&other, "key-r", StatusCode::OK).await;
    store
        .put_configuration(&configuration(2, both_keys()))
        .await;
    until_key_answered(&host, "key-r", StatusCode::UNAUTHORIZED).await;
    until_key_answered(&other, "key-r", StatusCode::UNAUTHORIZED).await;
    server.set_delay(LONG_DELAY);
    let asked = match place {
        ParentPlace::Here | ParentPlace::Ended => &host,
        ParentPlace::Elsewhere => &other,
    };

    let parent = book(&host, "parent", with_key("key-n"));
    let extended = async {
        let is_running = || async { server.runs().contains(&"parent".to_string()) };
        until("the parent runs", is_running).await;
        if matches!(place, ParentPlace::Ended) {
            sleep(LONG_DELAY).await;
        }
        book(asked, "parent.1", with_key(key)).await
    };
    let (parent, extended) = tokio::join!(parent, extended);

    assert_eq!([parent.status, extended.status], [StatusCode::OK, expected]);
    let run = server
        .server_runs()
        .into_iter()
        .find(|run| run.id == "parent.1");
    let received = run.and_then(|run| run.fields.get(headers::TENANT).cloned());
    assert_eq!(
        received.as_ref().map(HeaderValue::as_bytes),
        tenant.map(str::as_bytes)
    );
}

/// Guards against requests that are refused because of the form that their client chose for their identifier.
#[tokio::test]
async fn a_client_may_choose_the_form_of_a_nested_call_on_a_public_route() {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (host, server) = ready_host(&store, NO_DELAY).await;

    let answer = host.ask(Method::GET, "/browse/1", "nobody.1").await;

    assert_eq!(answer.unwrap().status, StatusCode::OK);
    assert!(!fields_at(&server, "nobody.1").contains_key(headers::TENANT));
}

#[rstest]
#[case::refuses(Outage::Refuse)]
#[case::is_silent(Outage::Silent)]
#[tokio::test]
async fn without_the_store_keys_are_refused_after_the_bound_and_public_routes_are_served(
    #[case] outage: Outage,
) {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    set_revoke_time(&host);
    until_key_answered(&host, "key-n", StatusCode::OK).await;

    store.standin.set_behaviour(LogBehaviour {
        outage,
        ..LogBehaviour::default()
    });
    until_key_answered(&host, "key-n", StatusCode::SERVICE_UNAVAILABLE).await;
    let stale = book(&host, "stale", with_key("key-n")).await;
    let missing = book(&host, "missing", HeaderMap::new()).await;
    let public = host.ask(Method::GET, "/browse/1", "public").await.unwrap();
    store.standin.set_behaviour(LogBehaviour::default());
    until_key_answered(&host, "key-n", StatusCode::OK).await;

    assert_eq!(stale.headers[CODE], "517");
    assert!(stale.headers.contains_key(header::RETRY_AFTER));
    assert_eq!(missing.status, StatusCode::UNAUTHORIZED);
    assert_eq!(public.status, StatusCode::OK);
    let event = "knowledge of the API keys is recent again";
    until("the change is logged", || async {
        !host.lines_with("event", event).is_empty()
    })
    .await;
}

/// Guards against hosts that refuse keys although the others know that the keys are valid, and against hosts that serve
/// them although nobody knows that any more.
#[tokio::test]
async fn a_host_that_does_not_reach_the_store_relies_on_the_knowledge_of_the_others() {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (reader, _server) = ready_host(&store, NO_DELAY).await;
    set_revoke_time(&reader);
    let mut isolated = HostProcess::start(&store);
    isolated.until_ready(StatusCode::OK).await;
    set_revoke_time(&isolated);
    isolated.kill();
    isolated.change_settings(&store.standin.address().to_string(), "127.0.0.1:1");

    isolated.restart();
    until_key_answered(&isolated, "key-n", StatusCode::OK).await;
    store.put_configuration(&configuration(2, one_key())).await;
    until_key_answered(&isolated, "key-n", StatusCode::UNAUTHORIZED).await;
    let other = book(&isolated, "other", with_key("key-s")).await;
    store.standin.set_behaviour(LogBehaviour {
        outage: Outage::Refuse,
        ..LogBehaviour::default()
    });
    until_key_answered(&isolated, "key-s", StatusCode::SERVICE_UNAVAILABLE).await;

    assert_eq!(other.status, StatusCode::OK);
}

/// Guards against a daemon that serves from what it knew before it was suspended.
#[rstest]
#[case::store_reachable(Outage::None)]
#[case::store_lost(Outage::Silent)]
#[tokio::test]
async fn a_suspended_daemon_serves_no_key_that_was_removed_meanwhile(#[case] outage: Outage) {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (host, server) = ready_host(&store, NO_DELAY).await;
    set_revoke_time(&host);
    until_key_answered(&host, "key-n", StatusCode::OK).await;

    host.suspend();
    store.put_configuration(&configuration(2, one_key())).await;
    sleep(REVOKE_TIME + Duration::from_millis(100)).await;
    store.standin.set_behaviour(LogBehaviour {
        outage,
        ..LogBehaviour::default()
    });
    let resuming = async {
        sleep(Duration::from_millis(100)).await;
        host.resume();
    };
    // The request waits at the suspended daemon.
    let (answer, ()) = tokio::join!(book(&host, "late", with_key("key-n")), resuming);

    assert!(
        [StatusCode::UNAUTHORIZED, StatusCode::SERVICE_UNAVAILABLE].contains(&answer.status),
        "{answer:?}"
    );
    assert!(!server.runs().iter().any(|id| id == "late"));
}

/// Guards against keys in the log, whatever becomes of the requests and the configurations.
#[tokio::test]
async fn keys_do_not_appear_in_the_log() {
    let store = FleetStore::start().await;
    store
        .put_configuration(&configuration(1, both_keys()))
        .await;
    let (host, _server) = ready_host(&store, NO_DELAY).await;
    book(&host, "good", with_key("key-n")).await;
    book(&host, "unknown", with_key("key-n2")).await;
    let shared =
        json!([{"name": "a", "api_keys": ["key-x"]}, {"name": "b", "api_keys": ["key-x"]}]);
    let malformed = json!([{"name": "a", "api_keys": "key-y"}]);
    for (tenants, refusals) in [(shared, 1), (malformed, 2)] {
        store.put_configuration(&configuration(2, tenants)).await;
        until("the configuration is refused", || async {
            host.lines_with("event", "configuration refused").len() == refusals
        })
        .await;
    }
    store.put_configuration(&configuration(4, one_key())).await;
    until_key_answered(&host, "key-n", StatusCode::UNAUTHORIZED).await;

    let text = host.output();

    assert!(!text.contains("key-"), "{text}");
}
