//! Bodies of requests: received into segments that the byte budget covers, and sent from them.
use std::{
    convert::Infallible,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jayrack_mesh::memory::{SMALL_BYTES, connections::ConnectionPhase};
use tokio::time::{Instant, sleep_until};

use super::{
    connections::ConnectionState,
    memory::{ByteLease, NoRoom},
    segments::SegmentBuffer,
};

/// Interval at which the rate of a body is checked. Several short intervals, not a long one: after a suspension of the
/// process, the first one is over before the bytes that arrived meanwhile are read.
const RATE_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes that a body must receive in one interval, unless it ends: less than 1 % of the slowest link.
const MIN_INTERVAL_BYTES: u64 = 8 << 10;
/// Slow intervals in a row after which a body is given up.
const MAX_SLOW_INTERVALS: u32 = 3;

/// Why a body was not received; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyRefusal {
    /// It is longer than the configuration allows.
    TooLarge,
    /// The byte budget has no room for it.
    NoRoom,
    /// It arrives too slowly.
    Stalled,
    /// It ended early or is malformed.
    Broken,
}

impl BodyRefusal {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyRefusal::TooLarge => "too-large",
            BodyRefusal::NoRoom => "no-room",
            BodyRefusal::Stalled => "stalled",
            BodyRefusal::Broken => "broken",
        }
    }
}

impl From<NoRoom> for BodyRefusal {
    fn from(_: NoRoom) -> Self {
        BodyRefusal::NoRoom
    }
}

#[derive(Debug)]
struct BodyStore {
    segments: Vec<Bytes>,
    length: usize,
    _lease: ByteLease,
}

/// A complete body of a request; clones share its memory.
#[derive(Debug, Clone, Default)]
pub struct RequestBody {
    /// `None` if the body is empty.
    store: Option<Arc<BodyStore>>,
    next_segment: usize,
    sent_bytes: usize,
}

impl RequestBody {
    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.store.as_ref().map_or(0, |store| store.length)
    }

    /// Whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let index = self.next_segment;
        let segment = self
            .store
            .as_ref()
            .and_then(|store| store.segments.get(index).cloned());
        let Some(segment) = segment else {
            return Poll::Ready(None);
        };
        self.next_segment += 1;
        self.sent_bytes += segment.len();
        Poll::Ready(Some(Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.sent_bytes == self.len()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact((self.len() - self.sent_bytes) as u64)
    }
}

/// Receives a whole body of at most `max_bytes` on `connection`; its memory is taken from the budget as it arrives.
///
/// # Errors
///
/// Returns the reason why the body was not received; what it held is given back.
pub async fn receive(
    connection: &ConnectionState,
    mut incoming: Incoming,
    max_bytes: u64,
) -> Result<RequestBody, BodyRefusal> {
    if incoming.is_end_stream() {
        connection.enter(ConnectionPhase::Running);
        return Ok(RequestBody::default());
    }
    let stated_bytes = incoming.size_hint().exact();
    if stated_bytes.is_some_and(|stated_bytes| stated_bytes > max_bytes) {
        return Err(BodyRefusal::TooLarge);
    }
    let mut received = SegmentBuffer::new(connection.budget().lease(), stated_bytes);
    received.lease().record_received(0);
    if let Some(stated_bytes) = stated_bytes
        && stated_bytes > SMALL_BYTES
    {
        received.lease().check(stated_bytes).await?;
    }
    let mut rate = RateMeter::new();
    loop {
        let frame = tokio::select! {
            biased;
            frame = incoming.frame() => frame,
            () = received.lease().until_giving_way() => return Err(BodyRefusal::NoRoom),
            () = connection.until_refusing() => return Err(BodyRefusal::NoRoom),
            () = sleep_until(rate.interval_ends_at) => {
                rate.end_interval()?;
                continue;
            }
        };
        let Some(frame) = frame else {
            break;
        };
        let frame = frame.map_err(|error| {
            log::info!(error:% = error; "body not received completely");
            BodyRefusal::Broken
        })?;
        // Trailers are not passed on.
        if let Ok(data) = frame.into_data() {
            if (received.len() + data.len()) as u64 > max_bytes {
                return Err(BodyRefusal::TooLarge);
            }
            rate.interval_bytes += data.len() as u64;
            received.lease().record_received(data.len());
            received.append(&data).await?;
        }
    }
    connection.enter(ConnectionPhase::Running);
    Ok(finish(received))
}

/// Ends the gathering of a complete body.
fn finish(received: SegmentBuffer) -> RequestBody {
    received.lease().record_complete();
    let length = received.len();
    let (segments, lease) = received.close();
    let store = BodyStore {
        segments,
        length,
        _lease: lease,
    };
    RequestBody {
        store: Some(Arc::new(store)),
        next_segment: 0,
        sent_bytes: 0,
    }
}

/// Rate at which a body arrives.
struct RateMeter {
    interval_ends_at: Instant,
    interval_bytes: u64,
    slow_intervals: u32,
}

impl RateMeter {
    fn new() -> Self {
        Self {
            interval_ends_at: Instant::now() + RATE_INTERVAL,
            interval_bytes: 0,
            slow_intervals: 0,
        }
    }

    fn end_interval(&mut self) -> Result<(), BodyRefusal> {
        self.slow_intervals = match self.interval_bytes < MIN_INTERVAL_BYTES {
            true => self.slow_intervals + 1,
            false => 0,
        };
        if self.slow_intervals >= MAX_SLOW_INTERVALS {
            return Err(BodyRefusal::Stalled);
        }
        self.interval_bytes = 0;
        self.interval_ends_at = Instant::now() + RATE_INTERVAL;
        Ok(())
    }
}
