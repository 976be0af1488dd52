//! Requests that the backend server beside the daemon runs, and whether their nested calls were refused.
//!
//! A request with a nested call that was refused for lack of capacity is going to fail, whichever server runs it:
//! retries of the request or of its other nested calls would only add load.
use std::collections::BTreeMap;

/// What a request says of itself, from which follows whether it may be a nested call.
///
/// Clients choose their identifiers freely, so the form of one proves nothing by itself. Servers send no key with their
/// nested calls; a request with one is a client's, whatever its identifier.
#[derive(Debug, Clone, Copy)]
pub struct RequestClaim<'a> {
    id: &'a str,
    has_key: bool,
}

impl<'a> RequestClaim<'a> {
    /// Claim of a request with the identifier `id`, with or without any kind of key.
    pub fn new(id: &'a str, has_key: bool) -> Self {
        Self { id, has_key }
    }

    /// Identifier of the parent request if the request is a nested call.
    ///
    /// Servers derive the identifier of a nested call from that of its parent request: `PARENT.CALL`.
    fn parent_id(&self) -> Option<&'a str> {
        let (parent, _) = self.id.rsplit_once('.')?;
        (!self.has_key).then_some(parent)
    }
}

/// State of one running request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunningState {
    /// Whether it is a retry, so that its nested calls count as retries, too.
    pub is_retry: bool,
    /// Whether one of its nested calls was refused.
    pub has_refused_call: bool,
    /// Rank that its tenant has in place of the route's; its nested calls keep it.
    pub tenant_rank: Option<u8>,
}

/// Running requests by identifier.
#[derive(Debug, Default)]
pub struct RunningRequests {
    requests: BTreeMap<String, RunningState>,
}

impl RunningRequests {
    /// Records that the backend server runs the request `id`.
    pub fn start(&mut self, id: &str, is_retry: bool, tenant_rank: Option<u8>) {
        let state = RunningState {
            is_retry,
            has_refused_call: false,
            tenant_rank,
        };
        self.requests.insert(id.to_string(), state);
    }

    /// Removes the request `id` and returns its last state; the default state if it is not running.
    pub fn end(&mut self, id: &str) -> RunningState {
        self.requests.remove(id).unwrap_or_default()
    }

    /// State of the request `id`; the default state if it is not running.
    pub fn state(&self, id: &str) -> RunningState {
        self.requests.get(id).copied().unwrap_or_default()
    }

    /// State of the parent request of a nested call; `None` if the request is none, or no running request is its parent.
    pub fn parent(&self, claim: RequestClaim<'_>) -> Option<RunningState> {
        self.requests.get(claim.parent_id()?).copied()
    }

    /// Records for the parent request that its nested call was refused.
    pub fn record_refused_call(&mut self, claim: RequestClaim<'_>) {
        let state = claim
            .parent_id()
            .and_then(|parent| self.requests.get_mut(parent));
        if let Some(state) = state {
            state.has_refused_call = true;
        }
    }
}
