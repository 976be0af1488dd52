//! Faults between ingress, owner and backend server.
mod support;

use std::{sync::Arc, time::Duration};

use rstest::rstest;
use support::{
    backend::{ANSWER_HEADER, CUT_HEADER, HOLD_HEADER, MARK_HEADER, SLEEP_HEADER},
    block_on, caller,
    fleet::{Pair, Setup, announce, local_server, publish, server_entry, start_pair},
    relay::Relay,
    wait_until,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A [`Pair`] whose ingress reaches the owner through a relay only.
async fn start_relayed_pair(setup: &Setup) -> (Pair, Relay) {
    let pair = start_pair(setup).await;
    let relay = Relay::start(pair.owner.handle.forward_address()).await;
    let entry = server_entry("s1", &pair.owner, relay.address);
    publish(&[&pair.ingress, &pair.owner], &[entry]);
    (pair, relay)
}

#[test]
fn answer_lost_in_silence_is_fetched_over_a_new_connection() {
    block_on(async {
        let (pair, relay) = start_relayed_pair(&Setup::default()).await;
        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header(HOLD_HEADER, "1");

        let calling = tokio::spawn(caller::call(pair.ingress.callers(), request, "slot 7"));
        wait_until("dispatch", || pair.backend.seen("m1").started == 1).await;
        relay.silence_flows();
        pair.backend.release();
        let response = calling.await.unwrap();

        assert_eq!((response.code, response.outcome.as_str()), (0, "done"));
        assert_eq!(&response.body[..], b"slot 7");
        assert_eq!(pair.backend.seen("m1").started, 1);
    });
}

#[test]
fn request_lost_before_its_arrival_is_fenced_and_not_run() {
    block_on(async {
        let (pair, relay) = start_relayed_pair(&Setup::default()).await;
        let warm_up = caller::get("/browse").header(MARK_HEADER, "m0");
        caller::call(pair.ingress.callers(), warm_up, "").await;

        relay.silence_flows();
        let request = caller::post("/confirm").header(MARK_HEADER, "m1");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!(response.outcome, "not-run");
        assert_eq!(pair.backend.seen("m1").started, 0);
    });
}

#[test]
fn idempotent_request_is_retried_after_silence() {
    block_on(async {
        let (pair, relay) = start_relayed_pair(&Setup::default()).await;
        let direct = server_entry("s2", &pair.owner, pair.owner.handle.forward_address());
        announce(&pair.owner, "s2", &pair.backend);
        let relayed = server_entry("s1", &pair.owner, relay.address);
        publish(&[&pair.ingress, &pair.owner], &[relayed, direct]);
        relay.set_drop_answers(true);

        for number in 0..8 {
            let mark = format!("m{number}");
            let request = caller::get("/browse").header(MARK_HEADER, mark.as_str());
            let response = caller::call(pair.ingress.callers(), request, "").await;

            assert_eq!((response.code, response.mark), (0, mark));
        }
    });
}

#[test]
fn outcome_is_unknown_after_the_owner_died_with_a_dispatched_request() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header("x-jayrack-deadline-ms", "3000")
            .header(HOLD_HEADER, "1");

        let calling = tokio::spawn(caller::call(pair.ingress.callers(), request, ""));
        wait_until("dispatch", || pair.backend.seen("m1").started == 1).await;
        drop(pair.owner);
        let response = calling.await.unwrap();

        assert_eq!((response.status, response.code), (502, 600));
        assert_eq!(response.outcome, "unknown");
        assert_eq!(pair.backend.seen("m1").started, 1);
    });
}

#[test]
fn request_to_a_stopped_owner_is_not_run() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        drop(pair.owner);

        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header("x-jayrack-deadline-ms", "3000");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!((response.status, response.code), (503, 507));
        assert_eq!(response.outcome, "not-run");
        assert_eq!(pair.backend.started(), 0);
    });
}

#[test]
fn backend_server_that_cuts_the_connection_leaves_the_outcome_unknown() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header(CUT_HEADER, "1");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!((response.code, response.outcome.as_str()), (600, "unknown"));
        assert_eq!(pair.backend.seen("m1").started, 1);
    });
}

#[test]
fn request_to_a_backend_server_that_does_not_listen_is_not_run() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let closed = local_server("s1", "127.0.0.1:1".parse().unwrap());
        pair.owner.shared.servers.store(Arc::new(vec![closed]));

        let request = caller::post("/confirm").header(MARK_HEADER, "m1");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!(response.outcome, "not-run");
    });
}

#[test]
fn cancellation_reaches_the_backend_server() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header("x-jayrack-deadline-ms", "600000")
            .header(HOLD_HEADER, "1");

        let calling = tokio::spawn(caller::call(pair.ingress.callers(), request, ""));
        wait_until("dispatch", || pair.backend.seen("m1").started == 1).await;
        calling.abort();

        wait_until("cancellation", || pair.backend.seen("m1").dropped == 1).await;
        assert_eq!(pair.backend.seen("m1").completed, 0);
    });
}

#[test]
fn deadline_reaches_the_backend_server_and_ends_the_request() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header("x-jayrack-deadline-ms", "400")
            .header(HOLD_HEADER, "1");

        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!(response.outcome, "unknown");
        let seen = pair.backend.seen("m1");
        assert!(seen.deadline_ms.is_some_and(|left_ms| left_ms <= 400));
        wait_until("cancellation", || pair.backend.seen("m1").dropped == 1).await;
    });
}

#[test]
fn expired_request_is_refused_before_it_runs() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;

        let request = caller::post("/confirm")
            .header(MARK_HEADER, "m1")
            .header("x-jayrack-deadline-ms", "0");
        let response = caller::call(pair.ingress.callers(), request, "").await;

        assert_eq!((response.status, response.code), (504, 503));
        assert_eq!(response.outcome, "not-run");
        assert_eq!(pair.backend.started(), 0);
    });
}

#[test]
fn concurrent_and_late_answers_reach_their_own_requests() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let mut calls = tokio::task::JoinSet::new();

        for number in 0..200_u64 {
            let address = pair.ingress.callers();
            calls.spawn(async move {
                let mark = format!("m{number}");
                let request = caller::get("/browse")
                    .header(MARK_HEADER, mark.as_str())
                    .header(SLEEP_HEADER, number * 7 % 23)
                    .header(ANSWER_HEADER, 100 + number * 977 % 90_000);
                (mark, caller::call(address, request, "").await)
            });
        }

        for (mark, response) in calls.join_all().await {
            let expected = support::backend::pattern(&mark, response.body.len());
            assert_eq!((response.code, &response.mark), (0, &mark));
            assert!(response.body == expected);
        }
    });
}

#[test]
fn upload_aborted_by_its_caller_is_not_completed() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let mut stream = tokio::net::TcpStream::connect(pair.ingress.callers())
            .await
            .unwrap();
        let request = "POST /confirm HTTP/1.1\r\nhost: t\r\nx-mark: m1\r\n\
            transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";

        stream.write_all(request.as_bytes()).await.unwrap();
        wait_until("dispatch", || pair.backend.seen("m1").started == 1).await;
        drop(stream);
        wait_until("cut", || pair.backend.seen("m1").dropped == 1).await;

        assert_eq!(pair.backend.seen("m1").completed, 0);
    });
}

#[test]
fn truncated_large_answer_does_not_look_complete() {
    block_on(async {
        let (pair, relay) = start_relayed_pair(&Setup::default()).await;
        let request = "GET /browse HTTP/1.1\r\nhost: t\r\nx-mark: m1\r\n\
            x-answer-bytes: 20000000\r\nconnection: close\r\n\r\n";
        let mut stream = tokio::net::TcpStream::connect(pair.ingress.callers())
            .await
            .unwrap();

        // Only a few bytes are read before the flows are silenced, so most of the answer is still in
        // transit then.
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = vec![0; 12];
        stream.read_exact(&mut answer).await.unwrap();
        relay.silence_flows();
        let _ = stream.read_to_end(&mut answer).await;

        let answer = String::from_utf8_lossy(&answer);
        assert!(answer.contains("content-length: 20000000\r\n"));
        assert!(answer.len() < 20_000_000, "{} bytes arrived", answer.len());
    });
}

#[test]
fn memory_stays_bounded_behind_a_caller_that_does_not_read() {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let request =
            "GET /browse HTTP/1.1\r\nhost: t\r\nx-mark: m1\r\nx-answer-bytes: 50000000\r\n\r\n";
        let mut stream = tokio::net::TcpStream::connect(pair.ingress.callers())
            .await
            .unwrap();

        stream.write_all(request.as_bytes()).await.unwrap();
        wait_until("answer", || pair.backend.seen("m1").completed == 1).await;
        tokio::time::sleep(Duration::from_millis(300)).await;

        let sent = pair.backend.sent_bytes("m1");
        assert!(sent < 20_000_000, "{sent} bytes left the backend server");
    });
}

/// Guards against a status that ends no exchange and reaches a caller as the server's answer.
#[rstest]
#[case(600)]
#[case(999)]
fn a_status_that_is_not_final_is_a_failure(#[case] status: u16) {
    block_on(async {
        let pair = start_pair(&Setup::default()).await;
        let request = format!(
            "GET /browse HTTP/1.1\r\nhost: t\r\nx-mark: m1\r\nx-status: {status}\r\nconnection: close\r\n\r\n"
        );

        let answer = caller::raw(pair.ingress.callers(), request.as_bytes()).await;

        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    });
}
