//! An HTTP/1.1 client that opens a connection per request or pools connections.
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use eyre::{Context, Result, eyre};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    header,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};

/// A request with a buffered body.
pub type HttpRequest = Request<Full<Bytes>>;

/// A complete answer with a buffered body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body)
            .wrap_err_with(|| format!("{}: {}", self.status, String::from_utf8_lossy(&self.body)))
    }

    /// Value of a header; empty when it is absent or isn't visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// A connection that is kept open between requests.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens a connection with `TCP_NODELAY`.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a request and reads the complete answer.
    pub async fn send(&mut self, request: HttpRequest) -> Result<HttpAnswer> {
        match self.try_send(request).await {
            Ok(answer) => Ok(answer),
            Err(SendError::NotSent(_)) => Err(eyre!("the connection is closed")),
            Err(SendError::MaybeSent(error)) => Err(error),
        }
    }

    /// Sends a request; the error returns the request when nothing of it was written.
    pub async fn try_send(&mut self, request: HttpRequest) -> Result<HttpAnswer, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent(Box::new(request)));
        }
        let response =
            self.sender
                .try_send_request(request)
                .await
                .map_err(|mut error| match error.take_message() {
                    Some(request) => SendError::NotSent(Box::new(request)),
                    None => SendError::MaybeSent(error.into_error().into()),
                })?;
        let (parts, body) = response.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|error| SendError::MaybeSent(error.into()))?
            .to_bytes();
        Ok(HttpAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Why a request was not answered.
#[derive(Debug)]
pub enum SendError {
    /// Nothing of the request was written; holds the request for a retry.
    NotSent(Box<HttpRequest>),
    /// The request may have been written; a retry could run it twice.
    MaybeSent(eyre::Report),
}

/// A pool of persistent connections to one address, without a size limit.
#[derive(Debug)]
pub struct ClientPool {
    address: SocketAddr,
    idle: Mutex<Vec<HttpConnection>>,
}

impl ClientPool {
    /// Creates a pool without connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// The address that the pool connects to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request over an idle connection, or over a new one when no idle connection is usable.
    pub async fn send(&self, mut request: HttpRequest) -> Result<HttpAnswer> {
        while let Some(mut connection) = self.take_idle() {
            match connection.try_send(request).await {
                Ok(answer) => {
                    self.put_idle(connection);
                    return Ok(answer);
                }
                Err(SendError::NotSent(returned)) => request = *returned,
                Err(SendError::MaybeSent(error)) => return Err(error),
            }
        }
        let mut connection = HttpConnection::open(self.address).await?;
        let answer = connection.send(request).await?;
        self.put_idle(connection);
        Ok(answer)
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.pop()
    }

    fn put_idle(&self, connection: HttpConnection) {
        if connection.is_open() {
            let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
            idle.push(connection);
        }
    }
}

/// Sends one request over a new connection; fails when no answer arrives within `limit`.
pub async fn send(
    address: SocketAddr,
    request: HttpRequest,
    limit: Duration,
) -> Result<HttpAnswer> {
    timeout(limit, async {
        HttpConnection::open(address).await?.send(request).await
    })
    .await
    .map_err(|_| eyre!("no answer from {address} in time"))?
}

/// Builds a GET request without a body.
pub fn get(address: SocketAddr, path: &str) -> Result<HttpRequest> {
    Ok(Request::builder()
        .method(Method::GET)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(Full::default())?)
}

/// Builds a POST request with a JSON body.
pub fn post_json<T: Serialize>(address: SocketAddr, path: &str, body: &T) -> Result<HttpRequest> {
    Ok(Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(serde_json::to_vec(body)?))?)
}
