//! Case: a bound in the settings becomes a fraction while the daemons run; then they are stopped and started in turn.
use std::{
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{self, Bounds, Daemon, SetupResult, Store, TempFolder},
    record::Record,
    server::{Reaction, Server},
};

const HOSTS: usize = 5;
/// Machines whose settings change: 0.6 of all.
const CHANGED_HOSTS: usize = 3;
/// Machines that are stopped and started: less than 0.45 of all, and two at least.
const STOPPED_HOSTS: usize = 2;
const SLOTS: u32 = 12;
const WORK: Duration = Duration::from_millis(55);
/// `retry_budget_slack` after the change: half a request for each of 115 machines.
const FRACTIONAL_SLACK: f64 = 57.5;
const WHOLE_SLACK: f64 = 57.0;
/// Pause before the platform starts a process that has ended again.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Time for which each machine is watched after its daemon was started again.
const OBSERVED_TIME: Duration = Duration::from_millis(8_000);
/// Ends of a process, without a disturbance, from which on its machine counts.
const LEAST_ENDS: usize = 3;
/// Machines from which on the rule is broken.
const LEAST_MACHINES: usize = 2;

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
    thread::sleep(Duration::from_secs(3));
    let bounds = Bounds {
        retry_slack: if has_trouble {
            FRACTIONAL_SLACK
        } else {
            WHOLE_SLACK
        },
        ..fleet::TURNIO_MESH
    };
    for daemon in daemons.iter().take(CHANGED_HOSTS) {
        daemon.write_settings(store.address, bounds, false)?;
        daemon.signal("HUP")?;
    }
    record.note(&format!(
        "the settings change: retry_budget_slack is {}; SIGHUP to {CHANGED_HOSTS} daemons",
        bounds.retry_slack
    ));
    thread::sleep(Duration::from_secs(3));
    let mut broken = Vec::new();
    for daemon in daemons.iter_mut().take(STOPPED_HOSTS) {
        let ends = stop_and_start(daemon, record)?;
        if ends >= LEAST_ENDS {
            broken.push(format!(
                "Fault: the process of {} ended by itself {ends} times and is ready: {}",
                daemon.host.name,
                daemon.is_ready()
            ));
        }
    }
    servers.iter().for_each(|server| server.end());
    Ok(match broken.len() >= LEAST_MACHINES {
        true => broken,
        false => Vec::new(),
    })
}

/// Stops a daemon by SIGTERM, starts it again and restarts it whenever it ends; returns how often it ended by itself.
fn stop_and_start(daemon: &mut Daemon, record: &Record) -> SetupResult<usize> {
    let name = daemon.host.name.clone();
    record.note(&format!("SIGTERM to {name}"));
    daemon.signal("TERM")?;
    let stopped = Instant::now();
    let grace = Duration::from_secs_f64(fleet::TURNIO_MESH.grace_s);
    while daemon.exit().is_none() && stopped.elapsed() < grace {
        thread::sleep(Duration::from_millis(20));
    }
    daemon.kill();
    let mut ends = 0;
    let until = Instant::now() + OBSERVED_TIME;
    daemon.start()?;
    record.note(&format!("{name} is started"));
    while Instant::now() < until {
        if let Some(status) = daemon.exit() {
            ends += 1;
            record.note(&format!("{name} has ended by itself: {status}"));
            thread::sleep(RESTART_DELAY);
            daemon.start()?;
            record.note(&format!("{name} is started"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.note(&format!("{name} is ready: {}", daemon.is_ready()));
    Ok(ends)
}
