//! QUIC connections between daemons.
//!
//! Each request has a stream of its own on a long-lived connection. The first byte of a stream is
//! its [`wire::StreamKind`]; frames of `jayrack_protocol::frame` and raw body bytes follow.
use std::{net::SocketAddr, sync::Arc};

use jayrack_protocol::sync::{PullReply, PullRequest, PushReply, PushRequest};
use quinn::{Connection, RecvStream, SendStream};
use tokio::sync::{mpsc, oneshot};
use wire::StreamSender;

use crate::{
    ingress, owner,
    traffic::{Options, TrafficState},
};

pub(crate) mod body;
mod pool;
mod sync;
mod tls;
pub(crate) mod wire;

pub use pool::PeerPool;
pub use tls::TlsOptions;

/// Error of the QUIC set-up or of a call to a peer.
#[derive(Debug)]
pub enum Error {
    /// The certificates, keys or authorities are not usable.
    Tls(String),
    /// A socket cannot be bound.
    Bind(std::io::Error),
    /// The peer could not be reached; nothing was sent.
    Unreachable,
    /// The connection or the stream ended before the answer was complete.
    Lost,
    /// The peer sent a message that violates the protocol.
    Malformed,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Tls(reason) => write!(f, "certificates are not usable: {reason}"),
            Error::Bind(error) => write!(f, "socket cannot be bound: {error}"),
            Error::Unreachable => write!(f, "the peer cannot be reached"),
            Error::Lost => write!(f, "the connection was lost"),
            Error::Malformed => write!(f, "the peer does not follow the protocol"),
        }
    }
}

impl std::error::Error for Error {}

/// A request for configuration from a peer.
#[derive(Debug)]
pub enum SyncRequest {
    /// Requests records or a snapshot.
    Pull(PullRequest),
    /// Sends new records.
    Push(PushRequest),
}

/// The answer to a [`SyncRequest`] of the same kind.
#[derive(Debug)]
pub enum SyncReply {
    /// Answers [`SyncRequest::Pull`].
    Pull(PullReply),
    /// Answers [`SyncRequest::Push`].
    Push(PushReply),
}

/// A request for configuration from a peer, with the channel for its answer.
#[derive(Debug)]
pub struct SyncCall {
    /// Address the request came from.
    pub from: SocketAddr,
    /// The request.
    pub request: SyncRequest,
    /// Sender of the answer; dropped without one if there is none.
    pub reply: oneshot::Sender<SyncReply>,
}

/// The QUIC listener and the pool of connections to peers.
#[derive(Debug)]
pub(crate) struct Endpoint {
    listener: quinn::Endpoint,
    address: SocketAddr,
    pool: PeerPool,
}

impl Endpoint {
    /// Binds the listener; must run on the traffic runtime.
    pub(crate) fn bind(options: &Options) -> Result<Self, Error> {
        let server_config = tls::server_config(options)?;
        let client_config = tls::client_config(options)?;
        let listener =
            quinn::Endpoint::server(server_config, options.forward).map_err(Error::Bind)?;
        let address = listener.local_addr().map_err(Error::Bind)?;
        let pool = PeerPool::new(client_config, address.ip(), options.timeouts.connect)?;
        Ok(Self {
            listener,
            address,
            pool,
        })
    }

    /// Returns the address of the listener.
    pub(crate) fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the pool of connections to peers.
    pub(crate) fn pool(&self) -> PeerPool {
        self.pool.clone()
    }

    /// Serves connections until the traffic threads stop.
    pub(crate) async fn accept(self, state: Arc<TrafficState>, sync_calls: mpsc::Sender<SyncCall>) {
        loop {
            let incoming = tokio::select! {
                incoming = self.listener.accept() => incoming,
                () = state.stopping.cancelled() => None,
            };
            let Some(incoming) = incoming else { break };
            if self.listener.open_connections() > state.options.limits.peer_connections {
                incoming.refuse();
                continue;
            }
            let peer = PeerContext {
                state: state.clone(),
                sync_calls: sync_calls.clone(),
                from: incoming.remote_address(),
            };
            tokio::spawn(async move {
                if let Ok(connection) = incoming.await {
                    serve_connection(connection, peer).await;
                }
            });
        }
        self.listener.close(wire::CLOSE_STOPPED, b"stopped");
        self.listener.wait_idle().await;
    }
}

/// Context of the streams of one peer's connection.
#[derive(Debug, Clone)]
struct PeerContext {
    state: Arc<TrafficState>,
    sync_calls: mpsc::Sender<SyncCall>,
    from: SocketAddr,
}

async fn serve_connection(connection: Connection, peer: PeerContext) {
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(serve_stream(send, receive, peer.clone()));
    }
}

async fn serve_stream(send: SendStream, mut receive: RecvStream, peer: PeerContext) {
    let mut send = StreamSender::new(send);
    let _ = match wire::read_kind(&mut receive).await {
        Ok(wire::StreamKind::Forward) => {
            owner::serve_forward(&mut send, receive, &peer.state).await
        }
        Ok(wire::StreamKind::Outcome) => {
            owner::serve_outcome(&mut send, receive, &peer.state).await
        }
        Ok(wire::StreamKind::Claim) => ingress::serve_claim(&mut send, receive, &peer.state).await,
        Ok(wire::StreamKind::Hello) => answer_hello(&mut send).await,
        Ok(wire::StreamKind::Pull) => sync::serve_pull(&mut send, receive, &peer).await,
        Ok(wire::StreamKind::Push) => sync::serve_push(&mut send, receive, &peer).await,
        Err(error) => Err(error),
    };
}

async fn answer_hello(send: &mut StreamSender) -> Result<(), Error> {
    send.write_chunk(wire::HELLO.into()).await?;
    send.finish()
}
