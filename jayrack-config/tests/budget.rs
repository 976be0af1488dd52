//! The append budget compared with a naive counter over virtual time.
mod support;

use jayrack_config::budget::{AppendBudget, Options};
use proptest::prelude::*;
use support::property;

const OPTIONS: Options = Options {
    fleet_per_second: 100,
    burst: 5,
};

/// Fails when any window between two granted attempts holds more than the burst and the rate allow.
fn check_windows(granted: &[u64], burst: u64, per_second: u64) {
    for (first, start_ms) in granted.iter().enumerate() {
        for (last, end_ms) in granted.iter().enumerate().skip(first) {
            let count = (last - first + 1) as u64;
            let allowed = burst + (end_ms - start_ms) * per_second / 1000 + 1;
            assert!(
                count <= allowed,
                "{count} attempts from {start_ms} to {end_ms} ms, allowed {allowed}"
            );
        }
    }
}

#[test]
fn fifty_callers_never_exceed_one_budget() {
    let mut budget = AppendBudget::new(OPTIONS, 1, 0);
    let mut next_attempt_ms: Vec<u64> = (0..50).collect();
    let mut granted = Vec::new();

    // Each caller retries at once after a grant, and otherwise after the returned wait.
    for now_ms in 0..10_000 {
        for next_ms in next_attempt_ms
            .iter_mut()
            .filter(|next_ms| **next_ms <= now_ms)
        {
            match budget.charge(now_ms) {
                Ok(()) => granted.push(now_ms),
                Err(wait_ms) => *next_ms = now_ms + wait_ms,
            }
        }
    }

    check_windows(&granted, 5, 100);
    assert!(
        granted.len() >= 950,
        "only {} attempts granted in 10 s",
        granted.len()
    );
}

#[test]
fn restarting_fleet_stays_within_the_quota() {
    let members = 760;
    let mut budgets: Vec<AppendBudget> = (0..members)
        .map(|_| AppendBudget::new(OPTIONS, members, 0))
        .collect();
    let mut granted = Vec::new();

    for now_ms in (0..20_000).step_by(50) {
        for budget in &mut budgets {
            if budget.charge(now_ms).is_ok() {
                granted.push(now_ms);
            }
        }
    }

    assert!(granted.len() <= 2_000, "{} attempts in 20 s", granted.len());
}

proptest! {
    #![proptest_config(property(300, "tests/seeds/budget.txt"))]

    #[test]
    fn agrees_with_naive_counter(gaps in prop::collection::vec((0..400u64, 1..4usize), 1..120)) {
        let mut budget = AppendBudget::new(OPTIONS, 10, 0);
        let mut naive = NaiveBudget::default();
        let mut now_ms = 0;

        for (gap_ms, members) in gaps {
            now_ms += gap_ms;
            budget.resize(members * 10, now_ms);
            naive.advance(now_ms, members * 10);
            let granted = budget.charge(now_ms).is_ok();
            prop_assert_eq!(granted, naive.charge(), "at {} ms", now_ms);
        }
    }

    #[test]
    fn attempt_after_the_returned_wait_is_granted(idle_ms in 0..1_000u64, members in 1..800usize) {
        let mut budget = AppendBudget::new(OPTIONS, members, 0);
        let mut now_ms = idle_ms;

        let wait_ms = loop {
            match budget.charge(now_ms) {
                Ok(()) => {}
                Err(wait_ms) => break wait_ms,
            }
        };

        now_ms += wait_ms;
        prop_assert!(budget.charge(now_ms).is_ok());
    }
}

/// Reference implementation that adds credit millisecond by millisecond.
#[derive(Default)]
struct NaiveBudget {
    now_ms: u64,
    members: u64,
    millionths: u64,
}

impl NaiveBudget {
    fn advance(&mut self, now_ms: u64, members: usize) {
        let members_before = if self.members == 0 { 10 } else { self.members };
        while self.now_ms < now_ms {
            self.now_ms += 1;
            self.millionths = (self.millionths + 100_000 / members_before).min(5_000_000);
        }
        self.members = members as u64;
    }

    fn charge(&mut self) -> bool {
        let is_enough = self.millionths >= 1_000_000;
        if is_enough {
            self.millionths -= 1_000_000;
        }
        is_enough
    }
}
