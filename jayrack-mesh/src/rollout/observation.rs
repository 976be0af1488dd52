//! Evidence in the book: answers of the server beside the daemon, and counts and service times that other daemons sent.
use std::{collections::BTreeMap, net::IpAddr};

use super::{
    RolloutBook, RolloutPhase,
    evidence::{AnswerQuality, ServerEvidence, VersionVerdict, is_clearly_bad, judge},
};

/// Time after which the evidence of a silent daemon no longer counts, in milliseconds: the longest interval of
/// datagrams between two hosts.
const EVIDENCE_TIMEOUT_MS: u64 = 9_000;
/// Service times of a server that its daemon reported.
#[derive(Debug)]
pub(super) struct ReportedTimes {
    service: String,
    version: String,
    routes: BTreeMap<String, u32>,
}

/// A request at the server beside the daemon during a roll-out.
#[derive(Debug)]
pub(super) struct RunningRequest {
    service: String,
    route: String,
    started_ms: u64,
}

impl RolloutBook {
    /// Records the average service times that the daemon at `sender` reports for its server.
    pub fn record_service_times(
        &mut self,
        sender: IpAddr,
        (service, version): (&str, &str),
        times: impl Iterator<Item = (String, u32)>,
    ) {
        let is_other = |known: &ReportedTimes| known.service != service || known.version != version;
        if self.service_times.get(&sender).is_none_or(is_other) {
            let reported = ReportedTimes {
                service: service.to_string(),
                version: version.to_string(),
                routes: BTreeMap::new(),
            };
            self.service_times.insert(sender, reported);
        }
        if let Some(reported) = self.service_times.get_mut(&sender) {
            reported.routes.extend(times);
        }
    }

    /// Removes what hosts reported that are no longer known.
    pub fn retain_hosts(&mut self, is_known: impl Fn(IpAddr) -> bool) {
        self.service_times.retain(|address, _| is_known(*address));
    }

    /// Average time that servers of other versions than the ordered one take for `route`, in milliseconds.
    pub fn reference_ms(&self, service: &str, route: &str) -> Option<f64> {
        let target = &self.rollouts.get(service)?.order.target_version;
        let reports = self.service_times.values();
        let times: Vec<f64> = reports
            .filter(|reported| reported.service == service && reported.version != *target)
            .filter_map(|reported| reported.routes.get(route))
            .map(|time| f64::from(*time))
            .collect();
        (!times.is_empty()).then(|| times.iter().sum::<f64>() / times.len() as f64)
    }

    /// Whether answers of servers of `service` are to be assessed.
    pub fn needs_evidence(&self, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        self.is_enabled()
            && rollout.is_some_and(|rollout| {
                !rollout.phase.is_final() && rollout.phase != RolloutPhase::Unknown
            })
    }

    /// Counts an answer of the server beside the daemon, which runs `version`; returns whether other daemons should
    /// learn of it soon.
    pub fn record_answer(
        &mut self,
        now_ms: u64,
        (service, version): (&str, &str),
        route: &str,
        quality: AnswerQuality,
    ) -> bool {
        if !self.needs_evidence(service) {
            return false;
        }
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return false;
        };
        rollout.window.record(now_ms, route, quality);
        let is_target = version == rollout.order.target_version;
        if is_target && rollout.stopped.is_none() && quality != AnswerQuality::Good {
            let counts = rollout.window.counts(now_ms);
            if is_clearly_bad(&counts) {
                rollout.stopped = Some(ServerEvidence {
                    is_target,
                    counts,
                    is_stopped: true,
                });
            }
        }
        is_target && quality != AnswerQuality::Good
    }

    /// Notes that a request was sent to the server beside the daemon; returns its number.
    pub fn start_request(&mut self, now_ms: u64, service: &str, route: &str) -> u64 {
        self.next_request += 1;
        let request = RunningRequest {
            service: service.to_string(),
            route: route.to_string(),
            started_ms: now_ms,
        };
        self.running.insert(self.next_request, request);
        self.next_request
    }

    /// Notes that a request has ended; returns whether its outcome is still to be recorded.
    pub fn end_request(&mut self, number: u64) -> bool {
        self.running.remove(&number).is_some()
    }

    /// Records running requests as slow that already take as long as a slow one, before they are answered; returns
    /// whether there are any.
    pub fn record_overdue(&mut self, now_ms: u64, version: &str, is_warming_up: bool) -> bool {
        let is_overdue = |request: &RunningRequest| {
            let elapsed_ms = now_ms.saturating_sub(request.started_ms);
            let reference_ms = self.reference_ms(&request.service, &request.route);
            AnswerQuality::of_success(elapsed_ms, reference_ms, is_warming_up)
                == AnswerQuality::Slow
        };
        let overdue: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, request)| is_overdue(request))
            .map(|(number, _)| *number)
            .collect();
        let mut is_notable = false;
        for number in overdue {
            if let Some(request) = self.running.remove(&number) {
                let server = (request.service.as_str(), version);
                let quality = AnswerQuality::Slow;
                is_notable |= self.record_answer(now_ms, server, &request.route, quality);
            }
        }
        is_notable
    }

    /// Whether requests to the server beside the daemon are stopped because of its own evidence.
    pub fn is_stopped(&self, service: &str) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|rollout| rollout.stopped.is_some())
    }

    /// Joins the evidence on the new version of `service`; `own` is the evidence of the server beside the daemon.
    pub fn verdict(
        &mut self,
        now_ms: u64,
        service: &str,
        own: Option<&ServerEvidence>,
    ) -> VersionVerdict {
        let servers = self.target_servers.get(service).copied().unwrap_or(0);
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return VersionVerdict::Undecided;
        };
        rollout.evidence.retain(|_, (received_ms, evidence)| {
            evidence.is_stopped || now_ms.saturating_sub(*received_ms) <= EVIDENCE_TIMEOUT_MS
        });
        let received = rollout.evidence.values().map(|(_, evidence)| evidence);
        judge(received.chain(own), servers)
    }
}
