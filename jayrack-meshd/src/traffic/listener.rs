//! Connections of callers and of other daemons.
use std::{convert::Infallible, net::IpAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jayrack_mesh::{
    memory::connections::{ClientKind, ConnectionPhase},
    stop::StopPhase,
};
use jayrack_platform::socket;
use tokio::net::{TcpListener, TcpStream};

use super::{
    body::AnswerBody,
    client_stream::ClientStream,
    connections::{self, BusyGuard, ConnectionState},
    ingress,
    memory::ByteBudget,
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
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Idle timeout of connections of other daemons, and of callers before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts and serves connections for as long as the process runs.
pub async fn accept(listener: TcpListener, kind: ClientKind, state: Arc<TrafficState>) {
    let budget = state.budget.clone();
    accept_admitted(listener, kind, &budget, |stream, peer, connection_state| {
        serve_connection(stream, peer, connection_state, state.clone())
    })
    .await;
}

/// Accepts the connections that get a place in `budget`, and spawns a task for each that `serve` returns.
pub async fn accept_admitted<F>(
    listener: TcpListener,
    kind: ClientKind,
    budget: &ByteBudget,
    serve: impl Fn(TcpStream, IpAddr, Arc<ConnectionState>) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                if let Some(connection_state) = connections::admit(budget, kind).await {
                    tokio::spawn(serve(stream, peer.ip(), connection_state));
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                // Without descriptors, accepting fails again at once.
                budget.free_descriptor(kind);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: IpAddr,
    connection_state: Arc<ConnectionState>,
    state: Arc<TrafficState>,
) {
    if let Err(error) = socket::set_socket_options(&stream, UNACKNOWLEDGED_TIMEOUT) {
        log::debug!(error:% = error; "connection closed before it was used");
        return;
    }
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
    let stream = ClientStream::new(stream, connection_state.clone(), head_timeout);
    let service_state = state.clone();
    let service_connection = connection_state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, connection_state) = (service_state.clone(), service_connection.clone());
        // Boxed, so that an idle connection does not hold the memory of a request: most connections are idle.
        Box::pin(async move {
            let busy = BusyGuard::new(&connection_state, !request.body().is_end_stream());
            let flight = state.mesh.track_in_flight();
            let response: Response<AnswerBody> = match connection_state.kind {
                ClientKind::Caller => ingress::serve(&state, &connection_state, request).await,
                _ => ingress::serve_daemon(&state, &connection_state, request, peer).await,
            };
            let guards = Box::new((busy, flight));
            Ok::<_, Infallible>(response.map(|body| body.with_guard(guards)))
        })
    });
    let mut builder = http1::Builder::new();
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.header_bytes);
    builder.max_header_size(match kind {
        ClientKind::Caller => head_bytes,
        _ => head_bytes + ADDED_HEAD_BYTES,
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
            () = connection_state.until_closing() => match connection_state.phase() {
                // Between two requests, nothing is broken off.
                Some(ConnectionPhase::Idle) => break,
                _ => return,
            },
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

fn idle_timeout(state: &TrafficState, kind: ClientKind) -> Duration {
    let routes = state.mesh.routes.load();
    match (kind, routes.as_ref()) {
        (ClientKind::Caller, Some(routes)) => {
            let timeout = Duration::from_millis(routes.limits().idle_timeout_ms);
            timeout.mul_f64(1.0 + IDLE_MARGIN_FRACTION)
        }
        _ => DEFAULT_IDLE_TIMEOUT,
    }
}
