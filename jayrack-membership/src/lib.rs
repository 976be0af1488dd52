//! Failure detection, member records and their dissemination.
//!
//! * [`core`]: the state machine of the membership protocol.
//! * [`record`]: what a daemon publishes about itself.
//! * [`view`]: the members known to one daemon.
//! * [`contacts`]: discovery of members through addresses published in the log.
//! * [`in_force`]: the members at which a configuration version is in force.
//! * [`wire`]: conversion between records and messages.
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
