//! Daemon beside each backend server on the platform.
//!
//! * [`settings`]: settings file of the daemon.
//! * [`control`]: control thread: configuration, hosts, status reports, readiness.
//! * [`traffic`]: traffic thread: requests of callers and of other daemons.
//! * [`shared`]: state shared by the two threads.
//! * [`logging`], [`metrics`]: logs and metrics.
//! * [`allocator`]: memory that is returned to the system.
#![deny(missing_docs, unsafe_code)]

pub mod allocator;
pub mod control;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod shared;
pub mod traffic;
