//! Choice of hosts, shares of split routes and the retry budget.
use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jayrack_mesh::{
    HostPicker, LoadShedder, MeshRoutes, RetryBudget, SplitChooser,
    budget::{self, RequestKind},
    health::ServerHealth,
    hosts::HostDirectory,
    pick::{
        AvoidanceChange, FreeHost, HostCandidate, HostOutcome, HostReport, LoadJudgement,
        PickRequest,
    },
    rollout::versions::{ServerGroups, VersionedServer},
    routes::MeshRoute,
};

use crate::{
    settings::{BalancingMode, BoundSettings},
    shared::MeshState,
};

/// Silence timeout in a small fleet, in milliseconds: after three missing status datagrams a host is used only
/// if there is no other.
const SILENCE_TIMEOUT_MS: u64 = 3_500;

/// Maximum number of hosts with free slots that a reply names.
const MAX_NAMED_HOSTS: usize = 2;

/// A chosen host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickedHost {
    /// Index among the candidates.
    pub index: usize,
    /// Whether the service has free slots by recent reports.
    pub has_free_slots: bool,
}

/// Stateful decisions of the ingress: choice of services and hosts, and the retry budget.
#[derive(Debug)]
pub struct IngressRouter {
    core: Mutex<RouterCore>,
    mesh: Arc<MeshState>,
}

#[derive(Debug)]
struct RouterCore {
    picker: HostPicker,
    budget: RetryBudget,
    splits: SplitChooser,
    shedder: LoadShedder,
}

impl IngressRouter {
    /// Creates a router without observations.
    pub fn new(mesh: Arc<MeshState>, seed: u64) -> Self {
        let judgement = match mesh.settings.balancing {
            BalancingMode::Reported => LoadJudgement::Reported,
            BalancingMode::Estimated => LoadJudgement::Estimated,
        };
        let core = RouterCore {
            picker: HostPicker::with_judgement(seed, judgement),
            budget: RetryBudget::new(budget_options(&mesh.settings.bounds)),
            splits: SplitChooser::default(),
            shedder: LoadShedder::default(),
        };
        Self {
            core: Mutex::new(core),
            mesh,
        }
    }

    /// Applies changed bounds to the retry budget.
    pub fn set_bounds(&self, bounds: &BoundSettings) {
        self.lock().budget.set_options(budget_options(bounds));
    }

    /// The service that takes the next request of `route`.
    pub fn choose_service<'a>(&self, route: &'a MeshRoute) -> Option<&'a str> {
        self.lock().splits.choose(route)
    }

    /// Hosts with a server of `service` that may receive the request, except the `excluded` ones, and the
    /// best; the request counts as sent there. Without a usable one, all those that may receive it are returned.
    pub fn choose(
        &self,
        service: &str,
        excluded: &[IpAddr],
        request: &PickRequest<'_>,
    ) -> (Vec<HostCandidate>, Option<PickedHost>) {
        let is_enabled = self.mesh.rollouts().is_enabled();
        let (mut candidates, versions) = {
            let now_ms = self.mesh.now_ms();
            let directory = self.mesh.directory();
            let candidates = host_candidates(&directory, &self.mesh, now_ms, service, excluded);
            let versions = is_enabled.then(|| server_versions(&directory, &candidates));
            (candidates, versions.unwrap_or_default())
        };
        let Some(groups) = self.version_groups(service, &versions) else {
            let picked = self.pick(&candidates, request);
            return (candidates, picked);
        };
        for (number, group) in groups.iter().enumerate() {
            let is_last = number + 1 == groups.len();
            let usable = group.iter().map(|index| candidates[*index].clone());
            // An unproven version gets no requests whose answer may not arrive.
            let usable: Vec<HostCandidate> = usable
                .filter(|candidate| is_last || !candidate.is_unresponsive)
                .collect();
            if let Some(picked) = self.pick(&usable, request) {
                let address = usable[picked.index].address;
                let chosen = versions.iter().find(|server| server.address == address);
                if let Some(server) = chosen {
                    let now_ms = self.mesh.boot_now_ms();
                    let mut rollouts = self.mesh.rollouts();
                    rollouts.record_sent(now_ms, service, &server.version);
                }
                return (usable, Some(picked));
            }
        }
        let mut index = 0;
        candidates.retain(|_| {
            index += 1;
            groups.iter().any(|group| group.contains(&(index - 1)))
        });
        (candidates, None)
    }

    /// Hosts with a server of `service` of any version, except the `excluded` ones.
    fn candidates(&self, service: &str, excluded: &[IpAddr]) -> Vec<HostCandidate> {
        let now_ms = self.mesh.now_ms();
        let directory = self.mesh.directory();
        host_candidates(&directory, &self.mesh, now_ms, service, excluded)
    }

    /// Candidates by the versions that may receive requests; `None` if all may.
    fn version_groups(&self, service: &str, versions: &[ServerVersion]) -> Option<ServerGroups> {
        let rollouts = self.mesh.rollouts();
        if !rollouts.is_enabled() {
            return None;
        }
        let servers: Vec<VersionedServer<'_>> = versions
            .iter()
            .map(|server| VersionedServer {
                address: server.address,
                service,
                version: &server.version,
                born_ms: server.born_ms,
            })
            .collect();
        rollouts.groups(self.mesh.boot_now_ms(), service, &servers)
    }

    /// Index of the best of `candidates`.
    pub fn pick(
        &self,
        candidates: &[HostCandidate],
        request: &PickRequest<'_>,
    ) -> Option<PickedHost> {
        let now_ms = self.mesh.now_ms();
        let mut core = self.lock();
        for (address, (instance, report, health)) in self.mesh.take_reports() {
            core.picker.reported(now_ms, address, &instance, &report);
            let change = core.picker.health(now_ms, address, &instance, health);
            log_avoidance(address, &instance, change);
        }
        let index = core.picker.pick(now_ms, candidates, request)?;
        let has_free_slots = core.picker.has_free_slots();
        if let Some(age_ms) = core.picker.load_age_ms(now_ms, &candidates[index]) {
            self.mesh.metrics.load_age.observe(age_ms as f64 / 1_000.0);
        }
        Some(PickedHost {
            index,
            has_free_slots,
        })
    }

    /// Other hosts of `service` that have free slots by fresh knowledge, for a reply about `route`.
    pub fn free_hosts(&self, service: &str, route: &str) -> Vec<FreeHost> {
        let now_ms = self.mesh.now_ms();
        let local = self.mesh.settings.host.address;
        let candidates = self.candidates(service, &[local]);
        let picker = &mut self.lock().picker;
        picker.free_hosts(now_ms, &candidates, route, MAX_NAMED_HOSTS)
    }

    /// Whether a host of `service` has free slots by fresh knowledge.
    pub fn knows_free_host(&self, service: &str, route: &str) -> bool {
        let now_ms = self.mesh.now_ms();
        let candidates = self.candidates(service, &[]);
        self.lock()
            .picker
            .knows_free_host(now_ms, &candidates, route)
    }

    /// Records the health of a server that its owner reported in a reply.
    pub fn health(&self, candidate: &HostCandidate, health: ServerHealth) {
        let now_ms = self.mesh.now_ms();
        let (address, instance) = (candidate.address, &candidate.instance);
        self.lock().picker.health(now_ms, address, instance, health);
    }

    /// Records hosts with free slots that the reply of another daemon named.
    pub fn named(&self, named: &[FreeHost]) {
        let now_ms = self.mesh.now_ms();
        let slots: Vec<(IpAddr, u32)> = {
            let directory = self.mesh.directory();
            let servers = named.iter().filter_map(|host| {
                let server = directory.get(host.address)?.record.server.as_ref()?;
                Some((host.address, server.slots))
            });
            servers.collect()
        };
        let slots_of = |address| {
            let mut known = slots.iter();
            let (_, slots) = known.find(|(known, _)| *known == address)?;
            Some(*slots)
        };
        self.lock().picker.named(now_ms, named, slots_of);
    }

    /// Whether a new request is refused without being forwarded, since its service is full; returns the time after which
    /// it may be admitted, in milliseconds.
    pub fn shed(&self, service: &str, rank: u8) -> Option<u64> {
        let now_ms = self.mesh.now_ms();
        let mut core = self.lock();
        let fraction = core.picker.random_fraction();
        core.shedder.shed(now_ms, service, rank, fraction)
    }

    /// Records whether a host had room for a new request; otherwise the time after which one may have, in milliseconds.
    pub fn record_room(&self, service: &str, rank: u8, refused_for_ms: Option<u64>) {
        let now_ms = self.mesh.now_ms();
        let shedder = &mut self.lock().shedder;
        match refused_for_ms {
            None => shedder.accepted(now_ms, service, rank),
            Some(retry_after_ms) => shedder.refused(now_ms, service, rank, retry_after_ms),
        }
    }

    /// Time after which one of `candidates` may have capacity, in milliseconds.
    pub fn earliest_retry_ms(&self, candidates: &[HostCandidate]) -> Option<u64> {
        let now_ms = self.mesh.now_ms();
        self.lock().picker.earliest_retry_ms(now_ms, candidates)
    }

    /// Adds jitter to `retry_after_ms`, so that refused callers do not retry at the same time.
    pub fn jittered_ms(&self, retry_after_ms: u64) -> u64 {
        self.lock().picker.jittered_ms(retry_after_ms)
    }

    /// Records that a request is sent to `candidate`.
    pub fn started(&self, candidate: &HostCandidate) {
        self.lock().picker.started(candidate);
    }

    /// Records how a request ended.
    pub fn finished(
        &self,
        candidate: &HostCandidate,
        request: &PickRequest<'_>,
        outcome: HostOutcome,
        report: Option<HostReport>,
    ) {
        let now_ms = self.mesh.now_ms();
        self.lock()
            .picker
            .finished(now_ms, candidate, request, (outcome, report));
    }

    /// Counts a request for `service`, or a nested call whose parent request is itself a retry.
    pub fn record_request(&self, service: &str, kind: RequestKind, is_parent_retry: bool) {
        let now_ms = self.mesh.now_ms();
        let budget = &mut self.lock().budget;
        if is_parent_retry {
            budget.record_nested_retry(now_ms, service);
        } else {
            budget.record_request(now_ms, service, kind);
        }
    }

    /// Takes one retry at `service` from the budget.
    pub fn try_retry(&self, service: &str, kind: RequestKind) -> bool {
        let now_ms = self.mesh.now_ms();
        let hosts = self.mesh.directory().len();
        self.lock().budget.try_retry(now_ms, service, hosts, kind)
    }

    /// Records the size of an answer of `route` that has been received completely, in bytes.
    pub fn record_answer_size(&self, route: &str, bytes: u64) {
        self.lock().picker.record_answer_size(route, bytes);
    }

    /// Average service time of requests of `route`, in milliseconds; `None` without observations.
    pub fn known_service_ms(&self, route: &str) -> Option<f64> {
        self.lock().picker.known_service_ms(route)
    }

    /// Average service time of requests of `route`, in milliseconds.
    pub fn service_ms(&self, route: &str) -> f64 {
        self.lock().picker.service_ms(route)
    }

    /// Removes the state of routes that are not in `routes` and of hosts that are no longer known.
    pub fn retain(&self, routes: &MeshRoutes) {
        let hosts: Vec<IpAddr> = {
            let directory = self.mesh.directory();
            directory
                .entries()
                .map(|entry| entry.record.address)
                .collect()
        };
        let mut core = self.lock();
        let is_kept = |name: &str| routes.contains(name);
        core.picker
            .retain(|address| hosts.contains(address), is_kept);
        core.splits.retain(is_kept);
        core.shedder.retain_recent(self.mesh.now_ms());
    }

    fn lock(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn log_avoidance(address: IpAddr, instance: &str, change: Option<AvoidanceChange>) {
    if let Some(change) = change {
        log::info!(
            host:% = address,
            instance = instance,
            reason:? = change.reason,
            relative_time:% = format_args!("{:.2}", change.service_ratio),
            failures:% = format_args!("{:.2}", change.failure_fraction);
            "share of a server changed"
        );
    }
}

fn budget_options(bounds: &BoundSettings) -> budget::Options {
    budget::Options {
        window_ms: (bounds.repeat_window_s * 1_000.0) as u64,
        retries_per_request: bounds.repeat_ratio,
        fixed_retries: bounds.repeat_slack,
    }
}

/// Version of a candidate's server.
#[derive(Debug)]
struct ServerVersion {
    address: IpAddr,
    version: String,
    born_ms: u64,
}

fn server_versions(directory: &HostDirectory, candidates: &[HostCandidate]) -> Vec<ServerVersion> {
    let versions = candidates.iter().map(|candidate| {
        let entry = directory.get(candidate.address);
        let server = entry.and_then(|entry| entry.record.server.as_ref());
        ServerVersion {
            address: candidate.address,
            version: server.map_or_else(String::new, |server| server.version.clone()),
            born_ms: server.map_or(0, |server| server.born_ms),
        }
    });
    versions.collect()
}

fn host_candidates(
    directory: &HostDirectory,
    mesh: &MeshState,
    now_ms: u64,
    service: &str,
    excluded: &[IpAddr],
) -> Vec<HostCandidate> {
    let local = mesh.settings.host.address;
    let factors = directory.interval_factors(&mesh.settings.host.data_centre);
    let usable = directory.entries().filter_map(|entry| {
        let record = &entry.record;
        let server = record.serving(service)?;
        if excluded.contains(&record.address) {
            return None;
        }
        let is_same_data_centre = record.data_centre == mesh.settings.host.data_centre;
        let silence_timeout_ms = SILENCE_TIMEOUT_MS * factors.of(is_same_data_centre);
        let is_silent = entry
            .last_received_ms
            .is_some_and(|received_ms| now_ms.saturating_sub(received_ms) > silence_timeout_ms);
        let is_local = record.address == local;
        Some(HostCandidate {
            address: record.address,
            instance: server.instance.clone(),
            slots: server.slots,
            is_same_data_centre,
            is_local,
            is_unresponsive: !is_local && (is_silent || now_ms < entry.backoff_until_ms),
        })
    });
    usable.collect()
}
