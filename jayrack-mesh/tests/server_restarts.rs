//! A backend server that crashes and starts again while its clock jumps, in virtual time.
use std::collections::BTreeSet;

use jayrack_mesh::{
    ServerTracker,
    server::{ServerPhase, ServerRecord, StatusReport},
};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use rstest::rstest;

/// Interval between two reports of a server.
const REPORT_INTERVAL_MS: u64 = 1_500;
/// Longest delay of a late report.
const MAX_DELAY_MS: u64 = 4_000;
/// Largest step of the time of day, forward or backward.
const MAX_STEP_MS: u64 = 5_000;
/// Time for which a server reports without any disturbance, after which its daemon must serve it.
const CALM_MS: u64 = MAX_DELAY_MS + 4 * REPORT_INTERVAL_MS;
/// Length of a run.
const RUN_MS: u64 = 60_000;
/// Time at which the server's host was started, by the right time of day.
const EPOCH_MS: u64 = 1_000_000;

/// A start of the server, identified by what it states.
type Incarnation = (String, u64);

struct ServerModel {
    random: Pcg32,
    tracker: ServerTracker,
    clock_error_ms: i64,
    number: u64,
    incarnation: Incarnation,
    sequence: u64,
    phase: ServerPhase,
    next_report_ms: u64,
    /// Time of the last crash, start or step of the clock.
    disturbed_ms: u64,
    /// Reports on their way: when they arrive, and what they say.
    late: Vec<(u64, StatusReport)>,
    acknowledged_leaving: BTreeSet<Incarnation>,
}

impl ServerModel {
    fn new(seed: u64) -> Self {
        let mut model = Self {
            random: Pcg32::seed_from_u64(seed),
            tracker: ServerTracker::default(),
            clock_error_ms: 0,
            number: 0,
            incarnation: (String::new(), 0),
            sequence: 0,
            phase: ServerPhase::Ready,
            next_report_ms: 0,
            disturbed_ms: 0,
            late: Vec::new(),
            acknowledged_leaving: BTreeSet::new(),
        };
        model.start(0);
        model
    }

    fn percent(&mut self) -> u32 {
        self.random.next_u32() % 100
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    /// Starts a process, mostly under a new identifier; one that has said that it leaves is not started again under its own.
    fn start(&mut self, now_ms: u64) {
        if self.percent() < 50 || self.phase != ServerPhase::Ready {
            self.number += 1;
        }
        let born_ms = (EPOCH_MS + now_ms).saturating_add_signed(self.clock_error_ms);
        self.incarnation = (format!("i-{}", self.number), born_ms);
        self.sequence = 0;
        self.phase = ServerPhase::Ready;
        self.next_report_ms = now_ms + 100;
        self.disturbed_ms = now_ms;
    }

    fn step_clock(&mut self, now_ms: u64) {
        let step_ms = self.below(2 * MAX_STEP_MS) as i64 - MAX_STEP_MS as i64;
        self.clock_error_ms = if self.clock_error_ms == 0 { step_ms } else { 0 };
        self.disturbed_ms = now_ms;
    }

    fn report(&mut self, now_ms: u64) {
        self.sequence += 1;
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS + self.below(200);
        let (instance, born_ms) = self.incarnation.clone();
        let report = StatusReport {
            record: ServerRecord {
                instance,
                born_ms,
                sequence: self.sequence,
                service: "slots".to_string(),
                slots: 12,
                phase: self.phase,
                version: "v1".to_string(),
            },
            warmup_left_ms: 0,
        };
        match self.percent() {
            0..10 => {
                let delay_ms = self.below(MAX_DELAY_MS);
                self.late.push((now_ms + delay_ms, report));
            }
            _ => self.deliver(now_ms, report),
        }
    }

    fn deliver(&mut self, now_ms: u64, report: StatusReport) {
        let stated = report.record.clone();
        let effect = self.tracker.handle(now_ms, report);
        if effect.is_in_force() && stated.phase != ServerPhase::Ready {
            self.acknowledged_leaving
                .insert((stated.instance, stated.born_ms));
        }
    }

    fn deliver_late(&mut self, now_ms: u64) {
        let (due, waiting) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at_ms, _)| *at_ms <= now_ms);
        self.late = waiting;
        let due: Vec<_> = due;
        for (_, report) in due {
            self.deliver(now_ms, report);
        }
    }

    fn check(&self, now_ms: u64, seed: u64) {
        let serving = self.tracker.serving();
        let serving = serving.map(|server| (server.instance.clone(), server.born_ms));
        if let Some(serving) = &serving {
            assert!(
                !self.acknowledged_leaving.contains(serving),
                "seed {seed}, {now_ms} ms: {serving:?} serves after its departure was acknowledged"
            );
        }
        if self.acknowledged_leaving.contains(&self.incarnation) {
            assert_eq!(
                serving, None,
                "seed {seed}, {now_ms} ms: the host serves after the present departure was acknowledged"
            );
        }
        if self.phase == ServerPhase::Ready && now_ms - self.disturbed_ms > CALM_MS {
            assert_eq!(
                serving.as_ref(),
                Some(&self.incarnation),
                "seed {seed}, {now_ms} ms: the present incarnation does not serve"
            );
        }
    }
}

/// Guards against departures that are acknowledged without effect, and against servers that stay out of use, when the time of
/// day jumps between two starts.
#[rstest]
fn departures_hold_and_present_servers_serve_whatever_the_clock_says(
    #[values(0, 500, 1_000, 1_500)] first_seed: u64,
) {
    for seed in first_seed..first_seed + 500 {
        let mut model = ServerModel::new(seed);
        let mut restart_at_ms = None;
        for now_ms in (0..RUN_MS).step_by(100) {
            match model.below(1_000) {
                0..10 if restart_at_ms.is_none() => {
                    restart_at_ms = Some(now_ms + 300 + model.below(3_000));
                }
                10..25 => model.step_clock(now_ms),
                25..30 => {
                    model.phase = ServerPhase::Draining;
                    model.disturbed_ms = now_ms;
                }
                _ => {}
            }
            if restart_at_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                restart_at_ms = None;
                model.start(now_ms);
            }
            if restart_at_ms.is_some() {
                model.disturbed_ms = now_ms;
            } else if model.next_report_ms <= now_ms {
                model.report(now_ms);
            }
            model.deliver_late(now_ms);
            model.check(now_ms, seed);
        }
    }
}
