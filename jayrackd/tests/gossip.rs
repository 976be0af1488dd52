//! Gossip drivers join over UDP, detect departures and restarts, and reject another fleet's datagrams.
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use jayrack_membership::{MemberRecord, MemberStatus, MemberView, ServerRecord, core};
use jayrack_protocol::{MemberId, auth::FleetKeys};
use jayrackd::gossip::{self, GossipEvent, GossipHandle};
use tokio::{net::UdpSocket, time::timeout};

const TEST_TIMEOUT: Duration = Duration::from_secs(120);

/// Number of the next address of this process.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// A free port of a loopback address that no other test uses, since the port is free until the daemon binds it.
async fn free_address() -> SocketAddr {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let host = Ipv4Addr::new(
        127,
        1 + (process % 250) as u8,
        (process / 250) as u8,
        number,
    );
    let socket = UdpSocket::bind((host, 0)).await.unwrap();
    socket.local_addr().unwrap()
}

fn options(address: SocketAddr, key: &str, incarnation: u64) -> gossip::Options {
    gossip::Options {
        listen: address,
        keys: FleetKeys::new(key.as_bytes(), None),
        core: core::Options::default(),
        local: MemberRecord::new(address, incarnation).with_location("wrecsam", "wales"),
        seed: u64::from(address.port()),
    }
}

async fn start(address: SocketAddr, key: &str, incarnation: u64) -> GossipHandle {
    gossip::start(options(address, key, incarnation))
        .await
        .unwrap()
}

async fn wait_for(handle: &GossipHandle, is_met: impl Fn(&MemberView) -> bool) {
    let mut view = handle.view();
    let met = view.wait_for(|view| is_met(view));
    timeout(TEST_TIMEOUT, met).await.unwrap().unwrap();
}

fn status_of(view: &MemberView, address: SocketAddr) -> Option<MemberStatus> {
    let entry = view.get(MemberId::from_address(address))?;
    Some(entry.status)
}

fn server(name: &str) -> ServerRecord {
    ServerRecord {
        name: name.to_string(),
        service: "bookings".to_string(),
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    }
}

#[tokio::test]
async fn members_join_through_a_seed_and_see_servers() {
    let first_address = free_address().await;
    let second_address = free_address().await;
    let first = start(first_address, "key", 1).await;
    let second = start(second_address, "key", 1).await;

    second.set_seeds(vec![first_address]);
    second.set_servers(vec![server("bookings-1")]);

    wait_for(&first, |view| {
        view.running().any(|entry| entry.record.servers.len() == 1)
    })
    .await;
    wait_for(&second, |view| view.running().count() == 2).await;
    second.close().await;
    wait_for(&first, |view| {
        status_of(view, second_address) == Some(MemberStatus::Left)
    })
    .await;
    first.close().await;
}

#[tokio::test]
async fn restarted_member_is_alive_again() {
    let first_address = free_address().await;
    let second_address = free_address().await;
    let first = start(first_address, "key", 1).await;
    let second = start(second_address, "key", 1).await;
    second.set_seeds(vec![first_address]);
    wait_for(&first, |view| view.running().count() == 2).await;

    second.close_abruptly().await;
    let second = start(second_address, "key", 2).await;
    second.set_seeds(vec![first_address]);

    wait_for(&first, |view| {
        let entry = view.get(MemberId::from_address(second_address));
        entry.is_some_and(|entry| {
            entry.record.incarnation >= 2 && entry.status == MemberStatus::Alive
        })
    })
    .await;
    second.close().await;
    first.close().await;
}

#[tokio::test]
async fn datagrams_of_another_fleet_are_rejected() {
    let first_address = free_address().await;
    let first = start(first_address, "key", 1).await;
    let second = start(free_address().await, "other key", 1).await;

    second.set_seeds(vec![first_address]);
    let rejected = async {
        while first.counters().read().rejected_datagrams == 0 {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(TEST_TIMEOUT, rejected).await.unwrap();

    assert_eq!(first.view().borrow().running().count(), 1);
    second.close().await;
    first.close().await;
}

#[tokio::test]
async fn unspecified_address_is_refused() {
    let address = "0.0.0.0:0".parse().unwrap();

    let started = gossip::start(options(address, "key", 1)).await;

    assert!(matches!(started, Err(gossip::Error::Unspecified(_))));
}

#[tokio::test]
async fn versions_in_force_and_minimum_versions_are_reported() {
    let first_address = free_address().await;
    let second_address = free_address().await;
    let mut first = start(first_address, "key", 1).await;
    let second = start(second_address, "key", 1).await;
    second.set_seeds(vec![first_address]);
    wait_for(&first, |view| view.running().count() == 2).await;

    second.set_applied(42, 7, 50);
    let state = timeout(TEST_TIMEOUT, async {
        loop {
            match first.events.recv().await.unwrap() {
                GossipEvent::Peer(report) if report.state.version == 42 => return report.state,
                _ => {}
            }
        }
    });
    let state = state.await.unwrap();
    second.close_abruptly().await;
    let mut second = start(second_address, "key", 2).await;
    second.set_seeds(vec![first_address]);
    let minimum_version = timeout(TEST_TIMEOUT, async {
        loop {
            if let GossipEvent::MinimumVersion(version) = second.events.recv().await.unwrap() {
                return version;
            }
        }
    });

    assert_eq!((state.digest, state.next_offset), (7, 50));
    assert_eq!(minimum_version.await.unwrap(), 42);
    second.close().await;
    first.close().await;
}
