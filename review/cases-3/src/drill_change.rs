//! After a drill of the store, a change of the configuration lies at an offset that the readers believe they have read.
use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::{
    callers,
    fleet::{self, ALL_HOSTS, AddressRange, Fleet, ORDERS, Site},
    record::{CaseRecord, Verdict},
    store::StoreStandin,
};

/// Time between the two changes before the drill: configurations in quick succession.
const CHANGE_GAP: Duration = Duration::from_millis(330);
/// Time from the last of them to the absence.
const BEFORE_ABSENCE: Duration = Duration::from_millis(1_000);
/// Length of the absence.
const ABSENCE: Duration = Duration::from_secs(2);
/// `config_apply_s`, and `max_skew_s` by which an unstable core stretches it.
const APPLY_BOUND: Duration = Duration::from_secs(2);
const MAX_SKEW: Duration = Duration::from_secs(5);
/// `stable_window_s`.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which the requests after the bound are watched.
const WATCH_TIME: Duration = Duration::from_secs(15);
/// Requests after the bound without which the case has not run.
const MIN_REQUESTS: usize = 50;

pub async fn run(record: &CaseRecord, has_trouble: bool) -> Result<Verdict, String> {
    let range = AddressRange::new();
    let store = StoreStandin::start(range.store())
        .await
        .map_err(|error| error.to_string())?;
    let first = fleet::configuration(3, 0, "bookings", 0);
    fleet::put_configuration(&store, record, &first, "version 3").await;
    let fleet = Fleet::start(range, range.store(), Site::Turnio, ALL_HOSTS, record).await?;
    fleet.until_ready(record).await?;
    for daemon in &fleet.daemons {
        callers::start(&daemon.host, ORDERS, record);
    }
    sleep(Duration::from_secs(8)).await;

    // The copy from which the store comes back is as old as this moment.
    let copied_at = Instant::now();
    record.note("the store is copied");
    sleep(Duration::from_millis(300)).await;
    let second = fleet::configuration(5, 3, "bookings", 1);
    fleet::put_configuration(&store, record, &second, "version 5").await;
    sleep(CHANGE_GAP).await;
    let third = fleet::configuration(6, 5, "bookings", 2);
    fleet::put_configuration(&store, record, &third, "version 6").await;
    sleep(BEFORE_ABSENCE).await;

    if has_trouble {
        store.go_away();
        record.note("the store goes away");
    }
    // The next change is due during the absence; the operator sends it until the store takes it.
    let changing = tokio::spawn({
        let (store, record) = (store.clone(), record.clone());
        async move {
            if has_trouble {
                // What the copy does not have is written again first.
                fleet::put_configuration(&store, &record, &third, "version 6, again,").await;
            } else {
                sleep(ABSENCE).await;
            }
            let fourth = fleet::configuration(9, 6, "availability", 2);
            fleet::put_configuration(&store, &record, &fourth, "version 9").await
        }
    });
    if has_trouble {
        sleep(ABSENCE).await;
        store.come_back(copied_at);
        record.note("the store is back from the copy");
    }
    let back_at = record.now();
    let acknowledged_at = changing.await.map_err(|error| error.to_string())?;
    record.note(&store.summary("op"));
    let bound = (acknowledged_at + APPLY_BOUND + MAX_SKEW).max(back_at + STABLE_WINDOW);
    let ends_at = bound + WATCH_TIME;
    sleep(ends_at.saturating_sub(record.now())).await;
    sleep(Duration::from_secs(1)).await;
    fleet.close();
    judge(record, bound)
}

/// Requests that were sent after the bound and run by the service of before.
fn judge(record: &CaseRecord, bound: Duration) -> Result<Verdict, String> {
    let late: Vec<String> = record
        .requests()
        .into_iter()
        .filter(|request| request.at > bound)
        .map(|request| request.id)
        .collect();
    let runs = record.runs();
    let run_by = |service: &str| {
        let is_late = |id: &String| late.contains(id);
        runs.iter()
            .filter(|run| run.service == service && is_late(&run.id))
            .count()
    };
    let (old, new) = (run_by("bookings"), run_by("availability"));
    let text = format!(
        "of {} requests sent later than 7 s after the ack of version 9, {old} were run by the service of before, {new} \
         by the new one",
        late.len()
    );
    if late.len() < MIN_REQUESTS || old + new == 0 {
        return Err(text);
    }
    Ok(match old {
        0 => Verdict::Held(text),
        _ => Verdict::Broken(text),
    })
}
