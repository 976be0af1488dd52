//! Forwarding attempts and outcome queries: to this daemon's own owner, or over QUIC to another.
use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use jayrack_protocol::{
    MemberId, RequestId, ResultCode,
    forward::{OutcomeQuery, OutcomeReply, OutcomeState, RequestHead, ResponseHead},
};
use jayrack_traffic::ledger::QueryResult;
use quinn::RecvStream;

use super::replay::AttemptBody;
use crate::{
    owner::{self, HEAD_MESSAGE_BYTES, OwnerAnswer, answer, headers},
    traffic::TrafficState,
    transport::{
        Error,
        body::{self, RelayBody},
        wire::{self, StreamKind, StreamSender},
    },
};

/// Time limit for the reply to a query; the next query uses a new connection.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// How an owner is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OwnerLocation {
    /// This daemon.
    Local,
    /// The daemon with this QUIC address.
    Remote(SocketAddr),
}

impl OwnerLocation {
    /// Finds the location of `owner`; `None` when no such daemon is known.
    pub(super) fn find(state: &TrafficState, owner: MemberId) -> Option<Self> {
        if owner == state.shared.local {
            return Some(OwnerLocation::Local);
        }
        let peers = state.shared.peers.load();
        let peer = peers.iter().find(|peer| peer.id == owner)?;
        Some(OwnerLocation::Remote(peer.forward_address))
    }
}

/// Sends the request to its owner and waits for the head of the answer.
///
/// An answer whose stated length is within the limit is read completely; a longer one is streamed.
///
/// # Errors
///
/// Returns [`Error::Unreachable`] when nothing was sent, and another error when the owner may have
/// received the request.
pub(super) async fn send(
    state: &Arc<TrafficState>,
    location: OwnerLocation,
    head: RequestHead,
    request_body: AttemptBody,
) -> Result<OwnerAnswer, Error> {
    let address = match location {
        OwnerLocation::Local => {
            let never = std::future::pending();
            return Ok(owner::serve(state, head, request_body.into(), never).await);
        }
        OwnerLocation::Remote(address) => address,
    };
    let stream = state.peers.open(address).await?;
    let mut call = ForwardCall::new(stream.send);
    let received = exchange(state, &mut call, stream.receive, (head, request_body)).await;
    match received {
        Ok(answer) => Ok(answer),
        Err(error) => {
            state.peers.discard(address, &stream.connection);
            Err(error)
        }
    }
}

/// Sending half of a forwarded request; dropping it early cancels the request at the owner.
#[derive(Debug)]
struct ForwardCall {
    send: Option<StreamSender>,
    upload: Option<tokio::task::JoinHandle<()>>,
}

impl ForwardCall {
    fn new(send: StreamSender) -> Self {
        Self {
            send: Some(send),
            upload: None,
        }
    }
}

impl Drop for ForwardCall {
    fn drop(&mut self) {
        if let Some(upload) = self.upload.take() {
            upload.abort();
        }
    }
}

async fn exchange(
    state: &Arc<TrafficState>,
    call: &mut ForwardCall,
    mut receive: RecvStream,
    request: (RequestHead, AttemptBody),
) -> Result<OwnerAnswer, Error> {
    let (head, request_body) = request;
    let start = wire::encode_start(StreamKind::Forward, &head);
    let mut send = call.send.take().ok_or(Error::Lost)?;
    match request_body {
        AttemptBody::Full(bytes) => {
            write_full(&mut send, start, bytes).await?;
            call.send = Some(send);
        }
        AttemptBody::Streamed(streamed) => {
            call.upload = Some(tokio::spawn(upload(send, start, streamed)));
        }
    }
    let head: ResponseHead = wire::read_message(&mut receive, HEAD_MESSAGE_BYTES).await?;
    let length = headers::content_length(&head.headers);
    let received = RelayBody::quic(receive, length);
    let limit = state.options.limits.answer_bytes;
    if length.is_some_and(|length| length <= limit as u64) {
        let bytes = received.collect_up_to(limit).await;
        let body = RelayBody::full(bytes.map_err(|_| Error::Lost)?);
        return Ok(OwnerAnswer { head, body });
    }
    let rest = ForwardCall {
        send: call.send.take(),
        upload: call.upload.take(),
    };
    Ok(OwnerAnswer {
        head,
        body: received.with_guard(rest),
    })
}

async fn write_full(send: &mut StreamSender, start: Bytes, body: Bytes) -> Result<(), Error> {
    let mut chunks = [start, body];
    let written = send.write_chunks(&mut chunks).await;
    if written.is_err() {
        return Ok(()); // The owner stopped reading; its answer holds the reason.
    }
    let _ = send.finish();
    Ok(())
}

async fn upload(mut send: StreamSender, start: Bytes, streamed: RelayBody) {
    if send.write_chunk(start).await.is_err() {
        return;
    }
    let _ = body::write_body(streamed, &mut send).await;
}

/// Asks an owner for the outcome of a request; with `fence`, a request that waits never runs.
///
/// # Errors
///
/// Returns an error when the owner does not answer in time; the next query then uses a new
/// connection.
pub(super) async fn query(
    state: &TrafficState,
    location: OwnerLocation,
    id: RequestId,
    fence: bool,
) -> Result<QueryResult<OwnerAnswer>, Error> {
    let address = match location {
        OwnerLocation::Local => return Ok(from_stored(state.owner.gate.query(id, fence))),
        OwnerLocation::Remote(address) => address,
    };
    let stream = state.peers.open(address).await?;
    let connection = stream.connection.clone();
    let querying = query_remote(stream.send, stream.receive, id, fence, state);
    match tokio::time::timeout(QUERY_TIMEOUT, querying).await {
        Ok(Ok(query_result)) => Ok(query_result),
        Ok(Err(_)) | Err(_) => {
            state.peers.discard(address, &connection);
            Err(Error::Lost)
        }
    }
}

async fn query_remote(
    mut send: StreamSender,
    mut receive: RecvStream,
    id: RequestId,
    fence: bool,
    state: &TrafficState,
) -> Result<QueryResult<OwnerAnswer>, Error> {
    let (request_high, request_low) = id.halves();
    let query = OutcomeQuery {
        request_high,
        request_low,
        fence,
    };
    let start = wire::encode_start(StreamKind::Outcome, &query);
    send.write_chunk(start).await?;
    send.finish()?;
    let reply: OutcomeReply = wire::read_message(&mut receive, HEAD_MESSAGE_BYTES).await?;
    let code = answer::code_of(reply.code);
    match reply.state() {
        OutcomeState::InProgress => Ok(QueryResult::InProgress),
        OutcomeState::NotRun => Ok(QueryResult::NotRun(code)),
        OutcomeState::Uncertain => Ok(QueryResult::Unknown(code)),
        OutcomeState::Done if code != ResultCode::Ok => Ok(QueryResult::Unknown(code)),
        OutcomeState::Done => {
            let limit = state.options.limits.answer_bytes;
            let body = RelayBody::quic(receive, None).collect_up_to(limit).await;
            let body = body.map_err(|_| Error::Lost)?;
            Ok(QueryResult::Done(OwnerAnswer {
                head: reply.head.unwrap_or_default(),
                body: RelayBody::full(body),
            }))
        }
    }
}

fn from_stored(query_result: QueryResult<Arc<answer::StoredAnswer>>) -> QueryResult<OwnerAnswer> {
    match query_result {
        QueryResult::Done(stored) if stored.body.is_none() => {
            QueryResult::Unknown(ResultCode::AnswerLost)
        }
        QueryResult::Done(stored) => QueryResult::Done(OwnerAnswer::from(stored.as_ref())),
        QueryResult::NotRun(code) => QueryResult::NotRun(code),
        QueryResult::Unknown(code) => QueryResult::Unknown(code),
        QueryResult::InProgress => QueryResult::InProgress,
    }
}
