//! Registers this host in the store and reads the records of the other hosts.
//!
//! The topic has two kinds of keys: `host/ADDRESS` with the record of a host, and `left/ADDRESS` with the latest
//! departure of a backend server there. All other changes are sent from daemon to daemon.
use std::{net::IpAddr, sync::Arc, time::Duration};

use jayrack_mesh::{hosts::HostRecord, server::ServerRecord};
use jayrack_platform::store::{Error, KeyedRecord};
use tokio::time::sleep;

use super::ControlState;

/// Topic with the hosts of the fleet.
const TOPIC: &str = "jayrack-hosts";
const HOST_PREFIX: &str = "host/";
const LEFT_PREFIX: &str = "left/";

/// Backoff after a failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 150;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_200;

/// Writes this host's record, then reads those of the others; retries until both have succeeded.
///
/// Since each host writes before it reads, at least one of two hosts that start at the same time finds the other.
pub async fn register(control: Arc<ControlState>) {
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    let mut is_written = false;
    loop {
        match try_register(&control, &mut is_written).await {
            Ok(()) => return,
            Err(error) => {
                log::warn!(error:% = error, written = is_written, pause_ms = backoff_ms; "hosts not read");
                sleep(Duration::from_millis(
                    backoff_ms + control.gossip.jitter_ms(backoff_ms),
                ))
                .await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

async fn try_register(control: &ControlState, is_written: &mut bool) -> Result<(), Error> {
    if !*is_written {
        let record = HostRecord {
            server: None,
            ..control.gossip.own_record()
        };
        let key = format!("{HOST_PREFIX}{}", record.address);
        control.store.put(TOPIC, &key, &encode(&record)?).await?;
        *is_written = true;
    }
    let newest = control.store.newest(TOPIC).await?;
    let local = control.mesh.settings.host.address;
    for record in &newest.records {
        if let Err(error) = apply_record(control, record, local) {
            log::warn!(key = record.key.as_str(), error:% = error; "record of a host not decoded");
        }
    }
    log::info!(hosts = control.mesh.directory().len(), records = newest.records.len(); "hosts read");
    control.gossip.set_restored(&control.mesh);
    control.gossip.publish(&control.mesh).await;
    Ok(())
}

fn apply_record(
    control: &ControlState,
    record: &KeyedRecord,
    local: IpAddr,
) -> Result<(), serde_json::Error> {
    if let Some(address) = record.key.strip_prefix(LEFT_PREFIX) {
        if address == local.to_string() {
            let left: ServerRecord = serde_json::from_slice(&record.value)?;
            log::info!(instance = left.instance.as_str(), phase:? = left.phase; "restored the record of an earlier departure");
            let mut tracker = control.mesh.tracker();
            tracker.departure_stored(&left);
            tracker.restore(left);
        }
        return Ok(());
    }
    if record.key.starts_with(HOST_PREFIX) {
        let host: HostRecord = serde_json::from_slice(&record.value)?;
        if host.address != local {
            control.mesh.directory().merge(&host);
        }
    }
    Ok(())
}

/// Writes the departure of the backend server beside the daemon to the store unless it is stored already.
///
/// # Errors
///
/// Fails if the store did not acknowledge the record; it may have been written all the same.
pub async fn record_departure(control: Arc<ControlState>) -> Result<(), Error> {
    let _writing = control.departure_writing.lock().await;
    let Some(record) = control.mesh.tracker().unstored_departure().cloned() else {
        return Ok(());
    };
    let key = format!("{LEFT_PREFIX}{}", control.mesh.settings.host.address);
    control.store.put(TOPIC, &key, &encode(&record)?).await?;
    control.mesh.tracker().departure_stored(&record);
    Ok(())
}

fn encode(record: &impl serde::Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(record).map_err(|error| Error::Malformed(error.to_string()))
}
