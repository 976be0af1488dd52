//! Registry of the backend servers that announce themselves to this daemon.
//!
//! The registry does no I/O and is given the time; [`api`] is its HTTP listener.
pub mod api;

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Deserialize;

use crate::shared::LocalServer;

/// Maximum number of backend servers at one daemon.
pub const MAX_SERVERS: usize = 16;

/// Announcement that a backend server sends with every heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerAnnouncement {
    /// Unique name.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Whether it takes no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Time from its start until it reaches full capacity, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// Reason for refusing an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The name or the service is empty or longer than 128 bytes.
    NameInvalid,
    /// The server has no slots or no connections.
    NoCapacity,
    /// The daemon already has [`MAX_SERVERS`] servers.
    TooMany,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::NameInvalid => "name and service must have 1 to 128 bytes",
            Error::NoCapacity => "slots and connections must be at least 1",
            Error::TooMany => "too many backend servers at this daemon",
        })
    }
}

impl std::error::Error for Error {}

#[derive(Debug)]
struct ServerState {
    announcement: ServerAnnouncement,
    first_received_ms: u64,
    last_received_ms: u64,
}

/// The backend servers that have announced themselves within the timeout.
#[derive(Debug)]
pub struct ServerRegistry {
    timeout_ms: u64,
    servers: BTreeMap<String, ServerState>,
}

impl ServerRegistry {
    /// Creates an empty registry; a server without an announcement for more than `timeout_ms` expires.
    pub fn new(timeout_ms: u64) -> Self {
        Self {
            timeout_ms,
            servers: BTreeMap::new(),
        }
    }

    /// Adds or updates a server. A server at a new address counts as started now.
    pub fn announce(&mut self, now_ms: u64, announcement: ServerAnnouncement) -> Result<(), Error> {
        check(&announcement)?;
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&announcement.name) {
            return Err(Error::TooMany);
        }
        let first_received_ms = self.first_received_at(now_ms, &announcement);
        let state = ServerState {
            first_received_ms,
            last_received_ms: now_ms,
            announcement,
        };
        self.servers.insert(state.announcement.name.clone(), state);
        Ok(())
    }

    /// Removes the servers without an announcement within the timeout.
    pub fn expire(&mut self, now_ms: u64) {
        let timeout_ms = self.timeout_ms;
        self.servers
            .retain(|_, state| now_ms.saturating_sub(state.last_received_ms) <= timeout_ms);
    }

    /// The servers known at `now_ms`, ordered by name.
    pub fn servers(&self, now_ms: u64) -> Vec<LocalServer> {
        self.servers
            .values()
            .map(|state| local_server(now_ms, state))
            .collect()
    }

    fn first_received_at(&self, now_ms: u64, announcement: &ServerAnnouncement) -> u64 {
        match self.servers.get(&announcement.name) {
            Some(state) if state.announcement.address == announcement.address => {
                state.first_received_ms
            }
            _ => now_ms,
        }
    }
}

fn check(announcement: &ServerAnnouncement) -> Result<(), Error> {
    const NAME_BYTES: std::ops::RangeInclusive<usize> = 1..=128;
    if !NAME_BYTES.contains(&announcement.name.len())
        || !NAME_BYTES.contains(&announcement.service.len())
    {
        return Err(Error::NameInvalid);
    }
    if announcement.slots == 0 || announcement.connections == 0 {
        return Err(Error::NoCapacity);
    }
    Ok(())
}

fn local_server(now_ms: u64, state: &ServerState) -> LocalServer {
    let announcement = &state.announcement;
    LocalServer {
        name: announcement.name.clone(),
        service: announcement.service.clone(),
        address: announcement.address,
        slots: announcement.slots,
        connections: announcement.connections,
        draining: announcement.draining,
        warm_percent: warm_percent(now_ms - state.first_received_ms, announcement.cold_start_ms),
    }
}

/// Percentage of full capacity after `age_ms`, in steps of 10 so that a server that warms up is not
/// gossiped all the time.
fn warm_percent(age_ms: u64, cold_start_ms: u64) -> u8 {
    const STEP_PERCENT: u64 = 10;
    if age_ms >= cold_start_ms {
        return 100;
    }
    let steps = age_ms * (100 / STEP_PERCENT) / cold_start_ms;
    (steps.max(1) * STEP_PERCENT) as u8
}
