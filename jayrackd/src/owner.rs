//! Requests for the backend servers beside this daemon, from its own ingress and from peers.
use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use jayrack_protocol::{
    ResultCode,
    forward::{OutcomeQuery, OutcomeReply, OutcomeState, RequestHead, ResponseHead},
};
use quinn::{RecvStream, SendStream};

use crate::{
    backend::{self, BackendPool},
    shared::LocalServer,
    traffic::{Options, TrafficState},
    transport::{self, body::RelayBody, wire},
};

pub(crate) mod headers;

/// Longest encoded head of a forwarded request or answer, in bytes.
pub(crate) const HEAD_MESSAGE_BYTES: usize = 256 * 1024;

/// Decides about requests for the local backend servers and runs them.
#[derive(Debug)]
pub(crate) struct OwnerGate {
    backends: BackendPool,
}

/// An owner's answer, on its way to the ingress.
#[derive(Debug)]
pub(crate) struct OwnerAnswer {
    pub(crate) head: ResponseHead,
    pub(crate) body: RelayBody,
}

impl OwnerAnswer {
    /// An answer without a backend server's part in it.
    pub(crate) fn refusal(code: ResultCode) -> Self {
        Self {
            head: ResponseHead {
                code: u32::from(code.number()),
                ..ResponseHead::default()
            },
            body: RelayBody::whole(Bytes::new()),
        }
    }
}

impl OwnerGate {
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            backends: BackendPool::new(options),
        }
    }

    /// Runs one request or refuses it.
    pub(crate) async fn serve(
        &self,
        state: &TrafficState,
        head: RequestHead,
        body: RelayBody,
    ) -> OwnerAnswer {
        let _flight = state.in_flight.enter();
        if state.shared.is_leaving() {
            return OwnerAnswer::refusal(ResultCode::Draining);
        }
        let servers = state.shared.servers.load();
        let Some(server) = servers.iter().find(|server| server.name == head.server) else {
            return OwnerAnswer::refusal(ResultCode::ServerUnknown);
        };
        if server.draining {
            return OwnerAnswer::refusal(ResultCode::Draining);
        }
        let server = server.clone();
        self.run(&server, head, body).await
    }

    async fn run(&self, server: &LocalServer, head: RequestHead, body: RelayBody) -> OwnerAnswer {
        let is_idempotent = head.idempotent;
        let Some(request) = headers::to_request(head, body) else {
            return OwnerAnswer::refusal(ResultCode::RequestMalformed);
        };
        let request: Request<RelayBody> = request;
        match self
            .backends
            .send(server.address, request, is_idempotent)
            .await
        {
            Ok(response) => headers::to_answer(response),
            Err(backend::Error::NotSent) => OwnerAnswer::refusal(ResultCode::OwnerUnreachable),
            Err(backend::Error::Lost) => OwnerAnswer::refusal(ResultCode::OutcomeUnknown),
        }
    }
}

/// Serves a stream that forwards one request.
pub(crate) async fn serve_forward(
    send: &mut SendStream,
    mut receive: RecvStream,
    state: &Arc<TrafficState>,
) -> Result<(), transport::Error> {
    let head: RequestHead = wire::read_message(&mut receive, HEAD_MESSAGE_BYTES).await?;
    let length = headers::content_length(&head.headers);
    let body = RelayBody::quic(receive, length);
    let answer = state.owner.serve(state, head, body).await;
    wire::write_message(send, &answer.head).await?;
    transport::body::write_body(answer.body, send).await
}

/// Serves a stream that asks for an outcome.
pub(crate) async fn serve_outcome(
    send: &mut SendStream,
    mut receive: RecvStream,
    _state: &Arc<TrafficState>,
) -> Result<(), transport::Error> {
    let _query: OutcomeQuery = wire::read_message(&mut receive, HEAD_MESSAGE_BYTES).await?;
    let reply = OutcomeReply {
        state: OutcomeState::Uncertain.into(),
        head: None,
    };
    wire::write_message(send, &reply).await?;
    send.finish().map_err(|_| transport::Error::Lost)
}
