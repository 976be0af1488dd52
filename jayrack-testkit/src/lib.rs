//! Stand-ins, fixtures and load tools for jayrack; never published.
//!
//! * [`log_standin`]: takes the place of the platform log.
//! * [`backend_standin`]: takes the place of a backend server.
//! * [`link`]: relays that drop, delay or forget.
//! * [`fleet`]: a whole fleet of real processes on loopback.
//! * [`deployment`]: the users' two deployments.
//! * [`load`]: measures that run a fleet.
//! * [`operator`]: an operator at the administration API.
//! * [`tool`]: runs the operators' tool.
//! * [`observe`]: waits on observed state.
//! * [`process`], [`binaries`], [`address`], [`certificates`]: what the fleet is made of.
//! * [`standin_process`]: what the stand-in processes have in common.
//! * [`http_server`], [`http_client`]: HTTP/1.1 for the stand-ins and the tools.
#![deny(missing_docs, unsafe_code)]

pub mod address;
pub mod backend_standin;
pub mod binaries;
pub mod certificates;
pub mod deployment;
pub mod fleet;
pub mod http_client;
pub mod http_server;
pub mod link;
pub mod load;
pub mod log_standin;
pub mod observe;
pub mod operator;
pub mod process;
pub mod standin_process;
pub mod tool;
