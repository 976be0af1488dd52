//! Exchange of records with peers: pushes, pulls and digests.
use jayrack_protocol::{MemberId, ResultCode};

use super::{Action, ConfigSync, PeerDigest, PullAnswer, RecordPush, fleet::random_below};
use crate::{object::Version, record::StoredRecord, snapshot};

/// Limit on the text of the records in one push, in bytes; larger batches are left to pulls.
const PUSH_LIMIT_BYTES: usize = 256 * 1024;

/// Upper bound of the time between two pulls when no sign shows that the daemon is behind, in milliseconds.
pub(super) const PULL_INTERVAL_MS: u64 = 60_000;

/// Upper bound of the time between two pulls while peers must confirm the version or a gap, in milliseconds.
const CONFIRMATION_INTERVAL_MS: u64 = 400;

/// A pull that was not answered yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct PullInFlight {
    peer: MemberId,
    deadline_ms: u64,
}

impl ConfigSync {
    /// Answers a peer's pull; `minimum_version` is the version that this daemon has stored for the peer's address.
    pub fn answer_pull(&mut self, from: u64, max: usize, minimum_version: Version) -> PullAnswer {
        if !self.is_ready() {
            return PullAnswer {
                minimum_version,
                ..PullAnswer::default()
            };
        }
        let records = match from > self.state.next_offset() {
            true => Some(Vec::new()),
            false => self.tail.from(from, max),
        };
        PullAnswer {
            snapshot: records.is_none().then(|| self.snapshot_text()),
            records: records.unwrap_or_default(),
            next_offset: self.state.next_offset(),
            version: self.state.version(),
            digest: self.state.digest(),
            minimum_version,
        }
    }

    /// Pushes records to a few random members.
    pub(super) fn relay(
        &mut self,
        records: Vec<StoredRecord>,
        hops: u32,
        actions: &mut Vec<Action>,
    ) {
        let size_bytes: usize = records.iter().map(|record| record.data.len()).sum();
        if records.is_empty() || hops == 0 || !self.is_ready() || size_bytes > PUSH_LIMIT_BYTES {
            return;
        }
        let peers = self.fleet.choose_peers(self.options.fanout, &mut self.rng);
        if !peers.is_empty() {
            let hops = hops - 1;
            actions.push(Action::Push {
                peers,
                records,
                hops,
            });
        }
    }

    pub(super) fn pushed(&mut self, now_ms: u64, push: &RecordPush, actions: &mut Vec<Action>) {
        self.last_reader_activity_ms = now_ms;
        let has_gap = self.fold_new(&push.records, push.hops, actions);
        if let (true, Some(peer)) = (has_gap, push.peer) {
            self.start_pull(now_ms, peer, actions);
        }
    }

    pub(super) fn pulled(
        &mut self,
        now_ms: u64,
        peer: MemberId,
        answer: &PullAnswer,
        actions: &mut Vec<Action>,
    ) {
        self.pull_ended(peer);
        self.readiness.raise_minimum_version(answer.minimum_version);
        self.readiness.add_answered_peer(peer);
        if answer.digest == 0 {
            return;
        }
        self.readiness.raise_minimum_version(answer.version);
        let before = self.state.next_offset();
        match &answer.snapshot {
            Some(text) => match snapshot::decode(text) {
                Ok(state) => _ = self.install(state),
                Err(error) => self.report(error.code(), peer.0, error.to_string(), actions),
            },
            None => _ = self.fold_new(&answer.records, 0, actions),
        }
        self.compare_digest(peer, answer.version, answer.digest, actions);
        if self.state.next_offset() >= answer.next_offset {
            self.count_confirmation(peer, answer.version);
        } else if self.state.next_offset() > before {
            self.start_pull(now_ms, peer, actions);
        }
    }

    /// Counts a ready peer as confirming, unless its version is higher.
    fn count_confirmation(&mut self, peer: MemberId, version: Version) {
        if self.state.version() < version {
            return;
        }
        if let Some(data_centre) = self.fleet.data_centre(peer).map(str::to_string) {
            self.readiness.add_confirming_peer(peer, &data_centre);
            self.confirm_gap(&data_centre);
        }
    }

    pub(super) fn peer_digest(
        &mut self,
        now_ms: u64,
        digest: &PeerDigest,
        actions: &mut Vec<Action>,
    ) {
        if let Some(log_now_ms) = digest.log_now_ms
            && log_now_ms > self.log.now_ms
        {
            self.log.now_ms = log_now_ms;
            self.log.received_ms = now_ms;
            self.last_reader_activity_ms = now_ms;
        }
        if digest.digest == 0 {
            return;
        }
        self.readiness.raise_minimum_version(digest.version);
        self.compare_digest(digest.peer, digest.version, digest.digest, actions);
        let next_offset = digest
            .next_offset
            .unwrap_or(digest.version.saturating_add(1));
        let is_behind =
            self.state.version() < digest.version || self.state.next_offset() < next_offset;
        let is_confirmation_wanted = self.readiness.needs_confirming_peers()
            && !self.is_ready()
            && !self.readiness.is_confirmed_by(digest.peer);
        if is_behind || is_confirmation_wanted || self.is_gap_confirmation_wanted(digest.peer) {
            self.start_pull(now_ms, digest.peer, actions);
        }
    }

    fn compare_digest(
        &mut self,
        peer: MemberId,
        version: Version,
        digest: u64,
        actions: &mut Vec<Action>,
    ) {
        if version == self.state.version() && digest != self.state.digest() {
            let detail = format!("member {peer} has another state for version {version}");
            self.report(
                ResultCode::DigestDiverged,
                peer.0 ^ version,
                detail,
                actions,
            );
        }
    }

    pub(super) fn start_pull(&mut self, now_ms: u64, peer: MemberId, actions: &mut Vec<Action>) {
        if self.pull.is_some() || self.halted.is_some() {
            return;
        }
        self.pull = Some(PullInFlight {
            peer,
            deadline_ms: now_ms + self.options.pull_timeout_ms,
        });
        actions.push(Action::Pull {
            peer,
            from: self.state.next_offset(),
            max: self.options.read_records,
        });
    }

    pub(super) fn pull_ended(&mut self, peer: MemberId) {
        self.pull.take_if(|pull| pull.peer == peer);
    }

    pub(super) fn expire_pull(&mut self, now_ms: u64) {
        self.pull.take_if(|pull| now_ms >= pull.deadline_ms);
    }

    /// Pulls from a random peer once the interval has elapsed.
    pub(super) fn pull_when_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let is_urgent =
            !self.is_ready() && self.readiness.needs_confirming_peers() || self.gap.is_some();
        if now_ms < self.next_pull_ms || (!self.is_ready() && !is_urgent) {
            return;
        }
        let interval_ms = match is_urgent {
            true => CONFIRMATION_INTERVAL_MS,
            false => PULL_INTERVAL_MS,
        };
        self.next_pull_ms = now_ms + interval_ms / 2 + random_below(&mut self.rng, interval_ms / 2);
        if let Some(peer) = self.choose_pull_peer() {
            self.start_pull(now_ms, peer, actions);
        }
    }

    /// Chooses any member, or before readiness a reader that has not answered since the start.
    fn choose_pull_peer(&mut self) -> Option<MemberId> {
        let readers = self.fleet.other_readers();
        let unanswered: Vec<MemberId> = readers
            .filter(|reader| !self.readiness.has_answered(*reader))
            .collect();
        if !self.is_ready() && !unanswered.is_empty() {
            let index = random_below(&mut self.rng, unanswered.len() as u64) as usize;
            return Some(unanswered[index]);
        }
        let peers = self.fleet.choose_peers(1, &mut self.rng);
        peers.first().copied()
    }
}
