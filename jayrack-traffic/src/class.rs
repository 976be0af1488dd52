//! The attributes of a request that decide its admission.
use jayrack_protocol::RequestId;

/// Position of the first-sent time in a request identifier, in bits; the bits below are random.
const TIME_SHIFT_BITS: u32 = 80;
/// Mask of the random bits of a request identifier.
const RANDOM_MASK: u128 = (1 << TIME_SHIFT_BITS) - 1;

/// Rank, fair-share keys and deadline of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestClass {
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Share of the slots that other ranks cannot take while this rank has work, in percent.
    pub reserved_share_percent: u8,
    /// Kind of work.
    pub kind: String,
    /// Customer on whose behalf the request runs.
    pub customer: String,
    /// Identifies the whole tree of requests that serves one customer request.
    pub customer_request: u64,
    /// Depth in that tree: 0 for the root request, more for nested calls.
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

/// Time at which the request was first sent, in milliseconds since the Unix epoch by its sender's clock.
pub fn sent_unix_ms(id: RequestId) -> u64 {
    (id.0 >> TIME_SHIFT_BITS) as u64
}
