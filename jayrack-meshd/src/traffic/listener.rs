//! Connections of callers and of other daemons.
use std::{convert::Infallible, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use jayrack_mesh::stop::StopPhase;
use jayrack_platform::socket;
use tokio::net::{TcpListener, TcpStream};

use super::{
    body::AnswerBody,
    client_stream::ClientStream,
    connections::{BusyGuard, ConnectionEntry},
    ingress,
    memory::ConnectionLease,
    state::TrafficState,
};

/// Buffer size of a connection, in bytes: holds the largest head that the platform allows.
const BUFFER_BYTES: usize = 64 << 10;
/// Time limit for the acknowledgement of sent bytes.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the idle timeout that is added before a connection is closed, since callers may use it until
/// the timeout.
const IDLE_MARGIN_FRACTION: f64 = 0.5;
/// Largest head before the first configuration, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Bytes that daemons may add to a caller's head, the name of a route among them.
const ADDED_HEAD_BYTES: usize = 8 << 10;
/// Time limit for a head before the first configuration.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Idle connections that are closed at most for a new one.
const ADMISSION_RETRIES: u32 = 2;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of connections of other daemons, and of callers before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Kind of client of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerKind {
    /// Callers on this host, the backend server among them.
    Caller,
    /// Other daemons.
    Daemon,
}

impl PeerKind {
    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            PeerKind::Caller => "callers",
            PeerKind::Daemon => "daemons",
        }
    }

    /// Receive buffer of a connection, in bytes; the kernel uses up to twice as much, which is in the byte budget. An
    /// ordinary request fits into it; for other daemons it is what a link of 100 Mbit/s carries in a round trip of 5 ms.
    fn receive_buffer_bytes(self) -> usize {
        match self {
            PeerKind::Caller => 16 << 10,
            PeerKind::Daemon => 32 << 10,
        }
    }
}

/// Accepts and serves connections for as long as the process runs.
pub async fn accept(listener: TcpListener, kind: PeerKind, state: Arc<TrafficState>) {
    // Accepted connections inherit it. A fixed size also bounds what the kernel keeps while a body waits.
    let buffer_bytes = kind.receive_buffer_bytes();
    if let Err(error) = socket::set_receive_buffer(&listener, buffer_bytes) {
        log::warn!(error:% = error; "receive buffer not limited");
    }
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some((entry, lease)) = admit(&state, kind).await {
                    let serving = serve_connection(stream, peer.ip(), entry, state.clone());
                    tokio::spawn(async move {
                        serving.await;
                        drop(lease);
                    });
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                // Without descriptors, accepting fails again at once.
                state.connections.close_idle();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Makes room for a connection, at the cost of an idle one if need be; `None` if it must be closed.
async fn admit(state: &TrafficState, kind: PeerKind) -> Option<(ConnectionEntry, ConnectionLease)> {
    for _ in 0..=ADMISSION_RETRIES {
        let lease = state.budget.accept(kind.receive_buffer_bytes());
        let entry = lease.as_ref().and_then(|_| state.connections.open(kind));
        if let (Some(entry), Some(lease)) = (entry, lease) {
            return Some((entry, lease));
        }
        if !state.connections.close_idle() {
            break;
        }
        // Lets the task of the idle connection close it.
        tokio::task::yield_now().await;
    }
    state.mesh.metrics.count_limit("connection-refused");
    log::info!(kind = kind.name(); "connection closed, too many are open");
    None
}

async fn serve_connection(
    stream: TcpStream,
    peer: IpAddr,
    entry: ConnectionEntry,
    state: Arc<TrafficState>,
) {
    if let Err(error) = socket::set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!(error:% = error; "connection closed before it was used");
        return;
    }
    let connection_state = entry.state.clone();
    let kind = connection_state.kind;
    let limits = state
        .mesh
        .routes
        .load()
        .as_ref()
        .map(|routes| routes.limits());
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| {
        Duration::from_millis(limits.header_timeout_ms)
    });
    let stream = ClientStream::new(
        stream,
        connection_state.clone(),
        head_timeout,
        state.budget.clone(),
    );
    let service_state = state.clone();
    let service_connection = connection_state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, connection_state) = (service_state.clone(), service_connection.clone());
        // Boxed, so that an idle connection does not hold the memory of a request: most connections are idle.
        Box::pin(async move {
            let busy = BusyGuard::new(&connection_state);
            let flight = state.mesh.track_in_flight();
            let response: Response<AnswerBody> = match connection_state.kind {
                PeerKind::Caller => ingress::serve(&state, &connection_state, request).await,
                PeerKind::Daemon => {
                    ingress::serve_daemon(&state, &connection_state, request, peer).await
                }
            };
            let guards = Box::new((busy, flight));
            Ok::<_, Infallible>(response.map(|body| body.with_guard(guards)))
        })
    });
    let mut builder = http1::Builder::new();
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.header_bytes);
    builder.max_header_size(match kind {
        PeerKind::Caller => head_bytes,
        PeerKind::Daemon => head_bytes + ADDED_HEAD_BYTES,
    });
    builder
        .timer(TokioTimer::new())
        .auto_date_header(false)
        .header_read_timeout(None)
        .max_buf_size(BUFFER_BYTES);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    loop {
        let timeout = idle_timeout(&state, kind);
        let until_check = timeout.saturating_sub(connection_state.idle_time().unwrap_or_default());
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "connection ended");
                }
                return;
            }
            () = state.mesh.until_phase(StopPhase::Ending) => break,
            () = connection_state.close.notified() => break,
            () = tokio::time::sleep(until_check) => {
                if connection_state.idle_time().is_some_and(|idle| idle >= timeout) {
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

fn idle_timeout(state: &TrafficState, kind: PeerKind) -> Duration {
    let routes = state.mesh.routes.load();
    match (kind, routes.as_ref()) {
        (PeerKind::Caller, Some(routes)) => {
            let timeout = Duration::from_millis(routes.limits().idle_timeout_ms);
            timeout.mul_f64(1.0 + IDLE_MARGIN_FRACTION)
        }
        _ => DEFAULT_IDLE_TIMEOUT,
    }
}
