//! Daemons that are added and cannot read the list of hosts lend a tenant's whole allowance beside the fleet's lender.
use std::{collections::BTreeMap, time::Duration};

use tokio::time::sleep;

use crate::{
    callers::{self, RequestPlan},
    fleet::{self, ALL_HOSTS, AddressRange, Daemon, Fleet, Site},
    record::{CaseRecord, Verdict},
    store::StoreStandin,
};

/// Topic in which the daemons keep the list of hosts.
const HOSTS_TOPIC: &str = "jayrack-hosts";
const KEY: &str = "n2ftimaj3nr26tta828m";
/// The tenant's limit: 1.6 times its usual rate.
const RATE_PER_S: f64 = 100.0;
const BURST: f64 = 100.0;
/// `quota_window_s`, `quota_overrun` and `quota_slack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERRUN: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Usual requests of the tenant: 60 a second at 9 hosts together.
const USUAL: RequestPlan = RequestPlan {
    method: "GET",
    host: "jepu9.example",
    prefix: "/lepu270/",
    key: Some(KEY),
    deadline: Duration::from_millis(2_000),
    interval: Duration::from_millis(150),
};
/// Requests that it sends in addition while it is hot: 110 a second at these hosts together.
const HOT: RequestPlan = RequestPlan {
    interval: Duration::from_millis(82),
    ..USUAL
};
/// Requests that it sends at each of the two new hosts meanwhile: 140 a second.
const HOT_AT_NEW: RequestPlan = RequestPlan {
    interval: Duration::from_micros(7_140),
    ..USUAL
};
/// Number of the first host that is added; it and the next one have servers of the service that the tenant uses.
const FIRST_NEW_HOST: usize = ALL_HOSTS - 2;
/// Time for which it is hot.
const HOT_TIME: Duration = Duration::from_secs(8);
/// Time from the begin of the outage to that of the hot time.
const BEFORE_HOT: Duration = Duration::from_millis(4_400);
/// Length of the store's partial outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time from its begin to the start of the new hosts.
const BEFORE_ADD: Duration = Duration::from_millis(50);
/// Time for which the requests after the hot time are watched.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Requests that must have run for the case to count.
const MIN_RUNS: usize = 200;

pub async fn run(record: &CaseRecord, has_trouble: bool) -> Result<Verdict, String> {
    let range = AddressRange::new();
    let store = StoreStandin::start(range.store())
        .await
        .map_err(|error| error.to_string())?;
    let configuration = configuration()?;
    fleet::put_configuration(&store, record, &configuration, "version 3").await;
    let mut fleet =
        Fleet::start(range, range.store(), Site::Arogya, FIRST_NEW_HOST, record).await?;
    fleet.until_ready(record).await?;
    for daemon in &fleet.daemons {
        callers::start(&daemon.host, USUAL, record);
    }
    sleep(Duration::from_secs(8)).await;

    if has_trouble {
        store.set_down(Some(HOSTS_TOPIC));
        record.note("the partition with the list of hosts goes down");
    }
    let began_at = record.now();
    sleep(BEFORE_ADD).await;
    for number in FIRST_NEW_HOST..ALL_HOSTS {
        fleet.add(range, number, Site::Arogya, record).await?;
    }
    record.note("two hosts are added");
    let until = |at: Duration| sleep((began_at + at).saturating_sub(record.now()));
    until(BEFORE_HOT).await;
    let callers_of = |daemon: &Daemon| {
        let plan = match daemon.host.number {
            FIRST_NEW_HOST.. => HOT_AT_NEW,
            _ => HOT,
        };
        callers::start(&daemon.host, plan, record)
    };
    let hot: Vec<_> = fleet.daemons.iter().map(callers_of).collect();
    record.note("the tenant is hot: it sends 450 requests a second, 280 of them at the new hosts");
    until(OUTAGE).await;
    if has_trouble {
        store.set_down(None);
        record.note("the partition is up again");
    }
    until(BEFORE_HOT + HOT_TIME).await;
    hot.iter().for_each(|callers| callers.abort());
    record.note("the tenant sends its usual requests");
    sleep(WATCH_TIME).await;
    fleet.close();
    judge(record)
}

fn configuration() -> Result<String, String> {
    let text = fleet::configuration(3, 0, "bookings", 0);
    let mut body: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| error.to_string())?;
    body["tenants"] = serde_json::json!([{
        "name": "bozi300", "api_keys": [KEY], "priority": 1, "rate_per_s": RATE_PER_S, "burst": BURST,
    }]);
    Ok(body.to_string())
}

/// Largest number of requests that were both sent and run within one window.
fn judge(record: &CaseRecord) -> Result<Verdict, String> {
    let sent: BTreeMap<String, Duration> = record
        .requests()
        .into_iter()
        .map(|request| (request.id, request.at))
        .collect();
    let mut counted: Vec<(Duration, Duration)> = record
        .runs()
        .iter()
        .filter_map(|run| Some((*sent.get(&run.id)?, run.at)))
        .collect();
    counted.sort_unstable();
    let within = |start: Duration| {
        let inside = counted
            .iter()
            .filter(|(sent_at, run_at)| *sent_at >= start && *run_at <= start + WINDOW);
        inside.count()
    };
    let largest = counted
        .iter()
        .map(|(sent_at, _)| (within(*sent_at), *sent_at))
        .max();
    let (most, start) = largest.unwrap_or_default();
    let bound = (RATE_PER_S * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERRUN) + SLACK;
    let text = format!(
        "{most} requests of the tenant were sent and run within the 5 s from {:.1} s on, where {bound:.0} are allowed",
        start.as_secs_f64()
    );
    if counted.len() < MIN_RUNS {
        return Err(text);
    }
    Ok(match most as f64 > bound {
        false => Verdict::Held(text),
        true => Verdict::Broken(text),
    })
}
