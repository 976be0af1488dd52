//! Load shedding at the ingress, by the load that owners report.
mod fairness;

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::admission::LoadLevel;
use fairness::FairShedding;

/// Age above which a reported level is ignored, in milliseconds.
const MAX_LEVEL_AGE_MS: u64 = 1_000;
/// Fraction of requests that is admitted even if all are to be shed, so that answers keep the levels
/// current; scaled by [`FRACTION_SCALE`].
const MIN_ADMITTED_FRACTION: u64 = 1_311;
/// Fixed-point scale of fractions: 65536 is 1.0.
const FRACTION_SCALE: u64 = 65_536;

/// Whether a request is admitted at the ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedDecision {
    /// Forward it to an owner.
    Admit,
    /// Refuse it as [`Shed`](jayrack_protocol::ResultCode::Shed); it was not run.
    Refuse,
}

/// The root request of a customer request, at its ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IngressRequest<'a> {
    /// Service that it is for.
    pub service: &'a str,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Kind of work.
    pub kind: &'a str,
    /// Customer on whose behalf it runs.
    pub customer: &'a str,
    /// Identifies the customer request.
    pub customer_request: u64,
}

#[derive(Debug)]
struct LevelRecord {
    level: LoadLevel,
    updated_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceLevels {
    servers: BTreeMap<String, LevelRecord>,
    ranks: BTreeMap<u8, FairShedding>,
}

/// Load levels that the owners of each service reported last.
#[derive(Debug, Default)]
pub struct ShedLevels {
    services: BTreeMap<String, ServiceLevels>,
}

impl ShedLevels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the level that came with an answer of `server`.
    pub fn update(&mut self, service: &str, server: &str, level: LoadLevel, now_ms: u64) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_string(), ServiceLevels::default());
        }
        if let Some(levels) = self.services.get_mut(service) {
            levels.update(server, level, now_ms);
        }
    }

    /// Decides whether to admit a root request. Nested calls must not be passed: their customer request
    /// is already in progress.
    ///
    /// Requests of the customers with the most requests are shed first. Among the requests of one
    /// customer the decision depends only on the identifier of the customer request, so that a customer
    /// request is shed as a unit.
    pub fn decide(&mut self, now_ms: u64, request: &IngressRequest<'_>) -> ShedDecision {
        let Some(levels) = self.services.get_mut(request.service) else {
            return ShedDecision::Admit;
        };
        let fraction = levels.shed_fraction(now_ms, request);
        let position = xxh3_64(&request.customer_request.to_le_bytes()) % FRACTION_SCALE;
        if position < fraction.min(FRACTION_SCALE - MIN_ADMITTED_FRACTION) {
            ShedDecision::Refuse
        } else {
            ShedDecision::Admit
        }
    }
}

impl ServiceLevels {
    fn update(&mut self, server: &str, level: LoadLevel, now_ms: u64) {
        let record = LevelRecord {
            level,
            updated_ms: now_ms,
        };
        if let Some(stored) = self.servers.get_mut(server) {
            *stored = record;
            return;
        }
        self.servers.retain(|_, record| record.is_fresh(now_ms));
        self.servers.insert(server.to_string(), record);
    }

    fn shed_fraction(&mut self, now_ms: u64, request: &IngressRequest<'_>) -> u64 {
        let fraction = self.mean_shed_fraction(now_ms, request.rank);
        if fraction == 0 {
            self.ranks.retain(|_, shedding| !shedding.is_idle(now_ms));
            return 0;
        }
        let shedding = self.ranks.entry(request.rank);
        let shedding = shedding.or_insert_with(|| FairShedding::new(now_ms, fraction));
        let hash = xxh3_64(request.kind.as_bytes()) ^ xxh3_64(request.customer.as_bytes());
        shedding.shed_fraction(now_ms, hash, fraction)
    }

    /// Mean shed fraction of `rank` over the servers, weighted by slots.
    fn mean_shed_fraction(&self, now_ms: u64, rank: u8) -> u64 {
        let mut weighted_sum = 0;
        let mut slots = 0;
        for record in self
            .servers
            .values()
            .filter(|record| record.is_fresh(now_ms))
        {
            let weight = u64::from(record.level.slots.max(1));
            weighted_sum += weight * u64::from(record.level.shed_fraction(rank));
            slots += weight;
        }
        weighted_sum / slots.max(1)
    }
}

impl LevelRecord {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.updated_ms) <= MAX_LEVEL_AGE_MS
    }
}
