//! A caller's connection, with strict checks and time limits in front of the HTTP library.
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU16, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use jayrack_protocol::ResultCode;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep},
};

use super::scan::{self, Position, RequestScanner};
use crate::traffic::{Options, Timeouts};

/// Bytes read from the socket at a time.
const READ_BYTES: usize = 8 * 1024;

/// Replaces a refused request, so that its response follows those of earlier pipelined requests.
const PLACEHOLDER_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: refused\r\nconnection: close\r\n\r\n";

/// Maximum number of bytes discarded after a refusal, so that the caller can read the response.
const MAX_LINGER_BYTES: u64 = 1024 * 1024;

/// Time limit for discarding bytes after a refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by the connection's reader and its service.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    /// Index of the refused request, counted from 0; `u64::MAX` when there is none.
    refused_at: AtomicU64,
    code: AtomicU16,
    served: AtomicU64,
    in_flight: AtomicUsize,
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            refused_at: AtomicU64::new(u64::MAX),
            code: AtomicU16::new(0),
            served: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Counts a request as in service until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> ServiceGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let number = self.served.fetch_add(1, Ordering::AcqRel);
        let is_refused = number >= self.refused_at.load(Ordering::Acquire);
        ServiceGuard {
            refusal: self.refusal_code().filter(|_| is_refused),
            connection_state: self.clone(),
        }
    }

    /// Returns the code for which the connection is no longer read, if it is not.
    pub(crate) fn refusal_code(&self) -> Option<ResultCode> {
        match self.code.load(Ordering::Acquire) {
            0 => None,
            number => ResultCode::from_number(number),
        }
    }

    fn refuse(&self, number: u64, code: ResultCode) {
        self.code.store(code.number(), Ordering::Release);
        self.refused_at.store(number, Ordering::Release);
    }
}

/// A request in service until dropped.
#[derive(Debug)]
pub(crate) struct ServiceGuard {
    /// Code to refuse the request with.
    pub(crate) refusal: Option<ResultCode>,
    connection_state: Arc<ConnectionState>,
}

impl Drop for ServiceGuard {
    fn drop(&mut self) {
        self.connection_state
            .in_flight
            .fetch_sub(1, Ordering::AcqRel);
    }
}

/// A caller's connection; reads return only bytes that passed the checks.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: Option<TcpStream>,
    scanner: RequestScanner,
    connection_state: Arc<ConnectionState>,
    timeouts: Timeouts,
    checked: Vec<u8>,
    checked_offset: usize,
    is_refused: bool,
    read_timer: Option<Pin<Box<Sleep>>>,
    read_position: Position,
    write_timer: Option<Pin<Box<Sleep>>>,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, options: &Options) -> Self {
        let scanner = RequestScanner::new(scan::Options {
            head_bytes: options.limits.head_bytes,
            body_bytes: options.limits.body_bytes,
        });
        Self {
            stream: Some(stream),
            scanner,
            connection_state: Arc::new(ConnectionState::new()),
            timeouts: options.timeouts.clone(),
            checked: Vec::new(),
            checked_offset: 0,
            is_refused: false,
            read_timer: None,
            read_position: Position::BetweenRequests,
            write_timer: None,
        }
    }

    pub(crate) fn connection_state(&self) -> Arc<ConnectionState> {
        self.connection_state.clone()
    }

    fn socket(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.as_mut().expect("present until dropped"))
    }

    /// Reads from the socket until some bytes passed the checks; `Ok(false)` at the end.
    fn poll_checked(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let mut bytes = [0; READ_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match self.socket().poll_read(cx, &mut buffer) {
                Poll::Pending => return self.poll_read_timer(cx),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Ready(Ok(())) => {}
            }
            let filled = buffer.filled();
            if filled.is_empty() {
                return Poll::Ready(Ok(false));
            }
            if self.scanner.position() != Position::InHead {
                self.read_timer = None;
            }
            if let Err(code) = self.scanner.feed(filled, &mut self.checked) {
                return Poll::Ready(self.refuse(code));
            }
            if !self.checked.is_empty() {
                return Poll::Ready(Ok(true));
            }
        }
    }

    fn poll_read_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        let position = self.scanner.position();
        if position != self.read_position {
            self.read_position = position;
            self.read_timer = None;
        }
        let limit = match position {
            Position::BetweenRequests => self.timeouts.caller_idle,
            Position::InHead => self.timeouts.head,
            Position::InBody => self.timeouts.body,
        };
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        match position {
            Position::InHead => Poll::Ready(self.refuse(ResultCode::HeadTimeout)),
            Position::InBody => Poll::Ready(self.refuse(ResultCode::BodyTimeout)),
            Position::BetweenRequests
                if self.connection_state.in_flight.load(Ordering::Acquire) > 0 =>
            {
                timer.as_mut().reset(Instant::now() + limit);
                let _ = timer.as_mut().poll(cx);
                Poll::Pending
            }
            Position::BetweenRequests => Poll::Ready(Ok(false)),
        }
    }

    /// Refuses the current request. If its head is incomplete or refused, a placeholder request takes
    /// its place and gets the response; if its body is being read, the read fails.
    fn refuse(&mut self, code: ResultCode) -> io::Result<bool> {
        self.is_refused = true;
        let number = self.scanner.heads();
        if self.scanner.position() == Position::InBody {
            self.connection_state.refuse(u64::MAX, code);
            return Err(io::Error::from(io::ErrorKind::InvalidData));
        }
        self.connection_state.refuse(number, code);
        self.checked.extend_from_slice(PLACEHOLDER_REQUEST);
        Ok(true)
    }

    fn copy_checked(&mut self, buffer: &mut ReadBuf<'_>) {
        let left = &self.checked[self.checked_offset..];
        let taken = left.len().min(buffer.remaining());
        buffer.put_slice(&left[..taken]);
        self.checked_offset += taken;
        if self.checked_offset == self.checked.len() {
            self.checked.clear();
            self.checked_offset = 0;
        }
    }

    /// Completes with an error when the caller has read nothing for the send timeout.
    fn poll_write_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Error> {
        let limit = self.timeouts.send;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        timer
            .as_mut()
            .poll(cx)
            .map(|()| io::Error::from(io::ErrorKind::TimedOut))
    }

    fn check_write_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_timer = None;
            return written;
        }
        self.poll_write_timer(cx).map(Err)
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.checked.is_empty() {
            if self.is_refused {
                return Poll::Pending;
            }
            let has_bytes = std::task::ready!(self.poll_checked(cx))?;
            if !has_bytes {
                return Poll::Ready(Ok(()));
            }
        }
        self.copy_checked(buffer);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.socket().poll_write(cx, bytes);
        self.check_write_timeout(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.socket().poll_write_vectored(cx, slices);
        self.check_write_timeout(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_shutdown(cx)
    }
}

impl Drop for GuardedStream {
    fn drop(&mut self) {
        let is_unread = self.is_refused || self.scanner.position() != Position::BetweenRequests;
        if let Some(stream) = self.stream.take()
            && is_unread
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            runtime.spawn(linger(stream));
        }
    }
}

/// Discards input for a limited time: closing a socket with unread bytes would reset the connection,
/// and the caller could lose the response.
async fn linger(mut stream: TcpStream) {
    let mut rest = (&mut stream).take(MAX_LINGER_BYTES);
    let mut sink = tokio::io::sink();
    let dropping = tokio::io::copy(&mut rest, &mut sink);
    let _ = tokio::time::timeout(LINGER_TIMEOUT, dropping).await;
}
