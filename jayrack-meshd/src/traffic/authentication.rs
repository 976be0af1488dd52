//! Authentication of callers' requests by the API keys of tenants.
use std::sync::Arc;

use hyper::{
    HeaderMap,
    header::{self, HeaderValue},
};
use jayrack_mesh::{
    MeshRoutes,
    routes::MeshRoute,
    running::{RequestClaim, RunningState},
    tenants::{Tenant, TenantDirectory},
};
use jayrack_platform::headers;
use jayrack_protocol::ResultCode;

use super::{answer::CallerAnswer, forward, state::TrafficState};

/// Authentication scheme of API keys; its name is not case-sensitive.
const SCHEME: &str = "Bearer";
/// Time in `Retry-After` while the knowledge of the keys is too old, in milliseconds: a reader's next call to the store
/// and the spread of its result.
const STALE_RETRY_AFTER_MS: u64 = 1_000;
/// Time in `Retry-After` of a nested call without a known parent, in milliseconds: usually the parent has ended, so
/// that a retry is of no use, or the daemon has restarted, and the parent is sent again.
const NO_PARENT_RETRY_AFTER_MS: u64 = 400;

/// Result of the authentication of a request.
#[derive(Debug, Default, PartialEq)]
pub struct CallerIdentity {
    /// The tenant whose key the request carries.
    pub tenant: Option<Arc<Tenant>>,
    /// Rank that the tenant of the request, or of its parent request, has in place of the route's.
    pub rank: Option<u8>,
}

/// Reason why a request is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AuthenticationError {
    /// The request carries no key, or none of a tenant.
    KeyUnknown,
    /// The knowledge of the keys is too old.
    KeysStale,
    /// The request has the identifier of a nested call and no key, and no running request is its parent.
    ParentUnknown,
}

/// What the authentication of a request depends on, besides its key.
#[derive(Debug, Clone, Copy)]
pub struct RequestOrigin<'a> {
    /// Whether the route is public.
    pub is_public: bool,
    /// Identifier of the request; empty if it has none.
    pub id: &'a str,
    /// The parent request that runs at the server beside the daemon.
    pub parent: Option<RunningState>,
}

/// What a request with these headers says of itself.
pub fn claim_of(fields: &HeaderMap) -> RequestClaim<'_> {
    let has_key = fields.contains_key(header::AUTHORIZATION);
    RequestClaim::new(forward::request_id(fields), has_key)
}

/// Authenticates a request by its key, removes the key and sets the header with the tenant's name.
///
/// `is_current` tells whether the knowledge of the keys is recent enough; it is called only for a request whose key is
/// looked up.
///
/// # Errors
///
/// Fails if the request must not be forwarded.
pub fn authenticate(
    tenants: &TenantDirectory,
    fields: &mut HeaderMap,
    origin: &RequestOrigin<'_>,
    is_current: impl FnOnce() -> bool,
) -> Result<CallerIdentity, AuthenticationError> {
    let key = bearer_key(fields).map(ToString::to_string);
    // Must precede the insertion of the tenant's name, which the caller may have listed in `Connection`.
    forward::strip_hop_by_hop(fields);
    fields.remove(header::AUTHORIZATION);
    fields.remove(headers::TENANT);
    if let Some(parent) = origin.parent {
        return Ok(CallerIdentity {
            tenant: None,
            rank: parent.tenant_rank,
        });
    }
    if origin.is_public {
        return Ok(CallerIdentity::default());
    }
    let key = key.ok_or(match origin.id.contains('.') {
        true => AuthenticationError::ParentUnknown,
        false => AuthenticationError::KeyUnknown,
    })?;
    if !is_current() {
        return Err(AuthenticationError::KeysStale);
    }
    let tenant = tenants.find(&key).ok_or(AuthenticationError::KeyUnknown)?;
    // A server must not receive a tenant's request without the tenant's name.
    let name = HeaderValue::from_bytes(tenant.name.as_bytes())
        .map_err(|_| AuthenticationError::KeyUnknown)?;
    fields.insert(headers::TENANT, name);
    Ok(CallerIdentity {
        rank: tenant.rank,
        tenant: Some(tenant.clone()),
    })
}

/// Key of a request with exactly one `Authorization` header of the form `Bearer KEY`, with one space between them.
fn bearer_key(fields: &HeaderMap) -> Option<&str> {
    let mut values = fields.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = std::str::from_utf8(value.as_bytes())
        .ok()?
        .split_once(' ')?;
    let is_key = !key.is_empty() && !key.contains(char::is_whitespace);
    (is_key && scheme.eq_ignore_ascii_case(SCHEME)).then_some(key)
}

/// Authenticates a caller's request against the tenants of the newest configuration in force.
///
/// The request's body must have been received completely: the age of the knowledge counts from the time at which the
/// caller has sent the request.
pub(super) fn check(
    state: &TrafficState,
    fields: &mut HeaderMap,
    route: &MeshRoute,
    parent: Option<RunningState>,
) -> Result<CallerIdentity, CallerAnswer> {
    let routes = state.mesh.routes.load();
    if routes.as_deref().and_then(MeshRoutes::tenants).is_none() {
        return Ok(CallerIdentity::default());
    }
    // The age refers to the configuration in force when it is determined, or to an earlier one, so the tenants are
    // taken from the configuration in force afterwards.
    let is_current = state.mesh.is_key_knowledge_current();
    let routes = state.mesh.routes.load();
    let Some(tenants) = routes.as_deref().and_then(MeshRoutes::tenants) else {
        return Ok(CallerIdentity::default());
    };
    let id = forward::request_id(fields).to_string();
    let origin = RequestOrigin {
        is_public: route.is_public,
        id: &id,
        parent,
    };
    authenticate(tenants, fields, &origin, || is_current).map_err(|error| match error {
        AuthenticationError::KeyUnknown => CallerAnswer::Code(ResultCode::KeyUnknown),
        AuthenticationError::KeysStale => {
            refusal(state, ResultCode::KeysStale, STALE_RETRY_AFTER_MS)
        }
        AuthenticationError::ParentUnknown => {
            refusal(state, ResultCode::ParentUnknown, NO_PARENT_RETRY_AFTER_MS)
        }
    })
}

fn refusal(state: &TrafficState, code: ResultCode, retry_after_ms: u64) -> CallerAnswer {
    CallerAnswer::Refusal(code, state.router.jittered_ms(retry_after_ms))
}
