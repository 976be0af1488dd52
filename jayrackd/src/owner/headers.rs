//! Conversion between HTTP messages and the messages that daemons exchange.
use hyper::{
    HeaderMap, Request, Response, StatusCode, Version,
    header::{self, HeaderName, HeaderValue},
    http,
};
use jayrack_protocol::{
    RequestId,
    answer::is_final_status,
    forward::{Header, RequestHead, ResponseHead},
};

use super::OwnerAnswer;
use crate::transport::body::RelayBody;

/// Header with the time until the request's deadline, in milliseconds.
pub(crate) const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-jayrack-deadline-ms");

/// Header with the identifier of one request.
pub(crate) const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-jayrack-request-id");
/// Header with the identifier of the customer request; its nested calls have the same.
pub(crate) const CUSTOMER_REQUEST_HEADER: HeaderName =
    HeaderName::from_static("x-jayrack-customer-request");
/// Header with the name of the customer.
pub(crate) const CUSTOMER_HEADER: HeaderName = HeaderName::from_static("x-jayrack-customer");
/// Header with the name of the rank; nested calls inherit it.
pub(crate) const RANK_HEADER: HeaderName = HeaderName::from_static("x-jayrack-rank");
/// Header with the depth of nested calls; 0 for the root request.
pub(crate) const DEPTH_HEADER: HeaderName = HeaderName::from_static("x-jayrack-depth");
/// Header with the number of attempts left.
pub(crate) const ATTEMPTS_HEADER: HeaderName = HeaderName::from_static("x-jayrack-attempts");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect()
}

/// Converts HTTP headers to messages.
pub(crate) fn to_messages(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .map(|(name, value)| Header {
            name: name.as_str().to_string(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

/// Converts messages to HTTP headers; `None` when one is malformed.
pub(crate) fn to_headers(messages: Vec<Header>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(messages.len() + 4);
    for message in messages {
        let name = HeaderName::from_bytes(message.name.as_bytes()).ok()?;
        let value = HeaderValue::from_maybe_shared(bytes::Bytes::from(message.value)).ok()?;
        headers.append(name, value);
    }
    Some(headers)
}

/// Returns the value of the `Content-Length` header; `None` when it is absent or malformed.
pub(crate) fn content_length(messages: &[Header]) -> Option<u64> {
    let message = messages
        .iter()
        .find(|message| message.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(&message.value).ok()?.parse().ok()
}

/// Makes the request for the backend server; `None` when the head is malformed.
pub(crate) fn to_request(head: RequestHead, body: RelayBody) -> Option<Request<RelayBody>> {
    let mut headers = to_headers(head.headers)?;
    strip_hop_by_hop(&mut headers);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(head.deadline_ms));
    headers.insert(DEPTH_HEADER, HeaderValue::from(head.depth + 1));
    insert_text(&mut headers, RANK_HEADER, &head.rank_name);
    insert_text(&mut headers, CUSTOMER_HEADER, &head.customer);
    let tree_id = format!("{:016x}", head.customer_request);
    insert_text(&mut headers, CUSTOMER_REQUEST_HEADER, &tree_id);
    if !headers.contains_key(REQUEST_ID_HEADER) {
        let id = RequestId::from_halves(head.request_high, head.request_low);
        insert_text(&mut headers, REQUEST_ID_HEADER, &id.to_string());
    }
    let mut request = Request::new(body);
    *request.method_mut() = head.method.parse().ok()?;
    *request.uri_mut() = head.target.parse::<http::Uri>().ok()?;
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = headers;
    Some(request)
}

fn insert_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if text.is_empty() {
        return;
    }
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}

/// Makes the answer to the ingress from the backend server's response.
pub(crate) fn to_answer(response: Response<RelayBody>) -> OwnerAnswer {
    let (mut parts, body) = response.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    OwnerAnswer {
        head: ResponseHead {
            status: u32::from(parts.status.as_u16()),
            headers: to_messages(&parts.headers),
            code: 0,
            load: None,
        },
        body,
    }
}

/// Makes the response to the caller; `None` when the owner's answer is malformed.
pub(crate) fn to_response(answer: OwnerAnswer) -> Option<Response<RelayBody>> {
    let headers = to_headers(answer.head.headers)?;
    let status = u16::try_from(answer.head.status)
        .ok()
        .filter(|status| is_final_status(*status))?;
    let mut response = Response::new(answer.body);
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = headers;
    Some(response)
}
