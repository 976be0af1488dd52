//! Metadata of a request, read from its headers and its route.
use hyper::{HeaderMap, header::HeaderName, http::request::Parts};
use jayrack_config::table::{RouteEntry, RouteTable};
use jayrack_protocol::{RequestId, ResultCode, forward::RequestHead};

use crate::owner::headers;

/// Header with the key under which a caller can retry a request that must run at most once.
const KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Maximum deadline that a caller may request, in milliseconds.
const MAX_DEADLINE_MS: u32 = 600_000;

/// Maximum length of an Idempotency-Key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Identifiers that the ingress assigns to a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewIds {
    pub(super) request: RequestId,
    /// Used when the request names no customer request.
    pub(super) customer_request: u64,
}

/// Makes the head of the forwarded request; its server is not chosen yet.
///
/// # Errors
///
/// Returns the code to refuse the request with.
pub(super) fn to_head(
    table: &RouteTable,
    route: &RouteEntry,
    mut parts: Parts,
    ids: NewIds,
) -> Result<RequestHead, ResultCode> {
    headers::strip_hop_by_hop(&mut parts.headers);
    let map = &parts.headers;
    let depth = number(map, &headers::DEPTH_HEADER, 10)?.unwrap_or(0) as u32;
    let customer_request = number(map, &headers::CUSTOMER_REQUEST_HEADER, 16)?;
    let attempts = number(map, &headers::ATTEMPTS_HEADER, 10)?;
    let stated_rank = text(map, &headers::RANK_HEADER)?;
    let rank = stated_rank
        .filter(|_| depth > 0)
        .and_then(|name| table.ranks.get(name))
        .unwrap_or(&route.rank);
    let deadline_ms = number(map, &headers::DEADLINE_HEADER, 10)?
        .map_or(rank.deadline_ms, |ms| ms.min(MAX_DEADLINE_MS.into()) as u32);
    let (request_high, request_low) = ids.request.halves();
    Ok(RequestHead {
        request_high,
        request_low,
        method: parts.method.as_str().to_string(),
        target: target(&parts),
        headers: headers::to_messages(map),
        server: String::new(),
        service: route.spec.service.clone(),
        rank: u32::from(rank.order),
        kind: route.spec.kind.clone(),
        customer: text(map, &headers::CUSTOMER_HEADER)?
            .unwrap_or_default()
            .to_string(),
        customer_request: customer_request.unwrap_or(ids.customer_request),
        depth,
        deadline_ms,
        idempotent: route.spec.idempotent,
        attempts_left: attempts.unwrap_or(0) as u32,
        table_version: table.version,
        floor_percent: u32::from(rank.floor_percent),
        attempts_stated: attempts.is_some(),
        rank_name: rank.name.clone(),
    })
}

/// Returns the Idempotency-Key of a request.
///
/// # Errors
///
/// Returns the code to refuse the request with when the key is empty, too long or not text.
pub(super) fn idempotency_key(map: &HeaderMap) -> Result<Option<String>, ResultCode> {
    let Some(key) = text(map, &KEY_HEADER)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(ResultCode::RequestMalformed);
    }
    Ok(Some(key.to_string()))
}

/// Returns the host of the request target, or else of the `Host` header.
pub(super) fn host(parts: &Parts) -> &str {
    let named = parts.headers.get(hyper::header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    parts.uri.host().or(named).unwrap_or_default()
}

fn target(parts: &Parts) -> String {
    let path = parts.uri.path_and_query();
    path.map_or("/", |path| path.as_str()).to_string()
}

fn text<'a>(map: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, ResultCode> {
    map.get(name)
        .map(|value| value.to_str())
        .transpose()
        .map_err(|_| ResultCode::RequestMalformed)
}

fn number(map: &HeaderMap, name: &HeaderName, radix: u32) -> Result<Option<u64>, ResultCode> {
    text(map, name)?
        .map(|text| u64::from_str_radix(text, radix))
        .transpose()
        .map_err(|_| ResultCode::RequestMalformed)
}
