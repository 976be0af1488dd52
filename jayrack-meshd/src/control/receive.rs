//! Handling of datagrams of other daemons.
use std::{
    net::{IpAddr, SocketAddr},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use jayrack_mesh::{
    hosts::HostRecord,
    pick::HostReport,
    server::ServerPhase,
    status::{ReceivedStatus, RecordOrder},
};
use tokio::time::sleep;

use super::{
    ControlState, allowance,
    announced::ConfigurationSource,
    configuration,
    datagram::{self, StatusMessage},
    gossip::Receiver,
    rollout, sync,
};
use crate::shared::{MeshState, boot_ms};

/// Maximum size of a received datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 4_096;
/// Maximum random delay before a configuration is fetched from another daemon, in milliseconds, so that not all
/// daemons use its link at once; in the meantime a reader of the same data centre may announce the configuration.
const MAX_PULL_JITTER_MS: u64 = 80;
/// Time that a daemon waits for a reader of its own data centre if only another data centre has announced a
/// configuration: such a reader follows within its delay between two reads.
const READER_WAIT: Duration = Duration::from_millis(600);
/// Maximum number of other daemons that are asked for a configuration before the store is.
const MAX_PULL_SOURCES: usize = 2;

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
        if allowance::handle(&control, &buffer[..length], sender) {
            continue;
        }
        match StatusMessage::decode(&buffer[..length]) {
            Ok(message) if is_of(&message, sender) => {
                handle_message(&control, message, sender).await
            }
            Ok(_) => log::warn!(sender:% = sender; "datagram does not match its sender"),
            Err(error) => log::warn!(sender:% = sender, error:% = error; "datagram not decoded"),
        }
    }
}

/// Whether the record of a datagram, if it carries one, is that of the host that sent it.
fn is_of(message: &StatusMessage, sender: SocketAddr) -> bool {
    let record = message.record.as_ref();
    record.is_none_or(|record| record.address == sender.ip())
}

async fn handle_message(control: &Arc<ControlState>, message: StatusMessage, sender: SocketAddr) {
    let mesh = &control.mesh;
    let gossip = &control.gossip;
    let address = sender.ip();
    let now_ms = mesh.now_ms();
    if let Some(correction) = &message.correction {
        gossip.refute(mesh, correction);
    }
    let merged = merge_record(mesh, &message, address);
    if let Some(server) = merged.held.as_ref().and_then(|held| held.server.as_ref()) {
        let report = HostReport {
            load: message.load,
            service_times: message.service_times.clone(),
        };
        mesh.record_report(address, server.instance.clone(), (report, message.health));
    }
    // What hosts that are not in the directory state about clocks and eras is ignored, since datagrams are not authenticated.
    if merged.known.is_some() {
        let in_force = mesh.version();
        let mut knowledge = mesh.knowledge();
        knowledge.receive(boot_ms(), address, &message.freshness, in_force);
        drop(knowledge);
        if let Some(era) = message.store_era {
            control.store.eras().record_stated(era);
        }
    }
    if let Some(held) = &merged.held {
        rollout::record_service_times(mesh, held, &message.service_times);
    }
    rollout::receive(control, &message, address).await;
    let needs_reply = {
        let mut core = gossip.lock();
        let received = ReceivedStatus {
            now_ms,
            own: core.own.order(),
            known: message.known,
            is_newer: merged.is_newer,
            is_sender_outdated: merged.newer.is_some(),
        };
        core.peers.entry(address).or_default().receive(&received)
    };
    match &merged.held {
        // The sender relies on a record that this daemon does not hold; the answer makes it send the record.
        None if merged.newer.is_none() => {
            let receiver = Receiver {
                address: sender,
                known: merged.known,
                datagram_format: datagram::FORMAT,
            };
            gossip.send(mesh, &receiver, None).await;
        }
        _ if needs_reply => gossip.send_to(mesh, address, merged.newer).await,
        _ => {}
    }
    if let Some(held) = &merged.held {
        pull_missing(control, message.configuration, held).await;
    }
}

/// Records of a datagram's sender after it was merged into the directory.
struct MergedRecord {
    /// Record of the order that the datagram states; `None` if this daemon holds another one.
    held: Option<HostRecord>,
    /// Whether it was new to this daemon.
    is_newer: bool,
    /// Order of the record that this daemon holds.
    known: Option<RecordOrder>,
    /// Record that this daemon holds, if it is newer than the sender's.
    newer: Option<HostRecord>,
}

/// Merges the record of a datagram, if it carries one, and records that its sender is live.
fn merge_record(mesh: &MeshState, message: &StatusMessage, address: IpAddr) -> MergedRecord {
    let mut directory = mesh.directory();
    let known = directory.get(address).map(|entry| state_of(&entry.record));
    let is_newer = message
        .record
        .as_ref()
        .is_some_and(|record| directory.merge(record));
    directory.record_received(mesh.now_ms(), address);
    directory.record_store_reachability(address, message.reaches_store);
    let Some(entry) = directory.get(address) else {
        return MergedRecord {
            held: None,
            is_newer,
            known: None,
            newer: None,
        };
    };
    let record = entry.record.clone();
    drop(directory);
    if known.as_ref() != Some(&state_of(&record)) {
        log_change(&record, known.is_none());
        mesh.metrics.count_state_change("host-changed");
    }
    let order = record.order();
    MergedRecord {
        held: (order == message.order).then(|| record.clone()),
        is_newer,
        known: Some(order),
        newer: (order > message.order).then_some(record),
    }
}

/// Starts a task that fetches a newer configuration announced by other daemons and, until the state of an earlier
/// process is restored, the hosts known to the sender. At most one such task runs at a time.
async fn pull_missing(control: &Arc<ControlState>, version: u64, sender: &HostRecord) {
    let (mesh, gossip) = (&control.mesh, &control.gossip);
    let source = sender.forward;
    let is_same_data_centre = sender.data_centre == mesh.settings.host.data_centre;
    let holder = ConfigurationSource {
        address: source,
        link_mbps: sender.link_mbps,
    };
    gossip
        .lock()
        .announced
        .record(version, holder, is_same_data_centre);
    let is_behind = version > mesh.version();
    // A daemon that has just started itself cannot tell what an earlier process here has acknowledged.
    let is_restore_source = !sender.is_restoring;
    let needs_restore = is_restore_source && gossip.needs_restore(source);
    if !is_behind && !needs_restore || gossip.pulling.swap(true, Ordering::AcqRel) {
        return;
    }
    let control = control.clone();
    tokio::spawn(async move {
        let gossip = &control.gossip;
        sleep(Duration::from_millis(gossip.jitter_ms(MAX_PULL_JITTER_MS))).await;
        if is_restore_source && gossip.needs_restore(source) {
            gossip.lock().restore_sources += 1;
            sync::pull_hosts(&control, source).await;
        }
        let is_reader_awaited = {
            let announced = &gossip.lock().announced;
            announced.version > control.mesh.version() && announced.same_data_centre.is_none()
        };
        if is_reader_awaited {
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
