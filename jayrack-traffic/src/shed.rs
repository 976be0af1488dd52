//! Refusal at the ingress on behalf of a busy owner.
use std::collections::BTreeMap;

use crate::admission::LoadLevel;

/// Age after which a reported level no longer counts, in milliseconds.
const LEVEL_AGE_MS: u64 = 1_000;
/// Share of refused work that is admitted all the same, of 65536, so that levels stay current.
const TRICKLE_SHARE: u64 = 1_311;
/// One whole in shares.
const WHOLE_SHARE: u64 = 65_536;

/// Whether a request may enter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShedVerdict {
    /// Go on to an owner.
    Admit,
    /// Refuse as [`Shed`](jayrack_protocol::ResultCode::Shed), not run.
    Refuse,
}

#[derive(Debug)]
struct LevelRecord {
    level: LoadLevel,
    updated_ms: u64,
}

/// The levels that the owners of each service reported last.
#[derive(Debug, Default)]
pub struct ShedLevels {
    services: BTreeMap<String, BTreeMap<String, LevelRecord>>,
}

impl ShedLevels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Stores the level that came with an answer of `server`.
    pub fn update(&mut self, service: &str, server: &str, level: LoadLevel, now_ms: u64) {
        let servers = match self.services.get_mut(service) {
            Some(servers) => servers,
            None => self.services.entry(service.to_string()).or_default(),
        };
        servers.retain(|_, record| now_ms.saturating_sub(record.updated_ms) <= LEVEL_AGE_MS);
        let record = LevelRecord {
            level,
            updated_ms: now_ms,
        };
        servers.insert(server.to_string(), record);
    }

    /// Decides on a customer request's first request. Requests of greater depth are always admitted
    /// by the caller, because their customer request is under way.
    ///
    /// The decision depends on the customer request alone, so all its first requests share it.
    pub fn verdict(
        &self,
        now_ms: u64,
        service: &str,
        rank: u8,
        customer_request: u64,
    ) -> ShedVerdict {
        let Some(refused) = self.refused_share(now_ms, service, rank) else {
            return ShedVerdict::Admit;
        };
        let refused = refused.min(WHOLE_SHARE - TRICKLE_SHARE);
        if request_share(customer_request) < refused {
            ShedVerdict::Refuse
        } else {
            ShedVerdict::Admit
        }
    }

    /// Mean of the shares that the servers of `service` refuse of `rank`, weighted by slots.
    fn refused_share(&self, now_ms: u64, service: &str, rank: u8) -> Option<u64> {
        let servers = self.services.get(service)?;
        let mut refused = 0;
        let mut slots = 0;
        for record in servers.values() {
            if now_ms.saturating_sub(record.updated_ms) > LEVEL_AGE_MS {
                continue;
            }
            let weight = u64::from(record.level.slots.max(1));
            refused += weight * u64::from(record.level.refused_share(rank));
            slots += weight;
        }
        (slots > 0).then(|| refused / slots)
    }
}

/// Place of a customer request among all, 0 to 65535.
fn request_share(customer_request: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&customer_request.to_le_bytes()) % WHOLE_SHARE
}
