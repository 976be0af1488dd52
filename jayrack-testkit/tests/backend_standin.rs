//! Tests of the backend server stand-in in this process.
use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;
use jayrack_testkit::{
    backend_standin::{BackendBehaviour, BackendStandin, Options, ReportMode, body, headers},
    http_client::{self, HttpAnswer, HttpRequest},
    standin_process::ANY_PORT,
};
use rstest::rstest;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

fn options(slots: u32) -> Options {
    Options {
        name: "wrecsam-1".to_string(),
        service: "bookings".to_string(),
        listen: ANY_PORT,
        advertise: None,
        announce: None,
        callers: None,
        slots,
        connections: 110,
        cold_start_ms: 0,
        behaviour: BackendBehaviour::default(),
        seed: 1,
    }
}

fn work_request(address: SocketAddr, id: &str, bytes: usize) -> HttpRequest {
    let mut request = http_client::get(address, "/bookings/confirm").unwrap();
    let map = request.headers_mut();
    map.insert(headers::ID, id.parse().unwrap());
    map.insert("idempotency-key", id.parse().unwrap());
    map.insert(headers::BYTES, bytes.into());
    request
}

async fn send(address: SocketAddr, request: HttpRequest) -> HttpAnswer {
    http_client::send(address, request, ANSWER_TIMEOUT)
        .await
        .unwrap()
}

#[rstest]
#[case(0)]
#[case(64)]
#[case(1_000_000)]
#[tokio::test]
async fn answer_carries_its_request_id_and_a_valid_checksum(#[case] bytes: usize) {
    let standin = BackendStandin::start(options(1)).await.unwrap();

    let answer = send(
        standin.address(),
        work_request(standin.address(), "r1", bytes),
    )
    .await;

    assert!(body::is_intact("r1", &answer.body));
    assert!(!body::is_intact("r2", &answer.body));
    assert_eq!(standin.counts().by_key["r1"], 1);
    standin.close().await;
}

#[tokio::test]
async fn requests_beyond_the_slots_are_shed_and_not_counted_as_run() {
    let standin = BackendStandin::start(options(1)).await.unwrap();
    let address = standin.address();
    standin.set_behaviour(BackendBehaviour {
        hanging: true,
        ..BackendBehaviour::default()
    });
    let first = tokio::spawn(async move { send(address, work_request(address, "r1", 1)).await });
    while standin.counts().running == 0 {
        tokio::task::yield_now().await;
    }

    let second = send(address, work_request(address, "r2", 1)).await;

    assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(!standin.counts().by_id.contains_key("r2"));
    first.abort();
    while standin.counts().cancelled == 0 {
        tokio::task::yield_now().await;
    }
    assert_eq!(standin.counts().running, 0);
    standin.close().await;
}

#[rstest]
#[case(ReportMode::Truth, StatusCode::SERVICE_UNAVAILABLE)]
#[case(ReportMode::AlwaysGood, StatusCode::OK)]
#[case(ReportMode::AlwaysBad, StatusCode::SERVICE_UNAVAILABLE)]
#[tokio::test]
async fn health_endpoint_follows_its_report_mode(
    #[case] health: ReportMode,
    #[case] expected: StatusCode,
) {
    let standin = BackendStandin::start(options(1)).await.unwrap();
    standin.set_behaviour(BackendBehaviour {
        draining: true,
        health,
        ..BackendBehaviour::default()
    });
    let request = http_client::get(standin.address(), "/health").unwrap();

    let answer = send(standin.address(), request).await;

    assert_eq!(answer.status, expected);
    standin.close().await;
}
