//! State shared by the control thread and the traffic thread.
use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use jayrack_mesh::{
    HostDirectory, MeshRoutes, RolloutBook, RunningRequests, ServerTracker, TransitMeter,
    freshness::KnowledgeAge,
    health::{FailureMeter, ServerHealth},
    pick::HostReport,
    rollout::ExposureBounds,
    stop::{StopPhase, StopPlan},
};
use rustix::time::{ClockId, clock_gettime};
use tokio::sync::{Notify, watch};

use crate::{
    control::configuration::AcceptedConfiguration,
    logging::unix_ms,
    metrics::MeshMetrics,
    settings::{BalancingMode, BoundSettings, MeshSettings},
    traffic::{allowance::AllowanceExchange, gate::OwnerGate},
};

/// Load reports by host address, each with the instance of the server that it is about and its health.
pub type HostReports = BTreeMap<IpAddr, (String, HostReport, ServerHealth)>;

/// Time in milliseconds by `CLOCK_BOOTTIME`, which also runs while the host is suspended and is never set.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * 1_000 + time.tv_nsec.unsigned_abs() / 1_000_000
}

/// Random offset of this process's clock in datagrams, which differs from that of earlier ones at the same address.
fn clock_offset_ms() -> u64 {
    let start = [unix_ms(), boot_ms(), u64::from(std::process::id())];
    let bytes: Vec<u8> = start.iter().flat_map(|part| part.to_le_bytes()).collect();
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

/// State of one daemon.
#[derive(Debug)]
pub struct MeshState {
    /// Settings at the start.
    pub settings: MeshSettings,
    /// Routes of the configuration in force; `None` before the first one.
    pub routes: ArcSwapOption<MeshRoutes>,
    /// Counters and histograms.
    pub metrics: MeshMetrics,
    /// Admission gate of the backend server beside the daemon.
    pub gate: OwnerGate,
    /// Rate limits of tenants; `None` if the settings have no bounds for them.
    pub allowance: Option<Arc<AllowanceExchange>>,
    /// Wakes the driver of roll-outs when the backend server gave a bad answer during one.
    pub evidence_changed: Notify,
    rollouts: Mutex<RolloutBook>,
    directory: Mutex<HostDirectory>,
    tracker: Mutex<ServerTracker>,
    transit: Mutex<TransitMeter>,
    knowledge: Mutex<KnowledgeAge>,
    started: Instant,
    started_boot_ms: u64,
    stop_phase: watch::Sender<StopPhase>,
    /// When requests in flight are ended, once the daemon stops.
    ends_at: OnceLock<Instant>,
    accepted: Mutex<AcceptedConfiguration>,
    reports: Mutex<HostReports>,
    running: Mutex<RunningRequests>,
    in_flight: AtomicUsize,
    last_answer_ms: AtomicU64,
    failures: Mutex<FailureMeter>,
    /// When the server ends its warm-up, in milliseconds since the daemon started.
    warm_at_ms: AtomicU64,
}

impl MeshState {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new(settings: MeshSettings) -> Self {
        let mut knowledge = KnowledgeAge::new(clock_offset_ms());
        knowledge.set_bound(settings.bounds.revoke_ms());
        let seed = boot_ms() ^ u64::from(std::process::id());
        let bounds = exposure_bounds(&settings.bounds);
        Self {
            allowance: AllowanceExchange::new(&settings).map(Arc::new),
            settings,
            evidence_changed: Notify::new(),
            rollouts: Mutex::new(RolloutBook::new(bounds, seed)),
            routes: ArcSwapOption::empty(),
            metrics: MeshMetrics::default(),
            gate: OwnerGate::new(),
            directory: Mutex::default(),
            tracker: Mutex::default(),
            transit: Mutex::default(),
            knowledge: Mutex::new(knowledge),
            started: Instant::now(),
            started_boot_ms: boot_ms(),
            stop_phase: watch::Sender::default(),
            ends_at: OnceLock::new(),
            accepted: Mutex::default(),
            reports: Mutex::default(),
            running: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            last_answer_ms: AtomicU64::new(0),
            failures: Mutex::default(),
            warm_at_ms: AtomicU64::new(0),
        }
    }

    /// Whether loads are estimated between two reports; see [`BalancingMode`].
    pub fn estimates_loads(&self) -> bool {
        self.settings.balancing == BalancingMode::Estimated
    }

    /// Time since the daemon started, in milliseconds, by the monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// When the daemon started, in milliseconds by [`boot_ms`]; distinguishes this process from other ones at the
    /// same address.
    pub fn started_boot_ms(&self) -> u64 {
        self.started_boot_ms
    }

    /// Time since the daemon started, in milliseconds, including the time for which the host was suspended.
    pub fn boot_now_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.started_boot_ms)
    }

    /// Locks the roll-outs.
    pub fn rollouts(&self) -> MutexGuard<'_, RolloutBook> {
        self.rollouts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the backend server is warming up and therefore slow.
    pub fn is_warming_up(&self) -> bool {
        self.now_ms() < self.warm_at_ms.load(Ordering::Relaxed)
    }

    /// Locks the measured transit delays of requests from other hosts.
    pub fn transit(&self) -> MutexGuard<'_, TransitMeter> {
        self.transit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the age of the knowledge of the configuration; its times are by [`boot_ms`].
    pub fn knowledge(&self) -> MutexGuard<'_, KnowledgeAge> {
        self.knowledge
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the version in force is known recently enough to be the newest for API keys to be served.
    pub fn is_key_knowledge_current(&self) -> bool {
        let in_force = self.version();
        let mut knowledge = self.knowledge();
        knowledge.settle(in_force);
        knowledge.is_current(boot_ms())
    }

    /// Locks the known hosts.
    pub fn directory(&self) -> MutexGuard<'_, HostDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state of the backend server beside the daemon.
    pub fn tracker(&self) -> MutexGuard<'_, ServerTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the configuration in force, as the operator wrote it.
    pub fn accepted(&self) -> MutexGuard<'_, AcceptedConfiguration> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Version of the configuration in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.routes
            .load()
            .as_ref()
            .map_or(0, |routes| routes.version())
    }

    /// Stores the load that the daemon at `address` reported for its server `instance`, in place of an earlier one.
    pub fn record_report(
        &self,
        address: IpAddr,
        instance: String,
        (report, health): (HostReport, ServerHealth),
    ) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.insert(address, (instance, report, health));
    }

    /// Removes and returns the load reports stored since the last call.
    pub fn take_reports(&self) -> HostReports {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut reports)
    }

    /// Whether the daemon is stopping and reports itself as not ready for callers.
    pub fn is_leaving(&self) -> bool {
        *self.stop_phase.borrow() >= StopPhase::Leaving
    }

    /// Begins to stop: the daemon reports itself as not ready for callers.
    pub fn start_stop(&self, plan: &StopPlan) {
        self.ends_at.get_or_init(|| Instant::now() + plan.end_after);
        self.enter_phase(StopPhase::Leaving);
    }

    /// Enters a phase of a stop.
    pub fn enter_phase(&self, phase: StopPhase) {
        self.stop_phase.send_replace(phase);
    }

    /// Waits until a stop has reached `phase`, which it may have done before.
    pub async fn until_phase(&self, phase: StopPhase) {
        let mut phases = self.stop_phase.subscribe();
        // Fails only if the sender is dropped, which lives as long as this state.
        let _ = phases.wait_for(|current| *current >= phase).await;
    }

    /// Whether a request that is sent to a server now may have its answer within `service_time`, before the daemon ends the
    /// requests in flight.
    pub fn has_time_for(&self, service_time: Duration) -> bool {
        self.ends_at
            .get()
            .is_none_or(|ends_at| Instant::now() + service_time <= *ends_at)
    }

    /// Whether the daemon refuses all new requests, of callers and of other daemons.
    pub fn is_closing(&self) -> bool {
        *self.stop_phase.borrow() >= StopPhase::Closing
    }

    /// Counts the request `id` as running at the backend server until the guard is dropped.
    pub fn track_running(
        self: &Arc<Self>,
        id: &str,
        is_retry: bool,
        tenant_rank: Option<u8>,
    ) -> RunningGuard {
        self.running().start(id, is_retry, tenant_rank);
        RunningGuard {
            mesh: self.clone(),
            id: id.to_string(),
        }
    }

    /// Locks the requests that the backend server is running.
    pub fn running(&self) -> MutexGuard<'_, RunningRequests> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the backend server has just answered a request.
    pub fn record_answer(&self) {
        self.last_answer_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// When the backend server last answered a request, in milliseconds since the daemon started; 0 if it has not.
    pub fn last_answer_ms(&self) -> u64 {
        self.last_answer_ms.load(Ordering::Relaxed)
    }

    /// Locks the failures of the backend server.
    pub fn failures(&self) -> MutexGuard<'_, FailureMeter> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the remaining warm-up time of the backend server.
    pub fn record_warmup(&self, left_ms: u64) {
        let warm_at_ms = match left_ms {
            0 => 0,
            _ => self.now_ms().saturating_add(left_ms),
        };
        self.warm_at_ms.store(warm_at_ms, Ordering::Relaxed);
    }

    /// Health of the backend server at this moment; only reported where loads are estimated.
    pub fn health(&self) -> ServerHealth {
        if !self.estimates_loads() {
            return ServerHealth::default();
        }
        let warm_at_ms = self.warm_at_ms.load(Ordering::Relaxed);
        ServerHealth {
            failure_percent: self.failures().percent(self.now_ms()),
            warmup_left_ms: warm_at_ms.saturating_sub(self.now_ms()) as u32,
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.clone())
    }

    /// Number of requests received and not yet answered.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// Bounds of the requests to unproven versions, if the settings have them.
pub fn exposure_bounds(bounds: &BoundSettings) -> Option<ExposureBounds> {
    bounds.rollout.as_ref().map(|rollout| ExposureBounds {
        share: rollout.share,
        slack: rollout.slack,
    })
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<MeshState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Keeps one request counted as running at the backend server until dropped.
#[derive(Debug)]
pub struct RunningGuard {
    mesh: Arc<MeshState>,
    id: String,
}

impl RunningGuard {
    /// Whether a nested call of the request was refused.
    pub fn has_refused_call(&self) -> bool {
        self.mesh.running().state(&self.id).has_refused_call
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.mesh.running().end(&self.id);
    }
}
