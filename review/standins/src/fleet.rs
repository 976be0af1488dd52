//! Daemons and the store's stand-in as separate processes on loopback addresses.
use std::{
    fs,
    io::{BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Error that prevents a case from running.
pub type SetupResult<T> = Result<T, String>;

/// Time limit for a step of the set-up.
const SETUP_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Number of ports that a host uses, from its base port on.
const PORTS: u16 = 16;

/// Bounds of a small deployment, as its settings state them.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    pub grace_s: f64,
    pub retry_ratio: f64,
    pub retry_slack: f64,
    pub window_s: f64,
}

/// The bounds of `turnio-mesh`.
pub const TURNIO_MESH: Bounds = Bounds {
    grace_s: 6.0,
    retry_ratio: 0.2,
    retry_slack: 58.0,
    window_s: 10.0,
};

/// Stand-in for the platform's store, a process of the project.
pub struct Store {
    child: Child,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(root: &Path) -> SetupResult<Self> {
        let program = root.join("target/release/jayrack-log-standin");
        let mut child = Command::new(&program)
            .arg("--exit-with-stdin")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or("the store has no output")?;
        BufReader::new(stdout)
            .read_line(&mut line)
            .map_err(|error| error.to_string())?;
        let address = line
            .split('"')
            .find_map(|part| part.parse().ok())
            .ok_or_else(|| format!("the store printed no address: {line}"))?;
        Ok(Self { child, address })
    }

    /// Writes the configuration as the operator does; the store's answer acknowledges it.
    pub fn put_configuration(&self, text: &str) -> SetupResult<()> {
        let key = b"config";
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key);
        record.extend_from_slice(text.as_bytes());
        let mut body = (record.len() as u32).to_be_bytes().to_vec();
        body.extend(record);
        let head = format!(
            "POST /jayrack/log-append?topic=keyed.op&part=0 HTTP/1.1\r\nhost: store\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        let answer = http::exchange(
            self.address,
            &[head.as_bytes(), &body].concat(),
            SETUP_TIMEOUT,
        )
        .ok_or("the store did not answer")?;
        match answer.status {
            200 => Ok(()),
            status => Err(format!("the store refused the configuration: {status}")),
        }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Folder that is removed with its content.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new() -> SetupResult<Self> {
        let path = std::env::temp_dir().join(format!("jayrack-review-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Addresses of a host's listeners.
#[derive(Debug, Clone)]
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    pub base: u16,
    pub zone: String,
    pub service: String,
    pub link_mbps: f64,
}

impl Host {
    fn at(&self, offset: u16) -> SocketAddr {
        (self.ip, self.base + offset).into()
    }

    pub fn control(&self) -> SocketAddr {
        self.at(0)
    }

    pub fn inbound(&self) -> SocketAddr {
        self.at(1)
    }

    pub fn ready(&self) -> SocketAddr {
        self.at(2)
    }

    pub fn server(&self) -> SocketAddr {
        self.at(3)
    }

    pub fn outbound(&self) -> SocketAddr {
        self.at(4)
    }
}

/// A daemon's process with its settings file; dropping it kills the process.
pub struct Daemon {
    pub host: Host,
    root: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Prepares the daemon of `host`, whose store is at `store`.
    pub fn new(
        root: &Path,
        folder: &Path,
        host: Host,
        store: SocketAddr,
        bounds: Bounds,
    ) -> SetupResult<Self> {
        let settings = folder.join(format!("{}.conf", host.name));
        let daemon = Self {
            host,
            root: root.to_path_buf(),
            settings,
            child: None,
        };
        daemon.write_settings(store, bounds, true)?;
        Ok(daemon)
    }

    /// Fills in the settings template of the deploy file.
    pub fn write_settings(
        &self,
        store: SocketAddr,
        bounds: Bounds,
        is_first_start: bool,
    ) -> SetupResult<()> {
        let host = &self.host;
        let template = fs::read_to_string(self.root.join("deploy/settings.jsonc"))
            .map_err(|error| error.to_string())?;
        let quoted = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let fields = [
            ("{{node|json}}", quoted(&host.name)),
            ("{{ip|json}}", quoted(&host.ip)),
            ("{{zone|json}}", quoted(&host.zone)),
            ("{{limits.link_mbps}}", host.link_mbps.to_string()),
            ("{{app_addr|json}}", quoted(&host.server())),
            ("{{service|json}}", quoted(&host.service)),
            ("{{listen.outbound|json}}", quoted(&host.outbound())),
            ("{{listen.inbound|json}}", quoted(&host.inbound())),
            ("{{listen.ready|json}}", quoted(&host.ready())),
            ("{{listen.control|json}}", quoted(&host.control())),
            ("{{internal_ports.0}}", (host.base + 6).to_string()),
            ("{{internal_ports.1}}", (host.base + PORTS - 1).to_string()),
            ("{{platform.address|json}}", quoted(&store)),
            ("{{bootstrap|json}}", is_first_start.to_string()),
            ("{{bounds.grace_s}}", bounds.grace_s.to_string()),
            (
                "{{bounds.retry_budget_ratio}}",
                bounds.retry_ratio.to_string(),
            ),
            (
                "{{bounds.retry_budget_slack}}",
                bounds.retry_slack.to_string(),
            ),
            ("{{bounds.budget_window_s}}", bounds.window_s.to_string()),
        ];
        let text = fields
            .iter()
            .fold(template, |text, (name, value)| text.replace(name, value));
        match text.find("{{") {
            Some(_) => Err("a placeholder of the settings template is unknown".to_string()),
            None => fs::write(&self.settings, text).map_err(|error| error.to_string()),
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> SetupResult<()> {
        let deploy = fs::read_to_string(self.root.join("deploy/system.toml"))
            .map_err(|error| error.to_string())?;
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'))
            .ok_or("the deploy file has no command")?;
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let child = Command::new(self.root.join(program))
            .args(words)
            .current_dir(&self.root)
            .env_clear()
            .env("JAYRACK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process, by its name without the prefix.
    pub fn signal(&self, name: &str) -> SetupResult<()> {
        let child = self.child.as_ref().ok_or("the daemon does not run")?;
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(child.id().to_string())
            .status()
            .map_err(|error| error.to_string())?;
        match status.success() {
            true => Ok(()),
            false => Err(format!("signal {name} was not sent")),
        }
    }

    /// Exit status of the process, or `None` while it runs.
    pub fn exit(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Whether the readiness check is answered 200.
    pub fn is_ready(&self) -> bool {
        let request = "GET /jayrack/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        http::exchange(
            self.host.ready(),
            request.as_bytes(),
            Duration::from_secs(1),
        )
        .is_some_and(|answer| answer.status == 200)
    }

    pub fn until_ready(&self) -> SetupResult<()> {
        until(&format!("{} is ready", self.host.name), || self.is_ready())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until `is_reached` returns true.
pub fn until(what: &str, is_reached: impl Fn() -> bool) -> SetupResult<()> {
    let started = Instant::now();
    while !is_reached() {
        if started.elapsed() > SETUP_TIMEOUT {
            return Err(format!("{what}: not reached"));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Loopback addresses for hosts, each with the same free ports, as on the machines of a day; one host for each of
/// `services`.
pub fn hosts(services: &[&str]) -> SetupResult<Vec<Host>> {
    let process = std::process::id();
    let ip = |number: usize| {
        Ipv4Addr::new(
            127,
            10 + (process % 200) as u8,
            (process / 200 % 250) as u8,
            10 + number as u8,
        )
    };
    let is_free = |base: u16| {
        (0..services.len()).all(|number| {
            (base..base + PORTS).all(|port| {
                TcpListener::bind((ip(number), port)).is_ok()
                    && UdpSocket::bind((ip(number), port)).is_ok()
            })
        })
    };
    let first = 20_000 + (process % 300) as u16 * PORTS;
    let base = (0..100)
        .map(|step| first + step * PORTS)
        .find(|base| is_free(*base))
        .ok_or("no free ports")?;
    let hosts = services.iter().enumerate().map(|(number, service)| Host {
        name: format!("app_host-{}", number + 1),
        ip: ip(number),
        base,
        zone: "zone-1".to_string(),
        service: service.to_string(),
        link_mbps: 1_000.0,
    });
    Ok(hosts.collect())
}

/// Sends a status report or a departure of a server to the daemon beside it; returns whether it was acknowledged.
pub fn report(host: &Host, call: &str, instance: &str, body: &str) -> bool {
    let request = format!(
        "POST /jayrack/rpc?call=instances.{call}&of={instance} HTTP/1.1\r\nhost: control\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    http::exchange(host.control(), request.as_bytes(), Duration::from_secs(1))
        .is_some_and(|answer| (200..300).contains(&answer.status))
}
