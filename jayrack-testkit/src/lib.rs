//! Test doubles, fixtures and load tools for jayrack; never published.
//!
//! * [`log_standin`]: a test double of the platform log.
//! * [`backend_standin`]: a test double of a backend server.
//! * [`link`]: network relays that lose, delay or silently drop traffic.
//! * [`fleet`]: a fleet of real processes on loopback.
//! * [`deployment`]: configurations and workloads of the users' two deployments.
//! * [`load`]: measurements of a running fleet.
//! * [`operator`]: a client of the administration API.
//! * [`tool`]: runs the operators' command-line tool.
//! * [`observe`]: polls until an expected state is observed.
//! * [`process`], [`binaries`], [`address`], [`certificates`]: building blocks of a fleet.
//! * [`standin_process`]: start-up and shutdown shared by the stand-in processes.
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
