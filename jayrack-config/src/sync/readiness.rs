//! Decides when a started daemon knows enough to serve.
//!
//! The end of the log is the best evidence. When the log cannot tell, peers from different data centres
//! that are ready themselves take its place, and each reader must have answered, as new versions reach
//! the fleet through the readers. In both cases the version must not be below any version
//! that peers have, or that they remember for the daemon's address.
use std::collections::{BTreeMap, BTreeSet};

use jayrack_protocol::MemberId;

use super::fleet::FleetView;
use crate::object::Version;

/// Number of data centres whose peers together take the place of the log.
const MIN_CONFIRMING_DATA_CENTRES: usize = 2;

/// Number of peers that together take the place of the log.
const MIN_CONFIRMING_PEERS: usize = 2;

/// Evidence gathered since the daemon started.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Readiness {
    is_ready: bool,
    is_log_read: bool,
    is_log_unavailable: bool,
    minimum_version: Version,
    confirming_peers: BTreeMap<MemberId, String>,
    /// Peers that answered, ready or not.
    answered: BTreeSet<MemberId>,
}

impl Readiness {
    /// Whether the daemon may serve.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// The lowest version with which the daemon may serve.
    pub fn minimum_version(&self) -> Version {
        self.minimum_version
    }

    /// Whether peers are asked to take the place of the log.
    pub fn needs_confirming_peers(&self) -> bool {
        self.is_log_unavailable && !self.is_log_read
    }

    /// Whether the peer has been heard as a witness.
    pub fn is_confirmed_by(&self, peer: MemberId) -> bool {
        self.confirming_peers.contains_key(&peer)
    }

    /// Notes that all records up to the end of the log were folded.
    pub fn log_read(&mut self) {
        self.is_log_read = true;
    }

    /// Notes that the log does not answer or has expired the records needed.
    pub fn log_unavailable(&mut self) {
        self.is_log_unavailable = true;
    }

    /// Raises the lowest version with which the daemon may serve.
    pub fn raise_minimum_version(&mut self, version: Version) {
        self.minimum_version = self.minimum_version.max(version);
    }

    /// Notes that a peer answered, ready or not.
    pub fn add_answered_peer(&mut self, peer: MemberId) {
        if !self.is_ready {
            self.answered.insert(peer);
        }
    }

    /// Whether the peer has answered.
    pub fn has_answered(&self, peer: MemberId) -> bool {
        self.answered.contains(&peer)
    }

    /// Notes that a ready peer told its state, which is folded here as well.
    pub fn add_confirming_peer(&mut self, peer: MemberId, data_centre: &str) {
        if !self.is_ready {
            self.confirming_peers.insert(peer, data_centre.to_string());
        }
    }

    /// Becomes ready if the evidence suffices; true on the change only.
    pub fn check(&mut self, version: Version, fleet: &FleetView) -> bool {
        if self.is_ready || version < self.minimum_version {
            return false;
        }
        self.is_ready = self.is_log_read || self.has_quorum(fleet);
        self.is_ready
    }

    fn has_quorum(&self, fleet: &FleetView) -> bool {
        let mut centres: Vec<&String> = self.confirming_peers.values().collect();
        centres.sort();
        centres.dedup();
        let peers = MIN_CONFIRMING_PEERS.min(fleet.len() - 1);
        let data_centres = MIN_CONFIRMING_DATA_CENTRES.min(fleet.other_data_centres());
        let mut readers = fleet.other_readers();
        self.is_log_unavailable
            && readers.all(|reader| self.answered.contains(&reader))
            && !self.confirming_peers.is_empty()
            && self.confirming_peers.len() >= peers
            && centres.len() >= data_centres
    }
}
