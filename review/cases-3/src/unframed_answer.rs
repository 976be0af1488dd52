//! An answer without a length is reset midway and arrives at the caller as a complete one.
use std::time::Duration;

use tokio::time::sleep;

use crate::{
    callers,
    fleet::{self, ALL_HOSTS, AddressRange, DOWNLOADS, Fleet, Site},
    record::{CaseRecord, Verdict},
    servers::UNFRAMED_BYTES,
    store::StoreStandin,
};

/// Time for which one server of the service is faulty.
const FAULT_TIME: Duration = Duration::from_secs(5);
/// Successes without which the case has not run.
const MIN_ANSWERS: usize = 100;

pub async fn run(record: &CaseRecord, has_trouble: bool) -> Result<Verdict, String> {
    let range = AddressRange::new();
    let store = StoreStandin::start(range.store())
        .await
        .map_err(|error| error.to_string())?;
    let first = fleet::configuration(3, 0, "bookings", 0);
    fleet::put_configuration(&store, record, &first, "version 3").await;
    let fleet = Fleet::start(range, range.store(), Site::Turnio, ALL_HOSTS, record).await?;
    fleet.until_ready(record).await?;
    let servers: Vec<_> = fleet
        .servers
        .iter()
        .filter(|server| server.host.service == "drawings")
        .collect();
    for server in &servers {
        server.answer_without_length();
    }
    let daemons = fleet.daemons.iter();
    let callers: Vec<_> = daemons
        .map(|daemon| callers::start(&daemon.host, DOWNLOADS, record))
        .collect();
    sleep(Duration::from_secs(8)).await;

    servers[0].set_faulty(has_trouble);
    sleep(FAULT_TIME).await;
    servers[0].set_faulty(false);
    record.note("no more answers are broken off");
    sleep(Duration::from_secs(3)).await;
    callers.iter().for_each(|callers| callers.abort());
    // The answers under way arrive before the daemons are killed.
    sleep(Duration::from_secs(3)).await;
    fleet.close();
    judge(record)
}

/// Successes that arrived to their end without the whole body of the server.
fn judge(record: &CaseRecord) -> Result<Verdict, String> {
    let requests = record.requests();
    let successes: Vec<_> = requests
        .iter()
        .filter(|request| matches!(request.answer, Some((200, _))))
        .collect();
    let cut: Vec<String> = successes
        .iter()
        .filter(|request| request.body_bytes != UNFRAMED_BYTES)
        .map(|request| format!("{} with {} bytes", request.id, request.body_bytes))
        .collect();
    let text = format!(
        "of {} successes that look complete, {} have not the {UNFRAMED_BYTES} bytes that the server had for them: {}",
        successes.len(),
        cut.len(),
        cut.join(", ")
    );
    if successes.len() < MIN_ANSWERS {
        return Err(text);
    }
    Ok(match cut.is_empty() {
        true => Verdict::Held(text),
        false => Verdict::Broken(text),
    })
}
