//! HTTP server of the backend server stand-in.
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::Notify,
    task::JoinHandle,
    time::{sleep, timeout},
};

use super::{
    announcer::{self, Announcement, HEARTBEAT_INTERVAL_MS},
    behaviour::{BackendBehaviour, BackendCounts, ReportMode},
    body,
    call_tree::{self, Parent},
    headers,
    work::{Admission, ServerWork, WorkRequest},
};
use crate::{
    http_client::ClientPool,
    http_server::{
        self, ConnectionAborted, HandlerResult, empty_answer, json_answer, read_body, read_json,
    },
};

/// Settings of one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Unique name.
    pub name: String,
    /// Service that it works for.
    pub service: String,
    /// Address to listen on; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Address to announce instead of its own, such as that of a link in front of it.
    pub advertise: Option<SocketAddr>,
    /// The daemon's address for announcements; none are sent without it.
    pub announce: Option<SocketAddr>,
    /// The daemon's address for callers; nested calls fail without it.
    pub callers: Option<SocketAddr>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Duration of the cold start, in milliseconds.
    pub cold_start_ms: u64,
    /// Behaviour at the start.
    pub behaviour: BackendBehaviour,
    /// Seed of its random choices.
    pub seed: u64,
}

/// A running backend server stand-in.
#[derive(Debug)]
pub struct BackendStandin {
    address: SocketAddr,
    shared: Arc<SharedServer>,
    server: JoinHandle<()>,
    heartbeat: JoinHandle<()>,
}

#[derive(Debug)]
struct SharedServer {
    options: Options,
    address: SocketAddr,
    started: Instant,
    work: Mutex<ServerWork>,
    announce_now: Notify,
    callers: Option<ClientPool>,
}

#[derive(Serialize)]
struct LoadReport {
    running: u64,
    slots: u64,
}

impl BackendStandin {
    /// Starts a server and its heartbeats.
    pub async fn start(options: Options) -> std::io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let address = listener.local_addr()?;
        let mut work = ServerWork::new(options.slots, options.cold_start_ms, options.seed);
        work.behaviour = options.behaviour.clone();
        let connections = options.connections as usize;
        let shared = Arc::new(SharedServer {
            callers: options.callers.map(ClientPool::new),
            options,
            address,
            started: Instant::now(),
            work: Mutex::new(work),
            announce_now: Notify::new(),
        });
        let handler_shared = shared.clone();
        let server = tokio::spawn(http_server::serve(listener, connections, move |request| {
            handle(handler_shared.clone(), request)
        }));
        let heartbeat = tokio::spawn(send_heartbeats(shared.clone()));
        Ok(Self {
            address,
            shared,
            server,
            heartbeat,
        })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the behaviour and triggers a heartbeat.
    pub fn set_behaviour(&self, behaviour: BackendBehaviour) {
        self.shared.set_behaviour(behaviour);
    }

    /// Request counters so far.
    pub fn counts(&self) -> BackendCounts {
        self.shared.lock().counts.clone()
    }

    /// Waits for the server task, which doesn't end on its own.
    pub async fn wait(self) {
        self.server.await.unwrap_or_default();
    }

    /// Stops at once, as if killed.
    pub async fn close(self) {
        self.heartbeat.abort();
        self.server.abort();
        self.heartbeat.await.unwrap_or_default();
        self.server.await.unwrap_or_default();
    }
}

impl SharedServer {
    fn lock(&self) -> MutexGuard<'_, ServerWork> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn set_behaviour(&self, behaviour: BackendBehaviour) {
        let now_ms = self.now_ms();
        self.lock().set_behaviour(behaviour, now_ms);
        self.announce_now.notify_one();
    }

    /// The heartbeat to send now; `None` while heartbeats are switched off.
    fn announcement(&self) -> Option<Announcement> {
        let work = self.lock();
        work.behaviour.announcing.then(|| Announcement {
            name: self.options.name.clone(),
            service: self.options.service.clone(),
            address: self.options.advertise.unwrap_or(self.address),
            slots: self.options.slots,
            connections: self.options.connections,
            draining: work.behaviour.draining,
            cold_start_ms: self.options.cold_start_ms,
        })
    }
}

async fn send_heartbeats(shared: Arc<SharedServer>) {
    let Some(daemon) = shared.options.announce else {
        return;
    };
    loop {
        if let Some(announcement) = shared.announcement() {
            match announcer::announce(daemon, &announcement).await {
                Ok(()) => shared.lock().counts.announced += 1,
                Err(error) => log::debug!(error:% = error; "heartbeat failed"),
            }
        }
        let interval = Duration::from_millis(HEARTBEAT_INTERVAL_MS);
        timeout(interval, shared.announce_now.notified()).await.ok();
    }
}

async fn handle(shared: Arc<SharedServer>, request: Request<Incoming>) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/standin/counts") => {
            let counts = shared.lock().counts.clone();
            json_answer(StatusCode::OK, &counts)
        }
        (&Method::POST, "/standin/behaviour") => {
            let Some(behaviour) = read_json(request.into_body()).await? else {
                return empty_answer(StatusCode::BAD_REQUEST);
            };
            shared.set_behaviour(behaviour);
            empty_answer(StatusCode::OK)
        }
        (&Method::GET, "/health") => empty_answer(health(&shared)),
        (&Method::GET, "/load") => json_answer(StatusCode::OK, &load(&shared)),
        _ => handle_work(shared, request).await,
    }
}

fn health(shared: &SharedServer) -> StatusCode {
    let work = shared.lock();
    let is_healthy = match work.behaviour.health {
        ReportMode::Truth => !work.behaviour.draining && !work.behaviour.shedding,
        ReportMode::AlwaysGood => true,
        ReportMode::AlwaysBad => false,
    };
    if is_healthy {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn load(shared: &SharedServer) -> LoadReport {
    let work = shared.lock();
    let slots = u64::from(shared.options.slots);
    let running = match work.behaviour.load {
        ReportMode::Truth => work.counts.running,
        ReportMode::AlwaysGood => 0,
        ReportMode::AlwaysBad => slots,
    };
    LoadReport { running, slots }
}

/// Holds a slot; a drop without completion counts as a cancellation.
struct SlotGuard {
    shared: Arc<SharedServer>,
    is_complete: bool,
}

impl SlotGuard {
    fn complete(mut self) {
        self.is_complete = true;
        self.shared.lock().complete();
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.shared.lock().cancel();
        }
    }
}

async fn handle_work(shared: Arc<SharedServer>, request: Request<Incoming>) -> HandlerResult {
    let arrived = Instant::now();
    let (parts, incoming) = request.into_parts();
    read_body(incoming).await?;
    let work_request = WorkRequest::from_headers(&parts.headers);
    let now_ms = shared.now_ms();
    let admission = shared.lock().begin(&work_request, now_ms);
    let Admission::Run(service_us) = admission else {
        return empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    };
    let slot = SlotGuard {
        shared: shared.clone(),
        is_complete: false,
    };
    if service_us > 0 {
        sleep(Duration::from_micros(service_us)).await;
    }
    let calls_answered = make_calls(&shared, &work_request, &parts.headers, arrived).await;
    let behaviour = shared.lock().behaviour.clone();
    if behaviour.hanging {
        std::future::pending::<()>().await;
    }
    slot.complete();
    let status = match calls_answered {
        true if behaviour.failing => StatusCode::INTERNAL_SERVER_ERROR,
        true => StatusCode::OK,
        false => StatusCode::FAILED_DEPENDENCY,
    };
    Response::builder()
        .status(status)
        .header(headers::ID, &work_request.id)
        .header(headers::SERVER, &shared.options.name)
        .body(body::build(&work_request.id, work_request.answer_bytes).into())
        .map_err(|_| ConnectionAborted)
}

/// Makes the nested calls of `work_request`; stops at the first that fails.
async fn make_calls(
    shared: &SharedServer,
    work_request: &WorkRequest,
    headers: &HeaderMap,
    arrived: Instant,
) -> bool {
    for (index, node) in work_request.calls.iter().enumerate() {
        let Some(pool) = &shared.callers else {
            return false;
        };
        let parent = Parent {
            id: &work_request.id,
            headers,
            elapsed_ms: arrived.elapsed().as_millis() as u64,
        };
        let host = pool.address().to_string();
        let Ok(request) = call_tree::request(parent, index, node, &host) else {
            return false;
        };
        let id = call_tree::call_id(&work_request.id, index);
        if !call_tree::call(pool, request, &id).await {
            return false;
        }
    }
    true
}
