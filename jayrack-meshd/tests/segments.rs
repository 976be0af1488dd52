//! Received bytes of bodies in memory of the byte budget.
use bytes::Bytes;
use jayrack_meshd::{
    metrics::MeshMetrics,
    traffic::{
        memory::{ByteBudget, ProcessLimits},
        segments::SegmentBuffer,
    },
};
use rstest::rstest;

/// Memory of a host with the smallest budget, in megabytes.
const SMALL_HOST_MB: u64 = 18;
/// Budget of such a host, in bytes.
const SMALL_BUDGET_BYTES: usize = 8 << 20;
/// Bytes that a test receives one by one.
const TINY_CHUNKS: usize = 100_000;

fn budget() -> (ByteBudget, MeshMetrics) {
    let metrics = MeshMetrics::default();
    let limits = ProcessLimits {
        memory_mb: Some(SMALL_HOST_MB),
        max_descriptors: None,
    };
    (ByteBudget::new(limits, metrics.clone()), metrics)
}

fn numbered(length: usize) -> Bytes {
    (0..length).map(|index| index as u8).collect()
}

fn drain(mut received: SegmentBuffer) -> Vec<u8> {
    let segments = std::iter::from_fn(|| received.pop_front());
    segments.flat_map(|segment| segment.to_vec()).collect()
}

/// Guards against bytes that are lost or exchanged where a segment ends.
#[rstest]
#[case::unknown_length(None)]
#[case::stated_length(Some(300_000))]
#[tokio::test]
async fn bytes_leave_a_buffer_as_they_came(#[case] stated_bytes: Option<u64>) {
    let (budget, _) = budget();
    let sent = numbered(300_000);
    let mut received = SegmentBuffer::new(budget.lease(), stated_bytes);

    let mut rest = sent.clone();
    for length in (1..).step_by(977) {
        let chunk = rest.split_to(length.min(rest.len()));
        if chunk.is_empty() {
            break;
        }
        received.append(&chunk).await.unwrap();
    }

    assert_eq!(received.len(), sent.len());
    assert_eq!(drain(received), sent);
}

/// Guards against chunks that cost more memory than the budget counts.
#[tokio::test]
async fn chunks_of_one_byte_cost_their_segments() {
    let (budget, metrics) = budget();
    let mut received = SegmentBuffer::new(budget.lease(), None);
    let chunk = numbered(1);

    for _ in 0..TINY_CHUNKS {
        assert!(received.try_append(&chunk));
    }

    let taken_bytes = usize::try_from(metrics.budget_bytes.get()).unwrap();
    assert!(taken_bytes >= TINY_CHUNKS);
    assert!(taken_bytes <= 2 * TINY_CHUNKS, "{taken_bytes} bytes taken");
    let (segments, lease) = received.close();
    assert!(segments.len() < 10, "{} segments", segments.len());
    drop(lease);
    assert_eq!(metrics.budget_bytes.get(), 0);
}

/// Guards against bytes that are lost, or go on being received, when the budget has no room.
#[tokio::test]
async fn without_room_nothing_received_is_lost() {
    let (budget, _) = budget();
    let mut received = SegmentBuffer::new(budget.lease(), None);
    let chunk = numbered(60_000);

    let appended = (1..1_000).take_while(|_| received.try_append(&chunk));
    let received_chunks = appended.count() + 1;

    assert!(received_chunks * chunk.len() <= SMALL_BUDGET_BYTES);
    assert_eq!(drain(received), chunk.repeat(received_chunks));
}
