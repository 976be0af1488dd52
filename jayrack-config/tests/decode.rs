//! Decoders refuse arbitrary input without panic, and with a code.
mod support;

use jayrack_config::{
    fold::ConfigState,
    record::{self, StoredRecord},
    snapshot,
    tail::{Options, RecordTail},
};
use jayrack_protocol::ResultCode;
use proptest::prelude::*;
use rstest::rstest;
use support::{LogFixture, property, steps};

/// Text in which some bytes of `text` are replaced or cut off.
fn damaged(text: String) -> impl Strategy<Value = String> {
    let length = text.len();
    let edits = prop::collection::vec((0..length, any::<char>()), 0..4);
    (edits, 0..=length).prop_map(move |(edits, end)| {
        let mut characters: Vec<char> = text.chars().collect();
        for (index, character) in edits {
            if let Some(slot) = characters.get_mut(index) {
                *slot = character;
            }
        }
        characters.truncate(end);
        characters.into_iter().collect()
    })
}

fn record_text() -> String {
    LogFixture::with_route().records[0].data.clone()
}

fn snapshot_text() -> String {
    snapshot::encode(&LogFixture::with_route().state)
}

proptest! {
    #![proptest_config(property(2000, "tests/seeds/decode.txt"))]

    #[test]
    fn any_record_text_is_folded_or_refused_with_a_code(text in prop_oneof![any::<String>(), damaged(record_text())]) {
        let mut state = ConfigState::new();
        let stored = StoredRecord { offset: 1, time_ms: 1, data: text };

        let result = state.apply(&stored);

        match result {
            Ok(_) => prop_assert_eq!(state.next_offset(), 2),
            Err(error) => prop_assert_eq!(error.code(), ResultCode::RecordNotUnderstood),
        }
        prop_assert_eq!(state.version(), 0);
    }

    #[test]
    fn any_snapshot_text_is_decoded_or_refused_with_a_code(text in prop_oneof![any::<String>(), damaged(snapshot_text())]) {
        let result = snapshot::decode(&text);

        match result {
            Ok(state) => prop_assert_eq!(state, LogFixture::with_route().state),
            Err(error) => {
                let codes = [ResultCode::SnapshotInvalid, ResultCode::RecordNotUnderstood];
                prop_assert!(codes.contains(&error.code()));
            }
        }
    }

    #[test]
    fn records_are_read_as_written(steps in steps::steps(20)) {
        for stored in steps::write_log(&steps) {
            if let Ok(record) = record::decode(&stored.data) {
                prop_assert_eq!(record::decode(&record::encode(&record)), Ok(record));
            }
        }
    }

    #[test]
    fn tail_keeps_the_latest_records(
        sizes in prop::collection::vec(0..40usize, 0..60),
        from in 0..70u64,
        max in 0..20usize,
    ) {
        let mut tail = RecordTail::new(Options { records: 10, size_bytes: 200 }, 1);
        let mut all = Vec::new();
        for (index, size) in sizes.iter().enumerate() {
            let record = StoredRecord { offset: index as u64 + 1, time_ms: 0, data: "x".repeat(*size) };
            tail.push(record.clone());
            all.push(record);
        }

        let records = tail.from(from, max);

        prop_assert!(tail.len() <= 10 && tail.size_bytes() <= 200);
        let expected: Vec<_> = all.iter().filter(|record| record.offset >= from).take(max).cloned().collect();
        match records {
            Some(records) => prop_assert_eq!(records, expected),
            None => prop_assert!(from < tail.first_offset() || from > tail.next_offset()),
        }
    }
}

#[rstest]
#[case::newer(
    r#"{"format":2,"checksum":0,"state":""}"#,
    ResultCode::RecordNotUnderstood
)]
#[case::zero(r#"{"format":0,"checksum":0,"state":""}"#, ResultCode::SnapshotInvalid)]
#[case::wrong_checksum(
    r#"{"format":1,"checksum":0,"state":"{}"}"#,
    ResultCode::SnapshotInvalid
)]
fn snapshot_is_refused_with_a_code(#[case] text: &str, #[case] code: ResultCode) {
    let result = snapshot::decode(text);

    assert_eq!(result.unwrap_err().code(), code);
}
