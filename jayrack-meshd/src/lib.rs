//! The daemon beside each backend server on the users' platform.
//!
//! * [`settings`]: what the daemon is told at its start.
//! * [`control`]: the control thread: configuration, hosts, status reports, readiness.
//! * [`traffic`]: the traffic thread: requests of callers and of other daemons.
//! * [`shared`]: what the two threads share.
//! * [`logging`], [`metrics`]: logs and metrics.
#![deny(missing_docs, unsafe_code)]

pub mod control;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod shared;
pub mod traffic;
