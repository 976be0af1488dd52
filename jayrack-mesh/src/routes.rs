//! Route table of the operator's configuration.
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::tenants::TenantDirectory;

/// Longest timeout that a route may have, in milliseconds; a longer one is rejected as a mistake in units.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// Kind of the requests on a route, which decides whether they may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests with small answers.
    Safe,
    /// Requests that must run at most once.
    Unsafe,
    /// Idempotent requests with large answers.
    Download,
}

impl RouteKind {
    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        match self {
            RouteKind::Safe | RouteKind::Download => true,
            RouteKind::Unsafe => false,
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its share, relative to the other weights of the route.
    pub weight: u64,
}

/// One route of a virtual host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MeshRoute {
    /// Name, unique within the configuration.
    pub name: String,
    /// Host header that it serves, in lower case and without a port.
    pub host: String,
    /// Prefix of the paths that it serves; begins and ends with a slash.
    pub prefix: String,
    /// Services that receive its requests.
    pub targets: Vec<RouteTarget>,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Time after which an unanswered request fails, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency up to which an answer has its full value to the caller, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Most backend servers that may run one request.
    pub attempts: u32,
    /// Whether requests need no tenant's key.
    pub is_public: bool,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time after which an unused connection may be closed, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Reason why a configuration was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A route names a service that the configuration does not list.
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// A route has no service or only weights of zero.
    NoTarget(String),
    /// A route's timeout is zero or above [`MAX_TIMEOUT_MS`].
    Timeout(String),
    /// A route allows no attempt.
    Attempts(String),
    /// A route's prefix does not begin and end with a slash.
    Prefix(String),
    /// Two routes of one host have the same prefix.
    Duplicate(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::UnknownService { route, service } => {
                write!(
                    f,
                    "route {route}: service {service} is not in the configuration"
                )
            }
            Error::NoTarget(route) => {
                write!(f, "route {route}: no service with a weight above zero")
            }
            Error::Timeout(route) => write!(f, "route {route}: the timeout is out of range"),
            Error::Attempts(route) => write!(f, "route {route}: the number of attempts is zero"),
            Error::Prefix(route) => write!(
                f,
                "route {route}: the prefix does not begin and end with a slash"
            ),
            Error::Duplicate(route) => write!(
                f,
                "route {route}: another route of the host has the same prefix"
            ),
        }
    }
}

impl std::error::Error for Error {}

/// Route table of one accepted configuration.
///
/// Guarantees that every route names listed services only; a configuration is accepted as a whole or not at all.
#[derive(Debug)]
pub struct MeshRoutes {
    version: u64,
    limits: RequestLimits,
    hosts: BTreeMap<String, BTreeMap<String, Arc<MeshRoute>>>,
    names: BTreeSet<String>,
    tenants: Option<TenantDirectory>,
}

impl MeshRoutes {
    /// Validates `routes` against `services` and builds the table.
    ///
    /// # Errors
    ///
    /// Returns the first reason why the configuration is refused.
    pub fn build(
        version: u64,
        services: &[String],
        limits: RequestLimits,
        routes: Vec<MeshRoute>,
    ) -> Result<Self, Error> {
        let mut hosts: BTreeMap<String, BTreeMap<String, Arc<MeshRoute>>> = BTreeMap::new();
        let names = routes.iter().map(|route| route.name.clone()).collect();
        for route in routes {
            check(&route, services)?;
            let prefixes = hosts.entry(route.host.clone()).or_default();
            let name = route.name.clone();
            let replaced = prefixes.insert(route.prefix.clone(), Arc::new(route));
            if replaced.is_some() {
                return Err(Error::Duplicate(name));
            }
        }
        Ok(Self {
            version,
            limits,
            hosts,
            names,
            tenants: None,
        })
    }

    /// Requires a key of one of `tenants` on all routes that are not public.
    pub fn with_tenants(mut self, tenants: TenantDirectory) -> Self {
        self.tenants = Some(tenants);
        self
    }

    /// Tenants of the configuration; `None` if requests need no key.
    pub fn tenants(&self) -> Option<&TenantDirectory> {
        self.tenants.as_ref()
    }

    /// Version that the operator gave the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on the requests and connections of callers.
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Whether there is a route with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(BTreeMap::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The route with the longest prefix of `path` among those of `host`, which may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<MeshRoute>> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = match self.hosts.get(name) {
            Some(prefixes) => prefixes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let mut rest = path;
        while let Some(end) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&rest[..=end]) {
                return Some(route);
            }
            rest = &rest[..end];
        }
        None
    }
}

fn check(route: &MeshRoute, services: &[String]) -> Result<(), Error> {
    let name = || route.name.clone();
    if let Some(target) = route
        .targets
        .iter()
        .find(|target| !services.contains(&target.service))
    {
        return Err(Error::UnknownService {
            route: name(),
            service: target.service.clone(),
        });
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        return Err(Error::NoTarget(name()));
    }
    if route.timeout_ms == 0 || route.timeout_ms > MAX_TIMEOUT_MS {
        return Err(Error::Timeout(name()));
    }
    if route.attempts == 0 {
        return Err(Error::Attempts(name()));
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(Error::Prefix(name()));
    }
    Ok(())
}
