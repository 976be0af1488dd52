//! What admission knows about a request.
use jayrack_protocol::RequestId;

/// Bits of a request identifier below its first-sent time.
const TIME_SHIFT_BITS: u32 = 80;
/// Highest number in the random part of a request identifier.
const RANDOM_MASK: u128 = (1 << TIME_SHIFT_BITS) - 1;

/// The treatment that one request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass {
    /// Position of the rank; 0 is the most urgent.
    pub rank: u8,
    /// Share of the slots that other ranks cannot take while this rank has work, in percent.
    pub reserved_share_percent: u8,
    /// Kind of work.
    pub kind: String,
    /// Customer on whose behalf the request runs.
    pub customer: String,
    /// Identifies the whole tree of requests that serves one customer request.
    pub customer_request: u64,
    /// Position in that tree; 0 for the first request.
    pub depth: u32,
    /// Deadline, in milliseconds of the local monotonic clock.
    pub deadline_ms: u64,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
}

/// Builds the identifier of a request first sent at `unix_ms`, with `random` in its lower 80 bits.
pub fn request_id(unix_ms: u64, random: u128) -> RequestId {
    RequestId((u128::from(unix_ms) << TIME_SHIFT_BITS) | (random & RANDOM_MASK))
}

/// When the request was first sent, in milliseconds since the Unix epoch by its sender's clock.
pub fn sent_unix_ms(id: RequestId) -> u64 {
    (id.0 >> TIME_SHIFT_BITS) as u64
}
