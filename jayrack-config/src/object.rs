//! The objects that operators configure: ranks, services and routes.
use serde::{Deserialize, Serialize};

/// Offset of the log record that put a configuration in force; 0 before the first.
pub type Version = u64;

/// Settings of one rank of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSpec {
    /// Unique name.
    pub name: String,
    /// Position; 0 is the most urgent, and no two ranks share one.
    pub order: u8,
    /// Reserved share of each backend server's slots, in percent; other ranks cannot take it while this one has work.
    #[serde(default)]
    pub floor_percent: u8,
    /// Deadline of requests that carry none, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u32,
}

fn default_deadline_ms() -> u32 {
    5_000
}

/// Service level objective for one rank of work at a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceObjective {
    /// Name of the rank.
    pub rank: String,
    /// Time within which a request counts as good, in milliseconds.
    pub latency_ms: u32,
    /// Share of requests that must be good, in thousandths of a percent (99_900 is 99.9 %).
    pub target_millipercent: u32,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Unique name, as announced by the backend servers.
    pub name: String,
    /// Objectives that the burn report covers.
    #[serde(default)]
    pub objectives: Vec<ServiceObjective>,
}

/// Maps matching requests to a service, a rank and a kind of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Unique name.
    pub name: String,
    /// Host that the request must name; any when empty.
    #[serde(default)]
    pub host: String,
    /// Prefix of the request's path; whole path segments are compared.
    pub path_prefix: String,
    /// Methods that match; any when empty.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Name of the service.
    pub service: String,
    /// Name of the rank.
    pub rank: String,
    /// Kind of work, for fair shares and reports.
    pub kind: String,
    /// Value of one completed customer request of this kind; 0 for internal lookups.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Whether a request may be run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Names of the backend servers that the route is restricted to; all of the service when empty.
    #[serde(default)]
    pub pinned: Vec<String>,
}

fn default_weight() -> u32 {
    1
}

/// One configured object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "lowercase")]
pub enum ConfigObject {
    /// A rank of work.
    Rank(RankSpec),
    /// A service.
    Service(ServiceSpec),
    /// A route.
    Route(RouteSpec),
}

/// Key of an object; written as `rank/NAME`, `service/NAME` or `route/NAME`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum ObjectKey {
    /// A rank of work.
    Rank(String),
    /// A service.
    Service(String),
    /// A route.
    Route(String),
}

impl ConfigObject {
    /// The key under which the object is stored.
    pub fn key(&self) -> ObjectKey {
        match self {
            ConfigObject::Rank(rank) => ObjectKey::Rank(rank.name.clone()),
            ConfigObject::Service(service) => ObjectKey::Service(service.name.clone()),
            ConfigObject::Route(route) => ObjectKey::Route(route.name.clone()),
        }
    }
}

impl std::fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ObjectKey::Rank(name) => write!(f, "rank/{name}"),
            ObjectKey::Service(name) => write!(f, "service/{name}"),
            ObjectKey::Route(name) => write!(f, "route/{name}"),
        }
    }
}

impl From<ObjectKey> for String {
    fn from(key: ObjectKey) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for ObjectKey {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let Some((kind, name)) = text.split_once('/') else {
            return Err(format!("`{text}` is not of the form TYPE/NAME"));
        };
        match kind {
            "rank" => Ok(ObjectKey::Rank(name.to_string())),
            "service" => Ok(ObjectKey::Service(name.to_string())),
            "route" => Ok(ObjectKey::Route(name.to_string())),
            _ => Err(format!("`{kind}` is not a type of object")),
        }
    }
}

/// Change of one intent: objects to store and objects to remove.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Objects to store, replacing those of the same key.
    #[serde(default)]
    pub put: Vec<ConfigObject>,
    /// Keys of objects to remove.
    #[serde(default)]
    pub remove: Vec<ObjectKey>,
}
