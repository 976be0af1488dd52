//! Connection that leaves time for the other tasks of its thread.
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{bounded_read, memory::OutgoingLease};

/// Bytes that are read at a stretch before other tasks run: a thousand interim answers.
const MAX_BURST_BYTES: usize = 32 << 10;

/// Outgoing TCP connection whose reads pause after [`MAX_BURST_BYTES`], so that a peer that sends without end, such as interim
/// answers that are skipped one after the other, does not stall the thread.
#[derive(Debug)]
pub struct FairStream {
    stream: TcpStream,
    burst_bytes: usize,
    /// Memory of the connection, unless it is not in the budget.
    _lease: Option<OutgoingLease>,
}

impl FairStream {
    /// Wraps an open connection whose memory `lease` covers.
    pub fn new(stream: TcpStream, lease: Option<OutgoingLease>) -> Self {
        Self {
            stream,
            burst_bytes: 0,
            _lease: lease,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.burst_bytes >= MAX_BURST_BYTES {
            self.burst_bytes = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let polled = bounded_read::poll_read(&mut self.stream, cx, buffer);
        if polled.is_pending() {
            self.burst_bytes = 0;
        }
        let result = ready!(polled);
        self.burst_bytes += buffer.filled().len() - filled;
        Poll::Ready(result)
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
