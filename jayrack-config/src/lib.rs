//! Intents, plans, the fold over the log, and the route table compiled from them.
//!
//! * [`object`]: the objects that operators configure.
//! * [`record`]: records of the `intents` stream.
//! * [`validate`]: which changes are refused, and why.
//! * [`fold`]: the state after all records below an offset; the only judge of plans.
//! * [`plan`]: stating, confirming, dropping and listing plans.
//! * [`table`]: the immutable route table that traffic uses.
#![deny(missing_docs, unsafe_code)]

pub mod fold;
pub mod object;
pub mod plan;
pub mod record;
pub mod table;
pub mod validate;
