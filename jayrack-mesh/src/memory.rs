//! Byte budget of a daemon: which bodies, queued answers and connections may use memory.
//!
//! Holdings grow as bytes arrive, not by the length that a sender announces. A part of the budget is kept for small
//! holdings, so that large bodies do not shut out ordinary requests. When room is short, the body or the connection that
//! makes least use of its place gives way: stalled bodies first, then the slowest one.
//!
//! * [`sizes`]: sizes of the budget of a host, and costs of connections.
//! * [`connections`]: places of connections, and which connection gives way to a new one.
//! * [`progress`]: rate at which a connection or a body moves bytes.
pub mod connections;
pub mod progress;
pub mod sizes;

use std::collections::BTreeMap;

use connections::{ClientKind, ConnectionId, ConnectionLedger, ConnectionLimits, ConnectionPhase};
use progress::ProgressMeter;
pub use sizes::{BudgetSizes, ConnectionCost};

/// Largest holding that may use the reserve, in bytes: bodies of ordinary requests have up to 24 KB.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Share of the budget that connections may use, in percent.
const CONNECTION_PERCENT: u64 = 50;
/// Time without a received byte after which a body may give way to others, in milliseconds: a body that fits into few
/// packets arrives much faster.
const STALL_MS: u64 = 250;
/// Age up to which a large body counts as one of this rate, in milliseconds and bytes per second: the slowest link carries
/// ten times as much.
const FRESH_MS: u64 = 250;
const FRESH_BYTES_PER_S: u64 = 128 << 10;
/// A body gives way only to one that is this many times faster, so that two of them do not exchange places.
const GIVING_FACTOR: u64 = 2;

/// Number of a holding in a [`MemoryBudget`].
pub type HoldingId = u64;

/// Result of asking for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The bytes are taken.
    Granted,
    /// There is room once the allocator has returned what was given back to the system; see
    /// [`MemoryBudget::record_returned`].
    Unreturned,
    /// This holding gives way; the bytes may be asked for again when it is closed.
    GivesWay(HoldingId),
    /// There is no room.
    Refused,
}

/// Result of asking for the place of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection is open.
    Admitted(ConnectionId),
    /// As [`Room::Unreturned`].
    Unreturned,
    /// This connection gives way; the place may be asked for again when it is closed.
    GivesWay(ConnectionId),
    /// There is no place.
    Refused,
}

#[derive(Debug)]
struct Holding {
    bytes: u64,
    /// Progress of a body; `None` if nothing is being received.
    arrival: Option<BodyArrival>,
    is_giving_way: bool,
}

/// Progress of a body that is being received.
#[derive(Debug)]
struct BodyArrival {
    began_ms: u64,
    received_ms: u64,
    meter: ProgressMeter,
}

impl BodyArrival {
    fn is_stalled(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.received_ms) >= STALL_MS
    }

    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.began_ms) < FRESH_MS
    }
}

/// Accounting of the memory that clients' data use.
#[derive(Debug)]
pub struct MemoryBudget {
    sizes: BudgetSizes,
    holdings: BTreeMap<HoldingId, Holding>,
    next_id: HoldingId,
    taken_bytes: u64,
    large_bytes: u64,
    connections: ConnectionLedger,
    outgoing_bytes: u64,
    /// Memory that was given back and that the allocator may still keep, in bytes.
    unreturned_bytes: u64,
}

impl MemoryBudget {
    /// Creates an unused budget for at most `max_connections` connections of callers and daemons.
    pub fn new(sizes: BudgetSizes, max_connections: u64) -> Self {
        let limits = ConnectionLimits {
            connections: max_connections,
            bytes: sizes.total_bytes * CONNECTION_PERCENT / 100,
        };
        Self {
            sizes,
            holdings: BTreeMap::new(),
            next_id: 0,
            taken_bytes: 0,
            large_bytes: 0,
            connections: ConnectionLedger::new(limits),
            outgoing_bytes: 0,
            unreturned_bytes: 0,
        }
    }

    /// Sizes of the budget.
    pub fn sizes(&self) -> BudgetSizes {
        self.sizes
    }

    /// Bytes in use, those of connections included.
    pub fn taken_bytes(&self) -> u64 {
        self.taken_bytes + self.outgoing_bytes + self.connections.bytes()
    }

    /// Bytes in use, and those that are taken at all times.
    fn committed_bytes(&self) -> u64 {
        self.taken_bytes() + self.sizes.standing_bytes()
    }

    /// Memory that was given back and that the allocator may still keep, in bytes.
    pub fn unreturned_bytes(&self) -> u64 {
        self.unreturned_bytes
    }

    /// Records that the allocator has returned all memory that was given back to the system.
    pub fn record_returned(&mut self) {
        self.unreturned_bytes = 0;
    }

    /// Open connections of clients.
    pub fn connections(&self) -> &ConnectionLedger {
        &self.connections
    }

    /// Opens an empty holding.
    pub fn open(&mut self) -> HoldingId {
        self.next_id += 1;
        let holding = Holding {
            bytes: 0,
            arrival: None,
            is_giving_way: false,
        };
        self.holdings.insert(self.next_id, holding);
        self.next_id
    }

    /// Closes a holding and gives its bytes back.
    pub fn close(&mut self, id: HoldingId) {
        let Some(holding) = self.holdings.remove(&id) else {
            return;
        };
        self.taken_bytes -= holding.bytes;
        self.unreturned_bytes += holding.bytes;
        if holding.bytes > SMALL_BYTES {
            self.large_bytes -= holding.bytes;
        }
    }

    /// Records that a body receives `bytes` at `now_ms`.
    pub fn record_received(&mut self, id: HoldingId, now_ms: u64, bytes: u64) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            let arrival = holding.arrival.get_or_insert_with(|| BodyArrival {
                began_ms: now_ms,
                received_ms: now_ms,
                meter: ProgressMeter::new(now_ms),
            });
            arrival.received_ms = now_ms;
            arrival.meter.record(now_ms, bytes);
        }
    }

    /// Records that a body has been received completely; it no longer gives way.
    pub fn record_complete(&mut self, id: HoldingId) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.arrival = None;
        }
    }

    /// Lets a holding grow by `more_bytes`.
    pub fn grow(&mut self, id: HoldingId, now_ms: u64, more_bytes: u64) -> Room {
        let Some(held_bytes) = self.holdings.get(&id).map(|holding| holding.bytes) else {
            return Room::Refused;
        };
        let bytes = held_bytes + more_bytes;
        let room = self.room(id, now_ms, held_bytes, bytes);
        if room == Room::Granted {
            self.taken_bytes += more_bytes;
            if bytes > SMALL_BYTES {
                self.large_bytes += bytes - counted_as_large(held_bytes);
            }
            if let Some(holding) = self.holdings.get_mut(&id) {
                holding.bytes = bytes;
            }
        }
        room
    }

    /// Whether there is room for an empty holding to grow to `bytes`; nothing is taken.
    pub fn check(&mut self, id: HoldingId, now_ms: u64, bytes: u64) -> Room {
        self.room(id, now_ms, 0, bytes)
    }

    /// Opens a connection of a client that costs `cost`, if there is a place for it.
    pub fn open_connection(
        &mut self,
        kind: ClientKind,
        cost: ConnectionCost,
        now_ms: u64,
    ) -> Admission {
        let bytes = cost.bytes();
        let other_bytes = self.other_connection_bytes();
        let has_place = self.connections.has_place(kind, bytes, other_bytes);
        // Those of small listeners are taken at all times.
        let has_room =
            kind.is_small_listener() || self.committed_bytes() + bytes <= self.sizes.total_bytes;
        if !has_place || !has_room {
            return match self.connections.give_way(kind, bytes, now_ms) {
                Some(id) => Admission::GivesWay(id),
                None => Admission::Refused,
            };
        }
        if !kind.is_small_listener() && !self.is_returned(bytes) {
            return Admission::Unreturned;
        }
        Admission::Admitted(self.connections.open(kind, bytes, now_ms))
    }

    /// Chooses the connection that gives way where a new one of `kind` cannot even be accepted.
    pub fn make_place(
        &mut self,
        kind: ClientKind,
        cost: ConnectionCost,
        now_ms: u64,
    ) -> Option<ConnectionId> {
        self.connections.give_way(kind, cost.bytes(), now_ms)
    }

    /// Closes a connection of a client that cost `cost`.
    pub fn close_connection(&mut self, id: ConnectionId, cost: ConnectionCost) {
        if self.connections.close(id) > 0 {
            self.unreturned_bytes += cost.heap_bytes;
        }
    }

    /// Records what happens on a connection from now on.
    pub fn enter_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now_ms: u64) {
        self.connections.enter(id, phase, now_ms);
    }

    /// Records that `bytes` were received or sent on a connection.
    pub fn record_progress(&mut self, id: ConnectionId, now_ms: u64, bytes: u64) {
        self.connections.record_progress(id, now_ms, bytes);
    }

    /// Takes the memory of an outgoing connection, without regard to room.
    pub fn add_outgoing(&mut self, cost: ConnectionCost) {
        self.outgoing_bytes += cost.bytes();
    }

    /// Gives back the memory of an outgoing connection.
    pub fn remove_outgoing(&mut self, cost: ConnectionCost) {
        self.outgoing_bytes = self.outgoing_bytes.saturating_sub(cost.bytes());
        self.unreturned_bytes += cost.heap_bytes;
    }

    /// Memory of connections other than those of callers and daemons, in bytes.
    fn other_connection_bytes(&self) -> u64 {
        self.sizes.standing_bytes() + self.outgoing_bytes
    }

    /// Whether `more_bytes` fit beside the memory that the allocator may keep.
    fn is_returned(&self, more_bytes: u64) -> bool {
        self.committed_bytes() + self.unreturned_bytes + more_bytes <= self.sizes.total_bytes
            || self.unreturned_bytes == 0
    }

    fn room(&mut self, id: HoldingId, now_ms: u64, held_bytes: u64, bytes: u64) -> Room {
        let is_large = bytes > SMALL_BYTES;
        let more_bytes = bytes - held_bytes;
        let large_after_bytes = self.large_bytes + bytes - counted_as_large(held_bytes);
        let has_large_room = !is_large || large_after_bytes <= self.sizes.largest_bytes();
        if has_large_room && self.committed_bytes() + more_bytes <= self.sizes.total_bytes {
            return match self.is_returned(more_bytes) {
                true => Room::Granted,
                false => Room::Unreturned,
            };
        }
        if bytes > self.sizes.largest_bytes() {
            return Room::Refused;
        }
        self.give_way(id, now_ms, is_large)
    }

    /// Chooses the body that gives way: the one that has stalled for the longest time, large ones first, otherwise the
    /// slowest one.
    fn give_way(&mut self, id: HoldingId, now_ms: u64, is_large: bool) -> Room {
        let leaving = self
            .holdings
            .iter()
            .find(|(_, holding)| holding.is_giving_way);
        if let Some((leaving, _)) = leaving {
            return Room::GivesWay(*leaving);
        }
        let candidates = self.holdings.iter().filter_map(|(other, holding)| {
            let arrival = holding.arrival.as_ref()?;
            let is_candidate = holding.bytes > SMALL_BYTES || !is_large;
            (is_candidate && *other != id).then_some((*other, holding, arrival))
        });
        let stalled = candidates
            .clone()
            .filter(|(_, _, arrival)| arrival.is_stalled(now_ms))
            .min_by_key(|(_, holding, arrival)| (holding.bytes <= SMALL_BYTES, arrival.received_ms))
            .map(|(other, ..)| other);
        let slowest = || {
            let max_bytes_per_s = self.rate_of(id, now_ms, is_large)? / GIVING_FACTOR;
            candidates
                .filter(|(_, _, arrival)| !arrival.is_fresh(now_ms))
                .map(|(other, _, arrival)| (arrival.meter.bytes_per_s(now_ms), other))
                .min()
                .filter(|(bytes_per_s, _)| *bytes_per_s <= max_bytes_per_s)
                .map(|(_, other)| other)
        };
        let Some(chosen) = stalled.or_else(slowest) else {
            return Room::Refused;
        };
        if let Some(holding) = self.holdings.get_mut(&chosen) {
            holding.is_giving_way = true;
        }
        Room::GivesWay(chosen)
    }

    /// Rate of a body that asks for room, in bytes per second; `None` if nothing is being received.
    ///
    /// A small body that has just begun is taken for the fastest, since most of them are complete at once.
    fn rate_of(&self, id: HoldingId, now_ms: u64, is_large: bool) -> Option<u64> {
        let arrival = self.holdings.get(&id)?.arrival.as_ref()?;
        Some(match (arrival.is_fresh(now_ms), is_large) {
            (true, false) => u64::MAX,
            (true, true) => FRESH_BYTES_PER_S,
            (false, _) => arrival.meter.bytes_per_s(now_ms),
        })
    }
}

/// Part of a holding of `bytes` that counts as large, in bytes.
fn counted_as_large(bytes: u64) -> u64 {
    match bytes > SMALL_BYTES {
        true => bytes,
        false => 0,
    }
}
