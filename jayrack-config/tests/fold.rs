//! The fold compared with a naive reference implementation, and races between operators.
mod support;

use std::collections::{BTreeMap, BTreeSet};

use jayrack_config::{
    fold::{self, ConfigState, Outcome, PLAN_LIFETIME_MS, PlanOutcome},
    object::ObjectKey,
    plan::{self, PlanState},
    record::StoredRecord,
    snapshot,
    validate::Reason,
};
use jayrack_protocol::ResultCode;
use proptest::prelude::*;
use support::{
    LogFixture, admin, naive::NaiveReplay, operator, property, propose, put, rank, remove, route,
    service, steps,
};

fn outcome_names(state: &ConfigState) -> BTreeMap<String, &'static str> {
    let name = |outcome: &PlanOutcome| match outcome {
        PlanOutcome::Confirmed { .. } => "confirmed",
        PlanOutcome::Dropped => "dropped",
        PlanOutcome::Expired => "expired",
        PlanOutcome::Conflict(_) => "conflict",
        PlanOutcome::Invalid { .. } => "invalid",
    };
    state
        .closed()
        .map(|closed| (closed.plan.clone(), name(&closed.outcome)))
        .collect()
}

proptest! {
    #![proptest_config(property(1000, "tests/seeds/fold.txt"))]

    #[test]
    fn agrees_with_naive_replay(steps in steps::steps(40)) {
        let records = steps::write_log(&steps);

        let mut state = ConfigState::new();
        for record in &records {
            state.apply(record).unwrap();
        }

        let naive = NaiveReplay::replay(&records);
        let objects: Vec<_> = state.objects().iter().map(|(key, entry)| {
            (key.clone(), entry.object.clone(), entry.team.clone(), entry.version)
        }).collect();
        prop_assert_eq!(state.version(), naive.version());
        prop_assert_eq!(objects, naive.objects());
        prop_assert_eq!(outcome_names(&state), naive.outcomes.clone());
        prop_assert_eq!(state.plans().keys().cloned().collect::<BTreeSet<_>>(), naive.open_plans());
    }

    #[test]
    fn fold_from_a_snapshot_equals_an_uninterrupted_fold(steps in steps::steps(40), cut in any::<prop::sample::Index>()) {
        let records = steps::write_log(&steps);
        let cut = cut.index(records.len() + 1);
        let mut uninterrupted = ConfigState::new();
        let mut before = ConfigState::new();

        for record in &records {
            uninterrupted.apply(record).unwrap();
        }
        for record in &records[..cut] {
            before.apply(record).unwrap();
        }
        let mut restored = snapshot::decode(&snapshot::encode(&before)).unwrap();
        // Records that the snapshot covers arrive again, as after a pull.
        for record in &records[cut.saturating_sub(3)..] {
            restored.apply(record).unwrap();
        }

        prop_assert_eq!(restored, uninterrupted);
    }
}

#[test]
fn second_of_two_overlapping_plans_ends_in_a_conflict_that_names_the_object() {
    let mut log = LogFixture::with_route();
    log.propose("left", &operator("shop"), put(vec![rank("urgent", 0, 20)]));
    log.propose("right", &operator("shop"), put(vec![rank("urgent", 0, 30)]));
    // Both operators confirm through daemons that have not seen the other's record.
    let right = plan::confirm(&log.state, &operator("shop"), "right", "right-confirm").unwrap();

    let left = log.confirm("left", &operator("shop"));
    let right = log.append(right);

    assert_eq!(left, Outcome::Accepted { version: 5 });
    let Outcome::Conflict(conflict) = right else {
        panic!("expected a conflict, found {right:?}");
    };
    assert_eq!(conflict.object, ObjectKey::Rank("urgent".to_string()));
    assert_eq!((conflict.base, conflict.current), (2, 5));
    assert_eq!(log.view("right").state, PlanState::Conflict);
    assert_eq!(log.state.version(), 5);
}

#[test]
fn dropped_plan_cannot_come_into_force_by_a_late_confirm() {
    let mut log = LogFixture::with_route();
    log.propose("late", &operator("shop"), put(vec![rank("urgent", 0, 20)]));
    let confirm = plan::confirm(&log.state, &operator("shop"), "late", "late-confirm").unwrap();
    let drop = plan::drop_plan(&log.state, &operator("shop"), "late", "late-drop").unwrap();

    log.append(drop);
    let outcome = log.append(confirm);

    assert_eq!(outcome, Outcome::Dropped);
    assert_eq!(log.state.version(), 2);
}

#[test]
fn fence_keeps_a_late_plan_from_opening() {
    let mut log = LogFixture::with_route();
    let change = put(vec![rank("urgent", 0, 20)]);
    let late = propose(&log.state, "late", &operator("shop"), change).unwrap();
    let fence = plan::fence(&operator("shop"), "late", "late-fence").unwrap();

    log.append(fence);
    let outcome = log.append(late);

    assert_eq!(outcome, Outcome::Dropped);
    assert!(log.state.plans().is_empty());
}

#[test]
fn late_plan_is_refused_after_its_fence_was_evicted() {
    let mut log = LogFixture::with_route();
    let change = put(vec![rank("urgent", 0, 20)]);
    let late = propose(&log.state, "late", &operator("shop"), change).unwrap();
    log.append(plan::fence(&operator("shop"), "late", "late-fence").unwrap());
    for number in 0..fold::CLOSED_PLAN_LIMIT {
        let id = format!("other{number}");
        log.append(plan::fence(&operator("shop"), &id, &id).unwrap());
    }

    let outcome = log.append(late);

    assert!(log.state.find_closed("late").is_none());
    assert_eq!(
        outcome,
        Outcome::Invalid {
            reasons: vec![Reason::Stale]
        }
    );
}

#[test]
fn repeated_records_change_nothing() {
    let mut log = LogFixture::with_route();
    log.propose("plan", &operator("shop"), put(vec![rank("urgent", 0, 20)]));
    log.confirm("plan", &operator("shop"));
    let before = log.state.clone();
    let repeats: Vec<String> = log
        .records
        .iter()
        .map(|record| record.data.clone())
        .collect();

    for data in repeats {
        log.append(data);
    }

    assert_eq!(log.state.version(), before.version());
    assert_eq!(log.state.digest(), before.digest());
    assert_eq!(log.state.objects(), before.objects());
}

#[test]
fn plan_expires_by_log_time() {
    let mut log = LogFixture::with_route();
    log.propose("slow", &operator("shop"), put(vec![rank("urgent", 0, 20)]));
    let confirm = plan::confirm(&log.state, &operator("shop"), "slow", "slow-confirm").unwrap();
    log.now_ms += PLAN_LIFETIME_MS;

    let outcome = log.append(confirm);

    assert_eq!(outcome, Outcome::Expired);
    assert_eq!(log.state.version(), 2);
}

#[test]
fn removal_before_the_plan_is_no_conflict_after_its_entry_expired() {
    let mut log = LogFixture::with_route();
    log.accept("add", put(vec![service("drawings")]));
    log.accept(
        "remove",
        remove(vec![ObjectKey::Service("drawings".to_string())]),
    );
    log.now_ms += PLAN_LIFETIME_MS - 1_000;
    log.propose("again", &operator("shop"), put(vec![service("drawings")]));
    log.now_ms += 2_000;

    let outcome = log.confirm("again", &operator("shop"));

    assert!(matches!(outcome, Outcome::Accepted { .. }), "{outcome:?}");
}

#[test]
fn object_added_and_removed_since_the_plan_is_a_conflict() {
    let mut log = LogFixture::with_route();
    let author = log.state.clone();
    log.accept("add", put(vec![service("drawings")]));
    log.accept(
        "remove",
        remove(vec![ObjectKey::Service("drawings".to_string())]),
    );
    let text = propose(
        &author,
        "plan",
        &operator("shop"),
        put(vec![service("drawings")]),
    )
    .unwrap();
    log.append(text);

    let refused = plan::confirm(&log.state, &operator("shop"), "plan", "plan-confirm");

    assert_eq!(refused.unwrap_err().code(), ResultCode::PlanConflict);
}

#[test]
fn plan_that_became_invalid_leaves_the_configuration_unchanged() {
    let mut log = LogFixture::with_route();
    log.accept("more", put(vec![service("drawings")]));
    let change = put(vec![rank("calm", 1, 0), route("draw", "drawings", "calm")]);
    log.propose("route", &operator("shop"), change);
    log.accept(
        "less",
        remove(vec![ObjectKey::Service("drawings".to_string())]),
    );
    let before = log.state.clone();

    let outcome = log.confirm("route", &operator("shop"));

    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert_eq!(log.state.objects(), before.objects());
    assert_eq!(log.state.version(), before.version());
    assert_eq!(log.view("route").state, PlanState::Invalid);
    assert_eq!(
        log.view("route").reasons,
        ["route/draw needs service/drawings, which is absent"]
    );
}

#[test]
fn team_cannot_change_what_another_owns() {
    let mut log = LogFixture::with_route();
    let change = put(vec![rank("urgent", 0, 20)]);

    let refused = propose(&log.state, "steal", &operator("college"), change.clone());
    log.propose("help", &admin("platform"), change);
    let accepted = log.confirm("help", &admin("platform"));

    assert_eq!(refused.unwrap_err().code(), ResultCode::NotOwner);
    assert!(matches!(accepted, Outcome::Accepted { .. }));
    let entry = &log.state.objects()[&ObjectKey::Rank("urgent".to_string())];
    assert_eq!(entry.team, "shop");
}

#[test]
fn newer_format_is_an_error_and_leaves_the_state_unchanged() {
    let log = LogFixture::with_route();
    let mut state = log.state.clone();
    let newer = |data: &str| StoredRecord {
        offset: 3,
        time_ms: log.now_ms,
        data: data.to_string(),
    };

    let format = state.apply(&newer(r#"{"format":2,"kind":"proposed","anything":1}"#));
    let kind = state.apply(&newer(r#"{"format":1,"kind":"merged","plan":"p"}"#));

    assert_eq!(format.unwrap_err().code(), ResultCode::RecordNotUnderstood);
    assert_eq!(kind.unwrap_err().code(), ResultCode::RecordNotUnderstood);
    assert_eq!(state, log.state);
}

#[test]
fn missing_records_are_an_error_and_old_ones_are_ignored() {
    let log = LogFixture::with_route();
    let mut state = log.state.clone();
    let ahead = StoredRecord {
        offset: 9,
        ..log.records[0].clone()
    };

    let gap = state.apply(&ahead);
    let old = state.apply(&log.records[0]);

    assert_eq!(
        gap.unwrap_err(),
        fold::Error::Gap {
            expected: 3,
            found: 9
        }
    );
    assert_eq!(old, Ok(Outcome::Ignored));
    assert_eq!(state, log.state);
}

#[test]
fn state_stays_bounded_under_a_flood_of_plans() {
    let mut log = LogFixture::with_route();

    for number in 0..3000 {
        let change = put(vec![service(&format!("s{number}"))]);
        let text = propose(
            &log.state,
            &format!("plan{number}"),
            &operator("shop"),
            change,
        )
        .unwrap();
        log.append(text);
    }

    assert_eq!(log.state.plans().len(), fold::OPEN_PLAN_LIMIT);
    log.now_ms += PLAN_LIFETIME_MS;
    log.append("{}".to_string());
    assert!(log.state.plans().is_empty());
    assert!(log.state.closed().count() <= fold::CLOSED_PLAN_LIMIT);
}
