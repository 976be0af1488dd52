//! Open connections of clients and their number, which descriptors and memory limit.
use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;

use super::listener::PeerKind;
use crate::metrics::MeshMetrics;

/// Descriptors for files, listeners, the store and datagrams.
const RESERVED_DESCRIPTORS: u64 = 200;
/// A request of a client may need an outgoing connection as well.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Smallest number of connections, where the limit of descriptors is stated too low.
const MIN_CONNECTIONS: u64 = 16;
/// Limit of descriptors where neither settings nor system state one.
const DEFAULT_DESCRIPTORS: u64 = 8_192;

/// State of one accepted connection.
#[derive(Debug)]
pub struct ConnectionState {
    /// Kind of the client.
    pub kind: PeerKind,
    /// Wakes the connection's task to close it.
    pub close: Notify,
    in_flight: AtomicUsize,
    has_served: AtomicBool,
    is_closing: AtomicBool,
    /// Whether a request's body was not read to its end.
    has_unread_body: AtomicBool,
    idle_since: Mutex<Instant>,
}

impl ConnectionState {
    fn new(kind: PeerKind) -> Self {
        Self {
            kind,
            close: Notify::new(),
            in_flight: AtomicUsize::new(0),
            has_served: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            has_unread_body: AtomicBool::new(false),
            idle_since: Mutex::new(Instant::now()),
        }
    }

    /// Time for which no request was in flight; `None` if one is.
    pub fn idle_time(&self) -> Option<Duration> {
        (!self.is_busy()).then(|| self.idle_since().elapsed())
    }

    /// Whether a request is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Records that the body of a request is not read to its end.
    pub fn record_unread_body(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Whether the body of a request was not read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    fn idle_since(&self) -> MutexGuard<'_, Instant> {
        self.idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts a request of a connection as in flight; held by the body of its answer.
pub struct BusyGuard(Arc<ConnectionState>);

impl BusyGuard {
    /// Counts a request that begins.
    pub fn new(connection_state: &Arc<ConnectionState>) -> Self {
        connection_state.in_flight.fetch_add(1, Ordering::Relaxed);
        connection_state.has_served.store(true, Ordering::Relaxed);
        Self(connection_state.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        *self.0.idle_since() = Instant::now();
    }
}

#[derive(Debug, Default)]
struct TableCore {
    connections: BTreeMap<u64, Arc<ConnectionState>>,
    next_id: u64,
}

/// Open connections of clients; clones share the table.
#[derive(Debug, Clone)]
pub struct ConnectionTable {
    core: Arc<Mutex<TableCore>>,
    max_connections: usize,
    metrics: MeshMetrics,
}

impl ConnectionTable {
    /// Creates an empty table for a process with `max_descriptors`; `None` for the system's limit.
    pub fn new(max_descriptors: Option<u64>, metrics: MeshMetrics) -> Self {
        let system = || getrlimit(Resource::Nofile).current;
        let descriptors = max_descriptors
            .or_else(system)
            .unwrap_or(DEFAULT_DESCRIPTORS);
        let max_connections =
            descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        let max_connections = max_connections.max(MIN_CONNECTIONS);
        Self {
            core: Arc::default(),
            max_connections: usize::try_from(max_connections).unwrap_or(usize::MAX),
            metrics,
        }
    }

    /// Adds a connection; `None` if there are too many.
    pub fn open(&self, kind: PeerKind) -> Option<ConnectionEntry> {
        let mut core = self.lock();
        if core.connections.len() >= self.max_connections {
            return None;
        }
        core.next_id += 1;
        let id = core.next_id;
        let state = Arc::new(ConnectionState::new(kind));
        core.connections.insert(id, state.clone());
        self.metrics.add_connections(kind.name(), 1);
        Some(ConnectionEntry {
            table: self.clone(),
            id,
            state,
        })
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.lock().connections.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Closes an idle connection: one without any request first, then the one that is idle for the longest time.
    /// Returns whether there was one.
    pub fn close_idle(&self) -> bool {
        let core = self.lock();
        let idle = core
            .connections
            .values()
            .filter(|state| !state.is_busy() && !state.is_closing.load(Ordering::Relaxed));
        let oldest = idle.min_by_key(|state| {
            let has_served = state.has_served.load(Ordering::Relaxed);
            (has_served, *state.idle_since())
        });
        let Some(oldest) = oldest else {
            return false;
        };
        oldest.is_closing.store(true, Ordering::Relaxed);
        oldest.close.notify_one();
        self.metrics.count_limit("idle-closed");
        true
    }

    fn lock(&self) -> MutexGuard<'_, TableCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection in the table; dropping the entry removes it.
#[derive(Debug)]
pub struct ConnectionEntry {
    table: ConnectionTable,
    id: u64,
    /// State of the connection.
    pub state: Arc<ConnectionState>,
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.lock().connections.remove(&self.id);
        self.table
            .metrics
            .add_connections(self.state.kind.name(), -1);
    }
}
