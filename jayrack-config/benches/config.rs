//! Cost of folding a record, of compiling the route table and of finding a route.
#[path = "../tests/support/mod.rs"]
mod support;

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use jayrack_config::{
    object::{ConfigObject, RouteSpec},
    plan, snapshot,
    table::{RouteTable, ServerEntry},
};
use support::{LogFixture, operator, propose, put, rank, route_spec, server, service};

const SERVICES: usize = 74;
const SERVERS: usize = 760;

/// A configuration with 74 services, each with two routes.
fn large_configuration() -> LogFixture {
    let mut objects: Vec<ConfigObject> = (0..5)
        .map(|order| rank(&format!("rank{order}"), order, 10))
        .collect();
    objects.extend((0..SERVICES).map(|number| service(&format!("service{number}"))));
    objects.extend((0..2 * SERVICES).map(|number| {
        let service = format!("service{}", number % SERVICES);
        ConfigObject::Route(RouteSpec {
            path_prefix: format!("/api/{service}/part{}", number / SERVICES),
            ..route_spec(&format!("route{number}"), &service, "rank1")
        })
    }));
    let mut log = LogFixture::new();
    log.accept("target", put(objects));
    log
}

fn servers() -> Vec<ServerEntry> {
    let entry = |number: usize| {
        server(
            &format!("server{number}"),
            &format!("service{}", number % SERVICES),
        )
    };
    (0..SERVERS).map(entry).collect()
}

fn fold(criterion: &mut Criterion) {
    let mut log = large_configuration();
    let text = propose(
        &log.state,
        "next",
        &operator("shop"),
        put(vec![rank("rank0", 0, 20)]),
    )
    .expect("valid");
    let before = log.state.clone();
    log.append(text);
    let opened = log.state.clone();
    let confirm = plan::confirm(&opened, &operator("shop"), "next", "confirm").expect("open");
    log.append(confirm);
    let [proposed, confirmed] = [2, 3].map(|index| log.records[index].clone());

    criterion.bench_function("fold a proposed record", |bencher| {
        bencher.iter_batched_ref(
            || before.clone(),
            |state| state.apply(&proposed),
            BatchSize::SmallInput,
        );
    });
    criterion.bench_function("fold a confirmed record", |bencher| {
        bencher.iter_batched_ref(
            || opened.clone(),
            |state| state.apply(&confirmed),
            BatchSize::SmallInput,
        );
    });
    let text = snapshot::encode(&log.state);
    criterion.bench_function("decode a snapshot", |bencher| {
        bencher.iter(|| snapshot::decode(black_box(&text)))
    });
}

fn table(criterion: &mut Criterion) {
    let log = large_configuration();
    let servers = servers();
    let table = RouteTable::build(&log.state, &servers);

    criterion.bench_function(
        "build the table of 760 servers and 74 services",
        |bencher| {
            bencher.iter(|| RouteTable::build(black_box(&log.state), black_box(&servers)));
        },
    );
    criterion.bench_function("find a route among 148", |bencher| {
        bencher.iter(|| {
            table.find(
                black_box("any"),
                black_box("/api/service37/part1/slot/9"),
                "GET",
            )
        });
    });
    criterion.bench_function("find no route among 148", |bencher| {
        bencher.iter(|| {
            table.find(
                black_box("any"),
                black_box("/api/service99/part1/slot/9"),
                "GET",
            )
        });
    });
}

criterion_group!(benches, fold, table);
criterion_main!(benches);
