//! The burn report: gathered from the fleet, returned as JSON or as an HTML page.
use jayrack_burn::{
    page::{self, BehindRow, PageContent, PlanRow},
    report::{BurnObjective, FleetRow, summarize},
};
use jayrack_config::{
    object::{ConfigObject, ObjectKey},
    plan::{self, PlanState},
    record::Role,
};
use jayrack_membership::in_force;
use serde_json::json;
use tokio::sync::oneshot;

use super::{
    ControlEvent,
    report_calls::{self, GatheredReport, REPORT_CACHE_MS, ReportSource},
    state::ControlState,
};
use crate::admin::{ApiAnswer, OperatorIdentity, csrf_token};

/// A gathered report that is reused for [`REPORT_CACHE_MS`].
#[derive(Debug)]
pub struct ReportCache {
    gathered: GatheredReport,
    gathered_at_ms: u64,
}

/// Format of the answer to a report request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportFormat {
    /// A JSON object.
    Json,
    /// An HTML page with forms for open plans.
    Page,
}

/// A report request that waits for the reports of the fleet.
#[derive(Debug)]
pub struct ReportWaiter {
    /// Format of the answer.
    pub format: ReportFormat,
    /// Operator who requests the report.
    pub identity: OperatorIdentity,
    /// Receives the answer.
    pub reply: oneshot::Sender<ApiAnswer>,
}

impl ControlState {
    /// Answers from the cache while it is valid, or gathers the report from the fleet.
    pub(super) fn report(&mut self, waiter: ReportWaiter) {
        let now_ms = self.now_ms();
        let cached = self.report_cache.take();
        match cached.filter(|cache| now_ms.saturating_sub(cache.gathered_at_ms) < REPORT_CACHE_MS) {
            Some(cache) => {
                let answer = self.report_answer(&waiter, &cache.gathered);
                self.report_cache = Some(cache);
                let _ = waiter.reply.send(answer);
            }
            None => self.gather(waiter),
        }
    }

    /// Answers all waiting requests with the gathered report and caches it.
    pub(super) fn handle_gathered(&mut self, gathered: GatheredReport) {
        for waiter in std::mem::take(&mut self.report_waiters) {
            let answer = self.report_answer(&waiter, &gathered);
            let _ = waiter.reply.send(answer);
        }
        self.report_cache = Some(ReportCache {
            gathered,
            gathered_at_ms: self.now_ms(),
        });
    }

    /// Answers with this daemon's own counts.
    pub(super) fn local_report(&self) -> ApiAnswer {
        let report = self.context.shared.lock_burn().report(self.now_ms());
        ApiAnswer::success(200, json!(report))
    }

    fn gather(&mut self, waiter: ReportWaiter) {
        let token = waiter.identity.token.clone();
        let is_first = self.report_waiters.is_empty();
        self.report_waiters.push(waiter);
        if !is_first {
            return;
        }
        let sources = self.report_sources();
        let events = self.context.events.clone();
        tokio::spawn(async move {
            let gathered = report_calls::gather(sources, &token).await;
            let _ = events.send(ControlEvent::Gathered(gathered)).await;
        });
    }

    fn report_sources(&self) -> Vec<ReportSource> {
        self.view
            .running()
            .map(|entry| ReportSource {
                label: format!(
                    "{} {}",
                    entry.record.data_centre, entry.record.admin_address
                ),
                address: entry.record.admin_address,
            })
            .collect()
    }

    fn report_answer(&self, waiter: &ReportWaiter, gathered: &GatheredReport) -> ApiAnswer {
        let burn = summarize(&self.objectives(), &gathered.reports);
        match waiter.format {
            ReportFormat::Json => {
                ApiAnswer::success(200, json!({"burn": burn, "missing": gathered.missing}))
            }
            ReportFormat::Page => ApiAnswer::Text {
                status: 200,
                media_type: "text/html; charset=utf-8",
                text: page::render(&self.page_content(&waiter.identity, burn, gathered)),
            },
        }
    }

    fn objectives(&self) -> Vec<BurnObjective> {
        let mut objectives = Vec::new();
        for (key, stored) in self.context.sync.state().objects() {
            let (ObjectKey::Service(_), ConfigObject::Service(service)) = (key, &stored.object)
            else {
                continue;
            };
            objectives.extend(service.objectives.iter().map(|objective| BurnObjective {
                service: service.name.clone(),
                rank: objective.rank.clone(),
                target_millipercent: objective.target_millipercent,
            }));
        }
        objectives
    }

    fn page_content(
        &self,
        identity: &OperatorIdentity,
        burn: Vec<FleetRow>,
        gathered: &GatheredReport,
    ) -> PageContent {
        let version = self.context.sync.state().version();
        let force = in_force::in_force(&self.view, version);
        let behind = force.behind.iter().filter_map(|id| self.view.get(*id));
        PageContent {
            version,
            on: force.on,
            of: force.of,
            log_is_up: self.log_is_up,
            burn,
            behind: behind
                .map(|entry| BehindRow {
                    member: format!(
                        "{} {}",
                        entry.record.data_centre, entry.record.admin_address
                    ),
                    version: entry.applied_version,
                })
                .collect(),
            plans: self.open_plans(identity),
            missing: gathered.missing.clone(),
            may_change: identity.role >= Role::Operator,
        }
    }

    fn open_plans(&self, identity: &OperatorIdentity) -> Vec<PlanRow> {
        plan::list(self.context.sync.state(), self.unix_ms())
            .into_iter()
            .filter(|plan| plan.state == PlanState::Open)
            .map(|plan| PlanRow {
                csrf_token: csrf_token(&identity.token, &plan.id),
                id: plan.id,
                team: plan.team,
                effects: plan.effects,
            })
            .collect()
    }
}
