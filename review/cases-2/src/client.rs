//! Clients and the platform's readiness check.
use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use jayrack_platform::headers;
use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Host of all routes.
pub const HOST: &str = "jepu9.example";

/// A complete answer.
pub struct ClientAnswer {
    pub status: StatusCode,
}

/// A client's request.
#[derive(Clone)]
pub struct ClientRequest {
    pub method: Method,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub key: Option<String>,
}

/// Sends a request on a new connection; `None` if it gets no complete answer within its deadline and a second.
pub async fn send(address: SocketAddr, request: &ClientRequest) -> Option<ClientAnswer> {
    let limit = Duration::from_millis(request.deadline_ms + 1_000);
    timeout(limit, exchange(address, request)).await.ok()?
}

async fn exchange(address: SocketAddr, request: &ClientRequest) -> Option<ClientAnswer> {
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .header("host", HOST)
        .header(headers::REQUEST_ID, &request.id)
        .header(headers::TIME_LEFT_MS, request.deadline_ms);
    if let Some(key) = &request.key {
        message = message.header("authorization", format!("Bearer {key}"));
    }
    let message = message.body(Full::<Bytes>::default()).ok()?;
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(message).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(ClientAnswer { status })
}

/// Waits until the daemon answers the readiness check with 200; false after `limit`.
pub async fn until_ready(address: SocketAddr, limit: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        let request = ClientRequest {
            method: Method::GET,
            path: headers::READY_PATH.to_string(),
            id: "ready".to_string(),
            deadline_ms: 1_000,
            key: None,
        };
        let answer = send(address, &request).await;
        if answer.is_some_and(|answer| answer.status == StatusCode::OK) {
            return true;
        }
        sleep(Duration::from_millis(100)).await;
    }
    false
}
