//! Evidence on the version of the backend server beside the daemon, and whether that version may receive requests.
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use jayrack_mesh::rollout::{RolloutBook, evidence::AnswerQuality};

use super::{
    forward::{ForwardHead, OwnerOutcome},
    state::TrafficState,
};

/// Time that an unanswered request must have had, relative to the average of its route, for its loss to count as the
/// server's: the caller's deadline may be too short for any server.
const MIN_TIME_RATIO: f64 = 2.0;
/// Difference between the deadlines of ingress and owner up to which a request counts as given up at its deadline.
const CALLER_MARGIN: Duration = Duration::from_millis(10);

/// Whether the daemon accepts new requests for the version of its server.
pub(super) fn admits_version(state: &TrafficState) -> bool {
    is_allowed(state, RolloutBook::admits)
}

/// Whether an accepted request may be sent to the version of the server.
pub(super) fn may_run_version(state: &TrafficState) -> bool {
    is_allowed(state, RolloutBook::may_run)
}

fn is_allowed(state: &TrafficState, rule: fn(&RolloutBook, &str, &str) -> bool) -> bool {
    let mesh = &state.mesh;
    if !mesh.rollouts().is_enabled() {
        return true;
    }
    let version = server_version(state);
    let service = &mesh.settings.server.service;
    let is_allowed = rule(&mesh.rollouts(), service, &version);
    if !is_allowed {
        mesh.metrics.count_gate("version");
    }
    is_allowed
}

fn server_version(state: &TrafficState) -> String {
    let tracker = state.mesh.tracker();
    let version = tracker.serving().map(|server| server.version.clone());
    version.unwrap_or_default()
}

/// A request at the backend server, observed if a roll-out of its service runs.
#[derive(Debug)]
pub(super) struct ServerObservation {
    state: Arc<TrafficState>,
    route: String,
    /// Version of the server and number of the request; `None` if no roll-out runs or the request has ended.
    observed: Option<(String, u64)>,
    started: Instant,
    expires_at: Instant,
}

impl ServerObservation {
    pub(super) fn start(state: &Arc<TrafficState>, head: &ForwardHead, received: Instant) -> Self {
        let service = &state.mesh.settings.server.service;
        let needs_evidence = state.mesh.rollouts().needs_evidence(service);
        let observed = needs_evidence.then(|| {
            let version = server_version(state);
            let now_ms = state.mesh.boot_now_ms();
            let mut rollouts = state.mesh.rollouts();
            let number = rollouts.start_request(now_ms, service, &head.route);
            (version, number)
        });
        Self {
            route: head.route.clone(),
            observed,
            started: Instant::now(),
            expires_at: received + Duration::from_millis(head.time_left_ms),
            state: state.clone(),
        }
    }

    /// Counts the outcome of the request.
    pub(super) fn end(mut self, outcome: &OwnerOutcome) {
        let Some((version, number)) = self.observed.take() else {
            return;
        };
        if !self.state.mesh.rollouts().end_request(number) {
            return;
        }
        let quality = match outcome {
            OwnerOutcome::NotRun { .. } => None,
            OwnerOutcome::Answered {
                response,
                has_refused_call,
                ..
            } if response.status().is_server_error() => {
                (!has_refused_call).then_some(AnswerQuality::Failed)
            }
            OwnerOutcome::Answered { service_ms, .. } => {
                let is_warming_up = self.state.mesh.is_warming_up();
                let reference_ms = self.reference_ms();
                let quality = AnswerQuality::of_success(*service_ms, reference_ms, is_warming_up);
                Some(quality)
            }
            OwnerOutcome::Lost => match Instant::now() < self.expires_at {
                true => Some(AnswerQuality::Failed),
                false => self.expired_quality(),
            },
        };
        self.count(&version, quality);
    }

    fn expired_quality(&self) -> Option<AnswerQuality> {
        let elapsed_ms = self.started.elapsed().as_millis() as f64;
        let reference_ms = self.reference_ms();
        let had_time = reference_ms.is_none_or(|average| elapsed_ms >= average * MIN_TIME_RATIO);
        had_time.then_some(AnswerQuality::Failed)
    }

    fn reference_ms(&self) -> Option<f64> {
        let mesh = &self.state.mesh;
        let service = &mesh.settings.server.service;
        mesh.rollouts().reference_ms(service, &self.route)
    }

    fn count(&self, version: &str, quality: Option<AnswerQuality>) {
        let Some(quality) = quality else {
            return;
        };
        let mesh = &self.state.mesh;
        mesh.metrics.count_rollout_answer(match quality {
            AnswerQuality::Good => "good",
            AnswerQuality::Failed => "failed",
            AnswerQuality::Slow => "slow",
        });
        let now_ms = mesh.boot_now_ms();
        let server = (mesh.settings.server.service.as_str(), version);
        let is_notable = mesh
            .rollouts()
            .record_answer(now_ms, server, &self.route, quality);
        if is_notable {
            mesh.evidence_changed.notify_one();
        }
    }
}

impl Drop for ServerObservation {
    /// Counts a request that its caller gave up at the deadline.
    fn drop(&mut self) {
        let Some((version, number)) = self.observed.take() else {
            return;
        };
        let is_open = self.state.mesh.rollouts().end_request(number);
        if is_open && Instant::now() + CALLER_MARGIN >= self.expires_at {
            self.count(&version, self.expired_quality());
        }
    }
}
