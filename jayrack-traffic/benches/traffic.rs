//! Cost of the decisions made for each request: server selection, admission and the outcome ledger.
use std::{hint::black_box, sync::Arc};

use criterion::{Criterion, criterion_group, criterion_main};
use jayrack_config::table::ServerEntry;
use jayrack_protocol::MemberId;
use jayrack_traffic::{
    AdmissionQueue, OutcomeLedger, RequestClass, ServerPicker,
    admission::{self, Result},
    class::request_id,
    ledger,
    pick::{FinishReport, Options, PickContext, PickResult},
};

fn servers(count: usize) -> Vec<Arc<ServerEntry>> {
    let server = |index: usize| ServerEntry {
        name: format!("server-{index}"),
        service: "bookings".to_string(),
        owner: MemberId(index as u64),
        forward_address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: format!("data-centre-{}", index % 3),
        region: "wales".to_string(),
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    };
    (0..count).map(|index| Arc::new(server(index))).collect()
}

fn class(number: u64) -> RequestClass {
    RequestClass {
        rank: (number % 3) as u8,
        reserved_share_percent: 5,
        kind: format!("kind-{}", number % 5),
        customer: format!("customer-{}", number % 50),
        customer_request: number,
        depth: (number % 2) as u32,
        deadline_ms: u64::MAX / 2_000,
        idempotent: false,
    }
}

fn pick(bench: &mut Criterion, count: usize) {
    let candidates = servers(count);
    let context = PickContext {
        data_centre: "data-centre-0",
        region: "wales",
        excluded: &[],
        rank: 0,
    };
    let report = FinishReport {
        latency_us: 1_000,
        result: PickResult::Ok,
        load: None,
    };
    let mut picker = ServerPicker::new(Options::default(), 1);
    bench.bench_function(&format!("pick of {count} servers"), |bench| {
        bench.iter(|| {
            let index = picker
                .pick(1, black_box(&candidates), &context)
                .expect("a server");
            let name = &candidates[index].name;
            picker.started(1, name);
            picker.finished(1, name, &report);
        });
    });
}

fn admit(bench: &mut Criterion, waiting: u64) {
    let mut queue = AdmissionQueue::new(admission::Options {
        max_queued: 1_000,
        ..admission::Options::default()
    });
    let mut running = std::collections::VecDeque::new();
    let mut number = 0;
    let mut offer = |queue: &mut AdmissionQueue, running: &mut std::collections::VecDeque<_>| {
        number += 1;
        running.extend(queue.offer(1, request_id(1, number), class(number as u64)));
    };
    for _ in 0..waiting + 12 {
        offer(&mut queue, &mut running);
    }
    bench.bench_function(&format!("admit with {waiting} waiting"), |bench| {
        bench.iter(|| {
            offer(&mut queue, &mut running);
            if let Some(admission::Decision::Dispatch(id)) = running.pop_front() {
                running.extend(queue.finished(1, id, 1_000, Result::Ok));
            }
        });
    });
}

fn ledger(bench: &mut Criterion) {
    let mut ledger = OutcomeLedger::new(ledger::Options {
        max_records: 20_000,
        ..ledger::Options::default()
    });
    let mut number = 10_000_000;
    bench.bench_function("ledger with 20000 records", |bench| {
        bench.iter(|| {
            number += 1;
            let id = request_id(number / 10, u128::from(number));
            ledger.begin(1, id);
            ledger.dispatched(1, id);
            ledger.done(1, id, black_box(number), 100);
        });
    });
}

fn decisions(bench: &mut Criterion) {
    pick(bench, 5);
    pick(bench, 100);
    admit(bench, 0);
    admit(bench, 500);
    ledger(bench);
}

criterion_group!(benches, decisions);
criterion_main!(benches);
