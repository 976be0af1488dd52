//! Byte budget of a daemon: which bodies, queued answers and connections may use memory.
//!
//! Holdings grow as bytes arrive, not by the length that a sender announces. A part of the budget is kept for small
//! holdings, so that large bodies do not shut out ordinary requests. When room is short, the body that has received
//! nothing for the longest time gives way.
use std::collections::BTreeMap;

/// Largest holding that may use the reserve, in bytes: bodies of ordinary requests have up to 24 KB.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Memory of the process itself, in megabytes: it needs 6 to 15 MB under ordinary load, without large bodies.
const PROCESS_MB: u64 = 18;
/// Part of the budget that only small holdings and connections may use, in bytes: 64 of the largest small ones. With
/// it, a host of 88 MB still has room for one body of 64 MB.
const RESERVE_BYTES: u64 = 4 << 20;
/// Smallest budget, in bytes: a host whose memory is stated too low still serves small requests.
const MIN_BUDGET_BYTES: u64 = 8 << 20;
/// Budget where the host's memory is not limited, in bytes.
const DEFAULT_BUDGET_BYTES: u64 = 256 << 20;
/// Share of the budget that connections may use, in percent.
const CONNECTION_PERCENT: u64 = 50;
/// Time without a received byte after which a body may give way to others, in milliseconds: a body that fits into few
/// packets arrives much faster.
const STALL_MS: u64 = 250;

/// Number of a holding in a [`MemoryBudget`].
pub type HoldingId = u64;

/// Sizes of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSizes {
    /// The whole budget, in bytes.
    pub total_bytes: u64,
    /// Part of it for small holdings, in bytes.
    pub reserve_bytes: u64,
}

impl BudgetSizes {
    /// Sizes for a host with `memory_mb` megabytes for the process; `None` if they are not limited.
    pub fn for_host(memory_mb: Option<u64>) -> Self {
        let total_bytes = match memory_mb {
            Some(memory_mb) => memory_mb.saturating_sub(PROCESS_MB).saturating_mul(1 << 20),
            None => DEFAULT_BUDGET_BYTES,
        };
        let total_bytes = total_bytes.max(MIN_BUDGET_BYTES);
        Self {
            total_bytes,
            reserve_bytes: RESERVE_BYTES.min(total_bytes / 2),
        }
    }

    /// Largest holding that can ever fit, in bytes.
    pub fn largest_bytes(&self) -> u64 {
        self.total_bytes - self.reserve_bytes
    }
}

/// Result of asking for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// The bytes are taken.
    Granted,
    /// This holding gives way; the bytes may be asked for again when it is closed.
    GivesWay(HoldingId),
    /// There is no room.
    Refused,
}

#[derive(Debug)]
struct Holding {
    bytes: u64,
    /// When the last byte of a body was received; `None` if nothing is being received.
    received_ms: Option<u64>,
    is_giving_way: bool,
}

/// Accounting of the memory that clients' data use.
#[derive(Debug)]
pub struct MemoryBudget {
    sizes: BudgetSizes,
    holdings: BTreeMap<HoldingId, Holding>,
    next_id: HoldingId,
    taken_bytes: u64,
    large_bytes: u64,
    connection_bytes: u64,
}

impl MemoryBudget {
    /// Creates an unused budget.
    pub fn new(sizes: BudgetSizes) -> Self {
        Self {
            sizes,
            holdings: BTreeMap::new(),
            next_id: 0,
            taken_bytes: 0,
            large_bytes: 0,
            connection_bytes: 0,
        }
    }

    /// Sizes of the budget.
    pub fn sizes(&self) -> BudgetSizes {
        self.sizes
    }

    /// Bytes in use, those of connections included.
    pub fn taken_bytes(&self) -> u64 {
        self.taken_bytes + self.connection_bytes
    }

    /// Opens an empty holding.
    pub fn open(&mut self) -> HoldingId {
        self.next_id += 1;
        let holding = Holding {
            bytes: 0,
            received_ms: None,
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
        if holding.bytes > SMALL_BYTES {
            self.large_bytes -= holding.bytes;
        }
    }

    /// Records that a body receives bytes at `now_ms`.
    pub fn record_received(&mut self, id: HoldingId, now_ms: u64) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.received_ms = Some(now_ms);
        }
    }

    /// Records that a body has been received completely; it no longer gives way.
    pub fn record_complete(&mut self, id: HoldingId) {
        if let Some(holding) = self.holdings.get_mut(&id) {
            holding.received_ms = None;
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
                let counted_bytes = if held_bytes > SMALL_BYTES {
                    held_bytes
                } else {
                    0
                };
                self.large_bytes += bytes - counted_bytes;
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

    /// Takes `bytes` for a connection; returns whether there was room.
    pub fn open_connection(&mut self, bytes: u64) -> bool {
        let limit_bytes = self.sizes.total_bytes * CONNECTION_PERCENT / 100;
        let has_room = self.connection_bytes + bytes <= limit_bytes
            && self.taken_bytes() + bytes <= self.sizes.total_bytes;
        if has_room {
            self.connection_bytes += bytes;
        }
        has_room
    }

    /// Takes `bytes` for a connection that is opened in any case.
    pub fn add_connection(&mut self, bytes: u64) {
        self.connection_bytes += bytes;
    }

    /// Gives back the `bytes` of a connection.
    pub fn close_connection(&mut self, bytes: u64) {
        self.connection_bytes = self.connection_bytes.saturating_sub(bytes);
    }

    fn room(&mut self, id: HoldingId, now_ms: u64, held_bytes: u64, bytes: u64) -> Room {
        let is_large = bytes > SMALL_BYTES;
        let after_bytes = self.taken_bytes() + bytes - held_bytes;
        let counted_bytes = if held_bytes > SMALL_BYTES {
            held_bytes
        } else {
            0
        };
        let large_after_bytes = self.large_bytes + bytes - counted_bytes;
        let has_large_room = !is_large || large_after_bytes <= self.sizes.largest_bytes();
        if has_large_room && after_bytes <= self.sizes.total_bytes {
            return Room::Granted;
        }
        if bytes > self.sizes.largest_bytes() {
            return Room::Refused;
        }
        self.give_way(id, now_ms, is_large)
    }

    /// Chooses the body that gives way: the one that has stalled for the longest time, large ones first.
    fn give_way(&mut self, id: HoldingId, now_ms: u64, is_large: bool) -> Room {
        let leaving = self
            .holdings
            .iter()
            .find(|(_, holding)| holding.is_giving_way);
        if let Some((leaving, _)) = leaving {
            return Room::GivesWay(*leaving);
        }
        let stalled = self.holdings.iter_mut().filter_map(|(other, holding)| {
            let received_ms = holding.received_ms?;
            let is_stalled = now_ms.saturating_sub(received_ms) >= STALL_MS;
            let is_candidate = holding.bytes > SMALL_BYTES || !is_large;
            (is_stalled && is_candidate && *other != id).then_some((*other, received_ms, holding))
        });
        let chosen = stalled
            .min_by_key(|(_, received_ms, holding)| (holding.bytes <= SMALL_BYTES, *received_ms));
        match chosen {
            Some((chosen, _, holding)) => {
                holding.is_giving_way = true;
                Room::GivesWay(chosen)
            }
            None => Room::Refused,
        }
    }
}
