//! Configuration pulls and pushes between daemons.
use std::net::SocketAddr;

use jayrack_protocol::{
    frame::MAX_FRAME_BYTES,
    sync::{PullReply, PullRequest, PushReply, PushRequest},
};
use prost::Message;
use quinn::RecvStream;
use tokio::sync::oneshot;

use super::{Error, PeerContext, PeerPool, SyncCall, SyncReply, SyncRequest, wire};
use wire::StreamSender;

impl PeerPool {
    /// Requests records or a snapshot from the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the peer cannot be reached or its answer is lost.
    pub async fn pull(
        &self,
        address: SocketAddr,
        request: PullRequest,
    ) -> Result<PullReply, Error> {
        self.call(address, wire::StreamKind::Pull, request).await
    }

    /// Sends records to the daemon at `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] when the peer cannot be reached or its answer is lost.
    pub async fn push(
        &self,
        address: SocketAddr,
        request: PushRequest,
    ) -> Result<PushReply, Error> {
        self.call(address, wire::StreamKind::Push, request).await
    }

    /// Sends one message and reads its answer, on the traffic threads.
    pub(crate) async fn call<Q, A>(
        &self,
        address: SocketAddr,
        kind: wire::StreamKind,
        request: Q,
    ) -> Result<A, Error>
    where
        Q: Message + 'static,
        A: Message + Default + 'static,
    {
        let pool = self.clone();
        let calling = self
            .runtime()
            .spawn(async move { exchange(pool, address, kind, request).await });
        calling.await.unwrap_or(Err(Error::Lost))
    }
}

async fn exchange<Q: Message, A: Message + Default>(
    pool: PeerPool,
    address: SocketAddr,
    kind: wire::StreamKind,
    request: Q,
) -> Result<A, Error> {
    let mut stream = pool.open(address).await?;
    stream
        .send
        .write_chunk(wire::encode_start(kind, &request))
        .await?;
    stream.send.finish()?;
    wire::read_message(&mut stream.receive, MAX_FRAME_BYTES).await
}

/// Serves a pull; the control thread makes the answer.
pub(super) async fn serve_pull(
    send: &mut StreamSender,
    mut receive: RecvStream,
    peer: &PeerContext,
) -> Result<(), Error> {
    let request = wire::read_message(&mut receive, MAX_FRAME_BYTES).await?;
    match call_control_thread(peer, SyncRequest::Pull(request)).await? {
        SyncReply::Pull(reply) => answer(send, &reply).await,
        SyncReply::Push(_) => Err(Error::Malformed),
    }
}

/// Serves a push; the control thread makes the answer.
pub(super) async fn serve_push(
    send: &mut StreamSender,
    mut receive: RecvStream,
    peer: &PeerContext,
) -> Result<(), Error> {
    let request = wire::read_message(&mut receive, MAX_FRAME_BYTES).await?;
    match call_control_thread(peer, SyncRequest::Push(request)).await? {
        SyncReply::Push(reply) => answer(send, &reply).await,
        SyncReply::Pull(_) => Err(Error::Malformed),
    }
}

async fn call_control_thread(peer: &PeerContext, request: SyncRequest) -> Result<SyncReply, Error> {
    let (reply, receiver) = oneshot::channel();
    let call = SyncCall {
        from: peer.from,
        request,
        reply,
    };
    peer.sync_calls.send(call).await.map_err(|_| Error::Lost)?;
    receiver.await.map_err(|_| Error::Lost)
}

async fn answer(send: &mut StreamSender, reply: &impl Message) -> Result<(), Error> {
    send.write_message(reply).await?;
    send.finish()
}
