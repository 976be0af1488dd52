//! Requests of callers: taken by HTTP/1.1, forwarded to an owner, answered with the result code.
use std::{net::SocketAddr, sync::Arc};

use hyper::{Request, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use crate::traffic::TrafficState;

mod answer;
mod attempt;
mod serve;

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
        tokio::spawn(serve_connection(stream, state.clone()));
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<TrafficState>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service_state = state.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let state = service_state.clone();
        async move { Ok::<_, std::convert::Infallible>(serve::serve(state, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = state.stopping.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
