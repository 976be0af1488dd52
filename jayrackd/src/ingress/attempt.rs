//! One attempt at an owner: over the local path or over QUIC.
use std::net::SocketAddr;

use jayrack_protocol::forward::{RequestHead, ResponseHead};

use crate::{
    owner::{self, OwnerAnswer, headers},
    traffic::TrafficState,
    transport::{
        self,
        body::{self, RelayBody},
        wire,
    },
};

/// Forwards the request to the owner at `address`.
pub(crate) async fn forward(
    state: &TrafficState,
    address: SocketAddr,
    head: &RequestHead,
    request_body: RelayBody,
) -> Result<OwnerAnswer, transport::Error> {
    let (mut send, mut receive) = state.peers.open(address).await?;
    send.write_chunk(wire::encode_start(wire::StreamKind::Forward, head))
        .await
        .map_err(|_| transport::Error::Lost)?;
    body::write_body(request_body, &mut send).await?;
    let head: ResponseHead = wire::read_message(&mut receive, owner::HEAD_MESSAGE_BYTES).await?;
    let length = headers::content_length(&head.headers);
    Ok(OwnerAnswer {
        head,
        body: RelayBody::quic(receive, length),
    })
}
