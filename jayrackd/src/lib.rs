//! The daemon that runs beside each backend server.
//!
//! * [`shared`]: what the control thread publishes to the traffic threads.
//! * [`traffic`]: the traffic threads as one unit with a start and an end.
//! * [`ingress`]: requests of callers.
//! * [`transport`]: QUIC connections between daemons.
//! * [`owner`]: requests for the backend servers beside this daemon.
//! * [`backend`]: HTTP connections to those backend servers.
#![deny(missing_docs, unsafe_code)]

pub mod backend;
pub mod ingress;
pub mod owner;
pub mod shared;
pub mod traffic;
pub mod transport;
