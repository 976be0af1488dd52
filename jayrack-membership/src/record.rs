//! What a daemon publishes about itself.
use std::net::SocketAddr;

use jayrack_protocol::MemberId;

/// One backend server as announced to its own daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerRecord {
    /// Unique name.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Requests that the server runs concurrently.
    pub slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Percentage of full capacity reached since a cold start, 0 to 100.
    pub warm_percent: u8,
}

/// The state of one daemon, as the daemon itself last published it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Identifier, derived from the gossip address.
    pub id: MemberId,
    /// Increased by the member itself; a higher incarnation replaces a lower one.
    pub incarnation: u64,
    /// Counts the changes of the record within one incarnation.
    pub revision: u32,
    /// Address at which the member receives gossip datagrams.
    pub gossip_address: SocketAddr,
    /// Address of the QUIC listener.
    pub forward_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Data centre of the member.
    pub data_centre: String,
    /// Region of the member.
    pub region: String,
    /// Backend servers beside the member, ordered by name.
    pub servers: Vec<ServerRecord>,
    /// Whether the member has caught up with the configuration.
    pub ready: bool,
}

impl MemberRecord {
    /// Creates the record of a member without backend servers.
    ///
    /// `incarnation` must be higher than that of any earlier daemon at the same address; the wall
    /// clock at the start, in milliseconds, meets this requirement.
    pub fn new(gossip_address: SocketAddr, incarnation: u64) -> Self {
        Self {
            id: MemberId::from_address(gossip_address),
            incarnation,
            revision: 0,
            gossip_address,
            forward_address: gossip_address,
            admin_address: gossip_address,
            data_centre: String::new(),
            region: String::new(),
            servers: Vec::new(),
            ready: false,
        }
    }

    /// Sets the address of the QUIC listener.
    pub fn with_forward_address(mut self, address: SocketAddr) -> Self {
        self.forward_address = address;
        self
    }

    /// Sets the address of the administration API.
    pub fn with_admin_address(mut self, address: SocketAddr) -> Self {
        self.admin_address = address;
        self
    }

    /// Sets the data centre and its region.
    pub fn with_location(mut self, data_centre: &str, region: &str) -> Self {
        self.data_centre = data_centre.to_string();
        self.region = region.to_string();
        self
    }

    /// Orders the records of one member: a later record has a greater recency.
    pub fn recency(&self) -> RecordRecency {
        RecordRecency {
            incarnation: self.incarnation,
            revision: self.revision,
        }
    }
}

/// Position of a record among all records of its member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordRecency {
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Revision within the incarnation.
    pub revision: u32,
}
