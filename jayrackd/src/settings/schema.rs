//! Fields of the settings with their units, defaults and ranges.
use std::net::SocketAddr;

use jayrack_config::record::Role;
use serde::Deserialize;

/// Settings that a daemon reads at start.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name shown to operators; unique in the fleet.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Platform log.
    pub log: LogSettings,
    /// Gossip addresses of other daemons, tried before the contacts in the log.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Keys shared by the fleet.
    pub fleet: FleetSettings,
    /// Tokens of the teams that use the administration API.
    #[serde(default)]
    pub operators: Vec<OperatorSettings>,
    /// Limits on sizes and counts.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Time limits.
    #[serde(default)]
    pub timeouts: TimeoutSettings,
    /// Method by which the daemon receives the configuration.
    #[serde(default)]
    pub distribution: DistributionMode,
    /// Policy for ordering, refusing and retrying requests.
    #[serde(default)]
    pub policy: PolicyMode,
    /// Number of traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Seed of all random choices; taken from the clock if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

fn default_traffic_threads() -> usize {
    2
}

/// Addresses to listen on, each an IP number and a port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers, HTTP/1.1.
    pub callers: SocketAddr,
    /// Forwarded requests and configuration from other daemons, QUIC.
    pub forward: SocketAddr,
    /// Membership datagrams from other daemons, UDP.
    pub gossip: SocketAddr,
    /// Administration API, metrics and health, HTTP/1.1.
    pub admin: SocketAddr,
    /// Announcements of the backend servers on this host, HTTP/1.1.
    pub announce: SocketAddr,
}

/// Settings of the platform log.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Address of the log service.
    pub address: SocketAddr,
    /// Time for which the log keeps records, in milliseconds.
    #[serde(default = "default_retention_ms")]
    pub retention_ms: u64,
    /// Maximum number of appends per second by all daemons of the fleet together.
    #[serde(default = "default_appends_per_second")]
    pub appends_per_second: u32,
}

fn default_retention_ms() -> u64 {
    24 * 60 * 60 * 1_000
}

fn default_appends_per_second() -> u32 {
    100
}

/// Keys shared by the fleet.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Key that authenticates datagrams.
    pub key: String,
    /// Second key that is accepted during a rotation: the previous or the next one.
    #[serde(default)]
    pub other_key: Option<String>,
    /// Certificate chain of this daemon for the name `jayrack`, PEM.
    pub certificate: String,
    /// Private key of the certificate, PEM.
    pub private_key: String,
    /// Certificate authorities whose certificates are accepted, PEM; several during a rotation.
    pub authorities: String,
}

impl std::fmt::Debug for FleetSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSettings")
    }
}

/// Token of one team.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name of the team.
    pub team: String,
    /// Secret sent as `Authorization: Bearer TOKEN`.
    pub token: String,
    /// Role of the token's holder.
    pub role: Role,
}

impl std::fmt::Debug for OperatorSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "OperatorSettings({}, {:?})", self.team, self.role)
    }
}

/// Limits on sizes and counts.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of the body of a caller's request, in bytes.
    pub body_bytes: u64,
    /// Maximum size of the head of a caller's request, in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body of an administration request, in bytes.
    pub admin_body_bytes: usize,
    /// Maximum number of open connections of callers.
    pub caller_connections: usize,
    /// Maximum number of requests that wait at one backend server.
    pub queued_requests: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 16 * 1024 * 1024,
            head_bytes: 16 * 1024,
            admin_body_bytes: 256 * 1024,
            caller_connections: 1_024,
            queued_requests: 512,
        }
    }
}

/// Time limits, in milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TimeoutSettings {
    /// Time without an announcement after which a backend server is removed.
    pub announce_ms: u64,
    /// Time limit for requests in flight to complete at shutdown.
    pub grace_ms: u64,
    /// Time limit for receiving the head of a caller's request.
    pub head_ms: u64,
    /// Time limit for the outcome of an operator's proposal, confirm or drop; after it the request is
    /// answered as pending.
    pub confirm_ms: u64,
}

impl Default for TimeoutSettings {
    fn default() -> Self {
        Self {
            announce_ms: 2_000,
            grace_ms: 10_000,
            head_ms: 5_000,
            confirm_ms: 3_000,
        }
    }
}

/// Method by which a daemon receives the configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DistributionMode {
    /// Readers of the log push records to the other daemons.
    #[default]
    Push,
    /// Every daemon polls the log each second; the baseline of benchmarks.
    Poll,
}

/// Policy for ordering, refusing and retrying requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PolicyMode {
    /// By rank, with reserved shares, load shedding and a retry budget.
    #[default]
    Rank,
    /// First come, first served, with a retry budget that does not limit retries; the baseline of
    /// benchmarks.
    Fifo,
}

/// A field whose value is outside its range.
#[derive(Debug)]
pub struct RangeViolation {
    /// Path of the field.
    pub path: String,
    /// Range that the value must be in.
    pub message: String,
}

/// Returns the first field whose value is outside its range.
pub fn first_violation(settings: &DaemonSettings) -> Option<RangeViolation> {
    let checks = [
        ("name", !settings.name.is_empty(), "must not be empty"),
        (
            "data_centre",
            !settings.data_centre.is_empty(),
            "must not be empty",
        ),
        ("region", !settings.region.is_empty(), "must not be empty"),
        (
            "fleet.key",
            settings.fleet.key.len() >= 16,
            "must have at least 16 bytes",
        ),
        (
            "traffic_threads",
            (1..=64).contains(&settings.traffic_threads),
            "must be 1 to 64",
        ),
        (
            "log.retention_ms",
            settings.log.retention_ms >= 1_000,
            "must be at least 1000",
        ),
        (
            "log.appends_per_second",
            settings.log.appends_per_second > 0,
            "must be at least 1",
        ),
        (
            "limits.head_bytes",
            settings.limits.head_bytes >= 8_192,
            "must be at least 8192",
        ),
        (
            "limits.admin_body_bytes",
            settings.limits.admin_body_bytes > 0,
            "must be at least 1",
        ),
        (
            "limits.caller_connections",
            settings.limits.caller_connections > 0,
            "must be at least 1",
        ),
        (
            "limits.queued_requests",
            settings.limits.queued_requests > 0,
            "must be at least 1",
        ),
        (
            "timeouts.announce_ms",
            settings.timeouts.announce_ms >= 100,
            "must be at least 100",
        ),
        (
            "timeouts.head_ms",
            settings.timeouts.head_ms >= 100,
            "must be at least 100",
        ),
        (
            "timeouts.confirm_ms",
            settings.timeouts.confirm_ms >= 100,
            "must be at least 100",
        ),
    ];
    let (path, _, message) = checks.into_iter().find(|(_, holds, _)| !holds)?;
    Some(RangeViolation {
        path: path.to_string(),
        message: message.to_string(),
    })
}
