//! Claims on idempotency keys: which request holds an Idempotency-Key, at whichever ingress the caller
//! retries it.
//!
//! Every key has three claim replicas, the members with the highest rendezvous weights. A first
//! attempt runs only after a majority of the replicas has granted its claim *and* vouched that it has
//! lost no earlier claim, since it has been running for longer than claims are kept. Any two majorities
//! share a replica, so two requests with the same key never both run.
//!
//! Because members change, there are two replica sets. The *vouching* set is chosen from all members
//! known within the retention time, including dead ones; the *recording* set from the live members. A
//! claim must be granted by a majority of each: members of a later vouching set that can vouch were
//! alive at the time of the claim, and so belonged to its recording set.
use std::collections::BTreeMap;

use jayrack_protocol::{MemberId, RequestId, id::rendezvous_weight};

/// Number of claim replicas of each key.
pub const CLAIM_REPLICAS: usize = 3;
/// Number of times that all claims are checked for expiry within the retention time.
const PURGES_PER_RETENTION: u64 = 4;

/// Settings of a [`ClaimRegistry`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time for which a claim is kept after its last change, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of claims; further ones are refused.
    pub max_claims: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            retention_ms: 60_000,
            max_claims: 20_000,
        }
    }
}

/// State of one daemon, as far as the choice of claim replicas depends on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSummary {
    /// Identifier of the daemon.
    pub id: MemberId,
    /// Whether it counts as alive.
    pub alive: bool,
    /// Time at which it was first seen alive, in milliseconds of the local monotonic clock.
    pub alive_since_ms: u64,
    /// Time at which it was found dead or left, in milliseconds of the local monotonic clock.
    pub dead_since_ms: Option<u64>,
}

/// The claim replicas of one key in one view of the members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaSet {
    /// Replicas among all members known within the retention time; a majority must vouch.
    pub vouching: Vec<MemberId>,
    /// Replicas among the live members; a majority must record the claim.
    pub recording: Vec<MemberId>,
    /// Live members of either set, ordered by identifier: those that claims are sent to.
    pub asked: Vec<MemberId>,
}

/// A request's claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRequest {
    /// Hash of the Idempotency-Key and its scope.
    pub key_hash: u128,
    /// Hash of the request's method, target and body.
    pub request_digest: u64,
    /// Identifier of the request.
    pub request: RequestId,
    /// The daemon at which the request entered.
    pub ingress: MemberId,
    /// The owner that the request will be sent to.
    pub owner: MemberId,
    /// An earlier holder of this key that certainly did not run at its owner and never will.
    pub replaces: Option<KeyHolder>,
}

/// The request that holds a key, and the only owner at which it may be running.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHolder {
    /// Identifier of the request.
    pub request: RequestId,
    /// The last owner that was recorded for it.
    pub owner: MemberId,
    /// Number of owners that were recorded for it before.
    pub attempt: u32,
}

/// State of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimState {
    /// The request may be running.
    Open,
    /// The request ran.
    Done,
    /// The request may have run; its outcome is final and unknown.
    Unknown,
}

/// How a claim's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimOutcome {
    /// The request ran; its owner has the answer.
    Done,
    /// The request did not run and never will; the key is released.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A replica's reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimReply {
    /// The claim is recorded, and the replica vouches that it has lost no earlier claim.
    Granted,
    /// Another request holds the key.
    Held {
        /// That request and its owner.
        holder: KeyHolder,
        /// State of its claim.
        state: ClaimState,
    },
    /// The key was used for a different request.
    Mismatch,
    /// The claim is recorded, but the replica has not been running for long enough to vouch that it has
    /// lost no earlier claim.
    CannotVouch,
    /// The replica stores its maximum number of claims; the claim is not recorded.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ClaimRecord {
    request_digest: u64,
    holder: KeyHolder,
    state: ClaimState,
    changed_ms: u64,
}

/// The claims stored at one replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRegistry {
    options: Options,
    /// Time at which claims that the daemon may have lost at its start are past their retention.
    vouches_from_ms: u64,
    purged_ms: u64,
    claims: BTreeMap<u128, ClaimRecord>,
}

impl ClaimRegistry {
    /// Creates the empty registry of a daemon that started at `now_ms`.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            vouches_from_ms: now_ms.saturating_add(options.retention_ms),
            options,
            purged_ms: now_ms,
            claims: BTreeMap::new(),
        }
    }

    /// Declares that no claim can have been made before the registry was created, as when the fleet had
    /// no configuration yet. The registry then vouches at once.
    pub fn assume_complete(&mut self) {
        self.vouches_from_ms = 0;
    }

    /// Records `claim` unless another request holds its key.
    ///
    /// A claim that arrives again leaves the record unchanged, since the holder may have been sent to
    /// another owner in the meantime.
    pub fn claim(&mut self, now_ms: u64, claim: &ClaimRequest) -> ClaimReply {
        self.purge(now_ms);
        let is_full = self.claims.len() >= self.options.max_claims;
        match self.claims.get_mut(&claim.key_hash) {
            Some(record) if record.request_digest != claim.request_digest => {
                return ClaimReply::Mismatch;
            }
            Some(record) if record.holder.request == claim.request => {}
            Some(record) if Some(record.holder) == claim.replaces => {
                *record = ClaimRecord::new(now_ms, claim);
            }
            Some(record) => return record.held(),
            None if is_full => return ClaimReply::Full,
            None => {
                let record = ClaimRecord::new(now_ms, claim);
                self.claims.insert(claim.key_hash, record);
            }
        }
        if self.can_vouch(now_ms) {
            ClaimReply::Granted
        } else {
            ClaimReply::CannotVouch
        }
    }

    /// Records the owner that `holder.request` will be sent to next. Returns whether that request still
    /// holds the key with this owner; if not, it must not be sent.
    pub fn record_owner(&mut self, now_ms: u64, key_hash: u128, holder: KeyHolder) -> bool {
        match self.claims.get_mut(&key_hash) {
            Some(record) if record.holder.request == holder.request => {
                if holder.attempt > record.holder.attempt {
                    record.holder = holder;
                    record.changed_ms = now_ms;
                }
                record.holder == holder
            }
            _ => false,
        }
    }

    /// Records the outcome of the holder. A key whose holder did not run is released.
    pub fn resolve(
        &mut self,
        now_ms: u64,
        key_hash: u128,
        request: RequestId,
        outcome: ClaimOutcome,
    ) {
        let Some(record) = self.claims.get_mut(&key_hash) else {
            return;
        };
        if record.holder.request != request {
            return;
        }
        record.changed_ms = now_ms;
        match outcome {
            ClaimOutcome::Done => record.state = ClaimState::Done,
            ClaimOutcome::Unknown => record.state = ClaimState::Unknown,
            ClaimOutcome::NotRun => {
                self.claims.remove(&key_hash);
            }
        }
    }

    /// Number of claims stored.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn can_vouch(&self, now_ms: u64) -> bool {
        now_ms >= self.vouches_from_ms
    }

    /// Removes claims past their retention, at most [`PURGES_PER_RETENTION`] times within it.
    fn purge(&mut self, now_ms: u64) {
        let retention_ms = self.options.retention_ms;
        if now_ms.saturating_sub(self.purged_ms) < retention_ms / PURGES_PER_RETENTION {
            return;
        }
        self.purged_ms = now_ms;
        self.claims
            .retain(|_, record| now_ms.saturating_sub(record.changed_ms) <= retention_ms);
    }
}

impl ClaimRecord {
    fn new(now_ms: u64, claim: &ClaimRequest) -> Self {
        Self {
            request_digest: claim.request_digest,
            holder: KeyHolder {
                request: claim.request,
                owner: claim.owner,
                attempt: 0,
            },
            state: ClaimState::Open,
            changed_ms: now_ms,
        }
    }

    fn held(&self) -> ClaimReply {
        ClaimReply::Held {
            holder: self.holder,
            state: self.state,
        }
    }
}

/// The claim replicas of `key_hash` among `peers`, which include the local daemon.
pub fn claim_replicas(
    key_hash: u128,
    peers: &[PeerSummary],
    now_ms: u64,
    retention_ms: u64,
) -> ReplicaSet {
    let known = peers.iter().filter(|peer| {
        peer.alive
            || peer
                .dead_since_ms
                .is_some_and(|dead_ms| now_ms.saturating_sub(dead_ms) <= retention_ms)
    });
    let live = peers.iter().filter(|peer| peer.alive);
    let vouching = heaviest(key_hash, known);
    let recording = heaviest(key_hash, live.clone());
    let asked = live
        .map(|peer| peer.id)
        .filter(|id| vouching.contains(id) || recording.contains(id));
    let mut asked: Vec<MemberId> = asked.collect();
    asked.sort();
    ReplicaSet {
        vouching,
        recording,
        asked,
    }
}

fn heaviest<'a>(key_hash: u128, peers: impl Iterator<Item = &'a PeerSummary>) -> Vec<MemberId> {
    let key = (key_hash >> 64) as u64 ^ key_hash as u64;
    let mut weighted: Vec<(u64, MemberId)> = peers
        .map(|peer| (rendezvous_weight(key, peer.id), peer.id))
        .collect();
    weighted.sort_by(|left, right| right.cmp(left));
    weighted.truncate(CLAIM_REPLICAS);
    weighted.into_iter().map(|(_, id)| id).collect()
}
