//! Discovery of members through contacts: gossip addresses that daemons publish in the log.
//!
//! A constant number of members, chosen by rendezvous hashing, are contact publishers and append
//! their address periodically. A daemon that knows no other member reads the addresses and tries
//! to join through those that it has not tried before. It then makes attempts after random delays:
//! each reads again and, when no address is new, appends the daemon's own. The delays are
//! distributed so that only a few attempts come early, however many daemons are waiting; the other
//! daemons read the addresses of these few before their own attempt.
use std::{collections::BTreeSet, net::SocketAddr};

use jayrack_protocol::MemberId;
use rand_pcg::{Pcg32, rand_core::Rng};

use crate::view::{MemberEntry, MemberView, heaviest};

/// Number of members that publish their address in the log.
pub const CONTACT_PUBLISHERS: usize = 5;
/// Maximum number of addresses used from one read, newest first.
pub const MAX_CONTACTS: usize = 8;
/// Time between two appends of a contact publisher; jitter shortens it by up to a quarter.
pub const REFRESH_INTERVAL_MS: u64 = 600_000;
/// Time for which a member must have been a contact publisher before it appends; jitter extends it
/// to up to twice as long.
pub const PUBLISHER_SETTLE_MS: u64 = 30_000;
/// Longest delay before an attempt of a daemon that knows no other member.
pub const MAX_ATTEMPT_DELAY_MS: u64 = 20_000;
/// Age from which an address is ignored, in milliseconds of the log's clock.
pub const MAX_AGE_MS: u64 = 3 * REFRESH_INTERVAL_MS;

/// Maximum number of stored offsets of addresses that were tried.
const MAX_TRIED_OFFSETS: usize = 1_024;
const FIRST_READ_JITTER_MS: u64 = 1_000;
const INITIAL_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_MS: u64 = 60_000;
const PUBLISHER_KEY: u64 = 0x636f_6e74_6163_7473;
/// Steepness of the exponential distribution of attempts; suits fleets of up to about e to this
/// power daemons.
const ATTEMPT_DELAY_STEEPNESS: f64 = 10.0;

/// An address found in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ContactRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Time of the record by the log's clock.
    pub time_ms: u64,
    /// Gossip address of the daemon that appended it.
    pub address: SocketAddr,
}

/// Role of a daemon in the publication of contacts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ContactRole {
    /// Whether the daemon is one of the contact publishers.
    pub is_publisher: bool,
    /// Whether the daemon knows no other running member.
    pub is_alone: bool,
}

/// An event that the state machine handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time passed; expected about every second.
    Tick,
    /// The membership view changed; carries the role of the daemon in it.
    Role(ContactRole),
    /// A read of the log's last records succeeded.
    Read {
        /// The addresses found, in any order.
        contacts: Vec<ContactRecord>,
        /// Current time by the log's clock.
        log_now_ms: u64,
    },
    /// A read or an append failed, or its outcome is not known.
    Failed,
    /// An append succeeded.
    Appended,
}

/// An action for the driver; at most one read or append is pending at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the last records of the stream.
    Read,
    /// Append this daemon's gossip address.
    Append(SocketAddr),
    /// Join through these addresses.
    Seeds(Vec<SocketAddr>),
}

/// Progress of the search for other members.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    Joined,
    /// Reads at this time and then schedules an attempt.
    InitialRead {
        at_ms: u64,
    },
    /// Reads at this time and appends unless the read returns new addresses.
    Attempt {
        at_ms: u64,
    },
}

/// State machine by which one daemon publishes its contact and finds those of others.
#[derive(Debug)]
pub struct ContactCore {
    local: SocketAddr,
    rng: Pcg32,
    search: Search,
    tried_offsets: BTreeSet<u64>,
    append_at_ms: Option<u64>,
    appended_ms: Option<u64>,
    is_busy: bool,
    not_before_ms: u64,
    backoff_ms: u64,
}

impl ContactCore {
    /// Creates the state of a daemon that knows no other member.
    pub fn new(local: SocketAddr, seed: u64, now_ms: u64) -> Self {
        let mut core = Self {
            local,
            rng: Pcg32::new(seed, MemberId::from_address(local).0),
            search: Search::Joined,
            tried_offsets: BTreeSet::new(),
            append_at_ms: None,
            appended_ms: None,
            is_busy: false,
            not_before_ms: now_ms,
            backoff_ms: INITIAL_BACKOFF_MS,
        };
        core.start_search(now_ms);
        core
    }

    /// Handles one input and returns the actions to perform.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => self.tick(now_ms).into_iter().collect(),
            Input::Role(role) => {
                self.set_role(now_ms, role);
                Vec::new()
            }
            Input::Read {
                contacts,
                log_now_ms,
            } => self.handle_read(now_ms, contacts, log_now_ms),
            Input::Failed => {
                self.record_failure(now_ms);
                Vec::new()
            }
            Input::Appended => {
                self.handle_appended(now_ms);
                Vec::new()
            }
        }
    }

    fn tick(&mut self, now_ms: u64) -> Option<Action> {
        if self.is_busy || now_ms < self.not_before_ms {
            return None;
        }
        if self.append_at_ms.is_some_and(|at_ms| now_ms >= at_ms) {
            self.is_busy = true;
            return Some(Action::Append(self.local));
        }
        let (Search::InitialRead { at_ms } | Search::Attempt { at_ms }) = self.search else {
            return None;
        };
        (now_ms >= at_ms).then(|| {
            self.is_busy = true;
            Action::Read
        })
    }

    fn set_role(&mut self, now_ms: u64, role: ContactRole) {
        match (role.is_alone, self.search) {
            (true, Search::Joined) => self.start_search(now_ms),
            (false, Search::InitialRead { .. } | Search::Attempt { .. }) => {
                self.search = Search::Joined;
                self.append_at_ms = None;
            }
            _ => {}
        }
        let is_publisher = role.is_publisher && !role.is_alone;
        match (is_publisher, self.append_at_ms) {
            (true, None) => {
                let wait_ms = PUBLISHER_SETTLE_MS + self.random_below(PUBLISHER_SETTLE_MS);
                self.append_at_ms = Some(now_ms + wait_ms);
            }
            (false, Some(_)) if !role.is_alone => self.append_at_ms = None,
            _ => {}
        }
    }

    fn start_search(&mut self, now_ms: u64) {
        let at_ms = now_ms + self.random_below(FIRST_READ_JITTER_MS);
        self.search = Search::InitialRead { at_ms };
        self.append_at_ms = None;
    }

    fn handle_read(
        &mut self,
        now_ms: u64,
        mut contacts: Vec<ContactRecord>,
        log_now_ms: u64,
    ) -> Vec<Action> {
        self.record_success();
        contacts.retain(|contact| contact.address != self.local);
        contacts.retain(|contact| log_now_ms.saturating_sub(contact.time_ms) < MAX_AGE_MS);
        contacts.retain(|contact| !self.tried_offsets.contains(&contact.offset));
        contacts.sort_by_key(|contact| std::cmp::Reverse(contact.offset));
        contacts.truncate(MAX_CONTACTS);
        self.advance_search(now_ms, contacts.is_empty());
        if contacts.is_empty() {
            return Vec::new();
        }
        self.tried_offsets
            .extend(contacts.iter().map(|contact| contact.offset));
        while self.tried_offsets.len() > MAX_TRIED_OFFSETS {
            self.tried_offsets.pop_first();
        }
        let seeds = contacts.iter().map(|contact| contact.address).collect();
        vec![Action::Seeds(seeds)]
    }

    fn advance_search(&mut self, now_ms: u64, is_empty: bool) {
        match self.search {
            Search::Joined => {}
            Search::Attempt { .. } if is_empty && self.may_append(now_ms) => {
                self.append_at_ms = Some(now_ms);
                self.schedule_attempt(now_ms);
            }
            Search::InitialRead { .. } | Search::Attempt { .. } => self.schedule_attempt(now_ms),
        }
    }

    /// Limits a daemon that stays alone to one append in [`REFRESH_INTERVAL_MS`], no more than a
    /// contact publisher makes.
    fn may_append(&self, now_ms: u64) -> bool {
        self.appended_ms
            .is_none_or(|appended_ms| now_ms.saturating_sub(appended_ms) >= REFRESH_INTERVAL_MS)
    }

    /// Schedules the next attempt at random: the fraction of daemons whose attempt is due grows
    /// exponentially until [`MAX_ATTEMPT_DELAY_MS`].
    fn schedule_attempt(&mut self, now_ms: u64) {
        let uniform = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        let scaled =
            (1.0 + ATTEMPT_DELAY_STEEPNESS.exp_m1() * uniform).ln() / ATTEMPT_DELAY_STEEPNESS;
        let wait_ms = (scaled * MAX_ATTEMPT_DELAY_MS as f64) as u64;
        self.search = Search::Attempt {
            at_ms: now_ms + wait_ms,
        };
    }

    fn handle_appended(&mut self, now_ms: u64) {
        self.record_success();
        self.appended_ms = Some(now_ms);
        self.append_at_ms = match self.search {
            Search::Joined => {
                let jitter_ms = self.random_below(REFRESH_INTERVAL_MS / 4);
                Some(now_ms + REFRESH_INTERVAL_MS - jitter_ms)
            }
            Search::InitialRead { .. } | Search::Attempt { .. } => None,
        };
    }

    fn record_success(&mut self) {
        self.is_busy = false;
        self.backoff_ms = INITIAL_BACKOFF_MS;
    }

    fn record_failure(&mut self, now_ms: u64) {
        self.is_busy = false;
        self.not_before_ms = now_ms + self.backoff_ms / 2 + self.random_below(self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }

    fn random_below(&mut self, bound_ms: u64) -> u64 {
        (u64::from(self.rng.next_u32()) * bound_ms) >> u32::BITS
    }
}

/// Returns the role of `local` among the members of `view`.
pub fn role(view: &MemberView, local: MemberId) -> ContactRole {
    let running: Vec<&MemberEntry> = view.running().collect();
    ContactRole {
        is_publisher: heaviest(&running, PUBLISHER_KEY, CONTACT_PUBLISHERS).contains(&local),
        is_alone: running.iter().all(|entry| entry.record.id == local),
    }
}
