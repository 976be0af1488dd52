//! The daemon that runs beside each backend server.
//!
//! * [`settings`]: what the daemon is told at its start.
//! * [`shared`]: what the control thread publishes to the traffic threads.
//! * [`admin`]: the administration API.
//! * [`announce`]: the backend servers on this host.
//! * [`clock`], [`logging`]: time and logs.
//! * [`traffic`]: the traffic threads as one unit with a start and an end.
//! * [`ingress`]: requests of callers.
//! * [`transport`]: QUIC connections between daemons.
//! * [`owner`]: requests for the backend servers beside this daemon.
//! * [`backend`]: HTTP connections to those backend servers.
#![deny(missing_docs, unsafe_code)]

pub mod admin;
pub mod announce;
pub mod backend;
pub mod clock;
pub mod control;
pub mod ingress;
pub mod logging;
pub mod owner;
pub mod settings;
pub mod shared;
pub mod traffic;
pub mod transport;
