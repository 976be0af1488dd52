//! Length-prefixed messages on byte streams.
//!
//! A frame is a four-byte big-endian length followed by that many bytes of one encoded message.
use bytes::{Buf, BufMut, BytesMut};
use prost::Message;

/// Longest message body a frame may carry, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Reason for rejecting a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The announced length exceeds [`MAX_FRAME_BYTES`].
    TooLong(usize),
    /// The body does not decode as a message of the expected type.
    Malformed(prost::DecodeError),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::TooLong(length) => write!(f, "frame of {length} bytes is too long"),
            Error::Malformed(error) => write!(f, "malformed message: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Encodes `message` as one frame.
pub fn encode(message: &impl Message) -> BytesMut {
    let length = message.encoded_len();
    let mut buffer = BytesMut::with_capacity(LENGTH_BYTES + length);
    buffer.put_u32(length as u32);
    message.encode_raw(&mut buffer);
    buffer
}

/// Removes one frame from the front of `buffer`, or returns `None` when it is not complete yet.
pub fn decode<M: Message + Default>(buffer: &mut BytesMut) -> Result<Option<M>, Error> {
    if buffer.len() < LENGTH_BYTES {
        return Ok(None);
    }
    let length = body_length([buffer[0], buffer[1], buffer[2], buffer[3]])?;
    if buffer.len() < LENGTH_BYTES + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let body = buffer.split_to(length);
    M::decode(body).map(Some).map_err(Error::Malformed)
}

/// Decodes a length prefix and checks it against [`MAX_FRAME_BYTES`].
pub fn body_length(prefix: [u8; LENGTH_BYTES]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(Error::TooLong(length));
    }
    Ok(length)
}
