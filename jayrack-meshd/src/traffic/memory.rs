//! The daemon's byte budget: leases of what clients send and are sent, and of their connections.
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jayrack_mesh::memory::{BudgetSizes, HoldingId, MemoryBudget, Room};
use tokio::{sync::Notify, time::sleep};

use crate::metrics::MeshMetrics;

/// Memory of a connection without its receive queue, in bytes: its state, the buffer that it reads into, and the one of
/// the latest head, which lives as long as the request.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Interval between two attempts to take room from a body that gives way.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// Attempts before a body is refused.
const MAX_RETRIES: u32 = 20;

#[derive(Debug)]
struct BudgetCore {
    budget: MemoryBudget,
    /// Wakes the readers of bodies, which then give way.
    readers: BTreeMap<HoldingId, Arc<Notify>>,
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

/// Memory of a connection whose socket has a receive buffer of `receive_buffer_bytes`; the kernel uses up to twice as much.
fn connection_bytes(receive_buffer_bytes: usize) -> u64 {
    CONNECTION_BYTES + 2 * receive_buffer_bytes as u64
}

/// The budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoRoom;

impl ByteBudget {
    /// Creates the unused budget of a host with `memory_mb` megabytes for the process.
    pub fn new(memory_mb: Option<u64>, metrics: MeshMetrics) -> Self {
        let budget = MemoryBudget::new(BudgetSizes::for_host(memory_mb));
        let core = Mutex::new(BudgetCore {
            budget,
            readers: BTreeMap::new(),
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

    /// Takes the memory of an accepted connection with a receive buffer of this size; `None` if there is no room.
    pub fn accept(&self, receive_buffer_bytes: usize) -> Option<ConnectionLease> {
        let bytes = connection_bytes(receive_buffer_bytes);
        let mut core = self.lock();
        let is_open = core.budget.open_connection(bytes);
        self.record(&core.budget);
        drop(core);
        is_open.then(|| ConnectionLease {
            budget: self.clone(),
            bytes,
        })
    }

    /// Takes the memory of an outgoing connection with a receive buffer of this size.
    ///
    /// It is taken without regard to room, since a request that was accepted needs the connection; fewer connections are
    /// accepted meanwhile.
    pub fn dial(&self, receive_buffer_bytes: usize) -> ConnectionLease {
        let bytes = connection_bytes(receive_buffer_bytes);
        let mut core = self.lock();
        core.budget.add_connection(bytes);
        self.record(&core.budget);
        drop(core);
        ConnectionLease {
            budget: self.clone(),
            bytes,
        }
    }

    fn now_ms(&self) -> u64 {
        self.inner.started.elapsed().as_millis() as u64
    }

    fn record(&self, budget: &MemoryBudget) {
        let taken_bytes = i64::try_from(budget.taken_bytes()).unwrap_or(i64::MAX);
        self.inner.metrics.budget_bytes.set(taken_bytes);
    }

    fn lock(&self) -> MutexGuard<'_, BudgetCore> {
        self.inner
            .core
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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

    /// Records that bytes of the body were received.
    pub fn record_received(&self) {
        let now_ms = self.budget.now_ms();
        self.budget.lock().budget.record_received(self.id, now_ms);
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
                Room::GivesWay(_) => sleep(RETRY_INTERVAL).await,
            }
        }
        Err(NoRoom)
    }

    /// Asks for room and tells the body that is to give way.
    fn ask(&self, ask: &mut impl FnMut(&mut MemoryBudget, u64) -> Room) -> Room {
        let now_ms = self.budget.now_ms();
        let mut core = self.budget.lock();
        let room = ask(&mut core.budget, now_ms);
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

/// Memory of one connection; dropping the lease gives it back.
#[derive(Debug)]
pub struct ConnectionLease {
    budget: ByteBudget,
    bytes: u64,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        let mut core = self.budget.lock();
        core.budget.close_connection(self.bytes);
        self.budget.record(&core.budget);
    }
}
