//! The requests that the backend server beside the daemon runs, and what became of their calls.
//!
//! A request whose call was refused for want of room is going to fail, whichever server runs it: a repeat of
//! it, or of its other calls, would only add to the shortage.
use std::collections::BTreeMap;

/// What is known of one running request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunningState {
    /// Whether it was sent a second time, so that its calls count as repeats, too.
    pub is_retry: bool,
    /// Whether one of its calls was refused.
    pub has_refused_call: bool,
}

/// The running requests by identifier.
#[derive(Debug, Default)]
pub struct RunningRequests {
    requests: BTreeMap<String, RunningState>,
}

impl RunningRequests {
    /// Notes that the backend server runs the request `id`.
    pub fn start(&mut self, id: &str, is_retry: bool) {
        let state = RunningState {
            is_retry,
            has_refused_call: false,
        };
        self.requests.insert(id.to_string(), state);
    }

    /// Forgets the request `id`; returns what was known of it.
    pub fn end(&mut self, id: &str) -> RunningState {
        self.requests.remove(id).unwrap_or_default()
    }

    /// What is known of the request `id`.
    pub fn state(&self, id: &str) -> RunningState {
        self.requests.get(id).copied().unwrap_or_default()
    }

    /// The running request that the call `id` belongs to; `None` if it is no call of one.
    ///
    /// Servers name a call after its request, with a dot in between.
    pub fn parent(&self, id: &str) -> Option<RunningState> {
        let (parent, _) = id.rsplit_once('.')?;
        self.requests.get(parent).copied()
    }

    /// Notes that the call `id` was refused.
    pub fn record_refused_call(&mut self, id: &str) {
        let state = id
            .rsplit_once('.')
            .and_then(|(parent, _)| self.requests.get_mut(parent));
        if let Some(state) = state {
            state.has_refused_call = true;
        }
    }
}
