//! The requests that the backend server beside the daemon runs, and what became of their calls.
//!
//! A request whose call was refused for want of room is going to fail, whichever server runs it: a repeat of
//! it, or of its other calls, would only add to the shortage.
use std::collections::BTreeMap;

/// What is known of one running request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RunningNotes {
    /// Whether it was sent a second time, so that its calls count as repeats, too.
    pub is_repeat: bool,
    /// Whether one of its calls was refused.
    pub has_refused_call: bool,
}

/// The running requests by identifier.
#[derive(Debug, Default)]
pub struct RunningRequests {
    requests: BTreeMap<String, RunningNotes>,
}

impl RunningRequests {
    /// Notes that the backend server runs the request `id`.
    pub fn start(&mut self, id: &str, is_repeat: bool) {
        let notes = RunningNotes {
            is_repeat,
            has_refused_call: false,
        };
        self.requests.insert(id.to_string(), notes);
    }

    /// Forgets the request `id`; returns what was known of it.
    pub fn end(&mut self, id: &str) -> RunningNotes {
        self.requests.remove(id).unwrap_or_default()
    }

    /// What is known of the request `id`.
    pub fn notes(&self, id: &str) -> RunningNotes {
        self.requests.get(id).copied().unwrap_or_default()
    }

    /// The running request that the call `id` belongs to; `None` if it is no call of one.
    ///
    /// Servers name a call after its request, with a dot in between.
    pub fn caller(&self, id: &str) -> Option<RunningNotes> {
        let (caller, _) = id.rsplit_once('.')?;
        self.requests.get(caller).copied()
    }

    /// Notes that the call `id` was refused.
    pub fn refuse_call(&mut self, id: &str) {
        let notes = id
            .rsplit_once('.')
            .and_then(|(caller, _)| self.requests.get_mut(caller));
        if let Some(notes) = notes {
            notes.has_refused_call = true;
        }
    }
}
