//! A fake network in virtual time: a queue of datagrams and one state machine per address.
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use jayrack_membership::{Action, Input, MemberRecord, core::TICK_INTERVAL_MS};
use jayrack_protocol::gossip::Datagram;
use rand_pcg::{Pcg32, rand_core::Rng};

use super::{
    address,
    node::{Delivery, FakeNode, HEADER_BYTES, wire_bytes},
};

/// Largest network that is checked for false positives.
const MAX_CHECKED_NODES: usize = 200;

enum Event {
    Tick(SocketAddr),
    Deliver(Delivery),
}

pub struct FakeNetwork {
    pub now_ms: u64,
    pub nodes: BTreeMap<SocketAddr, FakeNode>,
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub max_delay_ms: u32,
    /// Maximum delay of a tick, for daemons that are starved of processor time.
    pub max_tick_delay_ms: u32,
    /// Addresses that are partitioned from all others.
    pub partition: BTreeSet<SocketAddr>,
    /// Pairs of a daemon and a running member that it declared dead.
    pub false_positives: BTreeSet<(SocketAddr, SocketAddr)>,
    /// All datagrams sent, when set.
    pub recorded: Option<Vec<Delivery>>,
    ticking: BTreeSet<SocketAddr>,
    events: BTreeMap<(u64, u64), Event>,
    count: u64,
    rng: Pcg32,
}

impl FakeNetwork {
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            nodes: BTreeMap::new(),
            loss_percent: 0,
            duplicate_percent: 0,
            max_delay_ms: 5,
            max_tick_delay_ms: 0,
            partition: BTreeSet::new(),
            false_positives: BTreeSet::new(),
            recorded: None,
            ticking: BTreeSet::new(),
            events: BTreeMap::new(),
            count: 0,
            rng: Pcg32::new(seed, 1),
        }
    }

    /// Starts a daemon without stored state.
    pub fn start(&mut self, index: usize, seeds: &[usize]) {
        let at = address(index);
        let node = FakeNode::new(index, self.rng.next_u64(), self.now_ms);
        self.nodes.insert(at, node);
        let seeds = seeds.iter().map(|seed| address(*seed)).collect();
        self.handle(at, Input::Seeds(seeds));
        if self.ticking.insert(at) {
            let phase_ms = self.random_below(TICK_INTERVAL_MS as u32);
            self.schedule(phase_ms, Event::Tick(at));
        }
    }

    pub fn input(&mut self, index: usize, input: Input) {
        self.handle(address(index), input);
    }

    pub fn node(&mut self, index: usize) -> &mut FakeNode {
        self.nodes.get_mut(&address(index)).unwrap()
    }

    /// Resumes a stalled daemon: it handles the datagrams that arrived meanwhile before its next
    /// tick.
    pub fn resume(&mut self, index: usize) {
        let node = self.node(index);
        node.is_stalled = false;
        for delivery in std::mem::take(&mut node.backlog) {
            self.deliver(delivery);
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
                Event::Deliver(delivery) => self.deliver(delivery),
            }
        }
        self.now_ms = end_ms;
    }

    /// Runs until `is_met`, at most `limit_ms`; returns the elapsed time.
    pub fn run_until(&mut self, limit_ms: u64, is_met: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while !is_met(self) {
            if self.now_ms - start_ms > limit_ms {
                return None;
            }
            self.run_ms(TICK_INTERVAL_MS);
        }
        Some(self.now_ms - start_ms)
    }

    /// Whether exactly the running daemons are alive in every view, each with its current record.
    pub fn is_converged(&self) -> bool {
        let truth: Vec<&MemberRecord> = self.nodes.values().map(|node| node.core.local()).collect();
        self.nodes.values().all(|node| node.alive() == truth)
    }

    pub fn deliver(&mut self, delivery: Delivery) {
        let Delivery { from, to, datagram } = &delivery;
        let is_partitioned = self.partition.contains(from) != self.partition.contains(to);
        let Some(node) = self.nodes.get_mut(to).filter(|_| !is_partitioned) else {
            return;
        };
        if node.is_stalled {
            return node.backlog.push(delivery);
        }
        node.bytes += wire_bytes(datagram);
        let datagram = Box::new(Datagram::clone(datagram));
        let from = *from;
        self.handle(delivery.to, Input::Datagram { from, datagram });
    }

    fn tick(&mut self, at: SocketAddr) {
        let Some(node) = self.nodes.get(&at) else {
            self.ticking.remove(&at);
            return;
        };
        if !node.is_stalled {
            self.handle(at, Input::Tick);
        }
        let late_ms = self.random_below(self.max_tick_delay_ms);
        self.schedule(TICK_INTERVAL_MS + late_ms, Event::Tick(at));
    }

    fn handle(&mut self, at: SocketAddr, input: Input) {
        let node = self.nodes.get_mut(&at).unwrap();
        for action in node.core.handle(self.now_ms, input) {
            match action {
                Action::Send { to, datagram } => self.send(at, to, *datagram),
                Action::Changed => self.record_false_positives(at),
                other => self.nodes.get_mut(&at).unwrap().record_action(&other),
            }
        }
    }

    fn record_false_positives(&mut self, at: SocketAddr) {
        if self.nodes.len() > MAX_CHECKED_NODES {
            return;
        }
        for member in self.nodes[&at].dead() {
            if self.nodes.get(&member).is_some_and(|node| !node.is_stalled) {
                self.false_positives.insert((at, member));
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, datagram: Datagram) {
        let bytes = wire_bytes(&datagram);
        assert!(bytes as usize - HEADER_BYTES <= 1_400, "{datagram:?}");
        self.nodes.get_mut(&from).unwrap().bytes += bytes;
        let datagram = Arc::new(datagram);
        let delivery = Delivery { from, to, datagram };
        if let Some(recorded) = &mut self.recorded {
            recorded.push(delivery.clone());
        }
        let copies = 1 + u32::from(self.random_below(100) < u64::from(self.duplicate_percent));
        for _ in 0..copies {
            let is_lost = self.random_below(100) < u64::from(self.loss_percent);
            let delay_ms = 1 + self.random_below(self.max_delay_ms);
            if !is_lost {
                self.schedule(delay_ms, Event::Deliver(delivery.clone()));
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.count += 1;
        self.events
            .insert((self.now_ms + delay_ms, self.count), event);
    }

    fn random_below(&mut self, bound: u32) -> u64 {
        (u64::from(self.rng.next_u32()) * u64::from(bound)) >> u32::BITS
    }
}
