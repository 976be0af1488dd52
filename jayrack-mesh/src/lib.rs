//! Routing, admission and load balancing decisions of the daemon on the platform.
//!
//! All modules are free of I/O: time is passed in as milliseconds of a monotonic clock, and nothing here
//! opens a socket, reads a clock or draws unseeded random numbers.
//!
//! * [`routes`]: route table of the operator's configuration.
//! * [`tenants`]: tenants and the lookup of their keys.
//! * [`freshness`]: age of the knowledge of the configuration.
//! * [`era`]: era of the store, which rises when it comes back from a copy.
//! * [`hosts`]: directory of the hosts in the fleet with their newest records.
//! * [`server`]: state of the backend server beside the daemon, from its status reports.
//! * [`gate`]: admission gate and queue in front of that backend server.
//! * [`health`]: failures and warm-up of the backend server beside the daemon.
//! * [`link`]: admission of large answers to the host's link.
//! * [`fairness`]: slot time that tenants have used, which orders that gate's queue.
//! * [`allowance`]: rate limits of tenants over the whole fleet.
//! * [`memory`]: byte budget for what clients send and are sent.
//! * [`attempts`]: forwarding attempts of a request and when they are exhausted.
//! * [`status`]: schedule of status datagrams between daemons.
//! * [`transit`]: delay of requests on their way from other hosts.
//! * [`pick`]: selection of a host for a request.
//! * [`budget`]: retry budget of each service.
//! * [`rollout`]: roll-outs of new software versions.
//! * [`running`]: requests that the backend server runs, and whether their nested calls were refused.
//! * [`stop`]: times of a planned stop.
//! * [`delta`]: deltas between two versions of a text.
//! * [`readers`]: selection of the hosts that read the store on behalf of the others.
//! * [`shedding`]: early refusal at the ingress while a service is full.
//! * [`split`]: distribution of a route's requests over its weighted services.
#![deny(missing_docs, unsafe_code)]

pub mod allowance;
pub mod attempts;
pub mod budget;
pub mod delta;
pub mod era;
pub mod fairness;
pub mod freshness;
pub mod gate;
pub mod health;
pub mod hosts;
pub mod link;
mod load;
pub mod memory;
pub mod pick;
pub mod readers;
pub mod rollout;
pub mod routes;
pub mod running;
pub mod server;
pub mod shedding;
pub mod split;
pub mod status;
pub mod stop;
pub mod tenants;
pub mod transit;

pub use budget::RetryBudget;
pub use gate::AdmissionGate;
pub use hosts::{HostDirectory, HostRecord};
pub use memory::MemoryBudget;
pub use pick::HostPicker;
pub use rollout::RolloutBook;
pub use routes::MeshRoutes;
pub use running::RunningRequests;
pub use server::ServerTracker;
pub use shedding::LoadShedder;
pub use split::SplitChooser;
pub use tenants::TenantDirectory;
pub use transit::TransitMeter;
