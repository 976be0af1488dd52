//! Datagrams between daemons: records of hosts and their servers, and the load of the servers.
//!
//! Each daemon reports only its own record. A datagram also carries the order of the receiver's record that its
//! sender holds, so that a receiver whose latest record was lost sends it again.
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
    time::Duration,
};

use jayrack_mesh::{
    hosts::{HostEntry, HostRecord},
    readers::{ReaderCandidate, is_reader},
    server::{ServerPhase, ServerRecord},
    status::{DueInput, PeerState, RecordOrder},
};
use jayrack_platform::era::EraMonitor;
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use tokio::{net::UdpSocket, time::sleep};

use super::{
    ControlState,
    announced::AnnouncedConfiguration,
    datagram::{self, StatusMessage},
    rollout,
};
use crate::{
    logging,
    shared::{MeshState, boot_ms},
};

/// Interval between two checks which hosts a datagram is due to.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of routes whose service time a datagram reports: the server's own, and one of another service that
/// it serves at times.
const MAX_REPORTED_ROUTES: usize = 2;
/// Time without a datagram after which a host of a small fleet no longer counts as a possible reader, in milliseconds:
/// the interval of two datagrams. It grows with the interval factor of the fleet.
const READER_SILENCE_TIMEOUT_MS: u64 = 2_500;
/// A daemon counts as isolated, and leads no roll-out, if it hears less than one in this many other hosts.
const MIN_CONTACT_DIVISOR: usize = 4;
/// Maximum number of other daemons that are asked for the state of an earlier process.
const MAX_RESTORE_SOURCES: u32 = 3;
/// Time with a configuration after which the server gets requests although the state of an earlier process could not be
/// restored, in milliseconds: the interval of two reports and their delay. Without a configuration there are no requests.
const RESTORE_TIMEOUT_MS: u64 = 4_000;

#[derive(Debug)]
pub(super) struct GossipCore {
    pub(super) own: HostRecord,
    pub(super) peers: BTreeMap<IpAddr, PeerState>,
    reaches_store: bool,
    pub(super) announced: AnnouncedConfiguration,
    /// Daemons asked for the state of an earlier process.
    pub(super) restore_sources: u32,
    /// Daemons that know no server of this host.
    empty_sources: BTreeSet<SocketAddr>,
    restore: RestoreState,
    /// Whether the server has been given requests by this process.
    has_served: bool,
    random: Pcg32,
}

/// Whether this process has learned which server an earlier one at this address has acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RestoreState {
    /// Not yet; the server gets no requests.
    Pending,
    /// Not yet, although the store has been read: it may have lost what that process has written.
    Doubtful,
    /// Nobody held that state in time; the server's reports are relied on.
    TimedOut,
    /// The store or another daemon held it.
    Restored,
}

impl RestoreState {
    fn is_over(self) -> bool {
        match self {
            RestoreState::Pending | RestoreState::Doubtful => false,
            RestoreState::TimedOut | RestoreState::Restored => true,
        }
    }
}

/// Receiver of a datagram.
#[derive(Debug)]
pub(super) struct Receiver {
    pub(super) address: SocketAddr,
    /// Order of the record that this daemon holds of it.
    pub(super) known: Option<RecordOrder>,
    pub(super) datagram_format: u8,
}

/// This host's record and the state of the exchange with the other daemons.
#[derive(Debug)]
pub struct GossipState {
    pub(super) socket: UdpSocket,
    core: Mutex<GossipCore>,
    eras: Arc<EraMonitor>,
    pub(super) pulling: AtomicBool,
}

impl GossipState {
    /// Creates the state of a host whose server has not reported yet.
    pub fn new(mesh: &MeshState, socket: UdpSocket, eras: Arc<EraMonitor>) -> Self {
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
            datagram_format: datagram::FORMAT,
            is_restoring: true,
        };
        mesh.directory().merge(&own);
        Self {
            socket,
            eras,
            core: Mutex::new(GossipCore {
                own,
                peers: BTreeMap::new(),
                reaches_store: true,
                announced: AnnouncedConfiguration::default(),
                restore_sources: 0,
                empty_sources: BTreeSet::new(),
                restore: RestoreState::Pending,
                has_served: false,
                random: Pcg32::seed_from_u64(epoch),
            }),
            pulling: AtomicBool::new(false),
        }
    }

    /// Epoch of this host's record; it grows with each start of the daemon.
    pub fn epoch(&self) -> u64 {
        self.lock().own.epoch
    }

    /// Whether the daemon at `source` is to be asked for the state of an earlier process.
    pub(super) fn needs_restore(&self, source: SocketAddr) -> bool {
        let core = self.lock();
        match core.restore {
            RestoreState::Pending => core.restore_sources < MAX_RESTORE_SOURCES,
            RestoreState::Doubtful => !core.empty_sources.contains(&source),
            RestoreState::TimedOut | RestoreState::Restored => false,
        }
    }

    /// Records that the store has been read, but may lack what an earlier process at this address has written; other
    /// daemons are asked for it.
    pub fn doubt_store(&self, mesh: &MeshState) {
        {
            let mut core = self.lock();
            if core.restore == RestoreState::Pending {
                core.restore = RestoreState::Doubtful;
            }
        }
        self.end_doubt(mesh);
    }

    /// Records that the daemon at `source` knows no server of this host.
    ///
    /// Where the store was read as well, there has been no server once enough daemons say so. Where it was not, they may just
    /// not have heard of it.
    pub(super) fn record_unknown_server(&self, mesh: &MeshState, source: SocketAddr) {
        self.lock().empty_sources.insert(source);
        self.end_doubt(mesh);
    }

    fn end_doubt(&self, mesh: &MeshState) {
        let others = mesh.directory().len().saturating_sub(1);
        let needed = others.clamp(1, MAX_RESTORE_SOURCES as usize);
        let is_over = {
            let core = self.lock();
            core.restore == RestoreState::Doubtful && core.empty_sources.len() >= needed
        };
        if is_over {
            self.set_restored(mesh);
        }
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
        self.lock().restore.is_over()
    }

    /// Whether the store or another daemon held the state that an earlier process at this address acknowledged.
    pub fn is_state_known(&self) -> bool {
        self.lock().restore == RestoreState::Restored
    }

    /// Ends the restoring of an earlier process's state; from now on the server may get requests.
    pub fn set_restored(&self, mesh: &MeshState) {
        self.end_restore(mesh, RestoreState::Restored);
    }

    fn end_restore(&self, mesh: &MeshState, end: RestoreState) {
        let earlier = std::mem::replace(&mut self.lock().restore, end);
        if !earlier.is_over() {
            self.apply_server(mesh);
        }
    }

    /// Restores the record of a server that an earlier process at this address acknowledged.
    pub fn restore_server(&self, mesh: &MeshState, server: ServerRecord) {
        let is_changed = mesh.tracker().restore(server);
        if is_changed && self.is_restored() {
            log::warn!("an earlier process's record of the server replaces the reported one");
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
        if let (Some(slots), Some(record)) = (slots, &record) {
            let mut core = self.lock();
            // A server that started before this process may run requests that an earlier process has sent.
            let is_inherited = !core.has_served && record.born_ms < core.own.epoch;
            core.has_served = true;
            if is_inherited && mesh.estimates_loads() {
                mesh.gate.inherit(slots);
            }
        }
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
        core.own.is_restoring = !core.restore.is_over();
        core.own.revision += 1;
        mesh.directory().merge(&core.own);
    }

    /// Handles a record of this host that another daemon holds from an earlier process: restores its server and, if
    /// it is newer than the current record, raises the epoch above it.
    pub fn refute(&self, mesh: &MeshState, known: &HostRecord) {
        if !known.is_plausible() {
            log::warn!(known = known.epoch; "implausible record of this host ignored");
            return;
        }
        if let Some(server) = &known.server {
            self.restore_server(mesh, server.clone());
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

    /// Whether the store answered this daemon at its last try; true if it has not tried.
    pub fn reaches_store(&self) -> bool {
        self.lock().reaches_store
    }

    /// Whether this host reads the store on behalf of its data centre.
    pub fn is_reader(&self, mesh: &MeshState) -> bool {
        let now_ms = mesh.now_ms();
        let directory = mesh.directory();
        let core = self.lock();
        let own = &core.own;
        let silence_ms = READER_SILENCE_TIMEOUT_MS
            * directory
                .interval_factors(&own.data_centre)
                .same_data_centre;
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

    /// Live hosts that reach the store, this one included; empty if this one has no contact to the fleet.
    pub fn store_hosts(&self, mesh: &MeshState) -> Vec<IpAddr> {
        let now_ms = mesh.now_ms();
        let directory = mesh.directory();
        let core = self.lock();
        let factors = directory.interval_factors(&core.own.data_centre);
        let is_live = |entry: &&HostEntry| {
            let is_same_data_centre = entry.record.data_centre == core.own.data_centre;
            let silence_ms = READER_SILENCE_TIMEOUT_MS * factors.of(is_same_data_centre);
            entry
                .last_received_ms
                .is_some_and(|received_ms| now_ms.saturating_sub(received_ms) < silence_ms)
        };
        let is_other = |entry: &&HostEntry| entry.record.address != core.own.address;
        let others = directory.entries().filter(is_other);
        let live: Vec<&HostEntry> = others.filter(is_live).collect();
        let has_contact = live.len() * MIN_CONTACT_DIVISOR >= directory.len().saturating_sub(1);
        if !has_contact || !core.reaches_store || mesh.is_leaving() {
            return Vec::new();
        }
        let usable = live
            .iter()
            .filter(|entry| entry.reaches_store && !entry.record.is_leaving)
            .map(|entry| entry.record.address);
        usable.chain([core.own.address]).collect()
    }

    /// Another daemon of the data centre to fetch the first configuration from: of two random ones, the one with the
    /// faster link.
    pub fn configuration_source(&self, mesh: &MeshState) -> Option<SocketAddr> {
        let directory = mesh.directory();
        let mut core = self.lock();
        let is_source = |entry: &&HostEntry| {
            entry.record.data_centre == core.own.data_centre
                && entry.record.address != core.own.address
                && !entry.record.is_leaving
        };
        let sources: Vec<&HostRecord> = directory
            .entries()
            .filter(is_source)
            .map(|entry| &entry.record)
            .collect();
        let count = u32::try_from(sources.len()).unwrap_or(u32::MAX);
        let mut random = || Some(sources[core.random.next_u32().checked_rem(count)? as usize]);
        let (first, second) = (random()?, random()?);
        let source = match first.link_mbps >= second.link_mbps {
            true => first,
            false => second,
        };
        Some(source.forward)
    }

    /// Sends a datagram to all other hosts, with the configuration version and the state of the store.
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

    pub(super) async fn send_to(
        &self,
        mesh: &MeshState,
        address: IpAddr,
        correction: Option<HostRecord>,
    ) {
        let receiver = {
            let directory = mesh.directory();
            directory.get(address).map(|entry| Receiver {
                address: entry.record.gossip,
                known: Some(entry.record.order()),
                datagram_format: entry.record.datagram_format,
            })
        };
        if let Some(receiver) = receiver {
            self.send(mesh, &receiver, correction).await;
        }
    }

    pub(super) async fn send(
        &self,
        mesh: &MeshState,
        receiver: &Receiver,
        correction: Option<HostRecord>,
    ) {
        let load = mesh.gate.load();
        let routes = MAX_REPORTED_ROUTES.max(rollout::reported_routes(mesh));
        let service_times = mesh.gate.service_time_estimates(routes);
        let is_json = receiver.datagram_format < datagram::FORMAT;
        let (order, record, reaches_store) = {
            let mut core = self.lock();
            let order = core.own.order();
            let peer = core.peers.entry(receiver.address.ip()).or_default();
            let needs_record = is_json || !peer.has_confirmed(order);
            peer.record_sent(mesh.now_ms(), order);
            let record = needs_record.then(|| core.own.clone());
            (order, record, core.reaches_store)
        };
        let receiver_address = receiver.address.ip();
        let freshness = mesh.knowledge().report_to(boot_ms(), receiver_address);
        let message = StatusMessage {
            order,
            record,
            load,
            service_times,
            health: mesh.health(),
            configuration: mesh.version(),
            reaches_store,
            known: receiver.known,
            correction,
            freshness,
            rollouts: rollout::news(mesh),
            store_era: self.eras.proved(),
        };
        let bytes = match is_json {
            true => message.encode_json(),
            false => Ok(message.encode()),
        };
        let bytes = match bytes {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!(error:% = error; "datagram not serialised");
                return;
            }
        };
        if let Err(error) = self.socket.send_to(&bytes, receiver.address).await {
            log::debug!(host:% = receiver.address, error:% = error; "datagram not sent");
        }
    }

    /// Hosts that a datagram is due to.
    fn due(&self, mesh: &MeshState) -> Vec<IpAddr> {
        let now_ms = mesh.now_ms();
        let directory = mesh.directory();
        let mut core = self.lock();
        let own_order = core.own.order();
        let factors = directory.interval_factors(&core.own.data_centre);
        let mut due = Vec::new();
        for entry in directory.entries() {
            let address = entry.record.address;
            if address == core.own.address {
                continue;
            }
            let is_same_data_centre = entry.record.data_centre == core.own.data_centre;
            let input = DueInput {
                now_ms,
                own: own_order,
                last_received_ms: entry.last_received_ms,
                is_same_data_centre,
                interval_factor: factors.of(is_same_data_centre),
            };
            if core.peers.entry(address).or_default().is_due(&input) {
                due.push(address);
            }
        }
        due
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, GossipCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends due datagrams for as long as the process runs.
pub async fn send(control: Arc<ControlState>) {
    let mut configured_ms = None;
    loop {
        sleep(TICK_INTERVAL).await;
        let mesh = &control.mesh;
        if configured_ms.is_none() && mesh.version() > 0 {
            configured_ms = Some(mesh.now_ms());
        }
        let is_over = configured_ms
            .is_some_and(|since_ms| mesh.now_ms().saturating_sub(since_ms) > RESTORE_TIMEOUT_MS);
        if is_over && !control.gossip.is_restored() {
            log::warn!("no state of an earlier process restored; accepting the server's reports");
            control.gossip.end_restore(mesh, RestoreState::TimedOut);
        }
        for address in control.gossip.due(mesh) {
            control.gossip.send_to(mesh, address, None).await;
        }
    }
}
