//! Servers that a request is sent to, and the response to its caller.
use jayrack_protocol::ResultCode;
use jayrack_traffic::{
    RequestFlow,
    ledger::QueryResult,
    request::{Action, Input, Options, Response},
};
use rstest::rstest;

const DEADLINE_MS: u64 = 5_000;
const END_MS: u64 = 5_500;

fn flow(idempotent: bool) -> RequestFlow {
    RequestFlow::new(Options {
        idempotent,
        deadline_ms: DEADLINE_MS,
        grace_ms: END_MS - DEADLINE_MS,
        ..Options::default()
    })
}

fn sent(idempotent: bool) -> RequestFlow {
    let mut flow = flow(idempotent);
    let actions = flow.handle::<u8>(0, Input::Start);
    assert_eq!(actions[0], Action::Send { server: 0 });
    flow
}

fn query(server: usize) -> Action<u8> {
    Action::Query {
        server,
        fence: true,
    }
}

fn reply(result: QueryResult<u8>) -> Input<u8> {
    Input::QueryReply { server: 0, result }
}

fn responds(code: ResultCode) -> Action<u8> {
    Action::Respond(Response::Code(code))
}

#[rstest]
#[case::shed(Input::Answer { server: 0, code: ResultCode::Shed }, Action::Send { server: 1 })]
#[case::not_sent(Input::NotSent { server: 0 }, Action::Send { server: 1 })]
#[case::lost(Input::Lost { server: 0 }, query(0))]
#[case::unknown(
    Input::Answer { server: 0, code: ResultCode::OutcomeUnknown },
    responds(ResultCode::OutcomeUnknown)
)]
#[case::failed(Input::Answer { server: 0, code: ResultCode::ServerFailed }, responds(ResultCode::ServerFailed))]
#[case::too_late(
    Input::Answer { server: 0, code: ResultCode::DeadlinePassed },
    responds(ResultCode::DeadlinePassed)
)]
#[case::answered(
    Input::Answer { server: 0, code: ResultCode::Ok },
    Action::Respond(Response::Forwarded { server: 0 })
)]
fn non_idempotent_requests_are_retried_only_if_they_did_not_run(
    #[case] input: Input<u8>,
    #[case] expected: Action<u8>,
) {
    let mut flow = sent(false);

    let actions = flow.handle(1, input);

    assert_eq!(actions[0], expected);
}

#[rstest]
#[case::done(QueryResult::Done(7), Action::Respond(Response::Fetched(7)))]
#[case::fenced(QueryResult::NotRun(ResultCode::Fenced), Action::Send { server: 1 })]
#[case::unknown(
    QueryResult::Unknown(ResultCode::OutcomeUnknown),
    responds(ResultCode::OutcomeUnknown)
)]
#[case::running(QueryResult::InProgress, Action::Wait { until_ms: 51 })]
fn the_outcome_of_a_lost_answer_is_queried(
    #[case] result: QueryResult<u8>,
    #[case] expected: Action<u8>,
) {
    let mut flow = sent(false);
    flow.handle::<u8>(1, Input::Lost { server: 0 });

    let actions = flow.handle(1, reply(result));

    assert_eq!(actions[0], expected);
}

#[test]
fn idempotent_requests_are_retried_at_once_and_then_never_reported_not_run() {
    let mut flow = sent(true);

    let retried = flow.handle::<u8>(1, Input::Lost { server: 0 });
    let end = flow.handle::<u8>(2, Input::NoServer(ResultCode::RetryBudgetSpent));

    assert_eq!(retried[0], Action::Send { server: 1 });
    assert_eq!(end, [responds(ResultCode::OutcomeUnknown)]);
}

#[rstest]
#[case::running(Some(QueryResult::InProgress), ResultCode::DeadlineExceeded)]
#[case::silent(None, ResultCode::OutcomeUnknown)]
#[case::queued(Some(QueryResult::NotRun(ResultCode::Fenced)), ResultCode::Fenced)]
fn the_outcome_is_queried_at_the_deadline(
    #[case] result: Option<QueryResult<u8>>,
    #[case] expected: ResultCode,
) {
    let mut flow = sent(false);
    let asked = flow.handle::<u8>(DEADLINE_MS, Input::Timeout);

    let mut actions = match result {
        Some(result) => flow.handle(DEADLINE_MS, reply(result)),
        None => flow.handle(END_MS, Input::Timeout),
    };
    if !flow.is_ended() {
        actions = flow.handle(END_MS, Input::Timeout);
    }

    assert_eq!(asked[0], query(0));
    assert_eq!(actions, [responds(expected)]);
    assert!(flow.is_ended());
}

#[test]
fn attempts_are_bounded() {
    let mut flow = sent(false);
    let shed = |server| Input::<u8>::Answer {
        server,
        code: ResultCode::Shed,
    };

    let second = flow.handle(1, shed(0));
    let third = flow.handle(2, shed(1));
    let last = flow.handle(3, shed(2));

    assert_eq!(second[0], Action::Send { server: 1 });
    assert_eq!(third[0], Action::Send { server: 2 });
    assert_eq!(last, [responds(ResultCode::Shed)]);
}
