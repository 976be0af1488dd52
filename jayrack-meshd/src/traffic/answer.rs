//! Responses to callers, among them those that the daemon makes itself.
use hyper::{
    Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
};
use jayrack_platform::headers;
use jayrack_protocol::ResultCode;
use tokio::time::Instant;

use super::{body::AnswerBody, forward, state::TrafficState};

/// Header with the number of the result code; only on responses that the daemon makes itself.
const CODE: HeaderName = HeaderName::from_static("jayrack-code");

/// Result of a caller's request.
#[derive(Debug)]
pub enum CallerAnswer {
    /// The backend server's answer.
    Answer(Box<Response<AnswerBody>>),
    /// A response of the daemon itself.
    Code(ResultCode),
    /// The request did not run; the caller may retry after this time in milliseconds.
    Refusal(ResultCode, u64),
}

impl CallerAnswer {
    /// Breaks off a server's answer that has not been received completely by `deadline`.
    pub fn with_deadline(self, deadline: Instant) -> Self {
        match self {
            CallerAnswer::Answer(response) => {
                let response = response.map(|body| body.with_deadline(deadline));
                CallerAnswer::Answer(Box::new(response))
            }
            CallerAnswer::Code(_) | CallerAnswer::Refusal(..) => self,
        }
    }
}

/// Converts a result to the response to the caller and counts it in the metrics.
pub fn to_response(
    state: &TrafficState,
    answer: CallerAnswer,
    id: Option<HeaderValue>,
) -> Response<AnswerBody> {
    let (code, retry_after_ms) = match answer {
        CallerAnswer::Answer(response) => {
            state.mesh.metrics.count_request("answered");
            return *response;
        }
        CallerAnswer::Code(code) => (code, None),
        CallerAnswer::Refusal(code, retry_after_ms) => (code, Some(retry_after_ms)),
    };
    state.mesh.metrics.count_request(code.name());
    let mut response = forward::empty(status_of(code));
    let fields = response.headers_mut();
    fields.insert(CODE, HeaderValue::from(code.number()));
    if let Some(id) = id {
        fields.insert(headers::REQUEST_ID, id);
    }
    if code == ResultCode::KeyUnknown {
        fields.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    if let Some(retry_after_ms) = retry_after_ms {
        let seconds = format!("{:.3}", retry_after_ms as f64 / 1_000.0);
        forward::insert_text(fields, header::RETRY_AFTER, &seconds);
    }
    response
}

/// HTTP status of a response of the daemon itself; 429 and 503 mean that the request did not run.
fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::RouteUnknown => StatusCode::NOT_FOUND,
        ResultCode::KeyUnknown => StatusCode::UNAUTHORIZED,
        ResultCode::RequestMalformed => StatusCode::BAD_REQUEST,
        ResultCode::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::AllowanceExceeded => StatusCode::TOO_MANY_REQUESTS,
        ResultCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
