//! The traffic threads: started with [`start`], configured by the shared state, stopped by
//! [`TrafficHandle::close`].
use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{runtime::Runtime, sync::mpsc};

use crate::{
    ingress,
    shared::SharedState,
    transport::{self, PeerPool, SyncCall},
};

pub(crate) mod counters;
mod options;
mod state;

pub use counters::TrafficCounters;
pub use options::{ClaimOptions, Limits, Options, Timeouts};
pub(crate) use state::TrafficState;

/// Interval at which the number of requests in flight is checked while closing, in milliseconds.
const CLOSE_POLL_MS: u64 = 5;

/// Error of starting the traffic threads.
#[derive(Debug)]
pub enum Error {
    /// The worker threads could not be started.
    Runtime(std::io::Error),
    /// The callers' address could not be bound.
    Callers(std::io::Error),
    /// The QUIC side could not be set up.
    Transport(transport::Error),
    /// The start was interrupted before it was complete.
    Interrupted,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Runtime(error) => write!(f, "worker threads cannot be started: {error}"),
            Error::Callers(error) => write!(f, "callers' address cannot be bound: {error}"),
            Error::Transport(error) => write!(f, "QUIC cannot be set up: {error}"),
            Error::Interrupted => write!(f, "the start was interrupted"),
        }
    }
}

impl std::error::Error for Error {}

/// The running traffic threads.
#[derive(Debug)]
pub struct TrafficHandle {
    threads: WorkerThreads,
    state: Arc<TrafficState>,
    callers: SocketAddr,
    forward: SocketAddr,
}

/// Binds the listeners and starts the worker threads.
///
/// Configuration pulls and pushes from peers are sent to `sync_calls`.
///
/// # Errors
///
/// Returns [`Error`] when a thread, an address or the certificates cannot be used.
pub async fn start(
    options: Options,
    shared: Arc<SharedState>,
    sync_calls: mpsc::Sender<SyncCall>,
) -> Result<TrafficHandle, Error> {
    let runtime = new_runtime(options.worker_threads).map_err(Error::Runtime)?;
    let opening = runtime.spawn(open(options, shared, sync_calls));
    let opened = opening.await.unwrap_or(Err(Error::Interrupted));
    match opened {
        Ok(opened) => Ok(TrafficHandle {
            threads: WorkerThreads {
                runtime: Some(runtime),
            },
            state: opened.state,
            callers: opened.callers,
            forward: opened.forward,
        }),
        Err(error) => {
            runtime.shutdown_background();
            Err(error)
        }
    }
}

struct Opened {
    state: Arc<TrafficState>,
    callers: SocketAddr,
    forward: SocketAddr,
}

async fn open(
    options: Options,
    shared: Arc<SharedState>,
    sync_calls: mpsc::Sender<SyncCall>,
) -> Result<Opened, Error> {
    let endpoint = transport::Endpoint::bind(&options).map_err(Error::Transport)?;
    let forward = endpoint.local_address();
    let listener = ingress::bind(options.callers)
        .await
        .map_err(Error::Callers)?;
    let callers = listener.local_addr().map_err(Error::Callers)?;
    let state = Arc::new(TrafficState::new(options, shared, endpoint.pool()));
    tokio::spawn(endpoint.accept(state.clone(), sync_calls));
    tokio::spawn(ingress::accept(listener, state.clone()));
    tokio::spawn(state.peers.clone().close_idle());
    tokio::spawn(ingress::forget_absent_servers(state.clone()));
    tokio::spawn(
        state
            .owner
            .gate
            .clone()
            .check_waiting_requests(state.shared.clone()),
    );
    Ok(Opened {
        state,
        callers,
        forward,
    })
}

fn new_runtime(worker_threads: usize) -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(worker_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
}

/// Current load of the traffic threads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TrafficGauges {
    /// Requests running at the local backend servers.
    pub running: u32,
    /// Requests queued for the local backend servers.
    pub queued: u32,
    /// Requests accepted and not answered yet, as ingress and as owner.
    pub in_flight: usize,
    /// Connections of callers.
    pub caller_connections: usize,
    /// Connections opened to peers.
    pub peer_connections: usize,
}

/// Runtime of the traffic threads; dropping it stops them without closing connections gracefully.
#[derive(Debug)]
struct WorkerThreads {
    runtime: Option<Runtime>,
}

impl WorkerThreads {
    async fn run(&self, task: impl Future<Output = ()> + Send + 'static) {
        if let Some(runtime) = &self.runtime {
            let _ = runtime.spawn(task).await;
        }
    }
}

impl Drop for WorkerThreads {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl TrafficHandle {
    /// Returns the address of the callers' listener.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address of the QUIC listener.
    pub fn forward_address(&self) -> SocketAddr {
        self.forward
    }

    /// Returns the pool of connections to other daemons.
    pub fn peers(&self) -> PeerPool {
        self.state.peers.clone()
    }

    /// Lets this daemon vouch for Idempotency-Keys and for outcomes at once: the fleet had no route
    /// before it started.
    pub fn assume_complete(&self) {
        self.state.claims.assume_complete();
        self.state.owner.gate.assume_complete();
    }

    /// Returns the counters and histograms to register for `/metrics`.
    pub fn counters(&self) -> TrafficCounters {
        self.state.counters.clone()
    }

    /// Returns the current load.
    pub fn gauges(&self) -> TrafficGauges {
        let load = self.state.owner.gate.load_totals();
        TrafficGauges {
            running: load.running,
            queued: load.queued,
            in_flight: self.state.in_flight.count(),
            caller_connections: self.state.connections.count(),
            peer_connections: self.state.peers.connections(),
        }
    }

    /// Returns the number of requests accepted and not answered yet, as ingress and as owner.
    pub fn in_flight(&self) -> usize {
        self.state.in_flight.count()
    }

    /// Refuses new requests as not run; requests in flight complete.
    pub fn drain(&self) {
        self.state.shared.set_leaving();
    }

    /// Drains, waits for the requests in flight up to the grace time, and closes all sockets.
    pub async fn close(self) {
        self.drain();
        let deadline = tokio::time::Instant::now() + self.state.options.timeouts.grace;
        wait_until(deadline, || self.in_flight() == 0).await;
        self.state.stopping.cancel();
        wait_until(deadline, || self.state.connections.count() == 0).await;
        let peers = self.state.peers.clone();
        self.threads.run(async move { peers.close().await }).await;
    }
}

async fn wait_until(deadline: tokio::time::Instant, is_done: impl Fn() -> bool) {
    while !is_done() && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(CLOSE_POLL_MS)).await;
    }
}
