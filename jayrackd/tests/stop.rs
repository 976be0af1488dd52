//! Daemons that close, backend servers that drain, and daemons that are not ready.
mod support;

use std::{sync::Arc, time::Duration};

use jayrack_config::table::RouteTable;
use support::{
    backend::{HOLD_HEADER, MARK_HEADER, SLEEP_HEADER},
    block_on, caller,
    fleet::{Pair, Setup, local_server, publish, server_entry, start_pair},
    relay::Relay,
    wait_until,
};

async fn held_call(pair: &Pair) -> tokio::task::JoinHandle<caller::CallerResponse> {
    let request = caller::post("/confirm")
        .header(MARK_HEADER, "held")
        .header(HOLD_HEADER, "1");
    let calling = tokio::spawn(caller::call(pair.ingress.callers(), request, "slot 7"));
    wait_until("dispatch", || pair.backend.seen("held").started == 1).await;
    calling
}

#[test]
fn closing_the_ingress_completes_requests_in_flight() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let calling = held_call(&pair).await;

        let callers = pair.ingress.callers();
        pair.ingress.handle.drain();
        let refused = caller::call(callers, caller::post("/confirm"), "").await;
        let closing = tokio::spawn(pair.ingress.handle.close());
        pair.backend.release();
        let response = calling.await.unwrap();
        closing.await.unwrap();

        assert_eq!((refused.status, refused.code), (503, 504));
        assert_eq!(refused.outcome, "not-run");
        assert_eq!((response.code, &response.body[..]), (0, &b"slot 7"[..]));
        assert!(tokio::net::TcpStream::connect(callers).await.is_err());
    });
}

#[test]
fn closing_the_owner_completes_requests_in_flight() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let calling = held_call(&pair).await;

        pair.owner.handle.drain();
        let refused = caller::call(pair.ingress.callers(), caller::post("/confirm"), "").await;
        let closing = tokio::spawn(pair.owner.handle.close());
        pair.backend.release();
        let response = calling.await.unwrap();
        closing.await.unwrap();

        assert_eq!(refused.outcome, "not-run");
        assert_eq!((response.code, &response.body[..]), (0, &b"slot 7"[..]));
    });
}

#[test]
fn closing_the_owner_waits_until_its_answer_has_arrived() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let relay = Relay::start(pair.owner.handle.forward_address()).await;
        let entry = server_entry("s1", &pair.owner, relay.address);
        publish(&[&pair.ingress, &pair.owner], &[entry]);
        let calling = held_call(&pair).await;

        relay.set_drop_answers(true);
        let closing = tokio::spawn(pair.owner.handle.close());
        pair.backend.release();
        wait_until("answer", || pair.backend.seen("held").completed == 1).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        relay.set_drop_answers(false);
        let response = calling.await.unwrap();
        closing.await.unwrap();

        assert_eq!((response.code, &response.body[..]), (0, &b"slot 7"[..]));
    });
}

#[test]
fn closing_under_load_cuts_no_answer() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let mut calls = tokio::task::JoinSet::new();
        for number in 0..100 {
            let address = pair.ingress.callers();
            calls.spawn(async move {
                let mark = format!("m{number}");
                let request = caller::post("/confirm")
                    .header(MARK_HEADER, mark.as_str())
                    .header(SLEEP_HEADER, number % 17);
                (mark, caller::try_call(address, request, "slot").await)
            });
        }

        wait_until("load", || pair.backend.started() > 20).await;
        pair.owner.handle.close().await;
        let results = calls.join_all().await;

        for (mark, response) in results {
            let response = response.expect("no answer is cut");
            let is_run = pair.backend.seen(&mark).started == 1;
            assert_eq!(response.outcome, if is_run { "done" } else { "not-run" });
        }
    });
}

#[test]
fn draining_server_gets_no_new_request_and_completes_running_ones() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let calling = held_call(&pair).await;
        let mut server = local_server("s1", pair.backend.address);
        server.draining = true;

        pair.owner.shared.servers.store(Arc::new(vec![server]));
        let refused = caller::call(pair.ingress.callers(), caller::post("/confirm"), "").await;
        pair.backend.release();
        let response = calling.await.unwrap();

        assert_eq!((refused.status, refused.code), (503, 504));
        assert_eq!(refused.outcome, "not-run");
        assert_eq!(response.code, 0);
        assert_eq!(pair.backend.started(), 1);
    });
}

#[test]
fn draining_server_refuses_queued_requests() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let mut server = local_server("s1", pair.backend.address);
        server.slots = 1;
        pair.owner
            .shared
            .servers
            .store(Arc::new(vec![server.clone()]));
        let calling = held_call(&pair).await;
        let request = caller::post("/confirm").header(MARK_HEADER, "waits");
        let waiting = tokio::spawn(caller::call(pair.ingress.callers(), request, ""));
        wait_until("queue", || pair.owner.handle.gauges().queued == 1).await;

        server.draining = true;
        pair.owner.shared.servers.store(Arc::new(vec![server]));
        let refused = waiting.await.unwrap();

        assert_eq!((refused.code, refused.outcome.as_str()), (504, "not-run"));
        assert_eq!(pair.backend.seen("waits").started, 0);
        pair.backend.release();
        assert_eq!(calling.await.unwrap().code, 0);
    });
}

#[test]
fn daemon_that_is_not_ready_refuses_requests() {
    block_on(async {
        let authority = support::certificates::Authority::new();
        let tls = authority.tls_options(&[]);
        let daemon = support::fleet::Daemon::start("a", tls, &Setup::default()).await;

        let response = caller::call(daemon.callers(), caller::get("/browse"), "").await;

        assert_eq!((response.status, response.code), (503, 400));
        assert_eq!(response.outcome, "not-run");
    });
}

#[test]
fn route_without_a_server_is_refused() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        publish(&[&pair.ingress, &pair.owner], &[]);
        let response = caller::call(pair.ingress.callers(), caller::get("/browse"), "").await;

        assert_eq!((response.status, response.code), (503, 501));
        let _: &RouteTable = &pair.ingress.shared.table.load();
    });
}
