//! Inputs in any order and with any numbers cause no panic and never lower the version.
mod support;

use jayrack_config::{
    fold::ConfigState,
    snapshot,
    sync::{Input, LogAnswer, PeerDigest, PullAnswer, RecordPush},
};
use proptest::prelude::*;
use support::{
    LogFixture, START_MS,
    fleet::{Machine, member, members},
    property, put, rank, service,
};

/// A log with five versions and two open plans.
fn history() -> LogFixture {
    let mut log = LogFixture::with_route();
    for number in 0..4 {
        log.accept(
            &format!("plan{number}"),
            put(vec![service(&format!("s{number}"))]),
        );
    }
    log.propose(
        "open",
        &support::operator("shop"),
        put(vec![rank("urgent", 0, 20)]),
    );
    log.append("garbage".to_string());
    log
}

fn state_at(log: &LogFixture, count: usize) -> ConfigState {
    let mut state = ConfigState::new();
    for record in &log.records[..count] {
        state.apply(record).expect("record is understood");
    }
    state
}

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![8 => 0..16u64, 1 => Just(u64::MAX), 1 => START_MS..START_MS + 10_000_000]
}

fn input(log: LogFixture) -> impl Strategy<Value = Input> {
    let length = log.records.len();
    let source = log.clone();
    let slice = (0..=length, 0..=length)
        .prop_map(move |(start, end)| source.records[start.min(end)..end].to_vec());
    let records = slice.boxed();
    let source = log.clone();
    let text = (0..=length)
        .prop_map(move |count| snapshot::encode(&state_at(&source, count)))
        .boxed();
    let peer_state = (0..=length)
        .prop_map(move |count| state_at(&log, count))
        .boxed();
    let read = (number(), number(), number(), records.clone());
    let answer = (
        0..6usize,
        peer_state.clone(),
        records.clone(),
        prop::option::of(text.clone()),
        0..16u64,
    );
    let stored = |data| jayrack_config::record::StoredRecord {
        offset: 1,
        time_ms: START_MS,
        data,
    };
    prop_oneof![
        Just(Input::Tick),
        Just(Input::LogFailed),
        Just(Input::SnapshotsFailed),
        read.prop_map(|(first, next, now_ms, records)| Input::LogRead(LogAnswer {
            first,
            next,
            now_ms,
            records
        })),
        (number(), number(), number()).prop_map(|(first, next, now_ms)| Input::LogExpired {
            first,
            next,
            now_ms
        }),
        prop::collection::vec(text, 0..3).prop_map(move |texts| Input::SnapshotsRead {
            records: texts.into_iter().map(stored).collect()
        }),
        (records, 0..4u32).prop_map(|(records, hops)| Input::Pushed(RecordPush {
            peer: None,
            records,
            hops
        })),
        answer.prop_map(
            |(peer, state, records, snapshot, minimum_version)| Input::Pulled {
                peer: member(peer).id,
                answer: PullAnswer {
                    records,
                    snapshot,
                    next_offset: state.next_offset(),
                    version: state.version(),
                    digest: state.digest(),
                    minimum_version,
                },
            }
        ),
        (
            0..6usize,
            peer_state,
            prop::option::of(number()),
            prop::option::of(number())
        )
            .prop_map(|(peer, state, next_offset, log_now_ms)| {
                Input::PeerDigest(PeerDigest {
                    peer: member(peer).id,
                    version: state.version(),
                    digest: state.digest(),
                    next_offset,
                    log_now_ms,
                })
            }),
        (1..8usize).prop_map(|count| Input::Members(members(count))),
        number().prop_map(Input::MinimumVersion),
    ]
}

proptest! {
    #![proptest_config(property(400, "tests/seeds/input.txt"))]

    #[test]
    fn any_inputs_never_lower_the_version(
        inputs in prop::collection::vec((0..20_000u64, input(history())), 0..40),
    ) {
        let mut machine = Machine::start(6);
        let mut version = 0;
        let mut was_ready = false;

        for (pause_ms, input) in inputs {
            machine.now_ms += pause_ms;
            machine.input(input);
            machine.input(Input::Tick);

            prop_assert!(machine.sync.state().version() >= version);
            prop_assert!(machine.sync.is_ready() || !was_ready);
            version = machine.sync.state().version();
            was_ready = machine.sync.is_ready();
        }
    }
}
