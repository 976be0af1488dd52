//! Failure detection, member records and their dissemination.
//!
//! * [`core`]: the state machine that decides what to send and whom to believe.
//! * [`record`]: what a daemon publishes about itself.
//! * [`view`]: the members known to one daemon.
//! * [`contacts`]: which daemons keep their addresses in the log.
//! * [`in_force`]: where a configuration version is in force.
//! * [`wire`]: translation between records and messages.
#![deny(missing_docs, unsafe_code)]

pub mod contacts;
pub mod core;
pub mod in_force;
pub mod record;
pub mod view;
pub mod wire;

mod address_history;
mod digest;
mod replay;
mod suspicion;
mod token_bucket;
mod updates;

pub use core::{Action, Input, MembershipCore};
pub use in_force::{InForce, in_force};
pub use record::{MemberRecord, ServerRecord};
pub use view::{MemberEntry, MemberStatus, MemberView};
