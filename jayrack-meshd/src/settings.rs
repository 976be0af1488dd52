//! Settings file of the daemon: JSON with comments, checked strictly before any socket is opened.
use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
};

use jsonc_parser::ParseOptions;
use serde::Deserialize;

/// Maximum duration in a setting, in seconds; a longer one is probably given in the wrong unit.
const MAX_SECONDS: f64 = 86_400.0;

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeshSettings {
    /// Host that the daemon runs on.
    pub host: HostSettings,
    /// Backend server beside the daemon.
    pub server: ServerSettings,
    /// Addresses that the daemon listens on.
    pub listen: ListenSettings,
    /// First and last port for traffic between daemons: the first one receives datagrams, the last one serves the
    /// metrics.
    pub ports: [u16; 2],
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// How the load of servers is judged between two of their reports.
    #[serde(default)]
    pub balancing: BalancingMode,
    /// Whether the whole fleet starts for the first time, so that no other daemon has a configuration yet.
    #[serde(default)]
    pub first_start: bool,
    /// Bounds for the whole fleet; a change takes effect without a restart.
    pub bounds: BoundSettings,
}

/// How the load of servers is judged between two of their reports, and what a daemon assumes of its own server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BalancingMode {
    /// By the last report.
    #[default]
    Reported,
    /// By estimates; daemons pass requests on from full servers, and assume that a server goes on with requests that were
    /// abandoned or sent by an earlier process.
    Estimated,
}

/// Host that the daemon runs on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name that appears in logs.
    pub name: String,
    /// Address under which other daemons reach this host; it identifies the host in the fleet.
    pub address: IpAddr,
    /// Name of the data centre that the host is in.
    pub data_centre: String,
    /// Rate of the host's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory that the process may use, in megabytes; `None` if it is not limited.
    #[serde(default)]
    pub memory_mb: Option<u64>,
    /// File descriptors that the process may have open; `None` if they are not limited.
    #[serde(default)]
    pub max_descriptors: Option<u64>,
}

/// Backend server beside the daemon.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    /// Address of its HTTP listener.
    pub address: SocketAddr,
    /// Service that the server belongs to.
    pub service: String,
}

/// Addresses that the daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of the callers on this host.
    pub callers: SocketAddr,
    /// Requests that other daemons forward.
    pub forward: SocketAddr,
    /// Readiness checks of the platform.
    pub ready: SocketAddr,
    /// Status reports of the backend server.
    pub reports: SocketAddr,
}

/// Bounds that the operators set for the fleet as a whole; each may be a whole number or a fraction.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time between the termination signal and the forced end of the process, in seconds.
    pub stop_s: f64,
    /// Retries allowed for each request of a service in the window.
    pub repeat_ratio: f64,
    /// Retries allowed for each service in the window in addition, whatever the number of requests.
    pub repeat_slack: f64,
    /// Length of the window over which requests and retries are counted, in seconds.
    pub repeat_window_s: f64,
    /// Time after which a key that was taken away from a tenant admits no request, in seconds; `None` if keys may be
    /// served from knowledge of any age.
    #[serde(default)]
    pub revoke_s: Option<f64>,
    /// Bounds of the tenants' allowances.
    #[serde(default)]
    pub allowance: Option<AllowanceBounds>,
    /// Bounds of roll-outs.
    #[serde(default)]
    pub rollout: Option<RolloutBounds>,
}

impl BoundSettings {
    /// [`BoundSettings::revoke_s`] in milliseconds.
    pub fn revoke_ms(&self) -> Option<u64> {
        self.revoke_s.map(|seconds| (seconds * 1_000.0) as u64)
    }
}

/// Accuracy with which the tenants' allowances hold over the whole fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AllowanceBounds {
    /// Length of the window in which requests are counted, in seconds.
    pub window_s: f64,
    /// Fraction by which the requests of a window may exceed the allowance.
    pub overrun: f64,
    /// Requests of a window that may exceed the allowance in addition.
    pub slack: f64,
}

/// Bounds of the requests that a new version of a service receives before it is known to be good.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutBounds {
    /// Fraction of the service's requests.
    pub share: f64,
    /// Requests in addition to that fraction.
    pub slack: f64,
    /// Time after which a bad version receives no more requests, in seconds.
    pub stop_s: f64,
}

/// Error in the settings file.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    Unreadable(std::io::Error),
    /// The text is not JSON with comments.
    Syntax(String),
    /// A field is missing, unknown, of the wrong type or out of its range.
    Field {
        /// Path of the field from the root of the file.
        path: String,
        /// Description of the fault.
        message: String,
    },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Unreadable(error) => write!(f, "100 SettingsUnreadable: {error}"),
            Error::Syntax(message) => write!(f, "101 SettingsSyntax: {message}"),
            Error::Field { path, message } => {
                write!(f, "103 SettingsInvalidValue, {path}: {message}")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Fails if the file cannot be read or its content is invalid.
pub fn load(path: &Path) -> Result<MeshSettings, Error> {
    let text = std::fs::read_to_string(path).map_err(Error::Unreadable)?;
    parse(&text)
}

/// Parses and checks settings.
///
/// # Errors
///
/// Fails if the text is not JSON with comments, or if a field is invalid.
pub fn parse(text: &str) -> Result<MeshSettings, Error> {
    let value: serde_json::Value =
        jsonc_parser::parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| Error::Syntax(error.to_string()))?;
    let settings: MeshSettings =
        serde_path_to_error::deserialize(value).map_err(|error| Error::Field {
            path: error.path().to_string(),
            message: error.inner().to_string(),
        })?;
    check(&settings)?;
    Ok(settings)
}

fn check(settings: &MeshSettings) -> Result<(), Error> {
    let bounds = &settings.bounds;
    let mut times = vec![
        ("bounds.stop_s", bounds.stop_s),
        ("bounds.repeat_window_s", bounds.repeat_window_s),
    ];
    times.extend(bounds.revoke_s.map(|time| ("bounds.revoke_s", time)));
    let mut allowances = vec![
        ("bounds.repeat_ratio", bounds.repeat_ratio),
        ("bounds.repeat_slack", bounds.repeat_slack),
    ];
    if let Some(allowance) = &bounds.allowance {
        times.push(("bounds.allowance.window_s", allowance.window_s));
        allowances.push(("bounds.allowance.overrun", allowance.overrun));
        allowances.push(("bounds.allowance.slack", allowance.slack));
    }
    if let Some(rollout) = &bounds.rollout {
        times.push(("bounds.rollout.stop_s", rollout.stop_s));
        allowances.push(("bounds.rollout.share", rollout.share));
        allowances.push(("bounds.rollout.slack", rollout.slack));
    }
    for (path, seconds) in times {
        if !(seconds > 0.0 && seconds <= MAX_SECONDS) {
            return Err(out_of_range(path));
        }
    }
    for (path, allowance) in allowances {
        if !(allowance >= 0.0 && allowance.is_finite()) {
            return Err(out_of_range(path));
        }
    }
    for (path, limit) in [
        ("host.memory_mb", settings.host.memory_mb),
        ("host.max_descriptors", settings.host.max_descriptors),
    ] {
        if limit == Some(0) {
            return Err(out_of_range(path));
        }
    }
    let link_mbps = settings.host.link_mbps;
    if !(link_mbps > 0.0 && link_mbps.is_finite()) {
        return Err(out_of_range("host.link_mbps"));
    }
    let [first, last] = settings.ports;
    if first == 0 || first >= last {
        return Err(out_of_range("ports"));
    }
    Ok(())
}

fn out_of_range(path: &str) -> Error {
    Error::Field {
        path: path.to_string(),
        message: "out of range".to_string(),
    }
}
