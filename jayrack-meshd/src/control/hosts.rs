//! Registers this host in the store and reads the records of the other hosts.
//!
//! The topic has two kinds of keys: `host/ADDRESS` with the record of a host, and `left/ADDRESS` with the latest
//! departure of a backend server there. All other changes are sent from daemon to daemon.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::{era::StoreEra, hosts::HostRecord, server::ServerRecord};
use jayrack_platform::store::{Error, KeyedRecord};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, timeout};

use super::{ControlState, sync};

/// Topic with the hosts of the fleet.
const TOPIC: &str = "jayrack-hosts";
const HOST_PREFIX: &str = "host/";
const LEFT_PREFIX: &str = "left/";

/// Backoff after a failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Maximum number of other daemons that are asked at once for the state of an earlier process; some may not answer.
const MAX_QUESTIONS: u32 = 6;
/// Interval between two checks whether the state of an earlier process has been restored.
const RESTORE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Mean time between two hosts that write their records again after the store has come back from a copy, in milliseconds:
/// far fewer writes than the store takes.
const REWRITE_SHARE_MS: u64 = 4;
/// Longest time over which these writes are spread, in milliseconds: a departure is to be in the store again within two
/// seconds, of which detection takes a part.
const MAX_REWRITE_SPREAD_MS: u64 = 1_200;
/// Interval between two checks whether the first configuration has arrived.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Backoff once other daemons have supplied the hosts and the state of an earlier process, in milliseconds.
const RESTORED_BACKOFF_MS: u64 = 5_000;
/// Backoff after a departure could not be written; it doubles with each further failure.
const DEPARTURE_BACKOFF: Duration = Duration::from_secs(2);
/// Largest number of doublings of [`DEPARTURE_BACKOFF`].
const MAX_DEPARTURE_DOUBLINGS: u32 = 1;

/// Value of the record of a host.
#[derive(Debug, Serialize, Deserialize)]
struct StoredHost {
    #[serde(flatten)]
    record: HostRecord,
    /// Era of the store in which the latest departure from the host was stored when its daemon wrote the record; `None` if
    /// the store states no eras, or if the daemon did not know yet what an earlier process had acknowledged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    complete_era: Option<StoreEra>,
}

/// What the store holds of this host.
#[derive(Debug, Clone, Copy)]
enum Registration {
    /// Everything that the next process at this address needs, as of this era of the store.
    Complete(Option<StoreEra>),
    /// Perhaps not everything that an earlier process has written, since the store has come back from a copy.
    Doubtful,
}

/// Records of the topic, applied to the directory.
#[derive(Debug, Default)]
struct HostListing {
    /// Era of the listing.
    era: Option<StoreEra>,
    /// Whether there is a record of this host as this process would write it.
    is_listed: bool,
    /// [`StoredHost::complete_era`] of this host's record.
    complete_era: Option<StoreEra>,
}

/// Registers this host in the store and reads the records of the others, at the start and each time that the store has
/// come back from a copy, for as long as the process runs.
///
/// Each host reads after its record is in the store, so at least one of two hosts that write at the same time finds the
/// other.
pub async fn register(control: Arc<ControlState>) {
    let mut registration = register_first(&control).await;
    control.registered.send_replace(true);
    let mut eras = control.store.eras().subscribe();
    loop {
        match registration {
            Registration::Complete(era) => {
                if eras.wait_for(|latest| *latest > era).await.is_err() {
                    // The client of the store is gone.
                    return;
                }
                prepare_return(&control, era).await;
            }
            Registration::Doubtful => restore_from_others(&control).await,
        }
        registration = register_again(&control).await;
    }
}

/// Asks other daemons for the state of an earlier process; returns when it is known or the time limit for that is over.
async fn restore_from_others(control: &ControlState) {
    let mut questions = 0;
    while !control.gossip.is_restored() {
        let source = control.gossip.configuration_source(&control.mesh);
        let source = source.filter(|source| control.gossip.needs_restore(*source));
        // Later, the daemons that send a datagram are asked.
        if let Some(source) = source.filter(|_| questions < MAX_QUESTIONS) {
            questions += 1;
            sync::pull_hosts(control, source).await;
        } else {
            sleep(RESTORE_CHECK_INTERVAL).await;
        }
    }
}

/// Registers at the start; retries until that has succeeded.
async fn register_first(control: &ControlState) -> Registration {
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    let mut written = None;
    loop {
        match try_register(control, &mut written).await {
            Ok(registration) => return registration,
            Err(error) => {
                if control.gossip.is_state_known() {
                    backoff_ms = RESTORED_BACKOFF_MS;
                }
                let is_written = written.is_some();
                log::warn!(error:% = error, written = is_written, pause_ms = backoff_ms; "hosts not read");
                let jitter_ms = control.gossip.jitter_ms(backoff_ms);
                back_off(control, Duration::from_millis(backoff_ms + jitter_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Reports that the store has come back from a copy, and waits for this host's share of the time in which all hosts write
/// their records again.
async fn prepare_return(control: &ControlState, era: Option<StoreEra>) {
    let (mesh, eras) = (&control.mesh, control.store.eras());
    let latest = eras.latest();
    log::warn!(era:? = latest, previous:? = era; "the store has come back from a copy; writing the records of this host again");
    mesh.metrics.count_state_change("store-returned");
    if eras.proved() == latest {
        // Most other daemons do not call the store by themselves.
        control.gossip.announce(mesh).await;
    }
    let hosts = mesh.directory().len() as u64;
    let spread_ms = (hosts * REWRITE_SHARE_MS).min(MAX_REWRITE_SPREAD_MS);
    sleep(Duration::from_millis(control.gossip.jitter_ms(spread_ms))).await;
}

/// Writes the records of this host again and reads those of the others; retries until both have succeeded.
async fn register_again(control: &ControlState) -> Registration {
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    let mut written = None;
    loop {
        match try_register_again(control, &mut written).await {
            Ok(era) => return Registration::Complete(era),
            Err(error) => {
                log::warn!(error:% = error, written = written.is_some(), pause_ms = backoff_ms; "records of this host not written again");
                let jitter_ms = control.gossip.jitter_ms(backoff_ms);
                sleep(Duration::from_millis(backoff_ms + jitter_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Writes the records of this host, unless `written` says in which era that was done, and reads those of the others.
async fn try_register_again(
    control: &ControlState,
    written: &mut Option<Option<StoreEra>>,
) -> Result<Option<StoreEra>, Error> {
    let era = match *written {
        Some(era) => era,
        None => write_complete_records(control).await?,
    };
    *written = Some(era);
    read_hosts(control, ListingUse::OtherHosts).await?;
    Ok(era)
}

/// Waits for `backoff`, or until the first configuration arrives: the store probably answers again then, and the server
/// gets no requests before the state of an earlier process is known.
async fn back_off(control: &ControlState, backoff: Duration) {
    if control.mesh.version() > 0 {
        return sleep(backoff).await;
    }
    let configured = async {
        while control.mesh.version() == 0 {
            sleep(CONFIGURATION_CHECK_INTERVAL).await;
        }
        let jitter_ms = control.gossip.jitter_ms(INITIAL_BACKOFF_MS);
        sleep(Duration::from_millis(jitter_ms)).await;
    };
    // Ends with the backoff at the latest.
    let _ = timeout(backoff, configured).await;
}

/// Reads the hosts, and writes the record of this one unless an earlier process at this address has written it. `written` is
/// the era in which this process has done so.
async fn try_register(
    control: &ControlState,
    written: &mut Option<Option<StoreEra>>,
) -> Result<Registration, Error> {
    if written.is_none() && control.mesh.settings.first_start {
        *written = Some(write_complete_records(control).await?);
    }
    let listing = loop {
        let listing = read_hosts(control, ListingUse::Start).await?;
        if listing.is_listed || *written == Some(listing.era) {
            break listing;
        }
        // What an earlier process has acknowledged is not known yet.
        let own = to_stored(control, None);
        let key = host_key(control);
        *written = Some(control.store.put(TOPIC, &key, &encode(&own)?).await?);
    };
    let is_complete = listing.complete_era == listing.era;
    match is_complete {
        true => control.gossip.set_restored(&control.mesh),
        false => control.gossip.doubt_store(&control.mesh),
    }
    control.gossip.publish(&control.mesh).await;
    Ok(match is_complete {
        true => Registration::Complete(listing.era),
        false => Registration::Doubtful,
    })
}

/// Writes the record of this host and the latest departure from it; returns the era of the store that holds both.
async fn write_complete_records(control: &ControlState) -> Result<Option<StoreEra>, Error> {
    let _writes = control.departure_writes.lock().await;
    loop {
        let era = control.store.eras().latest();
        let departure = control.mesh.tracker().latest_departure().cloned();
        let host = (host_key(control), encode(&to_stored(control, era))?);
        let mut values = vec![host];
        if let Some(record) = &departure {
            values.push((departure_key(control), encode(record)?));
        }
        let borrowed: Vec<(&str, &[u8])> = values
            .iter()
            .map(|(key, value)| (key.as_str(), value.as_slice()))
            .collect();
        let stored_era = control.store.put_all(TOPIC, &borrowed).await?;
        if let Some(record) = &departure {
            control.mesh.tracker().departure_stored(record, stored_era);
        }
        // Otherwise the record states an era in which it has not been written.
        if stored_era == era {
            return Ok(era);
        }
    }
}

fn host_key(control: &ControlState) -> String {
    format!("{HOST_PREFIX}{}", control.mesh.settings.host.address)
}

fn departure_key(control: &ControlState) -> String {
    format!("{LEFT_PREFIX}{}", control.mesh.settings.host.address)
}

/// Record of this host for the store. Its revision is that of a daemon that has just started, so that it replaces no record
/// which another daemon has received from this one.
fn to_stored(control: &ControlState, complete_era: Option<StoreEra>) -> StoredHost {
    let record = HostRecord {
        revision: 0,
        server: None,
        is_restoring: true,
        ..control.gossip.own_record()
    };
    StoredHost {
        record,
        complete_era,
    }
}

/// What a listing is read for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ListingUse {
    /// Other hosts, and the state of an earlier process at this address.
    Start,
    /// Other hosts only: this process knows its own state better than the store.
    OtherHosts,
}

/// Reads the records of the topic and applies them.
async fn read_hosts(control: &ControlState, listing_use: ListingUse) -> Result<HostListing, Error> {
    let newest = control.store.newest(TOPIC).await?;
    let own = control.gossip.own_record();
    let mut listing = HostListing {
        era: newest.next.era,
        ..HostListing::default()
    };
    let own_keys = [host_key(control), departure_key(control)];
    let is_used =
        |record: &&KeyedRecord| listing_use == ListingUse::Start || !own_keys.contains(&record.key);
    // Departures apply to hosts that are known.
    let is_departure = |record: &&KeyedRecord| record.key.starts_with(LEFT_PREFIX);
    let records = || newest.records.iter().filter(is_used);
    let hosts = records().filter(|record| !is_departure(record));
    for record in hosts.chain(records().filter(is_departure)) {
        if let Err(error) = apply_record(control, record, &own, &mut listing) {
            log::warn!(key = record.key.as_str(), error:% = error; "record of a host not decoded");
        }
    }
    log::info!(hosts = control.mesh.directory().len(), records = newest.records.len(), registered = listing.is_listed; "hosts read");
    Ok(listing)
}

/// Applies a record of the topic; what it says of this host, `own`, is entered into `listing`.
fn apply_record(
    control: &ControlState,
    record: &KeyedRecord,
    own: &HostRecord,
    listing: &mut HostListing,
) -> Result<(), Error> {
    if let Some(address) = record.key.strip_prefix(LEFT_PREFIX) {
        let left: ServerRecord = decode(&record.value)?;
        if address == own.address.to_string() {
            log::info!(instance = left.instance.as_str(), phase:? = left.phase; "restored the record of an earlier departure");
            control.mesh.tracker().departure_stored(&left, listing.era);
            control.gossip.restore_server(&control.mesh, left);
        } else if let Ok(address) = address.parse() {
            control.mesh.directory().restore_departure(address, &left);
        }
        return Ok(());
    }
    if !record.key.starts_with(HOST_PREFIX) {
        return Ok(());
    }
    let stored: StoredHost = decode(&record.value)?;
    let stated = stored.record;
    if record.key != format!("{HOST_PREFIX}{}", stated.address) || !stated.is_plausible() {
        return Err(Error::Malformed("not written by that host".to_string()));
    }
    // Servers are learned from the daemons beside them.
    let host = HostRecord {
        server: None,
        is_restoring: true,
        ..stated
    };
    if host.address != own.address {
        control.mesh.directory().merge(&host);
        return Ok(());
    }
    control.gossip.refute(&control.mesh, &host);
    listing.is_listed = host.is_same_host(own);
    listing.complete_era = stored.complete_era;
    Ok(())
}

/// Failed writes of departures, and when the next one is tried.
#[derive(Debug, Default)]
pub struct DepartureWrites {
    failures: u32,
    retry_at: Option<Instant>,
}

/// Writes the departure of the backend server beside the daemon to the store; returns whether it is stored.
///
/// The server reports more often than a store in trouble is worth asking, since failed calls are charged as well:
/// after a failed write the next one is only tried when the backoff is over.
///
/// # Errors
///
/// Fails if the store did not acknowledge the record; it may have been written all the same.
pub async fn record_departure(control: Arc<ControlState>) -> Result<bool, Error> {
    let mut writes = control.departure_writes.lock().await;
    let latest = control.store.eras().latest();
    let Some(record) = control.mesh.tracker().unstored_departure(latest).cloned() else {
        return Ok(true);
    };
    if writes.retry_at.is_some_and(|at| Instant::now() < at) {
        return Ok(false);
    }
    let key = departure_key(&control);
    let era = match control.store.put(TOPIC, &key, &encode(&record)?).await {
        Ok(era) => era,
        Err(error) => {
            let doublings = writes.failures.min(MAX_DEPARTURE_DOUBLINGS);
            writes.failures += 1;
            writes.retry_at = Some(Instant::now() + DEPARTURE_BACKOFF * (1 << doublings));
            return Err(error);
        }
    };
    *writes = DepartureWrites::default();
    control.mesh.tracker().departure_stored(&record, era);
    Ok(true)
}

fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|error| Error::Malformed(error.to_string()))
}

fn encode(record: &impl serde::Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(record).map_err(|error| Error::Malformed(error.to_string()))
}
