//! The daemon that runs beside each backend server.
//!
//! * [`settings`]: what the daemon is told at its start.
//! * [`shared`]: what the control thread publishes to the traffic threads.
//! * [`admin`]: the administration API.
//! * [`announce`]: the backend servers on this host.
//! * [`clock`], [`logging`]: time and logs.
#![deny(missing_docs, unsafe_code)]

pub mod admin;
pub mod announce;
pub mod clock;
pub mod control;
pub mod logging;
pub mod settings;
pub mod shared;
