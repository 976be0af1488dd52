//! Tests of the log stand-in through the project's own client.
use std::{net::SocketAddr, time::Duration};

use jayrack_platform::{
    HttpLog, LogService, StoreClient, http,
    log::Error,
    pool, store,
    store::{Error as StoreError, LogPosition},
};
use jayrack_testkit::{
    log_standin::{LogBehaviour, LogStandin, LostAnswer, Outage, store::LogStore},
    standin_process::ANY_PORT,
};
use rstest::rstest;

/// A position in a topic of a store that states no eras.
fn at(offset: u64) -> LogPosition {
    LogPosition { offset, era: None }
}

fn client(address: SocketAddr) -> HttpLog {
    HttpLog::with_options(
        address,
        http::Options {
            request_timeout_ms: 500,
            ..http::Options::default()
        },
    )
}

#[tokio::test]
async fn appended_records_are_read_in_order() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let log = client(standin.address());
    log.append("intents", "a").await.unwrap();
    log.append("intents", "b").await.unwrap();

    let batch = log.read("intents", 1, 10, 0).await.unwrap();

    assert_eq!(batch.next, 3);
    let texts: Vec<_> = batch.records.iter().map(|record| &record.data).collect();
    assert_eq!(texts, ["a", "b"]);
    standin.close().await;
}

#[tokio::test]
async fn long_poll_ends_with_the_next_append() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let reader = client(standin.address());
    let poll = tokio::spawn(async move { reader.read("intents", 1, 10, 30_000).await });
    while standin.counts().reads == 0 {
        tokio::task::yield_now().await;
    }

    client(standin.address())
        .append("intents", "a")
        .await
        .unwrap();

    assert_eq!(poll.await.unwrap().unwrap().records.len(), 1);
    standin.close().await;
}

#[rstest]
#[case(LostAnswer::Cut, 0)]
#[case(LostAnswer::Withhold, 0)]
#[case(LostAnswer::Cut, 700)]
#[tokio::test]
async fn append_with_lost_answer_takes_effect(
    #[case] lost_answer: LostAnswer,
    #[case] late_ms: u64,
) {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let log = client(standin.address());
    standin.set_behaviour(LogBehaviour {
        lose_answers: 1,
        lost_answer,
        late_ms,
        ..LogBehaviour::default()
    });

    let outcome = log.append("intents", "a").await;

    assert_eq!(outcome, Err(Error::Ambiguous));
    let batch = log.read("intents", 1, 10, 30_000).await.unwrap();
    assert_eq!(batch.records.len(), 1);
    standin.close().await;
}

#[rstest]
#[case(Outage::Refuse, Error::Unavailable)]
#[case(Outage::Silent, Error::Ambiguous)]
#[tokio::test]
async fn outage_appends_nothing(#[case] outage: Outage, #[case] expected: Error) {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let log = client(standin.address());
    standin.set_behaviour(LogBehaviour {
        outage,
        ..LogBehaviour::default()
    });

    let outcome = log.append("intents", "a").await;

    assert_eq!(outcome, Err(expected));
    assert!(standin.counts().records.is_empty());
    standin.close().await;
}

#[tokio::test]
async fn expired_records_are_unreadable_and_offsets_continue() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let log = client(standin.address());
    log.append("intents", "a").await.unwrap();
    standin.expire_all();

    let outcome = log.read("intents", 1, 10, 0).await;

    assert!(matches!(
        outcome,
        Err(Error::Expired {
            first: 2,
            next: 2,
            ..
        })
    ));
    assert_eq!(log.append("intents", "b").await.unwrap().offset, 2);
    standin.close().await;
}

#[tokio::test]
async fn long_poll_of_a_silent_log_times_out() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let log = client(standin.address());
    standin.set_behaviour(LogBehaviour {
        outage: Outage::Silent,
        ..LogBehaviour::default()
    });

    let poll = tokio::time::timeout(Duration::from_secs(60), log.read("intents", 1, 10, 100)).await;

    assert_eq!(poll, Ok(Err(Error::Unavailable)));
    standin.close().await;
}

#[test]
fn quota_holds_over_any_window() {
    let mut store = LogStore::default();

    let taken = (0..10_000)
        .filter(|now_ms| store.take_token(50, *now_ms).is_ok())
        .count();

    assert!((450..=550).contains(&taken), "{taken}");
}

fn store_client(address: SocketAddr) -> StoreClient {
    let answer_timeout = Duration::from_millis(200);
    let options = store::Options {
        pool: pool::Options::default(),
        answer_timeout,
        wait_grace: answer_timeout,
    };
    StoreClient::new(address, options)
}

#[tokio::test]
async fn a_conditional_append_takes_effect_only_at_the_end() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let client = store_client(standin.address());

    assert_eq!(client.put_at("status", "a", b"1", at(0)).await, Ok(at(1)));
    let moved = client.put_at("status", "b", b"2", at(0)).await;
    assert_eq!(moved, Err(StoreError::Moved(1)));
    assert_eq!(client.put_at("status", "b", b"2", at(1)).await, Ok(at(2)));

    assert_eq!(client.newest("status").await.unwrap().records.len(), 2);
    standin.close().await;
}

/// Guards against two final states: a late write must not take effect after another one at the same offset.
#[tokio::test]
async fn a_late_conditional_append_takes_effect_only_if_its_condition_holds() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    let client = store_client(standin.address());
    standin.set_behaviour(LogBehaviour {
        lose_answers: 1,
        lost_answer: LostAnswer::Withhold,
        late_ms: 400,
        ..LogBehaviour::default()
    });
    let lost = client.put_at("status", "a", b"late", at(0)).await;
    assert!(matches!(lost, Err(StoreError::Ambiguous(_))));

    assert_eq!(
        client.put_at("status", "a", b"first", at(0)).await,
        Ok(at(1))
    );
    tokio::time::sleep(Duration::from_millis(600)).await;

    let batch = client.newest("status").await.unwrap();
    assert_eq!(batch.next, at(1));
    assert_eq!(batch.records[0].value, "first");
    standin.close().await;
}

/// A cursor of the first era, and a stand-in that has come back from a copy without the record before the cursor.
async fn returned_standin() -> (LogStandin, StoreClient, LogPosition) {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    standin.state_era();
    let client = store_client(standin.address());
    let copy = standin.copy();
    client.put("status", "a", b"lost").await.unwrap();
    let cursor = client.newest("status").await.unwrap().next;
    standin.return_from(&copy);
    (standin, client, cursor)
}

#[tokio::test]
async fn a_return_from_a_copy_loses_later_records_and_gives_their_offsets_out_again() {
    let (standin, client, cursor) = returned_standin().await;

    let end = client.newest("status").await.unwrap().next;
    let era = client.put("status", "b", b"new").await.unwrap();
    let newest = client.newest("status").await.unwrap();

    assert_eq!((cursor.offset, end.offset), (1, 0));
    assert!(end.era > cursor.era && era == end.era);
    assert_eq!(newest.next.offset, cursor.offset);
    assert_eq!(newest.records[0].key, "b");
    standin.close().await;
}

#[tokio::test]
async fn a_read_from_an_offset_that_the_copy_does_not_have_is_answered_410() {
    let (standin, client, cursor) = returned_standin().await;

    let read = client.read("keyed.status", cursor.offset, Duration::ZERO);

    assert_eq!(read.await, Err(StoreError::Expired(0)));
    standin.close().await;
}

/// Guards against a poll of before that is answered as if nothing had been lost.
#[tokio::test]
async fn a_waiting_read_gets_no_answer_when_the_log_returns_from_a_copy() {
    let standin = LogStandin::start(ANY_PORT).await.unwrap();
    standin.state_era();
    let copy = standin.copy();
    let client = store_client(standin.address());
    let start = client.newest("status").await.unwrap().next;
    let reads = standin.counts().reads;
    let poll = tokio::spawn(async move {
        client
            .changes("status", start, Duration::from_secs(30))
            .await
    });
    while standin.counts().reads == reads {
        tokio::task::yield_now().await;
    }

    standin.return_from(&copy);

    assert!(matches!(poll.await.unwrap(), Err(StoreError::Ambiguous(_))));
    standin.close().await;
}
