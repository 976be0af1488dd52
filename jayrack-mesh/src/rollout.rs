//! Roll-outs: shift of a service's traffic to a new software version, and back if that version is bad.
//!
//! * [`book`]: roll-outs known to a daemon.
//! * `observation`: evidence in the book.
//! * [`phase`]: phases, their schedule, and the steps of the leader.
//! * [`evidence`]: counts of answers and the verdict on a version.
//! * [`exposure`]: budget of requests that an ingress may send to an unproven version.
//! * [`leader`]: ranking of the hosts that may lead a roll-out.
//! * [`status`]: state of a roll-out as daemons send it to each other.
//! * [`versions`]: versions of a service that may receive requests.
pub mod book;
pub mod evidence;
pub mod exposure;
pub mod leader;
mod observation;
pub mod phase;
pub mod status;
pub mod versions;

use std::cmp::Ordering;

pub use book::RolloutBook;
pub use phase::RolloutPhase;

use crate::era::LogPosition;

/// Order of the operator to shift a service's traffic to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service that the order is about.
    pub service: String,
    /// Version that shall receive the traffic.
    pub target_version: String,
    /// Time within which the roll-out is to be completed, in milliseconds.
    pub duration_ms: u64,
    /// Position of the order in the store; a later order replaces an earlier one.
    pub position: LogPosition,
}

/// How an order is related to the latest known one of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRelation {
    /// It is that order, perhaps at another position: an order that the store has lost is written again.
    Same,
    /// It was given before.
    Earlier,
    /// It was given later.
    Later,
}

impl RolloutOrder {
    /// How this order is related to the latest known one of its service.
    ///
    /// Within an era the offset tells orders apart, also those that say the same. Between eras only what they say does.
    pub fn relation_to(&self, known: &Self) -> OrderRelation {
        if self.position.era != known.position.era && self.says_the_same_as(known) {
            return OrderRelation::Same;
        }
        match self.position.cmp(&known.position) {
            Ordering::Less => OrderRelation::Earlier,
            Ordering::Equal => OrderRelation::Same,
            Ordering::Greater => OrderRelation::Later,
        }
    }

    /// Whether this is the record of `earlier` itself, which a copy of the store has kept at its offset.
    fn is_kept_record_of(&self, earlier: &Self) -> bool {
        self.position.era > earlier.position.era
            && self.position.offset == earlier.position.offset
            && self.says_the_same_as(earlier)
    }

    fn says_the_same_as(&self, other: &Self) -> bool {
        self.service == other.service
            && self.target_version == other.target_version
            && self.duration_ms == other.duration_ms
    }
}

/// Bounds of the requests that an unproven version receives, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureBounds {
    /// Fraction of the service's requests.
    pub share: f64,
    /// Requests in addition to that fraction.
    pub slack: f64,
}
