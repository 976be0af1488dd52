//! Refusals and views of plans as operators see them, and tracking of appends.
mod support;

use jayrack_config::{
    object::{ConfigChange, ConfigObject, ObjectKey, RouteSpec},
    plan::{self, Operator, PlanState, ProposeRequest, Role},
    record::RECORD_LIMIT_BYTES,
    tracker::{AppendState, AppendTracker},
};
use jayrack_protocol::ResultCode;
use rstest::rstest;
use support::{
    LogFixture, START_MS, operator, propose, put, rank, remove, route, route_spec, server, service,
};

fn reasons(change: ConfigChange) -> Vec<String> {
    let log = LogFixture::with_route();
    let error = propose(&log.state, "plan", &operator("shop"), change).unwrap_err();
    assert_eq!(error.code(), ResultCode::PlanInvalid);
    error.reasons()
}

fn pinned_route() -> ConfigChange {
    let spec = RouteSpec {
        pinned: vec!["far".to_string()],
        ..route_spec("book", "bookings", "urgent")
    };
    put(vec![ConfigObject::Route(spec)])
}

#[rstest]
#[case::empty(put(vec![]), "the change names no object")]
#[case::absent_service(put(vec![route("x", "none", "urgent")]), "route/x needs service/none, which is absent")]
#[case::undefined_rank(put(vec![route("x", "bookings", "none")]), "route/x needs rank/none, which is absent")]
#[case::shared_order(put(vec![rank("calm", 0, 0)]), "rank/calm and rank/urgent share the order 0")]
#[case::floors(put(vec![rank("calm", 1, 91)]), "the floors of all ranks add up to 101 %")]
#[case::pinned(
    pinned_route(),
    "route/book is pinned to `far`, which its service does not have"
)]
#[case::still_needed(
    remove(vec![ObjectKey::Service("bookings".to_string())]),
    "route/book needs service/bookings, which is absent"
)]
#[case::removes_nothing(remove(vec![ObjectKey::Service("none".to_string())]), "service/none does not exist")]
#[case::named_twice(put(vec![service("one"), service("one")]), "service/one is named twice")]
#[case::bad_name(put(vec![service("a/b")]), "service/a/b: the name is not well formed")]
fn invalid_plan_is_refused_with_the_reason(#[case] change: ConfigChange, #[case] reason: &str) {
    let reasons = reasons(change);

    assert_eq!(reasons, [reason]);
}

#[test]
fn all_reasons_are_listed() {
    let reasons = reasons(put(vec![route("x", "none", "none"), rank("calm", 0, 95)]));

    assert_eq!(reasons.len(), 4, "{reasons:?}");
}

#[test]
fn proposed_plan_lists_its_effects() {
    let log = LogFixture::with_route();
    let change = ConfigChange {
        put: vec![service("drawings"), rank("urgent", 0, 25)],
        remove: vec![ObjectKey::Route("book".to_string())],
    };
    let request = ProposeRequest {
        plan_id: "plan",
        record_id: "record",
        change,
        note: "for Monday",
        servers: &[server("one", "bookings")],
        now_ms: START_MS,
    };

    let view = plan::propose(&log.state, &operator("shop"), request)
        .unwrap()
        .plan;

    assert_eq!(view.state, PlanState::Pending);
    assert_eq!(
        view.touches,
        ["rank/urgent", "service/drawings", "route/book"]
    );
    assert_eq!(
        view.effects,
        [
            "Adds service/drawings with 0 objectives.",
            "Changes rank/urgent: floor_percent from 10 to 25.",
            "Removes route/book."
        ]
    );
}

#[test]
fn viewer_and_other_team_are_refused() {
    let mut log = LogFixture::with_route();
    let viewer = Operator {
        team: "shop",
        role: Role::Viewer,
    };
    log.propose("plan", &operator("shop"), put(vec![service("drawings")]));

    let proposed = propose(&log.state, "other", &viewer, put(vec![service("x")]));
    let confirmed = plan::confirm(&log.state, &viewer, "plan", "record");
    let foreign = plan::drop_plan(&log.state, &operator("college"), "plan", "record");

    assert_eq!(proposed.unwrap_err().code(), ResultCode::RoleInsufficient);
    assert_eq!(confirmed.unwrap_err().code(), ResultCode::RoleInsufficient);
    assert_eq!(foreign.unwrap_err().code(), ResultCode::NotOwner);
}

#[test]
fn plan_larger_than_a_record_is_refused() {
    let log = LogFixture::with_route();
    let objects =
        (0..RECORD_LIMIT_BYTES / 40).map(|number| service(&format!("service-{number:040}")));

    let refused = propose(
        &log.state,
        "plan",
        &operator("shop"),
        put(objects.take(4000).collect()),
    );

    assert_eq!(refused.unwrap_err().code(), ResultCode::BodyTooLarge);
}

#[test]
fn closed_plans_are_refused_with_their_own_codes() {
    let mut log = LogFixture::with_route();
    log.propose("dropped", &operator("shop"), put(vec![service("drawings")]));
    let text = plan::drop_plan(&log.state, &operator("shop"), "dropped", "drop").unwrap();
    log.append(text);
    let confirm = |plan: &str| {
        plan::confirm(&log.state, &operator("shop"), plan, "again")
            .unwrap_err()
            .code()
    };

    let codes = [confirm("first"), confirm("dropped"), confirm("never")];

    assert_eq!(
        codes,
        [
            ResultCode::PlanAlreadyConfirmed,
            ResultCode::PlanDropped,
            ResultCode::PlanUnknown
        ]
    );
}

#[test]
fn list_shows_open_plans_first_and_overdue_ones_as_expired() {
    let mut log = LogFixture::with_route();
    log.propose("open", &operator("shop"), put(vec![service("drawings")]));

    let now = plan::list(&log.state, log.now_ms);
    let later = plan::list(&log.state, log.now_ms + 24 * 3600 * 1000);

    let states: Vec<PlanState> = now.iter().map(|plan| plan.state).collect();
    assert_eq!(states, [PlanState::Open, PlanState::Confirmed]);
    assert_eq!(later[0].state, PlanState::Expired);
}

#[test]
fn append_without_answer_is_pending_until_its_record_is_folded() {
    let mut log = LogFixture::with_route();
    let mut tracker = AppendTracker::new();
    tracker.start("plan-propose", "plan", START_MS);

    let before = tracker.state("plan-propose").cloned();
    let outcome = log.propose("plan", &operator("shop"), put(vec![service("drawings")]));
    tracker.folded("plan-propose", 3, &outcome);
    tracker.refused("plan-propose");

    assert_eq!(before, Some(AppendState::Pending));
    assert_eq!(
        tracker.state("plan-propose"),
        Some(&AppendState::Folded { offset: 3, outcome })
    );
    assert!(!tracker.is_pending("plan"));
}

#[test]
fn append_is_found_in_a_restored_state() {
    let mut log = LogFixture::with_route();
    let mut tracker = AppendTracker::new();
    tracker.start("plan-propose", "plan", START_MS);
    tracker.start("lost", "other", START_MS);
    log.propose("plan", &operator("shop"), put(vec![service("drawings")]));

    tracker.reconcile(&log.state);

    assert!(matches!(
        tracker.state("plan-propose"),
        Some(AppendState::Folded { offset: 3, .. })
    ));
    assert_eq!(tracker.state("lost"), Some(&AppendState::Pending));
}

#[test]
fn tracker_stays_bounded() {
    let mut tracker = AppendTracker::new();

    for number in 0..5_000 {
        tracker.start(&format!("record{number}"), "plan", START_MS);
    }

    assert!(tracker.len() <= jayrack_config::tracker::TRACKED_LIMIT);
}
