//! HTTP/1.1 connections to the backend servers beside this daemon.
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use hyper::{
    Request, Response,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{traffic::Options, transport::body::RelayBody};

/// Maximum number of idle connections to one backend server.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Idle time after which a connection is closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(30);

/// How a request to a backend server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Error {
    /// The request was not written to a connection.
    NotSent,
    /// The connection ended after the request was written, or some of it.
    Lost,
}

/// Idle connections to backend servers; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct BackendPool {
    idle: Arc<Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>>,
    connect_timeout: Duration,
    max_idle_non_idempotent: Duration,
}

type Sender = SendRequest<RelayBody>;

#[derive(Debug)]
struct IdleConnection {
    sender: Sender,
    since: Instant,
}

impl BackendPool {
    /// Creates a pool without connections.
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            idle: Arc::default(),
            connect_timeout: options.timeouts.connect,
            max_idle_non_idempotent: options.timeouts.max_idle_non_idempotent,
        }
    }

    /// Sends `request` to the server at `address` and returns the head of the answer.
    ///
    /// A request that is not idempotent uses no pooled connection that was idle for longer than
    /// [`Timeouts::max_idle_non_idempotent`](crate::traffic::Timeouts::max_idle_non_idempotent).
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<RelayBody>,
        is_idempotent: bool,
    ) -> Result<Response<RelayBody>, Error> {
        let age_limit = if is_idempotent {
            MAX_IDLE_AGE
        } else {
            self.max_idle_non_idempotent
        };
        while let Some(sender) = self.take(address, age_limit).await {
            match self.exchange(address, sender, request).await {
                Ok(response) => return Ok(response),
                Err(Failure::Lost) => return Err(Error::Lost),
                Err(Failure::NotSent(unsent)) => request = *unsent,
            }
        }
        let sender = self.connect(address).await?;
        match self.exchange(address, sender, request).await {
            Ok(response) => Ok(response),
            Err(Failure::Lost) => Err(Error::Lost),
            Err(Failure::NotSent(_)) => Err(Error::NotSent),
        }
    }

    async fn take(&self, address: SocketAddr, age_limit: Duration) -> Option<Sender> {
        loop {
            let mut sender = self.pop(address, age_limit)?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    fn pop(&self, address: SocketAddr, age_limit: Duration) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let newest = connections.pop()?;
        if newest.since.elapsed() > age_limit {
            connections.retain(|connection| connection.since.elapsed() < MAX_IDLE_AGE);
            return None;
        }
        Some(newest.sender)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Error> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.connect_timeout, connecting)
            .await
            .map_err(|_| Error::NotSent)?
            .map_err(|_| Error::NotSent)?;
        stream.set_nodelay(true).map_err(|_| Error::NotSent)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Error::NotSent)?;
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<RelayBody>,
    ) -> Result<Response<RelayBody>, Failure> {
        match sender.try_send_request(request).await {
            Ok(response) => {
                let guard = ReturnGuard {
                    pool: self.clone(),
                    address,
                    sender: Some(sender),
                };
                Ok(response.map(|body| RelayBody::http(body).with_guard(guard)))
            }
            Err(mut error) => match error.take_message() {
                Some(unsent) => Err(Failure::NotSent(Box::new(unsent))),
                None => Err(Failure::Lost),
            },
        }
    }

    fn put(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender,
                since: Instant::now(),
            });
        }
    }
}

enum Failure {
    NotSent(Box<Request<RelayBody>>),
    Lost,
}

/// Returns a connection to the pool when the response body has ended.
#[derive(Debug)]
struct ReturnGuard {
    pool: BackendPool,
    address: SocketAddr,
    sender: Option<Sender>,
}

impl Drop for ReturnGuard {
    fn drop(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(self.address, sender);
        }
    }
}
