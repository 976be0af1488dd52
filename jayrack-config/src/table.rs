//! The immutable route table that traffic uses.
//!
//! A table is a pure function of one configuration version and one membership view. Every active
//! route resolves to a service and to backend servers inside the same table.
use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, sync::Arc};

use jayrack_protocol::MemberId;

use crate::{
    fold::ConfigState,
    object::{ConfigObject, RankSpec, RouteSpec, ServiceSpec, Version},
};

/// One backend server as the membership view describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerEntry {
    /// Unique name.
    pub name: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// The daemon that runs beside the server.
    pub owner: MemberId,
    /// Address of the owner's QUIC listener.
    pub forward_address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: String,
    /// Region of the server.
    pub region: String,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Number of connections that the server accepts.
    pub connections: u32,
    /// Whether the server accepts no new requests.
    pub draining: bool,
    /// Share of full capacity reached since a cold start, 0 to 100.
    pub warm_percent: u8,
}

/// A service with the backend servers that are known for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceEntry {
    /// The configured service.
    pub spec: ServiceSpec,
    /// Its backend servers, ordered by name.
    pub servers: Vec<Arc<ServerEntry>>,
}

/// A route whose service and rank are in the same table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteEntry {
    /// The configured route.
    pub spec: RouteSpec,
    /// The rank of its work.
    pub rank: RankSpec,
    /// Candidate backend servers ordered by name: the pinned ones or all of the service. Empty when inactive.
    pub servers: Vec<Arc<ServerEntry>>,
}

impl RouteEntry {
    /// Whether the route has at least one candidate backend server.
    pub fn is_active(&self) -> bool {
        !self.servers.is_empty()
    }
}

/// All routes of one configuration version, with the backend servers behind them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Configuration version that the table was compiled from.
    pub version: Version,
    /// Digest of the configuration state at that version.
    pub digest: u64,
    /// Ranks by name.
    pub ranks: BTreeMap<String, RankSpec>,
    /// Services by name.
    pub services: BTreeMap<String, ServiceEntry>,
    /// Routes, those with the longest path prefix first.
    pub routes: Vec<RouteEntry>,
}

impl RouteTable {
    /// Compiles the configuration in force and the known backend servers into a table.
    pub fn build(state: &ConfigState, servers: &[ServerEntry]) -> Self {
        let mut table = Self {
            version: state.version(),
            digest: state.digest(),
            ..Self::default()
        };
        let servers = group_servers(servers);
        for entry in state.objects().values() {
            match &entry.object {
                ConfigObject::Rank(rank) => {
                    table.ranks.insert(rank.name.clone(), rank.clone());
                }
                ConfigObject::Service(service) => {
                    let spec = service.clone();
                    let servers = servers
                        .get(service.name.as_str())
                        .cloned()
                        .unwrap_or_default();
                    table
                        .services
                        .insert(service.name.clone(), ServiceEntry { spec, servers });
                }
                ConfigObject::Route(_) => {}
            }
        }
        table.routes = build_routes(state, &table);
        table
            .routes
            .sort_by_cached_key(|route| match_order(&route.spec));
        table
    }

    /// Finds the route for a request: the one with the longest path prefix, then one that names the host
    /// before one for any host, then one that names methods before one for any method.
    pub fn find(&self, host: &str, path: &str, method: &str) -> Option<&RouteEntry> {
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let host = strip_port(host);
        self.routes
            .iter()
            .find(|route| matches(&route.spec, host, path, method))
    }
}

fn group_servers(servers: &[ServerEntry]) -> BTreeMap<&str, Vec<Arc<ServerEntry>>> {
    let mut groups: BTreeMap<&str, BTreeMap<&str, &ServerEntry>> = BTreeMap::new();
    for server in servers {
        let group = groups.entry(&server.service).or_default();
        group.insert(&server.name, server);
    }
    let shared = |group: BTreeMap<&str, &ServerEntry>| {
        let servers = group.into_values();
        servers.map(|server| Arc::new(server.clone())).collect()
    };
    groups
        .into_iter()
        .map(|(service, group)| (service, shared(group)))
        .collect()
}

fn build_routes(state: &ConfigState, table: &RouteTable) -> Vec<RouteEntry> {
    let mut routes = Vec::new();
    for entry in state.objects().values() {
        let ConfigObject::Route(spec) = &entry.object else {
            continue;
        };
        let (Some(service), Some(rank)) = (
            table.services.get(&spec.service),
            table.ranks.get(&spec.rank),
        ) else {
            continue;
        };
        let candidates = service.servers.iter();
        let candidates = candidates
            .filter(|server| spec.pinned.is_empty() || spec.pinned.contains(&server.name));
        routes.push(RouteEntry {
            spec: spec.clone(),
            rank: rank.clone(),
            servers: candidates.cloned().collect(),
        });
    }
    routes
}

type MatchOrder = (Reverse<usize>, bool, bool, String);

fn match_order(spec: &RouteSpec) -> MatchOrder {
    let length = Reverse(spec.path_prefix.trim_end_matches('/').len());
    (
        length,
        spec.host.is_empty(),
        spec.methods.is_empty(),
        spec.name.clone(),
    )
}

fn matches(spec: &RouteSpec, host: &str, path: &str, method: &str) -> bool {
    let prefix = spec.path_prefix.trim_end_matches('/');
    let is_path = path
        .strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'));
    is_path
        && (spec.host.is_empty() || spec.host.eq_ignore_ascii_case(host))
        && (spec.methods.is_empty() || spec.methods.iter().any(|name| name == method))
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
