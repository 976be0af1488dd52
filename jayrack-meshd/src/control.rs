//! Control thread: configuration, hosts, status reports, readiness.
//!
//! * [`configuration`]: reads the operator's configuration from the store.
//! * [`hosts`]: registration of this host in the store, at the start and when the store has come back from a copy.
//! * [`host_records`]: records of hosts and of departures in the store.
//! * [`gossip`]: datagrams between daemons.
//! * [`receive`]: handling of received datagrams.
//! * `announced`: announced versions of the configuration.
//! * [`datagram`]: encoding of these datagrams.
//! * [`reports`]: status reports of the backend server beside the daemon.
//! * [`allowance`]: messages of the tenant rate limits.
//! * [`rollout`]: roll-outs of new versions.
//! * `rollout_record`: the recorded states of roll-outs in the store.
//! * `rollout_wire`: encoding of roll-outs.
//! * [`sync`]: transfer of the configuration and the hosts between daemons, without the store.
//! * `freshness`: reports when API keys cannot be checked because the knowledge of them is too old.
//! * [`endpoint`]: small HTTP listeners: readiness, reports, metrics.
pub mod allowance;
mod announced;
pub mod configuration;
pub mod datagram;
pub mod endpoint;
mod freshness;
pub mod gossip;
pub mod host_records;
pub mod hosts;
pub mod receive;
pub mod reports;
pub mod rollout;
mod rollout_record;
mod rollout_wire;
pub mod sync;

use std::{path::PathBuf, sync::Arc, time::Duration};

use eyre::WrapErr;
use jayrack_mesh::{
    memory::connections::ClientKind,
    stop::{StopPhase, StopPlan},
};
use jayrack_platform::{
    pool,
    socket::{self, ListenOptions},
    store::{self, StoreClient},
};
use tokio::{
    net::{TcpListener, UdpSocket},
    signal::unix::{SignalKind, signal},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    settings::{self, MeshSettings},
    shared::MeshState,
    traffic::{listener, memory::ByteBudget, state::TrafficState},
};

/// Time limit for connecting to the store, in milliseconds.
const STORE_CONNECT_TIMEOUT_MS: u64 = 800;
/// Time limit for an answer of the store, which usually takes 4 ms but much longer under load.
const STORE_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for an answer after the wait that the store was asked for.
const STORE_WAIT_GRACE: Duration = Duration::from_secs(1);
/// Interval between two checks of the admission gate's queue, and of the requests in flight while stopping.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Ticks between two removals of idle connections from the pools.
const TICKS_PER_EXPIRY: u32 = 10;
/// Ticks between two removals of the state of routes and hosts that no longer exist.
const TICKS_PER_CLEANUP: u32 = 100;
/// Interval between two reads of the settings file.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Fraction of the time between the end of all requests and the forced end of the process in which connections may still
/// write what they hold.
const FLUSH_DIVISOR: u32 = 2;
/// Time without a report or an answer of the backend server after which it gets no more requests, in milliseconds:
/// the interval of two reports and their delay.
const SERVER_SILENCE_TIMEOUT_MS: u64 = 4_000;

/// State shared by the tasks of the control thread.
#[derive(Debug)]
pub struct ControlState {
    /// State shared with the traffic thread.
    pub mesh: Arc<MeshState>,
    /// Client of the platform's store.
    pub store: StoreClient,
    /// This host's record and the exchange of datagrams.
    pub gossip: gossip::GossipState,
    /// Whether this host is registered in the store and has read the other hosts.
    pub registered: tokio::sync::watch::Sender<bool>,
    /// Writes of departures to the store; locked during a write, so that each departure is written once.
    pub departure_writes: tokio::sync::Mutex<host_records::DepartureWrites>,
    /// Calls to the store about roll-outs; locked during a call, since each write depends on the one before.
    rollout_calls: tokio::sync::Mutex<rollout_record::StoreCalls>,
}

/// Runs the daemon until it receives SIGTERM; SIGHUP makes it read the settings file at once.
///
/// # Errors
///
/// Fails if a listener, the datagram socket or the traffic thread cannot be started.
pub fn run(settings: MeshSettings, path: PathBuf) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut reload = signal(SignalKind::hangup())?;
        let mesh = Arc::new(MeshState::new(settings));
        let seed = crate::logging::unix_ms() ^ u64::from(std::process::id());
        let traffic = Arc::new(TrafficState::new(mesh.clone(), seed));
        start_traffic(traffic.clone())?;
        let control = start_control(mesh.clone(), &traffic.budget).await?;
        log::info!(host = mesh.settings.host.name.as_str(), epoch = control.gossip.epoch(); "started");
        let mut current = mesh.settings.clone();
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = reload.recv() => {}
                () = sleep(SETTINGS_POLL_INTERVAL) => {}
            }
            reload_settings(&path, &mut current);
            traffic.router.set_bounds(&current.bounds);
            mesh.knowledge().set_bound(current.bounds.revoke_ms());
            let bounds = crate::shared::exposure_bounds(&current.bounds);
            mesh.rollouts().set_bounds(bounds);
        }
        stop(&control, &traffic, current.bounds.stop_s).await;
        Ok(())
    })
}

async fn start_control(
    mesh: Arc<MeshState>,
    budget: &ByteBudget,
) -> eyre::Result<Arc<ControlState>> {
    let settings = &mesh.settings;
    let options = store::Options {
        pool: pool::Options {
            connect_timeout_ms: STORE_CONNECT_TIMEOUT_MS,
            ..pool::Options::default()
        },
        answer_timeout: STORE_ANSWER_TIMEOUT,
        wait_grace: STORE_WAIT_GRACE,
    };
    let [gossip_port, metrics_port] = settings.ports;
    let address = settings.host.address;
    let socket = UdpSocket::bind((address, gossip_port))
        .await
        .wrap_err("cannot bind the port for datagrams")?;
    let ready = bind(settings.listen.ready, ClientKind::Readiness, budget)?;
    let reports = bind(settings.listen.reports, ClientKind::Reports, budget)?;
    let metrics = bind((address, metrics_port).into(), ClientKind::Metrics, budget)?;
    let store = StoreClient::new(settings.store, options);
    let control = Arc::new(ControlState {
        gossip: gossip::GossipState::new(&mesh, socket, store.eras().clone()),
        store,
        registered: tokio::sync::watch::Sender::new(false),
        departure_writes: tokio::sync::Mutex::default(),
        rollout_calls: tokio::sync::Mutex::default(),
        mesh,
    });
    tokio::spawn(endpoint::serve_ready(
        ready,
        budget.clone(),
        control.mesh.clone(),
    ));
    tokio::spawn(endpoint::serve_metrics(
        metrics,
        budget.clone(),
        control.mesh.clone(),
    ));
    tokio::spawn(reports::serve(reports, budget.clone(), control.clone()));
    tokio::spawn(configuration::follow(control.clone()));
    tokio::spawn(hosts::register(control.clone()));
    tokio::spawn(receive::receive(control.clone()));
    tokio::spawn(gossip::send(control.clone()));
    tokio::spawn(allowance::run(control.clone()));
    tokio::spawn(watch_server(control.clone()));
    tokio::spawn(freshness::watch(control.mesh.clone()));
    tokio::spawn(rollout::drive(control.clone()));
    Ok(control)
}

/// Opens the listener for a kind of client. What the kernel keeps for its connections, also for those that wait to be
/// accepted, is bounded by what the budget has for them.
fn bind(
    address: std::net::SocketAddr,
    kind: ClientKind,
    budget: &ByteBudget,
) -> eyre::Result<TcpListener> {
    let options = ListenOptions {
        backlog: budget.backlog(kind),
        receive_buffer_bytes: kind.receive_buffer_bytes(),
    };
    socket::listen(address, options).wrap_err_with(|| format!("cannot bind {address}"))
}

fn start_traffic(state: Arc<TrafficState>) -> eyre::Result<()> {
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("traffic".to_string())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            match runtime {
                Ok(runtime) => runtime.block_on(run_traffic(state, sender)),
                Err(error) => {
                    // Fails only if the control thread no longer waits for the result.
                    let _ = sender.send(Err(eyre::Report::new(error)));
                }
            }
        })?;
    receiver.recv()?
}

async fn run_traffic(
    state: Arc<TrafficState>,
    result_sender: std::sync::mpsc::Sender<eyre::Result<()>>,
) {
    let listen = state.mesh.settings.listen.clone();
    let budget = &state.budget;
    let callers = bind(listen.callers, ClientKind::Caller, budget);
    let daemons = bind(listen.forward, ClientKind::Daemon, budget);
    let (callers, daemons) = match callers.and_then(|callers| Ok((callers, daemons?))) {
        Ok(listeners) => listeners,
        Err(error) => {
            // Fails only if the control thread no longer waits for the result.
            let _ = result_sender.send(Err(error));
            return;
        }
    };
    let _ = result_sender.send(Ok(()));
    tokio::spawn(listener::accept(callers, ClientKind::Caller, state.clone()));
    tokio::spawn(listener::accept(daemons, ClientKind::Daemon, state.clone()));
    let mut ticks = 0_u32;
    loop {
        sleep(TICK_INTERVAL).await;
        state.mesh.gate.tick();
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_EXPIRY) {
            state.peer_pool.expire();
            state.server_pool.expire();
        }
        if ticks.is_multiple_of(TICKS_PER_CLEANUP) {
            if let Some(routes) = state.mesh.routes.load().as_ref() {
                state.router.retain(routes);
            }
            let directory = state.mesh.directory();
            let is_known = |address: &std::net::IpAddr| directory.get(*address).is_some();
            state.mesh.transit().retain(is_known);
        }
    }
}

/// Suspends the admission gate while the backend server neither reports nor answers.
async fn watch_server(control: Arc<ControlState>) {
    let mut is_silent = false;
    loop {
        sleep(Duration::from_millis(250)).await;
        let mesh = &control.mesh;
        let (reported_ms, slots) = {
            let tracker = mesh.tracker();
            match tracker.serving() {
                Some(server) => (tracker.reported_ms(), server.slots),
                None => continue,
            }
        };
        let last_ms = reported_ms.max(mesh.last_answer_ms());
        let silence_ms = mesh.now_ms().saturating_sub(last_ms);
        let was_silent = std::mem::replace(&mut is_silent, silence_ms > SERVER_SILENCE_TIMEOUT_MS);
        if is_silent && !was_silent {
            log::warn!(silence_ms = silence_ms; "server is silent, no more work");
            mesh.metrics.count_state_change("server-silent");
            mesh.gate.suspend();
        } else if was_silent && !is_silent && control.gossip.is_restored() {
            log::info!("server is back");
            mesh.gate.resume(slots);
        }
    }
}

/// Reads the settings file again; changed bounds take effect at once, other changes at the next start.
fn reload_settings(path: &std::path::Path, current: &mut MeshSettings) {
    match settings::load(path) {
        Ok(settings) if settings != *current => {
            let needs_start = MeshSettings {
                bounds: current.bounds.clone(),
                ..settings.clone()
            } != *current;
            log::info!(needs_start = needs_start; "settings have changed");
            *current = settings;
        }
        Ok(_) => {}
        Err(error) => log::warn!(error:% = error; "settings not reloaded"),
    }
}

/// Stops without aborting requests: first the platform sends callers elsewhere, then requests that still arrive are
/// refused, and the process exits after the last answer has been written.
async fn stop(control: &ControlState, traffic: &TrafficState, stop_s: f64) {
    let mesh = &control.mesh;
    let plan = StopPlan::new(Duration::from_secs_f64(stop_s));
    let started = Instant::now();
    log::info!(in_flight = mesh.in_flight(); "stopping");
    mesh.start_stop(&plan);
    control.gossip.publish(mesh).await;
    sleep_until(started + plan.close_after).await;
    mesh.enter_phase(StopPhase::Closing);
    mesh.gate.suspend();
    while mesh.in_flight() > 0 && started.elapsed() < plan.end_after {
        sleep(TICK_INTERVAL).await;
    }
    log::info!(in_flight = mesh.in_flight(), store_calls = control.store.calls(); "stopped");
    mesh.enter_phase(StopPhase::Ending);
    let flush_time = plan.kill_after.saturating_sub(plan.end_after) / FLUSH_DIVISOR;
    let flushed_by = Instant::now() + flush_time;
    while traffic.budget.connections() > 0 && Instant::now() < flushed_by {
        sleep(TICK_INTERVAL).await;
    }
    if traffic.budget.connections() > 0 {
        log::warn!(connections = traffic.budget.connections(); "connections are cut off");
    }
}
