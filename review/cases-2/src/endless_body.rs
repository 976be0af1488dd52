//! Servers in trouble answer with bodies that have no end, one byte in each chunk, until the caller closes.
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    CaseContext, Verdict,
    client::{self, ClientRequest, HOST},
    fleet::{CaseError, FleetPlan, Machine, PlatformStore},
    record::CaseRecord,
    server::{BackendServer, ServerOptions},
};

const MACHINES: usize = 10;
/// Servers in trouble.
const FAULTY: usize = 3;
/// Times that the trouble comes.
const ROUNDS: u32 = 9;
/// Ends of one machine's processes in a day, and machines with so many, from which the day counts as a fault.
const FAULT_ENDS: u32 = 3;
const FAULT_MACHINES: usize = 2;
/// One of so many of their answers has no end: 0.05, `x` of `garble` in the site file.
const ENDLESS_DIVISOR: u64 = 20;
/// Length of each, `for_s` of `garble` in the site file.
const TROUBLE_TIME: Duration = Duration::from_millis(5_500);
/// Time between two of them.
const CALM: Duration = Duration::from_secs(5);
const SERVICE: &str = "wuno96b";
/// Memory of the smallest machines of the sheet, in megabytes.
const MEMORY_MB: u64 = 88;
/// Rate of their links, in megabits a second.
const LINK_MBPS: f64 = 18.9;
/// Usual size of an answer, in bytes.
const ANSWER_BYTES: usize = 90_000;
/// Time between two looks of the platform at the memory of the processes.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before a process that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Interval of the requests at each machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(65);

fn configuration() -> Value {
    json!({
        "version": 7, "base_version": 0,
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 490, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
        "virtual_hosts": [{"host": HOST, "paths": [{
            "name": "r-1", "path_prefix": "/lepu270/", "kind": "download", "timeout_s": 2.5,
            "target_latency_s": 2.0, "priority": 2, "service": SERVICE, "attempts": 2, "public": false,
        }]}],
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
        bounds: json!({"stop_s": 6, "repeat_ratio": 0.2, "repeat_slack": 182, "repeat_window_s": 10}),
        balancing: None,
        memory_mb: MEMORY_MB,
        link_mbps: LINK_MBPS,
    };
    let mut machines = Vec::new();
    let mut servers = Vec::new();
    for number in 0..MACHINES {
        let machine = Machine::start(&plan, number, SERVICE)?;
        let options = options(&machine);
        servers.push(BackendServer::start(options, Arc::default(), record).await?);
        machines.push(machine);
    }
    for machine in &machines {
        if !client::until_ready(machine.ready(), Duration::from_secs(15)).await {
            return Err("a daemon is not ready".into());
        }
    }
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = machines
        .iter()
        .map(|machine| {
            let client = send_requests(
                record.clone(),
                machine.number,
                machine.callers(),
                served.clone(),
            );
            tokio::spawn(client)
        })
        .collect();
    sleep(Duration::from_secs(5)).await;

    let mut watch = MemoryWatch {
        record: record.clone(),
        ends: vec![0; MACHINES],
        peaks_kb: vec![0; MACHINES],
        restarts: vec![None; MACHINES],
    };
    for round in 1..=ROUNDS {
        if context.has_trouble {
            record.say(&format!("trouble {round} at servers 0 to {}", FAULTY - 1));
        }
        for server in &servers[..FAULTY] {
            server.set_endless(if context.has_trouble {
                ENDLESS_DIVISOR
            } else {
                0
            });
        }
        watch.run(&mut machines, TROUBLE_TIME).await?;
        for server in &servers[..FAULTY] {
            server.set_endless(0);
        }
        watch.run(&mut machines, CALM).await?;
        record.say(&format!("peaks so far, in kilobytes: {:?}", watch.peaks_kb));
    }
    for client in clients {
        client.abort();
    }
    let served = served.load(Ordering::Relaxed);
    record.say(&format!(
        "{served} requests were served; processes ended {:?} times",
        watch.ends
    ));
    drop(machines);
    store.close().await;
    if served == 0 {
        return Err("no request was served".into());
    }
    let broken = watch
        .ends
        .iter()
        .filter(|ends| **ends >= FAULT_ENDS)
        .count();
    Ok(if broken >= FAULT_MACHINES {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// The platform's part: it ends processes that are over their memory, and starts ended ones again.
struct MemoryWatch {
    record: CaseRecord,
    ends: Vec<u32>,
    peaks_kb: Vec<u64>,
    /// When the process of a machine is started again.
    restarts: Vec<Option<Instant>>,
}

impl MemoryWatch {
    async fn run(&mut self, machines: &mut [Machine], length: Duration) -> Result<(), CaseError> {
        let until = Instant::now() + length;
        while Instant::now() < until {
            sleep(LOOK_INTERVAL).await;
            for machine in machines.iter_mut() {
                self.look(machine)?;
            }
        }
        Ok(())
    }

    fn look(&mut self, machine: &mut Machine) -> Result<(), CaseError> {
        let number = machine.number;
        if let Some(restart_at) = self.restarts[number] {
            if Instant::now() >= restart_at {
                self.restarts[number] = None;
                machine.restart()?;
            }
            return Ok(());
        }
        let memory_kb = machine.anonymous_kb().unwrap_or_default();
        self.peaks_kb[number] = self.peaks_kb[number].max(memory_kb);
        let is_over = memory_kb > MEMORY_MB << 10;
        if is_over || !machine.is_running() {
            machine.kill();
            self.ends[number] += 1;
            self.record.say(&format!(
                "machine {number}: its process uses {:.1} MB of {MEMORY_MB} and is killed",
                memory_kb as f64 / 1_024.0
            ));
            self.restarts[number] = Some(Instant::now() + RESTART_PAUSE);
        }
        Ok(())
    }
}

fn options(machine: &Machine) -> ServerOptions {
    ServerOptions {
        name: format!("server-{}", machine.number),
        instance: format!("i-7f3a91c{}", machine.number),
        service: machine.service.clone(),
        address: machine.server(),
        reports: machine.reports(),
        work: Duration::from_millis(60),
        clock_error_ms: 0,
        answer_bytes: ANSWER_BYTES,
    }
}

/// Sends the requests of a machine until it is aborted.
async fn send_requests(
    record: CaseRecord,
    number: usize,
    callers: SocketAddr,
    served: Arc<AtomicU64>,
) {
    let mut next = Instant::now() + REQUEST_INTERVAL * number as u32 / MACHINES as u32;
    for count in 0_u64.. {
        let request = ClientRequest {
            method: Method::GET,
            path: "/lepu270/2f".to_string(),
            id: format!("{number:02}-{count:06}"),
            deadline_ms: 2_500,
            key: None,
        };
        let (record, served) = (record.clone(), served.clone());
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
        next += REQUEST_INTERVAL;
        sleep_until(next).await;
    }
}
