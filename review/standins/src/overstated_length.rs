//! Case: each server of downloads truncates one answer, whose head states a length that is far too large.
use std::{
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    fleet::{self, Daemon, SetupResult, Store, TempFolder},
    record::{Record, Seen},
    server::{Reaction, Server},
};

const SERVICES: [&str; 5] = [
    "drawings",
    "drawings",
    "drawings",
    "availability",
    "availability",
];
/// Servers of downloads; each truncates one answer.
const FAULTY_SERVERS: usize = 3;
const SLOTS: u32 = 12;
const DOWNLOAD_WORK: Duration = Duration::from_millis(180);
const DOWNLOAD_BYTES: usize = 90_000;
const BROWSE_WORK: Duration = Duration::from_millis(220);
const BROWSE_BYTES: usize = 5_000;
const DEADLINE: Duration = Duration::from_millis(2_500);
const BROWSERS_PER_HOST: usize = 4;
const DOWNLOADERS_PER_HOST: usize = 2;
/// Time between two requests of a client.
const PERIOD: Duration = Duration::from_millis(300);
/// Time in which a faulty server truncates one answer, which is the last one.
const FAULTY_TIME: Duration = Duration::from_millis(5_000);
const OBSERVED_TIME: Duration = Duration::from_millis(90_000);

const CONFIGURATION: &str = r#"{"version":1,"base_version":0,"services":[{"name":"availability","health_path":"/health","max_connections":110,"protocol":"h1","tls":false},{"name":"drawings","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-browse","path_prefix":"/browse/","kind":"safe","timeout_s":1.2,"target_latency_s":0.5,"priority":0,"service":"availability","attempts":2},{"name":"r-drawing","path_prefix":"/drawing/","kind":"download","timeout_s":1.2,"target_latency_s":0.6,"priority":1,"service":"drawings","attempts":2}]}]}"#;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> SetupResult<Vec<String>> {
    let folder = TempFolder::new()?;
    let store = Store::start(root)?;
    let hosts = fleet::hosts(&SERVICES)?;
    store.put_configuration(CONFIGURATION)?;
    let mut daemons = Vec::new();
    let mut servers = Vec::new();
    let mut faults = Vec::new();
    for host in &hosts {
        let bounds = fleet::TURNIO_MESH;
        let mut daemon = Daemon::new(root, &folder.0, host.clone(), store.address, bounds)?;
        daemon.start()?;
        daemons.push(daemon);
        let is_due = Arc::new(AtomicBool::new(false));
        faults.push(is_due.clone());
        let react = move |_| match is_due.swap(false, Ordering::Relaxed) {
            true => Reaction::Overstate,
            false => Reaction::Run,
        };
        let answers = match host.service.as_str() {
            "drawings" => (DOWNLOAD_WORK, DOWNLOAD_BYTES),
            _ => (BROWSE_WORK, BROWSE_BYTES),
        };
        servers.push(Server::start(
            host,
            SLOTS,
            answers,
            Box::new(react),
            record,
        )?);
    }
    for daemon in &daemons {
        daemon.until_ready()?;
    }
    thread::sleep(Duration::from_secs(3));
    let until = Instant::now() + OBSERVED_TIME;
    let mut asking = Vec::new();
    for host in &hosts {
        for number in 0..BROWSERS_PER_HOST + DOWNLOADERS_PER_HOST {
            let is_browser = number < BROWSERS_PER_HOST;
            let kind = if is_browser { "b" } else { "d" };
            let client = Client {
                name: format!(
                    "{kind}{}{number}",
                    host.name.trim_start_matches("app_host-")
                ),
                outbound: host.outbound(),
                method: "GET",
                path: if is_browser {
                    "/browse/1"
                } else {
                    "/drawing/1"
                },
                deadline: DEADLINE,
                pause: Duration::ZERO,
                period: PERIOD,
                until,
            };
            asking.push(client.start(record));
        }
    }
    for fault in faults.iter().take(FAULTY_SERVERS) {
        thread::sleep(FAULTY_TIME);
        fault.store(has_trouble, Ordering::Relaxed);
    }
    thread::sleep(Duration::from_secs(1));
    record.note("all servers answer well from here on");
    for client in asking {
        let _ = client.join();
    }
    servers.iter().for_each(|server| server.end());
    Ok(broken(record))
}

/// Whether downloads were served less than a quarter as often as all requests.
fn broken(record: &Record) -> Vec<String> {
    let (mut all, mut downloads) = (Counts::default(), Counts::default());
    for event in record.events() {
        let Seen::Answered(status) = event.seen else {
            continue;
        };
        let is_served = status == Some(200);
        all.add(is_served);
        if event.id.starts_with('d') {
            downloads.add(is_served);
        }
    }
    let text = format!(
        "served: {} of {} downloads, {} of {} requests",
        downloads.served, downloads.sent, all.served, all.sent
    );
    record.note(&text);
    match downloads.share() * 4.0 < all.share() {
        true => vec![format!("Starved: {text}")],
        false => Vec::new(),
    }
}

#[derive(Default)]
struct Counts {
    sent: u64,
    served: u64,
}

impl Counts {
    fn add(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += u64::from(is_served);
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}
