//! A fake network in virtual time: a queue of datagrams and one state machine per address.
#![allow(dead_code)]
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use jayrack_membership::{
    Action, Input, MemberRecord, MemberStatus, MembershipCore, ServerRecord,
    core::{AppliedState, Options, TICK_INTERVAL_MS},
    wire,
};
use jayrack_protocol::{MemberId, gossip::Datagram, seal};
use rand_pcg::{Pcg32, rand_core::Rng};

/// Bytes of the headers of UDP and IPv4.
pub const HEADER_BYTES: usize = 28;
pub const DATA_CENTRES: [&str; 7] = ["wrecsam", "abertawe", "casnewydd", "a", "b", "c", "d"];

pub struct FakeNode {
    pub core: MembershipCore,
    pub is_paused: bool,
    pub floors: BTreeSet<u64>,
    pub has_left: bool,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    pub received_datagrams: u64,
    backlog: Vec<(SocketAddr, Arc<Datagram>)>,
}

enum Event {
    Tick(SocketAddr),
    Deliver {
        from: SocketAddr,
        to: SocketAddr,
        datagram: Arc<Datagram>,
    },
}

pub struct FakeNetwork {
    pub now_ms: u64,
    pub nodes: BTreeMap<SocketAddr, FakeNode>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u32,
    /// Addresses cut off from all others.
    pub island: BTreeSet<SocketAddr>,
    /// Deaths of members that ran at that moment: who believed it, of whom.
    pub false_deaths: BTreeSet<(SocketAddr, SocketAddr)>,
    pub is_recording: bool,
    pub recorded: Vec<(SocketAddr, SocketAddr, Arc<Datagram>)>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    rng: Pcg32,
}

pub fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

pub fn id(index: usize) -> MemberId {
    MemberId::from_address(address(index))
}

pub fn server(name: &str, draining: bool) -> ServerRecord {
    ServerRecord {
        name: name.to_string(),
        service: "bookings".to_string(),
        slots: 12,
        connections: 110,
        draining,
        warm_percent: 100,
    }
}

pub fn applied(version: u64) -> Input {
    Input::Applied(AppliedState {
        version,
        digest: version,
        next_offset: version + 1,
    })
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            nodes: BTreeMap::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 5,
            island: BTreeSet::new(),
            false_deaths: BTreeSet::new(),
            is_recording: false,
            recorded: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            rng: Pcg32::new(seed, 1),
        }
    }

    /// A network of `size` daemons that all start now and join through the first three.
    pub fn joined(size: usize, seed: u64) -> Self {
        let mut network = Self::new(seed);
        for index in 0..size {
            network.start(index, &[0, 1, 2]);
        }
        network
    }

    /// Starts a daemon with empty memory; its incarnation is the present time.
    pub fn start(&mut self, index: usize, seeds: &[usize]) {
        let place = DATA_CENTRES[index % DATA_CENTRES.len()];
        let incarnation = 1_700_000_000_000 + self.now_ms;
        let record = MemberRecord::new(address(index), incarnation).with_place(place, "wales");
        let mut core = MembershipCore::new(Options::default(), record, self.rng.next_u64(), 0);
        core.handle(self.now_ms, Input::Tick);
        let node = FakeNode {
            core,
            is_paused: false,
            floors: BTreeSet::new(),
            has_left: false,
            sent_bytes: 0,
            received_bytes: 0,
            received_datagrams: 0,
            backlog: Vec::new(),
        };
        let is_first = self.nodes.insert(address(index), node).is_none();
        let seeds = seeds.iter().map(|seed| address(*seed)).collect();
        self.input(index, Input::Seeds(seeds));
        if is_first {
            let phase = self.below(TICK_INTERVAL_MS as u32);
            self.schedule(self.now_ms + phase, Event::Tick(address(index)));
        }
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes.remove(&address(index));
    }

    pub fn input(&mut self, index: usize, input: Input) {
        self.handle(address(index), input);
    }

    pub fn pause(&mut self, index: usize) {
        self.nodes.get_mut(&address(index)).unwrap().is_paused = true;
    }

    /// Lets a paused daemon go on: it first takes what waited for it, then time passes.
    pub fn resume(&mut self, index: usize) {
        let node = self.nodes.get_mut(&address(index)).unwrap();
        node.is_paused = false;
        for (from, datagram) in std::mem::take(&mut node.backlog) {
            self.deliver(from, address(index), &datagram);
        }
    }

    pub fn run_ms(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while let Some(next) = self.events.first_entry() {
            if next.key().0 > end_ms {
                break;
            }
            self.now_ms = next.key().0;
            match next.remove() {
                Event::Tick(at) => self.tick(at),
                Event::Deliver { from, to, datagram } => self.deliver(from, to, &datagram),
            }
        }
        self.now_ms = end_ms;
    }

    /// Runs until `is_met`, at most `limit_ms`; returns the time that it took.
    pub fn run_until(&mut self, limit_ms: u64, is_met: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms <= limit_ms {
            if is_met(self) {
                return Some(self.now_ms - start_ms);
            }
            self.run_ms(TICK_INTERVAL_MS);
        }
        None
    }

    /// Whether every daemon sees exactly the running ones alive, with their latest records.
    pub fn is_agreed(&self) -> bool {
        let truth: Vec<&MemberRecord> = self.nodes.values().map(|node| node.core.local()).collect();
        self.nodes.values().all(|node| node.sees(&truth))
    }

    pub fn core(&self, index: usize) -> &MembershipCore {
        &self.nodes[&address(index)].core
    }

    pub fn status(&self, observer: usize, member: usize) -> Option<MemberStatus> {
        let view = self.core(observer).view();
        view.get(id(member)).map(|entry| entry.status)
    }

    pub fn deliver(&mut self, from: SocketAddr, to: SocketAddr, datagram: &Arc<Datagram>) {
        let is_cut = self.island.contains(&from) != self.island.contains(&to);
        let Some(node) = self.nodes.get_mut(&to).filter(|_| !is_cut) else {
            return;
        };
        if node.is_paused {
            return node.backlog.push((from, datagram.clone()));
        }
        node.received_bytes += wire_bytes(datagram);
        node.received_datagrams += 1;
        let datagram = Box::new(Datagram::clone(datagram));
        self.handle(to, Input::Datagram { from, datagram });
    }

    fn tick(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get(&at) else {
            return;
        };
        if !node.is_paused {
            self.handle(at, Input::Tick);
        }
        self.schedule(self.now_ms + TICK_INTERVAL_MS, Event::Tick(at));
    }

    fn handle(&mut self, at: SocketAddr, input: Input) {
        let node = self.nodes.get_mut(&at).unwrap();
        for action in node.core.handle(self.now_ms, input) {
            match action {
                Action::Send { to, datagram } => self.send(at, to, *datagram),
                Action::Floor { version } => {
                    self.nodes.get_mut(&at).unwrap().floors.insert(version);
                }
                Action::HasLeft => self.nodes.get_mut(&at).unwrap().has_left = true,
                Action::Changed => self.note_false_deaths(at),
                Action::PeerState { .. } | Action::NeedContacts => {}
            }
        }
    }

    fn note_false_deaths(&mut self, at: SocketAddr) {
        let entries = self.nodes[&at].core.view().members.values();
        for entry in entries.filter(|entry| entry.status == MemberStatus::Dead) {
            let member = entry.record.gossip_address;
            let is_running = self.nodes.get(&member).is_some_and(|n| !n.is_paused);
            if is_running {
                self.false_deaths.insert((at, member));
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, datagram: Datagram) {
        let bytes = wire_bytes(&datagram);
        assert!(bytes as usize - HEADER_BYTES <= 1_400);
        self.nodes.get_mut(&from).unwrap().sent_bytes += bytes;
        let datagram = Arc::new(datagram);
        if self.is_recording {
            self.recorded.push((from, to, datagram.clone()));
        }
        let copies = 1 + u32::from(self.below(100) < u64::from(self.duplicate_percent));
        for _ in 0..copies {
            let is_lost = self.below(100) < u64::from(self.loss_percent);
            let delay_ms = 1 + self.below(self.max_delay_ms);
            let datagram = datagram.clone();
            if !is_lost {
                self.schedule(
                    self.now_ms + delay_ms,
                    Event::Deliver { from, to, datagram },
                );
            }
        }
    }

    fn schedule(&mut self, due_ms: u64, event: Event) {
        self.count += 1;
        self.events.insert((due_ms, self.count), event);
    }

    fn below(&mut self, bound: u32) -> u64 {
        (u64::from(self.rng.next_u32()) * u64::from(bound)) >> u32::BITS
    }
}

impl FakeNode {
    fn sees(&self, truth: &[&MemberRecord]) -> bool {
        let alive = self.core.view().alive();
        let mut seen: Vec<&MemberRecord> = alive
            .filter(|entry| entry.status == MemberStatus::Alive)
            .map(|entry| entry.record.as_ref())
            .collect();
        seen.sort_by_key(|record| record.gossip_address);
        seen == truth
    }
}

/// Bytes of a datagram on the wire, with tag and headers.
pub fn wire_bytes(datagram: &Datagram) -> u64 {
    (wire::encode(datagram).len() + seal::TAG_BYTES + HEADER_BYTES) as u64
}
