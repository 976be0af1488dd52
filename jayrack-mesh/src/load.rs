//! Estimated load of a host, from reports that are older than most of the requests that run there.
//!
//! A report loses its meaning within about a service time: requests end, and other daemons send new ones. The estimate
//! therefore moves from the reported load to the usual load of the host, which in turn follows that of its service.
use crate::gate::GateLoad;

/// Time in which a reported deviation from the usual load shrinks to 1/e, as a multiple of the service time.
const MEMORY_FACTOR: f64 = 0.6;
/// Age in which a report's weight in the current load of its service shrinks to 1/e, in milliseconds.
const SERVICE_MEMORY_MS: f64 = 400.0;
/// Smoothing factor of the usual load.
const USUAL_SMOOTHING: f64 = 0.1;
/// Weight of an idle host that is added to the average of a service, so that few reports say little about other hosts.
const PRIOR_WEIGHT: f64 = 1.0;
/// Standard deviation of the number of requests per slot, relative to the square root of its mean.
const SPREAD_FACTOR: f64 = 0.35;

/// Load that a host reported, and its average over earlier reports.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KnownLoad {
    requests: u32,
    at_ms: u64,
    /// Requests of this daemon that were at the host when it reported.
    own_in_flight: u32,
    /// Average number of requests that run or wait.
    usual: f64,
}

/// Expected number of requests per slot of a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Expected number of requests that run or wait, per slot.
    pub(crate) fullness: f64,
    /// Weight of the last report, from 0 (none) to 1 (it is exact).
    pub(crate) certainty: f64,
}

/// Load of all hosts of a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServiceLoad {
    recent: f64,
    recent_weight: f64,
    usual: f64,
    hosts: f64,
}

impl KnownLoad {
    /// The load after the report `load`, received at `now_ms` with `own_in_flight` requests of this daemon at the host.
    pub(crate) fn after(known: Option<Self>, now_ms: u64, load: GateLoad, own: u32) -> Self {
        let requests = load.running + load.waiting;
        let earlier = known.map_or(f64::from(requests), |known| known.usual);
        Self {
            requests,
            at_ms: now_ms,
            own_in_flight: own,
            usual: earlier + (f64::from(requests) - earlier) * USUAL_SMOOTHING,
        }
    }

    /// The load after another daemon said that `free` of `slots` slots were free at `at_ms`; unchanged by older news.
    pub(crate) fn hinted(known: Self, at_ms: u64, (free, slots): (u32, u32), own: u32) -> Self {
        if at_ms <= known.at_ms {
            return known;
        }
        Self {
            requests: slots.saturating_sub(free).max(own),
            at_ms,
            own_in_flight: own,
            usual: known.usual,
        }
    }

    /// Counts a request that another daemon was told to send.
    pub(crate) fn use_slot(&mut self) {
        self.requests += 1;
    }

    /// Number of requests in the report, with what this daemon has sent since; only its own requests once the report is
    /// older than `max_age_ms`.
    pub(crate) fn reported_requests(
        &self,
        now_ms: u64,
        own_in_flight: u32,
        max_age_ms: u64,
    ) -> u32 {
        match self.age_ms(now_ms) < max_age_ms {
            true => (self.requests + own_in_flight)
                .saturating_sub(self.own_in_flight)
                .max(own_in_flight),
            false => own_in_flight,
        }
    }

    /// Age of the report, in milliseconds.
    pub(crate) fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }
}

impl ServiceLoad {
    /// Adds the report of a host with `slots` slots.
    pub(crate) fn add(&mut self, now_ms: u64, known: &KnownLoad, slots: f64) {
        let weight = (-(known.age_ms(now_ms) as f64) / SERVICE_MEMORY_MS).exp();
        self.recent += weight * f64::from(known.requests) / slots;
        self.recent_weight += weight;
        self.usual += known.usual / slots;
        self.hosts += 1.0;
    }

    /// Current minus usual number of requests per slot.
    fn change(&self) -> f64 {
        if self.hosts == 0.0 {
            return 0.0;
        }
        let usual = self.usual / self.hosts;
        let recent = (self.recent + PRIOR_WEIGHT * usual) / (self.recent_weight + PRIOR_WEIGHT);
        recent - usual
    }

    /// Average number of requests per slot in recent reports.
    pub(crate) fn recent_fullness(&self) -> f64 {
        self.unknown()
    }

    /// Expected number of requests per slot of a host that has not reported.
    fn unknown(&self) -> f64 {
        self.recent / (self.recent_weight + PRIOR_WEIGHT)
    }

    /// Estimates the load of one of the hosts.
    pub(crate) fn estimate(
        &self,
        now_ms: u64,
        known: Option<&KnownLoad>,
        own_in_flight: u32,
        (slots, service_ms): (f64, f64),
    ) -> LoadEstimate {
        let own = f64::from(own_in_flight) / slots;
        let Some(known) = known else {
            return LoadEstimate {
                fullness: self.unknown().max(own),
                certainty: 0.0,
            };
        };
        let memory_ms = service_ms.max(1.0) * MEMORY_FACTOR;
        let certainty = (-(known.age_ms(now_ms) as f64) / memory_ms).exp();
        let reported = (known.requests + own_in_flight).saturating_sub(known.own_in_flight);
        let reported = f64::from(reported) / slots;
        let usual = (known.usual / slots + self.change()).max(0.0);
        LoadEstimate {
            fullness: (usual + (reported - usual) * certainty).max(own),
            certainty,
        }
    }
}

impl LoadEstimate {
    /// Probability that no slot is free.
    pub(crate) fn full_probability(&self, slots: f64) -> f64 {
        let free = (self.fullness - 1.0) * slots + 0.5;
        let deviation = SPREAD_FACTOR
            * slots
            * ((1.0 - self.certainty * self.certainty) * self.fullness.max(0.1)).sqrt();
        if deviation < 0.05 {
            return if self.fullness < 1.0 { 0.0 } else { 1.0 };
        }
        1.0 / (1.0 + (-1.7 * free / deviation).exp())
    }
}
