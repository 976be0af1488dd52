//! Signals that tell a connection to give way to another one.
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use jayrack_mesh::memory::connections::ConnectionPhase;
use tokio::sync::Notify;

/// Wakes the tasks that can end a connection.
#[derive(Debug, Default)]
pub struct ConnectionSignals {
    /// Wakes the connection's task, which closes it.
    pub close: Notify,
    /// Wakes the reader of a request's body, which refuses the request.
    pub refuse: Notify,
    /// Number of requests in flight.
    pub in_flight: AtomicUsize,
    /// Whether one of the two was woken and the connection has not gone on since.
    is_notified: AtomicBool,
}

impl ConnectionSignals {
    /// Wakes the task that ends what happens in `phase`; returns whether it was not woken before.
    pub fn give_way(&self, phase: ConnectionPhase) -> bool {
        if self.is_notified.swap(true, Ordering::Relaxed) {
            return false;
        }
        match phase {
            ConnectionPhase::Receiving if self.is_busy() => self.refuse.notify_one(),
            _ => self.close.notify_one(),
        }
        true
    }

    /// Allows the tasks to be woken again, once the connection has gone on.
    pub fn reset(&self) {
        self.is_notified.store(false, Ordering::Relaxed);
    }

    /// Whether a request is in flight.
    pub fn is_busy(&self) -> bool {
        self.in_flight.load(Ordering::Relaxed) > 0
    }
}
