//! Tests of reports of the backend server beside the daemon that arrive in any order.
use jayrack_mesh::{
    ServerTracker,
    server::{ReportEffect, ServerPhase, ServerRecord, StatusReport},
};
use proptest::prelude::*;
use rstest::rstest;

fn record(born_ms: u64, sequence: u64, phase: ServerPhase) -> ServerRecord {
    ServerRecord {
        instance: "i-1".to_string(),
        born_ms,
        sequence,
        service: "slots".to_string(),
        slots: 12,
        phase,
    }
}

fn report(born_ms: u64, sequence: u64, phase: ServerPhase) -> StatusReport {
    StatusReport {
        record: record(born_ms, sequence, phase),
        warmup_left_ms: 0,
    }
}

fn ready_tracker() -> ServerTracker {
    let mut tracker = ServerTracker::default();
    tracker.handle(0, report(5, 1, ServerPhase::Ready));
    tracker
}

#[test]
fn a_server_serves_after_its_first_report() {
    let tracker = ready_tracker();

    assert!(tracker.serving().is_some());
}

#[rstest]
#[case::drained(report(5, 2, ServerPhase::Draining))]
#[case::drained_again(report(5, 9, ServerPhase::Draining))]
fn a_late_report_does_not_bring_a_leaving_server_back(#[case] leaving: StatusReport) {
    let mut tracker = ready_tracker();
    tracker.handle(1, leaving);

    let effect = tracker.handle(2, report(5, 10, ServerPhase::Ready));

    assert_eq!(effect, ReportEffect::Outdated);
    assert!(tracker.serving().is_none());
}

#[test]
fn a_server_that_left_without_draining_stays_gone() {
    let mut tracker = ready_tracker();

    let effect = tracker.leave("i-1", 5);
    tracker.handle(2, report(5, 3, ServerPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(tracker.serving().is_none());
}

#[test]
fn a_departure_of_an_earlier_incarnation_changes_nothing() {
    let mut tracker = ready_tracker();
    tracker.handle(1, report(6, 1, ServerPhase::Ready));

    let effect = tracker.leave("i-1", 5);

    assert_eq!(effect, ReportEffect::Outdated);
    assert!(tracker.serving().is_some());
}

#[test]
fn a_new_incarnation_under_the_same_name_serves() {
    let mut tracker = ready_tracker();
    tracker.handle(1, report(5, 2, ServerPhase::Draining));

    let effect = tracker.handle(2, report(6, 1, ServerPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(tracker.serving().is_some());
}

#[test]
fn a_departure_recorded_by_an_earlier_process_holds() {
    let mut tracker = ServerTracker::default();
    tracker.restore(record(5, 7, ServerPhase::Draining));

    tracker.handle(1, report(5, 8, ServerPhase::Ready));

    assert!(tracker.serving().is_none());
}

#[test]
fn a_departure_restored_after_a_late_report_holds() {
    let mut tracker = ready_tracker();

    tracker.restore(record(5, 7, ServerPhase::Draining));

    assert!(tracker.serving().is_none());
}

#[test]
fn a_restored_server_takes_work_only_after_it_reported() {
    let mut tracker = ServerTracker::default();
    tracker.restore(record(5, 7, ServerPhase::Ready));
    assert!(tracker.serving().is_none());

    tracker.handle(1, report(5, 8, ServerPhase::Ready));

    assert!(tracker.serving().is_some());
}

proptest! {
    /// An incarnation that was reported as leaving is never ready again, whatever the order and duplicates of reports.
    #[test]
    fn leaving_is_final(steps in proptest::collection::vec((0_u64..3, 0_u64..6, any::<bool>()), 1..40)) {
        let mut tracker = ServerTracker::default();
        let mut left = std::collections::BTreeSet::new();
        for (born_ms, sequence, is_ready) in steps {
            let phase = if is_ready { ServerPhase::Ready } else { ServerPhase::Draining };
            let effect = tracker.handle(0, report(born_ms, sequence, phase));
            if effect != ReportEffect::Outdated && !is_ready {
                left.insert(born_ms);
            }
            if let Some(server) = tracker.serving() {
                prop_assert!(!left.contains(&server.born_ms));
            }
        }
    }
}
