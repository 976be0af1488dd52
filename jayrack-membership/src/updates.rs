//! Queue of the updates that are piggybacked on datagrams.
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
};

use jayrack_protocol::MemberId;

/// Maximum number of queued updates; the one sent most often is dropped first.
pub const MAX_UPDATES: usize = 512;

/// Subject of an update; a newer update with the same key replaces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// The status of a member.
    Status(MemberId),
    /// The record of a member.
    Record(MemberId),
    /// The applied versions of the members in a bucket.
    Applied(u8),
}

impl UpdateKey {
    /// Whether the gossip timer sends datagrams for this update.
    pub fn is_urgent(self) -> bool {
        !matches!(self, UpdateKey::Applied(_))
    }
}

/// Position in the queue: fewest transmissions first, then the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    sent: u32,
    added: Reverse<u64>,
    key: UpdateKey,
}

/// Updates ordered by their number of transmissions, fewest first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    positions: BTreeMap<UpdateKey, Position>,
    order: BTreeSet<Position>,
    added: u64,
    urgent: usize,
}

impl UpdateQueue {
    /// Adds an update; resets its transmissions to zero when it is queued already.
    pub fn push(&mut self, key: UpdateKey) {
        self.push_sent(key, 0);
    }

    /// Adds an update unless it is queued already; `sent` transmissions count as made.
    pub fn push_if_absent(&mut self, key: UpdateKey, sent: u32) {
        if !self.positions.contains_key(&key) {
            self.push_sent(key, sent);
        }
    }

    fn push_sent(&mut self, key: UpdateKey, sent: u32) {
        self.added += 1;
        self.insert_position(Position {
            sent,
            added: Reverse(self.added),
            key,
        });
        if self.positions.len() > MAX_UPDATES
            && let Some(last) = self.order.last().map(|position| position.key)
        {
            self.remove(last);
        }
    }

    /// Removes an update.
    pub fn remove(&mut self, key: UpdateKey) {
        if let Some(position) = self.positions.remove(&key) {
            self.order.remove(&position);
            self.urgent -= usize::from(key.is_urgent());
        }
    }

    /// Counts a transmission by this daemon or another one, and removes the update after `limit`.
    pub fn count_transmission(&mut self, key: UpdateKey, limit: u32) {
        let Some(position) = self.positions.get(&key).copied() else {
            return;
        };
        let sent = position.sent + 1;
        if sent >= limit {
            self.remove(key);
        } else {
            self.insert_position(Position { sent, ..position });
        }
    }

    /// Updates in the order in which they are sent.
    pub fn iter(&self) -> impl Iterator<Item = UpdateKey> + '_ {
        self.order.iter().map(|position| position.key)
    }

    /// Whether an urgent update is queued.
    pub fn has_urgent(&self) -> bool {
        self.urgent > 0
    }

    /// Whether a queued update that is not urgent was sent fewer than `sent` times.
    pub fn has_non_urgent_below(&self, sent: u32) -> bool {
        self.order
            .iter()
            .take_while(|position| position.sent < sent)
            .any(|position| !position.key.is_urgent())
    }

    fn insert_position(&mut self, position: Position) {
        self.remove(position.key);
        self.urgent += usize::from(position.key.is_urgent());
        self.positions.insert(position.key, position);
        self.order.insert(position);
    }
}
