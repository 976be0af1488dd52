//! Case: another writer sends a status report with missing fields for a server that later drains.
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::Client,
    fleet::{self, Daemon, SetupResult, Store, TempFolder},
    record::{Record, Seen},
    server::{Reaction, Server},
};

const HOSTS: usize = 3;
const SLOTS: u32 = 12;
const WORK: Duration = Duration::from_millis(55);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Number at which the other writer's reports are; those of a server that has run for a week are as many.
const FOREIGN_SEQUENCE: u64 = 400_000;
/// Time for which the draining server still runs; it reports on meanwhile.
const OBSERVED_TIME: Duration = Duration::from_millis(12_000);
/// `drain_s` of the site.
const DRAIN_MS: u64 = 2_000;

const CONFIGURATION: &str = r#"{"version":1,"base_version":0,"services":[{"name":"bookings","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-ledger","path_prefix":"/ledger/","kind":"safe","timeout_s":1.2,"target_latency_s":0.5,"priority":0,"service":"bookings","attempts":2}]}]}"#;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> SetupResult<Vec<String>> {
    let folder = TempFolder::new()?;
    let store = Store::start(root)?;
    let hosts = fleet::hosts(&["bookings"; HOSTS])?;
    store.put_configuration(CONFIGURATION)?;
    let mut daemons = Vec::new();
    let mut servers = Vec::new();
    for host in &hosts {
        let bounds = fleet::TURNIO_MESH;
        let mut daemon = Daemon::new(root, &folder.0, host.clone(), store.address, bounds)?;
        daemon.start()?;
        daemons.push(daemon);
        let react = Box::new(|_| Reaction::Run);
        servers.push(Server::start(host, SLOTS, (WORK, 0), react, record)?);
    }
    for daemon in &daemons {
        daemon.until_ready()?;
    }
    thread::sleep(Duration::from_secs(5));
    let until = Instant::now() + Duration::from_secs(4) + OBSERVED_TIME;
    let clients = hosts.iter().flat_map(|host| {
        (0..2).map(move |number| Client {
            name: format!("c{}{number}", host.name.trim_start_matches("app_host-")),
            outbound: host.outbound(),
            method: "GET",
            path: "/ledger/1",
            deadline: DEADLINE,
            pause: Duration::from_millis(50),
            period: Duration::ZERO,
            until,
        })
    });
    let asking: Vec<_> = clients.map(|client| client.start(record)).collect();
    let leaving = &servers[0];
    if has_trouble {
        let report = leaving.foreign_report(FOREIGN_SEQUENCE);
        let is_taken = leaving.send_report(&report);
        record.note(&format!(
            "a report of another writer without zone and version; acknowledged: {is_taken}"
        ));
    }
    thread::sleep(Duration::from_secs(4));
    fleet::until("the drain is acknowledged", || leaving.drain())?;
    let acknowledged_ms = record.now_ms();
    record.note(&format!(
        "{} has reported that it drains, and that is acknowledged",
        leaving.instance
    ));
    for client in asking {
        let _ = client.join();
    }
    servers.iter().for_each(|server| server.end());
    let due_ms = acknowledged_ms + DRAIN_MS;
    let events = record.events();
    let late = events.iter().filter(|event| {
        event.seen == Seen::Run && event.who == leaving.instance && event.at_ms > due_ms
    });
    Ok(late
        .map(|event| {
            format!(
                "DRAIN: {} reached {} {} ms after the acknowledgement that it drains",
                event.id,
                event.who,
                event.at_ms - acknowledged_ms
            )
        })
        .collect())
}
