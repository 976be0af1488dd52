//! Counters and histograms of the traffic threads.
use std::{sync::Arc, time::Duration};

use jayrack_protocol::ResultCode;
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder},
    metrics::{counter::Counter, family::Family, histogram::Histogram},
    registry::Registry,
};

use crate::ingress::OutcomeKind;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 5.0,
];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    rank: Arc<str>,
    code: u16,
    outcome: OutcomeKind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: Arc<str>,
}

impl EncodeLabelValue for OutcomeKind {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        self.as_str().encode(encoder)
    }
}

/// Result of one request at the ingress.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestReport<'a> {
    /// Name of the rank; empty when the request matched no route.
    pub(crate) rank: &'a str,
    pub(crate) code: ResultCode,
    pub(crate) elapsed: Duration,
}

/// Counters and histograms of the traffic threads; clones share them.
#[derive(Debug, Clone)]
pub struct TrafficCounters {
    requests: Family<RequestLabels, Counter>,
    latency: Family<RankLabels, Histogram, fn() -> Histogram>,
    /// Outcome queries sent.
    pub(crate) queries: Counter,
}

impl TrafficCounters {
    pub(crate) fn new() -> Self {
        Self {
            requests: Family::default(),
            latency: Family::new_with_constructor(new_histogram),
            queries: Counter::default(),
        }
    }

    /// Adds the metrics to `registry`.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "jayrack_requests",
            "Requests answered at the ingress",
            self.requests.clone(),
        );
        registry.register(
            "jayrack_request_seconds",
            "Time from the request's head to the head of its answer",
            self.latency.clone(),
        );
        registry.register(
            "jayrack_outcome_queries",
            "Outcomes asked for after an answer was lost or late",
            self.queries.clone(),
        );
    }

    /// Returns the number of requests answered with `code`, over all `ranks`.
    pub fn requests_with(&self, code: ResultCode, ranks: &[&str]) -> u64 {
        let counts = ranks.iter().map(|rank| {
            let labels = labels_of(rank, code);
            self.requests.get(&labels).map_or(0, |count| count.get())
        });
        counts.sum()
    }

    pub(crate) fn observe(&self, report: &RequestReport<'_>) {
        let labels = labels_of(report.rank, report.code);
        let rank = RankLabels {
            rank: labels.rank.clone(),
        };
        self.requests.get_or_create(&labels).inc();
        let latency = self.latency.get_or_create(&rank);
        latency.observe(report.elapsed.as_secs_f64());
    }
}

fn labels_of(rank: &str, code: ResultCode) -> RequestLabels {
    RequestLabels {
        rank: Arc::from(rank),
        code: code.number(),
        outcome: OutcomeKind::of(code),
    }
}

fn new_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}
