//! Routing, admission by rank, retries and the outcome ledger.
#![deny(missing_docs, unsafe_code)]
