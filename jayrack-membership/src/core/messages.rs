//! Inputs and actions of the state machine.
use std::net::SocketAddr;

use jayrack_protocol::{MemberId, gossip::Datagram};

use crate::record::ServerRecord;

/// An event that the state machine handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// An authenticated datagram arrived.
    Datagram {
        /// Source address of the datagram.
        from: SocketAddr,
        /// Decoded contents.
        datagram: Box<Datagram>,
    },
    /// Time passed; to be sent every [`TICK_INTERVAL_MS`](super::TICK_INTERVAL_MS).
    Tick,
    /// The backend servers beside the daemon changed.
    Servers(Vec<ServerRecord>),
    /// A configuration version came into force at the daemon.
    Applied(AppliedState),
    /// The daemon caught up with the configuration, or fell behind.
    Ready(bool),
    /// Addresses to join through.
    Seeds(Vec<SocketAddr>),
    /// The daemon is stopping; its departure is to be announced.
    Leave,
}

/// An action for the driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Contents, to be encoded and signed.
        datagram: Box<Datagram>,
    },
    /// The membership view changed.
    Changed,
    /// A peer reported the state of its configuration.
    PeerApplied {
        /// The peer that sent the report.
        peer: MemberId,
        /// State of the peer's configuration.
        state: AppliedState,
    },
    /// A peer reports the minimum version of this address, known from an earlier daemon here.
    MinimumVersion {
        /// The minimum version.
        version: u64,
    },
    /// No other member is known and no seed answers.
    NeedContacts,
    /// The departure has been announced to the fleet.
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
