//! Writes a sample report page to standard output.
use jayrack_burn::{
    page::{self, BehindRow, PageContent, PlanRow},
    report::{BurnObjective, LocalReport, summarize},
    tracker::{BurnTracker, FinishedRequest},
};

fn main() {
    println!("{}", page::render(&sample()));
}

fn sample() -> PageContent {
    let objectives = [
        ("bookings", "confirm"),
        ("availability", "browse"),
        ("drawings", "fetch"),
    ];
    let burn = summarize(&objectives.map(objective), [&sample_report()]);
    PageContent {
        version: 412,
        on: 758,
        of: 760,
        log_is_up: true,
        burn,
        behind: vec![BehindRow {
            member: "casnewydd 127.0.0.1:9107".to_string(),
            version: 409,
        }],
        plans: vec![PlanRow {
            id: "p3f9a1c2e5b7d8e90".to_string(),
            team: "bookings".to_string(),
            effects: vec!["Changes route/confirm: rank is confirm instead of browse.".to_string()],
            csrf_token: "0".to_string(),
        }],
        missing: vec!["abertawe 127.0.0.1:9033".to_string()],
        may_change: true,
    }
}

fn objective((service, rank): (&str, &str)) -> BurnObjective {
    BurnObjective {
        service: service.to_string(),
        rank: rank.to_string(),
        target_millipercent: 99_900,
    }
}

fn sample_report() -> LocalReport {
    const MINUTE_MS: u64 = 60_000;
    let mut tracker = BurnTracker::default();
    for request in 0..6_000 {
        let now_ms = request * MINUTE_MS / 100;
        let samples = [
            ("bookings", "confirm", request % 40 != 0),
            ("availability", "browse", request % 700 != 0),
        ];
        for (service, rank, is_good) in samples {
            tracker.record(
                now_ms,
                FinishedRequest {
                    service,
                    rank,
                    is_good,
                },
            );
        }
    }
    tracker.report(59 * MINUTE_MS)
}
