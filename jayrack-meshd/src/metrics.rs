//! Counters and histograms, served on the metrics address.
use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};

/// Upper bounds of the latency buckets, in seconds: from a local call to the longest timeout of a route.
const LATENCY_BOUNDS_S: [f64; 10] = [0.01, 0.03, 0.1, 0.2, 0.35, 0.5, 0.8, 1.2, 2.0, 4.0];

/// Labels of a counter of outcomes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Outcome, one of a fixed set.
    pub outcome: &'static str,
}

/// Upper bounds of the buckets for the age of loads, in seconds: from a service time to the longest interval of datagrams.
const LOAD_AGE_BOUNDS_S: [f64; 7] = [0.05, 0.1, 0.2, 0.5, 1.5, 4.0, 10.0];

/// Labels of a counter by service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}

/// Metrics of one daemon.
#[derive(Debug, Clone)]
pub struct MeshMetrics {
    /// Requests of callers, by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Decisions of the admission gate, by outcome.
    pub gate: Family<OutcomeLabels, Counter>,
    /// Requests and tokens of the tenant rate limits, over all tenants, by outcome.
    pub allowance: Family<OutcomeLabels, Counter>,
    /// Changes in the state of hosts, servers, the configuration and the store, by kind.
    pub state_changes: Family<OutcomeLabels, Counter>,
    /// Answers of the backend server during a roll-out, by quality.
    pub rollout_answers: Family<OutcomeLabels, Counter>,
    /// Time from receiving a caller's request to the head of its answer, in seconds.
    pub latency: Histogram,
    /// Requests refused although a host with free slots was known, by service.
    pub refused_despite_free: Family<ServiceLabels, Counter>,
    /// Age of the load of each chosen host, in seconds.
    pub load_age: Histogram,
    /// Connections opened to the backend server.
    pub server_connections: Counter,
    /// Time since the version in force was the newest in the store, in seconds; -1 if that is not known.
    pub key_knowledge_age: Gauge<f64, AtomicU64>,
    /// Bytes of the byte budget in use.
    pub budget_bytes: Gauge,
    /// Bytes that were given back and that the allocator may still keep.
    pub unreturned_bytes: Gauge,
    /// Times that the allocator returned its unused memory to the system.
    pub memory_returns: Counter,
    /// Bodies, answers and connections that were refused or ended for a limit, by outcome.
    pub limits: Family<OutcomeLabels, Counter>,
    /// Open connections of clients, by kind of client.
    pub connections: Family<OutcomeLabels, Gauge>,
    /// Log lines that were dropped; see [`crate::logging::dropped_lines`].
    pub dropped_lines: Counter,
}

impl Default for MeshMetrics {
    fn default() -> Self {
        Self {
            requests: Family::default(),
            gate: Family::default(),
            allowance: Family::default(),
            state_changes: Family::default(),
            rollout_answers: Family::default(),
            latency: Histogram::new(LATENCY_BOUNDS_S),
            refused_despite_free: Family::default(),
            load_age: Histogram::new(LOAD_AGE_BOUNDS_S),
            server_connections: Counter::default(),
            key_knowledge_age: Gauge::default(),
            budget_bytes: Gauge::default(),
            unreturned_bytes: Gauge::default(),
            memory_returns: Counter::default(),
            limits: Family::default(),
            connections: Family::default(),
            dropped_lines: Counter::default(),
        }
    }
}

impl MeshMetrics {
    /// Counts a request of a caller with its outcome.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a request of `service` that was refused although a host with free slots was known.
    pub fn count_refused_despite_free(&self, service: &str) {
        let service = service.to_string();
        self.refused_despite_free
            .get_or_create(&ServiceLabels { service })
            .inc();
    }

    /// Counts a decision of the admission gate.
    pub fn count_gate(&self, outcome: &'static str) {
        self.gate.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Adds a number of requests or tokens of the tenant rate limits.
    pub fn count_allowance(&self, outcome: &'static str, number: u64) {
        if number > 0 {
            self.allowance
                .get_or_create(&OutcomeLabels { outcome })
                .inc_by(number);
        }
    }

    /// Counts a change in the state of a host, a server, the configuration or the store.
    pub fn count_state_change(&self, outcome: &'static str) {
        self.state_changes
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts an answer of the backend server during a roll-out.
    pub fn count_rollout_answer(&self, outcome: &'static str) {
        self.rollout_answers
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a body, an answer or a connection that met a limit.
    pub fn count_limit(&self, outcome: &'static str) {
        self.limits.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Changes the number of open connections of a kind of client.
    pub fn add_connections(&self, outcome: &'static str, change: i64) {
        self.connections
            .get_or_create(&OutcomeLabels { outcome })
            .inc_by(change);
    }

    /// Renders all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Returns the error of the text encoder.
    pub fn render(&self) -> Result<String, std::fmt::Error> {
        let mut registry = Registry::with_prefix("jayrack");
        registry.register("requests", "Requests of callers", self.requests.clone());
        registry.register("gate", "Decisions of the gate", self.gate.clone());
        registry.register(
            "allowance",
            "Requests and tokens of tenant rate limits",
            self.allowance.clone(),
        );
        registry.register("beliefs", "Changes of belief", self.state_changes.clone());
        registry.register(
            "rollout_answers",
            "Answers of the backend server during a roll-out",
            self.rollout_answers.clone(),
        );
        registry.register(
            "latency_seconds",
            "Time to the answer",
            self.latency.clone(),
        );
        registry.register(
            "refused_despite_free",
            "Requests refused although a host with free slots was known",
            self.refused_despite_free.clone(),
        );
        registry.register(
            "load_age_seconds",
            "Age of the load of each chosen host",
            self.load_age.clone(),
        );
        registry.register(
            "server_connections",
            "Connections opened to the backend server",
            self.server_connections.clone(),
        );
        registry.register(
            "key_knowledge_age_seconds",
            "Time since the configuration in force was the newest one",
            self.key_knowledge_age.clone(),
        );
        registry.register(
            "budget_bytes",
            "Bytes of the byte budget in use",
            self.budget_bytes.clone(),
        );
        registry.register(
            "unreturned_bytes",
            "Bytes given back that the allocator may still keep",
            self.unreturned_bytes.clone(),
        );
        registry.register(
            "memory_returns",
            "Returns of unused memory to the system",
            self.memory_returns.clone(),
        );
        registry.register("limits", "Limits that were met", self.limits.clone());
        registry.register(
            "connections",
            "Open connections of clients",
            self.connections.clone(),
        );
        registry.register(
            "dropped_lines",
            "Log lines dropped",
            self.dropped_lines.clone(),
        );
        let mut text = String::new();
        encode(&mut text, &registry)?;
        Ok(text)
    }
}
