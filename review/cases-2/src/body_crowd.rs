//! Clients that nobody controls send many chunked bodies of legal size at once, stop short of their end and stay open.
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use jayrack_platform::headers;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, sleep_until, timeout},
};

use crate::{
    CaseContext, Verdict,
    client::{self, ClientRequest, HOST},
    fleet::{CaseError, FleetPlan, Machine, PlatformStore},
    record::CaseRecord,
    server::{BackendServer, ServerOptions},
};

const MACHINES: usize = 6;
/// Machines whose clients form a crowd.
const CROWDED: usize = 2;
/// Crowds at each of them, one after the other.
const ROUNDS: u32 = 3;
const SERVICE: &str = "huvo11a";
/// Memory of a machine of the sheet, in megabytes.
const MEMORY_MB: u64 = 110;
/// Clients of a crowd.
const CROWD: usize = 600;
/// Data of the one chunk that each of them begins, in bytes: far below `max_body_bytes`.
const CHUNK_BYTES: usize = 1 << 20;
/// Bytes that are missing at its end.
const MISSING_BYTES: usize = 16;
/// Bytes that a client sends at a stretch.
const PIECE_BYTES: usize = 16 << 10;
/// Time between two pieces of one client: all of them together send 98 MB/s, less than the machine's link of 1,000 Mbit/s.
const PIECE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(9);
/// Time between two looks of the platform at the memory of a process.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Pause before a process that ended is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Interval of the ordinary requests at each machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

fn configuration() -> Value {
    json!({
        "version": 7, "base_version": 0,
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 490, "protocol": "h1", "tls": false}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
        "virtual_hosts": [{"host": HOST, "paths": [{
            "name": "r-1", "path_prefix": "/xapu221/", "kind": "unsafe", "timeout_s": 1.5,
            "target_latency_s": 0.8, "priority": 1, "service": SERVICE, "attempts": 2, "public": false,
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
        link_mbps: 1000.0,
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
    sleep(Duration::from_secs(3)).await;

    let mut ends = [0_u32; CROWDED];
    for round in 1..=ROUNDS {
        for (machine, ends) in machines.iter_mut().zip(&mut ends) {
            *ends += u32::from(!survives(context, machine, round).await?);
        }
    }
    sleep(Duration::from_secs(2)).await;
    for client in clients {
        client.abort();
    }
    let before = served.load(Ordering::Relaxed);
    record.say(&format!(
        "{before} ordinary requests were served; processes ended {ends:?} times"
    ));
    if before == 0 {
        return Err("no request was served".into());
    }
    let is_broken = ends.iter().all(|ends| *ends >= ROUNDS);
    drop(machines);
    store.close().await;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Lets a crowd come to the machine; returns whether its process stays within the memory of the machine. The platform
/// kills one that does not, and starts it again.
async fn survives(
    context: &CaseContext,
    machine: &mut Machine,
    round: u32,
) -> Result<bool, CaseError> {
    let record = &context.record;
    let number = machine.number;
    let mut crowd = Vec::new();
    if context.has_trouble {
        record.say(&format!(
            "crowd {round} of {CROWD} clients comes to machine {number}"
        ));
        let chunk = Bytes::from(vec![b'x'; CHUNK_BYTES - MISSING_BYTES]);
        for member in 0..CROWD {
            let request = begin_body(
                machine.callers(),
                format!("c{number}-{round}-{member}"),
                chunk.clone(),
            );
            crowd.push(tokio::spawn(request));
        }
    }
    let started = Instant::now();
    let mut peak_kb = 0;
    let mut is_alive = true;
    while is_alive && started.elapsed() < CROWD_TIME {
        sleep(LOOK_INTERVAL).await;
        let memory_kb = machine.anonymous_kb();
        peak_kb = peak_kb.max(memory_kb.unwrap_or_default());
        is_alive = machine.is_running() && peak_kb <= MEMORY_MB << 10;
    }
    for member in crowd {
        member.abort();
    }
    record.say(&format!(
        "machine {number}: at most {:.1} MB of {MEMORY_MB}",
        peak_kb as f64 / 1_024.0
    ));
    if !is_alive {
        machine.kill();
        record.say(&format!(
            "machine {number}: its process is over its memory and is killed"
        ));
        sleep(RESTART_PAUSE).await;
        machine.restart()?;
        if !client::until_ready(machine.ready(), Duration::from_secs(15)).await {
            return Err("a daemon is not ready again".into());
        }
    }
    sleep(Duration::from_secs(1)).await;
    Ok(is_alive)
}

/// Sends a request whose body stops short of its end, and stays until the connection is closed.
async fn begin_body(callers: SocketAddr, id: String, chunk: Bytes) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(callers).await?;
    let head = format!(
        "POST /xapu221/2f HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: 1500\r\nTransfer-Encoding: chunked\r\n\r\n{CHUNK_BYTES:x}\r\n",
        headers::REQUEST_ID,
        headers::TIME_LEFT_MS,
    );
    stream.write_all(head.as_bytes()).await?;
    let mut next = Instant::now();
    for piece in chunk.chunks(PIECE_BYTES) {
        next += PIECE_INTERVAL;
        sleep_until(next).await;
        stream.write_all(piece).await?;
    }
    let mut answer = [0; 1_024];
    while stream.read(&mut answer).await? > 0 {}
    Ok(())
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
        answer_bytes: 400,
    }
}

/// Sends the ordinary requests of a machine until it is aborted.
async fn send_requests(
    record: CaseRecord,
    number: usize,
    callers: SocketAddr,
    served: Arc<AtomicU64>,
) {
    for count in 0_u64.. {
        let request = ClientRequest {
            method: Method::POST,
            path: "/xapu221/2f".to_string(),
            id: format!("{number:02}-{count:06}"),
            deadline_ms: 1_500,
            key: None,
        };
        let answer = timeout(Duration::from_secs(3), client::send(callers, &request)).await;
        let status = answer.ok().flatten().map(|answer| answer.status);
        if status == Some(StatusCode::OK) {
            served.fetch_add(1, Ordering::Relaxed);
        }
        record.note(&format!(
            "sent {} -> {}",
            request.id,
            status.map_or("no answer".to_string(), |status| status.to_string())
        ));
        sleep(REQUEST_INTERVAL).await;
    }
}
