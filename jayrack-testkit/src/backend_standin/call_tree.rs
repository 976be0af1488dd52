//! Nested calls that a request makes through the daemon beside the server that runs it.
use bytes::Bytes;
use eyre::Result;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode, header};
use serde::{Deserialize, Serialize};

use super::{body, headers};
use crate::http_client::{ClientPool, HttpRequest};

/// Header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-jayrack-deadline-ms";

/// Headers that nested calls inherit unchanged from their parent request.
const INHERITED_HEADERS: [&str; 5] = [
    "x-jayrack-customer-request",
    "x-jayrack-customer",
    "x-jayrack-rank",
    "x-jayrack-depth",
    "x-jayrack-attempts",
];

/// One call and its nested calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallNode {
    /// Path to call.
    pub path: String,
    /// Kind of work.
    #[serde(default)]
    pub kind: String,
    /// Time that the work takes, in microseconds.
    #[serde(default)]
    pub service_us: u64,
    /// Nested calls, made one after another while this call holds its slot.
    #[serde(default)]
    pub calls: Vec<CallNode>,
}

/// The parent request of nested calls.
#[derive(Debug, Clone, Copy)]
pub struct Parent<'a> {
    /// Its identifier.
    pub id: &'a str,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Time since it arrived, in milliseconds.
    pub elapsed_ms: u64,
}

/// Builds the nested call number `index` of `parent`, with the time that its deadline leaves.
pub fn request(
    parent: Parent<'_>,
    index: usize,
    node: &CallNode,
    host: &str,
) -> Result<HttpRequest> {
    let mut builder = Request::builder()
        .method(Method::GET)
        .uri(&node.path)
        .header(header::HOST, host)
        .header(headers::ID, call_id(parent.id, index))
        .header(headers::KIND, &node.kind)
        .header(headers::SERVICE_US, node.service_us)
        .header(headers::CALLS, serde_json::to_string(&node.calls)?);
    for name in INHERITED_HEADERS {
        if let Some(value) = parent.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    if let Some(deadline_ms) = deadline_ms(parent.headers) {
        let left_ms = deadline_ms.saturating_sub(parent.elapsed_ms);
        builder = builder.header(DEADLINE_HEADER, left_ms);
    }
    Ok(builder.body(Full::<Bytes>::default())?)
}

/// Makes one nested call; `false` unless the answer is 200 with an intact body.
pub async fn call(pool: &ClientPool, request: HttpRequest, id: &str) -> bool {
    match pool.send(request).await {
        Ok(answer) => answer.status == StatusCode::OK && body::is_intact(id, &answer.body),
        Err(error) => {
            log::debug!(error:% = error; "nested call failed");
            false
        }
    }
}

/// Identifier of the nested call number `index` of the request `parent_id`.
pub fn call_id(parent_id: &str, index: usize) -> String {
    format!("{parent_id}.{index}")
}

/// Time until the deadline of a request, in milliseconds; `None` without a valid header.
pub fn deadline_ms(headers: &HeaderMap) -> Option<u64> {
    headers.get(DEADLINE_HEADER)?.to_str().ok()?.parse().ok()
}
