//! Responses to callers and the headers that report the outcome.
use bytes::Bytes;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use jayrack_protocol::ResultCode;

use crate::transport::body::RelayBody;

const CODE_HEADER: HeaderName = HeaderName::from_static("x-jayrack-code");
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("x-jayrack-outcome");

/// Outcome of a request as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum OutcomeKind {
    /// The backend server answered.
    Done,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The backend server took the request and failed.
    Failed,
}

impl OutcomeKind {
    /// Returns the outcome that `code` implies.
    pub(crate) fn of(code: ResultCode) -> Self {
        match code {
            ResultCode::Ok | ResultCode::AnswerLost => OutcomeKind::Done,
            // The request that holds the key may still run.
            ResultCode::KeyInProgress => OutcomeKind::Unknown,
            ResultCode::ServerFailed => OutcomeKind::Failed,
            ResultCode::NotReady => OutcomeKind::NotRun,
            code if code.is_not_run() => OutcomeKind::NotRun,
            _ => OutcomeKind::Unknown,
        }
    }

    /// Returns the value of the `x-jayrack-outcome` header.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            OutcomeKind::Done => "done",
            OutcomeKind::NotRun => "not-run",
            OutcomeKind::Unknown => "unknown",
            OutcomeKind::Failed => "failed",
        }
    }
}

/// Returns the HTTP status for `code`.
fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::RouteUnknown => StatusCode::NOT_FOUND,
        ResultCode::RequestMalformed => StatusCode::BAD_REQUEST,
        ResultCode::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::HeadTimeout | ResultCode::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
        ResultCode::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::AnswerLost => StatusCode::BAD_GATEWAY,
        code => match OutcomeKind::of(code) {
            OutcomeKind::NotRun => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_GATEWAY,
        },
    }
}

/// Makes the response to a refused or failed request.
pub(crate) fn refuse(code: ResultCode) -> Response<RelayBody> {
    let outcome = OutcomeKind::of(code).as_str();
    let text = format!(
        "{{\"code\":{},\"name\":\"{}\",\"outcome\":\"{outcome}\",\"message\":\"{}\"}}\n",
        code.number(),
        code.name(),
        code.meaning()
    );
    let mut response = Response::new(RelayBody::full(Bytes::from(text)));
    *response.status_mut() = status_of(code);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    set_outcome_headers(headers, code);
    response
}

/// Sets the `x-jayrack-code` and `x-jayrack-outcome` headers.
pub(crate) fn set_outcome_headers(headers: &mut HeaderMap, code: ResultCode) {
    let outcome = OutcomeKind::of(code).as_str();
    headers.insert(CODE_HEADER, HeaderValue::from(code.number()));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
}
