//! Measurements of a running fleet, reported as one line of JSON.
//!
//! * [`convergence`]: time from acceptance to the last daemon.
//! * [`control_cost`]: what the control of a fleet costs each daemon.
//! * [`flood`]: service by rank under a flood.
//! * [`latency`]: time that two daemons add to a request.
//! * [`arrivals`], [`customer`], [`ideal`], [`flood_report`]: building blocks of the flood.
//! * [`proc_usage`], [`metrics`]: resource use and metrics of a daemon.
//! * [`summary`]: statistics of samples.
pub mod arrivals;
pub mod control_cost;
pub mod convergence;
pub mod customer;
pub mod flood;
pub mod flood_report;
pub mod ideal;
pub mod latency;
pub mod metrics;
pub mod proc_usage;
pub mod summary;
