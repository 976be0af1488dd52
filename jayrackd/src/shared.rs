//! State that the control thread publishes to the traffic threads.
use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use arc_swap::ArcSwap;
use jayrack_burn::tracker::BurnTracker;
use jayrack_config::table::RouteTable;
use jayrack_protocol::MemberId;

/// A backend server that announced itself to this daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalServer {
    /// Unique name.
    pub name: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address of the server's HTTP listener.
    pub address: SocketAddr,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Number of connections that the server accepts.
    pub connections: u32,
    /// Whether the server takes no new requests.
    pub draining: bool,
    /// Percentage of full capacity reached since a cold start, 0 to 100.
    pub warm_percent: u8,
}

/// A daemon of the fleet, as published to the traffic threads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// Identifier of the daemon.
    pub id: MemberId,
    /// Address of its QUIC listener.
    pub forward_address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Whether membership counts it as running.
    pub is_alive: bool,
    /// Start of the latest period in which it was seen running, in milliseconds of the daemon's monotonic
    /// clock.
    pub alive_since_ms: u64,
    /// Time at which it was confirmed dead or left, in milliseconds of the daemon's monotonic clock; `None`
    /// while it counts as running.
    pub dead_since_ms: Option<u64>,
    /// Whether it announced that it leaves.
    pub has_left: bool,
}

impl PeerEntry {
    /// Latest time at which the daemon may have run, in milliseconds of this daemon's monotonic clock;
    /// `None` while it counts as running.
    ///
    /// A daemon that was confirmed dead may still run on the other side of a network partition, so only one
    /// that announced that it leaves is known to have stopped.
    pub fn stopped_ms(&self, now_ms: u64) -> Option<u64> {
        match (self.is_alive, self.has_left) {
            (true, _) => None,
            (false, true) => self.dead_since_ms,
            (false, false) => Some(now_ms),
        }
    }
}

/// State written by the control thread and read by the traffic threads.
#[derive(Debug)]
pub struct SharedState {
    /// Identifier of this daemon.
    pub local: MemberId,
    /// This daemon's data centre.
    pub data_centre: String,
    /// This daemon's region.
    pub region: String,
    /// Route table in force; it is replaced as a unit, and only by one of the same or a higher version.
    pub table: ArcSwap<RouteTable>,
    /// Backend servers of this daemon.
    pub servers: ArcSwap<Vec<LocalServer>>,
    /// All known daemons, this one included, in the order of their identifiers.
    pub peers: ArcSwap<Vec<PeerEntry>>,
    /// Counts of requests for the objectives of their services.
    pub burn: Mutex<BurnTracker>,
    ready: AtomicBool,
    leaving: AtomicBool,
}

impl SharedState {
    /// Creates the state of a daemon that is not ready yet.
    pub fn new(local: MemberId, data_centre: &str, region: &str) -> Self {
        Self {
            local,
            data_centre: data_centre.to_string(),
            region: region.to_string(),
            table: ArcSwap::default(),
            servers: ArcSwap::default(),
            peers: ArcSwap::default(),
            burn: Mutex::default(),
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
        }
    }

    /// Locks the counts of requests for objectives; a poisoned lock is used as it is.
    pub fn lock_burn(&self) -> MutexGuard<'_, BurnTracker> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the daemon has caught up with the configuration and may serve.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Lets the traffic threads serve.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Whether the daemon is stopping and refuses new requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Makes the traffic threads refuse new requests.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }
}
