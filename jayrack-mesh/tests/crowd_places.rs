//! Crowds of slow callers in virtual time: ordinary requests find a place, and nobody is cut off while there is room.
use std::collections::{BTreeMap, VecDeque};

use jayrack_mesh::memory::{
    Admission, BudgetSizes, ConnectionCost, MemoryBudget,
    connections::{ClientKind, ConnectionId, ConnectionPhase},
};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};
use rstest::rstest;

/// Simulated time of one schedule, in milliseconds.
const SCHEDULE_MS: u64 = 4_000;
/// Connections that the daemon looks at in a millisecond.
const TURNS_PER_MS: usize = 20;
/// Turns for which a new connection waits for the one that gives way.
const ADMISSION_TURNS: usize = 64;
/// Places of the simulated host.
const PLACES: u64 = 60;
/// Interval between two ordinary requests, and the time for which each runs, in milliseconds.
const ORDINARY_INTERVAL_MS: u64 = 40;
const RUN_MS: u64 = 30;
/// Tries in which an ordinary request must be admitted.
const ORDINARY_TRIES: u32 = 2;
/// Longest pause of a caller before it connects again, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;
/// Lowest and highest rate of a slow caller, in bytes per millisecond: from the minimum rate of a body.
const SLOW_BYTES_PER_MS: std::ops::Range<u64> = 8..128;

/// A client of the simulation.
#[derive(Debug, Clone, Copy)]
enum Client {
    /// Sends a body at this rate, in bytes per millisecond, and connects again after a pause in milliseconds.
    Slow { bytes_per_ms: u64, pause_ms: u64 },
    /// Sends its whole request at once; the number of earlier tries that failed.
    Ordinary { failed: u32 },
}

struct Daemon {
    budget: MemoryBudget,
    kind: ClientKind,
    now_ms: u64,
    /// Clients that wait to be accepted, and those that connect later.
    waiting: VecDeque<Client>,
    later: Vec<(u64, Client)>,
    open: BTreeMap<ConnectionId, Client>,
    /// Turns of the first waiting client so far.
    turns: usize,
    /// Requests that run, with their end in milliseconds.
    running: BTreeMap<ConnectionId, u64>,
    /// Ordinary requests that were admitted, and those that found no place in their tries.
    served: u32,
    unserved: u32,
    slow_cut: u32,
}

impl Daemon {
    fn new(kind: ClientKind) -> Self {
        let sizes = BudgetSizes::for_host(Some(110));
        Self {
            budget: MemoryBudget::new(sizes, PLACES),
            kind,
            now_ms: 0,
            waiting: VecDeque::new(),
            later: Vec::new(),
            open: BTreeMap::new(),
            turns: 0,
            running: BTreeMap::new(),
            served: 0,
            unserved: 0,
            slow_cut: 0,
        }
    }

    fn step(&mut self) {
        self.now_ms += 1;
        let now_ms = self.now_ms;
        let (due, later) = self.later.iter().partition(|(at_ms, _)| *at_ms <= now_ms);
        self.later = later;
        let due: Vec<(u64, Client)> = due;
        self.waiting
            .extend(due.into_iter().map(|(_, client)| client));
        for _ in 0..TURNS_PER_MS {
            self.admit_next();
        }
        for (id, client) in &self.open {
            if let Client::Slow { bytes_per_ms, .. } = client {
                self.budget.record_progress(*id, now_ms, *bytes_per_ms);
            }
        }
        let ended: Vec<ConnectionId> = self
            .running
            .iter()
            .filter(|(_, ends_ms)| **ends_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.running.remove(&id);
            self.close(id);
        }
    }

    /// One turn of the task that accepts connections, and of those that read from new ones.
    fn admit_next(&mut self) {
        let Some(client) = self.waiting.front().copied() else {
            return;
        };
        let cost = ConnectionCost::of(self.kind);
        match self.budget.open_connection(self.kind, cost, self.now_ms) {
            Admission::Admitted(id) => {
                self.next_client();
                self.open.insert(id, client);
                self.begin(id, client);
            }
            Admission::GivesWay(id) if self.turns < ADMISSION_TURNS => {
                self.turns += 1;
                if let Some(client) = self.close(id) {
                    self.fail(client);
                }
            }
            Admission::Unreturned => self.budget.record_returned(),
            Admission::GivesWay(_) | Admission::Refused => {
                self.next_client();
                self.fail(client);
            }
        }
    }

    fn next_client(&mut self) {
        self.turns = 0;
        self.waiting.pop_front();
    }

    fn begin(&mut self, id: ConnectionId, client: Client) {
        self.budget
            .enter_phase(id, ConnectionPhase::Receiving, self.now_ms);
        if let Client::Ordinary { .. } = client {
            self.budget
                .enter_phase(id, ConnectionPhase::Running, self.now_ms);
            self.running.insert(id, self.now_ms + RUN_MS);
            self.served += 1;
        }
    }

    fn close(&mut self, id: ConnectionId) -> Option<Client> {
        let cost = ConnectionCost::of(self.kind);
        self.budget.close_connection(id, cost);
        self.open.remove(&id)
    }

    /// Lets a client whose connection was closed connect again.
    fn fail(&mut self, client: Client) {
        match client {
            Client::Slow { pause_ms, .. } => {
                self.slow_cut += 1;
                self.later.push((self.now_ms + pause_ms, client));
            }
            Client::Ordinary { failed } if failed + 1 < ORDINARY_TRIES => {
                let again = Client::Ordinary { failed: failed + 1 };
                self.later.push((self.now_ms + 1, again));
            }
            Client::Ordinary { .. } => self.unserved += 1,
        }
    }
}

fn slow_clients(random: &mut Pcg32, count: u64) -> Vec<Client> {
    let mut draw = |range: std::ops::Range<u64>| {
        range.start + u64::from(random.next_u32()) % (range.end - range.start)
    };
    let client = |_| Client::Slow {
        bytes_per_ms: draw(SLOW_BYTES_PER_MS),
        pause_ms: draw(0..MAX_PAUSE_MS),
    };
    (0..count).map(client).collect()
}

/// Runs a schedule with `crowd` slow clients and ordinary ones among them.
fn run(seed: u64, kind: ClientKind, crowd: u64) -> Daemon {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut daemon = Daemon::new(kind);
    daemon.waiting.extend(slow_clients(&mut random, crowd));
    while daemon.now_ms < SCHEDULE_MS {
        if daemon.now_ms.is_multiple_of(ORDINARY_INTERVAL_MS) {
            let delay_ms = u64::from(random.next_u32()) % ORDINARY_INTERVAL_MS;
            let client = Client::Ordinary { failed: 0 };
            daemon.later.push((daemon.now_ms + delay_ms, client));
        }
        daemon.step();
    }
    daemon
}

/// Guards against slow clients that hold all places, at any rate and however soon they connect again.
#[rstest]
fn ordinary_requests_find_a_place_in_two_tries(
    #[values(ClientKind::Caller, ClientKind::Daemon)] kind: ClientKind,
    #[values(1, 2, 5)] crowds: u64,
) {
    for seed in 0..20 {
        let daemon = run(seed, kind, crowds * PLACES);

        assert_eq!(daemon.unserved, 0, "seed {seed}, {crowds} crowds");
        assert!(daemon.served > 80, "seed {seed}: {} served", daemon.served);
        assert!(daemon.slow_cut > 0, "seed {seed}: no slow client gave way");
    }
}

/// Guards against clients on slow links that are cut off although there is room.
#[test]
fn slow_clients_stay_while_there_is_room() {
    for seed in 0..20 {
        let daemon = run(seed, ClientKind::Caller, PLACES / 2);

        assert_eq!(daemon.slow_cut, 0, "seed {seed}");
        assert_eq!(daemon.unserved, 0, "seed {seed}");
    }
}

/// Guards against callers that shut out the traffic of other daemons, and the other way round, with requests that run.
#[rstest]
#[case(ClientKind::Caller, ClientKind::Daemon)]
#[case(ClientKind::Daemon, ClientKind::Caller)]
fn each_kind_has_places_of_its_own(#[case] first: ClientKind, #[case] second: ClientKind) {
    let mut budget = MemoryBudget::new(BudgetSizes::for_host(Some(110)), PLACES);
    let mut open = |kind| {
        let admission = budget.open_connection(kind, ConnectionCost::of(kind), 0);
        if let Admission::Admitted(id) = admission {
            budget.enter_phase(id, ConnectionPhase::Running, 0);
        }
        admission
    };

    let first_places = (0..2 * PLACES)
        .filter(|_| matches!(open(first), Admission::Admitted(_)))
        .count();
    let second_places = (0..2 * PLACES)
        .filter(|_| matches!(open(second), Admission::Admitted(_)))
        .count();

    assert!(first_places > PLACES as usize / 2, "{first_places}");
    assert!(second_places >= PLACES as usize / 8, "{second_places}");
}

/// Guards against requests that are broken off for a new connection although they are complete.
#[test]
fn a_connection_whose_request_runs_does_not_give_way() {
    let mut budget = MemoryBudget::new(BudgetSizes::for_host(Some(110)), PLACES);
    let kind = ClientKind::Caller;
    while let Admission::Admitted(id) = budget.open_connection(kind, ConnectionCost::of(kind), 0) {
        budget.enter_phase(id, ConnectionPhase::Running, 0);
    }

    let admission = budget.open_connection(kind, ConnectionCost::of(kind), SCHEDULE_MS);

    assert_eq!(admission, Admission::Refused);
}
