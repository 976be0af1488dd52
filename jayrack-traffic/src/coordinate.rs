//! The ingress side of a claim: asks the homes of a key and decides whether its request may run.
use jayrack_protocol::{MemberId, ResultCode};

use crate::{
    claim::{ClaimReply, ClaimRequest, ClaimState, KeyHolder, ReplicaSet},
    ledger::Inquiry,
};

/// Settings of a [`ClaimCoordinator`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Time after which homes that are silent count as unreachable, in milliseconds.
    pub replica_timeout_ms: u64,
    /// Times that the homes of a key are asked before the outcome of the key counts as unknown.
    pub ask_rounds: u32,
    /// Time before homes that could not be reached are asked again, in milliseconds.
    pub ask_pause_ms: u64,
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
            // Outlasts the loss of a connection that homes are reached over and the opening of another.
            ask_rounds: 4,
            ask_pause_ms: 100,
            query_interval_ms: 50,
            fence_after_ms: 1_000,
            deadline_ms: 5_000,
        }
    }
}

/// What happened to the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<A> {
    /// Begin.
    Start,
    /// A home answered.
    Reply {
        /// The home.
        replica: MemberId,
        /// Its answer.
        reply: ClaimReply,
    },
    /// A home cannot be reached, or the answer was lost.
    ReplicaLost {
        /// The home.
        replica: MemberId,
    },
    /// The request did not run at the owner before and may go to another.
    Retry {
        /// The other owner.
        owner: MemberId,
    },
    /// A home answered [`Action::Record`].
    Recorded {
        /// The home.
        replica: MemberId,
        /// The record that was asked for.
        holder: KeyHolder,
        /// Whether the request still holds the key there.
        holds: bool,
    },
    /// The owner of the holder answered a query.
    QueryReply(Inquiry<A>),
    /// The owner of the holder cannot be reached, or the answer was lost.
    QueryLost,
    /// The time of the last [`Action::Wait`] was reached.
    Timeout,
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Send the claim to this home.
    Ask {
        /// The home.
        replica: MemberId,
        /// The claim.
        claim: ClaimRequest,
    },
    /// Record at this home that the request goes to another owner.
    Record {
        /// The home.
        replica: MemberId,
        /// This request and the other owner.
        holder: KeyHolder,
    },
    /// The request may be sent to the owner named in the claim, or in the last [`Input::Retry`].
    Run,
    /// The request must not be sent to a further owner, as a repeat has taken the key.
    Superseded,
    /// Ask the owner of the request that holds the key for its outcome.
    AttachTo {
        /// That request and its owner.
        holder: KeyHolder,
        /// Whether it must not run if it has not been dispatched.
        fence: bool,
    },
    /// Give the key back at the homes, as this request does not run.
    Release {
        /// The homes that granted it.
        replicas: Vec<MemberId>,
    },
    /// Give [`Input::Timeout`] at this time, in place of the time asked for before.
    Wait {
        /// Milliseconds of the local monotonic clock.
        until_ms: u64,
    },
    /// Tell the caller the holder's answer; the coordinator has ended.
    Attached(A),
    /// Tell the caller a result code; the coordinator has ended.
    Answer(ResultCode),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ReplicaState {
    Asked,
    Granted,
    Recorded,
    Missing,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ClaimPhase {
    New,
    Asking,
    /// Homes could not be reached and will be asked again.
    Resting,
    Attached,
    Pausing,
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
    /// Whether each home has vouched for the claim.
    vouched: Vec<bool>,
    phase: ClaimPhase,
    holder: Option<KeyHolder>,
    attempt: u32,
    /// Rounds in which homes were asked for the claim in its present form.
    rounds: u32,
    started_ms: u64,
}

impl ClaimCoordinator {
    /// Creates a coordinator that waits for [`Input::Start`].
    pub fn new(options: Options, claim: ClaimRequest, replicas: ReplicaSet) -> Self {
        Self {
            options,
            states: vec![ReplicaState::Asked; replicas.asked.len()],
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

    /// The other request that holds the key, as far as a home has told.
    pub fn holder(&self) -> Option<KeyHolder> {
        self.holder
    }

    /// This request and the owner that it was last allowed to go to.
    fn own_holder(&self) -> KeyHolder {
        KeyHolder {
            request: self.claim.request,
            owner: self.claim.owner,
            attempt: self.attempt,
        }
    }

    /// Takes an input that happened at `now_ms` and returns what to do, in order.
    pub fn handle<A>(&mut self, now_ms: u64, input: Input<A>) -> Vec<Action<A>> {
        match (self.phase, input) {
            (ClaimPhase::New, Input::Start) => {
                self.started_ms = now_ms;
                self.ask(now_ms)
            }
            (ClaimPhase::Asking | ClaimPhase::Resting, Input::Reply { replica, reply }) => {
                self.replied(now_ms, replica, &reply)
            }
            (ClaimPhase::Asking, Input::ReplicaLost { replica }) => {
                self.set_state(replica, ReplicaState::Missing);
                self.decide(now_ms)
            }
            (ClaimPhase::Asking, Input::Timeout) => {
                self.close_round();
                self.decide(now_ms)
            }
            (ClaimPhase::Resting, Input::Timeout) => self.ask_missing(now_ms),
            (ClaimPhase::Running, Input::Reply { replica, reply }) => {
                if reply == ClaimReply::Granted {
                    self.set_vouched(replica);
                }
                Vec::new()
            }
            (ClaimPhase::Running, Input::Retry { owner }) => self.record(now_ms, owner),
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
                self.decide_record()
            }
            (ClaimPhase::Recording, Input::ReplicaLost { replica }) => {
                self.set_state(replica, ReplicaState::Missing);
                self.decide_record()
            }
            (ClaimPhase::Recording, Input::Timeout) => {
                self.close_round();
                self.decide_record()
            }
            (ClaimPhase::Attached, Input::QueryReply(inquiry)) => self.told(now_ms, inquiry),
            (ClaimPhase::Attached, Input::QueryLost | Input::Timeout) => self.pause(now_ms),
            (ClaimPhase::Pausing, Input::Timeout) => self.attach(now_ms),
            _ => Vec::new(),
        }
    }

    fn ask<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        self.rounds = 0;
        self.states.fill(ReplicaState::Missing);
        self.ask_missing(now_ms)
    }

    /// Sends the claim to the homes that have not answered it; a claim that arrives twice counts once.
    fn ask_missing<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Asking;
        self.rounds += 1;
        let mut actions: Vec<Action<A>> = Vec::with_capacity(self.states.len() + 1);
        for (replica, state) in self.replicas.asked.iter().zip(&mut self.states) {
            if *state == ReplicaState::Missing {
                *state = ReplicaState::Asked;
                actions.push(Action::Ask {
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

    fn replied<A>(&mut self, now_ms: u64, replica: MemberId, reply: &ClaimReply) -> Vec<Action<A>> {
        match reply {
            ClaimReply::Granted => {
                self.set_vouched(replica);
                self.set_state(replica, ReplicaState::Granted);
            }
            ClaimReply::CannotVouch => self.set_state(replica, ReplicaState::Recorded),
            ClaimReply::Full => self.set_state(replica, ReplicaState::Missing),
            ClaimReply::Mismatch => return self.give_back(ResultCode::KeyMismatch),
            ClaimReply::Held { holder, state } => {
                self.holder = Some(*holder);
                return self.held(now_ms, *state);
            }
        }
        self.decide(now_ms)
    }

    fn held<A>(&mut self, now_ms: u64, state: ClaimState) -> Vec<Action<A>> {
        if state == ClaimState::Unknown {
            return self.give_back(ResultCode::OutcomeUnknown);
        }
        self.attach(now_ms)
    }

    fn record<A>(&mut self, now_ms: u64, owner: MemberId) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Recording;
        self.claim.owner = owner;
        self.attempt += 1;
        let holder = self.own_holder();
        self.states.fill(ReplicaState::Asked);
        let mut actions: Vec<Action<A>> = Vec::with_capacity(self.states.len() + 1);
        for replica in &self.replicas.asked {
            actions.push(Action::Record {
                replica: *replica,
                holder,
            });
        }
        actions.push(Action::Wait {
            until_ms: now_ms + self.options.replica_timeout_ms,
        });
        actions
    }

    fn decide_record<A>(&mut self) -> Vec<Action<A>> {
        if self.is_granted() {
            self.phase = ClaimPhase::Running;
            return vec![Action::Run];
        }
        if self.states.contains(&ReplicaState::Asked) {
            return Vec::new();
        }
        self.phase = ClaimPhase::Ended;
        vec![Action::Superseded]
    }

    fn close_round(&mut self) {
        for state in &mut self.states {
            if *state == ReplicaState::Asked {
                *state = ReplicaState::Missing;
            }
        }
    }

    fn decide<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        if self.is_granted() {
            self.phase = ClaimPhase::Running;
            return vec![Action::Run];
        }
        if self.states.contains(&ReplicaState::Asked) {
            return Vec::new();
        }
        let again_ms = now_ms + self.options.ask_pause_ms;
        let is_unreached = self.states.contains(&ReplicaState::Missing);
        if is_unreached
            && self.rounds < self.options.ask_rounds
            && again_ms < self.options.deadline_ms
        {
            self.phase = ClaimPhase::Resting;
            return vec![Action::Wait { until_ms: again_ms }];
        }
        self.give_back(ResultCode::OutcomeUnknown)
    }

    /// Whether a majority of the vouching homes vouched and a majority of the recording homes recorded.
    fn is_granted(&self) -> bool {
        let vouched = self.count(&self.replicas.vouching, |state| {
            state == ReplicaState::Granted
        });
        let recorded = self.count(&self.replicas.recording, |state| {
            matches!(state, ReplicaState::Granted | ReplicaState::Recorded)
        });
        vouched > self.replicas.vouching.len() / 2 && recorded > self.replicas.recording.len() / 2
    }

    /// State of a home that answered [`Action::Record`].
    ///
    /// Only a home that vouched for the claim counts among the vouching ones: an ingress with another
    /// view of the members replaces the holder at a majority of those.
    fn recorded_state(&self, replica: MemberId, holds: bool) -> ReplicaState {
        let place = self
            .replicas
            .asked
            .iter()
            .position(|asked| *asked == replica);
        match place {
            Some(place) if holds && self.vouched[place] => ReplicaState::Granted,
            Some(_) if holds => ReplicaState::Recorded,
            _ => ReplicaState::Missing,
        }
    }

    fn set_vouched(&mut self, replica: MemberId) {
        if let Some(place) = self
            .replicas
            .asked
            .iter()
            .position(|asked| *asked == replica)
        {
            self.vouched[place] = true;
        }
    }

    fn count(&self, members: &[MemberId], accepts: impl Fn(ReplicaState) -> bool) -> usize {
        let asked = self.replicas.asked.iter().zip(&self.states);
        asked
            .filter(|(replica, state)| members.contains(replica) && accepts(**state))
            .count()
    }

    fn attach<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        let Some(holder) = self.holder else {
            return self.give_back(ResultCode::OutcomeUnknown);
        };
        if now_ms >= self.options.deadline_ms {
            return self.give_back(ResultCode::KeyInProgress);
        }
        self.phase = ClaimPhase::Attached;
        vec![
            Action::AttachTo {
                holder,
                fence: now_ms >= self.started_ms + self.options.fence_after_ms,
            },
            Action::Wait {
                until_ms: now_ms + self.options.replica_timeout_ms,
            },
        ]
    }

    fn told<A>(&mut self, now_ms: u64, inquiry: Inquiry<A>) -> Vec<Action<A>> {
        match inquiry {
            Inquiry::Done(answer) => {
                self.phase = ClaimPhase::Ended;
                vec![self.release(), Action::Attached(answer)]
            }
            Inquiry::Unknown(code) => self.give_back(code),
            Inquiry::InProgress => self.pause(now_ms),
            Inquiry::NotRun(_) => {
                self.claim.replaces = self.holder.take();
                self.ask(now_ms)
            }
        }
    }

    fn pause<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Pausing;
        vec![Action::Wait {
            until_ms: now_ms + self.options.query_interval_ms,
        }]
    }

    fn give_back<A>(&mut self, code: ResultCode) -> Vec<Action<A>> {
        self.phase = ClaimPhase::Ended;
        vec![self.release(), Action::Answer(code)]
    }

    fn release<A>(&self) -> Action<A> {
        Action::Release {
            replicas: self.replicas.asked.clone(),
        }
    }

    fn set_state(&mut self, replica: MemberId, state: ReplicaState) {
        if let Some(place) = self
            .replicas
            .asked
            .iter()
            .position(|asked| *asked == replica)
        {
            self.states[place] = state;
        }
    }
}
