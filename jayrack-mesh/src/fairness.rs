//! Slot time that tenants have used lately, by which requests of equal urgency are ordered.
use std::collections::BTreeMap;

/// Time in which a tenant's recorded use halves, in milliseconds: a few times the longest surge of a tenant, so that
/// the tenant stays behind the others for as long as the queue that it filled.
const HALF_LIFE_MS: f64 = 5_000.0;
/// Use below which a tenant is forgotten, in milliseconds of slot time; it does not change the order noticeably.
const FORGOTTEN_USE_MS: f64 = 1.0;
/// Number of recorded tenants from which forgotten ones are removed.
const CLEANUP_TENANTS: usize = 128;

#[derive(Debug, Clone, Copy)]
struct SlotUse {
    used_ms: f64,
    updated_ms: u64,
}

impl SlotUse {
    fn at(&self, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.used_ms * (-elapsed_ms / HALF_LIFE_MS).exp2()
    }
}

/// Decaying slot time by tenant; requests without a tenant are accounted together.
#[derive(Debug, Default)]
pub struct SlotShares {
    tenants: BTreeMap<String, SlotUse>,
}

impl SlotShares {
    /// Slot time that `tenant` has used lately, in milliseconds.
    pub fn used_ms(&self, now_ms: u64, tenant: &str) -> u64 {
        let known = self.tenants.get(tenant);
        known.map_or(0, |share| share.at(now_ms) as u64)
    }

    /// Adds slot time to the use of `tenant`; a negative time corrects an estimate that was too long.
    pub fn charge(&mut self, now_ms: u64, tenant: &str, slot_ms: f64) {
        let known = self.tenants.get(tenant);
        let used_ms = known.map_or(0.0, |share| share.at(now_ms)) + slot_ms;
        let share = SlotUse {
            used_ms: used_ms.max(0.0),
            updated_ms: now_ms,
        };
        self.tenants.insert(tenant.to_string(), share);
        if self.tenants.len() > CLEANUP_TENANTS {
            self.tenants
                .retain(|_, share| share.at(now_ms) >= FORGOTTEN_USE_MS);
        }
    }

    /// Number of recorded tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no use is recorded.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
