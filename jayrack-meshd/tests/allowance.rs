//! Driver of the tenant rate limits: waiting requests, messages between two daemons, their encoding, and the view of the
//! fleet. The bounds over a fleet are tested in `jayrack-mesh/tests/allowance.rs`.
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
    sync::Arc,
    time::Duration,
};

use jayrack_mesh::{
    HostDirectory, HostRecord,
    allowance::{
        AllowanceMessage, LeaseRequest, StandbyNotice, TokenLease, lender_order, node::FleetView,
    },
    tenants::TenantAllowance,
};
use jayrack_meshd::{
    control::{
        allowance::{decode, encode, fleet_view},
        datagram::{FORMAT, StatusMessage},
    },
    settings,
    traffic::allowance::AllowanceExchange,
};
use rstest::rstest;
use tokio::{task::JoinHandle, time::sleep};

const BOUNDS: &str = r#", "allowance": { "window_s": 5, "overrun": 0.1, "slack": 20 }"#;
/// A limit that no request of these tests reaches after the first tokens, since hardly any are added.
const SLOW: TenantAllowance = TenantAllowance {
    rate_per_s: 0.001,
    burst: 100.0,
};
/// Tokens of a new bucket with a slack of 20.
const START_TOKENS: usize = 3;

fn address(number: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, number))
}

fn exchange(local: IpAddr, bounds: &str) -> Option<Arc<AllowanceExchange>> {
    let text = format!(
        r#"{{
          "host": {{ "name": "h", "address": "{local}", "data_centre": "z", "link_mbps": 10 }},
          "server": {{ "address": "127.0.0.1:1", "service": "slots" }},
          "listen": {{
            "callers": "127.0.0.1:2", "forward": "127.0.0.1:3", "ready": "127.0.0.1:4", "reports": "127.0.0.1:5"
          }},
          "ports": [6, 7],
          "store": "127.0.0.1:8",
          "bounds": {{
            "stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 58, "repeat_window_s": 10 {bounds}
          }}
        }}"#
    );
    AllowanceExchange::new(&settings::parse(&text).unwrap()).map(Arc::new)
}

/// An exchange that limits the tenant "clinic" and sees the hosts at `live`.
fn limited(local: IpAddr, live: &[IpAddr]) -> Arc<AllowanceExchange> {
    let exchange = exchange(local, BOUNDS).unwrap();
    exchange.set_fleet(FleetView {
        live: live.to_vec(),
        counted: live.to_vec(),
    });
    exchange.set_limits(BTreeMap::from([("clinic".to_string(), SLOW)]));
    exchange
}

/// The lender of "clinic" and another host.
fn lender_and_borrower() -> (IpAddr, IpAddr) {
    let order = lender_order("clinic", &[address(1), address(2)]);
    (order[0], order[1])
}

/// Delivers the messages of `from`, and lets its time pass.
fn deliver(
    from: Arc<AllowanceExchange>,
    local: IpAddr,
    to: Arc<AllowanceExchange>,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let output = from.tick();
            for bytes in encode((1, 1), &messages_of(output.messages)) {
                for message in decode(&bytes).unwrap_or_default() {
                    to.receive(local, &message);
                }
            }
            tokio::select! {
                () = from.changed() => {}
                () = sleep(Duration::from_millis(1)) => {}
            }
        }
    })
}

fn messages_of(messages: Vec<(IpAddr, AllowanceMessage)>) -> Vec<AllowanceMessage> {
    messages.into_iter().map(|(_, message)| message).collect()
}

fn request(tenant: &str, id: u64) -> AllowanceMessage {
    AllowanceMessage::Request(LeaseRequest {
        tenant: tenant.to_string(),
        id,
        tokens: 2,
        returned: 1,
    })
}

fn lease(tenant: &str, id: u64) -> AllowanceMessage {
    AllowanceMessage::Lease(TokenLease {
        tenant: tenant.to_string(),
        id,
        tokens: 2,
        wait_ms: 7,
    })
}

/// Guards against limits in deployments that have none.
#[test]
fn without_bounds_nothing_is_limited() {
    assert!(exchange(address(1), "").is_none());
}

#[tokio::test]
async fn requests_beyond_the_tokens_are_refused_with_a_time_to_retry() {
    let exchange = limited(address(1), &[address(1)]);

    let mut permits = Vec::new();
    for _ in 0..START_TOKENS {
        permits.push(exchange.acquire("clinic", SLOW).await.unwrap());
    }
    let refusal = exchange.acquire("clinic", SLOW).await;

    assert!(refusal.unwrap_err() > 0);
}

/// Guards against tokens lost to requests that a server refused.
#[tokio::test]
async fn the_token_of_a_request_that_has_not_run_serves_another_one() {
    let exchange = limited(address(1), &[address(1)]);
    let mut permits = Vec::new();
    for _ in 0..START_TOKENS {
        permits.push(exchange.acquire("clinic", SLOW).await.unwrap());
    }

    permits.pop().unwrap().give_back();
    let next = exchange.acquire("clinic", SLOW).await;
    let after = exchange.acquire("clinic", SLOW).await;

    assert!(next.is_ok());
    assert!(after.is_err());
}

#[tokio::test]
async fn a_daemon_runs_requests_with_tokens_of_another_one() {
    let (lender, borrower) = lender_and_borrower();
    let live = [lender, borrower];
    let lending = limited(lender, &live);
    let borrowing = limited(borrower, &live);
    let tasks = [
        deliver(borrowing.clone(), borrower, lending.clone()),
        deliver(lending.clone(), lender, borrowing.clone()),
    ];

    let mut results = Vec::new();
    for _ in 0..START_TOKENS + 1 {
        results.push(borrowing.acquire("clinic", SLOW).await);
    }

    tasks.iter().for_each(JoinHandle::abort);
    assert!(results[..START_TOKENS].iter().all(Result::is_ok));
    assert!(results[START_TOKENS].is_err());
    assert_eq!(lending.tick().counts.lent, START_TOKENS as u64);
}

/// Guards against requests that wait for a lender that does not answer: its standby, here the own host, lends.
#[tokio::test]
async fn a_lender_that_does_not_answer_is_replaced() {
    let (lender, borrower) = lender_and_borrower();
    let borrowing = limited(borrower, &[lender, borrower]);
    let nowhere = limited(lender, &[lender]);
    let task = deliver(borrowing.clone(), address(9), nowhere);

    let result = borrowing.acquire("clinic", SLOW).await;

    task.abort();
    assert!(result.is_ok());
}

/// Guards against a token that is lost with a caller that leaves while its request waits.
#[tokio::test]
async fn a_caller_that_leaves_costs_no_token() {
    let (lender, borrower) = lender_and_borrower();
    let live = [lender, borrower];
    let lending = limited(lender, &live);
    let borrowing = limited(borrower, &live);
    let waiting = tokio::spawn({
        let borrowing = borrowing.clone();
        async move { borrowing.acquire("clinic", SLOW).await }
    });
    borrowing.changed().await;
    let messages = messages_of(borrowing.tick().messages);

    waiting.abort();
    assert!(waiting.await.is_err());
    for message in &messages {
        lending.receive(borrower, message);
    }
    for message in messages_of(lending.tick().messages) {
        borrowing.receive(lender, &message);
    }
    let next = borrowing.acquire("clinic", SLOW).await;

    assert!(next.is_ok());
    assert_eq!(lending.tick().counts.lent, 1);
}

#[test]
fn messages_to_one_host_share_a_small_datagram() {
    let messages = vec![request("clinic", 1 << 53), lease("ward", 5), lease("", 0)];

    let datagrams = encode((1_790_000_000_000, 7), &messages);

    assert_eq!(datagrams.len(), 1);
    assert!(datagrams[0].len() < 80, "{} bytes", datagrams[0].len());
    let single = encode((1_790_000_000_000, 7), &messages[..1]);
    assert!(single[0].len() < 40, "{} bytes", single[0].len());
    assert_eq!(decode(&datagrams[0]), Some(messages));
}

#[test]
fn many_messages_are_split_into_packets() {
    let messages: Vec<AllowanceMessage> = (0..200).map(|id| request("clinic", id)).collect();

    let datagrams = encode((1, 1), &messages);

    assert!(datagrams.iter().all(|bytes| bytes.len() < 1_400));
    let decoded = datagrams.iter().flat_map(|bytes| decode(bytes).unwrap());
    assert_eq!(decoded.collect::<Vec<_>>(), messages);
}

/// Guards against notices of a standby that reach the lender as requests for tokens.
#[test]
fn a_notice_of_a_standby_is_decoded_as_one() {
    let notice = AllowanceMessage::Notice(StandbyNotice {
        tenant: "clinic".to_string(),
        lent: 1 << 40,
    });

    let datagrams = encode((1, 1), std::slice::from_ref(&notice));

    assert_eq!(decode(&datagrams[0]), Some(vec![notice]));
}

/// Guards against status datagrams taken for messages of the rate limits, whatever their format.
#[test]
fn a_status_datagram_carries_no_messages() {
    let status = StatusMessage::decode(&encode((1, 1), &[])[0]).unwrap();

    assert_eq!(decode(&status.encode()), None);
    assert_eq!(decode(b"{\"record\": null}"), None);
}

fn record(number: u8, is_leaving: bool) -> HostRecord {
    HostRecord {
        address: address(number),
        epoch: 1,
        revision: 1,
        data_centre: "z".to_string(),
        link_mbps: 10,
        forward: (address(number), 1).into(),
        gossip: (address(number), 2).into(),
        server: None,
        is_leaving,
        datagram_format: FORMAT,
        is_restoring: false,
    }
}

#[rstest]
#[case::heard_lately(Some(99_000), false, (true, true))]
#[case::silent_for_a_while(Some(90_000), false, (false, true))]
#[case::gone_for_long(Some(1_000), false, (false, false))]
#[case::never_heard(None, false, (false, false))]
#[case::leaving(Some(99_900), true, (false, false))]
fn the_view_tells_lenders_from_hosts_that_share_the_rate(
    #[case] received_ms: Option<u64>,
    #[case] is_leaving: bool,
    #[case] expected: (bool, bool),
) {
    let mut directory = HostDirectory::default();
    directory.merge(&record(2, is_leaving));
    if let Some(received_ms) = received_ms {
        directory.record_received(received_ms, address(2));
    }

    let view = fleet_view(&directory, 100_000, address(1), "z");

    let contains = |hosts: &[IpAddr]| hosts.contains(&address(2));
    assert_eq!((contains(&view.live), contains(&view.counted)), expected);
    assert!(view.live.contains(&address(1)) && view.counted.contains(&address(1)));
}
