//! The retry budget against a reference counter.
mod support {
    pub mod seeded;
}

use jayrack_traffic::{
    RetryBudget,
    retry::{Options, may_retry},
};
use proptest::prelude::*;
use support::seeded::seeded;

const SLICE_MS: u64 = 100;

fn options(percent: u32, minimum: u32) -> Options {
    Options {
        percent,
        minimum,
        window_ms: 1_000,
    }
}

/// Counts all events of the window for each decision.
fn reference_may_retry(events: &[(u64, bool)], now_ms: u64, options: &Options) -> bool {
    let is_recent =
        |at_ms: u64| at_ms / SLICE_MS * SLICE_MS + SLICE_MS + options.window_ms > now_ms;
    let recent = events.iter().filter(|(at_ms, _)| is_recent(*at_ms));
    let retries = recent.clone().filter(|(_, is_retry)| *is_retry).count() as u64;
    let attempts = recent.filter(|(_, is_retry)| !*is_retry).count() as u64;
    let allowed = attempts * u64::from(options.percent) / 100;
    retries < allowed.max(u64::from(options.minimum))
}

proptest! {
    #![proptest_config(seeded(200))]

    #[test]
    fn budget_matches_a_reference_counter(
        percent in 0u32..50,
        minimum in 0u32..4,
        steps in prop::collection::vec((0u64..300, any::<bool>()), 1..200),
    ) {
        let options = options(percent, minimum);
        let mut budget = RetryBudget::new(options.clone());
        let mut events = Vec::new();
        let mut now_ms = 0;

        for (gap_ms, is_retry) in steps {
            now_ms += gap_ms;
            if is_retry {
                let expected = reference_may_retry(&events, now_ms, &options);
                prop_assert_eq!(budget.try_retry(now_ms), expected);
                if !expected {
                    continue;
                }
            } else {
                budget.record_attempt(now_ms);
            }
            events.push((now_ms, is_retry));
        }
    }
}

#[test]
fn fifty_callers_in_a_full_outage_stay_within_one_budget() {
    let options = options(10, 0);
    let mut budget = RetryBudget::new(options.clone());
    let mut retries: Vec<u64> = Vec::new();
    let mut attempts = 0;

    for now_ms in 0..10_000u64 {
        for caller in 0..50 {
            if (now_ms + caller) % 20 == 0 {
                budget.record_attempt(now_ms);
                attempts += 1;
            }
            if budget.try_retry(now_ms) {
                retries.push(now_ms);
            }
        }
    }

    let per_window = attempts * (options.window_ms + SLICE_MS) / 10_000;
    for start_ms in &retries {
        let window = *start_ms..start_ms + options.window_ms;
        let count = retries
            .iter()
            .filter(|at_ms| window.contains(at_ms))
            .count() as u64;
        assert!(
            count <= per_window / 10 + 1,
            "{count} retries after {start_ms}"
        );
    }
    assert!(retries.len() as u64 * 10 <= attempts);
}

#[test]
fn nested_calls_retry_only_with_attempts_passed_down() {
    assert!(may_retry(0, None));
    assert!(!may_retry(1, None));
    assert!(may_retry(1, Some(1)));
    assert!(!may_retry(0, Some(0)));
}
