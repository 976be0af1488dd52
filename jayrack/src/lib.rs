//! The operators' command-line tool.
//!
//! * [`usage`]: the command line, parsed into an [`usage::Invocation`].
//! * [`explain`]: the trace of one request, collected from log files.
//! * [`client`]: requests to the administration API.
//! * [`render`]: answers as text of at most 40 columns, for phone screens.
#![deny(missing_docs, unsafe_code)]

pub mod client;
pub mod explain;
pub mod render;
pub mod usage;
