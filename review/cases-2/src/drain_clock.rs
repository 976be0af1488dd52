//! A server is added while its machine's clock is ahead; it crashes, starts again under its identifier when the clock is
//! right, and drains some seconds later.
use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::{
    CaseContext, Verdict,
    client::{self, ClientRequest, HOST},
    fleet::{CaseError, FleetPlan, Machine, PlatformStore},
    server::{BackendServer, ServerOptions, ServerRun},
};

/// Machines, each with a server of the one service: one is a tenth of them.
const MACHINES: usize = 10;
const SERVICE: &str = "huvo11a";
/// `drain_s` of the deployment.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Step of the time of day, `x` of `clock_step` in the site file, in milliseconds.
const CLOCK_STEP_MS: i64 = 2_400;
/// Time for which the new server serves before it crashes; its machine's clock is ahead until then.
const FIRST_LIFE: Duration = Duration::from_millis(900);
/// Time for which the crashed server is down, `for_s` of `srv_crash`.
const DOWN_TIME: Duration = Duration::from_millis(600);
/// Time after the last disruption until the server drains: well above `stable_window_s` (3).
const CALM: Duration = Duration::from_secs(8);
/// Time for which the server goes on serving after its `draining` was acknowledged; then it ends.
const SERVES_ON: Duration = Duration::from_secs(7);
/// Time that each request takes at a server.
const WORK: Duration = Duration::from_millis(60);
/// Time after the end of the server until the case ends: longer than a request lasts.
const AFTERMATH: Duration = Duration::from_secs(3);
/// Interval of the requests of one machine's clients.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

fn configuration() -> Value {
    json!({
        "version": 7, "base_version": 0,
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 540, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
        "virtual_hosts": [{"host": HOST, "paths": [{
            "name": "r-1", "path_prefix": "/xapu221/", "kind": "unsafe", "timeout_s": 1.5,
            "target_latency_s": 0.8, "priority": 1, "service": SERVICE, "attempts": 2, "public": false,
        }]}],
    })
}

type Runs = Arc<Mutex<Vec<ServerRun>>>;

async fn until_ready(machines: &[Machine]) -> Result<(), CaseError> {
    for machine in machines {
        if !client::until_ready(machine.ready(), Duration::from_secs(15)).await {
            return Err("a daemon is not ready".into());
        }
    }
    Ok(())
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
        bounds: json!({"stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 200, "repeat_window_s": 10}),
        balancing: None,
        memory_mb: 260,
        link_mbps: 1000.0,
    };
    let mut machines = Vec::new();
    let mut servers = Vec::new();
    for number in 1..MACHINES {
        let machine = Machine::start(&plan, number, SERVICE)?;
        servers.push(BackendServer::start(options(&machine, 0), Runs::default(), record).await?);
        machines.push(machine);
    }
    until_ready(&machines).await?;
    let answered = Arc::new(AtomicU64::new(0));
    let failed = Arc::<Mutex<Vec<String>>>::default();
    let clients: Vec<_> = machines
        .iter()
        .map(|machine| {
            let client = context_of(context, machine);
            tokio::spawn(send_requests(client, answered.clone(), failed.clone()))
        })
        .collect();
    sleep(Duration::from_secs(5)).await;

    let ahead_ms = if context.has_trouble {
        CLOCK_STEP_MS
    } else {
        0
    };
    let machine = Machine::join(&plan, 0, SERVICE)?;
    let runs = Runs::default();
    record.say(&format!(
        "machine 0 is added with its server; its clock is {ahead_ms} ms ahead"
    ));
    let server = BackendServer::start(options(&machine, ahead_ms), runs.clone(), record).await?;
    sleep(FIRST_LIFE).await;
    server.crash();
    record.say("the clock of machine 0 is right again");
    sleep(DOWN_TIME).await;
    let server = BackendServer::start(options(&machine, 0), runs.clone(), record).await?;
    machines.push(machine);
    until_ready(&machines).await?;
    sleep(CALM).await;

    let before = count(&runs);
    let acknowledged = server
        .drain()
        .await
        .ok_or("`draining` was not acknowledged")?;
    sleep(SERVES_ON).await;
    server.leave().await;
    sleep(AFTERMATH).await;
    for client in clients {
        client.abort();
    }
    let late: Vec<ServerRun> = {
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let is_late = |run: &&ServerRun| run.at > acknowledged + DRAIN;
        runs.iter().filter(is_late).cloned().collect()
    };
    for run in &late {
        let after_ms = run.at.duration_since(acknowledged).as_millis();
        record.note(&format!("late: {} ran {after_ms} ms after the ack", run.id));
    }
    record.say(&format!(
        "{} requests were answered with success; the server ran {before} before it drained; {} reached it later than {:.1} s after the ack",
        answered.load(Ordering::Relaxed),
        late.len(),
        DRAIN.as_secs_f64()
    ));
    let lost = {
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let failed = failed.lock().unwrap_or_else(PoisonError::into_inner);
        let is_lost = |run: &&ServerRun| run.at > acknowledged + DRAIN && failed.contains(&run.id);
        runs.iter().filter(is_lost).count()
    };
    record.say(&format!(
        "{lost} of these were cut by the server's end and got no answer of it"
    ));
    if machines.iter_mut().any(|machine| !machine.is_running()) {
        return Err("a daemon has ended".into());
    }
    if answered.load(Ordering::Relaxed) == 0 {
        return Err("no request was served".into());
    }
    drop(machines);
    store.close().await;
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn options(machine: &Machine, clock_error_ms: i64) -> ServerOptions {
    ServerOptions {
        name: format!("server-{}", machine.number),
        instance: format!("i-7f3a91c{}", machine.number),
        service: machine.service.clone(),
        address: machine.server(),
        reports: machine.reports(),
        work: WORK,
        clock_error_ms,
        answer_bytes: 400,
    }
}

fn count(runs: &Runs) -> usize {
    runs.lock().unwrap_or_else(PoisonError::into_inner).len()
}

struct ClientContext {
    record: crate::record::CaseRecord,
    number: usize,
    callers: std::net::SocketAddr,
}

fn context_of(context: &CaseContext, machine: &Machine) -> ClientContext {
    ClientContext {
        record: context.record.clone(),
        number: machine.number,
        callers: machine.callers(),
    }
}

/// Sends a machine's requests until it is aborted.
async fn send_requests(
    client: ClientContext,
    answered: Arc<AtomicU64>,
    failed: Arc<Mutex<Vec<String>>>,
) {
    let mut next = Instant::now();
    for number in 0_u64.. {
        let request = ClientRequest {
            method: Method::POST,
            path: "/xapu221/2f".to_string(),
            id: format!("{:02}-{number:06}", client.number),
            deadline_ms: 1_500,
            key: None,
        };
        let (record, answered) = (client.record.clone(), answered.clone());
        let failed = failed.clone();
        let callers = client.callers;
        tokio::spawn(async move {
            let answer = client::send(callers, &request).await;
            let status = answer.map(|answer| answer.status);
            match status {
                Some(StatusCode::OK) => {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                _ => failed
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(request.id.clone()),
            }
            record.note(&format!(
                "sent {} -> {}",
                request.id,
                status.map_or("no answer".to_string(), |status| status.to_string())
            ));
        });
        next += REQUEST_INTERVAL;
        tokio::time::sleep_until(next).await;
    }
}
