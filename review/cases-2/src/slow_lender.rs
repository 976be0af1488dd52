//! One machine of ten turns slow while a tenant sends many times its usual; the machine is the one that keeps the
//! tenant's tokens.
use std::{
    net::IpAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use jayrack_mesh::allowance::lender_order;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    CaseContext, Verdict,
    client::{self, ClientRequest, HOST},
    fleet::{CaseError, FleetPlan, Machine, PlatformStore},
    record::CaseRecord,
    server::{BackendServer, ServerOptions, ServerRun},
};

/// Machines, each with a server of the one service.
const MACHINES: usize = 10;
const SERVICE: &str = "huvo11a";
const TENANT: &str = "bozi300";
const KEY: &str = "n2ftimaj3nr26tta828m";
/// Limit of the tenant.
const RATE_PER_S: f64 = 60.0;
const BURST: f64 = 20.0;
/// Usual requests of the tenant: its limit is 1.6 times that.
const USUAL_PER_S: f64 = RATE_PER_S / 1.6;
/// `x` of `hot_tenant` in the site file.
const HOT_RATIO: f64 = 7.5;
/// `x` of `node_slow` in the site file: the daemon runs for a sixth of each tenth of a second.
const SLOW_RATIO: f64 = 6.0;
const SLOW_PERIOD: Duration = Duration::from_millis(100);
/// `for_s` of `node_slow` and of `hot_tenant`.
const TROUBLE_TIME: Duration = Duration::from_millis(6_500);
/// Bounds of the deployment.
const WINDOW: Duration = Duration::from_secs(5);
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 20.0;

type Runs = Arc<Mutex<Vec<ServerRun>>>;
/// When the requests were sent, by their identifiers.
type Sent = Arc<Mutex<std::collections::BTreeMap<String, Instant>>>;

fn configuration() -> Value {
    json!({
        "version": 7, "base_version": 5,
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 430, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST}],
        "virtual_hosts": [{"host": HOST, "paths": [{
            "name": "r-1", "path_prefix": "/lepu270/", "kind": "safe", "timeout_s": 1.5,
            "target_latency_s": 0.25, "priority": 0, "service": SERVICE, "attempts": 2, "public": false,
        }]}],
    })
}

fn bounds() -> Value {
    json!({
        "stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 164, "repeat_window_s": 10, "revoke_s": 5,
        "allowance": {"window_s": WINDOW.as_secs(), "overrun": OVERRUN, "slack": SLACK},
    })
}

/// Runs the case.
pub async fn run(context: &CaseContext) -> Result<Verdict, CaseError> {
    let record = &context.record;
    let store = PlatformStore::start().await?;
    store.put_configuration(&configuration()).await?;
    let plan = FleetPlan {
        root: &context.root,
        folder: &context.folder,
        store: store.address(),
        bounds: bounds(),
        balancing: Some("estimated"),
        memory_mb: 260,
        link_mbps: 1000.0,
    };
    let mut machines = Vec::new();
    let mut servers = Vec::new();
    let runs = Runs::default();
    for number in 0..MACHINES {
        let machine = Machine::start(&plan, number, SERVICE)?;
        let options = options(&machine);
        servers.push(BackendServer::start(options, runs.clone(), record).await?);
        machines.push(machine);
    }
    for machine in &machines {
        if !client::until_ready(machine.ready(), Duration::from_secs(15)).await {
            return Err("a daemon is not ready".into());
        }
    }
    let addresses: Vec<IpAddr> = machines.iter().map(|machine| machine.address).collect();
    let lender = lender_order(TENANT, &addresses)[0];
    let slow = machines
        .iter()
        .position(|machine| machine.address == lender)
        .ok_or("no lender")?;
    let sent = Sent::default();
    let is_hot = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = machines
        .iter()
        .map(|machine| {
            let client = TenantClient {
                record: record.clone(),
                number: machine.number,
                callers: machine.callers(),
                is_hot: is_hot.clone(),
                served: served.clone(),
                sent: sent.clone(),
            };
            tokio::spawn(client.send_requests())
        })
        .collect();
    sleep(Duration::from_secs(8)).await;

    record.say("the tenant sends many times its usual");
    is_hot.store(true, Ordering::Relaxed);
    if context.has_trouble {
        record.say(&format!("machine {slow} turns slow"));
        slow_down(&machines[slow]).await;
        record.say(&format!("machine {slow} is as fast as before"));
    } else {
        sleep(TROUBLE_TIME).await;
    }
    is_hot.store(false, Ordering::Relaxed);
    sleep(Duration::from_secs(3)).await;
    for client in clients {
        client.abort();
    }
    if machines.iter_mut().any(|machine| !machine.is_running()) {
        return Err("a daemon has ended".into());
    }
    let worst = worst_window(&runs, &sent);
    let limit = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + SLACK;
    record.say(&format!(
        "{} requests were served; at most {worst} of the tenant were sent and ran within {} s, and {limit:.0} may",
        served.load(Ordering::Relaxed),
        WINDOW.as_secs(),
    ));
    drop(machines);
    store.close().await;
    if served.load(Ordering::Relaxed) == 0 {
        return Err("no request was served".into());
    }
    Ok(if worst as f64 > limit {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn options(machine: &Machine) -> ServerOptions {
    ServerOptions {
        name: format!("server-{}", machine.number),
        instance: format!("i-7f3a91c{}", machine.number),
        service: machine.service.clone(),
        address: machine.server(),
        reports: machine.reports(),
        work: Duration::from_millis(40),
        clock_error_ms: 0,
        answer_bytes: 400,
    }
}

/// Lets the daemon run for a part of each tenth of a second only.
async fn slow_down(machine: &Machine) {
    let started = Instant::now();
    let running = SLOW_PERIOD.div_f64(SLOW_RATIO);
    let mut period = started;
    while period < started + TROUBLE_TIME {
        machine.signal(Signal::CONT);
        sleep_until(period + running).await;
        machine.signal(Signal::STOP);
        period += SLOW_PERIOD;
        sleep_until(period).await;
    }
    machine.signal(Signal::CONT);
}

/// Most requests of the tenant that were both sent and run within a window.
fn worst_window(runs: &Runs, sent: &Sent) -> usize {
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
    let mut first_runs = std::collections::BTreeMap::new();
    for run in runs
        .iter()
        .filter(|run| run.tenant.as_deref() == Some(TENANT))
    {
        let at = first_runs.entry(run.id.clone()).or_insert(run.at);
        *at = run.at.min(*at);
    }
    let spans: Vec<(Instant, Instant)> = first_runs
        .iter()
        .filter_map(|(id, ran)| Some((*sent.get(id)?, *ran)))
        .collect();
    let within = |from: Instant| {
        let is_within = |(sent, ran): &&(Instant, Instant)| *sent >= from && *ran < from + WINDOW;
        spans.iter().filter(is_within).count()
    };
    spans
        .iter()
        .map(|(sent, _)| within(*sent))
        .max()
        .unwrap_or_default()
}

/// The tenant's client at one machine.
struct TenantClient {
    record: CaseRecord,
    number: usize,
    callers: std::net::SocketAddr,
    is_hot: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    sent: Sent,
}

impl TenantClient {
    /// Sends the machine's share of the tenant's requests until it is aborted.
    async fn send_requests(self) {
        let mut next = Instant::now() + Duration::from_millis(7 * self.number as u64);
        for number in 0_u64.. {
            let ratio = if self.is_hot.load(Ordering::Relaxed) {
                HOT_RATIO
            } else {
                1.0
            };
            next += Duration::from_secs_f64(MACHINES as f64 / (USUAL_PER_S * ratio));
            sleep_until(next).await;
            let request = ClientRequest {
                method: Method::GET,
                path: "/lepu270/2f".to_string(),
                id: format!("{:02}-{number:06}", self.number),
                deadline_ms: 2_000,
                key: Some(KEY.to_string()),
            };
            let (record, served, callers) =
                (self.record.clone(), self.served.clone(), self.callers);
            let id = request.id.clone();
            self.sent
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .insert(id, Instant::now());
            tokio::spawn(async move {
                let answer = client::send(callers, &request).await;
                let status = answer.map(|answer| answer.status);
                if status == Some(StatusCode::OK) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
                record.note(&format!(
                    "sent {} -> {}",
                    request.id,
                    status.map_or("no answer".to_string(), |status| status.to_string())
                ));
            });
        }
    }
}
