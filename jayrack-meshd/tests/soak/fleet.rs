//! The daemons of one soak, with their servers, links and store.
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use jayrack_testkit::link::TcpLink;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    faults,
    support::{FleetStore, HostProcess, ServerStandin, configuration, until},
};

/// Hosts of a soak, each with a server.
pub const HOSTS: usize = 4;
/// Time between two heartbeats of a server.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Time until the operator retries a configuration write that was not acknowledged.
const OPERATOR_BACKOFF: Duration = Duration::from_millis(200);
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(15);

/// A host with its daemon and server.
pub struct SoakHost {
    pub process: tokio::sync::Mutex<HostProcess>,
    pub server: ServerStandin,
    /// Link between the daemon and its server.
    pub server_link: TcpLink,
    /// Number of the daemon's incarnation; increases with each restart.
    pub incarnation: AtomicU64,
    state: Mutex<ServerState>,
}

/// State that the server beside a daemon reports.
#[derive(Debug, Clone)]
struct ServerState {
    number: u64,
    instance: String,
    state: &'static str,
    sequence: u64,
}

/// A server that left, and when its report of draining was acknowledged.
#[derive(Debug, Clone)]
pub struct Departure {
    pub instance: String,
    pub acknowledged: Instant,
}

/// A fleet under test.
pub struct SoakFleet {
    pub store: FleetStore,
    /// Link between the daemons and the store.
    pub store_link: TcpLink,
    pub hosts: Vec<Arc<SoakHost>>,
    pub departures: Mutex<Vec<Departure>>,
    version: AtomicU64,
    /// The newest version that may be in force, acknowledged or not.
    sent_version: AtomicU64,
    /// Newest configuration that the operator has written; held while it writes.
    operator: tokio::sync::Mutex<String>,
    reporting: Vec<JoinHandle<()>>,
}

impl SoakFleet {
    /// Starts a fleet and waits until each host serves.
    pub async fn start(seed: u64) -> Arc<Self> {
        let store = FleetStore::start().await;
        if faults::has_returns(seed) {
            store.standin.state_era();
        }
        let store_link = TcpLink::start(store.standin.address()).await.unwrap();
        let mut fleet = Self {
            store,
            store_link,
            hosts: Vec::new(),
            departures: Mutex::default(),
            version: AtomicU64::new(seed % 7),
            sent_version: AtomicU64::default(),
            operator: tokio::sync::Mutex::default(),
            reporting: Vec::new(),
        };
        fleet.configure().await;
        for _ in 0..HOSTS {
            let host = Arc::new(SoakHost::start(&fleet.store_link).await);
            fleet.reporting.push(tokio::spawn(report(host.clone())));
            fleet.hosts.push(host);
        }
        for host in &fleet.hosts {
            let process = host.process.lock().await;
            process.until_ready(StatusCode::OK).await;
            until("a caller is served", || async {
                let answer = process.ask(Method::GET, "/browse/1", "warm").await;
                answer.is_some_and(|answer| answer.status == StatusCode::OK)
            })
            .await;
        }
        Arc::new(fleet)
    }

    /// Writes the next configuration until it is acknowledged; each version has a route of its own.
    pub async fn configure(&self) {
        let mut newest = self.operator.lock().await;
        let version = self.version() + 1;
        let mut text: serde_json::Value =
            serde_json::from_str(&configuration(version, 1.5)).unwrap();
        let paths = text["virtual_hosts"][0]["paths"].as_array_mut().unwrap();
        let mut route = paths[1].clone();
        route["name"] = format!("look{version}").into();
        route["path_prefix"] = look_path(version).into();
        paths.push(route);
        *newest = text.to_string();
        self.sent_version.store(version, Ordering::SeqCst);
        self.write(&newest).await;
        self.version.store(version, Ordering::SeqCst);
    }

    /// Writes the newest configuration again, since the store may have lost it.
    pub async fn write_configuration_again(&self) {
        let newest = self.operator.lock().await;
        self.write(&newest).await;
    }

    /// Writes a configuration until it is acknowledged.
    async fn write(&self, text: &str) {
        while let Err(error) = self.store.try_put_configuration(text).await {
            println!("the operator tries again: {error:?}");
            sleep(OPERATOR_BACKOFF).await;
        }
    }

    /// Whether no version newer than the acknowledged one may be in force.
    pub fn is_settled(&self) -> bool {
        self.sent_version.load(Ordering::SeqCst) == self.version()
    }

    /// The newest version that the store has acknowledged.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }
}

impl Drop for SoakFleet {
    fn drop(&mut self) {
        for task in &self.reporting {
            task.abort();
        }
    }
}

/// Path of the route that only `version` has.
pub fn look_path(version: u64) -> String {
    format!("/look{version}/")
}

impl SoakHost {
    async fn start(store_link: &TcpLink) -> Self {
        let process = HostProcess::start_at(store_link.address());
        let relayed = process.relayed_server();
        let instance = format!("i-{}-0", process.address);
        let server = ServerStandin::start(relayed, &instance, SERVICE_TIME).await;
        let server_link = TcpLink::listen(process.server(), relayed).await.unwrap();
        Self {
            process: tokio::sync::Mutex::new(process),
            server,
            server_link,
            incarnation: AtomicU64::new(0),
            state: Mutex::new(ServerState {
                number: 0,
                instance,
                state: "ready",
                sequence: 0,
            }),
        }
    }

    /// Reports the server's state; returns its incarnation if the report was acknowledged.
    async fn report(&self) -> Option<String> {
        let now = {
            let mut state = self.state.lock().unwrap();
            state.sequence += 1;
            state.clone()
        };
        let body = {
            let process = self.process.lock().await;
            (
                process.reporter(),
                process.status(now.state, now.number + 1, now.sequence),
            )
        };
        let (reporter, body) = body;
        let acknowledged = reporter.report(&now.instance, "heartbeat", body).await;
        acknowledged.then_some(now.instance)
    }

    /// The server reports that it drains, continues to serve for `serving` and is replaced; `None` if the report
    /// was not acknowledged.
    pub async fn replace_server(&self, serving: Duration) -> Option<Departure> {
        self.state.lock().unwrap().state = "draining";
        let instance = self.report().await;
        let departure = instance.map(|instance| Departure {
            instance,
            acknowledged: Instant::now(),
        });
        sleep(serving).await;
        let instance = {
            let mut state = self.state.lock().unwrap();
            state.number += 1;
            let (host, _) = state.instance.rsplit_once('-').unwrap();
            state.instance = format!("{host}-{}", state.number);
            state.state = "ready";
            state.sequence = 0;
            state.instance.clone()
        };
        self.server.replace(&instance);
        departure
    }
}

async fn report(host: Arc<SoakHost>) {
    loop {
        host.report().await;
        sleep(REPORT_INTERVAL).await;
    }
}
