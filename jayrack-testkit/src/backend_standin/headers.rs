//! Headers that control a backend server stand-in.

/// Identifier under which the run is counted and which the answer names.
pub const ID: &str = "x-standin-id";
/// Kind of work under which the run is counted.
pub const KIND: &str = "x-standin-kind";
/// Time that the work takes, in microseconds.
pub const SERVICE_US: &str = "x-standin-service-us";
/// Length of the answer's payload, in bytes.
pub const BYTES: &str = "x-standin-bytes";
/// Nested calls, as a JSON array of [`super::call_tree::CallNode`].
pub const CALLS: &str = "x-standin-calls";
/// Name of the server that ran the request; on answers.
pub const SERVER: &str = "x-standin-server";
