//! The daemon's byte budget: leases of what clients send and are sent, and of their connections.
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jayrack_mesh::memory::{
    Admission, BudgetSizes, ConnectionCost, HoldingId, MemoryBudget, Room,
    connections::{ClientKind, ConnectionId, ConnectionPhase},
};
use rustix::process::{Resource, getrlimit};
use tokio::{sync::Notify, time::sleep};

use super::signals::ConnectionSignals;
use crate::{allocator, metrics::MeshMetrics};

/// Interval between two attempts to take room from a body that gives way.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Attempts before a body is refused.
const MAX_RETRIES: u32 = 20;
/// Descriptors for files, listeners, the connections of small listeners, the store and datagrams.
const RESERVED_DESCRIPTORS: u64 = 200;
/// A request of a client may need an outgoing connection as well.
const DESCRIPTORS_PER_CONNECTION: u64 = 2;
/// Smallest number of connections, where the limit of descriptors is stated too low.
const MIN_CONNECTIONS: u64 = 16;
/// Limit of descriptors where neither settings nor system state one.
const DEFAULT_DESCRIPTORS: u64 = 8_192;

#[derive(Debug)]
struct BudgetCore {
    budget: MemoryBudget,
    /// Wakes the readers of bodies, which then give way.
    readers: BTreeMap<HoldingId, Arc<Notify>>,
    /// Wakes the tasks of connections, which then give way.
    connections: BTreeMap<ConnectionId, Arc<ConnectionSignals>>,
}

#[derive(Debug)]
struct BudgetInner {
    core: Mutex<BudgetCore>,
    metrics: MeshMetrics,
    started: Instant,
}

/// Byte budget of the daemon; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    inner: Arc<BudgetInner>,
}

/// Limits of a host for the process; `None` if they are not stated.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessLimits {
    /// Memory, in megabytes.
    pub memory_mb: Option<u64>,
    /// File descriptors.
    pub max_descriptors: Option<u64>,
}

impl ProcessLimits {
    /// Largest number of connections of callers and daemons.
    fn max_connections(&self) -> u64 {
        let system = || getrlimit(Resource::Nofile).current;
        let descriptors = self
            .max_descriptors
            .or_else(system)
            .unwrap_or(DEFAULT_DESCRIPTORS);
        let connections =
            descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTORS_PER_CONNECTION;
        connections.max(MIN_CONNECTIONS)
    }
}

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

impl ByteBudget {
    /// Creates the unused budget of a process with `limits`.
    pub fn new(limits: ProcessLimits, metrics: MeshMetrics) -> Self {
        let sizes = BudgetSizes::for_host(limits.memory_mb);
        let core = Mutex::new(BudgetCore {
            budget: MemoryBudget::new(sizes, limits.max_connections()),
            readers: BTreeMap::new(),
            connections: BTreeMap::new(),
        });
        Self {
            inner: Arc::new(BudgetInner {
                core,
                metrics,
                started: Instant::now(),
            }),
        }
    }

    /// Opens an empty lease.
    pub fn lease(&self) -> ByteLease {
        let notify = Arc::new(Notify::new());
        let mut core = self.lock();
        let id = core.budget.open();
        core.readers.insert(id, notify.clone());
        ByteLease {
            budget: self.clone(),
            id,
            notify,
        }
    }

    /// Tells a connection of `kind` to give way, where the process has no descriptors for a new one.
    pub fn free_descriptor(&self, kind: ClientKind) {
        let now_ms = self.now_ms();
        let mut core = self.lock();
        let leaving = core
            .budget
            .make_place(kind, ConnectionCost::of(kind), now_ms);
        if let Some(id) = leaving {
            self.notify_leaving(&core, id);
        }
    }

    /// Takes the memory of an outgoing connection with a receive buffer of this size.
    ///
    /// It is taken without regard to room, since a request that was accepted needs the connection; fewer connections are
    /// accepted meanwhile.
    pub fn dial(&self, receive_buffer_bytes: usize) -> OutgoingLease {
        let cost = ConnectionCost::new(receive_buffer_bytes);
        let mut core = self.lock();
        core.budget.add_outgoing(cost);
        self.record(&core.budget);
        drop(core);
        OutgoingLease {
            budget: self.clone(),
            cost,
        }
    }

    /// Number of connections that may wait to be accepted by the listener for a kind of client.
    pub fn backlog(&self, kind: ClientKind) -> u32 {
        self.lock().budget.sizes().backlog(kind)
    }

    /// Number of open connections of callers and daemons.
    pub fn connections(&self) -> usize {
        self.lock().budget.connections().len()
    }

    /// What happens on a connection.
    pub(super) fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.lock().budget.connections().phase(id)
    }

    /// Records what happens on a connection from now on.
    pub(super) fn enter_phase(&self, id: ConnectionId, phase: ConnectionPhase) {
        let now_ms = self.now_ms();
        self.lock().budget.enter_phase(id, phase, now_ms);
    }

    /// Records that `bytes` were received or sent on a connection.
    pub(super) fn record_progress(&self, id: ConnectionId, bytes: usize) {
        let now_ms = self.now_ms();
        self.lock().budget.record_progress(id, now_ms, bytes as u64);
    }

    /// Whether a connection was told to give way.
    pub(super) fn is_leaving(&self, id: ConnectionId) -> bool {
        self.lock().budget.connections().is_leaving(id)
    }

    /// Gives back the place and the memory of a connection.
    pub(super) fn close_connection(&self, id: ConnectionId, kind: ClientKind) {
        let mut core = self.lock();
        core.budget.close_connection(id, ConnectionCost::of(kind));
        core.connections.remove(&id);
        self.record(&core.budget);
        drop(core);
        self.inner.metrics.add_connections(kind.name(), -1);
    }

    /// Takes the place and the memory of an accepted connection, if there is a place; otherwise tells the connection that
    /// gives way. `signals` wake the tasks of the new one.
    pub fn open_connection(&self, kind: ClientKind, signals: &Arc<ConnectionSignals>) -> Admission {
        let now_ms = self.now_ms();
        let cost = ConnectionCost::of(kind);
        let mut core = self.lock();
        let mut admission = core.budget.open_connection(kind, cost, now_ms);
        if admission == Admission::Unreturned {
            drop(core);
            core = self.return_memory();
            admission = core.budget.open_connection(kind, cost, now_ms);
        }
        match admission {
            Admission::Admitted(id) => {
                core.connections.insert(id, signals.clone());
                self.inner.metrics.add_connections(kind.name(), 1);
            }
            Admission::GivesWay(id) => self.notify_leaving(&core, id),
            Admission::Unreturned | Admission::Refused => {}
        }
        self.record(&core.budget);
        admission
    }

    /// Records that an accepted connection found no place and is closed.
    pub fn record_refused_connection(&self, kind: ClientKind) {
        self.inner.metrics.count_limit("connection-refused");
        log::info!(kind = kind.name(); "connection closed, too many are open");
    }

    /// Wakes the task of a connection that gives way.
    fn notify_leaving(&self, core: &BudgetCore, id: ConnectionId) {
        let (Some(signals), Some(phase)) = (
            core.connections.get(&id),
            core.budget.connections().phase(id),
        ) else {
            return;
        };
        if signals.give_way(phase) {
            self.inner.metrics.count_limit(limit_of(phase));
        }
    }

    /// Returns the memory that was given back to the system.
    fn return_memory(&self) -> MutexGuard<'_, BudgetCore> {
        allocator::return_unused();
        self.inner.metrics.memory_returns.inc();
        let mut core = self.lock();
        core.budget.record_returned();
        core
    }

    fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    fn record(&self, budget: &MemoryBudget) {
        let taken_bytes = i64::try_from(budget.taken_bytes()).unwrap_or(i64::MAX);
        self.inner.metrics.budget_bytes.set(taken_bytes);
        let unreturned_bytes = i64::try_from(budget.unreturned_bytes()).unwrap_or(i64::MAX);
        self.inner.metrics.unreturned_bytes.set(unreturned_bytes);
    }

    fn lock(&self) -> MutexGuard<'_, BudgetCore> {
        self.inner
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Name of the limit in metrics for which a connection is ended in `phase`.
fn limit_of(phase: ConnectionPhase) -> &'static str {
    match phase {
        ConnectionPhase::Idle => "idle-closed",
        ConnectionPhase::Receiving => "slow-request",
        ConnectionPhase::Sending => "slow-reader",
        ConnectionPhase::Discarding => "refused-closed",
        // Does not give way.
        ConnectionPhase::Running => "running-closed",
    }
}

/// Bytes of the budget that belong to one body or answer; dropping the lease gives them back.
#[derive(Debug)]
pub struct ByteLease {
    budget: ByteBudget,
    id: HoldingId,
    notify: Arc<Notify>,
}

impl ByteLease {
    /// Takes `more_bytes`; waits for a short time if a stalled body gives way.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if there is no room.
    pub async fn grow(&self, more_bytes: u64) -> Result<(), NoRoom> {
        self.until_granted(|budget, now_ms| budget.grow(self.id, now_ms, more_bytes))
            .await
    }

    /// Checks that there is room for a body of `bytes` without taking it.
    ///
    /// # Errors
    ///
    /// Returns [`NoRoom`] if there is no room.
    pub async fn check(&self, bytes: u64) -> Result<(), NoRoom> {
        self.until_granted(|budget, now_ms| budget.check(self.id, now_ms, bytes))
            .await
    }

    /// Takes `more_bytes` if there is room at once; otherwise a stalled body may be told to give way.
    pub fn try_grow(&self, more_bytes: u64) -> bool {
        self.ask(&mut |budget, now_ms| budget.grow(self.id, now_ms, more_bytes)) == Room::Granted
    }

    /// Records that `bytes` of the body were received.
    pub fn record_received(&self, bytes: usize) {
        let now_ms = self.budget.now_ms();
        self.budget
            .lock()
            .budget
            .record_received(self.id, now_ms, bytes as u64);
    }

    /// Records that the body has been received completely.
    pub fn record_complete(&self) {
        self.budget.lock().budget.record_complete(self.id);
    }

    /// Waits until the body must give way.
    pub async fn until_giving_way(&self) {
        self.notify.notified().await;
    }

    async fn until_granted(
        &self,
        mut ask: impl FnMut(&mut MemoryBudget, u64) -> Room,
    ) -> Result<(), NoRoom> {
        for _ in 0..MAX_RETRIES {
            match self.ask(&mut ask) {
                Room::Granted => return Ok(()),
                Room::Refused => return Err(NoRoom),
                Room::GivesWay(_) | Room::Unreturned => sleep(RETRY_INTERVAL).await,
            }
        }
        Err(NoRoom)
    }

    /// Asks for room and tells the body that is to give way.
    fn ask(&self, ask: &mut impl FnMut(&mut MemoryBudget, u64) -> Room) -> Room {
        let now_ms = self.budget.now_ms();
        let mut core = self.budget.lock();
        let mut room = ask(&mut core.budget, now_ms);
        if room == Room::Unreturned {
            drop(core);
            core = self.budget.return_memory();
            room = ask(&mut core.budget, now_ms);
        }
        if let Room::GivesWay(id) = room
            && let Some(reader) = core.readers.get(&id)
        {
            reader.notify_one();
        }
        self.budget.record(&core.budget);
        room
    }
}

impl Drop for ByteLease {
    fn drop(&mut self) {
        let mut core = self.budget.lock();
        core.budget.close(self.id);
        core.readers.remove(&self.id);
        self.budget.record(&core.budget);
    }
}

/// Memory of one outgoing connection; dropping the lease gives it back.
#[derive(Debug)]
pub struct OutgoingLease {
    budget: ByteBudget,
    cost: ConnectionCost,
}

impl Drop for OutgoingLease {
    fn drop(&mut self) {
        let mut core = self.budget.lock();
        core.budget.remove_outgoing(self.cost);
        self.budget.record(&core.budget);
    }
}
