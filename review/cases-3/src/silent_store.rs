//! Open connections to the store go silent just after a change of the configuration.
use std::time::Duration;

use tokio::time::sleep;

use crate::{
    callers,
    fleet::{self, ALL_HOSTS, AddressRange, Fleet, ORDERS, Site},
    record::{CaseRecord, Verdict},
    relay::StoreRelay,
    store::StoreStandin,
};

/// Time from the first change to the moment at which the open connections go silent.
const BEFORE_SILENCE: Duration = Duration::from_millis(800);
/// Time from that moment to the second change.
const AFTER_SILENCE: Duration = Duration::from_millis(200);
/// `config_apply_s`.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// `stable_window_s`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the requests after the bound are watched.
const WATCH_TIME: Duration = Duration::from_secs(6);

pub async fn run(record: &CaseRecord, has_trouble: bool) -> Result<Verdict, String> {
    let range = AddressRange::new();
    let store = StoreStandin::start(range.store())
        .await
        .map_err(|error| error.to_string())?;
    let relay = StoreRelay::start(range.relay(), range.store())
        .await
        .map_err(|error| error.to_string())?;
    let first = fleet::configuration(3, 0, "bookings", 0);
    fleet::put_configuration(&store, record, &first, "version 3").await;
    let fleet = Fleet::start(range, range.relay(), Site::Turnio, ALL_HOSTS, record).await?;
    fleet.until_ready(record).await?;
    for daemon in &fleet.daemons {
        callers::start(&daemon.host, ORDERS, record);
    }
    sleep(Duration::from_secs(8)).await;

    let second = fleet::configuration(5, 3, "bookings", 1);
    fleet::put_configuration(&store, record, &second, "version 5").await;
    sleep(BEFORE_SILENCE).await;
    if has_trouble {
        relay.silence_open();
        record.note("the open connections to the store go silent");
    }
    let silent_at = record.now();
    sleep(AFTER_SILENCE).await;
    let third = fleet::configuration(6, 5, "availability", 1);
    let acknowledged_at = fleet::put_configuration(&store, record, &third, "version 6").await;
    let bound = (acknowledged_at + APPLY_BOUND).max(silent_at + STABLE_WINDOW);
    sleep((bound + WATCH_TIME).saturating_sub(record.now())).await;
    fleet.close();
    judge(record, bound)
}

/// Requests that were sent after the bound and run by the service of before.
fn judge(record: &CaseRecord, bound: Duration) -> Result<Verdict, String> {
    let late: Vec<(String, Duration)> = record
        .requests()
        .into_iter()
        .filter(|request| request.at > bound)
        .map(|request| (request.id, request.at))
        .collect();
    let runs = record.runs();
    let run_by = |service: &str| {
        let is_late = |id: &String| late.iter().any(|(late, _)| late == id);
        let runs = runs.iter().filter(|run| run.service == service);
        runs.filter(|run| is_late(&run.id)).count()
    };
    let (old, new) = (run_by("bookings"), run_by("availability"));
    let text = format!(
        "of {} requests sent by machines in touch and later than 2 s after the ack of version 6, {old} were run by the \
         service of before, {new} by the new one",
        late.len()
    );
    if old + new == 0 {
        return Err(text);
    }
    Ok(match old {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
