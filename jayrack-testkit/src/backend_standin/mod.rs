//! Takes the place of a backend server.
//!
//! Requests steer it by the headers in [`headers`].
//!
//! * [`behaviour`]: what can be switched, and the counters.
//! * [`body`]: answers that name their request and carry a checksum.
//! * [`call_tree`]: further calls that a request makes.
//! * [`work`]: slots, service times and counting, without I/O.
//! * [`announcer`]: heartbeats to the daemon beside it.
//! * [`server`]: the HTTP form.
pub mod announcer;
pub mod behaviour;
pub mod body;
pub mod call_tree;
pub mod headers;
pub mod server;
pub mod work;

pub use behaviour::{BackendBehaviour, BackendCounts, Distribution, ReportMode};
pub use server::{BackendStandin, Options};
