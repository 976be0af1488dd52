//! Encoding of streams: their kinds, messages and raw bytes.
use bytes::{BufMut, Bytes, BytesMut};
use jayrack_protocol::frame;
use prost::Message;
use quinn::{Connection, RecvStream, SendStream, StoppedError, VarInt};

use super::Error;

/// Close code of an endpoint that stops.
pub(crate) const CLOSE_STOPPED: VarInt = VarInt::from_u32(1);
/// Reset code of a stream whose sender could not complete it.
pub(crate) const RESET_FAILED: VarInt = VarInt::from_u32(2);

/// Answer to a stream of the kind [`StreamKind::Hello`].
pub(crate) const HELLO: &[u8] = &[StreamKind::Hello as u8];

/// Kind of a stream, sent as its first byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamKind {
    /// `RequestHead` and body; answered by `ResponseHead` and body.
    Forward = 1,
    /// `OutcomeQuery`; answered by `OutcomeReply` and the body of a stored answer.
    Outcome = 2,
    /// `ClaimCall`; answered by `ClaimAnswer`.
    Claim = 3,
    /// `PullRequest`; answered by `PullReply`.
    Pull = 4,
    /// `PushRequest`; answered by `PushReply`.
    Push = 5,
    /// No message; answered by [`HELLO`]. Shows that the peer has accepted this end's certificate.
    Hello = 6,
}

/// Reads the first byte of a stream.
pub(crate) async fn read_kind(receive: &mut RecvStream) -> Result<StreamKind, Error> {
    let mut kind = [0];
    receive
        .read_exact(&mut kind)
        .await
        .map_err(|_| Error::Lost)?;
    match kind[0] {
        1 => Ok(StreamKind::Forward),
        2 => Ok(StreamKind::Outcome),
        3 => Ok(StreamKind::Claim),
        4 => Ok(StreamKind::Pull),
        5 => Ok(StreamKind::Push),
        6 => Ok(StreamKind::Hello),
        _ => Err(Error::Malformed),
    }
}

/// Encodes the start of a stream: its kind and its first message.
pub(crate) fn encode_start(kind: StreamKind, message: &impl Message) -> Bytes {
    let length = message.encoded_len();
    let mut buffer = BytesMut::with_capacity(1 + frame::LENGTH_BYTES + length);
    buffer.put_u8(kind as u8);
    buffer.put_u32(length as u32);
    message
        .encode(&mut buffer)
        .expect("the buffer has room for the message");
    buffer.freeze()
}

/// Reads one message of at most `limit` bytes.
pub(crate) async fn read_message<M: Message + Default>(
    receive: &mut RecvStream,
    limit: usize,
) -> Result<M, Error> {
    let mut prefix = [0; frame::LENGTH_BYTES];
    read_exact(receive, &mut prefix).await?;
    let length = frame::body_length(prefix).map_err(|_| Error::Malformed)?;
    if length > limit {
        return Err(Error::Malformed);
    }
    let mut body = vec![0; length];
    read_exact(receive, &mut body).await?;
    M::decode(body.as_slice()).map_err(|_| Error::Malformed)
}

async fn read_exact(receive: &mut RecvStream, buffer: &mut [u8]) -> Result<(), Error> {
    receive.read_exact(buffer).await.map_err(|_| Error::Lost)
}

/// A stream opened to a peer.
#[derive(Debug)]
pub(crate) struct PeerStream {
    pub(crate) send: StreamSender,
    pub(crate) receive: RecvStream,
    pub(crate) connection: Connection,
}

/// Sending half of a stream; dropping it before [`StreamSender::finish`] resets the stream, so that
/// the peer never takes a truncated stream for a complete one.
#[derive(Debug)]
pub(crate) struct StreamSender {
    send: SendStream,
    is_finished: bool,
}

impl StreamSender {
    pub(crate) fn new(send: SendStream) -> Self {
        Self {
            send,
            is_finished: false,
        }
    }

    /// Writes one message.
    pub(crate) async fn write_message(&mut self, message: &impl Message) -> Result<(), Error> {
        self.write_chunk(frame::encode(message).freeze()).await
    }

    /// Writes raw bytes.
    pub(crate) async fn write_chunk(&mut self, chunk: Bytes) -> Result<(), Error> {
        let written = self.send.write_chunk(chunk).await;
        written.map_err(|_| Error::Lost)
    }

    /// Writes several chunks of raw bytes in order.
    pub(crate) async fn write_chunks(&mut self, chunks: &mut [Bytes]) -> Result<(), Error> {
        let written = self.send.write_all_chunks(chunks).await;
        written.map_err(|_| Error::Lost)
    }

    /// Ends the stream.
    pub(crate) fn finish(&mut self) -> Result<(), Error> {
        self.is_finished = true;
        self.send.finish().map_err(|_| Error::Lost)
    }

    /// Completes when the peer stops reading or the connection is lost.
    pub(crate) fn stopped(
        &self,
    ) -> impl Future<Output = Result<Option<VarInt>, StoppedError>> + Send + 'static + use<> {
        self.send.stopped()
    }
}

impl Drop for StreamSender {
    fn drop(&mut self) {
        if !self.is_finished {
            let _ = self.send.reset(RESET_FAILED);
        }
    }
}
