//! The way of one request through the ingress.
use std::sync::Arc;

use hyper::{Request, Response, body::Incoming};
use jayrack_config::table::{RouteEntry, RouteTable};
use jayrack_protocol::{ResultCode, forward::RequestHead};

use super::{answer, attempt};
use crate::{
    owner::headers,
    traffic::TrafficState,
    transport::{self, body::RelayBody},
};

/// Answers one request.
pub(crate) async fn serve(
    state: Arc<TrafficState>,
    request: Request<Incoming>,
) -> Response<RelayBody> {
    let flight = state.in_flight.enter();
    let response = match forward(&state, request).await {
        Ok(response) => response,
        Err(code) => answer::refuse(code),
    };
    response.map(|body| body.holding(flight))
}

async fn forward(
    state: &TrafficState,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, ResultCode> {
    if !state.shared.is_ready() {
        return Err(ResultCode::NotReady);
    }
    if state.shared.is_leaving() {
        return Err(ResultCode::Draining);
    }
    let table = state.shared.table.load();
    let route = find_route(&table, request.method().as_str(), request.uri().path())
        .ok_or(ResultCode::RouteUnknown)?;
    let server = route.servers.first().ok_or(ResultCode::RouteInactive)?;
    let (mut parts, body) = request.into_parts();
    headers::strip_hop_by_hop(&mut parts.headers);
    let head = RequestHead {
        method: parts.method.to_string(),
        target: parts.uri.to_string(),
        headers: headers::to_messages(&parts.headers),
        server: server.name.clone(),
        service: server.service.clone(),
        kind: route.spec.kind.clone(),
        rank: u32::from(route.rank.order),
        idempotent: route.spec.idempotent,
        deadline_ms: route.rank.deadline_ms,
        table_version: table.version,
        ..RequestHead::default()
    };
    let body = RelayBody::http(body);
    let answer = if server.owner == state.shared.local {
        state.owner.serve(state, head, body).await
    } else {
        attempt::forward(state, server.forward_address, &head, body)
            .await
            .map_err(code_of)?
    };
    let code =
        ResultCode::from_number(answer.head.code as u16).unwrap_or(ResultCode::OutcomeUnknown);
    if code != ResultCode::Ok {
        return Err(code);
    }
    let mut response = headers::to_response(answer).ok_or(ResultCode::ServerFailed)?;
    answer::mark(response.headers_mut(), code);
    Ok(response)
}

fn code_of(error: transport::Error) -> ResultCode {
    match error {
        transport::Error::Unreachable => ResultCode::OwnerUnreachable,
        _ => ResultCode::OutcomeUnknown,
    }
}

fn find_route<'a>(table: &'a RouteTable, method: &str, path: &str) -> Option<&'a RouteEntry> {
    table.routes.iter().find(|route| {
        let spec = &route.spec;
        let is_method = spec.methods.is_empty() || spec.methods.iter().any(|m| m == method);
        is_method && path.starts_with(&spec.path_prefix)
    })
}
