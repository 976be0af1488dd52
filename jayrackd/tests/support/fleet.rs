//! Traffic threads of several daemons, with shared state that the test sets.
use std::{net::SocketAddr, sync::Arc};

use jayrack_config::{
    object::{RankSpec, RouteSpec, ServiceObjective, ServiceSpec},
    table::{RouteEntry, RouteTable, ServerEntry, ServiceEntry},
};
use jayrack_protocol::MemberId;
use jayrackd::{
    clock::DaemonClock,
    shared::{LocalServer, PeerEntry, SharedState},
    traffic::{self, Limits, Options, Timeouts, TrafficHandle},
    transport::{SyncCall, TlsOptions},
};
use tokio::sync::mpsc;

use super::{backend::Backend, certificates::Authority};

/// The traffic threads of one daemon.
pub struct Daemon {
    pub shared: Arc<SharedState>,
    pub handle: TrafficHandle,
    pub sync_calls: mpsc::Receiver<SyncCall>,
}

/// Initial clock of a daemon in milliseconds: as if it had run for this long.
pub const CLOCK_START_MS: u64 = 600_000;

/// Settings of a daemon that tests change.
#[derive(Debug, Clone)]
pub struct Setup {
    pub limits: Limits,
    pub timeouts: Timeouts,
    pub seed: u64,
    pub worker_threads: usize,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            limits: Limits::default(),
            timeouts: Timeouts {
                clock_skew: std::time::Duration::ZERO,
                ..Timeouts::default()
            },
            seed: 1,
            worker_threads: 2,
        }
    }
}

impl Daemon {
    pub async fn start(name: &str, tls: TlsOptions, setup: &Setup) -> Self {
        let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let options = Options::new(any, any, tls)
            .limits(setup.limits.clone())
            .timeouts(setup.timeouts.clone())
            .clock(DaemonClock::start_at(CLOCK_START_MS))
            .claims_known_since_ms(0)
            .worker_threads(setup.worker_threads)
            .seed(setup.seed);
        let id = MemberId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()));
        let shared = Arc::new(SharedState::new(id, "wrecsam", "wales"));
        let (sender, sync_calls) = mpsc::channel(16);
        let handle = traffic::start(options, shared.clone(), sender).await;
        Self {
            shared,
            handle: handle.unwrap(),
            sync_calls,
        }
    }

    pub fn callers(&self) -> SocketAddr {
        self.handle.callers_address()
    }

    pub fn peer_entry(&self) -> PeerEntry {
        PeerEntry {
            id: self.shared.local,
            forward_address: self.handle.forward_address(),
            data_centre: "wrecsam".to_string(),
            region: "wales".to_string(),
            is_alive: true,
            alive_since_ms: 0,
            dead_since_ms: None,
            has_left: false,
        }
    }
}

/// Adds `backend` to the local servers of `owner`.
pub fn announce(owner: &Daemon, name: &str, backend: &Backend) {
    let mut servers = owner.shared.servers.load().as_ref().clone();
    servers.retain(|server| server.name != name);
    servers.push(local_server(name, backend.address));
    owner.shared.servers.store(Arc::new(servers));
}

pub fn local_server(name: &str, address: SocketAddr) -> LocalServer {
    LocalServer {
        name: name.to_string(),
        service: "bookings".to_string(),
        address,
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    }
}

/// Makes the table entry of a server, reached through `owner` at `forward_address`.
pub fn server_entry(name: &str, owner: &Daemon, forward_address: SocketAddr) -> Arc<ServerEntry> {
    Arc::new(ServerEntry {
        name: name.to_string(),
        service: "bookings".to_string(),
        owner: owner.shared.local,
        forward_address,
        data_centre: "wrecsam".to_string(),
        region: "wales".to_string(),
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    })
}

/// Makes a table in which `/browse` is idempotent and `/confirm` is not; both go to `servers`.
pub fn table(servers: &[Arc<ServerEntry>]) -> RouteTable {
    let mut servers = servers.to_vec();
    servers.sort_by(|a, b| a.name.cmp(&b.name));
    let rank = rank_spec();
    let service = ServiceSpec {
        name: "bookings".to_string(),
        objectives: vec![ServiceObjective {
            rank: rank.name.clone(),
            latency_ms: 60_000,
            target_millipercent: 99_900,
        }],
    };
    let route = |path: &str, idempotent: bool| RouteEntry {
        spec: route_spec(path, idempotent),
        rank: rank.clone(),
        servers: servers.clone(),
    };
    RouteTable {
        version: 1,
        digest: 0,
        ranks: [(rank.name.clone(), rank.clone())].into(),
        services: [(
            service.name.clone(),
            ServiceEntry {
                spec: service,
                servers: servers.clone(),
            },
        )]
        .into(),
        routes: vec![route("/confirm", false), route("/browse", true)],
    }
}

fn rank_spec() -> RankSpec {
    RankSpec {
        name: "urgent".to_string(),
        order: 0,
        floor_percent: 10,
        deadline_ms: 5_000,
    }
}

fn route_spec(path: &str, idempotent: bool) -> RouteSpec {
    RouteSpec {
        name: path[1..].to_string(),
        host: String::new(),
        path_prefix: path.to_string(),
        methods: Vec::new(),
        service: "bookings".to_string(),
        rank: "urgent".to_string(),
        kind: path[1..].to_string(),
        weight: 1,
        idempotent,
        pinned: Vec::new(),
    }
}

/// Gives all daemons the same table and peers and makes them ready.
pub fn publish(daemons: &[&Daemon], servers: &[Arc<ServerEntry>]) {
    let table = Arc::new(table(servers));
    let mut peers: Vec<_> = daemons.iter().map(|daemon| daemon.peer_entry()).collect();
    peers.sort_by_key(|peer| peer.id);
    let peers = Arc::new(peers);
    for daemon in daemons {
        daemon.shared.table.store(table.clone());
        daemon.shared.peers.store(peers.clone());
        daemon.shared.set_ready();
    }
}

/// An ingress without servers and an owner with one backend server.
pub struct Pair {
    pub ingress: Daemon,
    pub owner: Daemon,
    pub backend: Backend,
}

/// Starts a [`Pair`] that is ready to serve.
pub async fn start_pair(setup: &Setup) -> Pair {
    let authority = Authority::new();
    let ingress = Daemon::start("a", authority.tls_options(&[]), setup).await;
    let owner = Daemon::start("b", authority.tls_options(&[]), setup).await;
    let backend = Backend::start().await;
    announce(&owner, "s1", &backend);
    let entry = server_entry("s1", &owner, owner.handle.forward_address());
    publish(&[&ingress, &owner], &[entry]);
    Pair {
        ingress,
        owner,
        backend,
    }
}

/// Two ingresses and two owners with one backend server each.
pub struct Quartet {
    pub ingresses: Vec<Daemon>,
    pub owners: Vec<Daemon>,
    pub backends: Vec<Backend>,
}

impl Quartet {
    /// Returns the number of executions of the requests labelled `mark`, at all backend servers.
    pub fn started(&self, mark: &str) -> usize {
        let seen = self.backends.iter().map(|backend| backend.seen(mark));
        seen.map(|seen| seen.started).sum()
    }

    pub fn daemons(&self) -> Vec<&Daemon> {
        self.ingresses.iter().chain(&self.owners).collect()
    }
}

/// Starts a [`Quartet`] that is ready to serve.
pub async fn start_quartet(setup: &Setup) -> Quartet {
    let authority = Authority::new();
    let mut daemons = Vec::new();
    for name in ["a", "b", "c", "d"] {
        daemons.push(Daemon::start(name, authority.tls_options(&[]), setup).await);
    }
    let owners = daemons.split_off(2);
    let backends = vec![Backend::start().await, Backend::start().await];
    let mut entries = Vec::new();
    for (index, owner) in owners.iter().enumerate() {
        let name = format!("s{index}");
        announce(owner, &name, &backends[index]);
        entries.push(server_entry(&name, owner, owner.handle.forward_address()));
    }
    let quartet = Quartet {
        ingresses: daemons,
        owners,
        backends,
    };
    publish(&quartet.daemons(), &entries);
    quartet
}
