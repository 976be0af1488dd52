//! Tests of the headers between daemons of this build and earlier ones.
use std::net::{IpAddr, Ipv4Addr};

use hyper::{HeaderMap, Response, StatusCode, header::HeaderValue};
use jayrack_mesh::{
    gate::{GateLoad, Urgency},
    health::ServerHealth,
    pick::FreeHost,
};
use jayrack_meshd::traffic::forward::{
    AttemptKind, ForwardHead, NotRunReason, OwnerOutcome, OwnerReply, SendTime, empty,
};
use rstest::rstest;

fn reply() -> OwnerReply {
    OwnerReply {
        outcome: OwnerOutcome::NotRun {
            reason: NotRunReason::Passed,
            retry_after_ms: 0,
        },
        load: GateLoad {
            running: 6,
            waiting: 2,
            slots: 6,
        },
        service_ms: Some(110),
        health: ServerHealth {
            failure_percent: 12,
            warmup_left_ms: 800,
        },
        free_hosts: vec![FreeHost {
            address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 7)),
            free_slots: 3,
            age_ms: 40,
        }],
    }
}

fn head(attempt: AttemptKind) -> ForwardHead {
    ForwardHead {
        route: "unit history".to_string(),
        instance: "i-1".to_string(),
        urgency: Urgency { stage: 1, rank: 2 },
        tenant_rank: None,
        target_left_ms: 300,
        time_left_ms: 900,
        is_idempotent: true,
        attempt,
        is_same_data_centre: true,
        sent: SendTime {
            epoch: 5,
            at_ms: 90,
        },
    }
}

#[test]
fn a_reply_carries_health_and_hosts_with_free_slots() {
    let sent = reply();

    let received = OwnerReply::decode(reply().encode()).expect("decoded");

    assert_eq!(received.load, sent.load);
    assert_eq!(received.health, sent.health);
    assert_eq!(received.free_hosts, sent.free_hosts);
}

/// Guards against a fleet of two builds in which the replies of the earlier one count as lost requests.
#[test]
fn a_reply_of_an_earlier_build_is_decoded() {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let text = HeaderValue::from_static("busy 80 6 4 6 110");
    response.headers_mut().insert("jayrack-reply", text);

    let received = OwnerReply::decode(response).expect("decoded");

    assert_eq!(received.service_ms, Some(110));
    assert_eq!(received.health, ServerHealth::default());
    assert!(received.free_hosts.is_empty());
}

/// Earlier builds read the first six fields of a reply; a healthy server without news adds none.
#[test]
fn a_reply_without_news_is_no_longer_than_before() {
    let mut quiet = reply();
    quiet.health = ServerHealth::default();
    quiet.free_hosts.clear();

    let response: Response<_> = quiet.encode();

    assert_eq!(response.headers()["jayrack-reply"], "passed 0 6 2 6 110");
}

/// Guards against owners of an earlier build that take a request that may be passed on for a retry.
#[rstest]
#[case(AttemptKind::First, "0")]
#[case(AttemptKind::Retry, "1")]
#[case(AttemptKind::MayPass, "2")]
fn a_head_is_decoded_as_it_was_encoded(#[case] attempt: AttemptKind, #[case] field: &str) {
    let mut headers = HeaderMap::new();
    head(attempt).encode(&mut headers);

    let decoded = ForwardHead::decode(&headers).expect("decoded");

    assert_eq!(decoded, head(attempt));
    let text = headers["jayrack-request"].to_str().expect("text");
    assert_eq!(text.split(' ').nth(6), Some(field));
}

/// Guards against a status that ends no exchange and that an owner of an earlier build passes on.
#[rstest]
#[case(101, false)]
#[case(199, false)]
#[case(200, true)]
#[case(599, true)]
#[case(600, false)]
#[case(999, false)]
fn a_reply_whose_status_is_not_final_is_none(#[case] status: u16, #[case] is_decoded: bool) {
    let sent = OwnerReply {
        outcome: OwnerOutcome::Answered {
            response: Box::new(empty(StatusCode::from_u16(status).unwrap())),
            service_ms: 5,
            has_refused_call: false,
        },
        ..reply()
    };

    let decoded = OwnerReply::decode(sent.encode());

    assert_eq!(decoded.is_some(), is_decoded);
}
