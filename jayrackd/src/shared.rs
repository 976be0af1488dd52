//! What the control thread publishes to the traffic threads.
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
    /// Service that the server works for.
    pub service: String,
    /// Address of the server's HTTP listener.
    pub address: SocketAddr,
    /// Requests that the server runs at once.
    pub slots: u32,
    /// Connections that the server accepts.
    pub connections: u32,
    /// Whether the server takes no new work.
    pub draining: bool,
    /// Share of full capacity reached since a cold start, 0 to 100.
    pub warm_percent: u8,
}

/// A daemon as the traffic threads see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerEntry {
    /// The daemon.
    pub id: MemberId,
    /// Address of its QUIC listener.
    pub forward_address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Its region.
    pub region: String,
    /// Whether it is believed to run.
    pub is_alive: bool,
    /// When it was first seen alive, in milliseconds of the daemon's monotonic clock.
    pub alive_since_ms: u64,
    /// When it was found dead or left, in milliseconds of the daemon's monotonic clock.
    pub dead_since_ms: Option<u64>,
    /// Whether it said that it leaves.
    pub has_left: bool,
}

impl PeerEntry {
    /// The latest time at which the daemon may have run; `None` while it is believed to run.
    ///
    /// A daemon that was found dead may still run behind a cut, so only one that said that it leaves
    /// is known to have stopped.
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
    /// This daemon.
    pub local: MemberId,
    /// This daemon's data centre.
    pub data_centre: String,
    /// This daemon's region.
    pub region: String,
    /// The route table in force; replaced whole and only by one of the same or a higher version.
    pub table: ArcSwap<RouteTable>,
    /// Backend servers beside this daemon.
    pub servers: ArcSwap<Vec<LocalServer>>,
    /// All daemons known, this one included, ordered by identifier.
    pub peers: ArcSwap<Vec<PeerEntry>>,
    /// Requests counted against the objectives of their services.
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

    /// Locks the requests counted against objectives.
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

    /// Whether the daemon is stopping and takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Makes the traffic threads refuse new work.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }
}
