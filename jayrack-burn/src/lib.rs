//! Burn rates of service-level objectives and their report.
//!
//! * [`window`]: good and total requests over sliding windows, in bounded memory.
//! * [`tracker`]: windows by service and rank on one daemon.
//! * [`report`]: counts of all daemons, summed, and the state of each objective.
//! * [`page`]: the report as a single HTML page for phone screens.
//! * [`chart`]: burn rates as an SVG chart for that page.
#![deny(missing_docs, unsafe_code)]

pub mod chart;
pub mod page;
pub mod report;
pub mod tracker;
pub mod window;
