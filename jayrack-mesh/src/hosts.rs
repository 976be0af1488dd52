//! The hosts of the fleet, and which record of a host is newer.
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
};

use serde::{Deserialize, Serialize};

use crate::server::{ServerPhase, ServerRecord};

/// First pause after a host could not be reached, in milliseconds; it doubles with each further time.
const INITIAL_BACKOFF_MS: u64 = 250;
/// Longest pause after a host could not be reached, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;
/// Largest number of doublings of the pause.
const MAX_DOUBLINGS: u32 = 3;

/// Datagrams that a daemon sends in a second at most, besides changes; larger fleets are told less often.
const MAX_DATAGRAMS_PER_SECOND: u64 = 30;

/// What a daemon says of its host and the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address of the host.
    pub address: IpAddr,
    /// Grows with each start of the host's daemon.
    pub epoch: u64,
    /// Grows with each change within one epoch.
    pub revision: u64,
    /// Data centre.
    pub data_centre: String,
    /// Rate of the host's link, in megabits a second.
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
    /// Order of the records of one host.
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

/// A host and what was seen of it.
#[derive(Debug, Clone)]
pub struct HostEntry {
    /// What its daemon says.
    pub record: HostRecord,
    /// When its daemon was last heard, in milliseconds; `None` if it never was.
    pub last_received_ms: Option<u64>,
    /// Time before which it is used only if there is no other.
    pub backoff_until_ms: u64,
    /// Whether the store served it when it last tried, as far as it says.
    pub reaches_store: bool,
    failures: u32,
}

/// The hosts that are known, by address.
#[derive(Debug, Default)]
pub struct HostDirectory {
    hosts: BTreeMap<IpAddr, HostEntry>,
}

impl HostDirectory {
    /// Takes `record` if it is newer than what is known of its host.
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

    /// Notes that the daemon at `address` was heard.
    pub fn record_received(&mut self, now_ms: u64, address: IpAddr) {
        if let Some(entry) = self.hosts.get_mut(&address) {
            entry.last_received_ms = Some(now_ms);
            entry.failures = 0;
            entry.backoff_until_ms = 0;
        }
    }

    /// Notes what the daemon at `address` says of the store.
    pub fn record_store_reachability(&mut self, address: IpAddr, reaches_store: bool) {
        if let Some(entry) = self.hosts.get_mut(&address) {
            entry.reaches_store = reaches_store;
        }
    }

    /// Notes that the daemon at `address` could not be reached; returns the pause in milliseconds.
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

    /// How many times the intervals between datagrams, and the silences that follow from them, are those of a
    /// small fleet.
    pub fn interval_factor(&self) -> u64 {
        (self.hosts.len() as u64 / MAX_DATAGRAMS_PER_SECOND).max(1)
    }

    /// What is known of the host at `address`.
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
