//! The daemons of a small deployment as processes: 11 hosts in 3 zones, with the settings of the deploy file's template.
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use tokio::time::sleep;

use crate::{callers, record::CaseRecord, servers::BackendServer, store::StoreStandin};

/// The daemon, as the deploy file starts it.
const DAEMON: &str = "target/platform/jayrack-meshd";
/// Variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "JAYRACK_NODE_FILE";
const CALLERS_PORT: u16 = 18_629;
const FORWARD_PORT: u16 = 18_624;
const READY_PORT: u16 = 18_625;
const REPORTS_PORT: u16 = 18_620;
const SERVER_PORT: u16 = 18_628;
const INTERNAL_PORTS: [u16; 2] = [17_600, 17_615];
const STORE_PORT: u16 = 18_627;
/// Number of hosts of a small deployment.
pub const ALL_HOSTS: usize = 11;
/// Zone and service of each host: the machines of the site `turnio-mesh`.
const PLAN: [(&str, &str); ALL_HOSTS] = [
    ("wrecsam", "availability"),
    ("wrecsam", "availability"),
    ("abertawe", "availability"),
    ("wrecsam", "bookings"),
    ("abertawe", "bookings"),
    ("casnewydd", "bookings"),
    ("wrecsam", "drawings"),
    ("abertawe", "drawings"),
    ("casnewydd", "drawings"),
    ("abertawe", "availability"),
    ("casnewydd", "availability"),
];
/// Bounds in the settings of the site `turnio-mesh`.
const BASE_BOUNDS: &str =
    r#"{ "stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 58, "repeat_window_s": 10 }"#;
/// Bounds in the settings of the site `arogya-setu-book-grown`.
const TENANT_BOUNDS: &str = r#"{
    "stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 164, "repeat_window_s": 10, "revoke_s": 5,
    "allowance": { "window_s": 5, "overrun": 0.1, "slack": 20 },
    "rollout": { "share": 0.1, "slack": 50, "stop_s": 5 }
  }"#;
/// Time after which the operator sends a change again that the store did not take.
const OPERATOR_RETRY: Duration = Duration::from_millis(3);
/// Time until all daemons are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Site whose settings the daemons have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Site {
    /// `turnio-mesh`.
    Turnio,
    /// `arogya-setu-book-grown`, with the machines of `turnio-mesh`.
    Arogya,
}

/// A host of the fleet.
#[derive(Debug, Clone)]
pub struct Host {
    pub number: usize,
    pub zone: &'static str,
    pub service: &'static str,
    address: IpAddr,
}

impl Host {
    pub fn callers(&self) -> SocketAddr {
        (self.address, CALLERS_PORT).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.address, READY_PORT).into()
    }

    pub fn reports(&self) -> SocketAddr {
        (self.address, REPORTS_PORT).into()
    }

    pub fn server(&self) -> SocketAddr {
        (self.address, SERVER_PORT).into()
    }
}

/// Addresses that no other run on this machine uses.
#[derive(Debug, Clone, Copy)]
pub struct AddressRange {
    second: u8,
    third: u8,
}

impl AddressRange {
    pub fn new() -> Self {
        let process = std::process::id();
        Self {
            second: 16 + (process % 200) as u8,
            third: (process / 200 % 250) as u8,
        }
    }

    fn host(&self, number: u8) -> IpAddr {
        Ipv4Addr::new(127, self.second, self.third, number).into()
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddr {
        (self.host(200), STORE_PORT).into()
    }

    /// Address of a relay in front of the store.
    pub fn relay(&self) -> SocketAddr {
        (self.host(201), STORE_PORT).into()
    }
}

/// A daemon process; it is killed when dropped.
pub struct Daemon {
    pub host: Host,
    site: Site,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    fn start(
        host: &Host,
        store: SocketAddr,
        site: Site,
        is_first_start: bool,
        directory: &std::path::Path,
    ) -> std::io::Result<Self> {
        let settings = directory.join(format!("host-{}.jsonc", host.number));
        let log = directory.join(format!("host-{}.log", host.number));
        std::fs::write(&settings, settings_text(host, store, site, is_first_start))?;
        let child = spawn(&settings, &log)?;
        Ok(Self {
            host: host.clone(),
            site,
            settings,
            log,
            child,
        })
    }

    pub fn signal(&self, signal: rustix::process::Signal) -> Result<(), String> {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).map_err(|error| error.to_string())
    }

    /// Waits for the end of the process.
    pub async fn wait_end(&mut self) -> Result<(), String> {
        loop {
            match self.child.try_wait() {
                Ok(Some(_)) => return Ok(()),
                Ok(None) => sleep(Duration::from_millis(20)).await,
                Err(error) => return Err(error.to_string()),
            }
        }
    }

    /// Starts the daemon again, with settings as the platform fills them in at a later start.
    pub fn restart(&mut self, store: SocketAddr) -> Result<(), String> {
        let text = settings_text(&self.host, store, self.site, false);
        std::fs::write(&self.settings, text).map_err(|error| error.to_string())?;
        self.child = spawn(&self.settings, &self.log).map_err(|error| error.to_string())?;
        Ok(())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &std::path::Path, log: &std::path::Path) -> std::io::Result<Child> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)?;
    Command::new(DAEMON)
        .env_clear()
        .env(SETTINGS_VARIABLE, settings)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
}

fn settings_text(host: &Host, store: SocketAddr, site: Site, is_first_start: bool) -> String {
    let Host {
        number,
        zone,
        service,
        address,
    } = host;
    let [first_port, last_port] = INTERNAL_PORTS;
    let (balancing, bounds) = match site {
        Site::Turnio => ("reported", BASE_BOUNDS),
        Site::Arogya => ("estimated", TENANT_BOUNDS),
    };
    format!(
        r#"{{
  "host": {{
    "name": "app_host-{zone}-{number}", "address": "{address}", "data_centre": "{zone}", "link_mbps": 1000.0,
    "memory_mb": 260, "max_descriptors": 4100
  }},
  "server": {{ "address": "{address}:{SERVER_PORT}", "service": "{service}" }},
  "listen": {{
    "callers": "{address}:{CALLERS_PORT}", "forward": "{address}:{FORWARD_PORT}",
    "ready": "{address}:{READY_PORT}", "reports": "{address}:{REPORTS_PORT}"
  }},
  "ports": [{first_port}, {last_port}],
  "store": "{store}",
  "balancing": "{balancing}",
  "first_start": {is_first_start},
  "bounds": {bounds}
}}
"#
    )
}

/// The fleet with its store and backend servers.
pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub servers: Vec<BackendServer>,
    /// Address at which the daemons reach the store.
    pub store_address: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    is_first_start: bool,
    directory: PathBuf,
}

impl Fleet {
    /// Starts the first `count` hosts of the plan.
    pub async fn start(
        range: AddressRange,
        store_address: SocketAddr,
        site: Site,
        count: usize,
        record: &CaseRecord,
    ) -> Result<Self, String> {
        let directory =
            std::env::temp_dir().join(format!("jayrack-review-3-{}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            daemons: Vec::new(),
            servers: Vec::new(),
            store_address,
            is_first_start: true,
            directory,
        };
        for number in 0..count {
            fleet.add(range, number, site, record).await?;
        }
        fleet.is_first_start = false;
        record.note("all processes started");
        Ok(fleet)
    }

    /// Starts the host with this number: its backend server and its daemon.
    pub async fn add(
        &mut self,
        range: AddressRange,
        number: usize,
        site: Site,
        record: &CaseRecord,
    ) -> Result<(), String> {
        let (zone, service) = PLAN[number];
        let host = Host {
            number,
            zone,
            service,
            address: range.host(10 + number as u8),
        };
        let server = BackendServer::start(&host, record).await;
        self.servers
            .push(server.map_err(|error| format!("server {number}: {error}"))?);
        let is_first_start = self.is_first_start;
        let daemon = Daemon::start(
            &host,
            self.store_address,
            site,
            is_first_start,
            &self.directory,
        );
        self.daemons
            .push(daemon.map_err(|error| format!("{DAEMON}: {error}"))?);
        Ok(())
    }

    /// Waits until all daemons answer readiness checks.
    pub async fn until_ready(&self, record: &CaseRecord) -> Result<(), String> {
        let started = record.now();
        for daemon in &self.daemons {
            while !callers::is_ready(&daemon.host).await {
                if record.now() - started > READY_TIMEOUT {
                    return Err(format!("host {} is not ready", daemon.host.number));
                }
                sleep(Duration::from_millis(50)).await;
            }
        }
        record.note("all daemons are ready");
        Ok(())
    }

    /// Kills the processes.
    pub fn close(self) {}
}

impl Drop for Fleet {
    /// Kills the processes, and removes their settings and logs; keeps them if `KEEP_LOGS` is set.
    fn drop(&mut self) {
        self.daemons.clear();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Writes a configuration as the operator does, again and again until the store takes it; returns when it was
/// acknowledged.
pub async fn put_configuration(
    store: &StoreStandin,
    record: &CaseRecord,
    text: &str,
    what: &str,
) -> Duration {
    loop {
        match store.put("op", "config", text).await {
            Ok(offset) => {
                let at = record.now();
                record.note(&format!("{what} is acknowledged at offset {offset}"));
                return at;
            }
            Err(_) => sleep(OPERATOR_RETRY).await,
        }
    }
}

/// A configuration of the deployment; `bookings` is the service of the route `/xapu221/`, and `extra` the number of
/// further routes, which get no requests.
pub fn configuration(version: u64, base_version: u64, bookings: &str, extra: usize) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, priority: u8| {
        serde_json::json!({
            "name": name, "path_prefix": prefix, "kind": kind, "timeout_s": 1.5, "target_latency_s": 0.5,
            "priority": priority, "service": service, "attempts": 2,
        })
    };
    let service = |name: &str| serde_json::json!({"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false});
    let mut browse = vec![route("r-browse", "/lepu270/", "safe", "availability", 0)];
    for number in 0..extra {
        let prefix = format!("/extra{number}/");
        browse.push(route(
            &format!("r-extra{number}"),
            &prefix,
            "safe",
            "availability",
            0,
        ));
    }
    serde_json::json!({
        "version": version, "base_version": base_version,
        "services": [service("availability"), service("bookings"), service("drawings")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
        "virtual_hosts": [
            {"host": "hulo84.example", "paths": [route("r-book", "/xapu221/", "unsafe", bookings, 2)]},
            {"host": "jepu9.example", "paths": browse},
            {"host": "fiti8.example", "paths": [route("r-fetch", "/fiti832/", "download", "drawings", 1)]},
        ],
    })
    .to_string()
}

/// Orders, whose route changes its service.
pub const ORDERS: callers::RequestPlan = callers::RequestPlan {
    method: "POST",
    host: "hulo84.example",
    prefix: "/xapu221/",
    key: None,
    deadline: Duration::from_millis(3_000),
    interval: Duration::from_millis(250),
};

/// Downloads, whose answers are large.
pub const DOWNLOADS: callers::RequestPlan = callers::RequestPlan {
    method: "GET",
    host: "fiti8.example",
    prefix: "/fiti832/",
    key: None,
    deadline: Duration::from_millis(2_500),
    interval: Duration::from_millis(170),
};
