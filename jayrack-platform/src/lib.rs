//! Client of the platform's append-only log service.
#![deny(missing_docs, unsafe_code)]
