//! Cost of datagrams and ticks at the size of the target fleet.
#![allow(missing_docs)]
use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddr},
};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use jayrack_membership::{
    Action, Input, MemberRecord, MembershipCore, ServerRecord,
    core::{Options, TICK_INTERVAL_MS},
    wire,
};
use jayrack_protocol::{
    auth::FleetKeys,
    gossip::{Ack, Datagram, Ping, SyncRecords, datagram::Body},
};

const MEMBERS: usize = 760;
const DATA_CENTRES: usize = 7;
const CORES_FOR_MEMORY: usize = 50;
const TICKS_PER_S: u64 = 1_000 / TICK_INTERVAL_MS;

fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

fn record(index: usize) -> MemberRecord {
    let data_centre = format!("data-centre-{}", index % DATA_CENTRES);
    let mut record =
        MemberRecord::new(address(index), 1_700_000_000_000).with_location(&data_centre, "wales");
    record.servers = vec![ServerRecord {
        name: format!("availability-{index}"),
        service: format!("availability-{}", index % 74),
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    }];
    record
}

/// A datagram of a member with the records of some members.
fn datagram(sender: usize, sequence: u32, body: Body, records: &[usize]) -> Box<Datagram> {
    let records = records
        .iter()
        .map(|index| wire::to_message(&record(*index), 7));
    Box::new(Datagram {
        sender: record(sender).id.0,
        incarnation: record(sender).incarnation,
        sequence,
        applied_version: 7,
        config_digest: 1,
        next_offset: 8,
        body: Some(body),
        records: records.collect(),
        ..Datagram::default()
    })
}

/// The state of a daemon that knows all members and has none of their records left to pass on.
fn full_core() -> MembershipCore {
    let mut core = MembershipCore::new(Options::default(), record(0), 1, 0);
    for index in 1..MEMBERS {
        let datagram = datagram(index, 1, Body::SyncRecords(SyncRecords {}), &[index]);
        let from = address(index);
        core.handle(0, Input::Datagram { from, datagram });
    }
    assert!(core.view().running().count() == MEMBERS);
    core
}

fn ping(sequence: u32) -> Input {
    let body = Body::Ping(Ping { nonce: sequence });
    Input::Datagram {
        from: address(9),
        datagram: datagram(9, sequence, body, &[]),
    }
}

fn update(sequence: u32) -> Input {
    let body = Body::Ping(Ping { nonce: sequence });
    let mut datagram = datagram(9, sequence, body, &[20]);
    datagram.records[0].revision = sequence;
    Input::Datagram {
        from: address(9),
        datagram,
    }
}

fn bench_wire(criterion: &mut Criterion) {
    let indices: Vec<usize> = (0..10).collect();
    let datagram = datagram(0, 1, Body::Ping(Ping { nonce: 1 }), &indices);
    let keys = FleetKeys::new(b"key", None);
    let bytes = wire::encode(&datagram);
    let signed = keys.sign(bytes.clone());

    criterion.bench_function("encode 10 records", |b| {
        b.iter(|| wire::encode(black_box(&datagram)))
    });
    criterion.bench_function("decode 10 records", |b| {
        b.iter(|| wire::decode(black_box(&bytes)))
    });
    criterion.bench_function("seal 10 records", |b| {
        b.iter(|| keys.sign(black_box(bytes.clone())))
    });
    criterion.bench_function("open 10 records", |b| {
        b.iter(|| keys.verify(black_box(&signed)).is_some())
    });
}

fn bench_core(criterion: &mut Criterion) {
    let mut core = full_core();
    let mut sequence = 10;
    let mut next = |input: fn(u32) -> Input| {
        sequence += 1;
        input(sequence)
    };

    criterion.bench_function("handle a ping, 760 members", |b| {
        b.iter_batched(
            || next(ping),
            |input| core.handle(0, input),
            BatchSize::SmallInput,
        )
    });
    criterion.bench_function("handle an update, 760 members", |b| {
        b.iter_batched(
            || next(update),
            |input| core.handle(0, input),
            BatchSize::SmallInput,
        )
    });
    criterion.bench_function("clone the view, 760 members", |b| {
        b.iter(|| core.view().clone())
    });
    criterion.bench_function("choose readers, 760 members", |b| {
        b.iter(|| core.view().readers())
    });
}

/// A daemon whose probes are answered and that is probed once a second.
struct BusyDaemon {
    core: MembershipCore,
    keys: FleetKeys,
    now_ms: u64,
    sequence: u32,
}

impl BusyDaemon {
    fn pass_second(&mut self) {
        self.receive(9, Body::Ping(Ping { nonce: 1 }));
        for _ in 0..TICKS_PER_S {
            self.now_ms += TICK_INTERVAL_MS;
            let actions = self.core.handle(self.now_ms, Input::Tick);
            self.perform(actions);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, datagram } = action else {
                continue;
            };
            black_box(self.keys.sign(wire::encode(&datagram)));
            if let Some(Body::Ping(ping)) = datagram.body {
                let [_, _, high, low] = match to {
                    SocketAddr::V4(to) => to.ip().octets(),
                    SocketAddr::V6(_) => continue,
                };
                let index = usize::from(u16::from_be_bytes([high, low]));
                self.receive(index, Body::Ack(Ack { nonce: ping.nonce }));
            }
        }
    }

    fn receive(&mut self, index: usize, body: Body) {
        self.sequence += 1;
        let sent = self
            .keys
            .sign(wire::encode(&datagram(index, self.sequence, body, &[])));
        let payload = self.keys.verify(&sent).expect("signed with the same key");
        let datagram = Box::new(wire::decode(payload).expect("encoded before"));
        let from = address(index);
        let actions = self
            .core
            .handle(self.now_ms, Input::Datagram { from, datagram });
        self.perform(actions);
    }
}

fn bench_second(criterion: &mut Criterion) {
    let mut daemon = BusyDaemon {
        core: full_core(),
        keys: FleetKeys::new(b"key", None),
        now_ms: 1_000,
        sequence: 10,
    };

    criterion.bench_function("pass a second, 760 members", |b| {
        b.iter(|| daemon.pass_second())
    });
    let running = daemon.core.view().running().count();
    assert!(running == MEMBERS, "{running} members left");
}

/// Prints the resident memory of a core and of what it publishes.
fn report_memory(_criterion: &mut Criterion) {
    let before = resident_bytes();
    let cores: Vec<MembershipCore> = (0..CORES_FOR_MEMORY).map(|_| full_core()).collect();
    let bytes = resident_bytes().saturating_sub(before) / CORES_FOR_MEMORY;
    println!("resident memory of a core with 760 members: {bytes} bytes");
    black_box(cores);
}

fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

criterion_group!(benches, report_memory, bench_wire, bench_core, bench_second);
criterion_main!(benches);
