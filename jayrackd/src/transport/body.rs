//! Bodies that are forwarded through the daemon: streamed, so that a large one is not held in memory
//! completely, or buffered.
use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use jayrack_protocol::frame;
use quinn::RecvStream;

use super::{Error, wire::StreamSender};

/// Bytes read from a QUIC stream at a time.
const READ_BYTES: usize = 16 * 1024;

/// Why a body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The sender or the connection failed.
    Lost,
    /// The body is longer than allowed.
    TooLarge,
    /// The sender sent nothing within the time limit.
    Silent,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            BodyError::Lost => write!(f, "body was cut"),
            BodyError::TooLarge => write!(f, "body is too large"),
            BodyError::Silent => write!(f, "body stalled"),
        }
    }
}

impl std::error::Error for BodyError {}

/// A body that is being forwarded, with a guard that is dropped at its end.
#[derive(Debug)]
pub(crate) struct RelayBody {
    source: Source,
    /// Dropped with the body; ends the accounting of its request.
    guard: Option<Box<dyn Guard>>,
}

/// A value that is dropped when a body ends.
pub(crate) trait Guard: std::fmt::Debug + Send + Sync {}

impl<T: std::fmt::Debug + Send + Sync> Guard for T {}

#[derive(Debug)]
enum Source {
    Full(Option<Bytes>),
    Quic(QuicSource),
    Http(Incoming),
}

#[derive(Debug)]
struct QuicSource {
    receive: RecvStream,
    length: Option<u64>,
    is_ended: bool,
}

impl RelayBody {
    /// Makes a body of complete bytes.
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::new(Source::Full((!bytes.is_empty()).then_some(bytes)))
    }

    /// Makes a body of the rest of a QUIC stream; `length` in bytes when it is known.
    pub(crate) fn quic(receive: RecvStream, length: Option<u64>) -> Self {
        Self::new(Source::Quic(QuicSource {
            receive,
            length,
            is_ended: false,
        }))
    }

    /// Makes a body of an HTTP message.
    pub(crate) fn http(incoming: Incoming) -> Self {
        Self::new(Source::Http(incoming))
    }

    fn new(source: Source) -> Self {
        Self {
            source,
            guard: None,
        }
    }

    /// Holds `guard` until the body has ended or is dropped.
    pub(crate) fn with_guard(mut self, guard: impl Guard + 'static) -> Self {
        self.guard = match self.guard.take() {
            Some(earlier) => Some(Box::new((earlier, guard))),
            None => Some(Box::new(guard)),
        };
        self
    }

    /// Reads the complete body into memory.
    ///
    /// # Errors
    ///
    /// Returns [`BodyError::TooLarge`] when it is longer than `limit` bytes, and another error when
    /// it ends early.
    pub(crate) async fn collect_up_to(mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut collected: Option<Bytes> = None;
        let mut rest = bytes::BytesMut::new();
        while let Some(frame) = self.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            let held = collected.as_ref().map_or(0, Bytes::len) + rest.len();
            if held + data.len() > limit {
                return Err(BodyError::TooLarge);
            }
            match collected {
                None => collected = Some(data),
                Some(_) => rest.extend_from_slice(&data),
            }
        }
        Ok(join(collected.unwrap_or_default(), rest))
    }
}

fn join(first: Bytes, rest: bytes::BytesMut) -> Bytes {
    if rest.is_empty() {
        return first;
    }
    let mut full = bytes::BytesMut::with_capacity(first.len() + rest.len());
    full.extend_from_slice(&first);
    full.extend_from_slice(&rest);
    full.freeze()
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = match &mut self.source {
            Source::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Source::Quic(source) => source.poll_frame(cx),
            Source::Http(incoming) => Pin::new(incoming)
                .poll_frame(cx)
                .map_err(|_| BodyError::Lost),
        };
        if let Poll::Ready(None) = polled {
            self.guard = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Full(bytes) => bytes.is_none(),
            Source::Quic(source) => source.is_ended,
            Source::Http(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Source::Quic(source) => source
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
            Source::Http(incoming) => incoming.size_hint(),
        }
    }
}

impl QuicSource {
    fn poll_frame(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.is_ended {
            return Poll::Ready(None);
        }
        let capacity = self.length.map_or(READ_BYTES, |left| {
            usize::try_from(left)
                .unwrap_or(READ_BYTES)
                .clamp(64, READ_BYTES)
        });
        let mut buffer = vec![0; capacity];
        match self.receive.poll_read(cx, &mut buffer) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(_)) => Poll::Ready(Some(Err(BodyError::Lost))),
            Poll::Ready(Ok(0)) => self.end(),
            Poll::Ready(Ok(read)) => {
                buffer.truncate(read);
                self.length = self.length.map(|left| left.saturating_sub(read as u64));
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(buffer)))))
            }
        }
    }

    fn end(&mut self) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.is_ended = true;
        match self.length {
            Some(left) if left > 0 => Poll::Ready(Some(Err(BodyError::Lost))),
            _ => Poll::Ready(None),
        }
    }
}

/// Writes the first message of an answer and its body to `send` and finishes the stream.
///
/// A buffered body is sent together with the message, in one packet if it fits.
pub(crate) async fn write_answer(
    message: &impl prost::Message,
    mut body: RelayBody,
    send: &mut StreamSender,
) -> Result<(), Error> {
    let start = frame::encode(message).freeze();
    match &mut body.source {
        Source::Full(bytes) => {
            let mut chunks = [start, bytes.take().unwrap_or_default()];
            send.write_chunks(&mut chunks).await?;
            send.finish()
        }
        _ => {
            send.write_chunk(start).await?;
            write_body(body, send).await
        }
    }
}

/// Writes `body` to `send` and finishes the stream.
pub(crate) async fn write_body(mut body: RelayBody, send: &mut StreamSender) -> Result<(), Error> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Error::Lost)?;
        if let Ok(data) = frame.into_data() {
            send.write_chunk(data).await?;
        }
    }
    send.finish()
}
