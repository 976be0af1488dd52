//! Model of one idempotency key used at two ingresses: the crate's state machines, a network and faults.
//!
//! A message may be delivered at any later time or never, so loss and reordering are unbounded. A
//! message to a claim replica may arrive late; its delivery and the reply are one step, in which the
//! reply may be lost. A paused process is modelled by not taking its events while the clock advances.
//! The other faults are bounded by [`FaultBudget`].
use std::{cell::Cell, collections::BTreeSet, rc::Rc};

use jayrack_protocol::{MemberId, RequestId, ResultCode};
use jayrack_traffic::{
    claim::{self, ClaimOutcome, ClaimRegistry, ClaimRequest, KeyHolder, PeerSummary, ReplicaSet},
    class::request_id,
    coordinate::{self, ClaimCoordinator},
    ledger::{self, BeginResult, Outcome, OutcomeLedger, QueryResult},
    request::{self, RequestFlow, Response},
};

/// Retention time of claims; also the time at which the model starts.
const RETENTION_MS: u64 = 10;
const DEADLINE_MS: u64 = RETENTION_MS + 2;
/// Daemons 0 and 1 are ingresses, 2 and 3 owners; 4 is only a claim replica.
pub const DAEMONS: usize = 5;
const FIRST_OWNER: usize = 2;

/// Number of faults of each kind that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FaultBudget {
    pub duplicates: u8,
    pub crashes: u8,
    pub refusals: u8,
    /// Connections reported as broken, correctly or not.
    pub broken_connections: u8,
    pub clock_ticks: u8,
}

/// A seeded defect that the model check has to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Defect {
    None,
    /// A request whose connection was lost is sent to another owner without a fence.
    LostIsNotSent,
    /// A restarted owner answers queries about requests sent before its start as if it had seen them all.
    NoHorizon,
    /// A restarted claim replica vouches at once.
    VouchesAtOnce,
    /// A retry replaces a holder that is still in progress.
    ReplacesRunning,
    /// Each ingress uses a single claim replica, each another one.
    SingleReplica,
    /// A request is sent to another owner without a record at the claim replicas.
    UnrecordedRetry,
}

/// Parameters of an exploration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Scenario {
    pub budget: FaultBudget,
    pub defect: Defect,
    /// Number of requests, one per ingress: 1 or 2.
    pub calls: usize,
    /// Daemons that may crash.
    pub crashable: Vec<usize>,
    /// Daemons ordered by their rendezvous weight for the key, highest first.
    pub weight_order: [usize; DAEMONS],
    /// A daemon that each ingress regards as dead, correctly or not.
    pub suspected: [Option<usize>; 2],
    /// A daemon that has just joined, and whether it is in each ingress's view of the members.
    pub joined: Option<(usize, [bool; 2])>,
    /// Whether the second request has a different digest.
    pub has_other_digest: bool,
    /// Whether the retry starts only after the claim of the first request was granted, or that request
    /// ended.
    pub is_retry_late: bool,
}

/// Response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallerResponse {
    Answer(usize),
    Code(ResultCode),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum QueryOrigin {
    Flow(usize),
    Claim,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Claim(usize, usize, ClaimRequest),
    Record(usize, usize, KeyHolder),
    Resolve(usize, usize, ClaimOutcome),
    Send(usize, usize, usize),
    Answered(usize, usize, ResultCode, usize),
    Query(usize, usize, QueryOrigin, RequestId, bool),
    Replied(usize, QueryOrigin, QueryResult<usize>),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Call {
    flow: RequestFlow,
    coordinator: ClaimCoordinator,
    flow_wait_ms: Option<u64>,
    claim_wait_ms: Option<u64>,
    /// Server number of a send that was decided and has not happened yet.
    outbox: Option<usize>,
    pending: Option<usize>,
    is_started: bool,
    has_crashed: bool,
    response: Option<CallerResponse>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Owner {
    ledger: OutcomeLedger<usize>,
    queued: BTreeSet<(usize, usize)>,
    running: BTreeSet<(usize, usize)>,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelState {
    scenario: Rc<Scenario>,
    key: u128,
    now_ms: u64,
    budget: FaultBudget,
    calls: [Rc<Call>; 2],
    owners: [Rc<Owner>; 2],
    replicas: [Rc<ClaimRegistry>; DAEMONS],
    network: Rc<BTreeSet<Message>>,
    runs: [u8; 2],
}

/// A state and its distance from the start; the distance is ignored in comparisons.
#[derive(Debug, Clone)]
pub struct Node {
    pub state: ModelState,
    pub depth: u32,
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl Eq for Node {}

impl std::hash::Hash for Node {
    fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
    }
}

/// Result of an exploration.
#[derive(Debug)]
pub struct Exploration {
    pub states: usize,
    pub depth: u32,
    /// Whether all reachable states were visited.
    pub is_exhaustive: bool,
    pub violation: Option<Vec<ModelState>>,
    /// Pairs of responses to the two callers in the states visited.
    pub responses: BTreeSet<[Option<CallerResponse>; 2]>,
}

/// Searches all states of `scenario` breadth first; a violation comes with a shortest path.
pub fn explore(scenario: Scenario, max_states: usize) -> Exploration {
    let states = Cell::new(0);
    let depth = Cell::new(0);
    let mut responses = BTreeSet::new();
    let start = Node {
        state: ModelState::new(scenario),
        depth: 0,
    };
    let path = pathfinding::directed::bfs::bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            depth.set(depth.get().max(node.depth));
            responses.insert(node.state.responses());
            let depth = node.depth + 1;
            let is_within = states.get() <= max_states;
            let next = if is_within {
                node.state.successors()
            } else {
                Vec::new()
            };
            next.into_iter().map(move |state| Node { state, depth })
        },
        |node| node.state.violation().is_some(),
    );
    Exploration {
        states: states.get(),
        depth: depth.get(),
        is_exhaustive: states.get() <= max_states,
        violation: path.map(|nodes| nodes.into_iter().map(|node| node.state).collect()),
        responses,
    }
}

fn member(daemon: usize) -> MemberId {
    MemberId(daemon as u64)
}

fn daemon(member: MemberId) -> usize {
    member.0 as usize
}

fn id(call: usize) -> RequestId {
    request_id(RETENTION_MS, call as u128)
}

/// A key whose claim replicas are the first three of `order`, with the fourth as their successor.
fn key_with_order(order: &[usize; DAEMONS]) -> u128 {
    let peers: Vec<PeerSummary> = (0..DAEMONS).map(|daemon| peer(daemon, None)).collect();
    let is_wanted = |key: &u128| {
        let set = claim::claim_replicas(*key, &peers, 0, RETENTION_MS);
        let wanted: Vec<MemberId> = order[..3].iter().map(|index| member(*index)).collect();
        let without_first: Vec<PeerSummary> = peers
            .iter()
            .filter(|peer| peer.id != wanted[0])
            .cloned()
            .collect();
        let next = claim::claim_replicas(*key, &without_first, 0, RETENTION_MS);
        set.vouching == wanted && next.vouching[2] == member(order[3])
    };
    (0..).find(is_wanted).expect("some key has this order")
}

fn peer(daemon: usize, dead_since_ms: Option<u64>) -> PeerSummary {
    PeerSummary {
        id: member(daemon),
        alive: dead_since_ms.is_none(),
        alive_since_ms: 0,
        dead_since_ms,
    }
}

fn new_ledger(started_unix_ms: u64) -> OutcomeLedger<usize> {
    OutcomeLedger::new(ledger::Options {
        started_unix_ms,
        clock_skew_ms: 1,
        ..ledger::Options::default()
    })
}

fn new_registry(started_ms: u64) -> ClaimRegistry {
    ClaimRegistry::new(
        started_ms,
        claim::Options {
            retention_ms: RETENTION_MS,
            max_claims: 4,
        },
    )
}

impl ModelState {
    pub fn new(scenario: Scenario) -> Self {
        let key = key_with_order(&scenario.weight_order);
        let replica = |daemon| {
            let is_young = scenario.joined.is_some_and(|(joined, _)| joined == daemon);
            Rc::new(new_registry(if is_young { RETENTION_MS } else { 0 }))
        };
        let owner = Rc::new(Owner {
            ledger: new_ledger(0),
            queued: BTreeSet::new(),
            running: BTreeSet::new(),
        });
        Self {
            key,
            now_ms: RETENTION_MS,
            budget: scenario.budget,
            calls: [0, 1].map(|call| Rc::new(Call::new(&scenario, key, call))),
            owners: [owner.clone(), owner],
            replicas: [0, 1, 2, 3, 4].map(replica),
            network: Rc::default(),
            runs: [0; 2],
            scenario: Rc::new(scenario),
        }
    }

    /// Responses to the two callers, as far as they were sent.
    pub fn responses(&self) -> [Option<CallerResponse>; 2] {
        [self.calls[0].response, self.calls[1].response]
    }

    /// Description of the violated invariant, if any.
    pub fn violation(&self) -> Option<&'static str> {
        let limit = if self.scenario.has_other_digest { 2 } else { 1 };
        if self.runs[0] + self.runs[1] > limit || self.runs.contains(&2) {
            return Some("ran twice");
        }
        for (call, response) in self.responses().into_iter().enumerate() {
            match response {
                Some(CallerResponse::Code(code)) if code.is_not_run() && self.runs[call] > 0 => {
                    return Some("reported as not run, but ran");
                }
                Some(CallerResponse::Answer(answer)) if self.runs[answer] == 0 => {
                    return Some("returned the answer of a request that did not run");
                }
                Some(CallerResponse::Answer(answer))
                    if self.scenario.has_other_digest && answer != call =>
                {
                    return Some("returned the answer of a different request");
                }
                _ => {}
            }
        }
        None
    }

    /// All states that are one event away.
    pub fn successors(&self) -> Vec<ModelState> {
        let mut next = Vec::new();
        for call in 0..self.scenario.calls {
            self.call_events(call, &mut next);
        }
        for message in self.network.iter() {
            let mut state = self.clone();
            Rc::make_mut(&mut state.network).remove(message);
            state.deliver(message);
            next.push(state);
            if self.budget.duplicates > 0 {
                let mut state = self.clone();
                state.budget.duplicates -= 1;
                state.deliver(message);
                next.push(state);
            }
            if self.budget.broken_connections > 0 && message.is_to_replica() {
                next.push(self.with_lost_answer(message));
            }
        }
        for owner in 0..2 {
            self.owner_events(owner, &mut next);
        }
        if self.budget.crashes > 0 {
            for daemon in &self.scenario.crashable {
                next.push(self.crashed(*daemon));
            }
        }
        if self.budget.clock_ticks > 0 {
            let mut state = self.clone();
            state.budget.clock_ticks -= 1;
            state.now_ms += 1;
            next.push(state);
        }
        next
    }

    /// The state after a claim replica handled a message and its reply was lost.
    fn with_lost_answer(&self, message: &Message) -> ModelState {
        self.with(|state| {
            state.budget.broken_connections -= 1;
            Rc::make_mut(&mut state.network).remove(message);
            let calls = state.calls.clone();
            let network = state.network.clone();
            state.deliver(message);
            state.calls = calls;
            state.network = network;
        })
    }

    fn call_events(&self, at: usize, next: &mut Vec<ModelState>) {
        let call = &self.calls[at];
        if call.has_crashed {
            return;
        }
        if !call.is_started {
            let first = &self.calls[0];
            let is_too_early = at == 1 && first.flow_wait_ms.is_none() && !first.has_ended();
            if self.scenario.is_retry_late && is_too_early {
                return;
            }
            next.push(self.with(|state| {
                state.call_mut(at).is_started = true;
                state.claim_input(at, coordinate::Input::Start);
            }));
            return;
        }
        if let Some(server) = call.outbox {
            next.push(self.with(|state| {
                state.call_mut(at).outbox = None;
                state.send(Message::Send(at, owner_of(at, server), server));
            }));
        }
        if call
            .flow_wait_ms
            .is_some_and(|until_ms| until_ms <= self.now_ms)
        {
            next.push(self.with(|state| {
                state.call_mut(at).flow_wait_ms = None;
                state.flow_input(at, request::Input::Timeout);
            }));
        }
        if call
            .claim_wait_ms
            .is_some_and(|until_ms| until_ms <= self.now_ms)
        {
            next.push(self.with(|state| {
                state.call_mut(at).claim_wait_ms = None;
                state.claim_input(at, coordinate::Input::Timeout);
            }));
        }
        if self.budget.broken_connections > 0 && call.response.is_none() {
            self.broken_connections(at, next);
        }
    }

    /// Adds the states in which a connection is reported as broken; messages sent on it may still arrive.
    fn broken_connections(&self, at: usize, next: &mut Vec<ModelState>) {
        let mut push_broken = |input: &dyn Fn(&mut ModelState)| {
            let mut state = self.clone();
            state.budget.broken_connections -= 1;
            input(&mut state);
            if (&state.calls, &state.network) != (&self.calls, &self.network) {
                next.push(state);
            }
        };
        for server in 0..2 {
            if self.calls[at].outbox == Some(server) {
                push_broken(&|state| {
                    state.call_mut(at).outbox = None;
                    state.flow_input(at, request::Input::NotSent { server });
                });
                continue;
            }
            let is_defect = self.scenario.defect == Defect::LostIsNotSent;
            push_broken(&|state| match is_defect {
                true => state.flow_input(at, request::Input::NotSent { server }),
                false => state.flow_input(at, request::Input::Lost { server }),
            });
            push_broken(&|state| state.flow_input(at, request::Input::QueryLost { server }));
        }
        push_broken(&|state| state.claim_input(at, coordinate::Input::QueryLost));
        for replica in 0..DAEMONS {
            let replica = member(replica);
            push_broken(&|state| state.claim_input(at, coordinate::Input::ReplicaLost { replica }));
        }
    }

    fn owner_events(&self, at: usize, next: &mut Vec<ModelState>) {
        for entry in &self.owners[at].queued {
            let (call, server) = *entry;
            next.push(self.with(|state| {
                let now_ms = state.now_ms;
                let owner = state.owner_mut(at);
                owner.queued.remove(entry);
                if owner.ledger.dispatched(now_ms, id(call)) {
                    owner.running.insert(*entry);
                    state.runs[call] += 1;
                } else {
                    state.answer(call, server, ResultCode::Fenced);
                }
            }));
            if self.budget.refusals > 0 {
                next.push(self.with(|state| {
                    let now_ms = state.now_ms;
                    state.budget.refusals -= 1;
                    let owner = state.owner_mut(at);
                    owner.queued.remove(entry);
                    owner.ledger.not_run(now_ms, id(call), ResultCode::Shed);
                    state.answer(call, server, ResultCode::Shed);
                }));
            }
        }
        for entry in &self.owners[at].running {
            let (call, server) = *entry;
            next.push(self.with(|state| {
                let now_ms = state.now_ms;
                let owner = state.owner_mut(at);
                owner.running.remove(entry);
                owner.ledger.done(now_ms, id(call), call, 1);
                state.answer(call, server, ResultCode::Ok);
            }));
        }
    }

    /// The state after a daemon restarted without stored state; messages to it are lost.
    fn crashed(&self, at: usize) -> ModelState {
        self.with(|state| {
            state.budget.crashes -= 1;
            let vouches_at_once = state.scenario.defect == Defect::VouchesAtOnce;
            let has_horizon = state.scenario.defect != Defect::NoHorizon;
            let now_ms = state.now_ms;
            state.replicas[at] = Rc::new(new_registry(if vouches_at_once { 0 } else { now_ms }));
            if at < FIRST_OWNER {
                state.call_mut(at).has_crashed = true;
            } else if at < FIRST_OWNER + 2 {
                state.owners[at - FIRST_OWNER] = Rc::new(Owner {
                    ledger: new_ledger(if has_horizon { now_ms } else { 0 }),
                    queued: BTreeSet::new(),
                    running: BTreeSet::new(),
                });
            }
            Rc::make_mut(&mut state.network).retain(|message| message.target() != at);
        })
    }

    fn deliver(&mut self, message: &Message) {
        let now_ms = self.now_ms;
        match message.clone() {
            Message::Claim(from, replica, claim) => {
                let reply = Rc::make_mut(&mut self.replicas[replica]).claim(now_ms, &claim);
                let replica = member(replica);
                self.claim_input(from, coordinate::Input::Reply { replica, reply });
            }
            Message::Record(from, replica, holder) => {
                let key = self.key;
                let holds =
                    Rc::make_mut(&mut self.replicas[replica]).record_owner(now_ms, key, holder);
                let replica = member(replica);
                self.claim_input(
                    from,
                    coordinate::Input::Recorded {
                        replica,
                        holder,
                        holds,
                    },
                );
            }
            Message::Resolve(call, replica, outcome) => {
                let key = self.key;
                Rc::make_mut(&mut self.replicas[replica]).resolve(now_ms, key, id(call), outcome);
            }
            Message::Send(from, owner, server) => self.arrive(from, owner, server),
            Message::Answered(to, server, code, _) => {
                self.flow_input(to, request::Input::Answer { server, code });
            }
            Message::Query(from, owner, origin, request, fence) => {
                let result = self
                    .owner_mut(owner - FIRST_OWNER)
                    .ledger
                    .query(now_ms, request, fence);
                self.send(Message::Replied(from, origin, result));
            }
            Message::Replied(to, QueryOrigin::Flow(server), result) => {
                self.flow_input(to, request::Input::QueryReply { server, result });
            }
            Message::Replied(to, QueryOrigin::Claim, result) => {
                let is_defect = self.scenario.defect == Defect::ReplacesRunning;
                let result = match result {
                    QueryResult::InProgress if is_defect => QueryResult::NotRun(ResultCode::Fenced),
                    result => result,
                };
                self.claim_input(to, coordinate::Input::QueryReply(result));
            }
        }
    }

    fn arrive(&mut self, call: usize, owner: usize, server: usize) {
        let now_ms = self.now_ms;
        let owner = self.owner_mut(owner - FIRST_OWNER);
        match owner.ledger.begin(now_ms, id(call)) {
            BeginResult::New => {
                owner.queued.insert((call, server));
            }
            BeginResult::Existing(Outcome::Done(_)) => self.answer(call, server, ResultCode::Ok),
            BeginResult::Existing(Outcome::NotRun(code) | Outcome::Unknown(code)) => {
                self.answer(call, server, code);
            }
            BeginResult::Existing(_) => self.answer(call, server, ResultCode::OutcomeUnknown),
        }
    }

    fn answer(&mut self, call: usize, server: usize, code: ResultCode) {
        self.send(Message::Answered(call, server, code, call));
    }

    fn flow_input(&mut self, at: usize, input: request::Input<usize>) {
        let now_ms = self.now_ms;
        if self.calls[at].has_crashed {
            return;
        }
        for action in self.call_mut(at).flow.handle(now_ms, input) {
            match action {
                request::Action::Send { server: 0 } => self.call_mut(at).outbox = Some(0),
                request::Action::Send { server } if server > 1 => {
                    self.flow_input(at, request::Input::NoServer(ResultCode::RouteInactive));
                }
                request::Action::Send { server } => {
                    if self.scenario.defect == Defect::UnrecordedRetry {
                        self.call_mut(at).outbox = Some(server);
                        continue;
                    }
                    self.call_mut(at).pending = Some(server);
                    let owner = member(owner_of(at, server));
                    self.claim_input(at, coordinate::Input::Retry { owner });
                }
                request::Action::Query { server, fence } => {
                    let origin = QueryOrigin::Flow(server);
                    self.send(Message::Query(
                        at,
                        owner_of(at, server),
                        origin,
                        id(at),
                        fence,
                    ));
                }
                request::Action::Wait { until_ms } => {
                    self.call_mut(at).flow_wait_ms = Some(until_ms)
                }
                request::Action::Respond(Response::Forwarded { .. }) => {
                    self.respond(at, CallerResponse::Answer(at))
                }
                request::Action::Respond(Response::Fetched(answer)) => {
                    self.respond(at, CallerResponse::Answer(answer));
                }
                request::Action::Respond(Response::Code(code)) => {
                    self.respond(at, CallerResponse::Code(code))
                }
            }
        }
    }

    fn claim_input(&mut self, at: usize, input: coordinate::Input<usize>) {
        let now_ms = self.now_ms;
        if self.calls[at].has_crashed {
            return;
        }
        for action in self.call_mut(at).coordinator.handle(now_ms, input) {
            match action {
                coordinate::Action::SendClaim { replica, claim } => {
                    self.send(Message::Claim(at, daemon(replica), claim));
                }
                coordinate::Action::RecordOwner { replica, holder } => {
                    self.send(Message::Record(at, daemon(replica), holder));
                }
                coordinate::Action::Run => match self.call_mut(at).pending.take() {
                    Some(server) => self.call_mut(at).outbox = Some(server),
                    None => self.flow_input(at, request::Input::Start),
                },
                coordinate::Action::Superseded => {
                    self.flow_input(at, request::Input::NoServer(ResultCode::Fenced));
                }
                coordinate::Action::QueryHolder { holder, fence } => {
                    let owner = daemon(holder.owner);
                    self.send(Message::Query(
                        at,
                        owner,
                        QueryOrigin::Claim,
                        holder.request,
                        fence,
                    ));
                }
                coordinate::Action::Release { replicas } => {
                    self.resolve(at, &replicas, ClaimOutcome::NotRun)
                }
                coordinate::Action::Wait { until_ms } => {
                    self.call_mut(at).claim_wait_ms = Some(until_ms);
                }
                coordinate::Action::ReturnAnswer(answer) => {
                    self.call_mut(at).response = Some(CallerResponse::Answer(answer));
                }
                coordinate::Action::ReturnCode(code) => {
                    self.call_mut(at).response = Some(CallerResponse::Code(code))
                }
            }
        }
    }

    fn respond(&mut self, at: usize, response: CallerResponse) {
        self.call_mut(at).response = Some(response);
        let outcome = match response {
            CallerResponse::Answer(_) => ClaimOutcome::Done,
            CallerResponse::Code(code) if code.is_not_run() => ClaimOutcome::NotRun,
            CallerResponse::Code(_) => ClaimOutcome::Unknown,
        };
        let replicas = self.scenario.replicas(self.key, at).asked;
        self.resolve(at, &replicas, outcome);
    }

    fn resolve(&mut self, at: usize, replicas: &[MemberId], outcome: ClaimOutcome) {
        if let Some(replica) = replicas.first() {
            self.send(Message::Resolve(at, daemon(*replica), outcome));
        }
    }

    fn with(&self, change: impl FnOnce(&mut ModelState)) -> ModelState {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    fn call_mut(&mut self, at: usize) -> &mut Call {
        Rc::make_mut(&mut self.calls[at])
    }

    fn owner_mut(&mut self, at: usize) -> &mut Owner {
        Rc::make_mut(&mut self.owners[at])
    }

    fn send(&mut self, message: Message) {
        Rc::make_mut(&mut self.network).insert(message);
    }
}

/// The owner that the ingress of `call` selects for a server number; the two ingresses start with
/// different owners.
fn owner_of(call: usize, server: usize) -> usize {
    FIRST_OWNER + (call + server) % 2
}

impl Message {
    fn is_to_replica(&self) -> bool {
        matches!(self, Message::Claim(..) | Message::Record(..))
    }

    fn target(&self) -> usize {
        match self {
            Message::Claim(_, to, _) | Message::Record(_, to, _) => *to,
            Message::Resolve(_, to, _) | Message::Send(_, to, _) => *to,
            Message::Query(_, to, ..) => *to,
            Message::Answered(to, ..) | Message::Replied(to, ..) => *to,
        }
    }
}

impl Call {
    fn has_ended(&self) -> bool {
        self.has_crashed || self.response.is_some()
    }

    fn new(scenario: &Scenario, key: u128, call: usize) -> Self {
        let claim = ClaimRequest {
            key_hash: key,
            request_digest: if scenario.has_other_digest {
                call as u64
            } else {
                0
            },
            request: id(call),
            ingress: member(call),
            owner: member(owner_of(call, 0)),
            replaces: None,
        };
        let replicas = scenario.replicas(key, call);
        let claim_options = coordinate::Options {
            replica_timeout_ms: 1,
            max_rounds: 2,
            round_backoff_ms: 1,
            query_interval_ms: 1,
            fence_after_ms: 1,
            deadline_ms: DEADLINE_MS,
        };
        let flow_options = request::Options {
            deadline_ms: DEADLINE_MS,
            grace_ms: 1,
            query_interval_ms: 1,
            max_attempts: 2,
            ..request::Options::default()
        };
        Self {
            flow: RequestFlow::new(flow_options),
            coordinator: ClaimCoordinator::new(claim_options, claim, replicas),
            flow_wait_ms: None,
            claim_wait_ms: None,
            outbox: None,
            pending: None,
            is_started: false,
            has_crashed: false,
            response: None,
        }
    }
}

impl Scenario {
    /// The claim replicas in the view of the ingress of `call`.
    fn replicas(&self, key: u128, call: usize) -> ReplicaSet {
        let is_unknown = |daemon: usize| {
            self.joined
                .is_some_and(|(joined, known)| joined == daemon && !known[call])
        };
        let peers: Vec<PeerSummary> = (0..DAEMONS)
            .filter(|daemon| !is_unknown(*daemon))
            .map(|daemon| {
                peer(
                    daemon,
                    (self.suspected[call] == Some(daemon)).then_some(RETENTION_MS),
                )
            })
            .collect();
        let mut set = claim::claim_replicas(key, &peers, RETENTION_MS, RETENTION_MS);
        if self.defect == Defect::SingleReplica {
            let own = vec![set.asked[call]];
            set = ReplicaSet {
                vouching: own.clone(),
                recording: own.clone(),
                asked: own,
            };
        }
        set
    }
}
