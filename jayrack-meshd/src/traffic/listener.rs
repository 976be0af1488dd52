//! Connections of callers and of other daemons.
use std::{
    convert::Infallible,
    net::IpAddr,
    pin::pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use jayrack_platform::socket;
use tokio::net::{TcpListener, TcpStream};

use super::{
    body::AnswerBody,
    ingress::{self, TrafficState},
};

/// Buffer of a connection, in bytes: holds the largest head that the platform allows.
const BUFFER_BYTES: usize = 64 << 10;
/// Longest time that sent bytes may stay without acknowledgement.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of the idle time-out that is added before a connection is closed, since callers may use it up
/// to the time-out.
const IDLE_MARGIN: f64 = 0.5;
/// Idle time-out of connections of other daemons, and of callers before the first configuration.
const DEFAULT_IDLE: Duration = Duration::from_secs(60);

/// Who connects to a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKind {
    /// Callers on this host, the backend server among them.
    Caller,
    /// Other daemons.
    Daemon,
}

/// What is known of one connection.
#[derive(Debug)]
pub struct ConnectionNotes {
    /// Who connected.
    pub kind: PeerKind,
    busy: AtomicUsize,
    idle_since: Mutex<Instant>,
}

impl ConnectionNotes {
    fn idle_for(&self) -> Option<Duration> {
        let since = self
            .idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        (self.busy.load(Ordering::Relaxed) == 0).then(|| since.elapsed())
    }
}

/// Marks a connection as busy; kept by the body of its answer.
struct BusyGuard(Arc<ConnectionNotes>);

impl BusyGuard {
    fn new(notes: &Arc<ConnectionNotes>) -> Self {
        notes.busy.fetch_add(1, Ordering::Relaxed);
        Self(notes.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::Relaxed);
        *self
            .0
            .idle_since
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }
}

/// Serves connections for as long as the process runs.
pub async fn accept(listener: TcpListener, kind: PeerKind, state: Arc<TrafficState>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_connection(stream, peer.ip(), kind, state.clone()));
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: IpAddr,
    kind: PeerKind,
    state: Arc<TrafficState>,
) {
    if let Err(error) = socket::set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!(error:% = error; "connection closed before it was used");
        return;
    }
    let notes = Arc::new(ConnectionNotes {
        kind,
        busy: AtomicUsize::new(0),
        idle_since: Mutex::new(Instant::now()),
    });
    let service_state = state.clone();
    let service_notes = notes.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, notes) = (service_state.clone(), service_notes.clone());
        // On the heap for the time of one request only: most connections are idle.
        Box::pin(async move {
            let busy = BusyGuard::new(&notes);
            let flight = state.mesh.track_in_flight();
            let response: Response<AnswerBody> = match notes.kind {
                PeerKind::Caller => ingress::serve(&state, request).await,
                PeerKind::Daemon => ingress::serve_daemon(&state, request, peer).await,
            };
            let guards = Box::new((busy, flight));
            Ok::<_, Infallible>(response.map(|body| body.holding(guards)))
        })
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(None)
        .max_buf_size(BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        let limit = idle_limit(&state, kind);
        let pause = limit.saturating_sub(notes.idle_for().unwrap_or_default());
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "connection ended");
                }
                return;
            }
            () = state.closing.notified() => break,
            () = tokio::time::sleep(pause) => {
                if notes.idle_for().is_some_and(|idle| idle >= limit) {
                    break;
                }
            }
        }
    }
    connection.as_mut().graceful_shutdown();
    if let Err(error) = connection.await {
        log::debug!(error:% = error; "connection ended while it was closed");
    }
}

fn idle_limit(state: &TrafficState, kind: PeerKind) -> Duration {
    let routes = state.mesh.routes.load();
    match (kind, routes.as_ref()) {
        (PeerKind::Caller, Some(routes)) => {
            let limit = Duration::from_millis(routes.limits().idle_timeout_ms);
            limit.mul_f64(1.0 + IDLE_MARGIN)
        }
        _ => DEFAULT_IDLE,
    }
}
