//! The choice of a backend server.
use std::{collections::BTreeMap, sync::Arc};

use jayrack_config::table::ServerEntry;
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};

use crate::admission::LoadLevel;

/// One whole in the fixed-point averages.
const SCALE: u64 = 1_024;
/// Weight of a new observation in an average, as a shift.
const AVERAGE_SHIFT: u32 = 3;

/// Settings of a [`ServerPicker`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Identifies this daemon, so that daemons prefer different servers.
    pub local: u64,
    /// Greatest number of servers of one service that are used at a time.
    pub max_servers: usize,
    /// Age at which reported load no longer counts, in milliseconds.
    pub load_age_ms: u64,
    /// First pause after a failure, in milliseconds; it doubles with each further one.
    pub backoff_ms: u64,
    /// Longest pause after failures, in milliseconds.
    pub max_backoff_ms: u64,
    /// Cost added to servers of another data centre, in microseconds.
    pub data_centre_cost_us: u64,
    /// Cost added to servers of another region, in microseconds.
    pub region_cost_us: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            local: 0,
            max_servers: 16,
            load_age_ms: 1_000,
            backoff_ms: 200,
            max_backoff_ms: 5_000,
            data_centre_cost_us: 10_000,
            region_cost_us: 100_000,
        }
    }
}

/// Where a request starts and which servers it must not use again.
#[derive(Debug, Clone)]
pub struct PickContext<'a> {
    /// Data centre of this daemon.
    pub data_centre: &'a str,
    /// Region of this daemon.
    pub region: &'a str,
    /// Names of the servers tried before.
    pub excluded: &'a [String],
    /// Position of the request's rank.
    pub rank: u8,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickResult {
    /// The backend server answered.
    Ok,
    /// The owner refused it in favour of other work or because it drains.
    Refused,
    /// The backend server failed.
    Failed,
    /// The owner was silent or its connection broke.
    Lost,
}

/// What was seen of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishReport {
    /// Time from sending to the end, in microseconds.
    pub latency_us: u64,
    /// How it ended.
    pub result: PickResult,
    /// Load that came with the answer.
    pub load: Option<LoadLevel>,
}

#[derive(Debug, Default)]
struct ServerStats {
    in_flight: u32,
    latency_us: u64,
    refused: u64,
    failures: u32,
    resume_ms: u64,
    load: Option<LoadLevel>,
    load_ms: u64,
}

/// Chooses servers by the better of two random candidates.
#[derive(Debug)]
pub struct ServerPicker {
    options: Options,
    random: Pcg64Mcg,
    stats: BTreeMap<String, ServerStats>,
}

impl ServerPicker {
    /// Creates a picker without observations; `seed` determines all its choices.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            random: Pcg64Mcg::seed_from_u64(seed),
            stats: BTreeMap::new(),
        }
    }

    /// Chooses one of `candidates`, or none if all drain or are excluded.
    pub fn pick(
        &mut self,
        now_ms: u64,
        candidates: &[Arc<ServerEntry>],
        context: &PickContext<'_>,
    ) -> Option<usize> {
        let mut usable: Vec<usize> = Vec::with_capacity(candidates.len());
        for (index, server) in candidates.iter().enumerate() {
            if !server.draining && !context.excluded.contains(&server.name) {
                usable.push(index);
            }
        }
        let healthy: Vec<usize> = usable
            .iter()
            .copied()
            .filter(|index| !self.is_paused(now_ms, &candidates[*index].name))
            .collect();
        let pool = if healthy.is_empty() { usable } else { healthy };
        let first = self.draw(&pool)?;
        let second = self.draw(&pool)?;
        let first_cost = self.cost(now_ms, &candidates[first], context);
        let second_cost = self.cost(now_ms, &candidates[second], context);
        Some(if second_cost < first_cost {
            second
        } else {
            first
        })
    }

    /// Notes that a request was sent to `server`.
    pub fn started(&mut self, _now_ms: u64, server: &str) {
        self.stats_mut(server).in_flight += 1;
    }

    /// Notes how a request that was started ended.
    pub fn finished(&mut self, now_ms: u64, server: &str, report: &FinishReport) {
        let options = self.options.clone();
        let stats = self.stats_mut(server);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.observe(now_ms, report, &options);
        if report.load.is_some() {
            stats.load = report.load;
            stats.load_ms = now_ms;
        }
    }

    /// Forgets the servers that are not among `names`.
    pub fn retain(&mut self, names: &std::collections::BTreeSet<&str>) {
        self.stats.retain(|name, _| names.contains(name.as_str()));
    }

    fn stats_mut(&mut self, server: &str) -> &mut ServerStats {
        if !self.stats.contains_key(server) {
            self.stats
                .insert(server.to_string(), ServerStats::default());
        }
        self.stats.get_mut(server).expect("inserted above")
    }

    fn is_paused(&self, now_ms: u64, server: &str) -> bool {
        self.stats
            .get(server)
            .is_some_and(|stats| now_ms < stats.resume_ms)
    }

    fn draw(&mut self, pool: &[usize]) -> Option<usize> {
        if pool.is_empty() {
            return None;
        }
        let place = self.random.next_u64() % pool.len() as u64;
        Some(pool[place as usize])
    }

    fn cost(&self, now_ms: u64, server: &ServerEntry, context: &PickContext<'_>) -> u64 {
        let distance_us = if server.data_centre == context.data_centre {
            0
        } else if server.region == context.region {
            self.options.data_centre_cost_us
        } else {
            self.options.region_cost_us
        };
        let warm = u64::from(server.warm_percent.clamp(1, 100));
        let slots = u64::from(server.slots.max(1)) * warm;
        let Some(stats) = self.stats.get(&server.name) else {
            return distance_us + 1_000 * 100 / warm;
        };
        let queued = stats.queue(now_ms, &self.options) + 1;
        let load_us = stats.latency_us.max(100) * queued * 100 / slots;
        distance_us + load_us * (SCALE + stats.refused * 4) / SCALE
    }
}

impl ServerStats {
    /// Requests believed to be at the server.
    fn queue(&self, now_ms: u64, options: &Options) -> u64 {
        let own = u64::from(self.in_flight);
        match self.load {
            Some(load) if now_ms.saturating_sub(self.load_ms) < options.load_age_ms => {
                own.max(u64::from(load.running + load.queued))
            }
            _ => own,
        }
    }

    fn observe(&mut self, now_ms: u64, report: &FinishReport, options: &Options) {
        let latency_us = report.latency_us;
        match report.result {
            PickResult::Ok | PickResult::Failed => {
                self.latency_us = average(self.latency_us, latency_us)
            }
            PickResult::Refused | PickResult::Lost => {}
        }
        match report.result {
            PickResult::Ok => {
                self.failures = 0;
                self.refused = average(self.refused, 0);
            }
            PickResult::Refused => {
                self.failures = 0;
                self.refused = average(self.refused, SCALE);
            }
            PickResult::Failed | PickResult::Lost => {
                let pause_ms = options.backoff_ms << self.failures.min(16);
                self.failures += 1;
                self.resume_ms = now_ms + pause_ms.min(options.max_backoff_ms);
            }
        }
    }
}

fn average(old: u64, new: u64) -> u64 {
    if old == 0 {
        return new;
    }
    old - (old >> AVERAGE_SHIFT) + (new >> AVERAGE_SHIFT)
}
