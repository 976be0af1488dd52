//! Decides when a started daemon may serve.
//!
//! Reaching the end of the log is the best evidence. When the log is unavailable, ready peers from different
//! data centres must confirm the version instead, and each reader must have answered, because new versions
//! reach the fleet through the readers. In both cases the version must not be below any version that peers
//! have in force, or that they have stored for the daemon's address.
use std::collections::{BTreeMap, BTreeSet};

use jayrack_protocol::MemberId;

use super::fleet::FleetView;
use crate::object::Version;

/// Number of data centres whose peers must confirm the version when the log is unavailable.
const MIN_CONFIRMING_DATA_CENTRES: usize = 2;

/// Number of peers that must confirm the version when the log is unavailable.
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

    /// Whether peers must confirm the version because the log is unavailable.
    pub fn needs_confirming_peers(&self) -> bool {
        self.is_log_unavailable && !self.is_log_read
    }

    /// Whether the peer has confirmed the version.
    pub fn is_confirmed_by(&self, peer: MemberId) -> bool {
        self.confirming_peers.contains_key(&peer)
    }

    /// Marks the log as read: all records up to its end were folded.
    pub fn log_read(&mut self) {
        self.is_log_read = true;
    }

    /// Marks the log as unavailable: it does not answer or has expired the records needed.
    pub fn log_unavailable(&mut self) {
        self.is_log_unavailable = true;
    }

    /// Raises the lowest version with which the daemon may serve.
    pub fn raise_minimum_version(&mut self, version: Version) {
        self.minimum_version = self.minimum_version.max(version);
    }

    /// Adds a peer that answered, ready or not.
    pub fn add_answered_peer(&mut self, peer: MemberId) {
        if !self.is_ready {
            self.answered.insert(peer);
        }
    }

    /// Whether the peer has answered.
    pub fn has_answered(&self, peer: MemberId) -> bool {
        self.answered.contains(&peer)
    }

    /// Adds a ready peer whose state is folded here as well.
    pub fn add_confirming_peer(&mut self, peer: MemberId, data_centre: &str) {
        if !self.is_ready {
            self.confirming_peers.insert(peer, data_centre.to_string());
        }
    }

    /// Becomes ready if the evidence suffices; returns true only on the change.
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
