//! Takes the place of the platform log.
//!
//! * [`store`]: the streams, their expiry and the append quota, without I/O.
//! * [`behaviour`]: faults that can be switched on, and the counters.
//! * [`server`]: the HTTP form.
pub mod behaviour;
pub mod server;
pub mod store;

pub use behaviour::{LogBehaviour, LogCounts, LostAnswer, Outage};
pub use server::LogStandin;
