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

/// Hosts of the daemon's own data centre up to which the intervals between datagrams do not grow: most of the requests
/// stay there, so that its loads are worth more datagrams.
const SAME_DATA_CENTRE_HOSTS: u64 = 20;
/// Hosts of the fleet up to which the intervals between datagrams to other data centres do not grow.
const FLEET_HOSTS: u64 = 30;

/// Latest epoch that a record may state, in milliseconds since the Unix epoch: the end of the year 9999. A daemon raises
/// its epoch above that of a record of its host, which must leave room for that.
const MAX_EPOCH_MS: u64 = 253_402_300_799_999;

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
    /// Newest datagram format that the daemon decodes; 0 in records of builds that do not state it.
    #[serde(default)]
    pub datagram_format: u8,
    /// Whether the daemon has not learned yet which server an earlier process at its address has acknowledged; a
    /// record without a server then says nothing about the server.
    #[serde(default)]
    pub is_restoring: bool,
}

impl HostRecord {
    /// Epoch and revision; of two records of one host the later one compares greater.
    pub fn order(&self) -> (u64, u64) {
        (self.epoch, self.revision)
    }

    /// Whether a daemon can have written the record.
    pub fn is_plausible(&self) -> bool {
        self.epoch <= MAX_EPOCH_MS
    }

    /// Whether both records describe one host that is reached in the same way, whatever process wrote them.
    pub fn is_same_host(&self, other: &Self) -> bool {
        self.address == other.address
            && self.data_centre == other.data_centre
            && self.link_mbps == other.link_mbps
            && self.forward == other.forward
            && self.gossip == other.gossip
            && self.datagram_format == other.datagram_format
    }

    /// The backend server, if requests of `service` may be sent to it.
    pub fn serving(&self, service: &str) -> Option<&ServerRecord> {
        self.server.as_ref().filter(|server| {
            !self.is_leaving
                && !self.is_restoring
                && server.service == service
                && server.phase == ServerPhase::Ready
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

/// Factors of the intervals between datagrams, which grow with the fleet so that a daemon sends no more of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntervalFactors {
    /// Towards hosts of the daemon's own data centre.
    pub same_data_centre: u64,
    /// Towards hosts of other data centres.
    pub remote: u64,
}

impl IntervalFactors {
    /// The factor that applies to a host.
    pub fn of(&self, is_same_data_centre: bool) -> u64 {
        match is_same_data_centre {
            true => self.same_data_centre,
            false => self.remote,
        }
    }
}

/// Known hosts, by address.
#[derive(Debug, Default)]
pub struct HostDirectory {
    hosts: BTreeMap<IpAddr, HostEntry>,
    /// Number of known hosts in each data centre.
    data_centre_sizes: BTreeMap<String, u64>,
}

impl HostDirectory {
    /// Stores `record` if it is plausible and newer than the stored one of its host; returns whether it is.
    ///
    /// A record of a new epoch resets the backoff and the reachability of the store. A daemon that has just started
    /// knows no server; its record leaves the known one in place, so that the daemon can learn it from this copy.
    pub fn merge(&mut self, record: &HostRecord) -> bool {
        if !record.is_plausible() {
            return false;
        }
        match self.hosts.get_mut(&record.address) {
            Some(entry) if entry.record.order() >= record.order() => false,
            Some(entry) => {
                if entry.record.epoch != record.epoch {
                    entry.reaches_store = true;
                    entry.failures = 0;
                    entry.backoff_until_ms = 0;
                }
                let known = entry.record.server.take();
                entry.record = record.clone();
                if record.is_restoring && record.server.is_none() {
                    entry.record.server = known;
                }
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
                let data_centre = record.data_centre.clone();
                *self.data_centre_sizes.entry(data_centre).or_default() += 1;
                true
            }
        }
    }

    /// Records that the server `left` departed from the host at `address`, as the store says, unless the daemon there
    /// reports on its server itself or a later server is known.
    pub fn restore_departure(&mut self, address: IpAddr, left: &ServerRecord) {
        let Some(entry) = self.hosts.get_mut(&address) else {
            return;
        };
        let known = entry.record.server.as_ref();
        let is_superseded = known.is_some_and(|known| {
            known.born_ms > left.born_ms
                || known.born_ms == left.born_ms && known.instance != left.instance
        });
        if entry.record.is_restoring && !is_superseded {
            entry.record.server = Some(left.clone());
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

    /// Factors by which the fleet's size stretches the intervals between the datagrams of a daemon in `data_centre`,
    /// and the silence timeouts that follow from them.
    pub fn interval_factors(&self, data_centre: &str) -> IntervalFactors {
        let size = self.data_centre_sizes.get(data_centre).copied();
        IntervalFactors {
            same_data_centre: size.unwrap_or(0).div_ceil(SAME_DATA_CENTRE_HOSTS).max(1),
            remote: (self.hosts.len() as u64 / FLEET_HOSTS).max(1),
        }
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
