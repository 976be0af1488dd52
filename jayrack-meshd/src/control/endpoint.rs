//! Small HTTP listeners: readiness, reports, metrics.
use std::{convert::Infallible, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use jayrack_mesh::memory::connections::{ClientKind, ConnectionPhase};
use jayrack_platform::{body, headers};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    logging,
    shared::{MeshState, boot_ms},
    traffic::{
        client_stream::ClientStream,
        connections::{BusyGuard, ConnectionState},
        listener,
        memory::ByteBudget,
    },
};

/// Size of a connection's buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 10;
/// Time limit for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Response of a small listener, whose body is complete in memory.
pub type SmallResponse = Response<Full<Bytes>>;

/// Serves the requests of all connections with `handler` for as long as the process runs.
pub async fn serve<H, F>(listener: TcpListener, kind: ClientKind, budget: ByteBudget, handler: H)
where
    H: Fn(Request<Bytes>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = SmallResponse> + Send + 'static,
{
    listener::accept_admitted(listener, kind, &budget, |stream, _, connection_state| {
        serve_connection(stream, connection_state, handler.clone())
    })
    .await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    connection_state: Arc<ConnectionState>,
    handler: H,
) where
    H: Fn(Request<Bytes>) -> F + Clone,
    F: Future<Output = SmallResponse>,
{
    let stream = ClientStream::new(stream, connection_state.clone(), HEAD_TIMEOUT);
    let service_connection = connection_state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (connection_state, handler) = (service_connection.clone(), handler.clone());
        async move {
            let _busy = BusyGuard::new(&connection_state, !request.body().is_end_stream());
            let (parts, body) = request.into_parts();
            let response = match body::read_whole(body, MAX_BODY_BYTES).await {
                Ok(body) => {
                    connection_state.enter(ConnectionPhase::Running);
                    handler(Request::from_parts(parts, body)).await
                }
                Err(error) => {
                    log::warn!(error:% = error; "body not received completely");
                    answer(StatusCode::BAD_REQUEST, String::new())
                }
            };
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        ended = connection => {
            if let Err(error) = ended {
                log::debug!(error:% = error; "connection ended");
            }
        }
        () = connection_state.until_closing() => {}
        () = connection_state.until_refusing() => {}
    }
}

/// Builds a response with `text` as its body.
pub fn answer(status: StatusCode, text: String) -> SmallResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// Serves the platform's readiness check: ready if a configuration is in force and the daemon is not stopping.
pub async fn serve_ready(listener: TcpListener, budget: ByteBudget, mesh: Arc<MeshState>) {
    serve(
        listener,
        ClientKind::Readiness,
        budget,
        move |request: Request<Bytes>| {
            let is_ready = mesh.routes.load().is_some() && !mesh.is_leaving();
            let status = match (request.uri().path(), is_ready) {
                (headers::READY_PATH, true) => StatusCode::OK,
                (headers::READY_PATH, false) => StatusCode::SERVICE_UNAVAILABLE,
                _ => StatusCode::NOT_FOUND,
            };
            std::future::ready(answer(status, String::new()))
        },
    )
    .await;
}

/// Serves the metrics in text format, whatever the path of the request.
pub async fn serve_metrics(listener: TcpListener, budget: ByteBudget, mesh: Arc<MeshState>) {
    serve(
        listener,
        ClientKind::Metrics,
        budget,
        move |_request: Request<Bytes>| {
            let dropped = &mesh.metrics.dropped_lines;
            dropped.inc_by(logging::dropped_lines().saturating_sub(dropped.get()));
            let age_ms = mesh.knowledge().age_ms(boot_ms());
            let age_s = age_ms.map_or(-1.0, |age_ms| age_ms as f64 / 1_000.0);
            mesh.metrics.key_knowledge_age.set(age_s);
            let response = match mesh.metrics.render() {
                Ok(text) => answer(StatusCode::OK, text),
                Err(error) => answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
            };
            std::future::ready(response)
        },
    )
    .await;
}
