//! Configuration changes on real processes under faults of the log and of daemons, and with concurrent operators.
mod support;

use jayrack_testkit::{
    fleet::{Fleet, FleetPlan, run::STATE_TIMEOUT},
    log_standin::{LogBehaviour, LogCounts, LostAnswer, Outage},
    observe,
};
use rstest::rstest;
use support::{booking_change, booking_fleet, propose_everywhere, until_plan_state};

const OK: u16 = 0;
const PLAN_CONFLICT: u16 = 208;
const PLAN_PENDING: u16 = 211;
const LOG_UNAVAILABLE: u16 = 300;

fn outage(outage: Outage) -> LogBehaviour {
    LogBehaviour {
        outage,
        ..LogBehaviour::default()
    }
}

/// Kills and restarts a daemon; checks that it is at `version` or above when it becomes ready.
async fn restart_and_check_version(fleet: &mut Fleet, daemon: usize, version: u64) {
    fleet.daemons[daemon].kill().unwrap();
    fleet.daemons[daemon].start().unwrap();
    observe::until(STATE_TIMEOUT, "the restarted daemon", async || {
        if !fleet.daemons[daemon].is_ready().await {
            return None;
        }
        let shown = fleet.version_at(daemon).await?;
        assert!(shown >= version, "ready with {shown}, below {version}");
        Some(())
    })
    .await
    .unwrap();
}

#[tokio::test]
async fn of_two_conflicting_concurrent_confirms_exactly_one_succeeds() {
    let fleet = booking_fleet(3, &[], 1).await;
    let first = propose_everywhere(&fleet, 0, &booking_change(4_000)).await;
    let second = propose_everywhere(&fleet, 1, &booking_change(3_000)).await;
    let (first_operator, second_operator) =
        (fleet.daemons[0].operator(), fleet.daemons[1].operator());

    let answers = tokio::join!(
        first_operator.confirm(&first),
        second_operator.confirm(&second)
    );

    let answers = [answers.0.unwrap(), answers.1.unwrap()];
    let mut codes = answers.clone().map(|answer| answer.code);
    codes.sort_unstable();
    assert_eq!(codes, [OK, PLAN_CONFLICT], "{answers:?}");
    let version = answers.iter().map(|answer| answer.plan.version).max();
    fleet.until_in_force(version.unwrap()).await.unwrap();
    for plan in [first, second] {
        let decided = fleet.daemons[0].operator().show(&plan).await.unwrap();
        for daemon in 1..3 {
            let state = [decided.plan.state.as_str()];
            until_plan_state(&fleet, daemon, &plan, &state).await;
        }
    }
    fleet.close().await.unwrap();
}

fn losing_one_answer(lost_answer: LostAnswer) -> LogBehaviour {
    LogBehaviour {
        lose_answers: 1,
        lose_stream: "intents".to_string(),
        lost_answer,
        ..LogBehaviour::default()
    }
}

/// Delays answers beyond the client's time-out.
fn slow() -> LogBehaviour {
    LogBehaviour {
        delay_ms: 2_500,
        ..LogBehaviour::default()
    }
}

#[rstest]
#[case::cut(losing_one_answer(LostAnswer::Cut))]
#[case::withheld(losing_one_answer(LostAnswer::Withhold))]
#[case::slow(slow())]
#[tokio::test]
async fn confirm_with_lost_or_late_answer_takes_effect_once(#[case] behaviour: LogBehaviour) {
    let fleet = booking_fleet(3, &[], 2).await;
    let plan = propose_everywhere(&fleet, 0, &booking_change(4_000)).await;
    fleet.log.set_behaviour(&behaviour).await.unwrap();

    let answer = fleet.daemons[1].operator().confirm(&plan).await.unwrap();

    assert!([OK, PLAN_PENDING].contains(&answer.code), "{answer:?}");
    let shown = until_plan_state(&fleet, 0, &plan, &["confirmed"]).await;
    fleet.until_in_force(shown.plan.version).await.unwrap();
    let retry = fleet.daemons[2].operator().confirm(&plan).await.unwrap();
    assert_eq!(retry.plan.version, shown.plan.version, "{retry:?}");
    assert_eq!(fleet.version_at(2).await, Some(shown.plan.version));
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn dropped_plan_stays_dropped_when_its_confirm_is_appended_late() {
    let fleet = booking_fleet(3, &[], 3).await;
    let before = fleet.version_at(0).await.unwrap();
    let plan = propose_everywhere(&fleet, 0, &booking_change(4_000)).await;
    let records = fleet.log_counts().await.unwrap().records["intents"];
    let late = LogBehaviour {
        lose_answers: 1,
        lose_stream: "intents".to_string(),
        late_ms: 8_000,
        ..LogBehaviour::default()
    };
    fleet.log.set_behaviour(&late).await.unwrap();

    let confirmed = fleet.daemons[1].operator().confirm(&plan).await.unwrap();
    let dropped = fleet.daemons[2].operator().drop_plan(&plan).await.unwrap();

    assert_eq!(confirmed.code, PLAN_PENDING, "{confirmed:?}");
    assert_eq!(dropped.code, OK, "{dropped:?}");
    observe::until(STATE_TIMEOUT, "the late append", async || {
        let counts = fleet.log_counts().await.ok()?;
        (counts.records["intents"] >= records + 2).then_some(())
    })
    .await
    .unwrap();
    let after = fleet.apply(&booking_change(2_000), 0, 1).await.unwrap();
    fleet.until_in_force(after).await.unwrap();
    assert!(after > before);
    for daemon in 0..3 {
        let shown = until_plan_state(&fleet, daemon, &plan, &["dropped"]).await;
        assert_eq!(shown.plan.version, 0, "{shown:?}");
    }
    fleet.close().await.unwrap();
}

#[rstest]
#[case(Outage::None)]
#[case(Outage::Refuse)]
#[case(Outage::Silent)]
#[tokio::test]
async fn restarted_daemon_never_serves_an_older_version(#[case] kind: Outage) {
    let mut fleet = booking_fleet(3, &[], 4).await;
    let version = fleet.apply(&booking_change(4_000), 0, 1).await.unwrap();
    fleet.until_in_force(version).await.unwrap();
    fleet.log.set_behaviour(&outage(kind)).await.unwrap();

    restart_and_check_version(&mut fleet, 2, version).await;

    fleet.close().await.unwrap();
}

#[rstest]
#[case(Outage::Refuse)]
#[case(Outage::Silent)]
#[tokio::test]
async fn new_daemon_gets_the_state_from_peers_during_a_log_outage(#[case] kind: Outage) {
    let plan = FleetPlan::new(3).deferred_daemons(1).seed(9);
    let mut fleet = plan.start().await.unwrap();
    let version = fleet.apply(&booking_change(4_000), 0, 1).await.unwrap();
    fleet.until_in_force(version).await.unwrap();
    fleet.log.set_behaviour(&outage(kind)).await.unwrap();

    fleet.daemons[3].start().unwrap();
    fleet.until_ready(3).await.unwrap();

    assert_eq!(fleet.version_at(3).await, Some(version));
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn intent_during_a_log_outage_is_refused_and_changes_nothing() {
    let fleet = booking_fleet(3, &[], 5).await;
    let before = fleet.version_at(0).await.unwrap();
    fleet
        .log
        .set_behaviour(&outage(Outage::Refuse))
        .await
        .unwrap();

    let answer = fleet.daemons[0]
        .operator()
        .propose(&booking_change(4_000))
        .await
        .unwrap();

    assert_eq!(answer.code, LOG_UNAVAILABLE, "{answer:?}");
    assert_eq!(fleet.version_at(0).await, Some(before));
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn version_survives_expiry_of_all_records_during_a_log_outage() {
    let mut fleet = booking_fleet(3, &[], 6).await;
    let version = fleet.apply(&booking_change(4_000), 0, 1).await.unwrap();
    fleet.until_in_force(version).await.unwrap();
    fleet
        .log
        .set_behaviour(&outage(Outage::Refuse))
        .await
        .unwrap();
    let nothing = serde_json::json!({});
    fleet.log.post("/standin/expire", &nothing).await.unwrap();

    fleet
        .log
        .set_behaviour(&outage(Outage::None))
        .await
        .unwrap();

    observe::until(STATE_TIMEOUT, "a snapshot in the log", async || {
        let counts: LogCounts = fleet.log.counts().await.ok()?;
        let snapshots = counts.records.get("snapshots").copied();
        (snapshots.unwrap_or_default() > 0).then_some(())
    })
    .await
    .unwrap();
    restart_and_check_version(&mut fleet, 2, version).await;
    let next = fleet.apply(&booking_change(3_000), 2, 0).await.unwrap();
    assert!(next > version, "{next} is not above {version}");
    fleet.until_in_force(next).await.unwrap();
    fleet.close().await.unwrap();
}

#[rstest]
#[case::frozen(true)]
#[case::killed(false)]
#[tokio::test]
async fn other_daemons_take_over_from_failed_readers(#[case] is_frozen: bool) {
    let mut fleet = booking_fleet(15, &[], 7).await;
    let mut readers = Vec::new();
    for (index, daemon) in fleet.daemons.iter().enumerate() {
        if daemon.operator().status().await.unwrap().reader {
            readers.push(index);
        }
    }
    let others: Vec<usize> = (0..15).filter(|index| !readers.contains(index)).collect();
    assert!(others.len() >= 2, "readers: {readers:?}");
    for reader in &readers {
        match is_frozen {
            true => fleet.daemons[*reader].freeze().unwrap(),
            false => fleet.daemons[*reader].kill().unwrap(),
        }
    }

    let change = booking_change(4_000);
    let version = fleet.apply(&change, others[0], others[1]).await.unwrap();

    for other in &others {
        fleet.until_in_force_at(*other, version).await.unwrap();
    }
    for reader in readers {
        match is_frozen {
            true => fleet.daemons[reader].thaw().unwrap(),
            false => fleet.daemons[reader].start().unwrap(),
        }
        fleet.until_in_force_at(reader, version).await.unwrap();
    }
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn simultaneous_restart_keeps_appends_bounded() {
    const DAEMONS: usize = 12;
    const APPENDS_PER_SECOND: u64 = 300;
    let mut fleet = FleetPlan::new(DAEMONS).seed(8).start().await.unwrap();
    let version = fleet.apply(&booking_change(4_000), 0, 1).await.unwrap();
    fleet.until_in_force(version).await.unwrap();
    let quota = LogBehaviour {
        quota_per_second: APPENDS_PER_SECOND,
        ..LogBehaviour::default()
    };
    fleet.log.set_behaviour(&quota).await.unwrap();
    let before = fleet.log_counts().await.unwrap();

    for daemon in &mut fleet.daemons[2..] {
        daemon.kill().unwrap();
    }
    for daemon in &mut fleet.daemons[2..] {
        daemon.start().unwrap();
    }

    fleet.until_in_force(version).await.unwrap();
    let after = fleet.log_counts().await.unwrap();
    assert_eq!(after.throttled, 0);
    let appends = after.appends - before.appends;
    println!("{appends} appends, {} reads", after.reads - before.reads);
    assert!(appends <= DAEMONS as u64, "{appends} appends");
    fleet.close().await.unwrap();
}

#[tokio::test]
async fn repeated_concurrent_faults_revert_no_version() {
    let mut fleet = booking_fleet(6, &[], 10).await;
    let mut version = fleet.version_at(0).await.unwrap();
    for round in 0..2 {
        let lossy = losing_one_answer(LostAnswer::Cut);
        fleet.log.set_behaviour(&lossy).await.unwrap();
        fleet.daemons[3].kill().unwrap();
        fleet.daemons[4].freeze().unwrap();

        let change = booking_change(4_000 - round);
        let plan = fleet.daemons[0].operator().propose(&change).await.unwrap();
        assert!([OK, PLAN_PENDING].contains(&plan.code), "{plan:?}");

        fleet
            .log
            .set_behaviour(&outage(Outage::None))
            .await
            .unwrap();
        let next = fleet
            .apply(&booking_change(3_000 - round), 1, 2)
            .await
            .unwrap();
        assert!(next > version);
        version = next;
        fleet.daemons[4].thaw().unwrap();
        fleet.daemons[3].start().unwrap();
        fleet.until_in_force(version).await.unwrap();
    }
    for daemon in 0..6 {
        assert_eq!(fleet.version_at(daemon).await, Some(version));
    }
    fleet.close().await.unwrap();
}
