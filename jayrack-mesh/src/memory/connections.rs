//! Open connections of clients: how many there may be, and which one gives way to a new one.
//!
//! When there is no place for a new connection, the one that makes least use of its own gives way: connections on which
//! nothing happens before slow ones, and slow ones by the rate at which they move bytes. A connection whose request is
//! complete never gives way. Callers and other daemons each have a part of the places that the other ones cannot use.
use std::collections::BTreeMap;

use super::progress::ProgressMeter;

/// Number of a connection in a [`ConnectionLedger`].
pub type ConnectionId = u64;

/// Connections of each small listener. Its clients are few and send one short request at a time.
pub const SMALL_LISTENER_CONNECTIONS: u64 = 8;
/// Part of the places that only callers, and another one that only daemons may use: one part of this.
const SHARE_DIVISOR: u64 = 8;
/// Age in which a connection is served before it may give way like older ones, in milliseconds: its first bytes are
/// already waiting or on their way.
const FRESH_MS: u64 = 250;
/// Rate below which a client that receives an answer makes little use of its place, in bytes per second: a tenth of the
/// slowest link.
const SLOW_BYTES_PER_S: u64 = 128 << 10;
/// Time in which a connection that gives way closes, in milliseconds; afterwards another one is chosen.
const LEAVE_TIMEOUT_MS: u64 = 100;

/// Listener that a client connects to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientKind {
    /// Callers on this host, the backend server among them.
    Caller,
    /// Other daemons.
    Daemon,
    /// Readiness checks.
    Readiness,
    /// Reports of the backend server.
    Reports,
    /// Readers of the metrics.
    Metrics,
}

impl ClientKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        ClientKind::Caller,
        ClientKind::Daemon,
        ClientKind::Readiness,
        ClientKind::Reports,
        ClientKind::Metrics,
    ];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ClientKind::Caller => "callers",
            ClientKind::Daemon => "daemons",
            ClientKind::Readiness => "readiness",
            ClientKind::Reports => "reports",
            ClientKind::Metrics => "metrics",
        }
    }

    /// Whether the listener has a few connections of its own instead of a part of the shared ones.
    pub fn is_small_listener(self) -> bool {
        match self {
            ClientKind::Caller | ClientKind::Daemon => false,
            ClientKind::Readiness | ClientKind::Reports | ClientKind::Metrics => true,
        }
    }

    /// Receive buffer of a connection, in bytes. An ordinary request fits into it; for other daemons it is what a link of
    /// 100 Mbit/s carries in a round trip of 5 ms.
    pub fn receive_buffer_bytes(self) -> usize {
        match self {
            ClientKind::Caller => 16 << 10,
            ClientKind::Daemon => 32 << 10,
            ClientKind::Readiness | ClientKind::Reports | ClientKind::Metrics => 8 << 10,
        }
    }
}

/// What happens on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No request has begun.
    Idle,
    /// A head or a body arrives.
    Receiving,
    /// A request is complete and waits for its answer.
    Running,
    /// An answer waits for the client to read it.
    Sending,
    /// A request was refused, and what the client still sends is discarded.
    Discarding,
}

/// Limits of the connections of callers and daemons.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Number of connections.
    pub connections: u64,
    /// Memory of all connections, outgoing ones included, in bytes.
    pub bytes: u64,
}

#[derive(Debug)]
struct ConnectionRecord {
    kind: ClientKind,
    bytes: u64,
    phase: ConnectionPhase,
    since_ms: u64,
    has_served: bool,
    /// When the connection was told to give way.
    leaving_ms: Option<u64>,
    progress: ProgressMeter,
}

/// Order in which connections give way.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum GivingRank {
    Discarding,
    Unused,
    Idle,
    Receiving,
    Sending,
    /// Connections that had no time to send or receive anything, the oldest first.
    Fresh,
}

impl ConnectionRecord {
    /// Rank among the connections that may give way, with the rate in bytes per second and the start of the phase;
    /// `None` if it must not.
    fn giving_rank(&self, now_ms: u64) -> Option<(GivingRank, u64, u64)> {
        let age_ms = now_ms.saturating_sub(self.since_ms);
        let is_fresh = age_ms < FRESH_MS;
        let bytes_per_s = self.progress.bytes_per_s(now_ms);
        let rank = match self.phase {
            ConnectionPhase::Discarding => (GivingRank::Discarding, 0),
            ConnectionPhase::Idle | ConnectionPhase::Receiving if is_fresh => {
                (GivingRank::Fresh, 0)
            }
            ConnectionPhase::Idle if self.has_served => (GivingRank::Idle, 0),
            ConnectionPhase::Idle => (GivingRank::Unused, 0),
            ConnectionPhase::Receiving => (GivingRank::Receiving, bytes_per_s),
            ConnectionPhase::Sending if !is_fresh && bytes_per_s < SLOW_BYTES_PER_S => {
                (GivingRank::Sending, bytes_per_s)
            }
            ConnectionPhase::Running | ConnectionPhase::Sending => return None,
        };
        Some((rank.0, rank.1, self.since_ms))
    }
}

/// Number and memory of connections.
#[derive(Debug, Clone, Copy, Default)]
struct PlaceUse {
    connections: u64,
    bytes: u64,
}

/// Open connections of clients.
#[derive(Debug)]
pub struct ConnectionLedger {
    limits: ConnectionLimits,
    connections: BTreeMap<ConnectionId, ConnectionRecord>,
    used: BTreeMap<ClientKind, PlaceUse>,
    next_id: ConnectionId,
}

impl ConnectionLedger {
    /// Creates a ledger without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            connections: BTreeMap::new(),
            used: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Number of open connections of callers and daemons.
    pub fn len(&self) -> usize {
        self.shared_use().connections as usize
    }

    /// Whether no caller and no daemon is connected.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Memory of the connections of callers and daemons, in bytes.
    pub fn bytes(&self) -> u64 {
        self.shared_use().bytes
    }

    /// Whether there is a place for a connection of `kind` that costs `bytes`; `other_bytes` is the memory of connections
    /// that are not in the ledger.
    pub fn has_place(&self, kind: ClientKind, bytes: u64, other_bytes: u64) -> bool {
        let own = self.use_of(kind);
        if kind.is_small_listener() {
            return own.connections < SMALL_LISTENER_CONNECTIONS;
        }
        let all = self.shared_use();
        let ConnectionLimits {
            connections: max_connections,
            bytes: max_bytes,
        } = self.limits;
        let share = self.share();
        all.connections < max_connections
            && own.connections < max_connections - share.connections
            && all.bytes + other_bytes + bytes <= max_bytes
            && own.bytes + bytes <= max_bytes - share.bytes
    }

    /// Adds a connection.
    pub fn open(&mut self, kind: ClientKind, bytes: u64, now_ms: u64) -> ConnectionId {
        self.next_id += 1;
        let record = ConnectionRecord {
            kind,
            bytes,
            phase: ConnectionPhase::Idle,
            since_ms: now_ms,
            has_served: false,
            leaving_ms: None,
            progress: ProgressMeter::new(now_ms),
        };
        self.connections.insert(self.next_id, record);
        let used = self.used.entry(kind).or_default();
        used.connections += 1;
        used.bytes += bytes;
        self.next_id
    }

    /// Removes a connection; returns the memory that it had, in bytes.
    pub fn close(&mut self, id: ConnectionId) -> u64 {
        let Some(record) = self.connections.remove(&id) else {
            return 0;
        };
        let used = self.used.entry(record.kind).or_default();
        used.connections -= 1;
        used.bytes -= record.bytes;
        record.bytes
    }

    /// What happens on a connection; `None` if it is closed.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.connections.get(&id).map(|record| record.phase)
    }

    /// Records what happens on a connection from now on; a connection that was to give way and has not done so is then
    /// chosen anew.
    pub fn enter(&mut self, id: ConnectionId, phase: ConnectionPhase, now_ms: u64) {
        let Some(record) = self.connections.get_mut(&id) else {
            return;
        };
        if record.phase == phase {
            return;
        }
        record.has_served |= phase == ConnectionPhase::Running;
        record.phase = phase;
        record.since_ms = now_ms;
        record.leaving_ms = None;
        record.progress = ProgressMeter::new(now_ms);
    }

    /// Records that `bytes` were received or sent.
    pub fn record_progress(&mut self, id: ConnectionId, now_ms: u64, bytes: u64) {
        if let Some(record) = self.connections.get_mut(&id) {
            record.progress.record(now_ms, bytes);
        }
    }

    /// Whether the connection was told to give way and has not entered another phase since.
    pub fn is_leaving(&self, id: ConnectionId) -> bool {
        let record = self.connections.get(&id);
        record.is_some_and(|record| record.leaving_ms.is_some())
    }

    /// Chooses the connection that gives way to a new one of `kind` that costs `bytes`; the same one as before while that
    /// is leaving.
    pub fn give_way(&mut self, kind: ClientKind, bytes: u64, now_ms: u64) -> Option<ConnectionId> {
        let may_leave = |record: &ConnectionRecord| self.may_give_way_to(record.kind, kind, bytes);
        let leaving = self.connections.iter().find(|(_, record)| {
            let is_leaving = record
                .leaving_ms
                .is_some_and(|leaving_ms| now_ms.saturating_sub(leaving_ms) < LEAVE_TIMEOUT_MS);
            is_leaving && may_leave(record)
        });
        if let Some((leaving, _)) = leaving {
            return Some(*leaving);
        }
        let ranked = self.connections.iter().filter_map(|(id, record)| {
            let rank = record.giving_rank(now_ms)?;
            // One that did not leave in time is chosen after all others.
            let is_stuck = record.leaving_ms.is_some();
            may_leave(record).then_some(((is_stuck, rank), *id))
        });
        let (_, chosen) = ranked.min()?;
        if let Some(record) = self.connections.get_mut(&chosen) {
            record.leaving_ms = Some(now_ms);
        }
        Some(chosen)
    }

    /// Whether connections of `kind` may give way to one of `newcomer` that costs `bytes`: not those whose places only
    /// `kind` may use, and not if `newcomer` has all places that it may use.
    fn may_give_way_to(&self, kind: ClientKind, newcomer: ClientKind, bytes: u64) -> bool {
        if kind == newcomer {
            return true;
        }
        if kind.is_small_listener() || newcomer.is_small_listener() {
            return false;
        }
        let share = self.share();
        let (used, own) = (self.use_of(kind), self.use_of(newcomer));
        let is_within_share = used.connections <= share.connections && used.bytes <= share.bytes;
        let has_all = own.connections >= self.limits.connections - share.connections
            || own.bytes + bytes > self.limits.bytes - share.bytes;
        !is_within_share && !has_all
    }

    /// Part of the places that only one kind may use.
    fn share(&self) -> PlaceUse {
        PlaceUse {
            connections: self.limits.connections / SHARE_DIVISOR,
            bytes: self.limits.bytes / SHARE_DIVISOR,
        }
    }

    fn use_of(&self, kind: ClientKind) -> PlaceUse {
        self.used.get(&kind).copied().unwrap_or_default()
    }

    fn shared_use(&self) -> PlaceUse {
        let (callers, daemons) = (
            self.use_of(ClientKind::Caller),
            self.use_of(ClientKind::Daemon),
        );
        PlaceUse {
            connections: callers.connections + daemons.connections,
            bytes: callers.bytes + daemons.bytes,
        }
    }
}
