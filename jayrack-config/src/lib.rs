//! Intents, plans, the fold over the log, and the route table compiled from them.
//!
//! * [`object`]: the objects that operators configure.
//! * [`record`]: records of the `intents` stream.
//! * [`validate`]: which changes are refused, and why.
//! * [`fold`]: the state after all records below an offset; the only judge of plans.
//! * [`plan`]: stating, confirming, dropping and listing plans.
//! * [`snapshot`]: the state as text.
//! * [`tail`]: the latest records, for peers that pull.
//! * [`tracker`]: appends whose outcome is not known yet.
//! * [`budget`]: the daemon's share of the log's append quota.
//! * [`sync`]: who reads the log, and how records reach every member.
//! * [`table`]: the immutable route table that traffic uses.
#![deny(missing_docs, unsafe_code)]

pub mod budget;
pub mod fold;
pub mod object;
pub mod plan;
pub mod record;
pub mod snapshot;
pub mod sync;
pub mod table;
pub mod tail;
pub mod tracker;
pub mod validate;
