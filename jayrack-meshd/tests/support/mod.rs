//! Daemon processes on loopback addresses, with stand-ins for the store and the backend servers in the test's process.
use std::{
    io::Read,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderMap, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use jayrack_platform::{
    headers, pool,
    store::{self, LogPosition, StoreClient},
};
use jayrack_testkit::{log_standin::LogStandin, standin_process::ANY_PORT};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

/// Time limit that only ends a hanging test.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);
/// Time limit for the acknowledgement of a report.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two checks of a condition that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two reports of a server that keeps reporting.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);
/// Reports that suffice for the longest test.
const MAX_REPORTS: u64 = 1_000;
const CALLERS_PORT: u16 = 21_001;
const FORWARD_PORT: u16 = 21_002;
const READY_PORT: u16 = 21_003;
const REPORTS_PORT: u16 = 21_004;
const SERVER_PORT: u16 = 21_005;
const RELAYED_SERVER_PORT: u16 = 21_006;
const GOSSIP_PORT: u16 = 21_010;
const METRICS_PORT: u16 = 21_011;

/// Number of the next host of this process; each host has its own loopback address.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

/// An answer with its complete body.
#[derive(Debug)]
pub struct CompleteAnswer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Stand-in for the store, and a client that writes to it as the operator does.
pub struct FleetStore {
    pub standin: LogStandin,
    client: StoreClient,
}

impl FleetStore {
    pub async fn start() -> Self {
        let standin = LogStandin::start(ANY_PORT).await.unwrap();
        let second = Duration::from_secs(1);
        let options = store::Options {
            pool: pool::Options::default(),
            answer_timeout: second,
            wait_grace: second,
        };
        let client = StoreClient::new(standin.address(), options);
        Self { standin, client }
    }

    /// Writes a configuration as the operator does.
    pub async fn put_configuration(&self, text: &str) {
        self.try_put_configuration(text).await.unwrap();
    }

    /// Appends a record to a topic as another writer does.
    pub async fn append(&self, topic: &str, record: &[u8]) {
        self.client.append(topic, record).await.unwrap();
    }

    /// Writes the value of a key of a keyed topic as another writer does.
    pub async fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.client.put(topic, key, value).await.unwrap();
    }

    /// All values that were written for a key of a keyed topic, in order.
    pub async fn values(&self, topic: &str, key: &str) -> Vec<Bytes> {
        let newest = self.client.newest(topic).await.unwrap();
        let from = LogPosition {
            offset: 0,
            ..newest.next
        };
        let changes = self.client.changes(topic, from, Duration::ZERO);
        let batch = changes.await.unwrap();
        let records = batch.records.into_iter();
        let of_key = records.filter(|record| record.key == key);
        of_key.map(|record| record.value).collect()
    }

    /// Writes a configuration as the operator does; fails if the store does not accept it.
    pub async fn try_put_configuration(&self, text: &str) -> Result<(), store::Error> {
        let put = self.client.put("op", "config", text.as_bytes());
        put.await.map(|_| ())
    }
}

/// A configuration with the routes `/book/`, whose requests must not run twice, and `/browse/` to the service `slots`.
pub fn configuration(version: u64, timeout_s: f64) -> String {
    let route = |name: &str, kind: &str| {
        serde_json::json!({
            "name": name, "path_prefix": format!("/{name}/"), "kind": kind, "timeout_s": timeout_s,
            "target_latency_s": 0.5, "priority": 0, "service": "slots", "attempts": 2,
        })
    };
    serde_json::json!({
        "version": version, "base_version": 0,
        "services": [{"name": "slots", "health_path": "/health", "max_connections": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_s": 3, "idle_timeout_s": 15},
        "virtual_hosts": [{"host": "a.example", "paths": [route("book", "unsafe"), route("browse", "safe")]}],
    })
    .to_string()
}

/// A daemon process and the address of its host; dropping it kills the process.
pub struct HostProcess {
    pub address: IpAddr,
    settings: std::path::PathBuf,
    child: Child,
    /// Standard output of the process so far, if it is collected.
    output_text: Arc<Mutex<String>>,
}

/// Limits of a host in the daemon's settings; `None` if they are not limited.
#[derive(Debug, Clone, Copy, Default)]
pub struct HostLimits {
    pub memory_mb: Option<u64>,
    pub max_descriptors: Option<u64>,
}

/// Destination of a daemon's standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonOutput {
    Discarded,
    /// Available through [`HostProcess::lines`] and [`HostProcess::lines_with`].
    Collected,
    /// A pipe of one page that is never read.
    Blocked,
}

impl HostProcess {
    /// Starts a daemon on a loopback address of its own.
    pub fn start(store: &FleetStore) -> Self {
        Self::start_at(store.standin.address())
    }

    /// Starts a daemon that reaches the store at the address `store`.
    pub fn start_at(store: SocketAddr) -> Self {
        Self::start_with_output(store, DaemonOutput::Discarded)
    }

    /// Starts a daemon whose settings have bounds of roll-outs; `is_first_start` says that the whole fleet starts for the
    /// first time.
    pub fn start_with_rollouts(store: &FleetStore, is_first_start: bool) -> Self {
        let bounds = format!(
            r#""first_start": {is_first_start},
  "bounds": {{ "rollout": {{ "share": 0.1, "slack": 50, "stop_s": 5 }},"#
        );
        let store = store.standin.address();
        let change = (r#""bounds": {"#, bounds.as_str());
        Self::start_with(
            store,
            DaemonOutput::Discarded,
            HostLimits::default(),
            change,
        )
    }

    /// Starts a daemon whose settings state the limits of its host.
    pub fn start_limited(store: &FleetStore, limits: HostLimits) -> Self {
        let store = store.standin.address();
        Self::start_with(store, DaemonOutput::Discarded, limits, ("", ""))
    }

    /// Starts a daemon with the given destination of its standard output.
    pub fn start_with_output(store: SocketAddr, output: DaemonOutput) -> Self {
        Self::start_with(store, output, HostLimits::default(), ("", ""))
    }

    /// Starts a daemon in whose settings the first text of `change` is replaced by the second.
    fn start_with(
        store: SocketAddr,
        output: DaemonOutput,
        limits: HostLimits,
        change: (&str, &str),
    ) -> Self {
        let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let address = Ipv4Addr::new(
            127,
            1 + (process % 250) as u8,
            (process / 250) as u8,
            number,
        );
        let settings = std::env::temp_dir().join(format!("jayrack-meshd-{process}-{number}.jsonc"));
        let (from, to) = change;
        let text = settings_text(address, store, limits).replacen(from, to, 1);
        std::fs::write(&settings, text).unwrap();
        let mut child = spawn(&settings, output);
        let output_text = Arc::<Mutex<String>>::default();
        if output == DaemonOutput::Collected {
            collect_output(child.stdout.take().unwrap(), output_text.clone());
        }
        Self {
            address: address.into(),
            settings,
            child,
            output_text,
        }
    }

    /// Standard output of the process so far, if it is collected.
    pub fn output(&self) -> String {
        self.output_text.lock().unwrap().clone()
    }

    /// Log lines about the request `id`.
    pub fn lines(&self, id: &str) -> Vec<serde_json::Value> {
        self.lines_with("id", id)
    }

    /// Log lines in which the field `name` has the value `value`.
    pub fn lines_with(&self, name: &str, value: &str) -> Vec<serde_json::Value> {
        let output_text = self.output_text.lock().unwrap();
        let lines = output_text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &serde_json::Value| line[name] == value)
            .collect()
    }

    /// Peak resident memory of the process, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|value| value.trim().strip_suffix(" kB"));
        peak.unwrap().trim().parse().unwrap()
    }

    /// Reader of the memory and the descriptors of this process; it does not see a restart.
    pub fn probe(&self) -> ProcessProbe {
        ProcessProbe {
            id: self.child.id(),
        }
    }

    /// Whether the process has not ended by itself.
    pub fn is_running(&self) -> bool {
        let path = format!("/proc/{}/stat", self.child.id());
        let stat = std::fs::read_to_string(path);
        stat.is_ok_and(|stat| !stat.contains(") Z "))
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Sends SIGTERM, upon which the daemon stops gracefully.
    pub fn terminate(&self) {
        self.signal(rustix::process::Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(rustix::process::Signal::STOP);
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(rustix::process::Signal::CONT);
    }

    /// Replaces the text `from` in the settings file by `to`.
    pub fn change_settings(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        std::fs::write(&self.settings, text.replace(from, to)).unwrap();
    }

    /// Sends SIGHUP, upon which the daemon reads its settings file again.
    pub fn request_settings_reload(&self) {
        self.signal(rustix::process::Signal::HUP);
    }

    fn signal(&self, signal: rustix::process::Signal) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).unwrap();
    }

    /// Waits for the end of the process and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(started.elapsed() < HANG_TIMEOUT, "the process does not end");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts the daemon again with the same settings; its output is discarded.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, DaemonOutput::Discarded);
    }

    pub fn callers(&self) -> SocketAddr {
        (self.address, CALLERS_PORT).into()
    }

    /// Address of the listener for other daemons.
    pub fn forward(&self) -> SocketAddr {
        (self.address, FORWARD_PORT).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.address, READY_PORT).into()
    }

    pub fn reports(&self) -> SocketAddr {
        (self.address, REPORTS_PORT).into()
    }

    pub fn metrics(&self) -> SocketAddr {
        (self.address, METRICS_PORT).into()
    }

    pub fn server(&self) -> SocketAddr {
        (self.address, SERVER_PORT).into()
    }

    /// Address of the server behind a relay, if the relay listens at [`HostProcess::server`].
    pub fn relayed_server(&self) -> SocketAddr {
        (self.address, RELAYED_SERVER_PORT).into()
    }

    /// Sends a request with the headers `fields` to the listener for other daemons.
    pub async fn ask_as_daemon(&self, fields: HeaderMap) -> Option<CompleteAnswer> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = "/browse/1".parse().unwrap();
        *request.headers_mut() = fields;
        exchange((self.address, FORWARD_PORT).into(), request).await
    }

    /// Sends a caller's request; `None` if the connection fails or no answer is received in time.
    pub async fn ask(&self, method: Method, path: &str, id: &str) -> Option<CompleteAnswer> {
        self.ask_with(method, path, id, HeaderMap::new()).await
    }

    /// Sends a caller's request with the additional headers `fields`.
    pub async fn ask_with(
        &self,
        method: Method,
        path: &str,
        id: &str,
        fields: HeaderMap,
    ) -> Option<CompleteAnswer> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "a.example")
            .header(headers::REQUEST_ID, id)
            .header(headers::TIME_LEFT_MS, 5_000);
        let mut request = request.body(Full::default()).unwrap();
        request.headers_mut().extend(fields);
        let exchanging = exchange(self.callers(), request);
        tokio::time::timeout(HANG_TIMEOUT, exchanging)
            .await
            .ok()
            .flatten()
    }

    /// Sends a status report or a departure of the server `instance`; returns whether it was acknowledged.
    pub async fn report(&self, instance: &str, call: &str, body: serde_json::Value) -> bool {
        self.reporter().report(instance, call, body).await
    }

    /// Sender of the server's reports to this daemon; it stays usable after a restart of the daemon.
    pub fn reporter(&self) -> ServerReporter {
        ServerReporter {
            address: (self.address, REPORTS_PORT).into(),
        }
    }

    /// Body of a status report of this host's server.
    pub fn status(&self, state: &str, born: u64, sequence: u64) -> serde_json::Value {
        serde_json::json!({
            "service": "slots", "address": self.server().to_string(), "zone": "z", "version": "v1",
            "slots": 4, "state": state, "warmup_left_s": 0, "sequence": sequence, "born": born,
        })
    }

    /// Sends a status report until the daemon answers that it is not in force.
    pub async fn until_report_refused(&self, instance: &str, body: serde_json::Value) {
        let reporter = self.reporter();
        until("a report is refused", || async {
            let answer = reporter.answer(instance, "heartbeat", body.clone()).await;
            answer.is_some_and(|answer| !answer.status.is_success())
        })
        .await;
    }

    /// Reports `i-1` as ready until the test ends, since a silent server gets no more requests.
    pub fn keep_reporting(&self) {
        let reporter = self.reporter();
        let statuses: Vec<_> = (2..MAX_REPORTS)
            .map(|sequence| self.status("ready", 1, sequence))
            .collect();
        tokio::spawn(async move {
            for status in statuses {
                sleep(REPORT_INTERVAL).await;
                reporter.report("i-1", "heartbeat", status).await;
            }
        });
    }

    /// Sends a status report until it is acknowledged.
    pub async fn until_reported(&self, instance: &str, body: serde_json::Value) {
        until("a report is acknowledged", || {
            let body = body.clone();
            async move { self.report(instance, "heartbeat", body).await }
        })
        .await;
    }

    /// Waits until the daemon answers a readiness check with the status `expected`.
    pub async fn until_ready(&self, expected: StatusCode) {
        until("readiness changes", || async {
            let request = Request::builder()
                .uri(headers::READY_PATH)
                .header("host", "ready")
                .body(Full::default())
                .unwrap();
            let answer = exchange((self.address, READY_PORT).into(), request).await;
            answer.is_some_and(|answer| answer.status == expected)
        })
        .await;
    }
}

/// Reads the memory and the descriptors of a process.
pub struct ProcessProbe {
    id: u32,
}

impl ProcessProbe {
    /// Resident memory of the process, in kilobytes; `None` if it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id)).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|value| value.trim().strip_suffix(" kB"));
        resident?.trim().parse().ok()
    }

    /// Number of descriptors that the process has open.
    pub fn open_descriptors(&self) -> u64 {
        let path = format!("/proc/{}/fd", self.id);
        std::fs::read_dir(path).map_or(0, |entries| entries.count() as u64)
    }
}

/// Sends reports of a server to the daemon beside it.
pub struct ServerReporter {
    address: SocketAddr,
}

impl ServerReporter {
    /// Sends a status report or a departure of the server `instance`; returns whether it was acknowledged in time.
    pub async fn report(&self, instance: &str, call: &str, body: serde_json::Value) -> bool {
        let answer = self.answer(instance, call, body).await;
        answer.is_some_and(|answer| answer.status == StatusCode::OK)
    }

    /// As [`ServerReporter::report`]; returns the answer, if one arrived in time.
    async fn answer(
        &self,
        instance: &str,
        call: &str,
        body: serde_json::Value,
    ) -> Option<CompleteAnswer> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("/jayrack/rpc?call=instances.{call}&of={instance}"))
            .header("host", "reports");
        let body = Full::from(body.to_string());
        let exchanging = exchange(self.address, request.body(body).unwrap());
        let answer = tokio::time::timeout(ACKNOWLEDGEMENT_TIMEOUT, exchanging).await;
        answer.ok().flatten()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &std::path::Path, output: DaemonOutput) -> Child {
    let stdout = match output {
        DaemonOutput::Discarded => Stdio::null(),
        DaemonOutput::Collected | DaemonOutput::Blocked => Stdio::piped(),
    };
    let child = Command::new(env!("CARGO_BIN_EXE_jayrack-meshd"))
        .arg("--settings")
        .arg(settings)
        .stdout(stdout)
        .spawn()
        .unwrap();
    if output == DaemonOutput::Blocked {
        const PAGE_BYTES: usize = 4_096;
        let pipe = child.stdout.as_ref().unwrap();
        rustix::pipe::fcntl_setpipe_size(pipe, PAGE_BYTES).unwrap();
    }
    child
}

/// Collects the standard output of a process in the background until it ends.
fn collect_output(mut stdout: std::process::ChildStdout, output_text: Arc<Mutex<String>>) {
    std::thread::spawn(move || {
        let mut buffer = [0; 4_096];
        while let Ok(count @ 1..) = stdout.read(&mut buffer) {
            let text = String::from_utf8_lossy(&buffer[..count]);
            output_text.lock().unwrap().push_str(&text);
        }
    });
}

fn settings_text(address: Ipv4Addr, store: SocketAddr, limits: HostLimits) -> String {
    let HostLimits {
        memory_mb,
        max_descriptors,
    } = limits;
    let limits = serde_json::json!({"memory_mb": memory_mb, "max_descriptors": max_descriptors});
    let limits = limits.to_string();
    // Fields of the host's object, without its braces.
    let limits = limits.trim_start_matches('{').trim_end_matches('}');
    format!(
        r#"{{
  "host": {{ "name": "{address}", "address": "{address}", "data_centre": "z", "link_mbps": 1000, {limits} }},
  "server": {{ "address": "{address}:{SERVER_PORT}", "service": "slots" }},
  "listen": {{
    "callers": "{address}:{CALLERS_PORT}", "forward": "{address}:{FORWARD_PORT}",
    "ready": "{address}:{READY_PORT}", "reports": "{address}:{REPORTS_PORT}"
  }},
  "ports": [{GOSSIP_PORT}, {METRICS_PORT}],
  "store": "{store}",
  "bounds": {{
    "stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 60, "repeat_window_s": 10
  }}
}}"#
    )
}

/// Waits until `is_reached` returns true; fails the test after [`HANG_TIMEOUT`].
pub async fn until<F, Fut>(what: &str, is_reached: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = bool>,
{
    let started = Instant::now();
    while !is_reached().await {
        assert!(started.elapsed() < HANG_TIMEOUT, "{what}: not reached");
        sleep(POLL_INTERVAL).await;
    }
}

async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Option<CompleteAnswer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let connecting = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = connecting.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    Some(CompleteAnswer {
        status: parts.status,
        headers: parts.headers,
        body: body.collect().await.ok()?.to_bytes(),
    })
}

/// Stand-in for a backend server, in the test's process.
#[derive(Clone)]
pub struct ServerStandin {
    instance: Arc<Mutex<String>>,
    delay: Arc<Mutex<Duration>>,
    runs: Arc<Mutex<Vec<ServerRun>>>,
    fails: Arc<AtomicBool>,
}

/// A request that a server ran.
#[derive(Debug, Clone)]
pub struct ServerRun {
    pub id: String,
    pub instance: String,
    pub at: Instant,
    /// Headers that the server received.
    pub fields: HeaderMap,
}

impl ServerStandin {
    /// Serves at `address` as `instance` and answers each request after `delay`.
    pub async fn start(address: SocketAddr, instance: &str, delay: Duration) -> Self {
        let standin = Self {
            instance: Arc::new(Mutex::new(instance.to_string())),
            delay: Arc::new(Mutex::new(delay)),
            runs: Arc::default(),
            fails: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.unwrap();
        let served = standin.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let served = served.clone();
                let service = service_fn(move |request| served.clone().answer(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        standin
    }

    /// Identifiers of the requests that were run, in order.
    pub fn runs(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().map(|run| run.id.clone()).collect()
    }

    /// The requests that were run, in order.
    pub fn server_runs(&self) -> Vec<ServerRun> {
        self.runs.lock().unwrap().clone()
    }

    /// Makes the server answer all later requests after `delay`.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock().unwrap() = delay;
    }

    /// Makes the server answer all later requests with an error status.
    pub fn fail_all(&self) {
        self.fails.store(true, Ordering::Relaxed);
    }

    /// Replaces the server by another incarnation at the same address, `instance`.
    pub fn replace(&self, instance: &str) {
        *self.instance.lock().unwrap() = instance.to_string();
    }

    async fn answer(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::convert::Infallible> {
        let text = |name| {
            let value: Option<&HeaderValue> = request.headers().get(name);
            value.and_then(|value| value.to_str().ok()).unwrap_or("")
        };
        let mut response = Response::new(Full::from("whole"));
        let instance = self.instance.lock().unwrap().clone();
        if text(headers::EXPECTED_INSTANCE) != instance {
            *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            return Ok(response);
        }
        let id = text(headers::REQUEST_ID).to_string();
        self.runs.lock().unwrap().push(ServerRun {
            id: id.clone(),
            instance,
            at: Instant::now(),
            fields: request.headers().clone(),
        });
        let delay = *self.delay.lock().unwrap();
        sleep(delay).await;
        if self.fails.load(Ordering::Relaxed) {
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        }
        let fields = response.headers_mut();
        fields.insert(headers::REQUEST_ID, HeaderValue::from_str(&id).unwrap());
        fields.insert(
            headers::ANSWER_SIGNATURE,
            HeaderValue::from_str(&signature_of(&id)).unwrap(),
        );
        Ok(response)
    }
}

/// Signature of the stand-in's answer to the request `id`.
pub fn signature_of(id: &str) -> String {
    format!("signed.{id}")
}
