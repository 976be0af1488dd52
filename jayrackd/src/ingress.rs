//! The ingress: accepts callers' HTTP/1.1 requests, forwards each to an owner and answers with the
//! result code.
use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::traffic::TrafficState;

mod answer;
mod attempt;
mod claim;
mod flow;
mod guard;
mod meta;
mod objective;
mod replay;
mod router;
pub mod scan;
mod serve;
pub mod strict;

pub(crate) use answer::OutcomeKind;
pub(crate) use claim::{ClaimReplica, serve_claim};
use guard::GuardedStream;
pub(crate) use router::IngressRouter;

/// Interval at which the observations of servers that left the table are removed.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Response to a connection over the limit: the request was not run.
const CONNECTION_LIMIT_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nx-jayrack-code: 502\r\n\
    x-jayrack-outcome: not-run\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";

/// Binds the callers' listener.
pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Serves callers' connections until the traffic threads stop.
pub(crate) async fn accept(listener: TcpListener, state: Arc<TrafficState>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = state.stopping.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        if state.connections.count() >= state.options.limits.caller_connections {
            let _ = stream.try_write(CONNECTION_LIMIT_RESPONSE);
            continue;
        }
        tokio::spawn(serve_connection(stream, state.clone()));
    }
}

/// Removes the observations of servers that left the table; runs until the process ends.
pub(crate) async fn forget_absent_servers(state: Arc<TrafficState>) {
    loop {
        tokio::time::sleep(FORGET_INTERVAL).await;
        state.router.forget_absent(&state.shared.table.load());
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<TrafficState>) {
    let _connection = state.connections.enter();
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = GuardedStream::new(stream, &state.options);
    let connection_state = stream.connection_state();
    let service_state = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (state, connection_state) = (service_state.clone(), connection_state.clone());
        async move { Ok::<_, Infallible>(serve::serve(state, connection_state, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(None);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => return,
        () = state.stopping.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
