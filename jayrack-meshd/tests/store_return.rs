//! Daemon processes whose store comes back from a copy and has lost its latest records.
// Each test program uses only some items of the support module.
#[allow(dead_code)]
mod support;

use hyper::{Method, StatusCode};
use jayrack_testkit::log_standin::LogCopy;
use rstest::rstest;
use support::{FleetStore, HostProcess, configuration, until};

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
