//! A test double of the platform log.
//!
//! * [`store`]: the streams, their expiry and the append quota, without I/O.
//! * [`behaviour`]: injected faults and request counters.
//! * [`server`]: the HTTP server.
pub mod behaviour;
pub mod server;
pub mod store;

pub use behaviour::{LogBehaviour, LogCounts, LostAnswer, Outage};
pub use server::{LogCopy, LogStandin};
