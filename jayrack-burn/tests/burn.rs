//! Window counts against a naive count, states of objectives, and size and escaping of the page.
use jayrack_burn::{
    page::{self, BehindRow, PageContent, PlanRow},
    report::{BurnObjective, BurnState, FleetRow, LocalReport, summarize},
    tracker::{BurnTracker, FinishedRequest},
    window::{BUCKETS, RequestCount, WindowCounter, WindowLength},
};
use proptest::prelude::*;

const MINUTE_MS: u64 = 60_000;

fn tracker_with(requests: impl IntoIterator<Item = (u64, bool)>) -> BurnTracker {
    let mut tracker = BurnTracker::default();
    for (now_ms, is_good) in requests {
        let request = FinishedRequest {
            service: "bookings",
            rank: "confirm",
            is_good,
        };
        tracker.record(now_ms, request);
    }
    tracker
}

fn objective() -> BurnObjective {
    BurnObjective {
        service: "bookings".into(),
        rank: "confirm".into(),
        target_millipercent: 99_000,
    }
}

fn evaluated(reports: &[LocalReport]) -> FleetRow {
    summarize(&[objective()], reports).remove(0)
}

fn naive_count(requests: &[(u64, bool)], length: WindowLength, now_ms: u64) -> RequestCount {
    let bucket_ms = length.length_ms() / BUCKETS;
    let last = now_ms / bucket_ms;
    let inside = requests
        .iter()
        .filter(|(at_ms, _)| at_ms / bucket_ms + BUCKETS > last);
    inside.fold(RequestCount::default(), |mut count, (_, is_good)| {
        count.add(RequestCount {
            good: u64::from(*is_good),
            total: 1,
        });
        count
    })
}

proptest! {
    #[test]
    fn window_count_matches_naive_count(steps in prop::collection::vec((0u64..90_000, any::<bool>()), 1..200)) {
        let length = WindowLength::FiveMinutes;
        let mut counter = WindowCounter::new(length);
        let mut requests = Vec::new();
        let mut now_ms = 0;

        for (step_ms, is_good) in steps {
            now_ms += step_ms;
            counter.record(now_ms, is_good);
            requests.push((now_ms, is_good));
            prop_assert_eq!(counter.count(now_ms), naive_count(&requests, length, now_ms));
        }
    }
}

#[test]
fn fast_burn_needs_both_short_windows() {
    let brief = tracker_with((0..60).map(|minute| (minute * MINUTE_MS, minute != 59)));
    let lasting = tracker_with((0..60).map(|minute| (minute * MINUTE_MS, minute % 4 != 0)));

    let brief = evaluated(&[brief.report(59 * MINUTE_MS)]);
    let lasting = evaluated(&[lasting.report(59 * MINUTE_MS)]);

    assert_ne!(brief.state, BurnState::Burning);
    assert_eq!(lasting.state, BurnState::Burning);
}

#[test]
fn reports_of_daemons_add_up() {
    let good = tracker_with([(0, true), (0, true)]).report(0);
    let bad = tracker_with([(0, false)]).report(0);

    let row = evaluated(&[good, bad]);

    assert_eq!((row.windows[0].good, row.windows[0].total), (2, 3));
}

#[test]
fn objective_without_requests_is_idle() {
    let row = evaluated(&[LocalReport::default()]);

    assert_eq!(row.state, BurnState::Idle);
}

fn full_content() -> PageContent {
    let objectives: Vec<BurnObjective> = (0..74)
        .flat_map(|service| (0..4).map(move |rank| (service, rank)))
        .map(|(service, rank)| BurnObjective {
            service: format!("service-{service}"),
            rank: format!("rank-{rank}"),
            target_millipercent: 99_900,
        })
        .collect();
    PageContent {
        version: 9,
        on: 0,
        of: 760,
        log_is_up: false,
        burn: summarize(&objectives, []),
        behind: vec![
            BehindRow {
                member: "casnewydd 127.0.0.1:7001".into(),
                version: 8
            };
            760
        ],
        plans: vec![
            PlanRow {
                id: "<script>".into(),
                team: "bookings".into(),
                effects: vec!["route `confirm-slot` is added".into(); 20],
                csrf_token: "c".into(),
            };
            100
        ],
        missing: vec!["127.0.0.1:9000".into(); 760],
        may_change: true,
    }
}

#[test]
fn page_of_a_full_fleet_is_escaped_and_within_its_size_limit() {
    const LIMIT_BYTES: usize = 50 * 1024;

    let html = page::render(&full_content());

    assert!(html.len() < LIMIT_BYTES, "{} bytes", html.len());
    assert!(!html.contains("<script"));
}
