//! Appends to the contacts stream stay bounded, however many daemons start at once.
mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use jayrack_membership::contacts::{
    Action, CONTACT_PUBLISHERS, ContactCore, ContactRecord, ContactRole, Input,
    REFRESH_INTERVAL_MS, role,
};
use rstest::rstest;
use support::{address, converged, id};

const TICK_MS: u64 = 100;
/// Time from receiving an address to joining through it.
const JOIN_MS: u64 = 1_000;

/// A log with a delay, and newcomers that join [`JOIN_MS`] after they receive the address of a
/// running daemon.
struct FakeLog {
    now_ms: u64,
    delay_ms: u64,
    is_down: bool,
    records: Vec<ContactRecord>,
    appends: usize,
    reads: usize,
    daemons: BTreeMap<SocketAddr, ContactCore>,
    answers: BTreeMap<(u64, u64), Answer>,
    count: u64,
    joined: BTreeSet<SocketAddr>,
}

enum Answer {
    Read(SocketAddr),
    Append(SocketAddr),
    Join(SocketAddr),
}

impl FakeLog {
    fn new(daemons: usize, delay_ms: u64) -> Self {
        let addresses = (0..daemons).map(address);
        let cores = addresses.map(|at| (at, ContactCore::new(at, 3, 0)));
        Self {
            now_ms: 0,
            delay_ms,
            is_down: false,
            records: Vec::new(),
            appends: 0,
            reads: 0,
            daemons: cores.collect(),
            answers: BTreeMap::new(),
            count: 0,
            joined: BTreeSet::new(),
        }
    }

    fn run_ms(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            self.answer_due();
            let addresses: Vec<SocketAddr> = self.daemons.keys().copied().collect();
            addresses
                .into_iter()
                .for_each(|at| self.input(at, Input::Tick));
        }
    }

    fn answer_due(&mut self) {
        while let Some(next) = self.answers.first_entry() {
            if next.key().0 > self.now_ms {
                return;
            }
            let answer = next.remove();
            self.answer(answer);
        }
    }

    fn input(&mut self, at: SocketAddr, input: Input) {
        let core = self.daemons.get_mut(&at).unwrap();
        for action in core.handle(self.now_ms, input) {
            match action {
                Action::Read => {
                    self.reads += 1;
                    self.schedule(self.delay_ms, Answer::Read(at));
                }
                Action::Append(address) => {
                    self.appends += 1;
                    self.schedule(self.delay_ms, Answer::Append(address));
                }
                Action::Seeds(seeds) => {
                    assert!(!seeds.contains(&at));
                    if seeds.iter().any(|seed| self.daemons.contains_key(seed)) {
                        self.schedule(JOIN_MS, Answer::Join(at));
                    }
                }
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, answer: Answer) {
        self.count += 1;
        self.answers
            .insert((self.now_ms + delay_ms, self.count), answer);
    }

    fn answer(&mut self, answer: Answer) {
        match answer {
            Answer::Read(at) | Answer::Append(at) if self.is_down => self.input(at, Input::Failed),
            Answer::Read(at) => {
                let contacts = self.records.clone();
                let log_now_ms = self.now_ms;
                self.input(
                    at,
                    Input::Read {
                        contacts,
                        log_now_ms,
                    },
                );
            }
            Answer::Append(address) => {
                let offset = self.records.len() as u64 + 1;
                let time_ms = self.now_ms;
                self.records.push(ContactRecord {
                    offset,
                    time_ms,
                    address,
                });
                self.input(address, Input::Appended);
            }
            Answer::Join(at) => {
                self.joined.insert(at);
                let joined = ContactRole {
                    is_publisher: false,
                    is_alone: false,
                };
                self.input(at, Input::Role(joined));
            }
        }
    }
}

/// Limit for any fleet size, far below the several hundred appends per second of the log.
const MAX_APPENDS: usize = 40;
/// Limit of reads per newcomer on average.
const MAX_READS: usize = 5;

#[rstest]
#[case(2, 50)]
#[case(10, 300)]
#[case(80, 300)]
#[case(760, 50)]
#[case(760, 1_000)]
fn appends_of_newcomers_without_contacts_are_bounded(
    #[case] daemons: usize,
    #[case] delay_ms: u64,
) {
    let mut log = FakeLog::new(daemons, delay_ms);

    log.run_ms(90_000);

    println!(
        "{daemons} daemons: {} appends, {} reads",
        log.appends, log.reads
    );
    assert!(log.appends <= MAX_APPENDS, "{} appends", log.appends);
    assert!(log.reads <= daemons * MAX_READS, "{} reads", log.reads);
    assert!(log.joined.len() + log.appends >= daemons);
}

#[test]
fn newcomers_join_through_a_contact_without_appending() {
    let mut log = FakeLog::new(100, 50);
    let address = address(0);
    log.records.push(ContactRecord {
        offset: 1,
        time_ms: 0,
        address,
    });

    log.run_ms(3_000);

    assert_eq!(log.appends, 0);
    assert_eq!(log.joined.len(), 99);
}

#[rstest]
#[case(1)]
#[case(30)]
fn stale_contacts_do_not_prevent_newcomers_from_joining(#[case] dead: usize) {
    let mut log = FakeLog::new(5, 50);
    let records = (1..=dead).map(|offset| ContactRecord {
        offset: offset as u64,
        time_ms: 0,
        address: address(100 + offset),
    });
    log.records.extend(records);

    log.run_ms(180_000);

    assert!(log.joined.len() >= 4);
}

#[test]
fn isolated_daemon_appends_at_most_once_per_refresh_interval() {
    const RUN_MS: u64 = 2 * 3_600_000;
    let mut log = FakeLog::new(1, 50);

    log.run_ms(RUN_MS);

    assert!(log.appends >= 1);
    let most = RUN_MS.div_ceil(REFRESH_INTERVAL_MS) as usize;
    assert!(log.appends <= most, "{} appends", log.appends);
}

#[test]
fn requests_back_off_during_a_log_outage() {
    let mut log = FakeLog::new(100, 50);
    log.is_down = true;
    log.run_ms(600_000);
    let requests = log.reads + log.appends;

    log.is_down = false;
    log.run_ms(180_000);

    println!("{requests} requests in the outage");
    assert!(requests <= 100 * 20, "{requests} requests");
    assert!(log.joined.len() + log.appends >= 100);
}

#[test]
fn only_settled_publishers_append_at_the_refresh_interval() {
    let mut core = ContactCore::new(address(0), 1, 0);
    let publisher = ContactRole {
        is_publisher: true,
        is_alone: false,
    };
    let other = ContactRole {
        is_publisher: false,
        is_alone: false,
    };
    let mut appends = 0;
    let mut run = |core: &mut ContactCore, from_s: u64, to_s: u64| {
        for second in from_s..to_s {
            let actions = core.handle(second * 1_000, Input::Tick);
            if actions
                .iter()
                .any(|action| matches!(action, Action::Append(_)))
            {
                core.handle(second * 1_000, Input::Appended);
                appends += 1;
            }
        }
        appends
    };

    core.handle(0, Input::Role(publisher));
    let early = run(&mut core, 0, 20);
    core.handle(20_000, Input::Role(other));
    let never = run(&mut core, 20, 2_000);
    core.handle(2_000_000, Input::Role(publisher));
    let in_two_hours = run(&mut core, 2_000, 9_200);

    assert_eq!((early, never), (0, 0));
    assert!((10..=20).contains(&in_two_hours), "{in_two_hours}");
}

#[test]
fn members_agree_on_the_contact_publishers() {
    let network = converged(30, 1);

    let publishers = |index: usize| {
        let view = network.nodes[&address(index)].core.view();
        (0..30)
            .filter(|other| role(view, id(*other)).is_publisher)
            .collect::<Vec<_>>()
    };

    assert_eq!(publishers(0).len(), CONTACT_PUBLISHERS);
    assert!((1..30).all(|index| publishers(index) == publishers(0)));
}
