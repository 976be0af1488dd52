//! Bodies of answers, whole or on their way.
use std::{
    any::Any,
    collections::VecDeque,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// Something that is kept until a body has ended.
pub type BodyGuard = Box<dyn Any + Send>;

/// The body of an answer; it keeps guards until its end, or until it is dropped.
#[derive(Debug)]
pub struct AnswerBody {
    source: BodySource,
    guards: Vec<BodyGuard>,
}

#[derive(Debug)]
enum BodySource {
    Whole(Full<Bytes>),
    Streamed(Incoming),
    /// The part that was read ahead, and the rest.
    Begun(VecDeque<Bytes>, Incoming),
}

/// Why a body was not read whole.
#[derive(Debug)]
pub enum Error {
    /// It is larger than the limit.
    TooLarge,
    /// It ended early.
    Broken(String),
}

impl AnswerBody {
    /// A body that is there.
    pub fn whole(bytes: Bytes) -> Self {
        Self {
            source: BodySource::Whole(Full::new(bytes)),
            guards: Vec::new(),
        }
    }

    /// A body that is still being received.
    pub fn streamed(incoming: Incoming) -> Self {
        Self {
            source: BodySource::Streamed(incoming),
            guards: Vec::new(),
        }
    }

    /// Keeps `guard` until the body's end.
    pub fn holding(mut self, guard: BodyGuard) -> Self {
        self.guards.push(guard);
        self
    }

    /// Whether all of the body is there.
    pub fn is_whole(&self) -> bool {
        matches!(self.source, BodySource::Whole(_))
    }

    /// Reads ahead until the body has ended or is longer than `limit` bytes.
    ///
    /// A body that has ended is whole, and its guards are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Broken`] if the body ends early.
    pub async fn read_ahead(mut self, limit: usize) -> Result<Self, Error> {
        let BodySource::Streamed(mut incoming) = self.source else {
            return Ok(self);
        };
        let mut read = VecDeque::new();
        let mut length = 0;
        while length <= limit {
            let Some(frame) = incoming.frame().await else {
                let parts: Vec<Bytes> = read.into();
                return Ok(Self::whole(Bytes::from(parts.concat())));
            };
            let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                length += data.len();
                read.push_back(data);
            }
        }
        self.source = BodySource::Begun(read, incoming);
        Ok(self)
    }

    /// Reads the rest; the guards are dropped.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the body ends early or exceeds `limit` bytes.
    pub async fn collect_up_to(self, limit: usize) -> Result<Bytes, Error> {
        match Limited::new(self, limit).collect().await {
            Ok(collected) => Ok(collected.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => Err(Error::TooLarge),
            Err(error) => Err(Error::Broken(error.to_string())),
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = match &mut self.source {
            BodySource::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            BodySource::Streamed(body) => Pin::new(body).poll_frame(cx),
            BodySource::Begun(read, body) => match read.pop_front() {
                Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
                None => Pin::new(body).poll_frame(cx),
            },
        };
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) || self.is_end_stream() {
            self.guards.clear();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Whole(body) => body.is_end_stream(),
            BodySource::Streamed(body) => body.is_end_stream(),
            BodySource::Begun(read, body) => read.is_empty() && body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Whole(body) => body.size_hint(),
            BodySource::Streamed(body) => body.size_hint(),
            BodySource::Begun(read, body) => {
                let read: u64 = read.iter().map(|data| data.len() as u64).sum();
                let rest = body.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(read + rest.lower());
                if let Some(upper) = rest.upper() {
                    hint.set_upper(read + upper);
                }
                hint
            }
        }
    }
}
