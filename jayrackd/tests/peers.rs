//! Claim replicas under a network partition: an unreachable daemon stays a replica, so that no key
//! is granted on both sides; a daemon that left is no replica any more.
use jayrack_protocol::MemberId;
use jayrack_traffic::claim::{self, PeerSummary};
use jayrackd::shared::PeerEntry;

const HOUR_MS: u64 = 3_600_000;
const RETENTION_MS: u64 = 60_000;

/// Eight daemons of which the last four were found dead at time 0.
fn partitioned_fleet(has_left: bool) -> Vec<PeerEntry> {
    (0..8)
        .map(|number| {
            let is_alive = number < 4;
            PeerEntry {
                id: MemberId(number),
                forward_address: "127.0.0.1:7000".parse().unwrap(),
                data_centre: "wrecsam".to_string(),
                region: "wales".to_string(),
                is_alive,
                alive_since_ms: 0,
                dead_since_ms: (!is_alive).then_some(0),
                has_left: !is_alive && has_left,
            }
        })
        .collect()
}

/// Returns the keys out of 200 for which a majority of the vouching replicas is reachable.
fn grantable_keys(peers: &[PeerEntry], side: impl Fn(u64) -> bool) -> Vec<u128> {
    let summaries: Vec<PeerSummary> = peers
        .iter()
        .map(|peer| PeerSummary {
            id: peer.id,
            alive: peer.is_alive,
            alive_since_ms: peer.alive_since_ms,
            dead_since_ms: peer.stopped_ms(HOUR_MS),
        })
        .collect();
    let is_grantable = |key: &u128| {
        let replicas = claim::claim_replicas(*key, &summaries, HOUR_MS, RETENTION_MS);
        let reachable = replicas
            .vouching
            .iter()
            .filter(|replica| side(replica.0))
            .count();
        reachable > replicas.vouching.len() / 2
    };
    (0..200).filter(is_grantable).collect()
}

#[test]
fn no_key_is_granted_on_both_sides_of_a_long_partition() {
    let first = partitioned_fleet(false);
    let mut second = partitioned_fleet(false);
    for peer in &mut second {
        peer.is_alive = !peer.is_alive;
    }

    let first_keys = grantable_keys(&first, |id| id < 4);
    let second_keys = grantable_keys(&second, |id| id >= 4);

    assert!(first_keys.iter().all(|key| !second_keys.contains(key)));
    assert!(!first_keys.is_empty() && !second_keys.is_empty());
}

#[test]
fn daemons_that_left_do_not_block_claims_after_the_retention() {
    let peers = partitioned_fleet(true);

    let keys = grantable_keys(&peers, |id| id < 4);

    assert_eq!(keys.len(), 200);
}
