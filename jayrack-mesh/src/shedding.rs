//! Early refusal of new requests at the ingress while their service refuses most of what it is sent.
//!
//! Forwarding a request that no host has room for takes processor time and link capacity of several hosts. An ingress
//! therefore forwards only as many new requests of a service and rank as the hosts have lately accepted, and refuses the
//! others at once.
use std::collections::BTreeMap;

/// Factor of the admitted fraction for each forwarded request that no host had room for.
const REFUSED_FACTOR: f64 = 0.8;
/// Growth of the admitted fraction for each forwarded request that a host had room for. Together with
/// [`REFUSED_FACTOR`] it keeps about one in six forwarded requests refused, so that free slots are noticed.
const ACCEPTED_STEP: f64 = 0.02;
/// Growth of the admitted fraction in a second, so that a service with few requests recovers as well.
const RECOVERY_PER_SECOND: f64 = 0.5;
/// Least admitted fraction.
const MIN_ADMITTED: f64 = 0.1;
/// Refused requests in a row from which requests are shed: single ones are refused although the service has room, as
/// when their few remaining hosts are full.
const MIN_REFUSALS: u32 = 3;
/// Longest time without a forwarded request after which a level is forgotten, in milliseconds.
const MAX_IDLE_MS: u64 = 10_000;

/// Fraction of the requests of one service and rank that are forwarded.
#[derive(Debug)]
struct ShedLevel {
    admitted: f64,
    refusals: u32,
    updated_ms: u64,
    retry_after_ms: u64,
}

impl ShedLevel {
    fn new(now_ms: u64) -> Self {
        Self {
            admitted: 1.0,
            refusals: 0,
            updated_ms: now_ms,
            retry_after_ms: 0,
        }
    }

    fn recover(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_ms) as f64 / 1_000.0;
        self.admitted = (self.admitted + RECOVERY_PER_SECOND * elapsed_s).min(1.0);
        self.updated_ms = now_ms;
    }
}

/// Levels of early refusal, by service and rank.
#[derive(Debug, Default)]
pub struct LoadShedder {
    services: BTreeMap<String, BTreeMap<u8, ShedLevel>>,
}

impl LoadShedder {
    /// Whether a new request is refused without being forwarded; `fraction` is a random number below one. Returns the
    /// time after which it may be admitted, in milliseconds.
    pub fn shed(&mut self, now_ms: u64, service: &str, rank: u8, fraction: f64) -> Option<u64> {
        let level = self.services.get_mut(service)?.get_mut(&rank)?;
        level.recover(now_ms);
        (fraction >= level.admitted).then_some(level.retry_after_ms)
    }

    /// Records that a host had room for a new request.
    pub fn accepted(&mut self, now_ms: u64, service: &str, rank: u8) {
        let levels = self.services.get_mut(service);
        let Some(level) = levels.and_then(|levels| levels.get_mut(&rank)) else {
            return;
        };
        level.recover(now_ms);
        level.refusals = 0;
        level.admitted = (level.admitted + ACCEPTED_STEP).min(1.0);
    }

    /// Records that no host had room for a new request, and the time after which one may have, in milliseconds.
    pub fn refused(&mut self, now_ms: u64, service: &str, rank: u8, retry_after_ms: u64) {
        let levels = match self.services.get_mut(service) {
            Some(levels) => levels,
            None => self.services.entry(service.to_string()).or_default(),
        };
        let level = levels.entry(rank).or_insert_with(|| ShedLevel::new(now_ms));
        level.recover(now_ms);
        level.refusals += 1;
        level.retry_after_ms = retry_after_ms;
        if level.refusals >= MIN_REFUSALS || level.admitted < 1.0 {
            level.admitted = (level.admitted * REFUSED_FACTOR).max(MIN_ADMITTED);
        }
    }

    /// Forgets the levels of services that have received no requests for long.
    pub fn retain_recent(&mut self, now_ms: u64) {
        self.services.retain(|_, levels| {
            levels.retain(|_, level| now_ms.saturating_sub(level.updated_ms) < MAX_IDLE_MS);
            !levels.is_empty()
        });
    }
}
