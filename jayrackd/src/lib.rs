//! The daemon that runs beside each backend server.
//!
//! * [`gossip`]: membership over UDP.
//! * [`shared`]: what the control thread publishes to the traffic threads.
#![deny(missing_docs, unsafe_code)]

pub mod gossip;
pub mod shared;
