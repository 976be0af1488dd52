//! Starts a daemon from its settings.
use std::sync::Arc;

use jayrack_config::sync::{self, ConfigSync, FleetMember};
use jayrack_membership::{MemberRecord, core};
use jayrack_platform::HttpLog;
use jayrack_protocol::{MemberId, auth::FleetKeys};
use tokio::sync::mpsc;

use super::{
    ControlLoop, DaemonHandles, EventQueues, log_calls::LogCaller, peer_calls::PeerCaller,
    state::ControlState,
};
use crate::{
    admin, announce,
    clock::{DaemonClock, unix_ms},
    gossip,
    metrics::MetricRegistry,
    settings::{DaemonSettings, DistributionMode},
    shared::SharedState,
    traffic::{self, TrafficHandle},
    transport::TlsOptions,
};

/// Maximum number of calls or events that wait in each queue of the control loop.
const MAX_QUEUED_CALLS: usize = 256;

/// Error of starting a daemon.
#[derive(Debug)]
pub enum Error {
    /// The listener of the administration or announcement API could not be opened.
    Listen(std::io::Error),
    /// Gossip could not start.
    Gossip(gossip::Error),
    /// The traffic threads could not start.
    Traffic(traffic::Error),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Listen(error) => write!(f, "cannot listen: {error}"),
            Error::Gossip(error) => write!(f, "gossip: {error}"),
            Error::Traffic(error) => write!(f, "traffic: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Opens all listeners and returns the control loop, which the caller has to run on the same runtime.
pub async fn start(settings: DaemonSettings) -> Result<ControlLoop, Error> {
    let settings = Arc::new(settings);
    let seed = settings.seed.unwrap_or_else(unix_ms);
    let clock = DaemonClock::start();
    let local = MemberId::from_address(settings.listen.gossip);
    let shared = Arc::new(SharedState::new(
        local,
        &settings.data_centre,
        &settings.region,
    ));
    let (sync_sender, sync_calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let traffic = start_traffic(&settings, seed, clock, shared.clone(), sync_sender).await?;
    let gossip = start_gossip(&settings, seed).await?;
    gossip.set_seeds(settings.seeds.clone());
    let (admin_sender, admin_calls) = mpsc::channel(MAX_QUEUED_CALLS);
    let (announce_sender, announcements) = mpsc::channel(MAX_QUEUED_CALLS);
    admin::serve(admin_options(&settings), admin_sender)
        .await
        .map_err(Error::Listen)?;
    announce::api::serve(settings.listen.announce, announce_sender)
        .await
        .map_err(Error::Listen)?;
    let (event_sender, events) = mpsc::channel(MAX_QUEUED_CALLS);
    let log = Arc::new(HttpLog::new(settings.log.address));
    let context = super::state::ControlContext {
        sync: new_sync(&settings, seed, local, clock.now_ms()),
        log: LogCaller::new(log, event_sender.clone()),
        peers: PeerCaller::new(traffic.peers(), event_sender.clone(), local),
        shared: shared.clone(),
        events: event_sender,
        metrics: MetricRegistry::new(&traffic.counters()),
        settings,
        clock,
        seed,
    };
    let queues = EventQueues {
        events,
        admin: admin_calls,
        announcements,
        sync: sync_calls,
        view: gossip.view(),
    };
    Ok(ControlLoop {
        state: ControlState::new(context),
        queues,
        handles: DaemonHandles { gossip, traffic },
        shared,
    })
}

fn new_sync(settings: &DaemonSettings, seed: u64, local: MemberId, now_ms: u64) -> ConfigSync {
    let builder = sync::Options::builder()
        .retention_ms(settings.log.retention_ms)
        .seed(seed);
    let options = match settings.distribution {
        DistributionMode::Push => builder.build(),
        DistributionMode::Poll => builder
            .readers_per_data_centre(usize::MAX)
            .poll_wait_ms(0)
            .build(),
    };
    let me = FleetMember {
        id: local,
        data_centre: settings.data_centre.clone(),
    };
    ConfigSync::new(options, me, now_ms)
}

async fn start_traffic(
    settings: &DaemonSettings,
    seed: u64,
    clock: DaemonClock,
    shared: Arc<SharedState>,
    sync_calls: mpsc::Sender<crate::transport::SyncCall>,
) -> Result<TrafficHandle, Error> {
    let tls = TlsOptions {
        certificate: settings.fleet.certificate.clone(),
        private_key: settings.fleet.private_key.clone(),
        authorities: settings.fleet.authorities.clone(),
    };
    let limits = traffic::Limits {
        body_bytes: settings.limits.body_bytes,
        head_bytes: settings.limits.head_bytes,
        queue: settings.limits.queued_requests,
        caller_connections: settings.limits.caller_connections,
        ..traffic::Limits::default()
    };
    let timeouts = traffic::Timeouts {
        head: std::time::Duration::from_millis(settings.timeouts.head_ms),
        grace: std::time::Duration::from_millis(settings.timeouts.grace_ms),
        ..traffic::Timeouts::default()
    };
    let options = traffic::Options::new(settings.listen.callers, settings.listen.forward, tls)
        .limits(limits)
        .timeouts(timeouts)
        .worker_threads(settings.traffic_threads)
        .seed(seed)
        .policy(settings.policy)
        .clock(clock);
    traffic::start(options, shared, sync_calls)
        .await
        .map_err(Error::Traffic)
}

async fn start_gossip(settings: &DaemonSettings, seed: u64) -> Result<gossip::GossipHandle, Error> {
    let local = MemberRecord::new(settings.listen.gossip, unix_ms())
        .with_forward_address(settings.listen.forward)
        .with_admin_address(settings.listen.admin)
        .with_location(&settings.data_centre, &settings.region);
    let other_key = settings.fleet.other_key.as_deref().map(str::as_bytes);
    let options = gossip::Options {
        listen: settings.listen.gossip,
        keys: FleetKeys::new(settings.fleet.key.as_bytes(), other_key),
        core: core::Options::default(),
        local,
        seed,
    };
    gossip::start(options).await.map_err(Error::Gossip)
}

fn admin_options(settings: &DaemonSettings) -> admin::Options {
    admin::Options {
        address: settings.listen.admin,
        operators: settings.operators.clone(),
        body_bytes: settings.limits.admin_body_bytes,
    }
}
