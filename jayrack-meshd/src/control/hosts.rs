//! Registers this host in the store and reads the records of the other hosts.
//!
//! The topic has two kinds of keys: `host/ADDRESS` with the record of a host, and `left/ADDRESS` with the latest
//! departure of a backend server there. All other changes are sent from daemon to daemon.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::{hosts::HostRecord, server::ServerRecord};
use jayrack_platform::store::{Error, KeyedRecord};
use tokio::time::{Instant, sleep, timeout};

use super::ControlState;

/// Topic with the hosts of the fleet.
const TOPIC: &str = "jayrack-hosts";
const HOST_PREFIX: &str = "host/";
const LEFT_PREFIX: &str = "left/";

/// Backoff after a failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_200;
/// Interval between two checks whether the first configuration has arrived.
const CONFIGURATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Backoff once other daemons have supplied the hosts and the state of an earlier process, in milliseconds.
const RESTORED_BACKOFF_MS: u64 = 5_000;
/// Backoff after a departure could not be written; it doubles with each further failure.
const DEPARTURE_BACKOFF: Duration = Duration::from_secs(2);
/// Largest number of doublings of [`DEPARTURE_BACKOFF`].
const MAX_DEPARTURE_DOUBLINGS: u32 = 1;

/// Registers this host in the store and reads the records of the others; retries until both have succeeded.
///
/// Each host reads after its record is in the store, so at least one of two hosts that start at the same time finds
/// the other.
pub async fn register(control: Arc<ControlState>) {
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    let mut is_written = false;
    loop {
        match try_register(&control, &mut is_written).await {
            Ok(()) => {
                control.registered.send_replace(true);
                return;
            }
            Err(error) => {
                if control.gossip.is_state_known() {
                    backoff_ms = RESTORED_BACKOFF_MS;
                }
                log::warn!(error:% = error, written = is_written, pause_ms = backoff_ms; "hosts not read");
                let jitter_ms = control.gossip.jitter_ms(backoff_ms);
                back_off(&control, Duration::from_millis(backoff_ms + jitter_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
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

/// Reads the hosts, and writes the record of this one unless an earlier process at this address has written it.
async fn try_register(control: &ControlState, is_written: &mut bool) -> Result<(), Error> {
    if !*is_written && control.mesh.settings.first_start {
        write_record(control).await?;
        *is_written = true;
    }
    loop {
        let newest = control.store.newest(TOPIC).await?;
        let own = control.gossip.own_record();
        let mut is_registered = *is_written;
        // Departures apply to hosts that are known.
        let is_departure = |record: &&KeyedRecord| record.key.starts_with(LEFT_PREFIX);
        let hosts = newest.records.iter().filter(|record| !is_departure(record));
        for record in hosts.chain(newest.records.iter().filter(is_departure)) {
            match apply_record(control, record, &own) {
                Ok(is_own) => is_registered |= is_own,
                Err(error) => {
                    log::warn!(key = record.key.as_str(), error:% = error; "record of a host not decoded")
                }
            }
        }
        log::info!(hosts = control.mesh.directory().len(), records = newest.records.len(), registered = is_registered; "hosts read");
        if is_registered {
            break;
        }
        write_record(control).await?;
        *is_written = true;
    }
    control.gossip.set_restored(&control.mesh);
    control.gossip.publish(&control.mesh).await;
    Ok(())
}

async fn write_record(control: &ControlState) -> Result<(), Error> {
    let record = HostRecord {
        server: None,
        is_restoring: true,
        ..control.gossip.own_record()
    };
    let key = format!("{HOST_PREFIX}{}", record.address);
    control.store.put(TOPIC, &key, &encode(&record)?).await?;
    Ok(())
}

/// Applies a record of the topic; returns whether it is the record of this host, `own`, as this process would write it.
fn apply_record(
    control: &ControlState,
    record: &KeyedRecord,
    own: &HostRecord,
) -> Result<bool, Error> {
    if let Some(address) = record.key.strip_prefix(LEFT_PREFIX) {
        let left: ServerRecord = decode(&record.value)?;
        if address == own.address.to_string() {
            log::info!(instance = left.instance.as_str(), phase:? = left.phase; "restored the record of an earlier departure");
            control.mesh.tracker().departure_stored(&left);
            control.gossip.restore_server(&control.mesh, left);
        } else if let Ok(address) = address.parse() {
            control.mesh.directory().restore_departure(address, &left);
        }
        return Ok(false);
    }
    if !record.key.starts_with(HOST_PREFIX) {
        return Ok(false);
    }
    let stated: HostRecord = decode(&record.value)?;
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
        return Ok(false);
    }
    control.gossip.refute(&control.mesh, &host);
    Ok(host.is_same_host(own))
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
    let Some(record) = control.mesh.tracker().unstored_departure().cloned() else {
        return Ok(true);
    };
    if writes.retry_at.is_some_and(|at| Instant::now() < at) {
        return Ok(false);
    }
    let key = format!("{LEFT_PREFIX}{}", control.mesh.settings.host.address);
    if let Err(error) = control.store.put(TOPIC, &key, &encode(&record)?).await {
        let doublings = writes.failures.min(MAX_DEPARTURE_DOUBLINGS);
        writes.failures += 1;
        writes.retry_at = Some(Instant::now() + DEPARTURE_BACKOFF * (1 << doublings));
        return Err(error);
    }
    *writes = DepartureWrites::default();
    control.mesh.tracker().departure_stored(&record);
    Ok(true)
}

fn decode<T: serde::de::DeserializeOwned>(value: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(value).map_err(|error| Error::Malformed(error.to_string()))
}

fn encode(record: &impl serde::Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(record).map_err(|error| Error::Malformed(error.to_string()))
}
