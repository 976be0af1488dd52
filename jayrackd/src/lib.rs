//! The daemon that runs beside each backend server.
//!
//! * [`shared`]: what the control thread publishes to the traffic threads.
#![deny(missing_docs, unsafe_code)]

pub mod shared;
