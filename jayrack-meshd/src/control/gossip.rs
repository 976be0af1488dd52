//! Datagrams between daemons: records of hosts and their servers, and the load of the servers.
//!
//! Each daemon reports only its own record. A datagram also carries the order of the receiver's record that its
//! sender holds, so that a receiver whose latest record was lost sends it again.
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use jayrack_mesh::{
    gate::{GateLoad, ServiceTimeEstimate},
    hosts::{HostEntry, HostRecord},
    pick::HostReport,
    readers::{ReaderCandidate, is_reader},
    server::ServerPhase,
    status::{DueInput, PeerState, ReceivedStatus},
};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use super::{ControlState, configuration, sync};
use crate::{logging, shared::MeshState};

/// Interval between two checks which hosts a datagram is due to.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of routes whose service time a datagram reports: the server's own, and one of another service that
/// it serves at times.
const MAX_REPORTED_ROUTES: usize = 2;
/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Time without a datagram after which a host of a small fleet no longer counts as a possible reader, in milliseconds:
/// the interval of two datagrams. It grows with the interval factor of the fleet.
const READER_SILENCE_TIMEOUT_MS: u64 = 2_500;
/// Maximum random delay before a configuration is fetched from another daemon, in milliseconds, so that not all
/// daemons use its link at once; in the meantime a reader of the same data centre may announce the configuration.
const MAX_PULL_JITTER_MS: u64 = 80;
/// Time that a daemon waits for a reader of its own data centre if only another data centre has announced a
/// configuration: such a reader follows within its delay between two reads.
const READER_WAIT: Duration = Duration::from_millis(600);
/// Maximum number of other daemons that are asked for a configuration before the store is.
const MAX_PULL_SOURCES: usize = 2;
/// Maximum number of other daemons that are asked for the state of an earlier process.
const MAX_RESTORE_SOURCES: u32 = 3;
/// Time after the start after which the server gets requests although the state of an earlier process could not be
/// restored, in milliseconds: the interval of two reports and their delay.
const RESTORE_TIMEOUT_MS: u64 = 4_000;

/// Content of a datagram.
#[derive(Debug, Serialize, Deserialize)]
struct StatusMessage {
    record: HostRecord,
    load: [u32; 3],
    /// Service time estimates of the sender's server: route and milliseconds.
    #[serde(default)]
    speeds: Vec<(String, u32)>,
    /// Version of the configuration in force; 0 before the first one.
    configuration: u64,
    /// Whether the store answered the sender at its last try.
    reaches_store: bool,
    /// Epoch and revision of the receiver's record that the sender holds.
    known: Option<(u64, u64)>,
    /// The sender's copy of the receiver's record, if the receiver sent an older one.
    correction: Option<HostRecord>,
}

#[derive(Debug)]
struct GossipCore {
    own: HostRecord,
    peers: BTreeMap<IpAddr, PeerState>,
    reaches_store: bool,
    announced: AnnouncedConfiguration,
    /// Daemons asked for the state of an earlier process.
    restore_sources: u32,
    random: Pcg32,
}

/// Newest version of the configuration that other daemons announced, and daemons that have it.
#[derive(Debug, Default)]
struct AnnouncedConfiguration {
    version: u64,
    same_data_centre: Option<ConfigurationSource>,
    remote: Option<ConfigurationSource>,
}

/// Daemon that has the announced configuration.
#[derive(Debug, Clone, Copy)]
struct ConfigurationSource {
    address: SocketAddr,
    link_mbps: u32,
}

impl AnnouncedConfiguration {
    /// Records a source of `version`; prefers the one with the fastest link, since many daemons fetch at once.
    fn record(&mut self, version: u64, source: ConfigurationSource, is_same_data_centre: bool) {
        if version < self.version {
            return;
        }
        if version > self.version {
            *self = Self {
                version,
                ..Self::default()
            };
        }
        let known = if is_same_data_centre {
            &mut self.same_data_centre
        } else {
            &mut self.remote
        };
        if known.is_none_or(|known| known.link_mbps <= source.link_mbps) {
            *known = Some(source);
        }
    }

    /// Removes and returns the next daemon to ask, one of the same data centre if possible.
    fn next_source(&mut self) -> Option<SocketAddr> {
        let source = self.same_data_centre.take().or_else(|| self.remote.take());
        source.map(|source| source.address)
    }
}

/// This host's record and the state of the exchange with the other daemons.
#[derive(Debug)]
pub struct GossipState {
    socket: UdpSocket,
    core: Mutex<GossipCore>,
    restored: AtomicBool,
    pulling: AtomicBool,
}

impl GossipState {
    /// Creates the state of a host whose server has not reported yet.
    pub fn new(mesh: &MeshState, socket: UdpSocket) -> Self {
        let settings = &mesh.settings;
        let epoch = logging::unix_ms();
        let own = HostRecord {
            address: settings.host.address,
            epoch,
            revision: 0,
            data_centre: settings.host.data_centre.clone(),
            link_mbps: settings.host.link_mbps as u32,
            forward: settings.listen.forward,
            gossip: SocketAddr::new(settings.host.address, settings.ports[0]),
            server: None,
            is_leaving: false,
        };
        mesh.directory().merge(&own);
        Self {
            socket,
            core: Mutex::new(GossipCore {
                own,
                peers: BTreeMap::new(),
                reaches_store: true,
                announced: AnnouncedConfiguration::default(),
                restore_sources: 0,
                random: Pcg32::seed_from_u64(epoch),
            }),
            restored: AtomicBool::new(false),
            pulling: AtomicBool::new(false),
        }
    }

    /// Epoch of this host's record; it grows with each start of the daemon.
    pub fn epoch(&self) -> u64 {
        self.lock().own.epoch
    }

    /// Whether a further daemon is to be asked for the state of an earlier process.
    fn needs_restore(&self) -> bool {
        !self.is_restored() && self.lock().restore_sources < MAX_RESTORE_SOURCES
    }

    /// Copy of this host's record.
    pub fn own_record(&self) -> HostRecord {
        self.lock().own.clone()
    }

    /// Random time below `limit_ms`, in milliseconds; 0 if `limit_ms` is 0.
    pub fn jitter_ms(&self, limit_ms: u64) -> u64 {
        u64::from(self.lock().random.next_u32()) % limit_ms.max(1)
    }

    /// Whether the state that an earlier process at this address acknowledged was restored, or the time limit for
    /// that is over.
    pub fn is_restored(&self) -> bool {
        self.restored.load(Ordering::Acquire)
    }

    /// Ends the restoring of an earlier process's state; from now on the server may get requests.
    pub fn set_restored(&self, mesh: &MeshState) {
        if !self.restored.swap(true, Ordering::AcqRel) {
            self.apply_server(mesh);
        }
    }

    /// Updates the admission gate and this host's record from the state of the server.
    pub fn apply_server(&self, mesh: &MeshState) {
        let (record, slots) = {
            let tracker = mesh.tracker();
            let slots = tracker.serving().map(|server| server.slots);
            (tracker.record().cloned(), slots)
        };
        let slots = slots.filter(|_| self.is_restored() && !mesh.is_closing());
        match slots {
            Some(slots) => mesh.gate.resume(slots),
            None => mesh.gate.suspend(),
        }
        let is_known = slots.is_some()
            || record
                .as_ref()
                .is_some_and(|record| record.phase != ServerPhase::Ready);
        let mut core = self.lock();
        core.own.server = record.filter(|_| is_known);
        core.own.revision += 1;
        mesh.directory().merge(&core.own);
    }

    /// Handles a record of this host that another daemon holds from an earlier process: restores its server and, if
    /// it is newer than the current record, raises the epoch above it.
    pub fn refute(&self, mesh: &MeshState, known: &HostRecord) {
        if let Some(server) = &known.server {
            mesh.tracker().restore(server.clone());
        }
        let mut core = self.lock();
        if known.order() > core.own.order() {
            log::info!(epoch = core.own.epoch, known = known.epoch; "epoch of this host raised above an earlier one");
            core.own.epoch = known.epoch + 1;
            mesh.directory().merge(&core.own);
        }
    }

    /// Records whether the store answered this daemon; returns whether that is a change.
    pub fn set_reaches_store(&self, reaches_store: bool) -> bool {
        let mut core = self.lock();
        std::mem::replace(&mut core.reaches_store, reaches_store) != reaches_store
    }

    /// Whether this host reads the store on behalf of its data centre.
    pub fn is_reader(&self, mesh: &MeshState) -> bool {
        let now_ms = mesh.now_ms();
        let directory = mesh.directory();
        let core = self.lock();
        let own = &core.own;
        let silence_ms = READER_SILENCE_TIMEOUT_MS * directory.interval_factor();
        let is_live = |entry: &&HostEntry| {
            let received_ms = entry.last_received_ms.unwrap_or(0);
            entry.record.data_centre == own.data_centre
                && !entry.record.is_leaving
                && entry.last_received_ms.is_some()
                && now_ms >= entry.backoff_until_ms
                && now_ms.saturating_sub(received_ms) < silence_ms
        };
        let others = directory
            .entries()
            .filter(is_live)
            .map(|entry| ReaderCandidate {
                address: entry.record.address,
                link_mbps: entry.record.link_mbps,
                reaches_store: entry.reaches_store,
            });
        let mut candidates: Vec<ReaderCandidate> = others
            .filter(|candidate| candidate.address != own.address)
            .collect();
        candidates.push(ReaderCandidate {
            address: own.address,
            link_mbps: own.link_mbps,
            reaches_store: core.reaches_store,
        });
        is_reader(own.address, &candidates)
    }

    /// Sends a datagram to all other hosts, with the configuration version and the reachability of the store.
    pub async fn announce(&self, mesh: &MeshState) {
        for address in self.others(mesh) {
            self.send_to(mesh, address, None).await;
        }
    }

    fn others(&self, mesh: &MeshState) -> Vec<IpAddr> {
        let local = mesh.settings.host.address;
        let directory = mesh.directory();
        let addresses = directory.entries().map(|entry| entry.record.address);
        addresses.filter(|address| *address != local).collect()
    }

    /// Raises the revision of this host's record and sends it to all other hosts at once.
    pub async fn publish(&self, mesh: &MeshState) {
        {
            let mut core = self.lock();
            core.own.is_leaving = mesh.is_leaving();
            core.own.revision += 1;
            mesh.directory().merge(&core.own);
        }
        self.announce(mesh).await;
    }

    async fn send_to(&self, mesh: &MeshState, address: IpAddr, correction: Option<HostRecord>) {
        let Some((target, known)) = ({
            let directory = mesh.directory();
            directory
                .get(address)
                .map(|entry| (entry.record.gossip, entry.record.order()))
        }) else {
            return;
        };
        let GateLoad {
            running,
            waiting,
            slots,
        } = mesh.gate.load();
        let service_times = mesh.gate.service_time_estimates(MAX_REPORTED_ROUTES);
        let (record, reaches_store) = {
            let mut core = self.lock();
            let own_order = core.own.order();
            let peer = core.peers.entry(address).or_default();
            peer.record_sent(mesh.now_ms(), own_order);
            (core.own.clone(), core.reaches_store)
        };
        let message = StatusMessage {
            record,
            load: [running, waiting, slots],
            speeds: service_times
                .into_iter()
                .map(|estimate| (estimate.route, estimate.service_ms))
                .collect(),
            configuration: mesh.version(),
            reaches_store,
            known: Some(known),
            correction,
        };
        let text = match serde_json::to_vec(&message) {
            Ok(text) => text,
            Err(error) => {
                log::error!(error:% = error; "datagram not serialised");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&text, target).await {
            log::debug!(host:% = address, error:% = error; "datagram not sent");
        }
    }

    /// Hosts that a datagram is due to.
    fn due(&self, mesh: &MeshState) -> Vec<IpAddr> {
        let now_ms = mesh.now_ms();
        let directory = mesh.directory();
        let mut core = self.lock();
        let own_order = core.own.order();
        let interval_factor = directory.interval_factor();
        let mut due = Vec::new();
        for entry in directory.entries() {
            let address = entry.record.address;
            if address == core.own.address {
                continue;
            }
            let input = DueInput {
                now_ms,
                own: own_order,
                last_received_ms: entry.last_received_ms,
                is_same_data_centre: entry.record.data_centre == core.own.data_centre,
                interval_factor,
            };
            if core.peers.entry(address).or_default().is_due(&input) {
                due.push(address);
            }
        }
        due
    }

    fn lock(&self) -> MutexGuard<'_, GossipCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends due datagrams for as long as the process runs.
pub async fn send(control: Arc<ControlState>) {
    loop {
        sleep(TICK_INTERVAL).await;
        let mesh = &control.mesh;
        if !control.gossip.is_restored() && mesh.now_ms() > RESTORE_TIMEOUT_MS {
            log::warn!("no state of an earlier process restored; accepting the server's reports");
            control.gossip.set_restored(mesh);
        }
        for address in control.gossip.due(mesh) {
            control.gossip.send_to(mesh, address, None).await;
        }
    }
}

/// Receives and applies datagrams for as long as the process runs.
pub async fn receive(control: Arc<ControlState>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match control.gossip.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "datagram not received");
                continue;
            }
        };
        match serde_json::from_slice::<StatusMessage>(&buffer[..length]) {
            Ok(message) if message.record.address == sender.ip() => {
                handle_message(&control, message).await
            }
            Ok(_) => log::warn!(sender:% = sender; "datagram does not match its sender"),
            Err(error) => log::warn!(sender:% = sender, error:% = error; "datagram not decoded"),
        }
    }
}

async fn handle_message(control: &Arc<ControlState>, message: StatusMessage) {
    let mesh = &control.mesh;
    let gossip = &control.gossip;
    let address = message.record.address;
    let now_ms = mesh.now_ms();
    if let Some(correction) = &message.correction {
        gossip.refute(mesh, correction);
    }
    let (is_changed, is_newer, newer) = {
        let mut directory = mesh.directory();
        let known = directory.get(address).map(|entry| state_of(&entry.record));
        let is_new = known.is_none();
        let is_newer = directory.merge(&message.record);
        let is_changed = known != directory.get(address).map(|entry| state_of(&entry.record));
        directory.record_received(now_ms, address);
        directory.record_store_reachability(address, message.reaches_store);
        let newer = directory
            .get(address)
            .filter(|entry| entry.record.order() > message.record.order())
            .map(|entry| entry.record.clone());
        (is_changed.then_some(is_new), is_newer, newer)
    };
    if let Some(is_new) = is_changed {
        log_change(&message.record, is_new);
        mesh.metrics.count_state_change("host-changed");
    }
    let [running, waiting, slots] = message.load;
    let load = GateLoad {
        running,
        waiting,
        slots,
    };
    let service_times = message
        .speeds
        .iter()
        .map(|(route, service_ms)| ServiceTimeEstimate {
            route: route.clone(),
            service_ms: *service_ms,
        });
    let report = HostReport {
        load,
        service_times: service_times.collect(),
    };
    if let Some(server) = message.record.server.as_ref() {
        mesh.record_report(address, server.instance.clone(), report);
    }
    let needs_reply = {
        let mut core = gossip.lock();
        let received = ReceivedStatus {
            now_ms,
            own: core.own.order(),
            known: message.known,
            is_newer,
            is_sender_outdated: newer.is_some(),
        };
        core.peers.entry(address).or_default().receive(&received)
    };
    if needs_reply {
        gossip.send_to(mesh, address, newer).await;
    }
    pull_missing(control, &message).await;
}

/// Starts a task that fetches a newer configuration announced by other daemons and, until the state of an earlier
/// process is restored, the hosts known to the sender. At most one such task runs at a time.
async fn pull_missing(control: &Arc<ControlState>, message: &StatusMessage) {
    let (mesh, gossip) = (&control.mesh, &control.gossip);
    let source = message.record.forward;
    let is_same_data_centre = message.record.data_centre == mesh.settings.host.data_centre;
    let holder = ConfigurationSource {
        address: source,
        link_mbps: message.record.link_mbps,
    };
    gossip
        .lock()
        .announced
        .record(message.configuration, holder, is_same_data_centre);
    let is_behind = message.configuration > mesh.version();
    if !is_behind && !gossip.needs_restore() || gossip.pulling.swap(true, Ordering::AcqRel) {
        return;
    }
    let control = control.clone();
    tokio::spawn(async move {
        let gossip = &control.gossip;
        sleep(Duration::from_millis(gossip.jitter_ms(MAX_PULL_JITTER_MS))).await;
        if gossip.needs_restore() {
            gossip.lock().restore_sources += 1;
            sync::pull_hosts(&control, source).await;
        }
        if gossip.lock().announced.same_data_centre.is_none() {
            sleep(READER_WAIT).await;
        }
        pull_configuration(&control).await;
        gossip.pulling.store(false, Ordering::Release);
    });
}

/// Fetches the newest announced configuration from the daemons that have it, and from the store if that fails.
async fn pull_configuration(control: &ControlState) {
    let gossip = &control.gossip;
    for _ in 0..MAX_PULL_SOURCES {
        let source = {
            let mut core = gossip.lock();
            if core.announced.version <= control.mesh.version() {
                return;
            }
            core.announced.next_source()
        };
        let Some(source) = source else { break };
        sync::pull_configuration(control, source).await;
    }
    if gossip.lock().announced.version > control.mesh.version() {
        configuration::read_newest(control).await;
    }
}

/// State of a host as far as a change of it is logged: epoch, leaving, and the server's instance, phase and slots.
fn state_of(record: &HostRecord) -> (u64, bool, Option<(String, ServerPhase, u32)>) {
    let server = record.server.as_ref();
    let server = server.map(|server| (server.instance.clone(), server.phase, server.slots));
    (record.epoch, record.is_leaving, server)
}

fn log_change(record: &HostRecord, is_new: bool) {
    let server = record.server.as_ref();
    log::info!(
        host:% = record.address,
        epoch = record.epoch,
        revision = record.revision,
        new = is_new,
        leaving = record.is_leaving,
        instance:? = server.map(|server| server.instance.as_str()),
        phase:? = server.map(|server| server.phase);
        "host changed"
    );
}
