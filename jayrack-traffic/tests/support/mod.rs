//! Fixtures shared by the tests.
#![allow(dead_code)]
pub mod world;
