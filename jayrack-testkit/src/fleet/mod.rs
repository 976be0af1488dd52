//! A fleet of real processes on loopback.
//!
//! * [`plan`]: the daemons and servers to start.
//! * [`settings`]: the settings file of a daemon.
//! * [`daemon`], [`standin`]: one daemon; one stand-in process.
//! * [`run`]: the running fleet.
pub mod daemon;
pub mod plan;
pub mod run;
pub mod settings;
pub mod standin;

pub use daemon::FleetDaemon;
pub use plan::{FleetPlan, ServerPlan};
pub use run::Fleet;
pub use standin::{ServerProcess, StandinProcess};
