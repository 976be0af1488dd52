//! Configuration: intents and plans, the state folded from the log, and the route table compiled from it.
//!
//! * [`object`]: the objects that operators configure.
//! * [`record`]: records of the `intents` stream.
//! * [`validate`]: checks of a change, with all reasons for a refusal.
//! * [`fold`]: the state after all records below an offset; it alone decides the outcome of plans.
//! * [`plan`]: proposing, confirming, dropping and listing plans.
//! * [`snapshot`]: encoding and decoding of the state.
//! * [`tail`]: the latest records, for peers that pull.
//! * [`tracker`]: appends of this daemon until their records are folded.
//! * [`budget`]: the daemon's share of the log's append quota.
//! * [`sync`]: which daemons read the log, and how records reach every member.
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
