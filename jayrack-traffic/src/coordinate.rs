//! The ingress side of a claim: sends it to the replicas of its key and decides whether the request may
//! run.
use jayrack_protocol::{MemberId, ResultCode};

use crate::{
    claim::{ClaimReply, ClaimRequest, ClaimState, KeyHolder, ReplicaSet},
    ledger::QueryResult,
};

/// Settings of a [`ClaimCoordinator`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time after which replicas that have not replied count as unreachable, in milliseconds.
    pub replica_timeout_ms: u64,
    /// Number of times that a claim is sent to the replicas before its outcome counts as unknown.
    pub max_rounds: u32,
    /// Backoff before the claim is sent again to replicas that could not be reached, in milliseconds.
    pub round_backoff_ms: u64,
    /// Time between two queries about the holder of the key, in milliseconds.
    pub query_interval_ms: u64,
    /// Time after which a holder that was not dispatched is fenced, in milliseconds.
    pub fence_after_ms: u64,
    /// Deadline, in milliseconds of the local monotonic clock.
    pub deadline_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            replica_timeout_ms: 500,
            // Enough rounds to outlast the loss of a connection to the replicas and the opening of another.
            max_rounds: 4,
            round_backoff_ms: 100,
            query_interval_ms: 50,
            fence_after_ms: 1_000,
            deadline_ms: 5_000,
        }
    }
}

/// Event that concerns the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<A> {
    /// Start the claim.
    Start,
    /// A replica replied to the claim.
    Reply {
        /// The replica.
        replica: MemberId,
        /// Its reply.
        reply: ClaimReply,
    },
    /// A replica cannot be reached, or its reply was lost.
    ReplicaLost {
        /// The replica.
        replica: MemberId,
    },
    /// The request did not run at the previous owner and may be sent to another.
    Retry {
        /// The next owner.
        owner: MemberId,
    },
    /// A replica replied to [`Action::RecordOwner`].
    Recorded {
        /// The replica.
        replica: MemberId,
        /// Holder from the action.
        holder: KeyHolder,
        /// Whether the request still holds the key at this replica.
        holds: bool,
    },
    /// The owner of the holder replied to a query.
    QueryReply(QueryResult<A>),
    /// The owner of the holder cannot be reached, or its reply was lost.
    QueryLost,
    /// The time of the last [`Action::Wait`] was reached.
    Timeout,
}

/// Action that the driver has to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Send the claim to a replica.
    SendClaim {
        /// The replica.
        replica: MemberId,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Record at a replica that the request is sent to another owner.
    RecordOwner {
        /// The replica.
        replica: MemberId,
        /// This request and its next owner.
        holder: KeyHolder,
    },
    /// Send the request to the owner in the claim, or in the last [`Input::Retry`].
    Run,
    /// Do not send the request to another owner: a retry of it has taken the key.
    Superseded,
    /// Query the owner of the request that holds the key for its outcome.
    QueryHolder {
        /// That request and its owner.
        holder: KeyHolder,
        /// Whether to fence the request if it has not been dispatched.
        fence: bool,
    },
    /// Release the key at the replicas, since this request does not run.
    Release {
        /// All replicas that the claim was sent to.
        replicas: Vec<MemberId>,
    },
    /// Pass [`Input::Timeout`] at this time; replaces the time of an earlier wait.
    Wait {
        /// Milliseconds of the local monotonic clock.
        until_ms: u64,
    },
    /// Return the holder's answer to the caller; the coordinator has ended.
    ReturnAnswer(A),
    /// Return a result code to the caller; the coordinator has ended.
    ReturnCode(ResultCode),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ReplicaState {
    Pending,
    Granted,
    Recorded,
    Missing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ClaimPhase {
    New,
    Claiming,
    /// Replicas could not be reached; the claim is sent to them again after the backoff.
    BackingOff,
    QueryingHolder,
    WaitingToQuery,
    Running,
    Recording,
    Ended,
}

/// One claim at the ingress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimCoordinator {
    options: Options,
    claim: ClaimRequest,
    replicas: ReplicaSet,
    states: Vec<ReplicaState>,
    /// Whether each replica has vouched for the claim.
    vouched: Vec<bool>,
    phase: ClaimPhase,
    holder: Option<KeyHolder>,
    attempt: u32,
    /// Rounds in which the claim was sent in its present form.
    rounds: u32,
    started_ms: u64,
}

impl ClaimCoordinator {
    /// Creates a coordinator that waits for [`Input::Start`].
    pub fn new(options: Options, claim: ClaimRequest, replicas: ReplicaSet) -> Self {
        Self {
            options,
            states: vec![ReplicaState::Pending; replicas.asked.len()],
            vouched: vec![false; replicas.asked.len()],
            claim,
            replicas,
            phase: ClaimPhase::New,
            holder: None,
            attempt: 0,
            rounds: 0,
            started_ms: 0,
        }
    }

    /// The other request that holds the key, if a replica has reported one.
    pub fn holder(&self) -> Option<KeyHolder> {
        self.holder
    }

    /// This request and the owner that it was last allowed to be sent to.
    fn own_holder(&self) -> KeyHolder {
        KeyHolder {
            request: self.claim.request,
            owner: self.claim.owner,
            attempt: self.attempt,
        }
    }

    /// Handles an event that happened at `now_ms` and returns the actions to take, in order.
    pub fn handle<A>(&mut self, now_ms: u64, input: Input<A>) -> Vec<Action<A>> {
        match (self.phase, input) {
            (ClaimPhase::New, Input::Start) => {
                self.started_ms = now_ms;
                self.restart_claim(now_ms)
            }
            (ClaimPhase::Claiming | ClaimPhase::BackingOff, Input::Reply { replica, reply }) => {
                self.on_reply(now_ms, replica, &reply)
            }
            (ClaimPhase::Claiming, Input::ReplicaLost { replica }) => {
                self.set_state(replica, ReplicaState::Missing);
                self.decide(now_ms)
            }
            (ClaimPhase::Claiming, Input::Timeout) => {
                self.end_round();
                self.decide(now_ms)
            }
            (ClaimPhase::BackingOff, Input::Timeout) => self.send_claims(now_ms),
            (ClaimPhase::Running, Input::Reply { replica, reply }) => {
                if reply == ClaimReply::Granted {
                    self.set_vouched(replica);
                }
                Vec::new()
            }
            (ClaimPhase::Running, Input::Retry { owner }) => self.record_owner(now_ms, owner),
            (
                ClaimPhase::Recording,
                Input::Recorded {
                    replica,
                    holder,
                    holds,
                },
            ) if holder == self.own_holder() => {
                let state = self.recorded_state(replica, holds);
                self.set_state(replica, state);
                self.decide_recording()
            }
            (ClaimPhase::Recording, Input::ReplicaLost { replica }) => {
                self.set_state(replica, ReplicaState::Missing);
                self.decide_recording()
            }
            (ClaimPhase::Recording, Input::Timeout) => {
                self.end_round();
                self.decide_recording()
            }
            (ClaimPhase::QueryingHolder, Input::QueryReply(result)) => {
                self.on_query_result(now_ms, result)
            }
            (ClaimPhase::QueryingHolder, Input::QueryLost | Input::Timeout) => {
                self.wait_to_query(now_ms)
            }
            (ClaimPhase::WaitingToQuery, Input::Timeout) => self.query_holder(now_ms),
            _ => Vec::new(),
        }
    }

    fn restart_claim<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        self.rounds = 0;
        self.states.fill(ReplicaState::Missing);
        self.send_claims(now_ms)
    }

    /// Sends the claim to the replicas without a usable reply. A claim that arrives twice is recorded once.
    fn send_claims<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Claiming;
        self.rounds += 1;
        let mut actions: Vec<Action<A>> = Vec::with_capacity(self.states.len() + 1);
        for (replica, state) in self.replicas.asked.iter().zip(&mut self.states) {
            if *state == ReplicaState::Missing {
                *state = ReplicaState::Pending;
                actions.push(Action::SendClaim {
                    replica: *replica,
                    claim: self.claim.clone(),
                });
            }
        }
        actions.push(Action::Wait {
            until_ms: now_ms + self.options.replica_timeout_ms,
        });
        if self.states.is_empty() {
            return self.decide(now_ms);
        }
        actions
    }

    fn on_reply<A>(
        &mut self,
        now_ms: u64,
        replica: MemberId,
        reply: &ClaimReply,
    ) -> Vec<Action<A>> {
        match reply {
            ClaimReply::Granted => {
                self.set_vouched(replica);
                self.set_state(replica, ReplicaState::Granted);
            }
            ClaimReply::CannotVouch => self.set_state(replica, ReplicaState::Recorded),
            ClaimReply::Full => self.set_state(replica, ReplicaState::Missing),
            ClaimReply::Mismatch => return self.end_with_code(ResultCode::KeyMismatch),
            ClaimReply::Held { holder, state } => {
                self.holder = Some(*holder);
                return self.on_held(now_ms, *state);
            }
        }
        self.decide(now_ms)
    }

    fn on_held<A>(&mut self, now_ms: u64, state: ClaimState) -> Vec<Action<A>> {
        if state == ClaimState::Unknown {
            return self.end_with_code(ResultCode::OutcomeUnknown);
        }
        self.query_holder(now_ms)
    }

    fn record_owner<A>(&mut self, now_ms: u64, owner: MemberId) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Recording;
        self.claim.owner = owner;
        self.attempt += 1;
        let holder = self.own_holder();
        self.states.fill(ReplicaState::Pending);
        let mut actions: Vec<Action<A>> = Vec::with_capacity(self.states.len() + 1);
        for replica in &self.replicas.asked {
            actions.push(Action::RecordOwner {
                replica: *replica,
                holder,
            });
        }
        actions.push(Action::Wait {
            until_ms: now_ms + self.options.replica_timeout_ms,
        });
        actions
    }

    fn decide_recording<A>(&mut self) -> Vec<Action<A>> {
        if self.is_granted() {
            self.phase = ClaimPhase::Running;
            return vec![Action::Run];
        }
        if self.states.contains(&ReplicaState::Pending) {
            return Vec::new();
        }
        self.phase = ClaimPhase::Ended;
        vec![Action::Superseded]
    }

    fn end_round(&mut self) {
        for state in &mut self.states {
            if *state == ReplicaState::Pending {
                *state = ReplicaState::Missing;
            }
        }
    }

    fn decide<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        if self.is_granted() {
            self.phase = ClaimPhase::Running;
            return vec![Action::Run];
        }
        if self.states.contains(&ReplicaState::Pending) {
            return Vec::new();
        }
        let retry_at_ms = now_ms + self.options.round_backoff_ms;
        let is_unreached = self.states.contains(&ReplicaState::Missing);
        if is_unreached
            && self.rounds < self.options.max_rounds
            && retry_at_ms < self.options.deadline_ms
        {
            self.phase = ClaimPhase::BackingOff;
            return vec![Action::Wait {
                until_ms: retry_at_ms,
            }];
        }
        self.end_with_code(ResultCode::OutcomeUnknown)
    }

    /// Whether a majority of the vouching set vouched and a majority of the recording set recorded.
    fn is_granted(&self) -> bool {
        let vouched = self.count(&self.replicas.vouching, |state| {
            state == ReplicaState::Granted
        });
        let recorded = self.count(&self.replicas.recording, |state| {
            matches!(state, ReplicaState::Granted | ReplicaState::Recorded)
        });
        vouched > self.replicas.vouching.len() / 2 && recorded > self.replicas.recording.len() / 2
    }

    /// State of a replica that replied to [`Action::RecordOwner`].
    ///
    /// Only a replica that vouched for the claim counts in the vouching set: an ingress with another view
    /// of the members replaces the holder at a majority of those.
    fn recorded_state(&self, replica: MemberId, holds: bool) -> ReplicaState {
        let index = self
            .replicas
            .asked
            .iter()
            .position(|asked| *asked == replica);
        match index {
            Some(index) if holds && self.vouched[index] => ReplicaState::Granted,
            Some(_) if holds => ReplicaState::Recorded,
            _ => ReplicaState::Missing,
        }
    }

    fn set_vouched(&mut self, replica: MemberId) {
        if let Some(index) = self
            .replicas
            .asked
            .iter()
            .position(|asked| *asked == replica)
        {
            self.vouched[index] = true;
        }
    }

    fn count(&self, members: &[MemberId], accepts: impl Fn(ReplicaState) -> bool) -> usize {
        let asked = self.replicas.asked.iter().zip(&self.states);
        asked
            .filter(|(replica, state)| members.contains(replica) && accepts(**state))
            .count()
    }

    fn query_holder<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        let Some(holder) = self.holder else {
            return self.end_with_code(ResultCode::OutcomeUnknown);
        };
        if now_ms >= self.options.deadline_ms {
            return self.end_with_code(ResultCode::KeyInProgress);
        }
        self.phase = ClaimPhase::QueryingHolder;
        vec![
            Action::QueryHolder {
                holder,
                fence: now_ms >= self.started_ms + self.options.fence_after_ms,
            },
            Action::Wait {
                until_ms: now_ms + self.options.replica_timeout_ms,
            },
        ]
    }

    fn on_query_result<A>(&mut self, now_ms: u64, result: QueryResult<A>) -> Vec<Action<A>> {
        match result {
            QueryResult::Done(answer) => {
                self.phase = ClaimPhase::Ended;
                vec![self.release(), Action::ReturnAnswer(answer)]
            }
            QueryResult::Unknown(code) => self.end_with_code(code),
            QueryResult::InProgress => self.wait_to_query(now_ms),
            QueryResult::NotRun(_) => {
                self.claim.replaces = self.holder.take();
                self.restart_claim(now_ms)
            }
        }
    }

    fn wait_to_query<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        self.phase = ClaimPhase::WaitingToQuery;
        vec![Action::Wait {
            until_ms: now_ms + self.options.query_interval_ms,
        }]
    }

    fn end_with_code<A>(&mut self, code: ResultCode) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Ended;
        vec![self.release(), Action::ReturnCode(code)]
    }

    fn release<A>(&self) -> Action<A> {
        Action::Release {
            replicas: self.replicas.asked.clone(),
        }
    }

    fn set_state(&mut self, replica: MemberId, state: ReplicaState) {
        if let Some(index) = self
            .replicas
            .asked
            .iter()
            .position(|asked| *asked == replica)
        {
            self.states[index] = state;
        }
    }
}
