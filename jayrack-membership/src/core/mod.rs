//! The state machine of the membership protocol.
//!
//! * `options`: settings.
//! * `messages`: inputs and actions.
//! * `local`: this daemon's own record and its departure.
//! * `cleanup`: removal of ended members and unknown senders.
//! * `receive`: handling of received datagrams.
//! * `merge`: merging of records and statuses from other members.
//! * `probe`: failure detection.
//! * `relay`: indirect probes on behalf of other members.
//! * `health`: local health, the reliability of this daemon's own probes.
//! * `outgoing`: composition of datagrams.
//! * `sync`: anti-entropy.
//! * `retry`: pings of addresses at which no running member is known.
//! * `candidates`: addresses of members, sent to a new member.
//! * `applied`: aggregation of the versions in force.
mod applied;
mod candidates;
mod cleanup;
mod health;
mod local;
mod merge;
mod messages;
mod options;
mod outgoing;
mod probe;
mod receive;
mod relay;
mod retry;
mod sync;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jayrack_protocol::MemberId;
use rand_pcg::Pcg32;

pub use messages::{Action, AppliedState, Input};
pub use options::Options;

use crate::{
    address_history::AddressHistory,
    digest::ViewDigest,
    record::MemberRecord,
    replay::ReplayWindow,
    suspicion::Suspicion,
    token_bucket::TokenBucket,
    updates::UpdateQueue,
    view::{MemberEntry, MemberView},
};

/// Interval of [`Input::Tick`], in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 100;

/// State machine of one daemon's membership.
#[derive(Debug)]
pub struct MembershipCore {
    options: Options,
    local: MemberRecord,
    applied: AppliedState,
    view: MemberView,
    digest: ViewDigest,
    running: RunningList,
    peers: BTreeMap<MemberId, PeerState>,
    suspicions: BTreeMap<MemberId, Suspicion>,
    updates: UpdateQueue,
    update_budget: TokenBucket,
    address_history: AddressHistory,
    highest_applied: u64,
    is_applied_changed: bool,
    learned: usize,
    sync_budget: TokenBucket,
    rechecks: BTreeSet<MemberId>,
    disputes: Vec<MemberId>,
    probe: probe::ProbeState,
    seeds: Vec<SocketAddr>,
    candidates: Vec<SocketAddr>,
    rng: Pcg32,
    sequence: u32,
    last_received_ms: u64,
    schedule: Schedule,
    departure: Departure,
    actions: Vec<Action>,
}

/// State of a peer besides its entry in the view.
#[derive(Debug, Default)]
struct PeerState {
    window: ReplayWindow,
    last_received_ms: Option<u64>,
}

/// Cached list of the other running members, rebuilt after a member starts or ends.
#[derive(Debug, Default)]
struct RunningList {
    ids: Vec<MemberId>,
    is_current: bool,
}

/// Due times of periodic work, in milliseconds of the monotonic clock.
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
    next_cleanup_ms: u64,
    retries: u32,
}

/// Progress of the daemon's departure from the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    Staying,
    Announcing { rounds_left: u32 },
    Done,
}

/// Bytes of updates sent per second, piggybacked on probes or in datagrams of their own.
const UPDATE_BYTES_PER_S: u64 = 1_400;
const UPDATE_BURST_BYTES: u64 = 8_000;
const SYNC_REPLIES_PER_S: u64 = 4;
const SYNC_REPLY_BURST: u64 = 16;

impl MembershipCore {
    /// Creates the state of a daemon that knows only itself.
    ///
    /// `seed` initialises its random number generator; `now_ms` is the time of the monotonic clock
    /// that all later inputs use.
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
            next_cleanup_ms: now_ms + cleanup::CLEANUP_INTERVAL_MS,
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
            update_budget: TokenBucket::new(now_ms, UPDATE_BYTES_PER_S, UPDATE_BURST_BYTES),
            address_history: AddressHistory::default(),
            highest_applied: 0,
            is_applied_changed: false,
            learned: 0,
            sync_budget: TokenBucket::new(now_ms, SYNC_REPLIES_PER_S, SYNC_REPLY_BURST),
            rechecks: BTreeSet::new(),
            disputes: Vec::new(),
            seeds: Vec::new(),
            candidates: Vec::new(),
            sequence: 0,
            last_received_ms: now_ms,
            schedule,
            departure: Departure::Staying,
            actions: Vec::new(),
        };
        core.store_local(now_ms);
        core
    }

    /// Handles one input and returns the actions to perform, in order.
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
        self.compensate_tick_gap(now_ms, gap_ms);
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
        self.tick_cleanup(now_ms);
    }

    /// Stores the entry of a member and updates the digests.
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
        self.record_change();
    }

    fn record_change(&mut self) {
        self.view.generation += 1;
        if self.actions.last() != Some(&Action::Changed) {
            self.actions.push(Action::Changed);
        }
    }
}
