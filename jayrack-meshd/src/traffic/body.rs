//! Bodies of answers, buffered or streamed.
use std::{
    any::Any,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jayrack_platform::body as whole_body;
use tokio::time::{Instant, Sleep, sleep, sleep_until};

use super::{link::LinkTurn, memory::ByteBudget, segments::SegmentBuffer};

/// Value that is dropped when a body has ended.
pub type BodyGuard = Box<dyn Any + Send>;

/// Rate limit of a body, so that its written bytes do not fill the buffers of a link.
#[derive(Debug)]
pub struct BodyPace {
    chunk_bytes: usize,
    chunk_interval: Duration,
    /// Bytes that were read from the source and may not be passed on yet.
    pending: Bytes,
    delay: Option<Pin<Box<Sleep>>>,
    /// Turn without which no chunk is passed on, if the link has turns.
    turn: Option<LinkTurn>,
}

impl BodyPace {
    /// Passes on at most `chunk_bytes` at a time, with `chunk_interval` between two full chunks.
    pub fn new(chunk_bytes: usize, chunk_interval: Duration) -> Self {
        Self {
            chunk_bytes,
            chunk_interval,
            pending: Bytes::new(),
            delay: None,
            turn: None,
        }
    }

    /// Passes chunks on only while `turn` is held.
    pub fn with_turn(mut self, turn: LinkTurn) -> Self {
        self.turn = Some(turn);
        self
    }

    /// Waits until the next chunk may be passed on.
    fn poll_delay(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.delay.as_mut().map(|delay| delay.as_mut().poll(cx)) {
            Some(Poll::Pending) => Poll::Pending,
            Some(Poll::Ready(())) | None => {
                self.delay = None;
                Poll::Ready(())
            }
        }
    }

    /// Waits until the answer may be written to the link.
    fn poll_turn(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match &mut self.turn {
            Some(turn) => turn.poll_held(cx),
            None => Poll::Ready(()),
        }
    }

    /// Splits the next chunk off the pending bytes; the one after it is due when the link has transmitted this one.
    fn take_chunk(&mut self) -> Bytes {
        let length = self.pending.len().min(self.chunk_bytes);
        let chunk = self.pending.split_to(length);
        let fraction = length as f64 / self.chunk_bytes as f64;
        self.delay = Some(Box::pin(sleep(self.chunk_interval.mul_f64(fraction))));
        if let Some(turn) = &self.turn {
            turn.record_written(length as u64);
        }
        chunk
    }
}

/// How much of a body was passed on.
#[derive(Debug, Default)]
pub struct BodyProgress {
    passed_bytes: AtomicU64,
    is_complete: AtomicBool,
}

impl BodyProgress {
    /// Number of bytes passed on so far.
    pub fn passed_bytes(&self) -> u64 {
        self.passed_bytes.load(Ordering::Relaxed)
    }

    /// Whether the body was passed on to its end.
    pub fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }
}

/// Calls an observer with the progress of a body that has ended.
struct EndGuard<F: FnOnce(&BodyProgress)> {
    progress: Arc<BodyProgress>,
    observe: Option<F>,
}

impl<F: FnOnce(&BodyProgress)> Drop for EndGuard<F> {
    fn drop(&mut self) {
        if let Some(observe) = self.observe.take() {
            observe(&self.progress);
        }
    }
}

/// Body of an answer; it holds guards until it ends or is dropped.
#[derive(Debug)]
pub struct AnswerBody {
    source: BodySource,
    // On the heap, since few bodies are paced.
    pace: Option<Box<BodyPace>>,
    /// Ends the body with an error, so that a server that never stops sending is not read for ever.
    deadline: Option<Pin<Box<Sleep>>>,
    /// Shared with the observers of the body's end.
    progress: Option<Arc<BodyProgress>>,
    guards: Vec<BodyGuard>,
}

#[derive(Debug)]
enum BodySource {
    Buffered(Full<Bytes>),
    Streamed(Incoming),
    /// All bytes of a body that was read ahead.
    Read(Box<SegmentBuffer>),
    /// Bytes that were read ahead, and the remaining stream.
    PartlyRead(Box<SegmentBuffer>, Incoming),
}

/// Error of reading a body to its end.
#[derive(Debug)]
pub enum Error {
    /// The body is larger than the limit.
    TooLarge,
    /// The body ended early.
    Broken(String),
    /// The body had not ended by its deadline.
    Expired,
}

impl std::fmt::Display for Error {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::TooLarge => formatter.write_str("the body is too large"),
            Error::Broken(reason) => write!(formatter, "the body ended early: {reason}"),
            Error::Expired => formatter.write_str("the body did not end in time"),
        }
    }
}

impl std::error::Error for Error {}

impl AnswerBody {
    /// Creates a body from bytes in memory.
    pub fn buffered(bytes: Bytes) -> Self {
        Self::new(BodySource::Buffered(Full::new(bytes)))
    }

    /// Creates a body that is still being received.
    pub fn streamed(incoming: Incoming) -> Self {
        Self::new(BodySource::Streamed(incoming))
    }

    fn new(source: BodySource) -> Self {
        Self {
            source,
            pace: None,
            deadline: None,
            progress: None,
            guards: Vec::new(),
        }
    }

    /// Holds `guard` until the body ends or is dropped.
    pub fn with_guard(mut self, guard: BodyGuard) -> Self {
        self.guards.push(guard);
        self
    }

    /// Limits the body to the rate of `pace`.
    pub fn paced(mut self, pace: BodyPace) -> Self {
        self.pace = Some(Box::new(pace));
        self
    }

    /// Ends the body with an error at `deadline` unless it is completely in memory.
    pub fn with_deadline(mut self, deadline: Instant) -> Self {
        if !self.is_buffered() {
            self.deadline = Some(Box::pin(sleep_until(deadline)));
        }
        self
    }

    /// Calls `observe` with the progress of the body when it has ended or is dropped.
    pub fn on_end(mut self, observe: impl FnOnce(&BodyProgress) + Send + 'static) -> Self {
        let guard = EndGuard {
            progress: self.progress.get_or_insert_default().clone(),
            observe: Some(observe),
        };
        self.with_guard(Box::new(guard))
    }

    /// The guards that are held until the body ends.
    pub fn guards_mut(&mut self) -> &mut [BodyGuard] {
        &mut self.guards
    }

    /// Whether the body is sent at a limited rate.
    pub fn is_paced(&self) -> bool {
        self.pace.is_some()
    }

    /// Whether the complete body is in memory.
    pub fn is_buffered(&self) -> bool {
        matches!(self.source, BodySource::Buffered(_) | BodySource::Read(_))
    }

    /// Reads ahead until the body has ended, is longer than `limit` bytes, or `budget` has no room for more of it.
    ///
    /// A body that has ended is buffered, and its guards are dropped. What was read keeps its part of the budget until the
    /// body has been sent.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the body ends early.
    pub async fn read_ahead(mut self, limit: usize, budget: &ByteBudget) -> Result<Self, Error> {
        let (mut read, mut incoming) = match self.source {
            BodySource::Buffered(_) | BodySource::Read(_) => return Ok(self),
            BodySource::Streamed(incoming) => {
                let stated_bytes = incoming.size_hint().exact();
                let read = SegmentBuffer::new(budget.lease(), stated_bytes);
                (Box::new(read), incoming)
            }
            BodySource::PartlyRead(read, incoming) => (read, incoming),
        };
        let mut has_room = true;
        while read.len() <= limit && has_room {
            let Some(frame) = incoming.frame().await else {
                return Ok(Self::new(BodySource::Read(read)));
            };
            let frame = frame.map_err(broken)?;
            if let Some(data) = frame.data_ref() {
                has_room = read.try_append(data);
            }
        }
        self.source = BodySource::PartlyRead(read, incoming);
        Ok(self)
    }

    /// Reads the remaining body into one buffer; the guards are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body ends early or exceeds `limit` bytes.
    pub async fn collect_up_to(self, limit: usize) -> Result<Bytes, Error> {
        let collected = whole_body::read_whole(self, limit).await;
        collected.map_err(|error| match error {
            whole_body::Error::TooLarge => Error::TooLarge,
            whole_body::Error::Broken(reason) => Error::Broken(reason),
        })
    }

    /// Reads and drops the remaining body; the guards are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body ends early or exceeds `limit` bytes.
    pub async fn discard_up_to(mut self, limit: usize) -> Result<(), Error> {
        let mut discarded_bytes = 0;
        while let Some(frame) = self.frame().await {
            discarded_bytes += frame?.data_ref().map_or(0, Bytes::len);
            if discarded_bytes > limit {
                return Err(Error::TooLarge);
            }
        }
        Ok(())
    }
}

impl BodySource {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<PolledFrame>> {
        match self {
            BodySource::Buffered(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            BodySource::Streamed(body) => Pin::new(body).poll_frame(cx).map_err(broken),
            BodySource::Read(read) => {
                Poll::Ready(read.pop_front().map(|data| Ok(Frame::data(data))))
            }
            BodySource::PartlyRead(read, body) => match read.pop_front() {
                Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
                None => Pin::new(body).poll_frame(cx).map_err(broken),
            },
        }
    }
}

impl AnswerBody {
    /// Polls the next frame, or the next chunk of one if the body is paced.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<PolledFrame>> {
        let Some(pace) = &mut self.pace else {
            return self.source.poll_frame(cx);
        };
        ready!(pace.poll_delay(cx));
        if pace.pending.is_empty() {
            match ready!(self.source.poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => pace.pending = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                ended => return Poll::Ready(ended),
            }
        }
        ready!(pace.poll_turn(cx));
        Poll::Ready(Some(Ok(Frame::data(pace.take_chunk()))))
    }

    /// Gives back what the body held until its end.
    fn release(&mut self) {
        self.guards.clear();
        if let Some(pace) = &mut self.pace {
            pace.turn = None;
        }
    }

    /// Records what was polled; the last frame completes the body.
    fn record_progress(&self, polled: &Option<PolledFrame>) {
        let Some(progress) = &self.progress else {
            return;
        };
        if let Some(Ok(frame)) = polled {
            let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
            progress.passed_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        let is_complete = match polled {
            None => true,
            Some(Ok(_)) => self.is_end_stream(),
            Some(Err(_)) => false,
        };
        progress.is_complete.store(is_complete, Ordering::Relaxed);
    }
}

fn broken(error: hyper::Error) -> Error {
    Error::Broken(error.to_string())
}

type PolledFrame = Result<Frame<Bytes>, Error>;

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let deadline = self.deadline.as_mut();
        if deadline.is_some_and(|deadline| deadline.as_mut().poll(cx).is_ready()) {
            self.release();
            return Poll::Ready(Some(Err(Error::Expired)));
        }
        let polled = ready!(self.poll_chunk(cx));
        self.record_progress(&polled);
        if matches!(polled, None | Some(Err(_))) || self.is_end_stream() {
            self.release();
        }
        Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        if self
            .pace
            .as_ref()
            .is_some_and(|pace| !pace.pending.is_empty())
        {
            return false;
        }
        match &self.source {
            BodySource::Buffered(body) => body.is_end_stream(),
            BodySource::Streamed(body) => body.is_end_stream(),
            BodySource::Read(read) => read.is_empty(),
            BodySource::PartlyRead(read, body) => read.is_empty() && body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        let unsent = self
            .pace
            .as_ref()
            .map_or(0, |pace| pace.pending.len() as u64);
        match &self.source {
            BodySource::Buffered(body) => with_read_bytes(&body.size_hint(), unsent),
            BodySource::Streamed(body) => with_read_bytes(&body.size_hint(), unsent),
            BodySource::Read(read) => SizeHint::with_exact(unsent + read.len() as u64),
            BodySource::PartlyRead(read, body) => {
                with_read_bytes(&body.size_hint(), unsent + read.len() as u64)
            }
        }
    }
}

/// Size of a body of which `read` bytes were read before.
fn with_read_bytes(rest: &SizeHint, read: u64) -> SizeHint {
    let mut hint = SizeHint::new();
    hint.set_lower(read + rest.lower());
    if let Some(upper) = rest.upper() {
        hint.set_upper(read + upper);
    }
    hint
}
