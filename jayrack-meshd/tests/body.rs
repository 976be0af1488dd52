//! Bodies of answers that are forwarded in chunks at the rate of a link.
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use jayrack_meshd::traffic::body::{AnswerBody, BodyPace};
use tokio::time::Instant;

const CHUNK_BYTES: usize = 1_000;
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

fn paced(length: usize) -> AnswerBody {
    let bytes: Vec<u8> = (0..length).map(|index| index as u8).collect();
    AnswerBody::buffered(Bytes::from(bytes)).paced(BodyPace::new(CHUNK_BYTES, CHUNK_INTERVAL))
}

#[tokio::test(start_paused = true)]
async fn a_paced_body_is_complete_and_arrives_in_chunks_at_the_given_rate() {
    const LENGTH: usize = 10 * CHUNK_BYTES + 1;
    let started = Instant::now();
    let mut body = paced(LENGTH);
    let mut read = Vec::new();

    while let Some(frame) = body.frame().await {
        let chunk = frame.unwrap().into_data().unwrap();
        assert!(chunk.len() <= CHUNK_BYTES);
        read.extend_from_slice(&chunk);
    }

    assert_eq!(read.len(), LENGTH);
    assert!(
        read.iter()
            .enumerate()
            .all(|(index, byte)| *byte == index as u8)
    );
    assert!(started.elapsed() >= CHUNK_INTERVAL * 10);
}

#[tokio::test(start_paused = true)]
async fn the_size_hint_of_a_paced_body_counts_the_held_back_bytes() {
    let mut body = paced(3 * CHUNK_BYTES);

    let before = body.size_hint().exact();
    body.frame().await.unwrap().unwrap();
    let after = body.size_hint().exact();

    assert_eq!(before, Some(3_000));
    assert_eq!(after, Some(2_000));
    assert!(!body.is_end_stream());
}
