//! Failure detection, member records and their dissemination.
#![deny(missing_docs, unsafe_code)]
