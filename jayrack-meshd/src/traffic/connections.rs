//! Open connections of clients: their admission, what happens on them, and how they are told to give way to others.
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use jayrack_mesh::memory::{
    Admission,
    connections::{ClientKind, ConnectionId, ConnectionPhase},
};
use tokio::sync::Notify;

use super::{memory::ByteBudget, signals::ConnectionSignals};

/// Times that a task lets others run before a new connection is closed, so that another one can give way.
const ADMISSION_TURNS: u32 = 64;

/// Takes the place and the memory of an accepted connection, at the cost of another one if need be; `None` if there is
/// none.
pub async fn admit(budget: &ByteBudget, kind: ClientKind) -> Option<Arc<ConnectionState>> {
    let signals = Arc::<ConnectionSignals>::default();
    for _ in 0..ADMISSION_TURNS {
        match budget.open_connection(kind, &signals) {
            Admission::Admitted(id) => {
                let connection_state = ConnectionState::new(budget.clone(), kind, id, signals);
                return Some(Arc::new(connection_state));
            }
            Admission::Refused => break,
            // Lets the task of the connection that gives way close it.
            Admission::GivesWay(_) | Admission::Unreturned => tokio::task::yield_now().await,
        }
    }
    budget.record_refused_connection(kind);
    None
}

/// State of one accepted connection, which has a place in the budget until it is dropped.
#[derive(Debug)]
pub struct ConnectionState {
    /// Kind of the client.
    pub kind: ClientKind,
    budget: ByteBudget,
    id: ConnectionId,
    signals: Arc<ConnectionSignals>,
    /// Whether a request's body was not read to its end.
    has_unread_body: AtomicBool,
    idle_since: Mutex<Instant>,
}

impl ConnectionState {
    fn new(
        budget: ByteBudget,
        kind: ClientKind,
        id: ConnectionId,
        signals: Arc<ConnectionSignals>,
    ) -> Self {
        Self {
            kind,
            budget,
            id,
            signals,
            has_unread_body: AtomicBool::new(false),
            idle_since: Mutex::new(Instant::now()),
        }
    }

    /// The budget that the connection has its place in.
    pub fn budget(&self) -> &ByteBudget {
        &self.budget
    }

    /// Time for which no request was in flight; `None` if one is.
    pub fn idle_time(&self) -> Option<Duration> {
        (!self.is_busy()).then(|| self.idle_since().elapsed())
    }

    /// Whether a request is in flight.
    pub fn is_busy(&self) -> bool {
        self.signals.is_busy()
    }

    /// What happens on the connection; `None` if it is closed.
    pub fn phase(&self) -> Option<ConnectionPhase> {
        self.budget.phase(self.id)
    }

    /// Records what happens on the connection from now on.
    pub fn enter(&self, phase: ConnectionPhase) {
        self.budget.enter_phase(self.id, phase);
        self.signals.reset();
    }

    /// Records that `bytes` were received or sent.
    pub fn record_progress(&self, bytes: usize) {
        self.budget.record_progress(self.id, bytes);
    }

    /// Waits until the connection must be closed for another one.
    pub async fn until_closing(&self) {
        self.until_leaving(&self.signals.close).await;
    }

    /// Waits until the request whose body is being received must be refused for another connection.
    pub async fn until_refusing(&self) {
        self.until_leaving(&self.signals.refuse).await;
    }

    /// Waits for `signal`; one that was meant for an earlier phase is ignored.
    async fn until_leaving(&self, signal: &Notify) {
        loop {
            signal.notified().await;
            if self.budget.is_leaving(self.id) {
                return;
            }
        }
    }

    /// Records that the body of a request is not read to its end.
    pub fn record_unread_body(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Whether the body of a request was not read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }

    /// Phase between two requests.
    fn resting_phase(&self) -> ConnectionPhase {
        match self.has_unread_body() {
            true => ConnectionPhase::Discarding,
            false => ConnectionPhase::Idle,
        }
    }

    /// Records that the client has read all that was written.
    pub fn record_sent(&self) {
        self.enter(match self.is_busy() {
            true => ConnectionPhase::Running,
            false => self.resting_phase(),
        });
    }

    fn idle_since(&self) -> MutexGuard<'_, Instant> {
        self.idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.budget.close_connection(self.id, self.kind);
    }
}

/// Counts a request of a connection as in flight; held by the body of its answer.
pub struct BusyGuard(Arc<ConnectionState>);

impl BusyGuard {
    /// Counts a request that begins; `has_body` says whether its body is still to be received.
    pub fn new(connection_state: &Arc<ConnectionState>, has_body: bool) -> Self {
        let in_flight = &connection_state.signals.in_flight;
        in_flight.fetch_add(1, Ordering::Relaxed);
        connection_state.enter(match has_body {
            true => ConnectionPhase::Receiving,
            false => ConnectionPhase::Running,
        });
        Self(connection_state.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.signals.in_flight.fetch_sub(1, Ordering::Relaxed);
        *self.0.idle_since() = Instant::now();
        // The end of the answer may still wait for the client to read it.
        if self.0.phase() != Some(ConnectionPhase::Sending) {
            self.0.enter(self.0.resting_phase());
        }
    }
}
