//! Sockets of clients: time limits for heads that do not end and answers that are not read.
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use jayrack_mesh::memory::connections::ConnectionPhase;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep, sleep_until},
};

use super::{bounded_read, connections::ConnectionState, memory::ByteLease};

/// Interval in which a client must read some of an answer that fills the socket's buffer. Callers on the slowest link
/// read several megabytes in this time.
const WRITE_INTERVAL: Duration = Duration::from_secs(6);
/// Bytes that it must read in this time.
const MIN_WRITE_INTERVAL_BYTES: usize = 16 << 10;
/// Time for which the rest of a refused request is discarded before the connection is closed; closed at once, it would
/// be reset, and the client might not receive the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes that are discarded at most.
const MAX_LINGER_BYTES: usize = 8 << 20;
/// Bytes that are discarded at a stretch.
const LINGER_BUFFER_BYTES: usize = 16 << 10;

/// Bytes of a head that the memory of a connection covers; those of ordinary requests have a few kilobytes.
const COVERED_HEAD_BYTES: usize = bounded_read::MAX_BUFFER_BYTES;
/// Memory of a longer head, in bytes: its buffer grows to twice the largest head.
const LONG_HEAD_BYTES: u64 = 40 << 10;

/// TCP connection of a client.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    head_timeout: Duration,
    /// When the first byte of a head arrived.
    head_began: Option<Instant>,
    head_timer: Option<Pin<Box<Sleep>>>,
    head_bytes: usize,
    /// Memory of a long head; the buffer stays as large while the connection is open.
    head_lease: Option<ByteLease>,
    /// Whether the client has not read all that was written.
    is_sending: bool,
    write_timer: Option<Pin<Box<Sleep>>>,
    written_bytes: usize,
    linger_timer: Option<Pin<Box<Sleep>>>,
    lingered_bytes: usize,
}

impl ClientStream {
    /// Wraps an accepted connection; a head must arrive within `head_timeout` after its first byte.
    pub fn new(stream: TcpStream, state: Arc<ConnectionState>, head_timeout: Duration) -> Self {
        Self {
            stream,
            state,
            head_timeout,
            head_began: None,
            head_timer: None,
            head_bytes: 0,
            head_lease: None,
            is_sending: false,
            write_timer: None,
            written_bytes: 0,
            linger_timer: None,
            lingered_bytes: 0,
        }
    }

    /// Ends a head that has begun and is not complete in time.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(head_began) = self.head_began else {
            return Poll::Pending;
        };
        let ends_at = head_began + self.head_timeout;
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep_until(ends_at)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Takes memory for a head that is long.
    fn record_head(&mut self, bytes: usize) -> io::Result<()> {
        if bytes == 0 {
            return Ok(());
        }
        if self.head_began.is_none() {
            self.head_began = Some(Instant::now());
            self.state.enter(ConnectionPhase::Receiving);
        }
        self.head_bytes += bytes;
        if self.head_bytes > COVERED_HEAD_BYTES && self.head_lease.is_none() {
            let lease = self.state.budget().lease();
            if !lease.try_grow(LONG_HEAD_BYTES) {
                return Err(io::ErrorKind::OutOfMemory.into());
            }
            self.head_lease = Some(lease);
        }
        Ok(())
    }

    /// Forgets the head of a request that has begun.
    fn end_head(&mut self) {
        if self.head_began.take().is_some() {
            self.head_timer = None;
            self.head_bytes = 0;
        }
    }

    /// Ends an answer of which the client has read too little.
    fn poll_unread(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        loop {
            let timer = self
                .write_timer
                .get_or_insert_with(|| Box::pin(sleep(WRITE_INTERVAL)));
            ready!(timer.as_mut().poll(cx));
            self.write_timer = None;
            if std::mem::take(&mut self.written_bytes) < MIN_WRITE_INTERVAL_BYTES {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
        }
    }

    fn record_written(
        &mut self,
        polled: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        match polled {
            Poll::Ready(Ok(bytes)) => {
                self.written_bytes += bytes;
                self.state.record_progress(bytes);
                Poll::Ready(Ok(bytes))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                if !self.is_sending {
                    self.is_sending = true;
                    self.state.enter(ConnectionPhase::Sending);
                }
                self.poll_unread(cx)
            }
        }
    }

    /// Discards what the client still sends.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self
            .linger_timer
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if timer.as_mut().poll(cx).is_ready() || self.lingered_bytes >= MAX_LINGER_BYTES {
            return Poll::Ready(());
        }
        let mut discarded = [0; LINGER_BUFFER_BYTES];
        let mut buffer = ReadBuf::new(&mut discarded);
        match ready!(bounded_read::poll_read(&mut self.stream, cx, &mut buffer)) {
            Ok(()) if !buffer.filled().is_empty() => {
                self.lingered_bytes += buffer.filled().len();
                // Other tasks of the thread run between two reads.
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Ok(()) | Err(_) => Poll::Ready(()),
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        let polled = bounded_read::poll_read(&mut self.stream, cx, buffer);
        let read_bytes = buffer.filled().len() - filled_bytes;
        if self.state.is_busy() {
            self.end_head();
            self.state.record_progress(read_bytes);
            return polled;
        }
        match polled {
            Poll::Ready(Ok(())) => {
                let recorded = self.record_head(read_bytes);
                self.state.record_progress(read_bytes);
                Poll::Ready(recorded)
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_head(cx),
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_written(polled, cx)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // All of the connection's buffer was written.
        self.write_timer = None;
        self.written_bytes = 0;
        if std::mem::take(&mut self.is_sending) {
            self.state.record_sent();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger_timer.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.state.has_unread_body() {
            ready!(self.poll_linger(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, parts);
        self.record_written(polled, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
