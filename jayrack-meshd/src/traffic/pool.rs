//! Pool of outgoing connections.
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
    header::{HeaderMap, HeaderName},
};
use hyper_util::rt::TokioIo;
use jayrack_platform::socket::{self, SocketOptions};

use super::{
    body::AnswerBody, fair_stream::FairStream, memory::ByteBudget, request_body::RequestBody,
};

/// Buffer size of a connection, in bytes: holds the largest head that the platform allows.
const BUFFER_BYTES: usize = 64 << 10;
/// Receive buffer of a connection, in bytes: what a link of 100 Mbit/s carries in a round trip of 5 ms, as the kernel uses up
/// to twice as much.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Header with the time after which the peer closes an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Safety margin to that time, since the peer counts from an earlier moment.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(800);

/// Error of sending a request.
#[derive(Debug)]
pub enum Error {
    /// Nothing of the request was sent.
    NotSent(String),
    /// The request may have been received.
    Lost(String),
}

/// Limits of a pool.
#[derive(Debug, Clone)]
pub struct Options {
    /// Options of new sockets.
    pub socket: SocketOptions,
    /// Time after which an idle connection is not reused.
    pub max_idle: Duration,
    /// Maximum number of idle connections for each address.
    pub max_idle_connections: usize,
    /// Budget that counts the connections, if any.
    pub budget: Option<ByteBudget>,
}

type Sender = SendRequest<RequestBody>;

#[derive(Debug)]
struct IdleSender {
    sender: Sender,
    since: Instant,
    max_idle: Duration,
}

#[derive(Debug)]
struct PoolCore {
    options: Options,
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleSender>>>,
}

/// Pool of idle connections by address; clones share it.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    core: Arc<PoolCore>,
}

/// An answer, and whether a new connection was opened for it.
#[derive(Debug)]
pub struct PoolAnswer {
    /// The answer; its body holds the connection until it ends.
    pub response: Response<AnswerBody>,
    /// Whether the request needed a new connection.
    pub is_new: bool,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(options: Options) -> Self {
        Self {
            core: Arc::new(PoolCore {
                options,
                idle: Mutex::default(),
            }),
        }
    }

    /// Sends `request` to `address` over a connection that was idle for `max_idle` at most.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] only if no byte of the request has left.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        max_idle: Duration,
    ) -> Result<PoolAnswer, Error> {
        while let Some(mut sender) = self.take(address, max_idle) {
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.answer(address, sender, response, false)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(Error::Lost(error.into_error().to_string())),
                },
            }
        }
        let mut sender = self.connect(address).await?;
        match sender.try_send_request(request).await {
            Ok(response) => Ok(self.answer(address, sender, response, true)),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Error::NotSent(error.into_error().to_string())),
                None => Err(Error::Lost(error.into_error().to_string())),
            },
        }
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes the connections that were idle for too long.
    pub fn expire(&self) {
        self.lock().retain(|_, senders| {
            senders.retain(|idle| idle.sender.is_ready() && idle.since.elapsed() < idle.max_idle);
            !senders.is_empty()
        });
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Error> {
        let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
        let stream =
            socket::dial_with_buffer(address, self.core.options.socket, RECEIVE_BUFFER_BYTES)
                .await
                .map_err(|error| not_sent(&error))?;
        let lease = self.core.options.budget.as_ref();
        let lease = lease.map(|budget| budget.dial(RECEIVE_BUFFER_BYTES));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_BYTES)
            .handshake(TokioIo::new(FairStream::new(stream, lease)))
            .await
            .map_err(|error| not_sent(&error))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }

    /// Takes the connection that was used last and was not idle for too long.
    fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Sender> {
        let mut idle = self.lock();
        let senders = idle.get_mut(&address)?;
        loop {
            let newest = senders.pop()?;
            if newest.since.elapsed() < newest.max_idle.min(max_idle) && !newest.sender.is_closed()
            {
                return Some(newest.sender);
            }
        }
    }

    fn answer(
        &self,
        address: SocketAddr,
        sender: Sender,
        response: Response<hyper::body::Incoming>,
        is_new: bool,
    ) -> PoolAnswer {
        let max_idle = advertised_idle_timeout(response.headers())
            .unwrap_or(self.core.options.max_idle)
            .min(self.core.options.max_idle);
        let guard = ReturnGuard {
            pool: self.clone(),
            address,
            max_idle,
            sender: Some(sender),
        };
        let response = response.map(|body| AnswerBody::streamed(body).with_guard(Box::new(guard)));
        PoolAnswer { response, is_new }
    }

    fn put(&self, address: SocketAddr, sender: Sender, max_idle: Duration) {
        if sender.is_closed() || max_idle.is_zero() {
            return;
        }
        let mut idle = self.lock();
        let senders = idle.entry(address).or_default();
        if senders.len() < self.core.options.max_idle_connections {
            senders.push(IdleSender {
                sender,
                since: Instant::now(),
                max_idle,
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<IdleSender>>> {
        self.core
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Idle timeout that the peer advertises, less a margin.
fn advertised_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let seconds = timeout.trim().parse().ok()?;
    Some(Duration::from_secs(seconds).saturating_sub(KEEP_ALIVE_MARGIN))
}

/// Drops a body without returning its connection to the pool: bytes that belong to no request may follow on it.
pub fn discard(mut body: AnswerBody) {
    for guard in body.guards_mut() {
        if let Some(guard) = guard.downcast_mut::<ReturnGuard>() {
            guard.sender = None;
        }
    }
}

/// Returns a connection to the pool when the answer's body has ended.
#[derive(Debug)]
struct ReturnGuard {
    pool: ConnectionPool,
    address: SocketAddr,
    max_idle: Duration,
    sender: Option<Sender>,
}

impl Drop for ReturnGuard {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(self.address, sender, self.max_idle);
        }
    }
}
