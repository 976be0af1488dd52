//! The immutable route table that traffic uses.
//!
//! A table is a pure function of one configuration version and one membership view. Every active
//! route resolves to a service and to backend servers inside the same table.
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use jayrack_protocol::MemberId;

use crate::object::{RankSpec, RouteSpec, ServiceSpec, Version};

/// One backend server as the membership view describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Unique name.
    pub name: String,
    /// Service that the server works for.
    pub service: String,
    /// The daemon beside the server.
    pub owner: MemberId,
    /// Address of the owner's QUIC listener.
    pub forward_address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: String,
    /// Region of the server.
    pub region: String,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
    /// Whether the server takes no new work.
    pub draining: bool,
    /// Share of full capacity reached since a cold start, 0 to 100.
    pub warm_percent: u8,
}

/// A service with the backend servers that are known for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The configured service.
    pub spec: ServiceSpec,
    /// Its backend servers, ordered by name.
    pub servers: Vec<Arc<ServerEntry>>,
}

/// A route whose service and rank stand in the same table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// The configured route.
    pub spec: RouteSpec,
    /// The rank of its work.
    pub rank: RankSpec,
    /// Its candidates, ordered by name: the pinned ones or all of the service. Empty when inactive.
    pub servers: Vec<Arc<ServerEntry>>,
}

impl RouteEntry {
    /// Whether at least one backend server can be tried.
    pub fn is_active(&self) -> bool {
        !self.servers.is_empty()
    }
}

/// All routes of one configuration version, with the backend servers behind them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Configuration version that the table was compiled from.
    pub version: Version,
    /// Digest of the configuration state at that version.
    pub digest: u64,
    /// Ranks by name.
    pub ranks: BTreeMap<String, RankSpec>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceEntry>,
    /// Routes, those with the longest path prefix first.
    pub routes: Vec<RouteEntry>,
}
