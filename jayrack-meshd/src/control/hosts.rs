//! Registration of this host in the store: when its records are written and those of the other hosts are read.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::era::StoreEra;
use jayrack_platform::store::Error;
use tokio::time::{sleep, timeout};

use super::{
    ControlState,
    host_records::{self, ListingUse},
    sync,
};

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

/// What the store holds of this host.
#[derive(Debug, Clone, Copy)]
enum Registration {
    /// Everything that the next process at this address needs, as of this era of the store.
    Complete(Option<StoreEra>),
    /// Perhaps not everything that an earlier process has written, since the store has come back from a copy.
    Doubtful,
}

/// A record of this host that this process has written.
#[derive(Debug, Clone, Copy)]
struct WrittenRecord {
    /// Era in which the store acknowledged it.
    era: Option<StoreEra>,
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
            Ok(registration) => return registration,
            Err(error) => {
                log::warn!(error:% = error, written = written.is_some(), pause_ms = backoff_ms; "records of this host not written again");
                let jitter_ms = control.gossip.jitter_ms(backoff_ms);
                sleep(Duration::from_millis(backoff_ms + jitter_ms)).await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Writes the records of this host, unless `written` says that this was done, and reads those of the others.
async fn try_register_again(
    control: &ControlState,
    written: &mut Option<WrittenRecord>,
) -> Result<Registration, Error> {
    let era = match written {
        Some(written) => written.era,
        None => host_records::write_complete(control).await?,
    };
    *written = Some(WrittenRecord { era });
    host_records::read(control, ListingUse::OtherHosts).await?;
    Ok(Registration::Complete(era))
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

/// Reads the hosts, and writes the record of this one unless an earlier process at this address has written it. `written` says
/// whether this process has done so.
async fn try_register(
    control: &ControlState,
    written: &mut Option<WrittenRecord>,
) -> Result<Registration, Error> {
    if written.is_none() && control.mesh.settings.first_start {
        let era = host_records::write_complete(control).await?;
        *written = Some(WrittenRecord { era });
    }
    let listing = loop {
        let listing = host_records::read(control, ListingUse::Start).await?;
        let is_written = written.is_some_and(|written| written.era == listing.era);
        if listing.is_listed || is_written {
            break listing;
        }
        // What an earlier process has acknowledged is not known yet.
        let era = host_records::write_host(control).await?;
        *written = Some(WrittenRecord { era });
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
