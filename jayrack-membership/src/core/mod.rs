//! The state machine that decides what to send and whom to believe.
//!
//! * `options`: settings.
//! * `receive`: what a datagram changes.
//! * `merge`: what records and beliefs of others change.
//! * `probe`: failure detection.
//! * `outgoing`: composition of datagrams.
//! * `sync`: anti-entropy.
//! * `retry`: tries of addresses at which no running member is known.
//! * `leads`: addresses told to a daemon that is new.
//! * `applied`: aggregation of the versions in force.
mod applied;
mod leads;
mod merge;
mod options;
mod outgoing;
mod probe;
mod receive;
mod retry;
mod sync;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use jayrack_protocol::{MemberId, gossip::Datagram};
use prost::Message;
use rand_pcg::Pcg32;

pub use options::Options;

use crate::{
    budget::TokenBudget,
    digest::ViewDigest,
    floors::FloorTable,
    record::{MemberRecord, ServerRecord},
    replay::ReplayWindow,
    suspicion::Suspicion,
    updates::{UpdateKey, UpdateQueue},
    view::{MemberEntry, MemberStatus, MemberView},
    wire,
};

/// Something that happened to the daemon.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// An authenticated datagram arrived.
    Datagram {
        /// Address that it came from.
        from: SocketAddr,
        /// Its contents.
        datagram: Box<Datagram>,
    },
    /// Time passed; expected every [`TICK_INTERVAL_MS`].
    Tick,
    /// The backend servers beside the daemon changed.
    Servers(Vec<ServerRecord>),
    /// A configuration version came into force at the daemon.
    Applied(AppliedState),
    /// The daemon caught up with the configuration, or fell behind.
    Ready(bool),
    /// Addresses to join through.
    Seeds(Vec<SocketAddr>),
    /// The daemon stops.
    Leave,
}

/// Something that the driver has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Contents, to be sealed.
        datagram: Box<Datagram>,
    },
    /// The membership view changed.
    Changed,
    /// A peer reported the state of its configuration.
    PeerState {
        /// The peer.
        peer: MemberId,
        /// Its state.
        state: AppliedState,
    },
    /// A peer remembers this version from an earlier daemon at this address.
    Floor {
        /// The version.
        version: u64,
    },
    /// No other member is known and no seed answers.
    NeedContacts,
    /// The fleet was told that the daemon leaves.
    HasLeft,
}

/// State of a daemon's configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct AppliedState {
    /// Highest version in force.
    pub version: u64,
    /// Digest of the state at that version.
    pub digest: u64,
    /// Offset of the first record that the daemon lacks.
    pub next_offset: u64,
}

/// Time between two [`Input::Tick`], in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 100;

/// Membership as one daemon decides it.
#[derive(Debug)]
pub struct MembershipCore {
    options: Options,
    local: MemberRecord,
    applied: AppliedState,
    view: MemberView,
    digest: ViewDigest,
    running: RunningList,
    peers: BTreeMap<MemberId, PeerTrack>,
    suspicions: BTreeMap<MemberId, Suspicion>,
    updates: UpdateQueue,
    update_budget: TokenBudget,
    floors: FloorTable,
    highest_applied: u64,
    is_applied_changed: bool,
    learned: usize,
    sync_budget: TokenBudget,
    rechecks: BTreeSet<MemberId>,
    disputes: Vec<MemberId>,
    probe: probe::ProbeState,
    seeds: Vec<SocketAddr>,
    leads: Vec<SocketAddr>,
    rng: Pcg32,
    sequence: u32,
    schedule: Schedule,
    departure: Departure,
    actions: Vec<Action>,
}

/// What is kept of a member besides its entry in the view.
#[derive(Debug, Default)]
struct PeerTrack {
    window: ReplayWindow,
    heard_ms: Option<u64>,
}

/// The other members that are believed to run, collected anew after one came or went.
#[derive(Debug, Default)]
struct RunningList {
    ids: Vec<MemberId>,
    is_current: bool,
}

/// When periodic work is due, in milliseconds of the monotonic clock.
#[derive(Debug)]
struct Schedule {
    last_tick_ms: u64,
    next_gossip_ms: u64,
    next_retry_ms: u64,
    last_sync_ms: u64,
    next_sync_ms: u64,
    sync_interval_ms: u64,
    next_recheck_ms: u64,
    next_applied_ms: u64,
    next_forget_ms: u64,
    retries: u32,
}

/// How far the daemon is with leaving the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Staying,
    Announcing { rounds_left: u32 },
    Done,
}

const LEAVE_ROUNDS: u32 = 5;
const FORGET_INTERVAL_MS: u64 = 10_000;
const APPLIED_INTERVAL_MS: u64 = 1_000;
/// Bytes of updates sent per second, with probes or for their own sake.
const UPDATE_BYTES_PER_S: u64 = 1_400;
const UPDATE_BURST_BYTES: u64 = 8_000;
const SYNC_REPLIES_PER_S: u64 = 4;
const SYNC_REPLY_BURST: u64 = 16;
/// Time after which an unknown sender is forgotten.
const FORGET_SENDER_MS: u64 = 600_000;
/// Longest record of this daemon; backend servers that would exceed it are left out.
const MAX_RECORD_BYTES: usize = 620;

impl MembershipCore {
    /// Creates the state of a daemon that knows only itself.
    ///
    /// `seed` makes its random choices; `now_ms` is the time of the monotonic clock that all later
    /// inputs use.
    pub fn new(options: Options, local: MemberRecord, seed: u64, now_ms: u64) -> Self {
        let schedule = Schedule {
            last_tick_ms: now_ms,
            next_gossip_ms: now_ms,
            next_retry_ms: now_ms,
            last_sync_ms: now_ms,
            next_sync_ms: now_ms,
            sync_interval_ms: sync::CATCH_UP_INTERVAL_MS,
            next_recheck_ms: now_ms,
            next_applied_ms: now_ms,
            next_forget_ms: now_ms + FORGET_INTERVAL_MS,
            retries: 0,
        };
        let mut core = Self {
            probe: probe::ProbeState::new(now_ms),
            rng: Pcg32::new(seed, local.id.0),
            options,
            local,
            applied: AppliedState::default(),
            view: MemberView::default(),
            digest: ViewDigest::default(),
            running: RunningList::default(),
            peers: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            updates: UpdateQueue::default(),
            update_budget: TokenBudget::new(now_ms, UPDATE_BYTES_PER_S, UPDATE_BURST_BYTES),
            floors: FloorTable::default(),
            highest_applied: 0,
            is_applied_changed: false,
            learned: 0,
            sync_budget: TokenBudget::new(now_ms, SYNC_REPLIES_PER_S, SYNC_REPLY_BURST),
            rechecks: BTreeSet::new(),
            disputes: Vec::new(),
            seeds: Vec::new(),
            leads: Vec::new(),
            sequence: 0,
            schedule,
            departure: Departure::Staying,
            actions: Vec::new(),
        };
        core.store_local(now_ms);
        core
    }

    /// Takes one input and returns what is to be done, in order.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Action> {
        match input {
            Input::Datagram { from, datagram } => self.receive(now_ms, from, &datagram),
            Input::Tick => self.tick(now_ms),
            Input::Servers(servers) => self.set_servers(now_ms, servers),
            Input::Applied(state) => self.set_applied(now_ms, state),
            Input::Ready(ready) => self.set_ready(now_ms, ready),
            Input::Seeds(seeds) => self.set_seeds(now_ms, seeds),
            Input::Leave => self.leave(),
        }
        std::mem::take(&mut self.actions)
    }

    /// All members known, this daemon included.
    pub fn view(&self) -> &MemberView {
        &self.view
    }

    /// This daemon's own record.
    pub fn local(&self) -> &MemberRecord {
        &self.local
    }

    fn tick(&mut self, now_ms: u64) {
        if self.departure == Departure::Done {
            return;
        }
        let gap_ms = now_ms.saturating_sub(self.schedule.last_tick_ms);
        self.schedule.last_tick_ms = now_ms;
        self.note_gap(now_ms, gap_ms);
        if self.announce_departure(now_ms) {
            return;
        }
        self.tick_probe(now_ms);
        self.expire_suspicions(now_ms);
        self.tick_gossip(now_ms);
        self.tick_sync(now_ms);
        self.tick_retry(now_ms);
        self.tick_recheck(now_ms);
        self.tick_applied(now_ms);
        self.tick_forget(now_ms);
    }

    fn set_servers(&mut self, now_ms: u64, mut servers: Vec<ServerRecord>) {
        servers.sort();
        self.fit_servers(&mut servers);
        if servers != self.local.servers {
            self.local.servers = servers;
            self.publish_local(now_ms);
        }
    }

    fn fit_servers(&self, servers: &mut Vec<ServerRecord>) {
        let mut record = self.local.clone();
        record.servers = std::mem::take(servers);
        while wire::to_message(&record, u64::MAX).encoded_len() > MAX_RECORD_BYTES
            && record.servers.pop().is_some()
        {}
        *servers = record.servers;
    }

    fn set_ready(&mut self, now_ms: u64, ready: bool) {
        if ready != self.local.ready {
            self.local.ready = ready;
            self.publish_local(now_ms);
        }
    }

    fn set_applied(&mut self, now_ms: u64, state: AppliedState) {
        self.applied = state;
        self.raise_applied(now_ms, self.local.id, state.version);
    }

    fn set_seeds(&mut self, now_ms: u64, seeds: Vec<SocketAddr>) {
        let own = self.local.gossip_address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.schedule.next_retry_ms = now_ms;
        self.schedule.retries = 0;
    }

    fn leave(&mut self) {
        if self.departure == Departure::Staying {
            self.departure = Departure::Announcing {
                rounds_left: LEAVE_ROUNDS,
            };
        }
    }

    fn announce_departure(&mut self, now_ms: u64) -> bool {
        let Departure::Announcing { rounds_left } = self.departure else {
            return false;
        };
        if rounds_left == LEAVE_ROUNDS {
            self.set_status(now_ms, self.local.id, MemberStatus::Left);
        }
        self.updates.push(UpdateKey::Status(self.local.id));
        self.send_updates(now_ms);
        self.departure = match rounds_left {
            0 => Departure::Done,
            _ => Departure::Announcing {
                rounds_left: rounds_left - 1,
            },
        };
        if self.departure == Departure::Done {
            self.actions.push(Action::HasLeft);
        }
        true
    }

    fn tick_applied(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_applied_ms {
            return;
        }
        self.schedule.next_applied_ms = now_ms + APPLIED_INTERVAL_MS;
        self.question_applied();
        self.spread_applied(now_ms);
        if std::mem::take(&mut self.is_applied_changed) {
            self.actions.push(Action::Changed);
        }
    }

    fn tick_forget(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_forget_ms {
            return;
        }
        self.schedule.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
        let is_due = |entry: &MemberEntry| {
            let limit_ms = match entry.status {
                MemberStatus::Dead => self.options.forget_dead_ms,
                MemberStatus::Left => self.options.forget_left_ms,
                MemberStatus::Alive | MemberStatus::Suspect => return false,
            };
            now_ms.saturating_sub(entry.since_ms) >= limit_ms
        };
        let entries = self.view.members.values();
        let due: Vec<MemberId> = entries
            .filter(|entry| is_due(entry))
            .map(|entry| entry.record.id)
            .collect();
        for id in due {
            self.forget(id);
        }
        let members = &self.view.members;
        self.peers.retain(|id, track| {
            let heard_ms = track.heard_ms.unwrap_or(0);
            members.contains_key(id) || now_ms.saturating_sub(heard_ms) < FORGET_SENDER_MS
        });
    }

    fn forget(&mut self, id: MemberId) {
        if let Some(entry) = self.view.members.remove(&id) {
            self.digest.toggle(&entry);
            self.running.is_current = false;
        }
        self.peers.remove(&id);
        self.updates.remove(UpdateKey::Record(id));
        self.updates.remove(UpdateKey::Status(id));
        self.note_change();
    }

    fn publish_local(&mut self, now_ms: u64) {
        self.local.revision += 1;
        self.store_local(now_ms);
        self.schedule.next_gossip_ms = now_ms;
    }

    /// Stores the entry of a member and keeps the digests in step.
    fn put(&mut self, entry: MemberEntry) {
        let id = entry.record.id;
        let is_running = entry.status.is_running();
        self.digest.toggle(&entry);
        let previous = self.view.members.insert(id, entry);
        if let Some(previous) = &previous {
            self.digest.toggle(previous);
        }
        if previous.is_some_and(|previous| previous.status.is_running()) != is_running {
            self.running.is_current = false;
        }
        self.note_change();
    }

    fn raise_incarnation(&mut self, now_ms: u64, above: u64) {
        self.local.incarnation = self.local.incarnation.max(above).saturating_add(1);
        self.local.revision = 0;
        self.store_local(now_ms);
    }

    fn store_local(&mut self, now_ms: u64) {
        let since_ms = match self.view.get(self.local.id) {
            Some(entry) => entry.since_ms,
            None => now_ms,
        };
        let entry = MemberEntry {
            record: Arc::new(self.local.clone()),
            status: MemberStatus::Alive,
            since_ms,
            applied_version: self.applied.version,
        };
        self.put(entry);
        self.updates.push(UpdateKey::Record(self.local.id));
    }

    fn note_change(&mut self) {
        self.view.generation += 1;
        if self.actions.last() != Some(&Action::Changed) {
            self.actions.push(Action::Changed);
        }
    }
}
