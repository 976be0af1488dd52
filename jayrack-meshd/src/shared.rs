//! What the control thread and the traffic thread share.
use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

use arc_swap::ArcSwapOption;
use jayrack_mesh::{
    HostDirectory, MeshRoutes, RunningRequests, ServerTracker, TransitMeter, pick::HostReport,
};
use rustix::time::{ClockId, clock_gettime};

use crate::{
    control::configuration::AcceptedConfiguration, metrics::MeshMetrics, settings::MeshSettings,
    traffic::gate::OwnerGate,
};

/// Reports by address, with the instance of the server that each is about.
pub type HostReports = BTreeMap<IpAddr, (String, HostReport)>;

/// Milliseconds of the clock that goes on while the host is suspended and is never set.
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec.unsigned_abs() * 1_000 + time.tv_nsec.unsigned_abs() / 1_000_000
}

/// State of one daemon.
#[derive(Debug)]
pub struct MeshState {
    /// Settings at the start.
    pub settings: MeshSettings,
    /// The accepted configuration; `None` before the first one.
    pub routes: ArcSwapOption<MeshRoutes>,
    /// Counters and histograms.
    pub metrics: MeshMetrics,
    /// Slots of the backend server beside the daemon.
    pub gate: OwnerGate,
    directory: Mutex<HostDirectory>,
    tracker: Mutex<ServerTracker>,
    transit: Mutex<TransitMeter>,
    started: Instant,
    started_boot_ms: u64,
    leaving: AtomicBool,
    closing: AtomicBool,
    accepted: Mutex<AcceptedConfiguration>,
    reports: Mutex<HostReports>,
    running: Mutex<RunningRequests>,
    in_flight: AtomicUsize,
    last_answer_ms: AtomicU64,
}

impl MeshState {
    /// Creates the state of a daemon that has no configuration yet.
    pub fn new(settings: MeshSettings) -> Self {
        Self {
            settings,
            routes: ArcSwapOption::empty(),
            metrics: MeshMetrics::default(),
            gate: OwnerGate::new(),
            directory: Mutex::default(),
            tracker: Mutex::default(),
            transit: Mutex::default(),
            started: Instant::now(),
            started_boot_ms: boot_ms(),
            leaving: AtomicBool::new(false),
            closing: AtomicBool::new(false),
            accepted: Mutex::default(),
            reports: Mutex::default(),
            running: Mutex::default(),
            in_flight: AtomicUsize::new(0),
            last_answer_ms: AtomicU64::new(0),
        }
    }

    /// Milliseconds since the daemon started, by the monotonic clock.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// When the daemon started, by [`boot_ms`]; tells this process from others at the address.
    pub fn started_boot_ms(&self) -> u64 {
        self.started_boot_ms
    }

    /// Locks what is known of the ways from other hosts.
    pub fn transit(&self) -> MutexGuard<'_, TransitMeter> {
        self.transit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the hosts that are known.
    pub fn directory(&self) -> MutexGuard<'_, HostDirectory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of the backend server beside the daemon.
    pub fn tracker(&self) -> MutexGuard<'_, ServerTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the configuration in force, in the form in which the operator wrote it.
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

    /// Notes what another daemon, with the server `instance` beside it, reported on its own.
    pub fn record_report(&self, address: IpAddr, instance: String, report: HostReport) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.insert(address, (instance, report));
    }

    /// Takes the reports that were noted since the last call.
    pub fn take_reports(&self) -> HostReports {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut reports)
    }

    /// Whether the daemon was told to stop and takes no new callers.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Makes the daemon turn away new callers.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether the daemon takes no more forwarded requests either.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Acquire)
    }

    /// Notes that the backend server runs the request `id`, for as long as the guard lives.
    pub fn track_running(self: &Arc<Self>, id: &str, is_retry: bool) -> RunningGuard {
        self.running().start(id, is_retry);
        RunningGuard {
            mesh: self.clone(),
            id: id.to_string(),
        }
    }

    /// Locks the requests that the backend server is running.
    pub fn running(&self) -> MutexGuard<'_, RunningRequests> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the backend server answered a request.
    pub fn record_answer(&self) {
        self.last_answer_ms.store(self.now_ms(), Ordering::Relaxed);
    }

    /// When the backend server last answered a request, in milliseconds since the daemon started.
    pub fn last_answer_ms(&self) -> u64 {
        self.last_answer_ms.load(Ordering::Relaxed)
    }

    /// Makes the daemon refuse forwarded requests.
    pub fn set_closing(&self) {
        self.closing.store(true, Ordering::Release);
    }

    /// Counts a request for as long as the guard lives.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard(self.clone())
    }

    /// Requests taken and not answered yet.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// Counts one request as in flight.
#[derive(Debug)]
pub struct InFlightGuard(Arc<MeshState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Marks a request as running at the backend server.
#[derive(Debug)]
pub struct RunningGuard {
    mesh: Arc<MeshState>,
    id: String,
}

impl RunningGuard {
    /// Whether a call of the request was refused.
    pub fn has_refused_call(&self) -> bool {
        self.mesh.running().state(&self.id).has_refused_call
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.mesh.running().end(&self.id);
    }
}
