//! Tests of the fault-injecting relays.
use std::time::Duration;

use jayrack_platform::{HttpLog, LogService, http, log::Error};
use jayrack_testkit::{
    link::{TcpLink, UdpBehaviour, UdpLink},
    log_standin::LogStandin,
    standin_process::ANY_PORT,
};
use tokio::net::UdpSocket;

fn client(link: &TcpLink) -> HttpLog {
    HttpLog::with_options(
        link.address(),
        http::Options {
            request_timeout_ms: 500,
            ..http::Options::default()
        },
    )
}

#[tokio::test]
async fn silenced_connection_stays_silent_and_a_new_one_works() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let link = TcpLink::start(standin.address()).await.unwrap();
    let log = client(&link);
    log.append("intents", "a").await.unwrap();
    link.silence_connections();

    let silent = log.append("intents", "b").await;
    let new = log.append("intents", "c").await;

    assert_eq!(silent, Err(Error::Ambiguous));
    assert!(new.is_ok());
    link.close().await;
    standin.close().await;
}

#[tokio::test]
async fn closed_connection_is_replaced() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let link = TcpLink::start(standin.address()).await.unwrap();
    let log = client(&link);
    log.append("intents", "a").await.unwrap();
    link.close_connections();

    let batch = log.read("intents", 1, 10, 0).await;

    assert_eq!(batch.unwrap().records.len(), 1);
    link.close().await;
    standin.close().await;
}

#[tokio::test]
async fn datagrams_of_a_silenced_flow_are_dropped() {
    let target = UdpSocket::bind(ANY_PORT).await.unwrap();
    let link = UdpLink::start(target.local_addr().unwrap(), 1)
        .await
        .unwrap();
    link.set_behaviour(UdpBehaviour::default());
    let old = UdpSocket::bind(ANY_PORT).await.unwrap();
    let new = UdpSocket::bind(ANY_PORT).await.unwrap();
    let mut buffer = [0; 16];
    old.send_to(b"first", link.address()).await.unwrap();
    target.recv(&mut buffer).await.unwrap();
    link.silence_flows();

    old.send_to(b"second", link.address()).await.unwrap();
    new.send_to(b"third", link.address()).await.unwrap();

    let limit = Duration::from_secs(60);
    let received = tokio::time::timeout(limit, target.recv(&mut buffer)).await;
    let count = received.unwrap().unwrap();
    assert_eq!(&buffer[..count], b"third");
    link.close().await;
}
