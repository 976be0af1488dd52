//! State of the configuration model: real state machines with a log and a network that fail.
mod check;
mod steps;

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
    sync::Arc,
};

use jayrack_config::{
    fold::ConfigState,
    record::StoredRecord,
    sync::{
        Action, ConfigSync, FleetMember, Input, LogAnswer, Options, PeerDigest, PullAnswer,
        RecordPush,
    },
    tracker::AppendTracker,
};
use jayrack_protocol::{MemberId, ResultCode};
use xxhash_rust::xxh3::xxh3_128;

use super::{LogFixture, START_MS, operator, put, rank};

/// Time that passes in one step of the clock, in milliseconds; long enough for all time-outs.
const CLOCK_STEP_MS: u64 = 4_000;

pub const NODES: usize = 4;

/// Plan of each operator; operator `i` works through daemon `i + 2`.
const PLANS: [&str; 2] = ["left", "right"];

/// A fault injected into the model; the real state machines have none of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Records are folded in the order of their arrival.
    ArrivalOrder,
    /// A lower state of a peer replaces the daemon's own.
    AcceptsLower,
    /// A restarted daemon serves with the state of the first peer that answers.
    OneConfirmingPeer,
    /// A restarted daemon serves at once.
    ServesUnready,
    /// A lost answer of the log is reported as a failure.
    LostIsFailed,
    /// A drop is reported as done before it is folded.
    DropUnfolded,
}

/// How often each failure may happen in one history.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Faults {
    pub crashes: u8,
    pub log_failures: u8,
    pub expiries: u8,
    pub losses: u8,
    pub duplicates: u8,
    pub clock_steps: u8,
    pub digests: u8,
    /// Whether readers may crash too.
    pub readers_crash: bool,
    /// Number of operators at work.
    pub operators: usize,
}

#[derive(Debug, Clone)]
enum Message {
    Push {
        to: usize,
        push: RecordPush,
    },
    PullAnswer {
        to: usize,
        from: usize,
        answer: Arc<PullAnswer>,
    },
}

impl Message {
    fn describe(&self) -> String {
        match self {
            Message::Push { to, push } => {
                let offsets: Vec<u64> = push.records.iter().map(|record| record.offset).collect();
                format!("records {offsets:?} to daemon {to}")
            }
            Message::PullAnswer { to, from, answer } => {
                format!(
                    "the answer of daemon {from} to daemon {to}, version {}",
                    answer.version
                )
            }
        }
    }
}

/// Outstanding requests of a daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Waiting {
    /// Offset from which the log is being read, and whether the log may hold the read.
    log: Option<(u64, bool)>,
    snapshots: bool,
    pull: Option<(usize, u64)>,
}

#[derive(Debug, Clone)]
struct Node {
    sync: ConfigSync,
    tracker: AppendTracker,
    waiting: Waiting,
    /// Version that other members reported, by their number.
    received_versions: BTreeMap<usize, u64>,
}

/// One state of the model.
#[derive(Debug, Clone)]
pub struct World {
    now_ms: u64,
    nodes: Vec<Arc<Node>>,
    fingerprints: Vec<u128>,
    records: Arc<Vec<StoredRecord>>,
    reference: Arc<ConfigState>,
    log_first: u64,
    snapshots: Vec<StoredRecord>,
    /// Appends whose answer was lost and that may be stored at any time.
    in_flight: BTreeSet<String>,
    network: Vec<Message>,
    /// Steps taken by each operator.
    operators: [u8; 2],
    faults: Faults,
    defect: Option<Defect>,
    served: [u64; NODES],
    is_restarted: bool,
    /// Outcomes reported to operators, by plan.
    reported: BTreeMap<String, &'static str>,
    /// Fingerprint of everything that influences later steps.
    fingerprint: u128,
    pub depth: usize,
    pub label: String,
    pub violation: Option<String>,
}

fn node_member(index: usize) -> FleetMember {
    FleetMember {
        id: MemberId(index as u64 + 1),
        data_centre: ["wrecsam", "abertawe"][index % 2].to_string(),
    }
}

impl World {
    /// Four ready daemons, two of them readers, that have folded two overlapping open plans.
    pub fn new(faults: Faults, defect: Option<Defect>) -> Self {
        let mut log = LogFixture::with_route();
        log.propose("left", &operator("shop"), put(vec![rank("urgent", 0, 20)]));
        log.propose("right", &operator("shop"), put(vec![rank("urgent", 0, 30)]));
        let mut world = Self {
            now_ms: START_MS,
            nodes: Vec::new(),
            fingerprints: vec![0; NODES],
            reference: Arc::new(log.state.clone()),
            records: Arc::new(log.records.clone()),
            log_first: 1,
            snapshots: Vec::new(),
            in_flight: BTreeSet::new(),
            network: Vec::new(),
            operators: [0; 2],
            faults,
            defect,
            served: [2; NODES],
            is_restarted: false,
            reported: BTreeMap::new(),
            fingerprint: 0,
            depth: 0,
            label: "start".to_string(),
            violation: None,
        };
        for index in 0..NODES {
            world.nodes.push(Arc::new(world.started(index)));
        }
        for index in 0..NODES {
            world.handle(index, Input::Members((0..NODES).map(node_member).collect()));
            world.handle(index, Input::Tick);
            world.nodes_mut(index).waiting.snapshots = false;
            world.handle(
                index,
                Input::SnapshotsRead {
                    records: Vec::new(),
                },
            );
            world.answer_log(index);
            assert!(world.nodes[index].sync.is_ready());
        }
        world.depth = 0;
        world
    }

    fn started(&self, index: usize) -> Node {
        let options = Options::builder()
            .readers_per_data_centre(1)
            .start_spread_ms(0)
            .pull_timeout_ms(CLOCK_STEP_MS)
            .build();
        Node {
            sync: ConfigSync::new(options, node_member(index), self.now_ms),
            tracker: AppendTracker::new(),
            waiting: Waiting::default(),
            received_versions: BTreeMap::new(),
        }
    }

    fn nodes_mut(&mut self, index: usize) -> &mut Node {
        Arc::make_mut(&mut self.nodes[index])
    }

    fn is_reader(&self, index: usize) -> bool {
        self.nodes[index].sync.fleet().is_reader()
    }

    fn restart(&mut self, index: usize) {
        self.is_restarted = true;
        self.nodes[index] = Arc::new(self.started(index));
        self.handle(index, Input::Members((0..NODES).map(node_member).collect()));
        self.handle(index, Input::Tick);
    }

    fn receive_digest(&mut self, index: usize, peer: usize, version: u64, digest: u64) {
        self.nodes_mut(index)
            .received_versions
            .insert(peer, version);
        if self.defect == Some(Defect::AcceptsLower) {
            self.served(index, version);
        }
        let next_offset = Some(self.nodes[peer].sync.state().next_offset());
        self.handle(
            index,
            Input::PeerDigest(PeerDigest {
                peer: node_member(peer).id,
                version,
                digest,
                next_offset,
                log_now_ms: None,
            }),
        );
    }

    fn store(&mut self, data: String) {
        let stored = StoredRecord {
            offset: self.records.len() as u64 + 1,
            time_ms: self.now_ms + 1_000,
            data,
        };
        Arc::make_mut(&mut self.reference)
            .apply(&stored)
            .expect("record is understood");
        Arc::make_mut(&mut self.records).push(stored);
    }

    fn answer_log(&mut self, index: usize) {
        let Some((from, _)) = self.nodes_mut(index).waiting.log.take() else {
            return;
        };
        let next = self.records.len() as u64 + 1;
        let now_ms = self.now_ms + 1_000;
        if from < self.log_first {
            let first = self.log_first;
            self.handle(
                index,
                Input::LogExpired {
                    first,
                    next,
                    now_ms,
                },
            );
            return;
        }
        let records = self.records.iter().filter(|record| record.offset >= from);
        let answer = LogAnswer {
            first: self.log_first,
            next,
            now_ms,
            records: records.cloned().collect(),
        };
        self.handle(index, Input::LogRead(answer));
    }

    fn serve_pull(&mut self, peer: usize, to: usize, from: u64) {
        let minimum_version = self.nodes[peer]
            .received_versions
            .get(&to)
            .copied()
            .unwrap_or_default();
        let answer = self
            .nodes_mut(peer)
            .sync
            .answer_pull(from, 100, minimum_version);
        self.send(Message::PullAnswer {
            to,
            from: peer,
            answer: Arc::new(answer),
        });
    }

    fn send(&mut self, message: Message) {
        self.network.push(message);
        self.network
            .sort_by_cached_key(|message| format!("{message:?}"));
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Push { to, mut push } => {
                if self.defect == Some(Defect::ArrivalOrder) {
                    let first = self.nodes[to].sync.state().next_offset();
                    for (offset, record) in (first..).zip(&mut push.records) {
                        record.offset = offset;
                    }
                }
                self.handle(to, Input::Pushed(push));
            }
            Message::PullAnswer { to, from, answer } => {
                let peer = node_member(from).id;
                let is_state = answer.digest != 0;
                let answer = answer.as_ref().clone();
                self.handle(to, Input::Pulled { peer, answer });
                if self.defect == Some(Defect::OneConfirmingPeer) && is_state {
                    self.served(to, self.nodes[to].sync.state().version());
                }
            }
        }
    }

    fn handle(&mut self, index: usize, input: Input) {
        let now_ms = self.now_ms;
        let actions = self.nodes_mut(index).sync.handle(now_ms, input);
        for action in actions {
            self.act(index, action);
        }
        let node = &self.nodes[index];
        let is_unready_served = self.defect == Some(Defect::ServesUnready) && self.depth > 0;
        let is_serving = node.sync.is_ready() || is_unready_served;
        if is_serving && !self.nodes[index].sync.fleet().is_empty() {
            self.served(index, node.sync.state().version());
        }
        self.fingerprints[index] = xxh3_128(format!("{:?}", self.nodes[index]).as_bytes());
    }

    fn act(&mut self, index: usize, action: Action) {
        match action {
            Action::ReadLog { from, wait_ms, .. } => {
                self.nodes_mut(index).waiting.log = Some((from, wait_ms > 0));
            }
            Action::ReadSnapshots => self.nodes_mut(index).waiting.snapshots = true,
            Action::AppendSnapshot { text } => {
                let stored = StoredRecord {
                    offset: self.snapshots.len() as u64 + 1,
                    time_ms: self.now_ms + 1_000,
                    data: text,
                };
                self.snapshots.push(stored);
            }
            Action::Push {
                peers,
                records,
                hops,
            } => {
                for peer in peers {
                    let push = RecordPush {
                        peer: Some(node_member(index).id),
                        records: records.clone(),
                        hops,
                    };
                    let to = peer.0 as usize - 1;
                    self.send(Message::Push { to, push });
                }
            }
            Action::Pull { peer, from, .. } => {
                self.nodes_mut(index).waiting.pull = Some((peer.0 as usize - 1, from));
            }
            Action::Folded {
                offset,
                record_id,
                outcome,
                ..
            } => {
                self.nodes_mut(index)
                    .tracker
                    .folded(&record_id, offset, &outcome);
            }
            Action::Report {
                code: ResultCode::DigestDiverged,
                detail,
            } => {
                self.violation = Some(detail);
            }
            Action::Installed { .. } | Action::Ready | Action::Report { .. } => {}
        }
    }

    /// Identifies the state independently of the history that led to it.
    fn fingerprint(&self) -> u128 {
        let parts = (
            (
                &self.fingerprints,
                self.records.len(),
                self.reference.digest(),
                self.log_first,
            ),
            (
                self.snapshots.len(),
                &self.in_flight,
                &self.reported,
                self.now_ms,
            ),
            (&self.network, self.operators, self.faults, self.served),
            (&self.violation, self.is_restarted),
        );
        xxh3_128(format!("{parts:?}").as_bytes())
    }
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint == other.fingerprint
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.fingerprint.hash(state);
    }
}
