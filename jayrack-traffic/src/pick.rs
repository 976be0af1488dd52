//! Selection of a backend server.
use std::{collections::BTreeMap, sync::Arc};

use jayrack_config::table::ServerEntry;
use jayrack_protocol::{MemberId, id::rendezvous_weight};
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::LoadLevel;

/// Fixed-point scale of the refused fractions: 1024 is 1.0.
const REFUSED_FRACTION_SCALE: u64 = 1_024;
/// The subset reserves one in this many servers for other data centres.
const REMOTE_SUBSET_DIVISOR: usize = 4;
/// Latency assumed for a server that has not answered yet, in microseconds.
const INITIAL_LATENCY_US: u64 = 1_000;
/// Lower limit of the latency in the cost, in microseconds, so that load decides among fast servers.
const MIN_LATENCY_US: u64 = 100;
/// Smoothing factor of the moving averages, as a shift: a new sample counts one eighth.
const SMOOTHING_SHIFT: u32 = 3;

/// Settings of a [`ServerPicker`].
#[derive(Debug, Clone)]
pub struct Options {
    /// Identifier of this daemon; the rendezvous hash over it makes daemons use different subsets.
    pub local: u64,
    /// Maximum number of servers of one service that are used at a time.
    pub max_servers: usize,
    /// Age from which a reported load is ignored, in milliseconds.
    pub max_load_age_ms: u64,
    /// Backoff after the first failure, in milliseconds; it doubles with each further one.
    pub initial_backoff_ms: u64,
    /// Maximum backoff, in milliseconds.
    pub max_backoff_ms: u64,
    /// Cost added to servers of another data centre in the same region, in microseconds.
    pub data_centre_cost_us: u64,
    /// Cost added to servers of another region, in microseconds.
    pub region_cost_us: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            local: 0,
            max_servers: 8,
            max_load_age_ms: 1_000,
            initial_backoff_ms: 200,
            max_backoff_ms: 5_000,
            data_centre_cost_us: 5_000,
            region_cost_us: 100_000,
        }
    }
}

/// Location of the ingress, and the servers that a request must not use again.
#[derive(Debug, Clone)]
pub struct PickContext<'a> {
    /// Data centre of this daemon.
    pub data_centre: &'a str,
    /// Region of this daemon.
    pub region: &'a str,
    /// Names of the servers that were tried already.
    pub excluded: &'a [String],
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PickResult {
    /// The backend server answered.
    Ok,
    /// The owner refused it in favour of other requests or because the server is draining.
    Refused,
    /// The backend server failed.
    Failed,
    /// The owner did not answer or the connection to it was lost.
    Lost,
}

/// Result and latency of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishReport {
    /// Time from sending the request to its end, in microseconds.
    pub latency_us: u64,
    /// How the request ended.
    pub result: PickResult,
    /// Load report that came with the answer.
    pub load: Option<LoadLevel>,
}

#[derive(Debug, Default)]
struct ServerStats {
    in_flight: u32,
    latency_us: u64,
    refused_fraction: u64,
    failures: u32,
    backoff_until_ms: u64,
    load: Option<LoadLevel>,
    load_received_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct CostedServer {
    index: usize,
    cost: u64,
}

/// Selects servers by the power of two choices: the one with the lower cost of two random candidates.
///
/// Servers of the same data centre are preferred; a remote one is used if it costs less, including the
/// cost of its distance.
#[derive(Debug)]
pub struct ServerPicker {
    options: Options,
    random: Pcg64Mcg,
    stats: BTreeMap<String, ServerStats>,
}

impl ServerPicker {
    /// Creates a picker without samples; its random choices depend only on `seed`.
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            random: Pcg64Mcg::seed_from_u64(seed),
            stats: BTreeMap::new(),
        }
    }

    /// Returns the index of the selected candidate, or `None` if all are draining or excluded.
    pub fn pick(
        &mut self,
        now_ms: u64,
        candidates: &[Arc<ServerEntry>],
        context: &PickContext<'_>,
    ) -> Option<usize> {
        let usable = self.usable(now_ms, candidates, context);
        let (same_data_centre, remote): (Vec<usize>, Vec<usize>) = usable
            .into_iter()
            .partition(|index| candidates[*index].data_centre == context.data_centre);
        let same_data_centre = self.better_of_two(now_ms, candidates, &same_data_centre, context);
        let remote = self.better_of_two(now_ms, candidates, &remote, context);
        let choice = match (same_data_centre, remote) {
            (Some(same_data_centre), Some(remote)) if remote.cost < same_data_centre.cost => {
                Some(remote)
            }
            (same_data_centre, remote) => same_data_centre.or(remote),
        };
        choice.map(|choice| choice.index)
    }

    /// Records that a request was sent to `server`.
    pub fn started(&mut self, _now_ms: u64, server: &str) {
        self.stats_mut(server).in_flight += 1;
    }

    /// Records how a request that was sent to `server` ended.
    pub fn finished(&mut self, now_ms: u64, server: &str, report: &FinishReport) {
        let options = self.options.clone();
        let stats = self.stats_mut(server);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.observe(now_ms, report, &options);
        if report.load.is_some() {
            stats.load = report.load;
            stats.load_received_ms = now_ms;
        }
    }

    /// Removes the statistics of servers that are not among `names`.
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

    /// Servers of this daemon's subset that may be used; those backed off only if there are no others.
    fn usable(
        &self,
        now_ms: u64,
        candidates: &[Arc<ServerEntry>],
        context: &PickContext<'_>,
    ) -> Vec<usize> {
        let is_eligible = |index: &usize| {
            let server = &candidates[*index];
            !server.draining && !context.excluded.contains(&server.name)
        };
        let mut usable: Vec<usize> = (0..candidates.len()).filter(is_eligible).collect();
        if usable.len() > self.options.max_servers {
            self.keep_subset(candidates, context, &mut usable);
        }
        let is_backed_off = |index: &usize| self.is_backed_off(now_ms, &candidates[*index].name);
        if !usable.iter().all(is_backed_off) {
            usable.retain(|index| !is_backed_off(index));
        }
        usable
    }

    /// Keeps the servers with the highest rendezvous weights, most of them in this data centre.
    fn keep_subset(
        &self,
        candidates: &[Arc<ServerEntry>],
        context: &PickContext<'_>,
        usable: &mut Vec<usize>,
    ) {
        usable.sort_by_cached_key(|index| {
            let key = xxh3_64(candidates[*index].name.as_bytes());
            std::cmp::Reverse(rendezvous_weight(key, MemberId(self.options.local)))
        });
        let is_same_data_centre =
            |index: &usize| candidates[*index].data_centre == context.data_centre;
        let same_data_centre = usable
            .iter()
            .filter(|index| is_same_data_centre(index))
            .count();
        let max_same_data_centre =
            self.options.max_servers - self.options.max_servers / REMOTE_SUBSET_DIVISOR;
        let mut same_data_centre_left = same_data_centre.min(max_same_data_centre);
        let mut remote_left = self.options.max_servers - same_data_centre_left;
        usable.retain(|index| {
            let left = if is_same_data_centre(index) {
                &mut same_data_centre_left
            } else {
                &mut remote_left
            };
            let is_kept = *left > 0;
            *left = left.saturating_sub(1);
            is_kept
        });
    }

    fn better_of_two(
        &mut self,
        now_ms: u64,
        candidates: &[Arc<ServerEntry>],
        pool: &[usize],
        context: &PickContext<'_>,
    ) -> Option<CostedServer> {
        let [first, second] = self.sample_two(pool)?.map(|index| CostedServer {
            index,
            cost: self.cost(now_ms, &candidates[index], context),
        });
        Some(if second.cost < first.cost {
            second
        } else {
            first
        })
    }

    fn is_backed_off(&self, now_ms: u64, server: &str) -> bool {
        self.stats
            .get(server)
            .is_some_and(|stats| now_ms < stats.backoff_until_ms)
    }

    /// Draws two different elements of `pool`, or its only element twice.
    fn sample_two(&mut self, pool: &[usize]) -> Option<[usize; 2]> {
        let count = pool.len() as u64;
        let first = self.random.next_u64().checked_rem(count)?;
        let step = match count {
            1 => 0,
            _ => 1 + self.random.next_u64() % (count - 1),
        };
        let second = (first + step) % count;
        Some([pool[first as usize], pool[second as usize]])
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
            return distance_us + INITIAL_LATENCY_US * 100 / slots;
        };
        let outstanding = stats.outstanding(now_ms, &self.options) + 1;
        let latency_us = if stats.latency_us == 0 {
            INITIAL_LATENCY_US
        } else {
            stats.latency_us
        };
        let load_us = latency_us.max(MIN_LATENCY_US) * outstanding * 100 / slots;
        let refusal_weight =
            stats.refused_fraction * 4 + stats.shed_fraction(now_ms, context.rank, &self.options);
        distance_us + load_us * (REFUSED_FRACTION_SCALE + refusal_weight) / REFUSED_FRACTION_SCALE
    }
}

impl ServerStats {
    /// Estimated number of requests that run or wait at the server.
    fn outstanding(&self, now_ms: u64, options: &Options) -> u64 {
        let own = u64::from(self.in_flight);
        match self.load {
            Some(load)
                if now_ms.saturating_sub(self.load_received_ms) < options.max_load_age_ms =>
            {
                own.max(u64::from(load.running + load.queued))
            }
            _ => own,
        }
    }

    /// Fraction of the rank's requests that the owner asks ingresses to shed, scaled by
    /// [`REFUSED_FRACTION_SCALE`].
    fn shed_fraction(&self, now_ms: u64, rank: u8, options: &Options) -> u64 {
        match self.load {
            Some(load)
                if now_ms.saturating_sub(self.load_received_ms) < options.max_load_age_ms =>
            {
                (u64::from(load.shed_fraction(rank)) * REFUSED_FRACTION_SCALE) >> 16
            }
            _ => 0,
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
                self.refused_fraction = average(self.refused_fraction, 0);
            }
            PickResult::Refused => {
                self.failures = 0;
                self.refused_fraction = average(self.refused_fraction, REFUSED_FRACTION_SCALE);
            }
            PickResult::Failed | PickResult::Lost => {
                let backoff_ms = options.initial_backoff_ms << self.failures.min(16);
                self.failures += 1;
                self.backoff_until_ms = now_ms + backoff_ms.min(options.max_backoff_ms);
            }
        }
    }
}

fn average(old: u64, new: u64) -> u64 {
    if old == 0 {
        return new;
    }
    old - (old >> SMOOTHING_SHIFT) + (new >> SMOOTHING_SHIFT)
}
