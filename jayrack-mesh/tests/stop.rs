//! Times of a planned stop.
use std::time::Duration;

use jayrack_mesh::stop::StopPlan;
use rstest::rstest;

/// Guards against requests that are accepted so late that the end of the process cuts them off, and against an end before
/// the last sixth of the time, until which servers may work.
#[rstest]
#[case(500)]
#[case(1_000)]
#[case(2_000)]
#[case(3_000)]
#[case(6_000)]
#[case(30_000)]
fn accepted_requests_have_time_for_their_answers(#[case] kill_after_ms: u64) {
    let kill_after = Duration::from_millis(kill_after_ms);

    let plan = StopPlan::new(kill_after);

    assert!(
        plan.close_after <= plan.end_after - plan.close_after,
        "{plan:?}"
    );
    assert!(plan.end_after >= kill_after * 5 / 6, "{plan:?}");
    assert!(plan.end_after < kill_after, "{plan:?}");
}
