//! Service-level objectives, burn rates and the report on them.
//!
//! * [`window`]: good and total requests over sliding windows, in bounded memory.
//! * [`tracker`]: windows by service and rank, at one daemon.
//! * [`report`]: what daemons tell each other, summed up and judged.
//! * [`page`]: the report as one HTML page for a phone.
//! * [`chart`]: the picture on that page.
#![deny(missing_docs, unsafe_code)]

pub mod chart;
pub mod page;
pub mod report;
pub mod tracker;
pub mod window;
