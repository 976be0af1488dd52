//! Records of hosts and of departures in the store.
//!
//! The topic has two kinds of keys: `host/ADDRESS` with the record of a host, and `left/ADDRESS` with the latest
//! departure of a backend server there. All other changes are sent from daemon to daemon.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::{era::StoreEra, hosts::HostRecord, server::ServerRecord};
use jayrack_platform::store::{Error, KeyedRecord};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::ControlState;

/// Topic with the hosts of the fleet.
const TOPIC: &str = "jayrack-hosts";
const HOST_PREFIX: &str = "host/";
const LEFT_PREFIX: &str = "left/";

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

/// Records of the topic, applied to the directory.
#[derive(Debug, Default)]
pub struct HostListing {
    /// Era of the listing.
    pub era: Option<StoreEra>,
    /// Whether there is a record of this host as this process would write it.
    pub is_listed: bool,
    /// Era in which this host's record says that the store holds everything that the next process needs.
    pub complete_era: Option<StoreEra>,
}

/// Writes the record of this host alone; returns the era in which the store has acknowledged it.
///
/// The record does not state that the store holds everything which an earlier process has acknowledged.
///
/// # Errors
///
/// Fails if the store did not acknowledge the record; it may have been written all the same.
pub async fn write_host(control: &ControlState) -> Result<Option<StoreEra>, Error> {
    let record = encode(&to_stored(control, None))?;
    let key = host_key(control);
    control.store.put(TOPIC, &key, &record).await
}

/// Writes the record of this host and the latest departure from it; returns the era of the store that holds both.
///
/// # Errors
///
/// Fails if the store did not acknowledge the records; they may have been written all the same.
pub async fn write_complete(control: &ControlState) -> Result<Option<StoreEra>, Error> {
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
pub enum ListingUse {
    /// Other hosts, and the state of an earlier process at this address.
    Start,
    /// Other hosts only: this process knows its own state better than the store.
    OtherHosts,
}

/// Reads the records of the topic and applies them.
///
/// # Errors
///
/// Fails if the records could not be read. Records that cannot be decoded are left out.
pub async fn read(control: &ControlState, listing_use: ListingUse) -> Result<HostListing, Error> {
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
