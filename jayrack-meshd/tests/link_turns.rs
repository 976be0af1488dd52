//! Turns of large answers on a link, in virtual time: a turn lasts as long as the answer is written, whatever length its
//! head states.
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use jayrack_mesh::link::CallerLocation;
use jayrack_meshd::traffic::{
    body::AnswerBody,
    link::{HostLink, LinkTicket, LinkTurn},
};
use tokio::time::{Instant, timeout};

const LINK_MBPS: f64 = 10.0;
const ROUTE: &str = "download";
const ANSWER_BYTES: usize = 90_000;
/// Time that the link needs for a whole answer at the lowest rate of large answers: half of the link.
const SENDING_TIME: Duration = Duration::from_millis(144);
/// Time after which an answer that is not written any further has lost its turn.
const STALL_TIME: Duration = Duration::from_millis(150);

fn link() -> HostLink {
    HostLink::new(LINK_MBPS)
}

fn ticket(link: &HostLink) -> LinkTicket {
    link.reserve(ROUTE, 1_000, CallerLocation::SameDataCentre)
        .expect("the link is idle")
}

/// An answer that is sent in `turn`.
fn answer(link: &HostLink) -> AnswerBody {
    let ticket = ticket(link);
    let pace = ticket.pace();
    let turn = ticket.try_acquire().expect("no other answer is being sent");
    let body = AnswerBody::buffered(Bytes::from(vec![b'b'; ANSWER_BYTES]));
    link.observe(ROUTE, body).paced(pace.with_turn(turn))
}

/// Waits for the next turn; returns how long that took.
async fn wait_for_turn(link: &HostLink) -> (LinkTurn, Duration) {
    let started = Instant::now();
    let turn = timeout(Duration::from_secs(60), ticket(link).acquire()).await;
    (turn.expect("no turn in a minute"), started.elapsed())
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_is_dropped_leaves_the_link_to_others_at_once() {
    let link = link();
    let body = answer(&link);

    drop(body);
    let (_turn, waited) = wait_for_turn(&link).await;

    assert_eq!(waited, Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_turn_ends_when_the_link_has_transmitted_what_was_written() {
    let link = link();
    let mut body = answer(&link);
    let started = Instant::now();

    while !body.is_end_stream() {
        body.frame().await.unwrap().unwrap();
    }
    let (_turn, waited) = wait_for_turn(&link).await;

    let transmitted = started.elapsed();
    assert!(!waited.is_zero(), "the last chunk was not transmitted yet");
    assert!(transmitted <= SENDING_TIME, "{transmitted:?}");
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_stalls_loses_its_turn_and_takes_another_one_when_it_goes_on() {
    let link = link();
    let mut stalled = answer(&link);
    stalled.frame().await.unwrap().unwrap();

    let (turn, waited) = wait_for_turn(&link).await;
    let going_on = tokio::spawn(async move { stalled.collect().await.map(|body| body.to_bytes()) });
    tokio::time::sleep(STALL_TIME / 2).await;
    let is_waiting = !going_on.is_finished();
    drop(turn);
    let rest = timeout(SENDING_TIME, going_on).await;

    assert!(waited <= STALL_TIME, "{waited:?}");
    assert!(is_waiting, "two answers were sent at the same time");
    let rest = rest.expect("no further turn").unwrap().unwrap();
    assert!(rest.len() > ANSWER_BYTES / 2);
}

/// Answers that stall give back their reserved capacity as well, so that they don't fill the link without using it.
#[tokio::test(start_paused = true)]
async fn stalled_answers_reserve_no_capacity() {
    const STALLED: usize = 40;
    let link = link();
    let mut stalled = Vec::new();
    for _ in 0..STALLED {
        let mut body = answer(&link);
        body.frame().await.unwrap().unwrap();
        stalled.push(body);
        tokio::time::sleep(STALL_TIME).await;
    }

    let reserved = link.reserve(ROUTE, 200, CallerLocation::SameDataCentre);

    assert!(reserved.is_ok());
}

/// Guards against a server that sends a large answer in tiny parts and so holds up all others.
#[tokio::test(start_paused = true)]
async fn an_answer_that_trickles_makes_way_for_others() {
    const TRICKLE: Duration = Duration::from_millis(40);
    let link = link();
    let mut trickling = ticket(&link).try_acquire().expect("the link is idle");
    let writing = tokio::spawn(async move {
        loop {
            std::future::poll_fn(|cx| trickling.poll_held(cx)).await;
            trickling.record_written(1);
            tokio::time::sleep(TRICKLE).await;
        }
    });

    let (turn, waited) = wait_for_turn(&link).await;
    drop(turn);
    let (_turn, waited_again) = wait_for_turn(&link).await;
    writing.abort();

    assert!(waited <= STALL_TIME, "{waited:?}");
    assert!(waited_again <= STALL_TIME, "{waited_again:?}");
}
