//! The daemon that runs beside each backend server.
//!
//! * [`settings`]: what the daemon is told at its start.
//! * [`control`]: the control thread; [`gossip`], [`admin`] and [`announce`] are its edges.
//! * [`traffic`]: the traffic threads; [`ingress`], [`owner`], [`backend`] and [`transport`] are
//!   their parts.
//! * [`shared`]: what the control thread publishes to the traffic threads.
//! * [`clock`], [`logging`], [`metrics`]: time, logs and metrics.
#![deny(missing_docs, unsafe_code)]

pub mod admin;
pub mod announce;
pub mod backend;
pub mod clock;
pub mod control;
pub mod gossip;
pub mod ingress;
pub mod logging;
pub mod metrics;
pub mod owner;
pub mod settings;
pub mod shared;
pub mod traffic;
pub mod transport;
