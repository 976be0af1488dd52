//! Directory of the hosts in the fleet with their newest records.
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};

use crate::server::{ServerPhase, ServerRecord};

/// Backoff after a host could not be reached, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Longest backoff after a host could not be reached, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Largest number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 3;

/// Most datagrams that a daemon sends per second, besides changes; in larger fleets the intervals grow instead.
const MAX_DATAGRAMS_PER_SECOND: u64 = 30;

/// Record of a host and its backend server, published by the daemon there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address of the host.
    pub address: IpAddr,
    /// Grows with each start of the host's daemon.
    pub epoch: u64,
    /// Grows with each change within one epoch.
    pub revision: u64,
    /// Data centre of the host.
    pub data_centre: String,
    /// Rate of the host's link, in megabits per second.
    pub link_mbps: u32,
    /// Listener for requests that other daemons forward.
    pub forward: SocketAddr,
    /// Listener for datagrams of other daemons.
    pub gossip: SocketAddr,
    /// Backend server beside the daemon, if one reported itself.
    pub server: Option<ServerRecord>,
    /// Whether the daemon is stopping.
    pub is_leaving: bool,
}

impl HostRecord {
    /// Epoch and revision; of two records of one host the later one compares greater.
    pub fn order(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// The backend server, if requests of `service` may be sent to it.
    pub fn serving(&self, service: &str) -> Option<&ServerRecord> {
        self.server.as_ref().filter(|server| {
            !self.is_leaving && server.service == service && server.phase == ServerPhase::Ready
        })
    }
}

/// A host's record and this daemon's observations of the host.
#[derive(Debug, Clone)]
pub struct HostEntry {
    /// Newest record of the host.
    pub record: HostRecord,
    /// When the last datagram of its daemon was received, in milliseconds; `None` if none was.
    pub last_received_ms: Option<u64>,
    /// Time until which the host is used only if there is no other, in milliseconds.
    pub backoff_until_ms: u64,
    /// Whether the store served its daemon at the last try, as last reported; true until reported.
    pub reaches_store: bool,
    failures: u32,
}

/// Known hosts, by address.
#[derive(Debug, Default)]
pub struct HostDirectory {
    hosts: BTreeMap<IpAddr, HostEntry>,
}

impl HostDirectory {
    /// Stores `record` if it is newer than the stored one of its host; returns whether it is.
    ///
    /// A record of a new epoch resets the backoff and the reachability of the store.
    pub fn merge(&mut self, record: &HostRecord) -> bool {
        match self.hosts.get_mut(&record.address) {
            Some(entry) if entry.record.order() >= record.order() => false,
            Some(entry) => {
                if entry.record.epoch != record.epoch {
                    entry.reaches_store = true;
                    entry.failures = 0;
                    entry.backoff_until_ms = 0;
                }
                entry.record = record.clone();
                true
            }
            None => {
                let entry = HostEntry {
                    record: record.clone(),
                    last_received_ms: None,
                    backoff_until_ms: 0,
                    reaches_store: true,
                    failures: 0,
                };
                self.hosts.insert(record.address, entry);
                true
            }
        }
    }

    /// Records that a datagram of the daemon at `address` was received; ends its backoff.
    pub fn record_received(&mut self, now_ms: u64, address: IpAddr) {
        if let Some(entry) = self.hosts.get_mut(&address) {
            entry.last_received_ms = Some(now_ms);
            entry.failures = 0;
            entry.backoff_until_ms = 0;
        }
    }

    /// Records whether the daemon at `address` reaches the store, as it reported.
    pub fn record_store_reachability(&mut self, address: IpAddr, reaches_store: bool) {
        if let Some(entry) = self.hosts.get_mut(&address) {
            entry.reaches_store = reaches_store;
        }
    }

    /// Records that the daemon at `address` could not be reached; returns its backoff in milliseconds.
    ///
    /// The backoff of an unknown host is zero.
    pub fn record_unreachable(&mut self, now_ms: u64, address: IpAddr) -> u64 {
        let Some(entry) = self.hosts.get_mut(&address) else {
            return 0;
        };
        let doublings = entry.failures.min(MAX_DOUBLINGS);
        let backoff_ms = (INITIAL_BACKOFF_MS << doublings).min(MAX_BACKOFF_MS);
        entry.failures += 1;
        entry.backoff_until_ms = now_ms + backoff_ms;
        backoff_ms
    }

    /// Factor by which the fleet's size stretches the intervals between datagrams, and the silence timeouts that
    /// follow from them.
    pub fn interval_factor(&self) -> u64 {
        (self.hosts.len() as u64 / MAX_DATAGRAMS_PER_SECOND).max(1)
    }

    /// Entry of the host at `address`, if it is known.
    pub fn get(&self, address: IpAddr) -> Option<&HostEntry> {
        self.hosts.get(&address)
    }

    /// All hosts, ordered by address.
    pub fn entries(&self) -> impl Iterator<Item = &HostEntry> {
        self.hosts.values()
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
