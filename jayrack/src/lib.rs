//! The operators' command-line tool.
//!
//! * [`usage`]: the command line, parsed into an [`usage::Invocation`].
//! * [`explain`]: the trail of one request through logs.
//! * [`client`]: one request to the administration API.
//! * [`render`]: answers as text that fits a phone of 40 columns.
#![deny(missing_docs, unsafe_code)]

pub mod client;
pub mod explain;
pub mod render;
pub mod usage;
