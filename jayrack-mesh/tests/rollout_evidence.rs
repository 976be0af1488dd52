//! Verdict on a version, exposure budgets and versions that may receive requests.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::{
    RolloutBook,
    era::LogPosition,
    rollout::{
        ExposureBounds, RolloutOrder, RolloutPhase,
        book::OrderSource,
        evidence::{
            AnswerQuality, CountsByRoute, RouteCounts, ServerEvidence, VersionVerdict, judge,
        },
        exposure::ExposureBudget,
        versions::VersionedServer,
    },
};
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: &str = "slots";
const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};

fn address(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn evidence(counts: &[(&str, u32, u32)]) -> ServerEvidence {
    let counts = counts.iter().map(|(route, answers, failures)| {
        let counts = RouteCounts {
            answers: *answers,
            failures: *failures,
            slow: 0,
        };
        (route.to_string(), counts)
    });
    ServerEvidence {
        is_target: true,
        counts: counts.collect::<CountsByRoute>(),
        is_stopped: false,
    }
}

fn server(number: u8, version: &'static str, born_ms: u64) -> VersionedServer<'static> {
    VersionedServer {
        address: address(number),
        service: SERVICE,
        version,
        born_ms,
    }
}

fn order(target_version: &str, offset: u64) -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_string(),
        target_version: target_version.to_string(),
        duration_ms: 12_000,
        position: LogPosition { era: None, offset },
    }
}

/// A daemon that knows an old and a new server, the old one first.
fn observing_book(servers: &[VersionedServer<'_>]) -> RolloutBook {
    let mut book = RolloutBook::new(Some(BOUNDS), 1);
    book.observe_servers(0, servers, true);
    book
}

/// Guards against bad answers that no single daemon sees enough of.
#[test]
fn one_bad_answer_at_each_of_sixty_servers_makes_a_version_bad() {
    let servers = vec![evidence(&[("book", 2, 1)]); 60];

    assert_eq!(judge(servers.iter(), 60), VersionVerdict::Bad);
}

#[test]
fn a_few_failures_at_sixty_servers_do_not_make_a_version_bad() {
    let mut servers = vec![evidence(&[("book", 10, 0)]); 52];
    servers.extend(vec![evidence(&[("book", 10, 1)]); 8]);

    assert_eq!(judge(servers.iter(), 60), VersionVerdict::Good);
}

#[test]
fn a_single_server_in_trouble_does_not_make_a_version_bad() {
    let servers = [evidence(&[("book", 40, 40)]), evidence(&[("book", 20, 0)])];

    assert_eq!(judge(servers.iter(), 2), VersionVerdict::Good);
}

/// Guards against good answers on other routes that hide a bad route.
#[test]
fn a_bad_route_makes_a_version_bad() {
    let servers = vec![evidence(&[("book", 7, 3), ("lookup", 400, 0)]); 3];

    assert_eq!(judge(servers.iter(), 3), VersionVerdict::Bad);
}

/// Guards against a version that is rolled back because a service that it calls fails, at the old servers as well.
#[test]
fn failures_that_the_old_version_has_too_do_not_make_a_version_bad() {
    let mut servers = vec![evidence(&[("book", 40, 10)]); 6];
    for server in &mut servers[..3] {
        server.is_target = false;
    }

    assert_eq!(judge(servers.iter(), 3), VersionVerdict::Good);
}

#[rstest]
#[case::eight_times_on_a_fast_server(470, false, AnswerQuality::Slow)]
#[case::slow_server(200, false, AnswerQuality::Good)]
#[case::slow_server_that_warms_up(400, true, AnswerQuality::Good)]
#[case::eight_times_during_warm_up(940, true, AnswerQuality::Slow)]
fn slow_answers_are_told_from_those_of_slow_servers(
    #[case] service_ms: u64,
    #[case] is_warming_up: bool,
    #[case] expected: AnswerQuality,
) {
    let quality = AnswerQuality::of_success(service_ms, Some(100.0), is_warming_up);

    assert_eq!(quality, expected);
}

proptest! {
    /// Guards against budgets whose sum exceeds the bound, however the requests are spread over the ingresses.
    #[test]
    fn budgets_of_66_hosts_stay_within_the_bounds(
        requests in proptest::collection::vec(0_u32..400, 66),
        fractions in proptest::collection::vec(0.0_f64..1.0, 66),
    ) {
        let mut exposed = 0;
        for (requests, fraction) in requests.iter().zip(&fractions) {
            let mut budget = ExposureBudget::new(&BOUNDS, 66, *fraction);
            for _ in 0..*requests {
                budget.earn(BOUNDS.share / 2.0);
                if budget.allows_request() {
                    budget.spend();
                    exposed += 1;
                }
            }
        }

        let total: u32 = requests.iter().sum();
        prop_assert!(f64::from(exposed) <= BOUNDS.share * f64::from(total) + BOUNDS.slack);
    }
}

/// Guards against a budget that grows into a burst while there is no server of the version.
#[test]
fn a_budget_that_is_not_used_allows_two_requests() {
    let mut budget = ExposureBudget::new(&BOUNDS, 1, 1.0);
    for _ in 0..1_000 {
        budget.earn(0.05);
    }

    let mut allowed = 0;
    while budget.allows_request() {
        budget.spend();
        allowed += 1;
    }

    assert_eq!(allowed, 2);
}

#[test]
fn without_bounds_all_versions_may_receive_requests() {
    let servers = [server(1, "v1", 1), server(2, "v2", 2)];
    let mut book = RolloutBook::new(None, 1);
    book.observe_servers(0, &servers, true);

    assert_eq!(book.groups(0, SERVICE, &servers), None);
    assert!(book.admits(SERVICE, "v2"));
}

#[test]
fn a_version_without_an_order_receives_no_requests_beside_another_one() {
    let servers = [server(1, "v1", 1), server(2, "v2", 2)];

    let book = observing_book(&servers);

    assert_eq!(book.groups(0, SERVICE, &servers), Some(vec![vec![0]]));
    assert!(!book.admits(SERVICE, "v2"));
}

/// Guards against a service without any server because the whole fleet runs another version after a restart.
#[test]
fn a_version_that_all_servers_have_receives_requests() {
    let servers = [server(1, "v2", 1), server(2, "v2", 2)];

    let book = observing_book(&servers);

    assert_eq!(book.groups(0, SERVICE, &servers), None);
    assert!(book.admits(SERVICE, "v2"));
}

#[test]
fn a_version_replaces_one_whose_servers_are_gone() {
    let servers = [server(1, "v1", 1), server(2, "v2", 2)];
    let mut book = observing_book(&servers);

    book.observe_servers(20_000, &servers[1..], true);
    assert!(!book.admits(SERVICE, "v2"));
    book.observe_servers(24_000, &servers[1..], true);

    assert!(book.admits(SERVICE, "v2"));
}

/// Guards against a daemon that has just started and takes the new version for the one in use.
#[test]
fn a_server_that_started_earlier_corrects_the_first_choice() {
    let servers = [server(1, "v1", 1), server(2, "v2", 2)];
    let mut book = observing_book(&servers[1..]);

    book.observe_servers(500, &servers, true);

    assert_eq!(book.baseline(SERVICE), Some("v1"));
}

#[rstest]
#[case(RolloutPhase::Canary, true, true)]
#[case(RolloutPhase::Promoting, true, true)]
#[case(RolloutPhase::Draining, false, true)]
#[case(RolloutPhase::RollingBack, true, false)]
#[case(RolloutPhase::Completed, false, true)]
#[case(RolloutPhase::RolledBack, true, false)]
fn the_owner_admits_the_versions_of_the_phase(
    #[case] phase: RolloutPhase,
    #[case] admits_old: bool,
    #[case] admits_new: bool,
) {
    let servers = [server(1, "v1", 1), server(2, "v2", 2)];
    let mut book = observing_book(&servers);
    book.add_order(0, order("v2", 3), OrderSource::Change, 2);

    book.enter(1_000, &order("v2", 3), phase);
    book.observe_servers(1_100, &servers, true);

    assert_eq!(book.admits(SERVICE, "v1"), admits_old);
    assert_eq!(book.admits(SERVICE, "v2"), admits_new);
}

/// Guards against a phase that moves back, as when a leader that was suspended takes its next step.
#[test]
fn an_earlier_phase_does_not_replace_a_later_one() {
    let mut book = observing_book(&[server(1, "v1", 1)]);
    book.add_order(0, order("v2", 3), OrderSource::Change, 2);
    let order = order("v2", 3);
    book.enter(1_000, &order, RolloutPhase::RollingBack);

    assert!(!book.enter(2_000, &order, RolloutPhase::Promoting));
    assert!(book.enter(3_000, &order, RolloutPhase::RolledBack));
    assert!(!book.enter(4_000, &order, RolloutPhase::Completed));
}

/// Guards against an isolated or resumed host that sends requests to a version that was rolled back meanwhile.
#[test]
fn a_host_without_contact_sends_no_requests_to_the_new_version() {
    let servers = [server(1, "v1", 1), server(2, "v2", 2)];
    let mut book = observing_book(&servers);
    book.add_order(0, order("v2", 3), OrderSource::Change, 2);
    for _ in 0..100 {
        book.record_sent(100, SERVICE, "v1");
    }
    let targets = |book: &RolloutBook, now_ms| book.groups(now_ms, SERVICE, &servers).unwrap();
    assert!(targets(&book, 100).len() > 1);

    assert_eq!(targets(&book, 5_000), [vec![0]]);
}

/// Guards against a fleet that refuses everything for seconds after all daemons have restarted, and against requests for
/// a new version whose order a restarted daemon has not seen yet.
#[rstest]
#[case::one_version(&[server(1, "v1", 10), server(2, "v1", 20)], None, true)]
#[case::two_versions(&[server(1, "v1", 10), server(2, "v2", 20)], None, false)]
#[case::an_order(&[server(1, "v2", 10)], Some(order("v2", 5)), false)]
fn a_restarted_daemon_waits_for_others_only_if_versions_are_disputed(
    #[case] servers: &[VersionedServer<'static>],
    #[case] order: Option<RolloutOrder>,
    #[case] is_served: bool,
) {
    let mut book = RolloutBook::new(Some(BOUNDS), 1);
    if let Some(order) = order {
        book.add_order(0, order, OrderSource::Newest, 2);
    }

    book.observe_servers(0, servers, false);

    let version = servers[0].version;
    assert_eq!(book.may_run(SERVICE, version), is_served);
}
