//! Description of a fleet.
use crate::backend_standin::BackendBehaviour;
use eyre::Result;
use serde_json::{Map, Value};

use super::Fleet;

/// A data centre with its region.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DataCentre {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerPlan {
    /// Service that it works for.
    pub service: String,
    /// Index of the daemon beside it.
    pub daemon: usize,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Length of its cold start, in milliseconds.
    pub cold_start_ms: u64,
    /// Behaviour at the start.
    pub behaviour: BackendBehaviour,
}

impl ServerPlan {
    /// A server with 12 slots and 110 connections.
    pub fn new(service: &str, daemon: usize) -> Self {
        Self {
            service: service.to_string(),
            daemon,
            slots: 12,
            connections: 110,
            cold_start_ms: 0,
            behaviour: BackendBehaviour::default(),
        }
    }

    /// Sets the number of requests that it runs at once.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets its behaviour at the start.
    pub fn behaviour(mut self, behaviour: BackendBehaviour) -> Self {
        self.behaviour = behaviour;
        self
    }
}

/// A fleet to start; daemons are assigned to the data centres round-robin.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub(super) data_centres: Vec<DataCentre>,
    pub(super) daemons: usize,
    pub(super) deferred_daemons: usize,
    pub(super) servers: Vec<ServerPlan>,
    pub(super) settings: Map<String, Value>,
    pub(super) retention_ms: u64,
    pub(super) log_address: Option<std::net::SocketAddr>,
    pub(super) seed: u64,
}

impl FleetPlan {
    /// Three data centres in Wales with `daemons` daemons and no servers.
    pub fn new(daemons: usize) -> Self {
        let centre = |name: &str| DataCentre {
            name: name.to_string(),
            region: "wales".to_string(),
        };
        Self {
            data_centres: ["wrecsam", "abertawe", "casnewydd"].map(centre).to_vec(),
            daemons,
            deferred_daemons: 0,
            servers: Vec::new(),
            settings: Map::new(),
            retention_ms: 0,
            log_address: None,
            seed: 1,
        }
    }

    /// Adds a backend server.
    pub fn server(mut self, server: ServerPlan) -> Self {
        self.servers.push(server);
        self
    }

    /// Adds daemons at the end of the fleet that are not started with it.
    pub fn deferred_daemons(mut self, deferred_daemons: usize) -> Self {
        self.deferred_daemons = deferred_daemons;
        self
    }

    /// Adds or replaces a field of every daemon's settings.
    pub fn setting(mut self, field: &str, value: Value) -> Self {
        self.settings.insert(field.to_string(), value);
        self
    }

    /// Sets the log's retention time, in milliseconds; 0 keeps records for ever.
    pub fn retention_ms(mut self, retention_ms: u64) -> Self {
        self.retention_ms = retention_ms;
        self
    }

    /// Makes the daemons use a log at another address, such as a link in front of a log.
    pub fn log_address(mut self, address: std::net::SocketAddr) -> Self {
        self.log_address = Some(address);
        self
    }

    /// Sets the seed of all random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Starts everything and waits until all daemons are ready and all servers announced.
    pub async fn start(self) -> Result<Fleet> {
        Fleet::start(self).await
    }
}
