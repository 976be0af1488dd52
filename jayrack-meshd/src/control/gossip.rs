//! Datagrams between daemons: which hosts there are, what their servers say, how busy they are.
//!
//! Each daemon tells the others about itself only. A datagram names the record that its sender knows of
//! the receiver, so that a receiver whose latest record was missed sends it again.
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use jayrack_mesh::{gate::GateLoad, hosts::HostRecord, server::ServerPhase};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time::sleep};

use super::{ControlState, sync};
use crate::{logging, shared::MeshState};

/// Pause between two looks at which hosts are due.
const TICK: Duration = Duration::from_millis(200);
/// Time between two datagrams to a host of the same data centre, in milliseconds.
const NEAR_INTERVAL_MS: u64 = 1_000;
/// Time between two datagrams to a host of another data centre, in milliseconds; they are charged.
const FAR_INTERVAL_MS: u64 = 2_000;
/// Datagrams that a daemon sends in a second at most, besides changes; larger fleets are told less often.
const DATAGRAMS_PER_SECOND: u64 = 30;
/// Time between two datagrams to a host that has not confirmed the latest record, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 200;
/// Time between two datagrams to a host that has been silent for long, in milliseconds.
const SILENT_INTERVAL_MS: u64 = 1_500;
/// Silence after which a host counts as silent for long, in milliseconds.
const LONG_SILENCE_MS: u64 = 5_000;
/// Largest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Time that the store has to deliver a configuration before it is taken from another daemon.
const CONFIGURATION_GRACE: Duration = Duration::from_millis(500);
/// Time after the start after which a server is trusted although no memory of an earlier process could
/// be read, in milliseconds: two reports and their delay.
const MEMORY_TIMEOUT_MS: u64 = 4_000;

/// What one daemon tells another.
#[derive(Debug, Serialize, Deserialize)]
struct StatusMessage {
    record: HostRecord,
    load: [u32; 3],
    /// Version of the configuration in force; 0 before the first one.
    configuration: u64,
    /// Epoch and revision of the receiver's record that the sender knows.
    known: Option<(u64, u64)>,
    /// The receiver's record, if it claims to be older than what the sender knows.
    correction: Option<HostRecord>,
}

#[derive(Debug, Default)]
struct PeerNotes {
    sent_ms: Option<u64>,
    /// Epoch and revision of this host's record that the peer has confirmed.
    confirmed: Option<(u64, u64)>,
}

#[derive(Debug)]
struct GossipCore {
    own: HostRecord,
    peers: BTreeMap<IpAddr, PeerNotes>,
    random: Pcg32,
}

/// This host's record and the datagrams about it.
#[derive(Debug)]
pub struct GossipState {
    socket: UdpSocket,
    core: Mutex<GossipCore>,
    memory_checked: AtomicBool,
    pulling: AtomicBool,
}

impl GossipState {
    /// Creates the record of a host whose server has not reported yet.
    pub fn new(mesh: &MeshState, socket: UdpSocket) -> Self {
        let settings = &mesh.settings;
        let epoch = logging::unix_ms();
        let own = HostRecord {
            address: settings.host.address,
            epoch,
            revision: 0,
            data_centre: settings.host.data_centre.clone(),
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
                random: Pcg32::seed_from_u64(epoch),
            }),
            memory_checked: AtomicBool::new(false),
            pulling: AtomicBool::new(false),
        }
    }

    /// Epoch of this process.
    pub fn epoch(&self) -> u64 {
        self.lock().own.epoch
    }

    /// This host's record.
    pub fn own_record(&self) -> HostRecord {
        self.lock().own.clone()
    }

    /// A random time up to `limit_ms`, in milliseconds.
    pub fn jitter_ms(&self, limit_ms: u64) -> u64 {
        u64::from(self.lock().random.next_u32()) % limit_ms.max(1)
    }

    /// Whether it is known what an earlier process at this address had acknowledged.
    pub fn is_memory_checked(&self) -> bool {
        self.memory_checked.load(Ordering::Acquire)
    }

    /// Notes that the memory of an earlier process was read, and lets the server take work.
    pub fn set_memory_checked(&self, mesh: &MeshState) {
        if !self.memory_checked.swap(true, Ordering::AcqRel) {
            self.apply_server(mesh);
        }
    }

    /// Brings the gate and this host's record in line with what is known of the server.
    pub fn apply_server(&self, mesh: &MeshState) {
        let (record, slots) = {
            let tracker = mesh.tracker();
            let slots = tracker.serving().map(|server| server.slots);
            (tracker.record().cloned(), slots)
        };
        let slots = slots.filter(|_| self.is_memory_checked() && !mesh.is_closing());
        match slots {
            Some(slots) => mesh.gate.open(slots),
            None => mesh.gate.shut(),
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

    /// Takes a record of this host that another daemon knows from an earlier process.
    pub fn refute(&self, mesh: &MeshState, known: &HostRecord) {
        if let Some(server) = &known.server {
            mesh.tracker().restore(server.clone());
        }
        let mut core = self.lock();
        if known.order() > core.own.order() {
            log::info!(epoch = core.own.epoch, known = known.epoch; "record of this host renewed");
            core.own.epoch = known.epoch + 1;
            mesh.directory().merge(&core.own);
        }
    }

    /// Sends this host's record to all others at once.
    pub async fn publish(&self, mesh: &MeshState) {
        let addresses: Vec<IpAddr> = {
            let mut core = self.lock();
            core.own.is_leaving = mesh.is_leaving();
            core.own.revision += 1;
            let directory = &mut mesh.directory();
            directory.merge(&core.own);
            directory
                .entries()
                .map(|entry| entry.record.address)
                .filter(|address| *address != core.own.address)
                .collect()
        };
        for address in addresses {
            self.send_to(mesh, address, None).await;
        }
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
        let record = {
            let mut core = self.lock();
            core.peers.entry(address).or_default().sent_ms = Some(mesh.now_ms());
            core.own.clone()
        };
        let message = StatusMessage {
            record,
            load: [running, waiting, slots],
            configuration: mesh.version(),
            known: Some(known),
            correction,
        };
        let text = match serde_json::to_vec(&message) {
            Ok(text) => text,
            Err(error) => {
                log::error!(error:% = error; "datagram not written");
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
        let spread = (directory.len() as u64 / DATAGRAMS_PER_SECOND).max(1);
        let mut due = Vec::new();
        for entry in directory.entries() {
            let address = entry.record.address;
            if address == core.own.address {
                continue;
            }
            let is_near = entry.record.data_centre == core.own.data_centre;
            let notes = core.peers.entry(address).or_default();
            let is_silent = entry
                .heard_ms
                .is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) > LONG_SILENCE_MS);
            let interval_ms = match (notes.confirmed == Some(own_order), is_silent) {
                (false, false) => RESEND_INTERVAL_MS,
                (false, true) if now_ms < LONG_SILENCE_MS => RESEND_INTERVAL_MS,
                (_, true) => SILENT_INTERVAL_MS * spread,
                (true, false) if is_near => NEAR_INTERVAL_MS * spread,
                (true, false) => FAR_INTERVAL_MS * spread,
            };
            if notes
                .sent_ms
                .is_none_or(|sent_ms| now_ms.saturating_sub(sent_ms) >= interval_ms)
            {
                due.push(address);
            }
        }
        due
    }

    fn lock(&self) -> MutexGuard<'_, GossipCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends datagrams for as long as the process runs.
pub async fn send(control: Arc<ControlState>) {
    loop {
        sleep(TICK).await;
        let mesh = &control.mesh;
        if !control.gossip.is_memory_checked() && mesh.now_ms() > MEMORY_TIMEOUT_MS {
            log::warn!("no memory of an earlier process, trusting the server's reports");
            control.gossip.set_memory_checked(mesh);
        }
        for address in control.gossip.due(mesh) {
            control.gossip.send_to(mesh, address, None).await;
        }
    }
}

/// Receives datagrams for as long as the process runs.
pub async fn receive(control: Arc<ControlState>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match control.gossip.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(error:% = error; "no datagram received");
                continue;
            }
        };
        match serde_json::from_slice::<StatusMessage>(&buffer[..length]) {
            Ok(message) if message.record.address == sender.ip() => take(&control, message).await,
            Ok(_) => log::warn!(sender:% = sender; "datagram about another host"),
            Err(error) => log::warn!(sender:% = sender, error:% = error; "datagram not understood"),
        }
    }
}

async fn take(control: &Arc<ControlState>, message: StatusMessage) {
    let mesh = &control.mesh;
    let gossip = &control.gossip;
    let address = message.record.address;
    let now_ms = mesh.now_ms();
    if let Some(correction) = &message.correction {
        gossip.refute(mesh, correction);
    }
    let (is_changed, is_new, newer) = {
        let mut directory = mesh.directory();
        let known = directory.get(address).map(|entry| belief_of(&entry.record));
        let is_new = known.is_none();
        directory.merge(&message.record);
        let is_changed = known != directory.get(address).map(|entry| belief_of(&entry.record));
        directory.heard(now_ms, address);
        let newer = directory
            .get(address)
            .filter(|entry| entry.record.order() > message.record.order())
            .map(|entry| entry.record.clone());
        (is_changed, is_new, newer)
    };
    if is_changed {
        log_change(&message.record, is_new);
        mesh.metrics.count_belief("host-changed");
    }
    let [running, waiting, slots] = message.load;
    mesh.note_load(
        address,
        GateLoad {
            running,
            waiting,
            slots,
        },
    );
    let is_outdated = {
        let mut core = gossip.lock();
        let own_order = core.own.order();
        let notes = core.peers.entry(address).or_default();
        notes.confirmed = message.known;
        let is_recent = notes
            .sent_ms
            .is_some_and(|sent_ms| now_ms.saturating_sub(sent_ms) < 20);
        message.known != Some(own_order) && !is_recent
    };
    if is_new || is_outdated || newer.is_some() {
        gossip.send_to(mesh, address, newer).await;
    }
    pull_missing(control, &message).await;
}

/// Takes from another daemon what the store did not deliver.
async fn pull_missing(control: &Arc<ControlState>, message: &StatusMessage) {
    let mesh = &control.mesh;
    let is_behind = message.configuration > mesh.version();
    let is_fresh = !control.gossip.is_memory_checked();
    if !is_behind && !is_fresh || control.gossip.pulling.swap(true, Ordering::AcqRel) {
        return;
    }
    let control = control.clone();
    let address = message.record.forward;
    let version = message.configuration;
    tokio::spawn(async move {
        sleep(CONFIGURATION_GRACE).await;
        if !control.gossip.is_memory_checked() {
            sync::pull_hosts(&control, address).await;
        }
        if control.mesh.version() < version {
            sync::pull_configuration(&control, address).await;
        }
        control.gossip.pulling.store(false, Ordering::Release);
    });
}

/// What is believed of a host, without the numbers of its records and reports.
fn belief_of(record: &HostRecord) -> (u64, bool, Option<(String, ServerPhase, u32)>) {
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
