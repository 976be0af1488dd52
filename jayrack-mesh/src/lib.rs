//! Decisions of the daemon on the platform.
//!
//! Every module is free of I/O: time comes in as milliseconds of a monotonic clock, and nothing here
//! opens a socket, reads a clock or draws unseeded random numbers.
//!
//! * [`routes`]: the operator's configuration and the route of a request.
//! * [`hosts`]: the hosts of the fleet, and which record of a host is newer.
//! * [`server`]: the backend server beside the daemon, from its status reports.
//! * [`gate`]: who gets a slot of that backend server, who waits and who is refused.
//! * [`link`]: how many large answers a narrow link carries.
//! * [`attempts`]: the hosts that a request was offered to, and whether another is asked.
//! * [`status`]: when daemons tell each other their status.
//! * [`transit`]: how long requests of other hosts were on their way.
//! * [`pick`]: the choice of a host for a request.
//! * [`budget`]: how many requests may be sent a second time.
//! * [`running`]: the requests that the backend server runs, and what became of their calls.
//! * [`delta`]: the difference between two versions of a text.
//! * [`readers`]: which hosts follow the store on behalf of the others.
//! * [`split`]: the choice among the weighted services of a route.
#![deny(missing_docs, unsafe_code)]

pub mod attempts;
pub mod budget;
pub mod delta;
pub mod gate;
pub mod hosts;
pub mod link;
pub mod pick;
pub mod readers;
pub mod routes;
pub mod running;
pub mod server;
pub mod split;
pub mod status;
pub mod transit;

pub use budget::RetryBudget;
pub use gate::AdmissionGate;
pub use hosts::{HostDirectory, HostRecord};
pub use pick::HostPicker;
pub use routes::MeshRoutes;
pub use running::RunningRequests;
pub use server::ServerTracker;
pub use split::SplitChooser;
pub use transit::TransitMeter;
