//! Reads the operator's configuration from the store and puts it into force.
use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use jayrack_mesh::{delta::ChunkHashHistory, rollout::book::OrderSource};
use jayrack_platform::{
    configuration::{self, KEY, TOPIC},
    rollout,
    store::{Error, KeyedBatch, LogPosition},
};
use tokio::time::{Instant, sleep, timeout};

use super::{ControlState, sync};
use crate::shared::{MeshState, boot_ms};

/// Time that the store is asked to wait for a change; a silent store is detected after this time and the wait grace.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Part of the interval between two reads that is spent waiting for a change where the age of the knowledge is bounded.
const POLL_WAIT_DIVISOR: u32 = 4;
/// Time for which a host that is no reader keeps its position, so that it does not read the whole configuration again
/// each time that it renews its knowledge itself; after a longer time it would read many changes one after the other.
const OFFSET_KEEP_TIME: Duration = Duration::from_secs(10);
/// Interval between two checks whether this host has become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a change, so that changes in quick succession are read together.
const COALESCING_DELAY: Duration = Duration::from_millis(500);
/// Backoff after a failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 100;
/// Longest backoff, in milliseconds.
const MAX_BACKOFF_MS: u64 = 800;

/// Time that the daemon waits for the list of hosts before it reads its first configuration from the store.
const HOSTS_WAIT: Duration = Duration::from_millis(500);
/// Time limit for fetching the first configuration from another daemon.
const FIRST_PULL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after the fleet's first start until all daemons know each other, so that the readers are the same everywhere.
const SETTLING_TIME: Duration = Duration::from_millis(400);
/// Time after the fleet's first start for which a daemon waits for the readers' announcement of the first
/// configuration.
const FIRST_ANNOUNCEMENT_WAIT: Duration = Duration::from_secs(3);

/// Configuration in force, as the operator wrote it.
#[derive(Default)]
pub struct AcceptedConfiguration {
    /// Version that the operator gave it; 0 before the first configuration.
    pub version: u64,
    /// Value of the store's record.
    pub bytes: Bytes,
    /// Chunk hashes of this version and of earlier ones, to compute deltas for daemons that have one of these.
    pub chunk_hashes: ChunkHashHistory,
}

impl std::fmt::Debug for AcceptedConfiguration {
    /// Leaves out the value, which contains API keys.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AcceptedConfiguration")
            .field("version", &self.version)
            .field("bytes", &self.bytes.len())
            .finish_non_exhaustive()
    }
}

/// Reads the configuration from the store for as long as the process runs: the first one in any case, later ones
/// while this host is a reader.
pub async fn follow(control: Arc<ControlState>) {
    let mut next: Option<LogPosition> = None;
    let mut backoff_ms = INITIAL_BACKOFF_MS;
    let waits_until = prepare_first(&control).await;
    let mut read_at = Instant::now();
    loop {
        let is_missing = control.mesh.version() == 0 && Instant::now() >= waits_until;
        let is_needed =
            is_missing || control.gossip.is_reader(&control.mesh) || needs_own_read(&control);
        if !is_needed {
            // Other daemons announce the changes until this host becomes a reader.
            next = next.filter(|_| {
                let is_bounded = control.mesh.knowledge().read_interval_ms().is_some();
                is_bounded && read_at.elapsed() < OFFSET_KEEP_TIME
            });
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        read_at = Instant::now();
        let schedule = ReadSchedule::start(&control.mesh);
        let source = match next {
            None => OrderSource::Newest,
            Some(_) => OrderSource::Change,
        };
        let read = match next {
            None => control.store.newest(TOPIC).await,
            Some(from) => control.store.changes(TOPIC, from, schedule.wait()).await,
        };
        let reaches_store = match &read {
            Ok(_) | Err(Error::Expired(_)) => true,
            // This may be known without a call.
            Err(Error::Superseded) => control.gossip.reaches_store(),
            Err(_) => false,
        };
        if control.gossip.set_reaches_store(reaches_store) {
            log::info!(reached = reaches_store; "store");
            control.mesh.metrics.count_state_change(if reaches_store {
                "store-regained"
            } else {
                "store-lost"
            });
            control.gossip.announce(&control.mesh).await;
        }
        match read {
            Ok(records) => {
                backoff_ms = INITIAL_BACKOFF_MS;
                // Records that are missing although none is new have been lost by the store.
                let is_cut = !records.is_complete && records.records.is_empty();
                next = Some(records.next).filter(|_| !is_cut);
                add_orders(&control.mesh, &records, source);
                let is_changed = apply_newest(&control.mesh, &records);
                confirm(&control.mesh, schedule.began_ms, &records);
                if is_changed {
                    control.gossip.announce(&control.mesh).await;
                    sleep(COALESCING_DELAY).await;
                }
                if records.is_complete || is_cut {
                    sleep(schedule.pause()).await;
                }
            }
            Err(error @ (Error::Expired(_) | Error::Superseded)) => {
                log::info!(error:% = error; "changes not readable; reading the newest configuration");
                next = None;
            }
            Err(error) => {
                log::warn!(error:% = error, pause_ms = backoff_ms; "configuration not read");
                sleep(Duration::from_millis(
                    backoff_ms + control.gossip.jitter_ms(backoff_ms),
                ))
                .await;
                backoff_ms = (backoff_ms * 2).min(MAX_BACKOFF_MS);
            }
        }
    }
}

/// Whether this host reads the store although others are readers: datagrams have not renewed its knowledge for long,
/// and the store answered at the last try. If it did not, only readers try again, since failed calls are charged, too.
fn needs_own_read(control: &ControlState) -> bool {
    let mesh = &control.mesh;
    let needs_read = mesh
        .knowledge()
        .needs_own_read(boot_ms(), mesh.started_boot_ms());
    needs_read && mesh.version() > 0 && control.gossip.reaches_store()
}

/// Times of one call to the store by a reader.
#[derive(Debug, Clone, Copy)]
struct ReadSchedule {
    /// When the call began, by [`boot_ms`].
    began_ms: u64,
    /// Time between the beginnings of two calls where the age of the knowledge is bounded.
    interval: Option<Duration>,
}

impl ReadSchedule {
    fn start(mesh: &MeshState) -> Self {
        let interval_ms = mesh.knowledge().read_interval_ms();
        Self {
            began_ms: boot_ms(),
            interval: interval_ms.map(Duration::from_millis),
        }
    }

    /// Time that the store is asked to wait for a change. The age of the knowledge counts from the beginning of the
    /// call, so that only a part of the interval may be spent waiting.
    fn wait(&self) -> Duration {
        self.interval
            .map_or(POLL_WAIT, |interval| interval / POLL_WAIT_DIVISOR)
    }

    /// Time until the next call.
    fn pause(&self) -> Duration {
        let elapsed = Duration::from_millis(boot_ms().saturating_sub(self.began_ms));
        self.interval.unwrap_or_default().saturating_sub(elapsed)
    }
}

/// Records that no later version than the one in force existed when the call that returned `records` began.
///
/// A newer record that was refused as invalid never comes into force at any daemon, so it does not count.
fn confirm(mesh: &MeshState, began_ms: u64, records: &KeyedBatch) {
    if records.is_complete {
        let in_force = mesh.version();
        mesh.knowledge().confirm(began_ms, in_force);
    }
}

/// Fetches the first configuration from another daemon if possible, since each call to the store is charged; returns
/// until when the readers' announcement of it is waited for.
async fn prepare_first(control: &ControlState) -> Instant {
    let mut registered = control.registered.subscribe();
    let registering = registered.wait_for(|is_registered| *is_registered);
    if timeout(HOSTS_WAIT, registering).await.is_err() {
        return Instant::now();
    }
    if control.mesh.settings.first_start {
        sleep(SETTLING_TIME).await;
        return Instant::now() + FIRST_ANNOUNCEMENT_WAIT;
    }
    if let Some(source) = control.gossip.configuration_source(&control.mesh) {
        let pulling = sync::pull_configuration(control, source);
        if timeout(FIRST_PULL_TIMEOUT, pulling).await.is_err() {
            log::info!(from:% = source; "first configuration not received in time");
        }
    }
    Instant::now()
}

/// Reads the newest configuration from the store, after other daemons announced one but could not supply it.
pub async fn read_newest(control: &ControlState) {
    let began_ms = boot_ms();
    match control.store.newest(TOPIC).await {
        Ok(records) => {
            add_orders(&control.mesh, &records, OrderSource::Newest);
            apply_newest(&control.mesh, &records);
            confirm(&control.mesh, began_ms, &records);
        }
        Err(error) => log::warn!(error:% = error; "configuration not read"),
    }
}

/// Adds the orders of roll-outs among `records`.
fn add_orders(mesh: &MeshState, records: &KeyedBatch, source: OrderSource) {
    if !mesh.rollouts().is_enabled() {
        return;
    }
    let hosts = mesh.directory().len();
    let orders = records.records.iter();
    for record in orders.filter(|record| rollout::is_rollout(&record.key)) {
        let order = match rollout::decode_order(record, records.next.era) {
            Ok(order) => order,
            Err(error) => {
                log::warn!(key = record.key.as_str(), offset = record.offset, error:% = error; "roll-out refused");
                mesh.metrics.count_state_change("rollout-refused");
                continue;
            }
        };
        let (service, version) = (order.service.clone(), order.target_version.clone());
        let duration_ms = order.duration_ms;
        let now_ms = mesh.boot_now_ms();
        if mesh.rollouts().add_order(now_ms, order, source, hosts) {
            log::info!(service = service.as_str(), target_version = version.as_str(), duration_ms = duration_ms, offset = record.offset; "roll-out ordered");
            mesh.metrics.count_state_change("rollout-ordered");
        }
    }
}

/// Applies the newest valid configuration among `records`; returns whether there was any record.
fn apply_newest(mesh: &MeshState, records: &KeyedBatch) -> bool {
    let is_configuration = |record: &&_| -> bool {
        let record: &jayrack_platform::store::KeyedRecord = record;
        record.key == KEY
    };
    for record in records.records.iter().rev().filter(is_configuration) {
        match apply(mesh, &record.value) {
            Ok(_) => return true,
            Err(error) => {
                log::error!(offset = record.offset, error:% = error; "configuration refused");
                mesh.metrics.count_state_change("configuration-refused");
            }
        }
    }
    !records.records.is_empty()
}

/// Puts a configuration into force if it is newer than the current one; returns whether it was.
///
/// # Errors
///
/// Fails if the record is invalid; the current configuration then stays in force unchanged.
pub fn apply(mesh: &MeshState, record: &[u8]) -> Result<bool, configuration::Error> {
    let routes = configuration::decode(record)?;
    let version = routes.version();
    let mut accepted = mesh.accepted();
    let in_force = accepted.version;
    if in_force >= version {
        return Ok(false);
    }
    let route_count = routes.len();
    mesh.routes.store(Some(Arc::new(routes)));
    accepted.version = version;
    accepted.bytes = Bytes::copy_from_slice(record);
    match std::str::from_utf8(record) {
        Ok(text) => accepted.chunk_hashes.add(version, text),
        Err(error) => {
            log::warn!(version = version, error:% = error; "configuration is not UTF-8; sending it to other daemons without deltas")
        }
    }
    log::info!(version = version, previous = in_force, routes = route_count; "configuration in force");
    mesh.metrics.count_state_change("configuration-applied");
    Ok(true)
}
