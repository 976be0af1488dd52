//! Service-level objectives, burn rates and the report on them.
#![deny(missing_docs, unsafe_code)]
