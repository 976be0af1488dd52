//! Tests of reports of the backend server beside the daemon that arrive in any order.
use jayrack_mesh::{
    ServerTracker,
    era::StoreEra,
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
        version: "v1".to_string(),
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

/// Guards against a report of another writer whose sequence number is higher than those of the server itself.
#[test]
fn a_server_that_drains_is_believed_whatever_its_sequence_number() {
    let mut tracker = ready_tracker();
    tracker.handle(0, report(5, 400_000, ServerPhase::Ready));

    let effect = tracker.handle(1, report(5, 3, ServerPhase::Draining));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(tracker.serving().is_none());
}

/// Guards against a departure of an earlier incarnation under the same name, which is read after the next one has
/// reported.
#[test]
fn a_restored_departure_of_an_earlier_incarnation_changes_nothing() {
    let mut tracker = ServerTracker::default();
    tracker.handle(0, report(9, 1, ServerPhase::Ready));

    let is_changed = tracker.restore(record(5, 4, ServerPhase::Gone));

    assert!(!is_changed && tracker.serving().is_some());
}

#[test]
fn a_server_that_left_without_draining_stays_gone() {
    let mut tracker = ready_tracker();

    let effect = tracker.leave(1, "i-1", 5);
    tracker.handle(2, report(5, 3, ServerPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(tracker.serving().is_none());
}

/// Guards against a restart between two reports: the departure is the first report that the new process receives, and
/// a report of before arrives after it.
#[rstest]
#[case::of_the_same_incarnation(5)]
#[case::without_a_stated_start(0)]
fn a_departure_of_a_server_without_a_record_holds(#[case] born_ms: u64) {
    let mut tracker = ServerTracker::default();

    let effect = tracker.leave(1, "i-1", born_ms);
    let late_effect = tracker.handle(1, report(5, 20, ServerPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert_eq!(late_effect, ReportEffect::Outdated);
    assert!(tracker.serving().is_none());
}

#[test]
fn a_departure_of_an_incarnation_after_the_restored_one_holds() {
    let mut tracker = ServerTracker::default();
    tracker.restore(record(5, 7, ServerPhase::Ready));

    tracker.leave(1, "i-1", 6);
    tracker.handle(1, report(6, 3, ServerPhase::Ready));

    assert!(tracker.serving().is_none());
}

#[test]
fn a_server_started_after_a_departure_without_a_record_serves() {
    let mut tracker = ServerTracker::default();
    tracker.leave(1, "i-1", 5);

    let effect = tracker.handle(1, report(6, 1, ServerPhase::Ready));

    assert_eq!(effect, ReportEffect::Changed);
    assert!(tracker.serving().is_some());
}

#[rstest]
#[case::drains(true)]
#[case::leaves_at_once(false)]
fn a_departure_is_unstored_until_the_store_has_recorded_it(#[case] drains: bool) {
    let mut tracker = ready_tracker();
    assert!(tracker.unstored_departure(None).is_none());

    match drains {
        true => tracker.handle(1, report(5, 2, ServerPhase::Draining)),
        false => tracker.leave(1, "i-1", 5),
    };
    let departure = tracker.unstored_departure(None).cloned();
    assert!(departure.is_some(), "acknowledged without a stored record");
    tracker.departure_stored(&departure.expect("checked above"), None);

    assert!(tracker.unstored_departure(None).is_none());
}

/// Guards against a departure that is relied on to be in the store although the store has come back from a copy.
#[test]
fn a_departure_is_unstored_again_in_a_later_era_of_the_store() {
    let [earlier, later] = [1, 2].map(|number| Some(StoreEra::from_number(number)));
    let mut tracker = ready_tracker();
    tracker.handle(1, report(5, 2, ServerPhase::Draining));
    let departure = tracker.unstored_departure(earlier).cloned();
    let departure = departure.expect("draining");

    tracker.departure_stored(&departure, earlier);

    assert_eq!(tracker.unstored_departure(earlier), None);
    assert_eq!(tracker.unstored_departure(later), Some(&departure));
    // An acknowledgement of the earlier era may arrive after the later one is known.
    tracker.departure_stored(&departure, earlier);
    assert_eq!(tracker.unstored_departure(later), Some(&departure));
}

/// Guards against a departure that the store loses for good since another server has started in its place.
#[test]
fn the_latest_departure_is_known_while_the_next_incarnation_serves() {
    let mut tracker = ready_tracker();
    assert_eq!(tracker.latest_departure(), None);
    tracker.handle(1, report(5, 2, ServerPhase::Draining));
    let departure = tracker.unstored_departure(None).cloned();
    let departure = departure.expect("draining");
    tracker.departure_stored(&departure, None);

    tracker.handle(2, report(6, 1, ServerPhase::Ready));

    assert!(tracker.serving().is_some());
    assert_eq!(tracker.latest_departure(), Some(&departure));
}

#[test]
fn the_departure_of_the_next_incarnation_is_stored_as_well() {
    let mut tracker = ready_tracker();
    tracker.handle(1, report(5, 2, ServerPhase::Draining));
    let departure = tracker.unstored_departure(None).cloned();
    tracker.departure_stored(&departure.expect("draining"), None);

    tracker.handle(2, report(6, 1, ServerPhase::Ready));
    tracker.handle(3, report(6, 2, ServerPhase::Draining));

    assert!(tracker.unstored_departure(None).is_some());
}

#[test]
fn a_departure_of_an_earlier_incarnation_changes_nothing() {
    let mut tracker = ready_tracker();
    tracker.handle(1, report(6, 1, ServerPhase::Ready));

    let effect = tracker.leave(1, "i-1", 5);

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

/// Guards against a server that started again with an earlier time of day: its word that it leaves was acknowledged and
/// ignored.
#[rstest]
#[case::drains(false)]
#[case::leaves_at_once(true)]
fn a_server_with_an_earlier_start_is_believed_once_the_known_one_is_silent(#[case] leaves: bool) {
    let mut tracker = ready_tracker();

    let reports = [1_500, 3_000, 4_500].map(|now_ms| {
        let sequence = now_ms / 1_500;
        tracker.handle(now_ms, report(2, sequence, ServerPhase::Ready))
    });
    let is_serving = tracker.serving().map(|server| server.born_ms) == Some(2);
    let leaving = match leaves {
        true => tracker.leave(6_000, "i-1", 2),
        false => tracker.handle(6_000, report(2, 4, ServerPhase::Draining)),
    };

    assert_eq!(
        reports,
        [
            ReportEffect::Unproven,
            ReportEffect::Unproven,
            ReportEffect::Changed
        ]
    );
    assert!(is_serving);
    assert_eq!(leaving, ReportEffect::Changed);
    assert!(tracker.serving().is_none());
}

/// Guards against late reports of an earlier incarnation that take the place of the present one.
#[test]
fn reports_of_an_earlier_incarnation_prove_nothing_while_the_present_one_reports() {
    let mut tracker = ready_tracker();

    for sequence in 1..10 {
        let late = tracker.handle(sequence * 1_000, report(2, sequence, ServerPhase::Ready));
        tracker.handle(
            sequence * 1_000 + 1,
            report(5, sequence + 1, ServerPhase::Ready),
        );

        assert_eq!(late, ReportEffect::Unproven);
    }

    assert_eq!(tracker.serving().map(|server| server.born_ms), Some(5));
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
