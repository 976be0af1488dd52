//! Requests to the administration API.
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, body::Bytes, header};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::Value;

use crate::usage::Command;

/// Time limit for the complete answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// A request that can be sent to any daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path in the administration API.
    pub path: String,
    /// JSON body; empty for none.
    pub body: String,
}

/// The daemon's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct ApiAnswer {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Value,
}

/// Error of a request that got no usable answer.
#[derive(Debug)]
pub struct Error(pub String);

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Builds the request for `command`; `change` is the text of the intent's file for [`Command::Plan`].
///
/// Returns `None` for commands that need no daemon.
pub fn request_for(command: &Command, change: &str) -> Option<ApiRequest> {
    let request = match command {
        Command::Plan { note, .. } => post("/v1/plans", plan_body(change, note)),
        Command::Show { plan: None } => get("/v1/plans"),
        Command::Show { plan: Some(plan) } => get(&format!("/v1/plans/{plan}")),
        Command::Confirm { plan } => post(&format!("/v1/plans/{plan}/confirm"), String::new()),
        Command::Drop { plan } => post(&format!("/v1/plans/{plan}/drop"), String::new()),
        Command::Status => get("/v1/status"),
        Command::Members => get("/v1/members"),
        Command::Report => get("/v1/report"),
        Command::Help | Command::Version | Command::Explain { .. } => return None,
    };
    Some(request)
}

/// Sends `request` to the daemon at `server` and reads the complete answer.
///
/// # Errors
///
/// Returns [`Error`] if the daemon is not reached or does not answer with JSON in time.
pub async fn send(server: &str, token: &str, request: ApiRequest) -> Result<ApiAnswer, Error> {
    let exchange = exchange(server, token, request);
    match tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
        Ok(answer) => answer,
        Err(_) => Err(Error(format!(
            "{server}: no answer within {} s",
            RESPONSE_TIMEOUT.as_secs()
        ))),
    }
}

async fn exchange(server: &str, token: &str, request: ApiRequest) -> Result<ApiAnswer, Error> {
    let failed = |error: &dyn std::fmt::Display| Error(format!("{server}: {error}"));
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let http_request = Request::builder()
        .method(request.method)
        .uri(format!("http://{server}{}", request.path))
        .header(header::AUTHORIZATION, format!("Bearer {token}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(request.body)))
        .map_err(|error| failed(&error))?;
    let response = client
        .request(http_request)
        .await
        .map_err(|error| failed(&error))?;
    let status = response.status().as_u16();
    let bytes = response
        .into_body()
        .collect()
        .await
        .map_err(|error| failed(&error))?;
    let body = serde_json::from_slice(&bytes.to_bytes()).map_err(|error| failed(&error))?;
    Ok(ApiAnswer { status, body })
}

fn get(path: &str) -> ApiRequest {
    ApiRequest {
        method: Method::GET,
        path: path.to_string(),
        body: String::new(),
    }
}

fn post(path: &str, body: String) -> ApiRequest {
    ApiRequest {
        method: Method::POST,
        path: path.to_string(),
        body,
    }
}

/// Wraps the text of a change into a request body; text that is not JSON is sent unchanged, so that
/// the daemon reports the error.
fn plan_body(change: &str, note: &str) -> String {
    match serde_json::from_str::<Value>(change) {
        Ok(change) => serde_json::json!({"change": change, "note": note}).to_string(),
        Err(_) => change.to_string(),
    }
}
