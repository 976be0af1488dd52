//! Stand-ins, fixtures and load tools for jayrack; never published.
#![deny(missing_docs, unsafe_code)]
