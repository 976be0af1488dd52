//! A minimal HTTP/1.1 server on a bound listener.
use std::{convert::Infallible, future::Future, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Makes the server close the connection without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAborted;

impl std::fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed without an answer")
    }
}

impl std::error::Error for ConnectionAborted {}

impl From<Infallible> for ConnectionAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Answer of a handler, or the request to close the connection.
pub type HandlerResult = Result<Response<Full<Bytes>>, ConnectionAborted>;

/// Serves `listener` until the returned future is dropped.
///
/// At most `connections` are open at once; further ones wait to be accepted.
pub async fn serve<Handler, Handled>(listener: TcpListener, connections: usize, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Handled + Clone + Send + Sync + 'static,
    Handled: Future<Output = HandlerResult> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(connections));
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        while tasks.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let handler = handler.clone();
        tasks.spawn(async move {
            serve_connection(stream, handler).await;
            drop(permit);
        });
    }
}

async fn serve_connection<Handler, Handled>(stream: TcpStream, handler: Handler)
where
    Handler: Fn(Request<Incoming>) -> Handled,
    Handled: Future<Output = HandlerResult>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let outcome = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
    if let Err(error) = outcome {
        log::debug!(error:% = error; "connection ended");
    }
}

/// Reads a complete request body of at most 64 MiB.
pub async fn read_body(body: Incoming) -> Result<Bytes, ConnectionAborted> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    Ok(body.map_err(|_| ConnectionAborted)?.to_bytes())
}

/// Reads a request body as JSON; `None` when it doesn't parse.
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> Result<Option<T>, ConnectionAborted> {
    let body = read_body(body).await?;
    Ok(serde_json::from_slice(&body).ok())
}

/// Builds an answer with a JSON body.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> HandlerResult {
    let body = serde_json::to_vec(value).map_err(|_| ConnectionAborted)?;
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Full::from(body))
        .map_err(|_| ConnectionAborted)
}

/// Builds an answer with an empty body.
pub fn empty_answer(status: StatusCode) -> HandlerResult {
    Response::builder()
        .status(status)
        .body(Full::default())
        .map_err(|_| ConnectionAborted)
}
