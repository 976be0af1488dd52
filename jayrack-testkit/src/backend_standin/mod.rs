//! A test double of a backend server.
//!
//! Requests control their own execution by the headers in [`headers`].
//!
//! * [`behaviour`]: injected faults, and the counters.
//! * [`body`]: answers that name their request and carry a checksum.
//! * [`call_tree`]: nested calls that a request makes.
//! * [`work`]: slots, service times and counting, without I/O.
//! * [`announcer`]: heartbeats to the daemon beside it.
//! * [`server`]: the HTTP server.
pub mod announcer;
pub mod behaviour;
pub mod body;
pub mod call_tree;
pub mod headers;
pub mod server;
pub mod work;

pub use behaviour::{BackendBehaviour, BackendCounts, Distribution, ReportMode};
pub use server::{BackendStandin, Options};
