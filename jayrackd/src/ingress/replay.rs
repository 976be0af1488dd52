//! Body of a caller's request: buffered when it is small, so that it can be sent again.
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use jayrack_protocol::ResultCode;

use super::guard::ConnectionState;
use crate::transport::body::{BodyError, RelayBody};

/// Body of a caller's request.
#[derive(Debug)]
pub(super) enum ReplayBody {
    /// The complete body; can be sent any number of times.
    Buffered(Bytes),
    /// Forwarded as it arrives; `None` after it was sent.
    Streamed(Option<RelayBody>),
}

impl ReplayBody {
    /// Reads the body when its stated length is at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the code to refuse the request with; it was not run.
    pub(super) async fn read(
        body: Incoming,
        limit: usize,
        connection_state: &ConnectionState,
    ) -> Result<Self, ResultCode> {
        let length = body.size_hint().exact();
        if length.is_none_or(|length| length > limit as u64) {
            return Ok(Self::Streamed(Some(RelayBody::http(body))));
        }
        match RelayBody::http(body).collect_up_to(limit).await {
            Ok(bytes) => Ok(Self::Buffered(bytes)),
            Err(BodyError::TooLarge) => Err(ResultCode::RequestTooLarge),
            Err(_) => Err(connection_state
                .refusal_code()
                .unwrap_or(ResultCode::Cancelled)),
        }
    }

    /// Whether the body can be sent more than once.
    pub(super) fn is_buffered(&self) -> bool {
        matches!(self, ReplayBody::Buffered(_))
    }

    /// Returns the buffered bytes; empty for a streamed body.
    pub(super) fn buffered(&self) -> &[u8] {
        match self {
            ReplayBody::Buffered(bytes) => bytes,
            ReplayBody::Streamed(_) => &[],
        }
    }

    /// Returns the body for one attempt; `None` when it is streamed and was sent before.
    pub(super) fn take(&mut self) -> Option<AttemptBody> {
        match self {
            ReplayBody::Buffered(bytes) => Some(AttemptBody::Full(bytes.clone())),
            ReplayBody::Streamed(body) => body.take().map(AttemptBody::Streamed),
        }
    }
}

/// Body of one attempt.
#[derive(Debug)]
pub(super) enum AttemptBody {
    /// The complete body.
    Full(Bytes),
    /// Forwarded as it arrives.
    Streamed(RelayBody),
}

impl From<AttemptBody> for RelayBody {
    fn from(body: AttemptBody) -> Self {
        match body {
            AttemptBody::Full(bytes) => RelayBody::full(bytes),
            AttemptBody::Streamed(body) => body,
        }
    }
}
