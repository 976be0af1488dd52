//! Hosts that a lender hears from.
//!
//! Status datagrams arrive seconds apart, so a lender that a cut has separated from a part of the fleet would go on to
//! lend that part's share. While a bucket is nearly empty, the lender therefore probes hosts that it has not heard.
use std::{collections::BTreeMap, net::IpAddr};

/// Silence after which a host is probed, in milliseconds.
const PROBE_SILENCE_MS: u64 = 400;
/// Interval between two rounds of probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 200;
/// Maximum number of probes in a round: bounds the datagrams in a large fleet, of which the probed hosts are a sample.
const PROBES_PER_ROUND: usize = 10;
/// Time without an answer to probes after which a host counts as missing, in milliseconds: two or three probes, of
/// which single ones may be lost.
const MISSING_TIMEOUT_MS: u64 = 500;
/// Time since a host was heard for which it counts as reached without a probe, in milliseconds: each host of a fleet
/// of 70 is probed within it.
const HEARD_TIMEOUT_MS: u64 = 1_400;

#[derive(Debug, Default)]
struct HostContact {
    heard_ms: Option<u64>,
    /// First probe since the host was heard.
    unanswered_ms: Option<u64>,
    probed_ms: u64,
}

/// Contact of a lender with the other hosts.
#[derive(Debug, Default)]
pub struct ContactTable {
    hosts: BTreeMap<IpAddr, HostContact>,
    round_ms: u64,
}

impl ContactTable {
    /// Replaces the hosts that count; keeps what is known of those that stay.
    pub fn set_hosts(&mut self, hosts: &[IpAddr]) {
        self.hosts.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.hosts.entry(*host).or_default();
        }
    }

    /// Records that a datagram of `host` was received.
    pub fn record_heard(&mut self, now_ms: u64, host: IpAddr) {
        if let Some(contact) = self.hosts.get_mut(&host) {
            contact.heard_ms = Some(now_ms);
            contact.unanswered_ms = None;
        }
    }

    /// Hosts to probe now, those first that were not probed for the longest time.
    pub fn probes_due(&mut self, now_ms: u64) -> Vec<IpAddr> {
        if now_ms < self.round_ms + PROBE_INTERVAL_MS {
            return Vec::new();
        }
        self.round_ms = now_ms;
        let is_silent = |contact: &HostContact| {
            contact
                .heard_ms
                .is_none_or(|heard_ms| now_ms.saturating_sub(heard_ms) > PROBE_SILENCE_MS)
        };
        let mut due: Vec<(u64, IpAddr)> = self
            .hosts
            .iter()
            .filter(|(_, contact)| is_silent(contact))
            .map(|(host, contact)| (contact.probed_ms, *host))
            .collect();
        due.sort_unstable();
        due.truncate(PROBES_PER_ROUND);
        for (_, host) in &due {
            if let Some(contact) = self.hosts.get_mut(host) {
                contact.probed_ms = now_ms;
                contact.unanswered_ms.get_or_insert(now_ms);
            }
        }
        due.into_iter().map(|(_, host)| host).collect()
    }

    /// Fraction of the fleet, with the daemon's own host, that is in contact. Hosts of which nothing is known either
    /// way are left out; without any evidence it is 1.
    pub fn share(&self, now_ms: u64) -> f64 {
        let (mut reached, mut missing) = (1_u32, 0_u32);
        for contact in self.hosts.values() {
            let is_missing = contact
                .unanswered_ms
                .is_some_and(|probed_ms| now_ms.saturating_sub(probed_ms) >= MISSING_TIMEOUT_MS);
            let is_heard = contact
                .heard_ms
                .is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) < HEARD_TIMEOUT_MS);
            missing += u32::from(is_missing);
            reached += u32::from(is_heard && !is_missing);
        }
        f64::from(reached) / f64::from(reached + missing)
    }
}
