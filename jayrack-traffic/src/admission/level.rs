//! Computes the fraction of each rank's requests that ingresses have to shed.
use std::collections::BTreeMap;

use crate::class::RequestClass;

/// Time between two updates of the level, in milliseconds.
const WINDOW_MS: u64 = 200;
/// Work admitted by the ingresses, in percent of the server's capacity; above 100 % so that its slots
/// stay busy.
const ADMITTED_WORK_PERCENT: u64 = 400;
/// Work of each rank that ingresses admit in any case, in percent of its reserved share.
const ADMITTED_RESERVED_PERCENT: u64 = 200;
/// Fixed-point scale of fractions: 65536 is 1.0.
const FRACTION_SCALE: u64 = 65_536;
/// Lower limit of the admitted fraction in the estimate of the work that was shed.
const MIN_ASSUMED_FRACTION: u64 = FRACTION_SCALE / 50;

/// Load of a backend server, which its owner attaches to each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLevel {
    /// Requests that the backend server may run at once.
    pub slots: u32,
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait in the queue.
    pub queued: u32,
    /// Requests of less urgent (numerically higher) ranks are shed at the ingress, except for the
    /// fraction `kept_share`.
    pub shed_rank: u8,
    /// Fraction of the requests of `shed_rank` that is shed, 0 to 65535.
    pub shed_share: u16,
    /// Fraction of the requests of ranks above `shed_rank` that is admitted, 0 to 65535, so that they
    /// get their reserved shares.
    pub kept_share: u16,
}

impl Default for LoadLevel {
    fn default() -> Self {
        Self {
            slots: 0,
            running: 0,
            queued: 0,
            shed_rank: u8::MAX,
            shed_share: 0,
            kept_share: 0,
        }
    }
}

impl LoadLevel {
    /// Fraction of the requests of `rank` that the ingress sheds, 0 to 65535.
    pub fn shed_fraction(&self, rank: u8) -> u16 {
        match rank.cmp(&self.shed_rank) {
            std::cmp::Ordering::Less => 0,
            std::cmp::Ordering::Equal => self.shed_share,
            std::cmp::Ordering::Greater => u16::MAX - self.kept_share,
        }
    }
}

#[derive(Debug, Default)]
struct RankDemand {
    reserved_share_percent: u8,
    /// Work of the root requests that arrived in this window.
    root_us: u64,
    /// Work of the nested calls that arrived in this window; ingresses never shed them.
    nested_us: u64,
    /// Estimated work of root requests per window, including those shed by ingresses.
    demand_us: u64,
    /// Work of nested calls per window.
    committed_us: u64,
}

/// Estimates the work offered by each rank before shedding, and sets the level from it.
#[derive(Debug)]
pub(super) struct LevelMeter {
    ranks: BTreeMap<u8, RankDemand>,
    window_start_ms: u64,
    level: LoadLevel,
}

impl LevelMeter {
    pub(super) fn new() -> Self {
        Self {
            ranks: BTreeMap::new(),
            window_start_ms: 0,
            level: LoadLevel::default(),
        }
    }

    pub(super) fn level(&self) -> LoadLevel {
        self.level
    }

    /// Counts the estimated work of a request that arrived.
    pub(super) fn offered(
        &mut self,
        _now_ms: u64,
        class: &RequestClass,
        estimated_service_us: u64,
    ) {
        let demand = self.ranks.entry(class.rank).or_default();
        demand.reserved_share_percent = class.reserved_share_percent;
        if class.depth > 0 {
            demand.nested_us += estimated_service_us;
        } else {
            demand.root_us += estimated_service_us;
        }
    }

    /// Sets a new level if the window has ended.
    pub(super) fn roll(&mut self, now_ms: u64, slots: u32) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms < WINDOW_MS {
            return;
        }
        self.window_start_ms = now_ms;
        let capacity_us = elapsed_ms * 1_000 * u64::from(slots);
        for (rank, demand) in &mut self.ranks {
            let admitted_fraction = FRACTION_SCALE - u64::from(self.level.shed_fraction(*rank));
            let offered_us =
                demand.root_us * FRACTION_SCALE / admitted_fraction.max(MIN_ASSUMED_FRACTION);
            demand.demand_us = (demand.demand_us + offered_us * WINDOW_MS / elapsed_ms) / 2;
            let committed_us = demand.nested_us * WINDOW_MS / elapsed_ms;
            demand.committed_us = (demand.committed_us + committed_us) / 2;
            demand.root_us = 0;
            demand.nested_us = 0;
        }
        self.set_level(capacity_us * WINDOW_MS / elapsed_ms);
    }

    fn set_level(&mut self, capacity_us: u64) {
        let committed_us: u64 = self.ranks.values().map(|rank| rank.committed_us).sum();
        let mut remaining_us =
            (capacity_us * ADMITTED_WORK_PERCENT / 100).saturating_sub(committed_us);
        let reserved_shares_us: Vec<u64> = self
            .ranks
            .values()
            .map(|rank| rank.reserved_us(capacity_us))
            .collect();
        let mut reserved_left_us: u64 = reserved_shares_us.iter().sum();
        self.level.shed_rank = u8::MAX;
        self.level.shed_share = 0;
        self.level.kept_share = 0;
        for ((rank, demand), reserved_us) in self.ranks.iter().zip(reserved_shares_us) {
            if self.level.shed_rank != u8::MAX {
                let admitted = fraction(reserved_us, demand.demand_us);
                self.level.kept_share = self.level.kept_share.max(admitted);
                continue;
            }
            reserved_left_us -= reserved_us;
            let admitted_us = remaining_us
                .saturating_sub(reserved_left_us)
                .max(reserved_us);
            if demand.demand_us > admitted_us {
                self.level.shed_rank = *rank;
                self.level.shed_share = u16::MAX - fraction(admitted_us, demand.demand_us);
            }
            remaining_us = remaining_us.saturating_sub(demand.demand_us.min(admitted_us));
        }
    }
}

impl RankDemand {
    /// Work of this rank that ingresses admit in any case.
    fn reserved_us(&self, capacity_us: u64) -> u64 {
        let percent = u64::from(self.reserved_share_percent) * ADMITTED_RESERVED_PERCENT / 100;
        self.demand_us.min(capacity_us * percent / 100)
    }
}

fn fraction(numerator: u64, denominator: u64) -> u16 {
    if denominator == 0 {
        return u16::MAX;
    }
    (numerator * u64::from(u16::MAX) / denominator).min(u64::from(u16::MAX)) as u16
}
