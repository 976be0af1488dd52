//! Daemons as processes on loopback addresses, and the store stand-in that they share.
use std::{
    fs::File,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use jayrack_platform::{
    pool,
    store::{self, StoreClient},
};
use jayrack_testkit::{log_standin::LogStandin, standin_process::ANY_PORT};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// Command of the role in the deploy file.
const DAEMON: &str = "target/platform/jayrack-meshd";
const CALLERS_PORT: u16 = 22_001;
const FORWARD_PORT: u16 = 22_002;
const READY_PORT: u16 = 22_003;
const REPORTS_PORT: u16 = 22_004;
const SERVER_PORT: u16 = 22_005;
const INTERNAL_PORTS: [u16; 2] = [22_010, 22_025];
/// Data centres of the small deployment.
const DATA_CENTRES: [&str; 3] = ["wrecsam", "abertawe", "casnewydd"];
/// Error when the case cannot run at all.
pub type CaseError = Box<dyn std::error::Error + Send + Sync>;

/// The platform's store and a client that writes to it as the operator does.
pub struct PlatformStore {
    standin: LogStandin,
    operator: StoreClient,
}

impl PlatformStore {
    /// Starts an empty store.
    pub async fn start() -> Result<Self, CaseError> {
        let standin = LogStandin::start(ANY_PORT).await?;
        let second = Duration::from_secs(1);
        let options = store::Options {
            pool: pool::Options::default(),
            answer_timeout: second,
            wait_grace: second,
        };
        let operator = StoreClient::new(standin.address(), options);
        Ok(Self { standin, operator })
    }

    /// Writes a configuration as the operator does.
    pub async fn put_configuration(&self, configuration: &Value) -> Result<(), CaseError> {
        let text = configuration.to_string();
        self.operator.put("op", "config", text.as_bytes()).await?;
        Ok(())
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Ends the stand-in.
    pub async fn close(self) {
        self.standin.close().await;
    }
}

/// A machine of the deployment: its addresses and the daemon process on it.
pub struct Machine {
    /// Number of the machine, from 0.
    pub number: usize,
    /// Address of the machine.
    pub address: IpAddr,
    /// Service of the server beside the daemon.
    pub service: String,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

/// What the machines of a case have in common.
pub struct FleetPlan<'a> {
    /// Root of the repository.
    pub root: &'a Path,
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// Address of the store.
    pub store: SocketAddr,
    /// `bounds` of the daemon's settings.
    pub bounds: Value,
    /// `balancing` of the daemon's settings; left out if `None`.
    pub balancing: Option<&'a str>,
    /// Memory of each machine, in megabytes.
    pub memory_mb: u64,
    /// Rate of each machine's link, in megabits a second.
    pub link_mbps: f64,
}

impl Machine {
    /// Writes the settings of the machine `number` and starts its daemon at the first start of the whole system.
    pub fn start(plan: &FleetPlan<'_>, number: usize, service: &str) -> Result<Self, CaseError> {
        Self::start_as(plan, number, service, true)
    }

    /// Starts a machine that joins the running system.
    pub fn join(plan: &FleetPlan<'_>, number: usize, service: &str) -> Result<Self, CaseError> {
        Self::start_as(plan, number, service, false)
    }

    fn start_as(
        plan: &FleetPlan<'_>,
        number: usize,
        service: &str,
        is_first_start: bool,
    ) -> Result<Self, CaseError> {
        let process = std::process::id();
        let address = Ipv4Addr::new(
            127,
            101 + (process % 100) as u8,
            (process / 100 % 250) as u8,
            number as u8 + 1,
        );
        let at = |port: u16| format!("{address}:{port}");
        let mut settings = json!({
            "host": {
                "name": format!("app_host-{number}"), "address": address.to_string(),
                "data_centre": DATA_CENTRES[number % DATA_CENTRES.len()],
                "link_mbps": plan.link_mbps, "memory_mb": plan.memory_mb, "max_descriptors": 4100,
            },
            "server": { "address": at(SERVER_PORT), "service": service },
            "listen": {
                "callers": at(CALLERS_PORT), "forward": at(FORWARD_PORT),
                "ready": at(READY_PORT), "reports": at(REPORTS_PORT),
            },
            "ports": INTERNAL_PORTS,
            "store": plan.store.to_string(),
            "first_start": is_first_start,
            "bounds": plan.bounds,
        });
        if let Some(balancing) = plan.balancing {
            settings["balancing"] = balancing.into();
        }
        let path = plan.folder.join(format!("node-{number}.jsonc"));
        std::fs::write(&path, settings.to_string())?;
        let mut machine = Self {
            number,
            address: address.into(),
            service: service.to_string(),
            settings: path,
            log: plan.folder.join(format!("node-{number}.log")),
            root: plan.root.to_path_buf(),
            child: None,
        };
        machine.run()?;
        Ok(machine)
    }

    /// Starts the daemon's process.
    fn run(&mut self) -> Result<(), CaseError> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let inherited = ["PATH", "HOME", "LANG"];
        let inherited = inherited.map(|name| (name, std::env::var_os(name).unwrap_or_default()));
        let child = Command::new(self.root.join(DAEMON))
            .current_dir(&self.root)
            .env_clear()
            .envs(inherited)
            .env("JAYRACK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Starts the daemon's process again, as the platform does after its end.
    pub fn restart(&mut self) -> Result<(), CaseError> {
        let text = std::fs::read_to_string(&self.settings)?;
        let text = text.replace(r#""first_start":true"#, r#""first_start":false"#);
        std::fs::write(&self.settings, text)?;
        self.run()
    }

    /// Sends a signal to the daemon's process.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have ended by itself, which the caller of `is_running` sees.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Whether the daemon's process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Memory of the daemon's process that is not backed by files, in kilobytes; `None` if it has ended.
    pub fn anonymous_kb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"))?;
        value.trim().strip_suffix(" kB")?.trim().parse().ok()
    }

    /// Kills the daemon's process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Listener for the machine's clients.
    pub fn callers(&self) -> SocketAddr {
        (self.address, CALLERS_PORT).into()
    }

    /// Listener for readiness checks.
    pub fn ready(&self) -> SocketAddr {
        (self.address, READY_PORT).into()
    }

    /// Listener for status reports.
    pub fn reports(&self) -> SocketAddr {
        (self.address, REPORTS_PORT).into()
    }

    /// Address of the server beside the daemon.
    pub fn server(&self) -> SocketAddr {
        (self.address, SERVER_PORT).into()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
