//! Checks of callers' requests before they are forwarded.
use std::{sync::Arc, time::Duration};

use hyper::{Request, body::Incoming, header, http::request::Parts};
use jayrack_mesh::{budget::RequestKind, gate::Urgency, routes::MeshRoute, tenants::Tenant};
use jayrack_platform::headers;
use jayrack_protocol::ResultCode;
use tokio::time::Instant;

use super::{
    answer::CallerAnswer,
    authentication,
    connections::ConnectionState,
    forward,
    request_body::{self, BodyRefusal, RequestBody},
    state::TrafficState,
};
use crate::{logging, shared::MeshState};

/// Time in `Retry-After` when the byte budget has no room, in milliseconds: stalled bodies have given way by then.
const NO_ROOM_RETRY_AFTER_MS: u64 = 400;
/// Time in `Retry-After` while the daemon has no configuration or knows no server, in milliseconds.
pub(super) const NOT_READY_RETRY_AFTER_MS: u64 = 400;
/// Time in `Retry-After` while the daemon stops, in milliseconds; a restart takes about a second.
const RESTART_RETRY_AFTER_MS: u64 = 700;

/// A caller's request with its complete body.
pub(super) struct CallerRequest {
    pub(super) route: Arc<MeshRoute>,
    pub(super) service: String,
    /// The tenant whose key the request carries.
    pub(super) tenant: Option<Arc<Tenant>>,
    /// Rank that its tenant, or the tenant of its parent request, has in place of the route's.
    pub(super) tenant_rank: Option<u8>,
    pub(super) urgency: Urgency,
    /// Whether it is a nested call of a retried request.
    pub(super) is_parent_retry: bool,
    pub(super) parts: Parts,
    pub(super) body: RequestBody,
    /// Time at which the target latency ends.
    pub(super) target_at: Instant,
    /// Deadline of the answer.
    pub(super) expires_at: Instant,
    /// Time that the caller has left when the request arrives, in milliseconds.
    pub(super) time_left_ms: u64,
}

impl CallerRequest {
    pub(super) fn kind(&self) -> RequestKind {
        match self.urgency.stage {
            0 => RequestKind::NestedCall,
            _ => RequestKind::NewRequest,
        }
    }
}

/// Checks a request and reads its body.
pub(super) async fn read_request(
    state: &Arc<TrafficState>,
    connection: &ConnectionState,
    request: Request<Incoming>,
    started: Instant,
) -> Result<CallerRequest, CallerAnswer> {
    let (mut parts, body) = request.into_parts();
    if state.mesh.is_closing() {
        return Err(refuse_for_stop());
    }
    let routes = state.mesh.routes.load_full().ok_or(CallerAnswer::Refusal(
        ResultCode::NotReady,
        NOT_READY_RETRY_AFTER_MS,
    ))?;
    let host = parts.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let route = routes
        .find(host, parts.uri.path())
        .ok_or(CallerAnswer::Code(ResultCode::RouteUnknown))?
        .clone();
    let max_bytes = routes.limits().body_bytes;
    let body = request_body::receive(connection, body, max_bytes)
        .await
        .map_err(|refusal| {
            connection.record_unread_body();
            refuse_body(state, &route, refusal)
        })?;
    let time_left_ms = forward::number(&parts.headers, headers::TIME_LEFT_MS)
        .unwrap_or(route.timeout_ms)
        .saturating_sub(started.elapsed().as_millis() as u64);
    let claim = authentication::claim_of(&parts.headers);
    let parent = state.mesh.running().parent(claim);
    let identity = authentication::check(state, &mut parts.headers, &route, parent)?;
    let urgency = Urgency {
        stage: u8::from(parent.is_none()),
        rank: identity.rank.unwrap_or(route.rank),
    };
    let service = state.router.choose_service(&route);
    let service = service
        .ok_or(CallerAnswer::Code(ResultCode::RouteInactive))?
        .to_string();
    let id = forward::request_id(&parts.headers);
    log::log!(
        target: logging::REQUEST,
        logging::request_level(id),
        id = id,
        route = route.name.as_str(),
        version = routes.version(),
        service = service.as_str(),
        urgency:? = urgency,
        time_left_ms = time_left_ms;
        "received"
    );
    set_caller_headers(&mut parts, &state.mesh);
    let target_left = Duration::from_millis(route.target_ms);
    let time_left = Duration::from_millis(time_left_ms.min(route.timeout_ms));
    Ok(CallerRequest {
        service,
        tenant: identity.tenant,
        tenant_rank: identity.rank,
        urgency,
        is_parent_retry: parent.is_some_and(|parent| parent.is_retry),
        parts,
        body,
        target_at: started + target_left,
        expires_at: started + time_left,
        time_left_ms,
        route,
    })
}

/// Answer to a request that the daemon does not begin to forward because it stops.
pub(super) fn refuse_for_stop() -> CallerAnswer {
    CallerAnswer::Refusal(ResultCode::Draining, RESTART_RETRY_AFTER_MS)
}

/// Answer to a request whose body was not received; it has not run.
fn refuse_body(state: &TrafficState, route: &MeshRoute, refusal: BodyRefusal) -> CallerAnswer {
    log::info!(route = route.name.as_str(), reason = refusal.name(); "body not received");
    state.mesh.metrics.count_limit(refusal.name());
    match refusal {
        BodyRefusal::TooLarge => CallerAnswer::Code(ResultCode::RequestTooLarge),
        BodyRefusal::Broken => CallerAnswer::Code(ResultCode::RequestMalformed),
        BodyRefusal::NoRoom | BodyRefusal::Stalled => {
            let retry_after_ms = state.router.jittered_ms(NO_ROOM_RETRY_AFTER_MS);
            CallerAnswer::Refusal(ResultCode::Shed, retry_after_ms)
        }
    }
}

/// Removes hop-by-hop headers and those that only daemons may set, and sets the calling service.
fn set_caller_headers(parts: &mut Parts, mesh: &MeshState) {
    forward::strip_hop_by_hop(&mut parts.headers);
    forward::strip_internal(&mut parts.headers);
    forward::insert_text(
        &mut parts.headers,
        headers::CALLER_SERVICE,
        &mesh.settings.server.service,
    );
}
