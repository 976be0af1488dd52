//! Inputs and actions of the state machine.
use std::net::SocketAddr;

use jayrack_protocol::{MemberId, gossip::Datagram};

use crate::record::ServerRecord;

/// Something that happened to the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// An authenticated datagram arrived.
    Datagram {
        /// Address that it came from.
        from: SocketAddr,
        /// Its contents.
        datagram: Box<Datagram>,
    },
    /// Time passed; expected every [`TICK_INTERVAL_MS`](super::TICK_INTERVAL_MS).
    Tick,
    /// The backend servers beside the daemon changed.
    Servers(Vec<ServerRecord>),
    /// A configuration version came into force at the daemon.
    Applied(AppliedState),
    /// The daemon caught up with the configuration, or fell behind.
    Ready(bool),
    /// Addresses to join through.
    Seeds(Vec<SocketAddr>),
    /// The daemon stops.
    Leave,
}

/// Something that the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Contents, to be sealed.
        datagram: Box<Datagram>,
    },
    /// The membership view changed.
    Changed,
    /// A peer reported the state of its configuration.
    PeerApplied {
        /// The peer.
        peer: MemberId,
        /// Its state.
        state: AppliedState,
    },
    /// A peer remembers this version from an earlier daemon at this address.
    MinimumVersion {
        /// The version.
        version: u64,
    },
    /// No other member is known and no seed answers.
    NeedContacts,
    /// The fleet was told that the daemon leaves.
    HasLeft,
}

/// State of a daemon's configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppliedState {
    /// Highest version in force.
    pub version: u64,
    /// Digest of the state at that version.
    pub digest: u64,
    /// Offset of the first record that the daemon lacks.
    pub next_offset: u64,
}
