//! Which request owns an Idempotency-Key, wherever the caller repeats it.
//!
//! Every key has three homes, the members with the highest rendezvous weight. A first attempt runs
//! only after a majority of the homes has granted its claim *and* vouched that it has forgotten
//! none: it has run for longer than claims are kept. Any two majorities share a home, so two
//! requests with the same key never both run.
//!
//! When members change, two sets of homes are consulted. The *vouching* set is taken from all
//! members known within the retention time, the dead among them; the *recording* set from the
//! living. A claim must be granted by a majority of both: members of a later vouching set that can
//! vouch were alive at the time of the claim, and so belonged to its recording set.
use std::collections::BTreeMap;

use jayrack_protocol::{MemberId, RequestId, id::rendezvous_weight};

/// Homes of each key.
pub const CLAIM_REPLICAS: usize = 3;
/// Passes over all claims within the time that they are kept.
const PURGES_PER_RETENTION: u64 = 4;

/// Settings of a [`ClaimRegistry`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time that a claim is kept after its last change, in milliseconds.
    pub retention_ms: u64,
    /// Greatest number of claims; further ones are refused.
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

/// What the choice of homes needs to know about one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSummary {
    /// The daemon.
    pub id: MemberId,
    /// Whether it is believed to run.
    pub alive: bool,
    /// When it was first seen alive, in milliseconds of the local monotonic clock.
    pub alive_since_ms: u64,
    /// When it was found dead or left, in milliseconds of the local monotonic clock.
    pub dead_since_ms: Option<u64>,
}

/// The homes of one key in one view of the members.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct ReplicaSet {
    /// Homes among all members known within the retention time; a majority must vouch.
    pub vouching: Vec<MemberId>,
    /// Homes among the living members; a majority must record.
    pub recording: Vec<MemberId>,
    /// Living members of both sets, in the order of their identifiers: those to be asked.
    pub asked: Vec<MemberId>,
}

/// A request's claim to a key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimRequest {
    /// Hash of the Idempotency-Key and what scopes it.
    pub key_hash: u128,
    /// Hash of the request's method, target and body.
    pub request_digest: u64,
    /// The request.
    pub request: RequestId,
    /// The daemon that the request entered at.
    pub ingress: MemberId,
    /// The owner that the request is going to be sent to.
    pub owner: MemberId,
    /// An earlier holder of this key that certainly did not and will not run at its owner.
    pub replaces: Option<KeyHolder>,
}

/// The request that holds a key, and the only owner that it may be running at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHolder {
    /// The request.
    pub request: RequestId,
    /// The owner that it was going to be sent to last.
    pub owner: MemberId,
    /// Number of owners that it was going to be sent to before.
    pub attempt: u32,
}

/// How far a claim's request is known to have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimState {
    /// May be running.
    Open,
    /// Ran.
    Done,
    /// May have run, and more will not be known.
    Unknown,
}

/// How a claim's request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimOutcome {
    /// Ran; its owner has the answer.
    Done,
    /// Did not run and never will; the key is free.
    NotRun,
    /// May have run.
    Unknown,
}

/// A home's answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ClaimReply {
    /// The claim is recorded, and no other was forgotten.
    Granted,
    /// Another request holds the key.
    Held {
        /// That request and its owner.
        holder: KeyHolder,
        /// How far it has come.
        state: ClaimState,
    },
    /// The key was used for a different request.
    Mismatch,
    /// The claim is recorded, but the home has not run long enough to know of earlier ones.
    CannotVouch,
    /// The home is full; the claim is not recorded.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct ClaimRecord {
    request_digest: u64,
    holder: KeyHolder,
    state: ClaimState,
    changed_ms: u64,
}

/// The claims at one home.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRegistry {
    options: Options,
    /// When claims that the daemon may have forgotten at its start are past their retention.
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

    /// Lets the registry vouch at once: no claim can have been made before it was created, as when
    /// the fleet had no configuration yet.
    pub fn assume_complete(&mut self) {
        self.vouches_from_ms = 0;
    }

    /// Records `claim` unless another request holds its key.
    ///
    /// A claim that arrives again leaves the record as it is, since the holder may have gone on to
    /// another owner since.
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

    /// Notes the owner that `holder.request` is going to be sent to next. Returns whether that
    /// request still holds the key; if not, it must not be sent.
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

    /// Notes how the holder ended. A key whose holder did not run becomes free.
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

    /// Number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn can_vouch(&self, now_ms: u64) -> bool {
        now_ms >= self.vouches_from_ms
    }

    /// Forgets claims past their retention, a few times within it.
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

/// The homes of `key_hash` among `peers`, the local daemon included.
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
