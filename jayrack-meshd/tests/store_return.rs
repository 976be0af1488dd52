//! Daemon processes whose store comes back from a copy and has lost its latest records.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use jayrack_testkit::log_standin::LogCopy;
use rstest::rstest;
use support::{FleetStore, HostProcess, ServerStandin, configuration, until};
use tokio::time::sleep;

const NO_DELAY: Duration = Duration::ZERO;
/// Time for which a server that has left is watched: longer than a daemon waits for the state of an earlier process.
const WATCH_TIME: Duration = Duration::from_secs(6);
/// Interval between two late reports of a server that has left.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
const HOSTS_TOPIC: &str = "jayrack-hosts";

/// A configuration with a route that no other version has.
fn configuration_with_route(version: u64) -> String {
    let own_route = format!(r#""/look{version}/""#);
    configuration(version, 2.0).replace(r#""/browse/""#, &own_route)
}

/// A store that states its era.
async fn store_with_era() -> FleetStore {
    let store = FleetStore::start().await;
    store.standin.state_era();
    store
}

/// Waits until `version` is in force at `host`.
async fn until_in_force(host: &HostProcess, version: u64) {
    // Without a configuration, the answer is another one than 404, too.
    host.until_ready(StatusCode::OK).await;
    let path = format!("/look{version}/1");
    until("a version is in force", || async {
        let answer = host.ask(Method::GET, &path, "probe").await;
        answer.is_some_and(|answer| answer.status != StatusCode::NOT_FOUND)
    })
    .await;
}

/// A copy in which version 3 and `later` records of other keys follow version 1. The store is left with version 1.
async fn copy_with_version_3(store: &FleetStore, later: usize) -> LogCopy {
    store.put_configuration(&configuration_with_route(1)).await;
    let first = store.standin.copy();
    store.put_configuration(&configuration_with_route(3)).await;
    for number in 0..later {
        store.put("op", &format!("other/{number}"), b"{}").await;
    }
    let copy = store.standin.copy();
    store.standin.return_from(&first);
    copy
}

/// Guards against a configuration that is never in force since it lies at an offset that the reader has already read in
/// an earlier era of the store. The store of the later era ends where the reader goes on, or beyond.
#[rstest]
#[case::it_ends_where_the_reader_goes_on(0)]
#[case::it_ends_beyond(2)]
#[tokio::test]
async fn a_change_at_an_offset_that_was_given_out_again_comes_into_force(#[case] later: usize) {
    let store = store_with_era().await;
    let copy = copy_with_version_3(&store, later).await;
    let host = HostProcess::start(&store);
    until_in_force(&host, 1).await;
    store.put_configuration(&configuration_with_route(2)).await;
    until_in_force(&host, 2).await;

    store.standin.return_from(&copy);

    until_in_force(&host, 3).await;
}

/// Guards against a configuration that goes back to an older version because the store did.
#[tokio::test]
async fn a_configuration_that_the_store_has_lost_stays_in_force() {
    let store = store_with_era().await;
    store.put_configuration(&configuration_with_route(1)).await;
    let copy = store.standin.copy();
    let host = HostProcess::start(&store);
    until_in_force(&host, 1).await;
    store.put_configuration(&configuration_with_route(2)).await;
    until_in_force(&host, 2).await;

    store.standin.return_from(&copy);
    let reads = store.standin.counts().reads;
    // The reader lists the newest records and waits for later ones.
    until("the reader has read again", || async {
        store.standin.counts().reads >= reads + 3
    })
    .await;
    let answer = host.ask(Method::GET, "/look2/1", "late").await.unwrap();
    store.put_configuration(&configuration_with_route(2)).await;
    store.put_configuration(&configuration_with_route(4)).await;

    until_in_force(&host, 4).await;
    assert_ne!(answer.status, StatusCode::NOT_FOUND);
}

/// Starts a host and its server `i-1`; waits until a caller is served there.
async fn serving_host(store: &FleetStore) -> (HostProcess, ServerStandin) {
    let host = HostProcess::start(store);
    let server = ServerStandin::start(host.server(), "i-1", NO_DELAY).await;
    host.until_reported("i-1", host.status("ready", 1, 1)).await;
    host.until_ready(StatusCode::OK).await;
    until_served(&host).await;
    (host, server)
}

async fn until_served(host: &HostProcess) {
    until("a caller is served", || async {
        let answer = host.ask(Method::GET, "/browse/1", "warm").await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
}

/// A store that states its era and holds a configuration.
async fn configured_store() -> FleetStore {
    let store = store_with_era().await;
    store.put_configuration(&configuration(1, 2.0)).await;
    store
}

/// How a server says that it leaves.
#[derive(Debug, Clone, Copy)]
enum Departure {
    Draining,
    Deregistered,
}

/// Reports that the server `i-1` leaves until that is acknowledged.
async fn leave(host: &HostProcess, departure: Departure) {
    until("the departure is acknowledged", || async {
        let (call, body) = match departure {
            Departure::Draining => ("heartbeat", host.status("draining", 1, 2)),
            Departure::Deregistered => ("deregister", serde_json::json!({"born": 1})),
        };
        host.report("i-1", call, body).await
    })
    .await;
}

/// Sends reports of before the departure of `i-1`, which arrive late, and requests at all `hosts`.
async fn report_late(left: &HostProcess, hosts: &[&HostProcess]) {
    let started = std::time::Instant::now();
    for sequence in 3_u64.. {
        if started.elapsed() >= WATCH_TIME {
            return;
        }
        let status = left.status("ready", 1, sequence);
        left.report("i-1", "heartbeat", status).await;
        for host in hosts {
            host.ask(Method::GET, "/browse/1", "late").await;
        }
        sleep(REPORT_INTERVAL).await;
    }
}

/// Waits until the store holds the departure from `host`.
async fn until_departure_stored(store: &FleetStore, host: &HostProcess) {
    let key = format!("left/{}", host.address);
    until("the departure is in the store", || async {
        !store.values(HOSTS_TOPIC, &key).await.is_empty()
    })
    .await;
}

/// Guards against a server that is in use again after its departure was acknowledged: the store has lost the departure, and
/// the daemon that restarts then relies on the store alone.
#[rstest]
#[case::draining(Departure::Draining)]
#[case::deregistered(Departure::Deregistered)]
#[tokio::test]
async fn a_departure_that_the_store_has_lost_survives_a_restart(#[case] departure: Departure) {
    let store = configured_store().await;
    let (mut host, server) = serving_host(&store).await;
    let (other, _other_server) = serving_host(&store).await;
    let copy = store.standin.copy();
    leave(&host, departure).await;
    sleep(Duration::from_millis(100)).await;

    store.standin.return_from(&copy);
    host.kill();
    host.restart();
    host.until_ready(StatusCode::OK).await;
    let before = server.runs().len();
    report_late(&host, &[&host, &other]).await;

    assert_eq!(server.runs().len(), before);
}

/// Guards against a departure that is kept by the daemons alone, so that it ends with them. Of the hosts of a data centre,
/// only two read the store; the others learn of the return from these.
#[tokio::test]
async fn each_daemon_writes_the_departure_that_it_acknowledged_again() {
    let store = configured_store().await;
    let mut hosts = Vec::new();
    for _ in 0..4 {
        hosts.push(serving_host(&store).await);
    }
    let copy = store.standin.copy();
    for (host, _) in &hosts {
        leave(host, Departure::Deregistered).await;
    }

    store.standin.return_from(&copy);

    for (host, _) in &hosts {
        until_departure_stored(&store, host).await;
    }
    // Nobody is left to ask.
    for (host, _) in &mut hosts {
        host.kill();
    }
    let (host, server) = &mut hosts[0];
    let before = server.runs().len();
    host.restart();
    report_late(host, &[host]).await;
    assert_eq!(server.runs().len(), before);
}

/// Guards against a departure that is written once only, and against one that a later server at the address displaces.
#[tokio::test]
async fn a_departure_is_written_again_at_each_return_also_after_the_next_server_has_started() {
    let store = configured_store().await;
    let (host, _server) = serving_host(&store).await;
    let copy = store.standin.copy();
    leave(&host, Departure::Draining).await;
    host.until_reported("i-2", host.status("ready", 2, 1)).await;

    for _ in 0..2 {
        store.standin.return_from(&copy);
        until_departure_stored(&store, &host).await;
    }
}

/// Guards against a host that a daemon which starts later does not find in the store.
#[tokio::test]
async fn the_record_of_a_host_that_the_store_has_lost_is_written_again() {
    let store = configured_store().await;
    let copy = store.standin.copy();
    let (host, _server) = serving_host(&store).await;

    store.standin.return_from(&copy);

    let key = format!("host/{}", host.address);
    until("the host is in the store", || async {
        !store.values(HOSTS_TOPIC, &key).await.is_empty()
    })
    .await;
    let (other, _other_server) = serving_host(&store).await;
    leave(&other, Departure::Draining).await;
    until_served(&other).await;
}

/// Guards against a return that daemons take for several.
#[tokio::test]
async fn a_return_costs_each_daemon_one_write_of_its_record() {
    let store = configured_store().await;
    let (host, _server) = serving_host(&store).await;
    let key = format!("host/{}", host.address);
    sleep(Duration::from_secs(2)).await;
    let copy = store.standin.copy();
    let calm = store.values(HOSTS_TOPIC, &key).await.len();

    store.standin.return_from(&copy);
    until("the host has written its record again", || async {
        store.values(HOSTS_TOPIC, &key).await.len() > calm
    })
    .await;
    sleep(Duration::from_secs(2)).await;

    assert_eq!(store.values(HOSTS_TOPIC, &key).await.len(), calm + 1);
}

/// Guards against a new host that waits in vain for the state of an earlier process.
#[tokio::test]
async fn a_new_host_of_a_store_with_eras_gets_requests() {
    let store = configured_store().await;
    let mut hosts = Vec::new();
    for _ in 0..3 {
        hosts.push(serving_host(&store).await);
    }
    for (host, _) in &hosts {
        leave(host, Departure::Draining).await;
    }

    let (newcomer, server) = serving_host(&store).await;

    until_served(&hosts[0].0).await;
    assert!(!server.runs().is_empty() && newcomer.is_running());
}
