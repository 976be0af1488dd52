//! Forged, replayed and malformed datagrams change nothing.
mod support;

use jayrack_membership::{Input, MemberRecord, MemberStatus, in_force, wire};
use jayrack_protocol::gossip::{self, Datagram};
use proptest::prelude::*;
use support::{Delivery, FakeNetwork, address, applied, converged, id, record, server, status};

/// Records and statuses in the views of all daemons, without the times.
fn member_states(network: &FakeNetwork) -> Vec<(MemberRecord, MemberStatus)> {
    let entries = network.nodes.values();
    entries
        .flat_map(|node| node.core.view().members.values())
        .map(|entry| (entry.record.as_ref().clone(), entry.status))
        .collect()
}

fn recorded(network: &mut FakeNetwork, time_ms: u64) -> Vec<Delivery> {
    network.recorded = Some(Vec::new());
    network.run_ms(time_ms);
    network.recorded.take().unwrap()
}

#[test]
fn replayed_datagrams_change_nothing() {
    let mut network = converged(12, 1);
    network.input(3, Input::Servers(vec![server("bookings-3", false)]));
    let old = recorded(&mut network, 30_000);
    network.input(3, Input::Servers(vec![server("bookings-3", true)]));
    network.run_ms(60_000);
    let before = member_states(&network);

    for delivery in &old {
        network.deliver(delivery.clone());
    }
    network.run_ms(30_000);

    assert!(!old.is_empty());
    assert_eq!(member_states(&network), before);
}

#[test]
fn replayed_datagrams_do_not_restore_a_dead_member() {
    let mut network = converged(12, 2);
    let old = recorded(&mut network, 20_000);
    network.nodes.remove(&address(5));
    network.run_ms(60_000);
    network.start(6, &[0]);
    network
        .run_until(30_000, |network| {
            network.nodes[&address(6)].alive().len() == 11
        })
        .unwrap();

    for delivery in &old {
        network.deliver(delivery.clone());
    }

    assert_ne!(status(&network, 0, 5), Some(MemberStatus::Alive));
    network
        .run_until(60_000, FakeNetwork::is_converged)
        .unwrap();
}

#[test]
fn datagrams_from_another_address_are_rejected() {
    let mut network = converged(12, 3);
    let captured = recorded(&mut network, 5_000);
    let before = member_states(&network);

    for delivery in captured {
        let from = address(99);
        network.deliver(Delivery { from, ..delivery });
    }
    network.run_ms(10_000);

    assert_eq!(member_states(&network), before);
}

#[test]
fn reports_of_unknown_members_do_not_raise_versions() {
    let mut network = converged(12, 4);
    network.input(2, applied(9));
    network.run_ms(10_000);
    let version = network
        .node(0)
        .core
        .view()
        .get(id(5))
        .unwrap()
        .applied_version;
    let report = gossip::AppliedReport {
        version: 9,
        buckets: (0..=u8::MAX).collect(),
        members: vec![7; 256],
        bits: vec![u64::MAX; 256],
    };
    let datagram = Datagram {
        sender: id(2).0,
        incarnation: network.node(2).core.local().incarnation,
        sequence: 1_000_000,
        applied: Some(report),
        ..Datagram::default()
    };

    let datagram = Box::new(datagram);
    network.input(
        0,
        Input::Datagram {
            from: address(2),
            datagram,
        },
    );

    assert_eq!(version, 0);
    assert_eq!(in_force(network.node(0).core.view(), 9).on, 1);
}

fn record_message() -> impl Strategy<Value = gossip::MemberRecord> {
    let bytes = || proptest::collection::vec(any::<u8>(), 0..20);
    (any::<u64>(), any::<u32>(), bytes(), bytes(), any::<u32>()).prop_map(
        |(incarnation, revision, gossip_address, forward_address, warm_percent)| {
            gossip::MemberRecord {
                incarnation,
                revision,
                gossip_address,
                admin_address: forward_address.clone(),
                forward_address,
                servers: vec![gossip::ServerRecord {
                    warm_percent,
                    ..Default::default()
                }],
                ..Default::default()
            }
        },
    )
}

fn body() -> impl Strategy<Value = Option<gossip::datagram::Body>> {
    use gossip::datagram::Body;
    let bytes = || proptest::collection::vec(any::<u8>(), 0..300);
    let numbers = || proptest::collection::vec(any::<u64>(), 0..5);
    prop_oneof![
        Just(None),
        any::<u32>().prop_map(|nonce| Some(Body::Ping(gossip::Ping { nonce }))),
        any::<u32>().prop_map(|nonce| Some(Body::Ack(gossip::Ack { nonce }))),
        any::<u32>().prop_map(|nonce| Some(Body::Nack(gossip::Nack { nonce }))),
        (any::<u32>(), any::<u64>()).prop_map(|(nonce, target)| {
            Some(Body::PingRequest(gossip::PingRequest { nonce, target }))
        }),
        bytes().prop_map(|buckets| Some(Body::SyncDigest(gossip::SyncDigest { buckets }))),
        numbers().prop_map(|ids| Some(Body::SyncPull(gossip::SyncPull { ids }))),
        Just(Some(Body::SyncRecords(gossip::SyncRecords {}))),
        (bytes(), numbers(), numbers()).prop_map(|(buckets, ids, incarnations)| {
            let revisions = ids.iter().map(|id| *id as u32).collect();
            Some(Body::SyncSummary(gossip::SyncSummary {
                buckets,
                ids,
                incarnations,
                revisions,
            }))
        }),
    ]
}

prop_compose! {
    fn datagram()(
        body in body(),
        records in proptest::collection::vec(record_message(), 0..4),
        target in 0usize..6,
        status in -1i32..6,
        incarnation in prop_oneof![any::<u64>(), Just(u64::MAX)],
        numbers: (u64, u64, u64),
        leads in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..20), 0..4),
    ) -> Datagram {
        let (applied_version, floor, next_offset) = numbers;
        Datagram {
            sender: id(1).0,
            incarnation,
            sequence: next_offset as u32,
            applied_version,
            next_offset,
            floor,
            body,
            records,
            leads,
            statuses: vec![gossip::StatusUpdate { id: id(target).0, incarnation, status, source: floor }],
            applied: Some(gossip::AppliedReport {
                version: applied_version,
                buckets: vec![floor as u8],
                members: vec![floor as u32],
                bits: vec![next_offset],
            }),
            ..Datagram::default()
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes: Vec<u8>) {
        let decoded = wire::decode(&bytes);

        if let Ok(datagram) = decoded {
            prop_assert_eq!(wire::decode(&wire::encode(&datagram)), Ok(datagram));
        }
    }

    #[test]
    fn arbitrary_authentic_datagrams_do_not_panic(datagrams in proptest::collection::vec(datagram(), 1..20)) {
        let mut network = converged(3, 6);

        for datagram in datagrams {
            let datagram = Box::new(datagram);
            network.input(0, Input::Datagram { from: address(1), datagram });
            network.run_ms(100);
        }

        network.run_ms(5_000);
    }

    #[test]
    fn records_survive_encoding(index in 0usize..1_000, draining: bool, revision: u32) {
        let mut expected = record(index, 0).with_admin_address("[::1]:9".parse().unwrap());
        expected.servers = vec![server("bookings-1", draining)];
        expected.revision = revision;

        let decoded = wire::from_message(&wire::to_message(&expected, 3));

        prop_assert_eq!(decoded, Some(expected));
    }
}
