//! Reads that keep the buffer of a connection small.
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, ReadBuf},
    net::TcpStream,
};

/// Largest buffer into which the HTTP library reads bodies, in bytes. The library doubles the buffer whenever one read fills
/// it, and never makes it smaller while the connection is open.
pub const MAX_BUFFER_BYTES: usize = 16 << 10;

/// Reads from `stream` without filling a buffer of [`MAX_BUFFER_BYTES`], so that it does not grow.
pub fn poll_read(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    if buffer.remaining() < MAX_BUFFER_BYTES {
        return Pin::new(stream).poll_read(cx, buffer);
    }
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(MAX_BUFFER_BYTES - 1));
    ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    let read_bytes = part.filled().len();
    buffer.advance(read_bytes);
    Poll::Ready(Ok(()))
}
