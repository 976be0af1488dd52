//! The control thread.
pub mod operations;
