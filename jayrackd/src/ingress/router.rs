//! Choice of servers, retry budget and load shedding of the ingress, behind one lock.
use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use jayrack_config::table::{RouteTable, ServerEntry};
use jayrack_protocol::{RequestId, ResultCode, forward::RequestHead};
use jayrack_traffic::{
    RetryBudget, ServerPicker, ShedLevels,
    class::request_id,
    pick::{self, FinishReport, PickContext, PickResult},
    retry,
    shed::{IngressRequest, ShedDecision},
};
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};

use super::meta::NewIds;
use crate::{clock, owner::answer, settings::PolicyMode, shared::SharedState, traffic::Options};

/// Chooses servers, limits retries and sheds load at the ingress.
#[derive(Debug)]
pub(crate) struct IngressRouter {
    core: Mutex<RouterCore>,
    shared: Arc<SharedState>,
    policy: PolicyMode,
}

#[derive(Debug)]
struct RouterCore {
    picker: ServerPicker,
    budget: RetryBudget,
    shed_levels: ShedLevels,
    /// Position of the round robin under [`PolicyMode::Fifo`], modulo the number of candidates.
    round_robin_index: usize,
    random: Pcg64Mcg,
}

/// Result of a forwarding attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptReport<'a> {
    pub(super) head: &'a RequestHead,
    pub(super) latency_us: u64,
    pub(super) result: PickResult,
    pub(super) load: Option<jayrack_protocol::forward::LoadReport>,
}

impl IngressRouter {
    pub(crate) fn new(options: &Options, shared: Arc<SharedState>) -> Self {
        let picker_options = pick::Options {
            local: shared.local.0,
            ..pick::Options::default()
        };
        let seed = options.seed ^ shared.local.0;
        Self {
            core: Mutex::new(RouterCore {
                picker: ServerPicker::new(picker_options, seed),
                budget: RetryBudget::new(budget_options(options.policy)),
                shed_levels: ShedLevels::new(),
                round_robin_index: 0,
                random: Pcg64Mcg::seed_from_u64(seed.wrapping_add(clock::unix_ms())),
            }),
            shared,
            policy: options.policy,
        }
    }

    /// Creates identifiers for a request received now.
    pub(super) fn new_ids(&self) -> NewIds {
        let mut core = self.lock();
        let random = u128::from(core.random.next_u64()) << 64 | u128::from(core.random.next_u64());
        NewIds {
            request: request_id(clock::unix_ms(), random),
            customer_request: core.random.next_u64(),
        }
    }

    /// Refuses a root request (depth 0) when the owners are too busy for its rank.
    pub(super) fn check_shedding(&self, now_ms: u64, head: &RequestHead) -> Result<(), ResultCode> {
        if head.depth > 0 || self.policy == PolicyMode::Fifo {
            return Ok(());
        }
        let entry = IngressRequest {
            service: &head.service,
            rank: u8::try_from(head.rank).unwrap_or(u8::MAX),
            kind: &head.kind,
            customer: &head.customer,
            customer_request: head.customer_request,
        };
        let decision = self.lock().shed_levels.decide(now_ms, &entry);
        match decision {
            ShedDecision::Admit => Ok(()),
            ShedDecision::Refuse => Err(ResultCode::Shed),
        }
    }

    /// Chooses a server that is not among `excluded`.
    pub(super) fn pick(
        &self,
        now_ms: u64,
        candidates: &[Arc<ServerEntry>],
        excluded: &[String],
        rank: u32,
    ) -> Option<Arc<ServerEntry>> {
        if self.policy == PolicyMode::Fifo {
            return self.next_round_robin(candidates, excluded);
        }
        let context = PickContext {
            data_centre: &self.shared.data_centre,
            region: &self.shared.region,
            excluded,
            rank: u8::try_from(rank).unwrap_or(u8::MAX),
        };
        let index = self.lock().picker.pick(now_ms, candidates, &context)?;
        candidates.get(index).cloned()
    }

    /// Chooses the next server in round-robin order, for [`PolicyMode::Fifo`].
    fn next_round_robin(
        &self,
        candidates: &[Arc<ServerEntry>],
        excluded: &[String],
    ) -> Option<Arc<ServerEntry>> {
        let is_available = |server: &&Arc<ServerEntry>| !excluded.contains(&server.name);
        let available: Vec<&Arc<ServerEntry>> = candidates.iter().filter(is_available).collect();
        let mut core = self.lock();
        core.round_robin_index = core.round_robin_index.wrapping_add(1);
        available
            .get(core.round_robin_index % available.len().max(1))
            .map(|server| (*server).clone())
    }

    /// Counts a first attempt.
    pub(super) fn record_attempt(&self, now_ms: u64) {
        self.lock().budget.record_attempt(now_ms);
    }

    /// Takes a retry from the budget.
    pub(super) fn try_retry(&self, now_ms: u64) -> bool {
        self.lock().budget.try_retry(now_ms)
    }

    /// Records that a request is sent to `server`.
    pub(super) fn started(&self, now_ms: u64, server: &str) {
        self.lock().picker.started(now_ms, server);
    }

    /// Records the result of an attempt and the load that the owner reported.
    pub(super) fn finished(&self, now_ms: u64, end: AttemptReport<'_>) {
        let load = end.load.map(answer::to_level);
        let report = FinishReport {
            latency_us: end.latency_us,
            result: end.result,
            load,
        };
        let mut core = self.lock();
        core.picker.finished(now_ms, &end.head.server, &report);
        if let Some(load) = load {
            core.shed_levels
                .update(&end.head.service, &end.head.server, load, now_ms);
        }
    }

    /// Removes the observations of servers that are not in `table`.
    pub(super) fn forget_absent(&self, table: &RouteTable) {
        let services = table.services.values();
        let servers = services.flat_map(|service| &service.servers);
        let names: BTreeSet<&str> = servers.map(|server| server.name.as_str()).collect();
        self.lock().picker.retain(&names);
    }

    fn lock(&self) -> MutexGuard<'_, RouterCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the retry budget of a policy; [`PolicyMode::Fifo`] retries without a limit.
fn budget_options(policy: PolicyMode) -> retry::Options {
    match policy {
        PolicyMode::Rank => retry::Options::default(),
        PolicyMode::Fifo => retry::Options {
            minimum: u32::MAX,
            ..retry::Options::default()
        },
    }
}

/// Returns the identifier of the request in `head`.
pub(super) fn id_of(head: &RequestHead) -> RequestId {
    RequestId::from_halves(head.request_high, head.request_low)
}
