//! Bodies that are handed on at the pace of a link.
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use jayrack_meshd::traffic::body::{AnswerBody, BodyPace};
use tokio::time::Instant;

const PIECE_BYTES: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(10);

fn paced(length: usize) -> AnswerBody {
    let bytes: Vec<u8> = (0..length).map(|place| place as u8).collect();
    AnswerBody::buffered(Bytes::from(bytes)).paced(BodyPace::new(PIECE_BYTES, PAUSE))
}

#[tokio::test(start_paused = true)]
async fn a_large_body_comes_in_pieces_with_pauses_and_whole() {
    const LENGTH: usize = 10 * PIECE_BYTES + 1;
    let started = Instant::now();
    let mut body = paced(LENGTH);
    let mut read = Vec::new();

    while let Some(frame) = body.frame().await {
        let piece = frame.unwrap().into_data().unwrap();
        assert!(piece.len() <= PIECE_BYTES);
        read.extend_from_slice(&piece);
    }

    assert_eq!(read.len(), LENGTH);
    assert!(
        read.iter()
            .enumerate()
            .all(|(place, byte)| *byte == place as u8)
    );
    assert!(started.elapsed() >= PAUSE * 10);
}

#[tokio::test(start_paused = true)]
async fn the_size_of_a_paced_body_counts_what_is_held_back() {
    let mut body = paced(3 * PIECE_BYTES);

    let before = body.size_hint().exact();
    body.frame().await.unwrap().unwrap();
    let after = body.size_hint().exact();

    assert_eq!(before, Some(3_000));
    assert_eq!(after, Some(2_000));
    assert!(!body.is_end_stream());
}
