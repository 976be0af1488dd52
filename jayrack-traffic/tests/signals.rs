//! Load shedding at ingresses, claim replicas and silent connections.
mod support {
    pub mod seeded;
}

use std::collections::BTreeSet;

use jayrack_protocol::{MemberId, RequestId};
use jayrack_traffic::{
    ConnectionHealth, LoadLevel, ShedLevels,
    claim::{self, ClaimOutcome, ClaimRegistry, ClaimReply, ClaimRequest, PeerSummary},
    health::{self, ConnectionState},
    shed::{IngressRequest, ShedDecision},
};
use proptest::prelude::*;
use rstest::rstest;
use support::seeded::seeded;

const WINDOW_MS: u64 = 10_000;

fn entry<'a>(rank: u8, customer: &'a str, customer_request: u64) -> IngressRequest<'a> {
    IngressRequest {
        service: "bookings",
        rank,
        kind: "confirm",
        customer,
        customer_request,
    }
}

/// Levels that shed `shed_fraction` of rank 1 and admit 10 % of the less urgent ranks.
fn levels(shed_fraction: u16) -> ShedLevels {
    let level = LoadLevel {
        slots: 12,
        shed_rank: 1,
        shed_share: shed_fraction,
        kept_share: u16::MAX / 10,
        ..LoadLevel::default()
    };
    let mut levels = ShedLevels::new();
    levels.update("bookings", "b-1", level, 0);
    levels
}

/// Percentage admitted of 10,000 requests of each customer within one second.
fn admitted_percentages(levels: &mut ShedLevels, rank: u8, customers: &[(&str, u64)]) -> Vec<u64> {
    let mut counts = vec![0; customers.len()];
    for round in 0..10_000u64 {
        for (index, (customer, every)) in customers.iter().enumerate() {
            let request = entry(rank, customer, round * 100 + index as u64);
            if round % every == 0 && levels.decide(round / 10, &request) == ShedDecision::Admit {
                counts[index] += 1;
            }
        }
    }
    let percentages = counts.iter().zip(customers);
    percentages
        .map(|(count, (_, every))| count * every / 100)
        .collect()
}

#[rstest]
#[case::more_urgent(0, 100..=100)]
#[case::shed_rank(1, 48..=52)]
#[case::less_urgent(2, 9..=12)]
fn each_rank_is_shed_at_its_reported_fraction(
    #[case] rank: u8,
    #[case] expected: std::ops::RangeInclusive<u64>,
) {
    let mut levels = levels(u16::MAX / 2);

    let percentages = admitted_percentages(&mut levels, rank, &[("a", 1)]);

    assert!(expected.contains(&percentages[0]), "{percentages:?}");
}

#[test]
fn the_customer_with_most_requests_is_shed_first() {
    let mut levels = levels(u16::MAX / 2);

    let percentages = admitted_percentages(&mut levels, 1, &[("flood", 1), ("quiet", 50)]);

    assert!(percentages[0] < 52, "{percentages:?}");
    assert!(percentages[1] >= 85, "{percentages:?}");
}

#[test]
fn an_expired_level_sheds_nothing() {
    let mut levels = levels(u16::MAX);

    let decisions: BTreeSet<_> = (0..1_000)
        .map(|request| levels.decide(1_500, &entry(1, "a", request)) == ShedDecision::Admit)
        .collect();

    assert_eq!(decisions, BTreeSet::from([true]));
}

fn claim_of(request: u128) -> ClaimRequest {
    ClaimRequest {
        key_hash: 1,
        request_digest: 1,
        request: RequestId(request),
        ingress: MemberId(1),
        owner: MemberId(2),
        replaces: None,
    }
}

fn registry() -> ClaimRegistry {
    let options = claim::Options {
        retention_ms: WINDOW_MS,
        max_claims: 2,
    };
    ClaimRegistry::new(0, options)
}

#[test]
fn a_replica_vouches_only_after_the_retention_time() {
    let mut registry = registry();

    let before_retention = registry.claim(WINDOW_MS - 1, &claim_of(1));
    let after_retention = registry.claim(WINDOW_MS, &claim_of(1));

    assert_eq!(before_retention, ClaimReply::CannotVouch);
    assert_eq!(after_retention, ClaimReply::Granted);
}

#[test]
fn a_key_is_free_again_when_its_holder_did_not_run() {
    let mut registry = registry();
    registry.claim(WINDOW_MS, &claim_of(1));

    let held = registry.claim(WINDOW_MS, &claim_of(2));
    registry.resolve(WINDOW_MS, 1, RequestId(1), ClaimOutcome::NotRun);
    let granted = registry.claim(WINDOW_MS, &claim_of(2));

    assert!(matches!(held, ClaimReply::Held { .. }));
    assert_eq!(granted, ClaimReply::Granted);
}

#[test]
fn a_full_replica_refuses_claims_until_older_ones_expire() {
    let mut registry = registry();
    let claims: Vec<ClaimRequest> = (0..3u128)
        .map(|key_hash| ClaimRequest {
            key_hash,
            ..claim_of(key_hash)
        })
        .collect();
    registry.claim(WINDOW_MS, &claims[0]);
    registry.claim(WINDOW_MS, &claims[1]);

    let full = registry.claim(2 * WINDOW_MS, &claims[2]);
    let later = registry.claim(3 * WINDOW_MS, &claims[2]);

    assert_eq!(full, ClaimReply::Full);
    assert_eq!(later, ClaimReply::Granted);
    assert_eq!(registry.len(), 1);
}

/// Start time and lifetime of some daemons, in milliseconds; a daemon without a lifetime never dies.
fn lifetimes() -> impl Strategy<Value = Vec<(u64, Option<u64>)>> {
    let lifetime = (0u64..40_000, prop::option::of(0u64..40_000));
    prop::collection::vec(lifetime, 1..9)
}

fn view(lifetimes: &[(u64, Option<u64>)], now_ms: u64) -> Vec<PeerSummary> {
    let started = lifetimes
        .iter()
        .enumerate()
        .filter(|(_, (start_ms, _))| *start_ms <= now_ms);
    started
        .map(|(index, (start_ms, lifetime_ms))| {
            let dead_since_ms = lifetime_ms
                .map(|lifetime_ms| start_ms + lifetime_ms)
                .filter(|end_ms| *end_ms <= now_ms);
            PeerSummary {
                id: MemberId(index as u64),
                alive: dead_since_ms.is_none(),
                alive_since_ms: *start_ms,
                dead_since_ms,
            }
        })
        .collect()
}

proptest! {
    #![proptest_config(seeded(500))]

    /// However the members change: a majority of a later vouching set that can vouch shares a replica
    /// with every majority of the earlier recording set.
    #[test]
    fn later_vouching_majorities_intersect_earlier_recording_ones(lifetimes in lifetimes(), key in any::<u128>(), at in 0u64..60_000, gap in 0u64..WINDOW_MS) {
        let earlier = claim::claim_replicas(key, &view(&lifetimes, at), at, WINDOW_MS);
        let later_ms = at + gap;
        let later = claim::claim_replicas(key, &view(&lifetimes, later_ms), later_ms, WINDOW_MS);

        let can_vouch = |id: &&MemberId| {
            let (start_ms, _) = lifetimes[id.0 as usize];
            later.asked.contains(id) && start_ms + WINDOW_MS <= later_ms
        };
        let vouchers: Vec<_> = later.vouching.iter().filter(can_vouch).collect();
        if vouchers.len() > later.vouching.len() / 2 {
            let non_recorders = vouchers.iter().filter(|id| !earlier.recording.contains(id)).count();
            let majority = later.vouching.len() / 2 + 1;
            let recorded = earlier.recording.len() / 2 + 1;
            let common = (majority - non_recorders.min(majority)) + recorded;
            prop_assert!(common > earlier.recording.len(), "{:?} then {:?}", earlier, later);
        }
    }
}

#[test]
fn a_silent_connection_needs_a_liveness_check_and_then_is_dead() {
    let options = health::Options::default();
    let (keep_alive_ms, dead_ms) = (options.keep_alive_ms, options.dead_after_ms);
    let mut health = ConnectionHealth::new(0, options.clone());

    let quiet = health.state(keep_alive_ms - 1);
    let due = health.state(keep_alive_ms);
    health.sent(keep_alive_ms);
    let waiting = health.state(keep_alive_ms + dead_ms - 1);
    let dead = health.state(keep_alive_ms + dead_ms);

    assert_eq!(
        [quiet, due],
        [ConnectionState::Healthy, ConnectionState::KeepAliveDue]
    );
    assert_eq!(
        [waiting, dead],
        [ConnectionState::Healthy, ConnectionState::Dead]
    );
    assert!(!health.needs_liveness_check(options.liveness_check_after_ms));
    assert!(health.needs_liveness_check(options.liveness_check_after_ms + 1));
    health.received(keep_alive_ms + dead_ms);
    assert_eq!(
        health.state(keep_alive_ms + dead_ms),
        ConnectionState::Healthy
    );
}
