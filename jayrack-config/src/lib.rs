//! Intents, plans, the fold over the log, and the route table compiled from them.
//!
//! * [`object`]: the objects that operators configure.
//! * [`table`]: the immutable route table that traffic uses.
#![deny(missing_docs, unsafe_code)]

pub mod object;
pub mod table;
