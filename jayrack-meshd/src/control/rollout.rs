//! Driver of roll-outs: evidence, phases and their distribution. The decisions are in [`jayrack_mesh::rollout`].
use std::{
    net::IpAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use jayrack_mesh::{
    gate::ServiceTimeEstimate,
    hosts::HostRecord,
    rollout::{
        RolloutOrder, RolloutPhase,
        evidence::VersionVerdict,
        leader,
        phase::LeaderStep,
        status::{MergeEffect, RolloutStatus},
        versions::VersionedServer,
    },
};
use jayrack_platform::rollout::RecordedState;
use tokio::time::{sleep, timeout};

use super::{
    ControlState,
    datagram::StatusMessage,
    rollout_record::{self, StateCall},
    sync,
};
use crate::shared::MeshState;

/// Interval between two checks for a due step.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest interval between two datagrams with evidence to a leader.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(50);
/// Hosts of the ranking that receive evidence at once: the leader and its first substitute.
const EVIDENCE_RECEIVERS: usize = 2;
/// Interval between two attempts to learn the end of a roll-out that this daemon missed.
const STALE_PULL_INTERVAL: Duration = Duration::from_secs(5);
/// Time after the first configuration for which a daemon waits for the other daemons' records before it decides which
/// version is in use.
const SETTLING_TIMEOUT_MS: u64 = 3_000;
/// Hosts that a daemon must have heard for each one that it has not before it decides earlier.
const MIN_HEARD_PER_SILENT_HOST: usize = 9;
/// Routes whose service time a daemon reports during a roll-out, so that the new version is compared on each.
const REPORTED_ROUTES: usize = 6;
/// Rank of the host that announces a learned phase again, in case the leader failed while it announced it.
const REPEATING_RANK: usize = 1;

/// State of the driver.
#[derive(Debug, Default)]
struct RolloutDriver {
    settling_since_ms: Option<u64>,
    was_stopped: bool,
    is_drain_reported: bool,
    pulled_at: Option<Instant>,
}

/// Carries out roll-outs for as long as the process runs.
pub async fn drive(control: Arc<ControlState>) {
    let mut driver = RolloutDriver::default();
    loop {
        // Bad answers are passed on at once, everything else at the next tick.
        let waiting = control.mesh.evidence_changed.notified();
        let is_notified = timeout(TICK_INTERVAL, waiting).await.is_ok();
        let is_notified = record_overdue(&control.mesh) || is_notified;
        if !control.mesh.rollouts().is_enabled() {
            sleep(TICK_INTERVAL).await;
            continue;
        }
        driver.observe_servers(&control);
        let (services, lost_states) = {
            let (now_ms, era) = (control.mesh.boot_now_ms(), control.store.eras().proved());
            let mut rollouts = control.mesh.rollouts();
            rollouts.observe_era(now_ms, era);
            (rollouts.unfinished(), rollouts.lost_states())
        };
        for service in &lost_states {
            take_step(&control, service).await;
        }
        for service in &services {
            driver.judge(&control, service).await;
            take_step(&control, service).await;
            driver.report_drained(&control, service).await;
        }
        if services.is_empty() {
            // The next roll-out is reported from the beginning.
            driver.was_stopped = false;
            driver.is_drain_reported = false;
        }
        driver.recover(&control, &services);
        if is_notified {
            driver.report_evidence(&control).await;
            sleep(EVIDENCE_INTERVAL).await;
        }
    }
}

impl RolloutDriver {
    /// Updates the versions in use from the known hosts.
    fn observe_servers(&mut self, control: &ControlState) {
        let mesh = &control.mesh;
        let now_ms = mesh.boot_now_ms();
        if self.settling_since_ms.is_none() && mesh.version() > 0 {
            self.settling_since_ms = Some(now_ms);
        }
        let directory = mesh.directory();
        let local = mesh.settings.host.address;
        let others = directory.entries().filter(|e| e.record.address != local);
        let (heard, silent): (Vec<_>, Vec<_>) =
            others.partition(|entry| entry.last_received_ms.is_some());
        let is_heard =
            *control.registered.borrow() && heard.len() >= silent.len() * MIN_HEARD_PER_SILENT_HOST;
        let is_settled = self.settling_since_ms.is_some_and(|since_ms| {
            is_heard || now_ms.saturating_sub(since_ms) >= SETTLING_TIMEOUT_MS
        });
        let servers: Vec<VersionedServer<'_>> = directory
            .entries()
            .filter_map(|entry| {
                let server = entry.record.server.as_ref()?;
                entry.record.serving(&server.service)?;
                Some(VersionedServer {
                    address: entry.record.address,
                    service: &server.service,
                    version: &server.version,
                    born_ms: server.born_ms,
                })
            })
            .collect();
        let mut rollouts = mesh.rollouts();
        rollouts.observe_servers(now_ms, &servers, is_settled);
        rollouts.retain_hosts(|address| directory.get(address).is_some());
    }

    /// Stops the new version on clear evidence. Any daemon does so, since the evidence is the same everywhere.
    async fn judge(&mut self, control: &ControlState, service: &str) {
        let mesh = &control.mesh;
        let now_ms = mesh.boot_now_ms();
        let version = server_version(mesh);
        let own = (mesh.settings.server.service.as_str(), version.as_str());
        let is_bad = {
            let mut rollouts = mesh.rollouts();
            let status = rollouts.status(now_ms, service, false, own);
            let evidence = status.and_then(|status| status.evidence);
            let verdict = rollouts.verdict(now_ms, service, evidence.as_ref());
            let replaces = rollouts.rollout(service).is_some_and(|(order, _)| {
                rollouts.baseline(service) != Some(&order.target_version)
            });
            replaces && verdict == VersionVerdict::Bad
        };
        if is_bad {
            enter_current(control, service, RolloutPhase::RollingBack).await;
        }
    }

    /// Sends evidence on the server beside the daemon: to the leader, and to all if the server gets no more requests.
    async fn report_evidence(&mut self, control: &ControlState) {
        let service = &control.mesh.settings.server.service;
        let is_stopped = control.mesh.rollouts().is_stopped(service);
        let was_stopped = std::mem::replace(&mut self.was_stopped, is_stopped);
        if is_stopped && !was_stopped {
            log::warn!(service = service.as_str(); "bad answers of the new version, no more requests to the server");
            control.mesh.metrics.count_state_change("rollout-stopped");
            return control.gossip.announce(&control.mesh).await;
        }
        send_to_leaders(control, service).await;
    }

    /// Tells the leader that the old server beside the daemon has finished its requests.
    async fn report_drained(&mut self, control: &ControlState, service: &str) {
        let mesh = &control.mesh;
        if mesh.settings.server.service != service {
            return;
        }
        let is_drained = news(mesh).iter().any(|status| status.is_drained);
        let was_drained = std::mem::replace(&mut self.is_drain_reported, is_drained);
        if is_drained && !was_drained {
            let local = mesh.settings.host.address;
            mesh.rollouts().set_drained(service, local);
            send_to_leaders(control, service).await;
        }
    }

    /// Fetches the roll-outs from another daemon if this one has missed the end of one.
    fn recover(&mut self, control: &Arc<ControlState>, services: &[String]) {
        let mesh = &control.mesh;
        let now_ms = mesh.boot_now_ms();
        let is_stale = services
            .iter()
            .any(|service| mesh.rollouts().is_stale(now_ms, service));
        let is_recent = self
            .pulled_at
            .is_some_and(|at| at.elapsed() < STALE_PULL_INTERVAL);
        if !is_stale || is_recent {
            return;
        }
        self.pulled_at = Some(Instant::now());
        if let Some(source) = control.gossip.configuration_source(mesh) {
            let control = control.clone();
            tokio::spawn(async move { sync::pull_rollouts(&control, source).await });
        }
    }
}

/// Records running requests that already take too long; returns whether there are any.
fn record_overdue(mesh: &MeshState) -> bool {
    let version = server_version(mesh);
    let (now_ms, is_warming_up) = (mesh.boot_now_ms(), mesh.is_warming_up());
    let mut rollouts = mesh.rollouts();
    rollouts.record_overdue(now_ms, &version, is_warming_up)
}

/// Takes the step of a roll-out that is due at this host.
async fn take_step(control: &Arc<ControlState>, service: &str) {
    let mesh = &control.mesh;
    let local = mesh.settings.host.address;
    let ranking = leader::leaders(service, &control.gossip.store_hosts(mesh), usize::MAX);
    let Some(rank) = ranking.iter().position(|address| *address == local) else {
        return;
    };
    let old_hosts = old_hosts(mesh, service);
    let view = mesh
        .rollouts()
        .view(mesh.boot_now_ms(), service, rank, &old_hosts);
    let step = view.map_or(LeaderStep::Wait, |view| view.step());
    match step {
        LeaderStep::Wait => {}
        LeaderStep::Enter(phase) => enter_current(control, service, phase).await,
        LeaderStep::ReadState => rollout_record::start(control, service, StateCall::Read),
        LeaderStep::RecordRunning => {
            let call = StateCall::Record(RecordedState::Running);
            rollout_record::start(control, service, call);
        }
        LeaderStep::RecordCompleted => {
            let call = StateCall::Record(RecordedState::Completed);
            rollout_record::start(control, service, call);
        }
        LeaderStep::RecordRolledBack => {
            let call = StateCall::Record(RecordedState::RolledBack);
            rollout_record::start(control, service, call);
        }
        LeaderStep::RestoreState => rollout_record::start(control, service, StateCall::Restore),
    }
}

/// Live hosts with a ready server of `service` that runs another version than the ordered one.
fn old_hosts(mesh: &MeshState, service: &str) -> Vec<IpAddr> {
    let target = {
        let rollouts = mesh.rollouts();
        let rollout = rollouts.rollout(service);
        rollout.map(|(order, _)| order.target_version.clone())
    };
    let directory = mesh.directory();
    let old = directory.entries().filter(|entry| {
        let server = entry.record.serving(service);
        server.is_some_and(|server| Some(&server.version) != target.as_ref())
    });
    old.map(|entry| entry.record.address).collect()
}

async fn enter_current(control: &ControlState, service: &str, phase: RolloutPhase) {
    let order = {
        let rollouts = control.mesh.rollouts();
        rollouts.rollout(service).map(|(order, _)| order.clone())
    };
    if let Some(order) = order {
        enter(control, &order, phase).await;
    }
}

/// Enters a phase of `order`, unless a later one is in force, and announces it to all daemons.
pub(super) async fn enter(control: &ControlState, order: &RolloutOrder, phase: RolloutPhase) {
    let mesh = &control.mesh;
    let now_ms = mesh.boot_now_ms();
    let is_entered = mesh.rollouts().enter(now_ms, order, phase);
    if is_entered {
        log_phase(mesh, &order.service);
        control.gossip.announce(mesh).await;
    }
}

fn log_phase(mesh: &MeshState, service: &str) {
    let rollouts = mesh.rollouts();
    let Some((order, phase)) = rollouts.rollout(service) else {
        return;
    };
    log::info!(
        service = service,
        target_version = order.target_version.as_str(),
        offset = order.position.offset,
        phase = phase.name(),
        baseline = rollouts.baseline(service).unwrap_or("");
        "roll-out"
    );
    mesh.metrics.count_state_change(match phase {
        RolloutPhase::Unknown => "rollout-unknown",
        RolloutPhase::Canary => "rollout-canary",
        RolloutPhase::Promoting => "rollout-promoting",
        RolloutPhase::Draining => "rollout-draining",
        RolloutPhase::RollingBack => "rollout-rolling-back",
        RolloutPhase::Completed => "rollout-completed",
        RolloutPhase::RolledBack => "rollout-rolled-back",
    });
}

/// Merges a roll-out that another daemon sent.
pub(super) fn merge(mesh: &MeshState, sender: IpAddr, status: &RolloutStatus) -> MergeEffect {
    let hosts = mesh.directory().len();
    let now_ms = mesh.boot_now_ms();
    let effect = mesh.rollouts().merge(now_ms, sender, status, hosts);
    if effect.is_changed {
        log_phase(mesh, &status.order.service);
    }
    effect
}

/// Handles the roll-outs of a datagram.
pub(super) async fn receive(control: &ControlState, message: &StatusMessage, sender: IpAddr) {
    let mesh = &control.mesh;
    let mut is_behind = false;
    for status in &message.rollouts {
        let effect = merge(mesh, sender, status);
        is_behind |= effect.is_sender_behind;
        if effect.is_changed && is_repeater(control, &status.order.service) {
            control.gossip.announce(mesh).await;
        }
    }
    if is_behind {
        control.gossip.send_to(mesh, sender, None).await;
    }
}

fn is_repeater(control: &ControlState, service: &str) -> bool {
    let local = control.mesh.settings.host.address;
    let candidates = control.gossip.store_hosts(&control.mesh);
    let ranking = leader::leaders(service, &candidates, REPEATING_RANK + 1);
    ranking.get(REPEATING_RANK) == Some(&local)
}

async fn send_to_leaders(control: &ControlState, service: &str) {
    let mesh = &control.mesh;
    let local = mesh.settings.host.address;
    let candidates = control.gossip.store_hosts(mesh);
    for address in leader::leaders(service, &candidates, EVIDENCE_RECEIVERS) {
        if address != local {
            control.gossip.send_to(mesh, address, None).await;
        }
    }
}

/// Records the service times that a daemon reports for a server of this daemon's service.
pub(super) fn record_service_times(
    mesh: &MeshState,
    sender: &HostRecord,
    times: &[ServiceTimeEstimate],
) {
    let Some(server) = &sender.server else {
        return;
    };
    let mut rollouts = mesh.rollouts();
    if !rollouts.is_enabled() || server.service != mesh.settings.server.service {
        return;
    }
    let times = times.iter().map(|t| (t.route.clone(), t.service_ms));
    rollouts.record_service_times(sender.address, (&server.service, &server.version), times);
}

/// Roll-outs that a datagram carries, that of this daemon's service first.
pub(super) fn news(mesh: &MeshState) -> Vec<RolloutStatus> {
    if !mesh.rollouts().is_enabled() {
        return Vec::new();
    }
    let load = mesh.gate.load();
    let is_idle = load.running + load.waiting == 0;
    let version = server_version(mesh);
    let service = mesh.settings.server.service.as_str();
    let now_ms = mesh.boot_now_ms();
    let mut news = mesh.rollouts().news(now_ms, is_idle, (service, &version));
    news.sort_by_key(|status| status.order.service != service);
    news
}

/// Number of routes whose service time this daemon reports because of a roll-out.
pub(super) fn reported_routes(mesh: &MeshState) -> usize {
    let service = &mesh.settings.server.service;
    match mesh.rollouts().needs_evidence(service) {
        true => REPORTED_ROUTES,
        false => 0,
    }
}

fn server_version(mesh: &MeshState) -> String {
    let tracker = mesh.tracker();
    let version = tracker.serving().map(|server| server.version.clone());
    version.unwrap_or_default()
}
