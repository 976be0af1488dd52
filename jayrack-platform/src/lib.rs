//! Client of the platform's append-only log service.
//!
//! * [`log`]: the trait that the log is used through, its answers and its errors.
//! * [`http`]: the log over HTTP/1.1.
//! * [`pool`]: the connections that the HTTP client keeps open.
//! * [`traffic`]: counts what goes over them.
#![deny(missing_docs, unsafe_code)]

pub mod http;
pub mod log;
pub mod pool;
pub mod traffic;

pub use http::HttpLog;
pub use log::LogService;
