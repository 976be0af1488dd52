//! A caller with one connection for each request.
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, client::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A response as its caller read it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    pub status: u16,
    pub code: u16,
    pub outcome: String,
    pub mark: String,
    pub body: Bytes,
}

/// A request without a body.
pub fn get(path: &str) -> hyper::http::request::Builder {
    Request::get(path).header("host", "test")
}

/// A request that is not idempotent.
pub fn post(path: &str) -> hyper::http::request::Builder {
    Request::post(path).header("host", "test")
}

/// Sends `request` over a new connection; `None` when the connection was closed early.
pub async fn try_call(
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: impl Into<Bytes>,
) -> Option<CallerResponse> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let request = request.body(Full::new(body.into())).unwrap();
    let response = sender.send_request(request).await.ok()?;
    read_response(response).await
}

/// Sends `request` over a new connection and expects a complete response.
pub async fn call(
    address: SocketAddr,
    request: hyper::http::request::Builder,
    body: impl Into<Bytes>,
) -> CallerResponse {
    let response = try_call(address, request, body).await;
    response.expect("the response is complete")
}

/// Reads the rest of `response`; `None` when it was truncated.
pub async fn read_response(response: Response<hyper::body::Incoming>) -> Option<CallerResponse> {
    let header = |name: &str| {
        let value = response.headers().get(name);
        value.map_or(String::new(), |value| value.to_str().unwrap().to_string())
    };
    let (status, mark) = (response.status().as_u16(), header("x-mark"));
    let (code, outcome) = (header("x-jayrack-code"), header("x-jayrack-outcome"));
    let body = response.into_body().collect().await.ok()?.to_bytes();
    Some(CallerResponse {
        status,
        code: code.parse().unwrap_or(u16::MAX),
        outcome,
        mark,
        body,
    })
}

/// Writes `bytes` and returns everything received until the connection ends.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}
