//! Tests of the era of the store.
use jayrack_mesh::era::{AnswerAge, EraTracker, StoreEra};
use proptest::prelude::*;
use rstest::rstest;

/// Longer than a stated era is relied on without an answer that proves it.
const LONG_MS: u64 = 60_000;

fn era(number: u64) -> StoreEra {
    StoreEra::from_number(number)
}

/// A tracker that has received an answer of era 3.
fn tracker() -> EraTracker {
    let mut tracker = EraTracker::default();
    tracker.record_answer(0, Some(era(3)));
    tracker
}

#[test]
fn a_store_that_states_no_era_is_served_as_before() {
    let mut tracker = EraTracker::default();

    let ages = [0, LONG_MS].map(|now_ms| tracker.record_answer(now_ms, None));

    assert_eq!(ages, [AnswerAge::Current; 2]);
    assert_eq!(tracker.latest(), None);
}

#[rstest]
#[case::the_same(Some(3), AnswerAge::Current)]
#[case::later(Some(4), AnswerAge::Later)]
#[case::earlier(Some(2), AnswerAge::Earlier)]
#[case::missing(None, AnswerAge::Earlier)]
fn an_answer_is_compared_with_the_latest_era(
    #[case] number: Option<u64>,
    #[case] expected: AnswerAge,
) {
    let mut tracker = tracker();

    let age = tracker.record_answer(1, number.map(era));

    assert_eq!(age, expected);
}

/// Guards against the acknowledgement of a store that has already been replaced by a copy elsewhere.
#[test]
fn an_answer_of_before_a_stated_era_is_not_relied_on() {
    let mut tracker = tracker();

    assert!(tracker.record_stated(1, era(4)));

    assert_eq!(tracker.record_answer(2, Some(era(3))), AnswerAge::Earlier);
    assert_eq!(tracker.record_answer(3, Some(era(4))), AnswerAge::Later);
    assert_eq!(tracker.proved(), Some(era(4)));
}

/// Guards against a daemon that one damaged or forged datagram keeps from the store for ever.
#[test]
fn a_stated_era_that_the_store_never_proves_is_dropped() {
    let mut tracker = tracker();
    tracker.record_stated(0, era(u64::MAX));

    let age = tracker.record_answer(LONG_MS, Some(era(3)));

    assert_eq!(age, AnswerAge::Current);
    assert!(!tracker.record_stated(LONG_MS, era(u64::MAX)));
    assert!(tracker.record_stated(LONG_MS, era(4)));
}

proptest! {
    #[test]
    fn the_proved_era_never_falls(numbers in prop::collection::vec((any::<bool>(), 0_u64..6, 0_u64..30_000), 1..40)) {
        let mut tracker = EraTracker::default();
        let mut now_ms = 0;
        let mut last = None;
        for (is_answer, number, pause_ms) in numbers {
            now_ms += pause_ms;
            if is_answer {
                tracker.record_answer(now_ms, Some(era(number)));
            } else {
                tracker.record_stated(now_ms, era(number));
            }
            prop_assert!(tracker.proved() >= last);
            prop_assert!(tracker.latest() >= tracker.proved());
            last = tracker.proved();
        }
    }
}
