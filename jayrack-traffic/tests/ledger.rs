//! The outcome ledger against a record of what happened to each request.
mod support {
    pub mod seeded;
}

use std::collections::BTreeMap;

use jayrack_protocol::ResultCode;
use jayrack_traffic::{
    class::request_id,
    ledger::{BeginResult, Options, Outcome, OutcomeLedger, QueryResult},
};
use proptest::prelude::*;
use support::seeded::seeded;

/// What happened to a request, across restarts of the owner.
#[derive(Debug, Default)]
struct ActualOutcome {
    has_run: bool,
    answer: Option<u64>,
    is_reported_not_run: bool,
    is_queued: bool,
}

fn ledger(started_unix_ms: u64) -> OutcomeLedger<u64> {
    OutcomeLedger::new(Options {
        started_unix_ms,
        clock_skew_ms: 10,
        max_records: 8,
        max_bytes: 300,
        retention_ms: 500,
    })
}

proptest! {
    #![proptest_config(seeded(300))]

    #[test]
    fn replies_never_contradict_the_actual_outcome(
        steps in prop::collection::vec((0u8..8, 0u64..12, 0u64..40), 1..200),
    ) {
        let mut now_ms = 1_000;
        let mut ledger = ledger(now_ms - 10);
        let mut actuals: BTreeMap<u64, ActualOutcome> = BTreeMap::new();
        let mut sent_ms: BTreeMap<u64, u64> = BTreeMap::new();

        for (step, number, gap_ms) in steps {
            now_ms += gap_ms;
            let sent = *sent_ms.entry(number).or_insert(now_ms);
            let id = request_id(sent, u128::from(number));
            let actual = actuals.entry(number).or_default();
            match step {
                0 | 1 => {
                    let is_new = ledger.begin(now_ms, id) == BeginResult::New;
                    actual.is_queued |= is_new;
                }
                2 if actual.is_queued => {
                    actual.is_queued = false;
                    if ledger.dispatched(now_ms, id) {
                        prop_assert!(!actual.has_run, "runs twice");
                        prop_assert!(!actual.is_reported_not_run, "runs after it was reported as not run");
                        actual.has_run = true;
                    }
                }
                3 if actual.has_run && actual.answer.is_none() => {
                    actual.answer = Some(number);
                    ledger.done(now_ms, id, number, 100);
                }
                4 | 5 => match ledger.query(now_ms, id, step == 4) {
                    QueryResult::Done(answer) => prop_assert_eq!(Some(answer), actual.answer),
                    QueryResult::NotRun(_) => {
                        prop_assert!(!actual.has_run, "reported as not run, but ran");
                        actual.is_reported_not_run = true;
                    }
                    QueryResult::InProgress | QueryResult::Unknown(_) => {}
                },
                6 if gap_ms == 0 => {
                    ledger = self::ledger(now_ms);
                    for actual in actuals.values_mut() {
                        actual.is_queued = false;
                    }
                }
                _ => {}
            }
        }
    }

    #[test]
    fn memory_stays_bounded(numbers in prop::collection::vec((0u128..200, 0u64..120), 1..300)) {
        let mut ledger = ledger(0);

        for (index, (number, bytes)) in numbers.into_iter().enumerate() {
            let now_ms = 100 + index as u64;
            let id = request_id(now_ms, number);
            ledger.begin(now_ms, id);
            ledger.dispatched(now_ms, id);
            ledger.done(now_ms, id, 0, bytes);

            let (records, stored) = ledger.size();
            prop_assert!(records <= 8 && stored <= 300, "{} records, {} bytes", records, stored);
        }
    }
}

#[test]
fn a_fence_refuses_a_late_arrival_and_a_queued_request() {
    let mut ledger = ledger(0);
    let (absent, queued) = (request_id(100, 1), request_id(100, 2));
    ledger.begin(100, queued);

    let fenced = [
        ledger.query(100, absent, true),
        ledger.query(100, queued, true),
    ];

    assert_eq!(
        fenced,
        [
            QueryResult::NotRun(ResultCode::Fenced),
            QueryResult::NotRun(ResultCode::Fenced)
        ]
    );
    let refusal = BeginResult::Existing(Outcome::NotRun(ResultCode::Fenced));
    assert_eq!(ledger.begin(101, absent), refusal);
    assert!(!ledger.dispatched(101, queued));
}

#[test]
fn a_restarted_owner_runs_no_older_request_and_reports_it_unknown() {
    let older = request_id(100, 1);
    let mut ledger = ledger(200);

    let result = ledger.query(300, older, true);
    let arrival = ledger.begin(300, older);

    assert_eq!(result, QueryResult::Unknown(ResultCode::OutcomeUnknown));
    assert_eq!(
        arrival,
        BeginResult::Existing(Outcome::NotRun(ResultCode::Fenced))
    );
}

#[test]
fn a_complete_ledger_accepts_requests_sent_within_the_clock_skew_of_its_start() {
    let (taken, absent) = (request_id(205, 1), request_id(205, 2));
    let mut ledger = ledger(200);

    ledger.assume_complete();

    assert_eq!(ledger.begin(300, taken), BeginResult::New);
    assert_eq!(
        ledger.query(300, absent, true),
        QueryResult::NotRun(ResultCode::Fenced)
    );
}

#[test]
fn an_answer_over_the_limit_is_evicted_but_its_record_is_kept() {
    let mut ledger = ledger(0);
    let id = request_id(100, 1);
    ledger.begin(100, id);
    ledger.dispatched(100, id);

    ledger.done(100, id, 7, 1_000);

    assert_eq!(
        ledger.query(101, id, true),
        QueryResult::Unknown(ResultCode::OutcomeUnknown)
    );
    assert_eq!(ledger.size(), (1, 0));
}
