//! Case: a server sends a second copy of a refusal where the answer to the next request is expected.
use std::{
    collections::BTreeMap,
    path::Path,
    sync::{Arc, atomic::AtomicBool, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    fleet::{self, Daemon, SetupResult, Store, TempFolder},
    record::{Record, Seen},
    server::{Reaction, Server},
};

/// Servers of the service; each machine hosts one.
const SERVERS: usize = 5;
/// Servers that send copies: 0.6 of all.
const FAULTY_SERVERS: usize = 3;
/// Share of the requests that the servers refuse, all of them in the same times.
const REFUSED_PER_MILLE: u64 = 140;
/// Share of the refusals of a faulty server that are sent twice.
const COPIED_PER_MILLE: u64 = 30;
const SLOTS: u32 = 12;
const WORK: Duration = Duration::from_millis(290);
const DEADLINE: Duration = Duration::from_millis(3_000);
const CLIENTS_PER_HOST: usize = 10;
/// Time with refusals and copies, and time without them, by turns.
const FAULTY_TIME: Duration = Duration::from_millis(5_000);
const SOUND_TIME: Duration = Duration::from_millis(5_000);
const ROUNDS: usize = 6;

const CONFIGURATION: &str = r#"{"version":1,"base_version":0,"services":[{"name":"bookings","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-book","path_prefix":"/book/","kind":"unsafe","timeout_s":1.5,"target_latency_s":1.5,"priority":2,"service":"bookings","attempts":2}]}]}"#;

/// Number below 1,000 that depends on `number` only.
fn per_mille(number: u64, salt: u64) -> u64 {
    let mut value =
        number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ salt.wrapping_mul(0xd1b5_4a32_d192_ed03);
    value ^= value >> 29;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^= value >> 32;
    value % 1_000
}

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> SetupResult<Vec<String>> {
    let folder = TempFolder::new()?;
    let store = Store::start(root)?;
    let hosts = fleet::hosts(&["bookings"; SERVERS])?;
    store.put_configuration(CONFIGURATION)?;
    let mut daemons = Vec::new();
    for host in &hosts {
        let mut daemon = Daemon::new(
            root,
            &folder.0,
            host.clone(),
            store.address,
            fleet::TURNIO_MESH,
        )?;
        daemon.start()?;
        daemons.push(daemon);
    }
    let refuses = Arc::new(AtomicBool::new(false));
    let seed = u64::from(std::process::id());
    let mut servers = Vec::new();
    for (index, host) in hosts.iter().enumerate() {
        let refuses = refuses.clone();
        let salt = (index as u64 + 1) * 1_000_003 + seed;
        let is_faulty = has_trouble && index < FAULTY_SERVERS;
        let react = move |number: u64| {
            let is_refused = per_mille(number, salt) < REFUSED_PER_MILLE;
            if !refuses.load(Ordering::Relaxed) || !is_refused {
                return Reaction::Run;
            }
            match is_faulty && per_mille(number, salt + 7) < COPIED_PER_MILLE {
                true => Reaction::RefuseTwice,
                false => Reaction::Refuse,
            }
        };
        servers.push(Server::start(
            host,
            SLOTS,
            (WORK, 0),
            Box::new(react),
            record,
        )?);
    }
    for daemon in &daemons {
        daemon.until_ready()?;
    }
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + (FAULTY_TIME + SOUND_TIME) * ROUNDS as u32;
    let clients = hosts.iter().flat_map(|host| {
        (0..CLIENTS_PER_HOST).map(move |number| Client {
            name: format!("c{}{number}", host.name.trim_start_matches("app_host-")),
            outbound: host.outbound(),
            method: "POST",
            path: "/book/1",
            deadline: DEADLINE,
            pause: Duration::from_millis(20),
            period: Duration::ZERO,
            until,
        })
    });
    let asking: Vec<_> = clients.map(|client| client.start(record)).collect();
    for _ in 0..ROUNDS {
        record.note("servers refuse some requests from here on");
        refuses.store(true, Ordering::Relaxed);
        thread::sleep(FAULTY_TIME);
        refuses.store(false, Ordering::Relaxed);
        record.note("no more requests are refused");
        thread::sleep(SOUND_TIME);
    }
    for client in asking {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    for server in &servers {
        server.end();
    }
    Ok(broken(record))
}

/// Requests that ran more than once, or that were refused although they ran.
fn broken(record: &Record) -> Vec<String> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let mut answers: BTreeMap<String, u16> = BTreeMap::new();
    for event in record.events() {
        match event.seen {
            Seen::Run => *runs.entry(event.id).or_default() += 1,
            Seen::Answered(Some(status)) => {
                answers.insert(event.id, status);
            }
            _ => {}
        }
    }
    let is_promise = |status: &u16| [408, 421, 429, 503].contains(status);
    let mut broken = Vec::new();
    for (id, count) in &runs {
        if *count > 1 {
            broken.push(format!("TWICE: {id} ran {count} times"));
        }
        if let Some(status) = answers.get(id).filter(|status| is_promise(status)) {
            broken.push(format!("REFUSED: {id} ran and was answered {status}"));
        }
    }
    broken
}
