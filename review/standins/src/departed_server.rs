//! Case: a machine is cut off from the store and its daemon is killed, right after the daemon has acknowledged a
//! departure, and a status report of the departed server arrives late.
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
    relay::Relay,
    server::{Reaction, Server},
};

const HOSTS: usize = 3;
const SLOTS: u32 = 12;
const WORK: Duration = Duration::from_millis(55);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time between the acknowledgement of the departure and the disruption.
const KILL_DELAY: Duration = Duration::from_millis(100);
/// Time for which the killed daemon is down.
const DOWN_TIME: Duration = Duration::from_millis(1_000);
/// Time for which the machine is cut off from the store.
const CUT_TIME: Duration = Duration::from_millis(5_000);
/// How late the last status report arrives.
const REPORT_DELAY: Duration = Duration::from_millis(3_000);
/// Time for which the departed server still runs.
const OBSERVED_TIME: Duration = Duration::from_millis(25_000);
/// `drain_s` of the site.
const DRAIN_MS: u64 = 2_000;
/// `stable_window_s` of the site.
const STABLE_WINDOW_MS: u64 = 3_000;

const CONFIGURATION: &str = r#"{"version":1,"base_version":0,"services":[{"name":"bookings","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_s":3,"idle_timeout_s":15},"virtual_hosts":[{"host":"a.example","paths":[{"name":"r-ledger","path_prefix":"/ledger/","kind":"safe","timeout_s":1.2,"target_latency_s":0.5,"priority":0,"service":"bookings","attempts":2}]}]}"#;

pub fn run(root: &Path, record: &Arc<Record>, has_trouble: bool) -> SetupResult<Vec<String>> {
    let folder = TempFolder::new()?;
    let store = Store::start(root)?;
    let relay = Relay::start(store.address)?;
    let hosts = fleet::hosts(&["bookings"; HOSTS])?;
    store.put_configuration(CONFIGURATION)?;
    let mut daemons = Vec::new();
    let mut servers = Vec::new();
    for host in &hosts {
        let bounds = fleet::TURNIO_MESH;
        // Only the first machine reaches the store over the relay.
        let address = if daemons.is_empty() {
            relay.address
        } else {
            store.address
        };
        let mut daemon = Daemon::new(root, &folder.0, host.clone(), address, bounds)?;
        daemon.start()?;
        daemons.push(daemon);
        let react = Box::new(|_| Reaction::Run);
        servers.push(Server::start(host, SLOTS, (WORK, 0), react, record)?);
    }
    for daemon in &daemons {
        daemon.until_ready()?;
    }
    thread::sleep(Duration::from_secs(5));
    let until = Instant::now() + Duration::from_secs(2) + OBSERVED_TIME;
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
    thread::sleep(Duration::from_secs(2));

    let departed = &servers[0];
    departed.end();
    let late_report = departed.next_report();
    fleet::until("the departure is acknowledged", || departed.leave())?;
    let acknowledged_ms = record.now_ms();
    record.note(&format!(
        "the departure of {} is acknowledged",
        departed.instance
    ));

    let mut in_touch_ms = acknowledged_ms;
    let (server, case_record) = (departed.clone(), record.clone());
    let reporting = thread::spawn(move || {
        thread::sleep(REPORT_DELAY);
        let is_taken = server.send_report(&late_report);
        case_record.note(&format!(
            "the late report arrives; acknowledged: {is_taken}"
        ));
    });
    thread::sleep(KILL_DELAY);
    if has_trouble {
        let cut = Instant::now();
        relay.set_silent(true);
        daemons[0].kill();
        record.note("the machine is cut off from the store, and its daemon is killed");
        thread::sleep(DOWN_TIME);
        daemons[0].write_settings(relay.address, fleet::TURNIO_MESH, false)?;
        daemons[0].start()?;
        record.note("the daemon is started");
        thread::sleep(CUT_TIME.saturating_sub(cut.elapsed()));
        relay.set_silent(false);
        record.note("the machine reaches the store again");
        in_touch_ms = record.now_ms() + STABLE_WINDOW_MS;
    }
    let _ = reporting.join();
    for client in asking {
        let _ = client.join();
    }
    servers.iter().for_each(|server| server.end());

    let due_ms = in_touch_ms.max(acknowledged_ms + DRAIN_MS);
    record.note(&format!(
        "machines are in touch and bound from {due_ms} ms on"
    ));
    let events = record.events();
    let late = events.iter().filter(|event| {
        event.seen == Seen::Run && event.who == departed.instance && event.at_ms > due_ms
    });
    let sent_ms = |id: &str| {
        let is_sending = |event: &&crate::record::Event| event.seen == Seen::Sent && event.id == id;
        events
            .iter()
            .find(is_sending)
            .map_or(0, |event| event.at_ms)
    };
    Ok(late
        .filter(|event| sent_ms(&event.id) > due_ms)
        .map(|event| {
            format!(
                "DRAIN: {} reached {} {} ms after the acknowledgement of its departure",
                event.id,
                event.who,
                event.at_ms - acknowledged_ms
            )
        })
        .collect())
}
