//! The daemon that runs beside each backend server.
//!
//! * [`settings`]: the settings that the daemon reads at start.
//! * [`control`]: the control thread; [`gossip`], [`admin`] and [`announce`] are its interfaces.
//! * [`traffic`]: the traffic threads, which run the code of [`ingress`], [`owner`], [`backend`] and
//!   [`transport`].
//! * [`shared`]: the state that the control thread publishes to the traffic threads.
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
