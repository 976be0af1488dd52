//! A daemon with lowered limits, the memory that it uses, and one ordinary request afterwards.
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{HeaderMap, Method, StatusCode, header};
use jayrack_mesh::gate::Urgency;
use jayrack_meshd::traffic::forward::{AttemptKind, ForwardHead, SendTime};
use tokio::{
    sync::{Mutex, MutexGuard},
    time::sleep,
};

use crate::{
    server::BodyServer,
    support::{FleetStore, HostLimits, HostProcess, configuration, until},
};

/// Interval between two samples of the memory in use.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Interval between two looks at a daemon that receives from a crowd.
const SETTLE_INTERVAL: Duration = Duration::from_millis(50);
/// Equal looks after which the daemon has received what it takes.
const SETTLE_REPEATS: usize = 10;
/// Looks after which the checks are made in any case.
const SETTLE_MAX_CHECKS: usize = 400;
/// Time left of each request, in milliseconds; no test depends on it.
const TIME_LEFT_MS: u64 = 20_000;
/// Timeout of the routes, in seconds; no test depends on it.
const ROUTE_TIMEOUT_S: f64 = 20.0;

/// Held by the running test, since each needs the machine's memory for itself.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Limits and behaviour of a fixture.
#[derive(Debug, Clone, Copy)]
pub struct FixturePlan {
    pub limits: HostLimits,
    pub max_body_bytes: usize,
    /// Time for which the backend server runs a request.
    pub delay: Duration,
    /// Size of the server's answers; `None` for short ones.
    pub answer_bytes: Option<usize>,
}

/// A host with its backend server.
pub struct CrowdFixture {
    pub store: FleetStore,
    pub host: HostProcess,
    pub server: BodyServer,
    meter: MemoryMeter,
    limits: HostLimits,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdFixture {
    pub async fn start(plan: FixturePlan) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let store = FleetStore::start().await;
        let limit = format!("\"max_body_bytes\":{}", plan.max_body_bytes);
        // The time to the target limits how many large answers may wait for the link.
        let target = format!("\"target_latency_s\":{ROUTE_TIMEOUT_S}");
        let text = configuration(1, ROUTE_TIMEOUT_S)
            .replace("\"max_body_bytes\":65536", &limit)
            .replace("\"target_latency_s\":0.5", &target);
        store.put_configuration(&text).await;
        let host = HostProcess::start_limited(&store, plan.limits);
        let server = BodyServer::start(host.server(), plan.delay, plan.answer_bytes).await;
        host.until_reported("i-1", host.status("ready", 1, 1)).await;
        host.until_ready(StatusCode::OK).await;
        until_served(&host).await;
        host.keep_reporting();
        let meter = MemoryMeter::start(&host, &[host.server()]);
        Self {
            store,
            host,
            server,
            meter,
            limits: plan.limits,
            _turn: turn,
        }
    }

    /// Waits until the daemon has taken what the crowd sends, or no longer takes more of it.
    pub async fn settle(&self) {
        let sockets = HostSockets::new(&self.host, &[self.host.server()]);
        let probe = self.host.probe();
        let state = || {
            let memory_kb = probe.memory_kb();
            (memory_kb, probe.open_descriptors(), sockets.unread_bytes())
        };
        let (mut last, mut repeats) = (state(), 0);
        for _ in 0..SETTLE_MAX_CHECKS {
            sleep(SETTLE_INTERVAL).await;
            let now = state();
            repeats = if now == last { repeats + 1 } else { 0 };
            last = now;
            if repeats == SETTLE_REPEATS {
                return;
            }
        }
    }

    /// Checks what must hold while the crowd's connections are still open: the process lives, its memory and its
    /// descriptors have stayed within the limits of its host, and an ordinary request is answered.
    pub async fn check(&self, name: &str) {
        self.settle().await;
        self.check_now(name).await;
    }

    /// As [`CrowdFixture::check`], while the crowd goes on sending.
    pub async fn check_now(&self, name: &str) {
        let peak = self.meter.peak();
        let peak_kb = peak.total_kb();
        let high_water_kb = match self.host.is_running() {
            true => self.host.peak_memory_kb(),
            false => 0,
        };
        let descriptors = self.meter.most_descriptors();
        println!(
            "{name}: VmHWM {high_water_kb} kB, with unread bytes {peak_kb} kB ({peak:?}), {descriptors} descriptors"
        );
        assert!(self.host.is_running(), "{name}: the process has ended");
        if let Some(memory_mb) = self.limits.memory_mb {
            let bound_kb = memory_mb * 1_024;
            assert!(
                high_water_kb.max(peak_kb) <= bound_kb,
                "{name}: {high_water_kb} kB resident, {peak_kb} kB with unread bytes, bound {bound_kb} kB"
            );
        }
        if let Some(max_descriptors) = self.limits.max_descriptors {
            assert!(
                descriptors <= max_descriptors,
                "{name}: {descriptors} descriptors, bound {max_descriptors}"
            );
        }
        until_served(&self.host).await;
        assert!(self.host.is_running(), "{name}: the process has ended");
    }
}

/// Waits until a short request of a caller is answered.
pub async fn until_served(host: &HostProcess) {
    until("an ordinary request is answered", || async {
        let asking = host.ask(Method::GET, "/browse/1", "ordinary");
        let answer = tokio::time::timeout(Duration::from_secs(5), asking).await;
        answer.is_ok_and(|answer| answer.is_some_and(|answer| answer.status == StatusCode::OK))
    })
    .await;
}

/// Header lines of a caller's request; `NUMBER` stands for the caller's number.
pub fn caller_fields() -> String {
    format!("x-attempt-id: crowd-NUMBER\r\nx-deadline-ms: {TIME_LEFT_MS}\r\n")
}

/// Header lines of a request that another daemon forwards; `NUMBER` stands for its number.
pub fn daemon_fields() -> String {
    let head = ForwardHead {
        route: "browse".to_string(),
        instance: "i-1".to_string(),
        urgency: Urgency { stage: 1, rank: 0 },
        target_left_ms: TIME_LEFT_MS,
        time_left_ms: TIME_LEFT_MS,
        is_idempotent: true,
        attempt: AttemptKind::First,
        tenant_rank: None,
        is_same_data_centre: true,
        sent: SendTime { epoch: 1, at_ms: 1 },
    };
    let mut fields = HeaderMap::new();
    head.encode(&mut fields);
    fields.remove(header::HOST);
    let mut lines = caller_fields();
    for (name, value) in &fields {
        lines.push_str(&format!("{name}: {}\r\n", value.to_str().unwrap()));
    }
    lines
}

/// Memory of a daemon at one time, in kilobytes.
#[derive(Debug, Clone, Copy, Default)]
struct MemorySample {
    resident_kb: u64,
    /// Bytes that the kernel has received and the daemon has not read, on accepted and outgoing connections.
    unread_kb: u64,
    /// The same on connections that wait to be accepted.
    waiting_kb: u64,
}

impl MemorySample {
    fn total_kb(&self) -> u64 {
        self.resident_kb + self.unread_kb + self.waiting_kb
    }
}

/// Keeps the larger one of `peak` and `sample`.
fn record_peak(peak: &std::sync::Mutex<MemorySample>, sample: MemorySample) {
    let mut peak = peak.lock().unwrap();
    if sample.total_kb() > peak.total_kb() {
        *peak = sample;
    }
}

/// Samples the memory and the descriptors of a process until it is dropped.
struct MemoryMeter {
    peak: Arc<std::sync::Mutex<MemorySample>>,
    most_descriptors: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl MemoryMeter {
    /// Starts to sample `host`, whose daemon connects to the addresses `dialed`.
    fn start(host: &HostProcess, dialed: &[SocketAddr]) -> Self {
        let meter = Self {
            peak: Arc::default(),
            most_descriptors: Arc::default(),
            is_over: Arc::default(),
        };
        let (peak, most_descriptors, is_over) = (
            meter.peak.clone(),
            meter.most_descriptors.clone(),
            meter.is_over.clone(),
        );
        let sockets = HostSockets::new(host, dialed);
        let probe = host.probe();
        tokio::spawn(async move {
            while !is_over.load(Ordering::Relaxed) {
                let unread = sockets.unread_bytes();
                let sample = MemorySample {
                    resident_kb: probe.memory_kb().unwrap_or(0),
                    unread_kb: unread.accepted / 1_024,
                    waiting_kb: unread.waiting / 1_024,
                };
                record_peak(&peak, sample);
                let descriptors = probe.open_descriptors();
                most_descriptors.fetch_max(descriptors, Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        meter
    }

    fn peak(&self) -> MemorySample {
        *self.peak.lock().unwrap()
    }

    fn most_descriptors(&self) -> u64 {
        self.most_descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for MemoryMeter {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Bytes that the kernel has received for a daemon and that were not read yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct UnreadBytes {
    accepted: u64,
    waiting: u64,
}

/// The connections of a daemon in the kernel's table.
struct HostSockets {
    listeners: Vec<String>,
    dialed: Vec<String>,
}

impl HostSockets {
    fn new(host: &HostProcess, dialed: &[SocketAddr]) -> Self {
        let listeners = [
            host.callers(),
            host.forward(),
            host.ready(),
            host.reports(),
            host.metrics(),
        ];
        Self {
            listeners: listeners.iter().map(kernel_text).collect(),
            dialed: dialed.iter().map(kernel_text).collect(),
        }
    }

    fn unread_bytes(&self) -> UnreadBytes {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let mut unread = UnreadBytes::default();
        // The state `0A` of a listener counts connections in the column of bytes.
        for line in table.lines().filter(|line| !line.contains(" 0A ")) {
            let Some((bytes, is_accepted)) = self.unread_of(line) else {
                continue;
            };
            match is_accepted {
                true => unread.accepted += bytes,
                false => unread.waiting += bytes,
            }
        }
        unread
    }

    /// Unread bytes of the connection in `line` of the table, and whether it has been accepted.
    fn unread_of(&self, line: &str) -> Option<(u64, bool)> {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote) = (fields.next()?, fields.next()?);
        let is_own = self.listeners.iter().any(|own| own == local)
            || self.dialed.iter().any(|peer| peer == remote);
        let queues = fields.nth(1).filter(|_| is_own)?;
        let (_, received) = queues.split_once(':')?;
        let bytes = u64::from_str_radix(received, 16).ok()?;
        // A connection that was not accepted has no inode.
        let inode = fields.nth(4)?;
        Some((bytes, inode != "0"))
    }
}

/// An address as the kernel's table of connections has it.
fn kernel_text(address: &SocketAddr) -> String {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            format!(
                "{:08X}:{:04X}",
                u32::from_ne_bytes(ip.octets()),
                address.port()
            )
        }
        std::net::IpAddr::V6(_) => String::new(),
    }
}
