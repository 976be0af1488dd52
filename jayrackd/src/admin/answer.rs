//! Answers of the administration API.
use jayrack_protocol::ResultCode;
use serde_json::{Map, Value};
use warp::{
    http::{StatusCode, header},
    reply::Response,
};

const UNAUTHORIZED: u16 = 401;
const SEE_OTHER: u16 = 303;

/// An answer that can be turned into an HTTP response.
#[derive(Debug, Clone, PartialEq)]
pub enum ApiAnswer {
    /// A JSON object with the code and further fields.
    Json {
        /// Result code.
        code: ResultCode,
        /// HTTP status.
        status: u16,
        /// Fields besides `code`, `name` and `message`.
        fields: Map<String, Value>,
    },
    /// A redirect (303) to the path of the result.
    SeeOther {
        /// Path of the result.
        location: &'static str,
    },
    /// Text of another media type.
    Text {
        /// HTTP status.
        status: u16,
        /// Media type.
        media_type: &'static str,
        /// Body of the response.
        text: String,
    },
}

impl ApiAnswer {
    /// Creates a success with the fields of the object `body`.
    pub fn success(status: u16, body: Value) -> Self {
        Self::with_fields(ResultCode::Ok, status, body)
    }

    /// Creates a refusal without further fields; the code determines the status.
    pub fn refusal(code: ResultCode) -> Self {
        Self::with_fields(code, status_of(code), Value::Null)
    }

    /// Creates a refusal with the fields of the object `body`.
    pub fn refusal_with(code: ResultCode, body: Value) -> Self {
        Self::with_fields(code, status_of(code), body)
    }

    /// Creates a refusal with one reason.
    pub fn refusal_because(code: ResultCode, reason: &str) -> Self {
        Self::refusal_with(code, serde_json::json!({"reasons": [reason]}))
    }

    fn with_fields(code: ResultCode, status: u16, body: Value) -> Self {
        let fields = match body {
            Value::Object(fields) => fields,
            _ => Map::new(),
        };
        ApiAnswer::Json {
            code,
            status,
            fields,
        }
    }

    /// Turns the answer into an HTTP response.
    pub fn into_response(self) -> Response {
        match self {
            ApiAnswer::Json {
                code,
                status,
                fields,
            } => {
                let mut response =
                    text_response(status, "application/json", json_text(code, fields));
                if status == UNAUTHORIZED {
                    let challenge = header::HeaderValue::from_static("Basic realm=\"jayrack\"");
                    response
                        .headers_mut()
                        .insert(header::WWW_AUTHENTICATE, challenge);
                }
                response
            }
            ApiAnswer::SeeOther { location } => {
                let mut response = text_response(SEE_OTHER, "text/plain", String::new());
                let location = header::HeaderValue::from_static(location);
                response.headers_mut().insert(header::LOCATION, location);
                response
            }
            ApiAnswer::Text {
                status,
                media_type,
                text,
            } => text_response(status, media_type, text),
        }
    }
}

fn text_response(status: u16, media_type: &'static str, text: String) -> Response {
    let mut response = Response::new(text.into());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let media_type = header::HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    response
}

fn json_text(code: ResultCode, mut fields: Map<String, Value>) -> String {
    fields.insert("code".into(), code.number().into());
    if code != ResultCode::Ok {
        fields.insert("name".into(), code.name().into());
        fields.insert("message".into(), code.meaning().into());
    }
    Value::Object(fields).to_string()
}

/// HTTP status of an answer with `code`.
fn status_of(code: ResultCode) -> u16 {
    match code {
        ResultCode::Ok => 200,
        ResultCode::TokenMissing | ResultCode::TokenInvalid => 401,
        ResultCode::NotOwner | ResultCode::RoleInsufficient => 403,
        ResultCode::PathUnknown | ResultCode::PlanUnknown => 404,
        ResultCode::MethodNotAllowed => 405,
        ResultCode::PlanConflict
        | ResultCode::PlanExpired
        | ResultCode::PlanDropped
        | ResultCode::PlanAlreadyConfirmed => 409,
        ResultCode::BodyTooLarge => 413,
        ResultCode::PlanInvalid => 422,
        ResultCode::LogThrottled => 429,
        ResultCode::PlanPending => 202,
        ResultCode::JsonMalformed | ResultCode::JsonInvalid => 400,
        _ => 503,
    }
}
