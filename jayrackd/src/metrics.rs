//! Metrics in the OpenMetrics text format of Prometheus.
//!
//! The traffic side updates its own counters; values of the control side are sampled when the metrics are
//! rendered.
use std::sync::atomic::Ordering;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

use crate::traffic::TrafficCounters;

/// Values of the control side at one time.
#[derive(Debug, Clone, Default)]
pub struct ControlSample {
    /// Version of the route table in force.
    pub version: u64,
    /// Whether the daemon has caught up with the configuration.
    pub is_ready: bool,
    /// Whether the platform log answered the last read.
    pub log_is_up: bool,
    /// Whether the daemon reads the log for others.
    pub is_reader: bool,
    /// Number of running members.
    pub members: u64,
    /// Number of running members with a lower version than this daemon's.
    pub behind: u64,
    /// Number of requests in flight at the local backend servers.
    pub running: u64,
    /// Number of requests that wait for the local backend servers.
    pub queued: u64,
    /// Number of open connections of callers.
    pub caller_connections: u64,
    /// Number of open QUIC connections to peers.
    pub peer_connections: u64,
    /// Traffic of the control side by channel.
    pub channels: Vec<ChannelSample>,
}

/// Traffic of one channel of the control side since the start.
#[derive(Debug, Clone, Copy)]
pub struct ChannelSample {
    /// Name of the channel: `gossip` or `log`.
    pub channel: &'static str,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams sent, or connections opened.
    pub sent_units: u64,
    /// Datagrams received.
    pub received_units: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChannelLabels {
    channel: &'static str,
    direction: &'static str,
}

/// All metrics of a daemon.
#[derive(Debug)]
pub struct MetricRegistry {
    registry: Registry,
    gauges: Vec<(Gauge, GaugeField)>,
    bytes: Family<ChannelLabels, Counter>,
    units: Family<ChannelLabels, Counter>,
}

type GaugeField = fn(&ControlSample) -> u64;

const GAUGES: [(&str, &str, GaugeField); 10] = [
    (
        "jayrack_config_version",
        "Configuration version in force",
        |sample| sample.version,
    ),
    (
        "jayrack_ready",
        "Whether the daemon has caught up with the configuration",
        |sample| u64::from(sample.is_ready),
    ),
    (
        "jayrack_log_up",
        "Whether the platform log answered the last read",
        |sample| u64::from(sample.log_is_up),
    ),
    (
        "jayrack_reader",
        "Whether the daemon reads the log for others",
        |sample| u64::from(sample.is_reader),
    ),
    ("jayrack_members", "Running members", |sample| {
        sample.members
    }),
    (
        "jayrack_members_behind",
        "Running members with a lower version",
        |sample| sample.behind,
    ),
    (
        "jayrack_running",
        "Requests in flight at the local backend servers",
        |sample| sample.running,
    ),
    (
        "jayrack_queued",
        "Requests waiting for the local backend servers",
        |sample| sample.queued,
    ),
    (
        "jayrack_caller_connections",
        "Connections of callers",
        |sample| sample.caller_connections,
    ),
    (
        "jayrack_peer_connections",
        "QUIC connections to peers",
        |sample| sample.peer_connections,
    ),
];

impl MetricRegistry {
    /// Registers the metrics of the control side and those of `traffic`.
    pub fn new(traffic: &TrafficCounters) -> Self {
        let mut registry = Registry::default();
        let mut gauges = Vec::new();
        for (name, help, field) in GAUGES {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauges.push((gauge, field));
        }
        let bytes = Family::<ChannelLabels, Counter>::default();
        let units = Family::<ChannelLabels, Counter>::default();
        registry.register(
            "jayrack_control_bytes",
            "Bytes of control traffic",
            bytes.clone(),
        );
        registry.register(
            "jayrack_control_units",
            "Datagrams on the gossip channel, connections opened on the log channel",
            units.clone(),
        );
        traffic.register(&mut registry);
        Self {
            registry,
            gauges,
            bytes,
            units,
        }
    }

    /// Renders all metrics with the values of `sample`.
    pub fn render(&self, sample: &ControlSample) -> String {
        for (gauge, field) in &self.gauges {
            gauge.set(field(sample) as i64);
        }
        for channel in &sample.channels {
            set_counter(&self.bytes, channel.channel, "sent", channel.sent_bytes);
            set_counter(
                &self.bytes,
                channel.channel,
                "received",
                channel.received_bytes,
            );
            set_counter(&self.units, channel.channel, "sent", channel.sent_units);
            set_counter(
                &self.units,
                channel.channel,
                "received",
                channel.received_units,
            );
        }
        let mut text = String::new();
        match text::encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# {error}\n"),
        }
    }
}

fn set_counter(
    family: &Family<ChannelLabels, Counter>,
    channel: &'static str,
    direction: &'static str,
    value: u64,
) {
    let counter = family.get_or_create(&ChannelLabels { channel, direction });
    counter.inner().store(value, Ordering::Relaxed);
}
