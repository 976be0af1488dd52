//! Sizes of the byte budget of a host.

use super::connections::{ClientKind, SMALL_LISTENER_CONNECTIONS};

/// Memory of the process itself, in megabytes: it needs 6 to 15 MB under ordinary load, without large bodies.
const PROCESS_MB: u64 = 18;
/// Part of the budget that only small holdings and connections may use, in bytes: 64 of the largest small ones. With
/// it, a host of 88 MB still has room for one body of 64 MB.
const RESERVE_BYTES: u64 = 4 << 20;
/// Smallest budget, in bytes: a host whose memory is stated too low still serves small requests.
const MIN_BUDGET_BYTES: u64 = 8 << 20;
/// Budget where the host's memory is not limited, in bytes.
const DEFAULT_BUDGET_BYTES: u64 = 256 << 20;
/// Share of the budget for connections that wait to be accepted by the two large listeners: one part of this.
const WAITING_DIVISOR: u64 = 24;
/// Least and largest memory of these connections, in bytes.
const MIN_WAITING_BYTES: u64 = 3 << 20;
const MAX_WAITING_BYTES: u64 = 16 << 20;
/// Largest part of the budget that is taken at all times, where a host's memory is stated too low: one part of this.
const STANDING_DIVISOR: u64 = 4;
/// Fewest connections that may wait to be accepted by a listener.
const MIN_BACKLOG: u64 = 8;
/// Connections that may wait to be accepted by a small listener.
const SMALL_LISTENER_BACKLOG: u64 = 8;
/// Memory of a connection without its receive queue, in bytes: its state, the buffer that it reads into, and the one of
/// the latest head, which lives as long as the request.
const CONNECTION_BYTES: u64 = 24 << 10;
/// The kernel uses up to this many times the size of a receive buffer.
const RECEIVE_BUFFER_FACTOR: u64 = 2;

/// Memory of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionCost {
    /// Memory of the process, in bytes.
    pub heap_bytes: u64,
    /// Receive queue in the kernel, in bytes.
    pub queue_bytes: u64,
}

impl ConnectionCost {
    /// Cost of a connection whose receive buffer has a fixed size.
    pub fn new(receive_buffer_bytes: usize) -> Self {
        Self {
            heap_bytes: CONNECTION_BYTES,
            queue_bytes: RECEIVE_BUFFER_FACTOR * receive_buffer_bytes as u64,
        }
    }

    /// Cost of a connection of a client.
    pub fn of(kind: ClientKind) -> Self {
        Self::new(kind.receive_buffer_bytes())
    }

    /// The whole cost, in bytes.
    pub fn bytes(&self) -> u64 {
        self.heap_bytes + self.queue_bytes
    }
}

/// Sizes of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSizes {
    /// The whole budget, in bytes.
    pub total_bytes: u64,
    /// Part of it for small holdings, in bytes.
    pub reserve_bytes: u64,
    /// Part of it for connections that wait to be accepted by one of the two large listeners, in bytes.
    pub waiting_bytes: u64,
    /// Part of it for the connections of the small listeners, in bytes.
    pub small_listener_bytes: u64,
}

impl BudgetSizes {
    /// Sizes for a host with `memory_mb` megabytes for the process; `None` if they are not limited.
    pub fn for_host(memory_mb: Option<u64>) -> Self {
        let total_bytes = match memory_mb {
            Some(memory_mb) => memory_mb.saturating_sub(PROCESS_MB).saturating_mul(1 << 20),
            None => DEFAULT_BUDGET_BYTES,
        };
        let total_bytes = total_bytes.max(MIN_BUDGET_BYTES);
        let waiting_bytes =
            (total_bytes / WAITING_DIVISOR).clamp(MIN_WAITING_BYTES, MAX_WAITING_BYTES);
        Self {
            total_bytes,
            reserve_bytes: RESERVE_BYTES.min(total_bytes / 2),
            waiting_bytes: waiting_bytes.min(total_bytes / STANDING_DIVISOR) / 2,
            small_listener_bytes: small_listener_bytes(),
        }
    }

    /// Largest holding that can ever fit, in bytes.
    pub fn largest_bytes(&self) -> u64 {
        self.total_bytes - self.reserve_bytes
    }

    /// Bytes that are taken at all times, since connections that wait to be accepted are not known one by one and small
    /// listeners accept theirs in any case.
    pub fn standing_bytes(&self) -> u64 {
        2 * self.waiting_bytes + self.small_listener_bytes
    }

    /// Number of connections that may wait to be accepted by the listener for a kind of client.
    pub fn backlog(&self, kind: ClientKind) -> u32 {
        let backlog = match kind.is_small_listener() {
            true => SMALL_LISTENER_BACKLOG,
            false => (self.waiting_bytes / ConnectionCost::of(kind).queue_bytes).max(MIN_BACKLOG),
        };
        u32::try_from(backlog).unwrap_or(u32::MAX)
    }
}

fn small_listener_bytes() -> u64 {
    let kinds = ClientKind::ALL
        .into_iter()
        .filter(|kind| kind.is_small_listener());
    let bytes = kinds.map(|kind| {
        let cost = ConnectionCost::of(kind);
        SMALL_LISTENER_CONNECTIONS * cost.bytes() + SMALL_LISTENER_BACKLOG * cost.queue_bytes
    });
    bytes.sum()
}
