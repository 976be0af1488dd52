//! The operators' command-line tool.
#![deny(missing_docs, unsafe_code)]
