//! A client with a key that no configuration holds chooses an identifier that extends the one of a running request; so
//! does another client of the tenant, with the tenant's key.
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    CaseContext, Verdict,
    client::{self, ClientRequest, HOST},
    fleet::{CaseError, FleetPlan, Machine, PlatformStore},
    record::CaseRecord,
    server::{BackendServer, ServerOptions, ServerRun},
};

const MACHINES: usize = 4;
const SERVICE: &str = "wuno96b";
const TENANT: &str = "bozi300";
const KEY: &str = "n2ftimaj3nr26tta828m";
/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";
/// Requests of the tenant at each machine, each with one of the other client and a second one of the tenant.
const ROUNDS: u32 = 8;
/// Time that a request takes at a server.
const WORK: Duration = Duration::from_millis(400);
/// Time after the tenant's request at which the other client sends its own.
const DELAY: Duration = Duration::from_millis(120);

fn configuration() -> Value {
    json!({
        "version": 7, "base_version": 5,
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 430, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "rate_per_s": 503, "burst": 503}],
        "virtual_hosts": [{"host": HOST, "paths": [{
            "name": "r-1", "path_prefix": "/xapu221/", "kind": "unsafe", "timeout_s": 1.5,
            "target_latency_s": 0.5, "priority": 1, "service": SERVICE, "attempts": 2, "public": false,
        }]}],
    })
}

fn bounds() -> Value {
    json!({
        "stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 164, "repeat_window_s": 10, "revoke_s": 5,
        "allowance": {"window_s": 5, "overrun": 0.1, "slack": 20},
    })
}

type Runs = Arc<Mutex<Vec<ServerRun>>>;

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
    let runs = Runs::default();
    let mut machines = Vec::new();
    let mut servers = Vec::new();
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
    sleep(Duration::from_secs(5)).await;

    let mut served = 0;
    let mut intruders = Vec::new();
    let mut seconds = Vec::new();
    for round in 0..ROUNDS {
        for machine in &machines {
            let id = format!("9c41d07be2a3{:02}{round:02}", machine.number);
            let others = match context.has_trouble {
                true => [format!("{id}.1"), format!("{id}.2")],
                false => ["7d02", "5ab9"].map(|start| format!("{start}{}", &id[4..])),
            };
            let [intruder, second] = others;
            let callers = machine.callers();
            let own = tokio::spawn(ask(record.clone(), callers, id, KEY));
            sleep(DELAY).await;
            let unknown = ask(record.clone(), callers, intruder.clone(), UNKNOWN_KEY);
            let known = ask(record.clone(), callers, second.clone(), KEY);
            tokio::join!(unknown, known);
            intruders.push(intruder);
            seconds.push(second);
            served += u32::from(own.await? == Some(StatusCode::OK));
        }
    }
    if machines.iter_mut().any(|machine| !machine.is_running()) {
        return Err("a daemon has ended".into());
    }
    let (ran, nameless) = {
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
        let of_intruders = runs.iter().filter(|run| intruders.contains(&run.id));
        let of_seconds = runs.iter().filter(|run| seconds.contains(&run.id));
        let is_nameless = |run: &&ServerRun| run.tenant.as_deref() != Some(TENANT);
        (of_intruders.count(), of_seconds.filter(is_nameless).count())
    };
    record.say(&format!(
        "{served} of the tenant's requests were served; of {} requests with an unknown key {ran} ran",
        intruders.len()
    ));
    record.say(&format!(
        "of {} further requests with the tenant's key {nameless} ran without the tenant's name",
        seconds.len()
    ));
    drop(machines);
    store.close().await;
    if served == 0 {
        return Err("no request was served".into());
    }
    Ok(if ran + nameless > 0 {
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
        work: WORK,
        clock_error_ms: 0,
        answer_bytes: 400,
    }
}

async fn ask(record: CaseRecord, callers: SocketAddr, id: String, key: &str) -> Option<StatusCode> {
    let request = ClientRequest {
        method: Method::POST,
        path: "/xapu221/2f".to_string(),
        id,
        deadline_ms: 3_000,
        key: Some(key.to_string()),
    };
    let answer = client::send(callers, &request).await;
    let status = answer.map(|answer| answer.status);
    record.note(&format!(
        "sent {} with the key {key} -> {}",
        request.id,
        status.map_or("no answer".to_string(), |status| status.to_string())
    ));
    status
}
