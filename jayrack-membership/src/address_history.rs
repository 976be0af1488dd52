//! Minimum versions and ended incarnations by address, kept apart from the membership view.
use std::collections::BTreeMap;

use jayrack_protocol::MemberId;

/// Maximum number of addresses; the least recently updated one is evicted first.
pub const MAX_ADDRESSES: usize = 4_096;

/// History of the members that ran at one address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AddressEntry {
    /// Highest configuration version known to have been in force at the address.
    pub minimum_version: u64,
    /// Highest incarnation that was declared dead or left.
    pub ended_incarnation: u64,
    /// Time of the last update, in milliseconds of the monotonic clock.
    pub updated_ms: u64,
}

/// Bounded table of versions and incarnations by address.
#[derive(Debug, Default)]
pub struct AddressHistory {
    entries: BTreeMap<MemberId, AddressEntry>,
}

impl AddressHistory {
    /// Returns the entry of `id`; zeros when there is none.
    pub fn get(&self, id: MemberId) -> AddressEntry {
        self.entries.get(&id).copied().unwrap_or_default()
    }

    /// Records that `version` was in force at `id`.
    pub fn raise_minimum_version(&mut self, now_ms: u64, id: MemberId, version: u64) {
        let entry = self.entries.entry(id).or_default();
        entry.minimum_version = entry.minimum_version.max(version);
        entry.updated_ms = now_ms;
        self.evict();
    }

    /// Records that `incarnation` of `id` has ended.
    pub fn record_ended_incarnation(&mut self, now_ms: u64, id: MemberId, incarnation: u64) {
        let entry = self.entries.entry(id).or_default();
        entry.ended_incarnation = entry.ended_incarnation.max(incarnation);
        entry.updated_ms = now_ms;
        self.evict();
    }

    fn evict(&mut self) {
        if self.entries.len() <= MAX_ADDRESSES {
            return;
        }
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.updated_ms);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.entries.remove(&id);
        }
    }
}
