//! State shared by all traffic tasks.
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

use tokio::sync::Notify;

use crate::{
    clock::DaemonClock,
    ingress::{ClaimReplica, IngressRouter},
    owner::OwnerState,
    shared::SharedState,
    traffic::{Options, TrafficCounters},
    transport::PeerPool,
};

/// State shared by all traffic tasks.
#[derive(Debug)]
pub(crate) struct TrafficState {
    pub(crate) options: Options,
    pub(crate) shared: Arc<SharedState>,
    pub(crate) peers: PeerPool,
    pub(crate) owner: OwnerState,
    pub(crate) router: IngressRouter,
    pub(crate) claims: ClaimReplica,
    pub(crate) clock: DaemonClock,
    pub(crate) counters: TrafficCounters,
    pub(crate) connections: ActiveCount,
    pub(crate) in_flight: ActiveCount,
    pub(crate) stopping: StopSignal,
}

impl TrafficState {
    pub(crate) fn new(options: Options, shared: Arc<SharedState>, peers: PeerPool) -> Self {
        Self {
            owner: OwnerState::new(&options),
            router: IngressRouter::new(&options, shared.clone()),
            claims: ClaimReplica::new(&options),
            clock: options.clock,
            counters: TrafficCounters::new(),
            connections: ActiveCount::default(),
            options,
            shared,
            peers,
            in_flight: ActiveCount::default(),
            stopping: StopSignal::default(),
        }
    }
}

/// Counts requests in flight or open connections.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveCount {
    count: Arc<AtomicUsize>,
}

impl ActiveCount {
    /// Counts one more until the guard is dropped.
    pub(crate) fn enter(&self) -> ActiveGuard {
        self.count.fetch_add(1, Ordering::AcqRel);
        ActiveGuard {
            count: self.count.clone(),
        }
    }

    /// Returns the current count.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Acquire)
    }
}

/// One counted request or connection.
#[derive(Debug)]
pub(crate) struct ActiveGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Signal that stops the accepting tasks.
#[derive(Debug, Default)]
pub(crate) struct StopSignal {
    is_set: AtomicBool,
    notify: Notify,
}

impl StopSignal {
    /// Stops the accepting tasks.
    pub(crate) fn cancel(&self) {
        self.is_set.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    /// Waits for [`Self::cancel`].
    pub(crate) async fn cancelled(&self) {
        let notified = self.notify.notified();
        if !self.is_set.load(Ordering::Acquire) {
            notified.await;
        }
    }
}
