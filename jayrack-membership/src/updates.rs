//! Updates that wait to be passed on with other datagrams.
use std::collections::{BTreeMap, BTreeSet};

use jayrack_protocol::MemberId;

/// What an update is about; a newer one about the same replaces it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// The belief about a member.
    Status(MemberId),
    /// The record of a member.
    Record(MemberId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    sent: u32,
    key: UpdateKey,
}

/// Updates ordered by how often they were sent, fewest first.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    sent: BTreeMap<UpdateKey, u32>,
    order: BTreeSet<Position>,
}

impl UpdateQueue {
    /// Adds an update, or starts it anew when it is queued already.
    pub fn push(&mut self, key: UpdateKey) {
        self.set_sent(key, 0);
    }

    /// Drops an update.
    pub fn remove(&mut self, key: UpdateKey) {
        if let Some(sent) = self.sent.remove(&key) {
            self.order.remove(&Position { sent, key });
        }
    }

    /// Counts a transmission, by this daemon or by another one, and drops the update after `limit`.
    pub fn count_transmission(&mut self, key: UpdateKey, limit: u32) {
        let Some(sent) = self.sent.get(&key).copied() else {
            return;
        };
        if sent + 1 >= limit {
            self.remove(key);
        } else {
            self.set_sent(key, sent + 1);
        }
    }

    /// Updates in the order in which they are sent.
    pub fn iter(&self) -> impl Iterator<Item = UpdateKey> + '_ {
        self.order.iter().map(|position| position.key)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    fn set_sent(&mut self, key: UpdateKey, sent: u32) {
        self.remove(key);
        self.sent.insert(key, sent);
        self.order.insert(Position { sent, key });
    }
}
