//! Stand-ins, fixtures and load tools for jayrack; never published.
//!
//! * [`log_standin`]: takes the place of the platform log.
//! * [`backend_standin`]: takes the place of a backend server.
//! * [`standin_process`]: what the stand-in processes have in common.
//! * [`http_server`], [`http_client`]: HTTP/1.1 for the stand-ins and the tools.
#![deny(missing_docs, unsafe_code)]

pub mod backend_standin;
pub mod http_client;
pub mod http_server;
pub mod log_standin;
pub mod standin_process;
