//! Measures the latency that two daemons add to a request: each caller alternates between calling
//! the backend server directly and calling it through the daemons.
//!
//! `cargo run --release -p jayrackd --example latency [REQUESTS_PER_LEVEL [WORKER_THREADS]]`
#[path = "../tests/support/mod.rs"]
mod support;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1};
use hyper_util::rt::TokioIo;
use support::{
    block_on,
    fleet::{Pair, Setup, start_pair},
};
use tokio::net::TcpStream;

/// Numbers of concurrent callers and their total requests per second.
const LEVELS: [Level; 4] = [
    Level {
        callers: 1,
        rate: 200,
    },
    Level {
        callers: 4,
        rate: 1_000,
    },
    Level {
        callers: 8,
        rate: 3_000,
    },
    Level {
        callers: 8,
        rate: 6_000,
    },
];

#[derive(Clone, Copy)]
struct Level {
    callers: usize,
    rate: u64,
}

struct Measured {
    direct: Histogram<u64>,
    through: Histogram<u64>,
}

type Sender = http1::SendRequest<Full<Bytes>>;

fn main() {
    let requests = std::env::args().nth(1);
    let requests = requests.map_or(20_000, |text| text.parse().expect("number of requests"));
    let worker_threads = std::env::args().nth(2);
    let worker_threads = worker_threads.map_or(2, |text| text.parse().expect("number of threads"));
    block_on(async {
        let setup = Setup {
            worker_threads,
            ..Setup::default()
        };
        let pair = start_pair(&setup).await;
        println!("callers  rate/s  direct p50/p99 us  through p50/p99 us  added p50/p99 us");
        for level in LEVELS {
            let measured = measure(&pair, level, requests).await;
            print(level, &measured);
        }
    });
}

fn print(level: Level, measured: &Measured) {
    let at = |histogram: &Histogram<u64>, quantile: f64| histogram.value_at_quantile(quantile);
    let (direct, through) = (&measured.direct, &measured.through);
    let [direct_50, direct_99] = [0.5, 0.99].map(|quantile| at(direct, quantile));
    let [through_50, through_99] = [0.5, 0.99].map(|quantile| at(through, quantile));
    println!(
        "{:7} {:7} {direct_50:10} /{direct_99:6} {through_50:11} /{through_99:6} {:9} /{:6}",
        level.callers,
        level.rate,
        through_50.saturating_sub(direct_50),
        through_99.saturating_sub(direct_99),
    );
}

/// Runs one level; each caller alternates between direct calls and calls through the daemons.
async fn measure(pair: &Pair, level: Level, requests: usize) -> Measured {
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..level.callers {
        let direct = connect(pair.backend.address).await;
        let through = connect(pair.ingress.callers()).await;
        let offset = Duration::from_micros(1_000_000 * number as u64 / level.rate);
        let share = requests / level.callers;
        callers.spawn(call(direct, through, level, share, offset));
    }
    let mut total = Measured::new();
    for measured in callers.join_all().await {
        total.direct.add(&measured.direct).unwrap();
        total.through.add(&measured.through).unwrap();
    }
    total
}

async fn call(
    mut direct: Sender,
    mut through: Sender,
    level: Level,
    requests: usize,
    offset: Duration,
) -> Measured {
    let mut measured = Measured::new();
    let period = Duration::from_micros(1_000_000 * level.callers as u64 / level.rate);
    let mut clock = tokio::time::interval_at(tokio::time::Instant::now() + offset, period);
    for number in 0..requests {
        clock.tick().await;
        let is_warm = number > requests / 10;
        let direct_us = exchange(&mut direct).await;
        let through_us = exchange(&mut through).await;
        if is_warm {
            measured.direct.record(direct_us).unwrap();
            measured.through.record(through_us).unwrap();
        }
    }
    measured
}

async fn connect(address: SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.unwrap();
    stream.set_nodelay(true).unwrap();
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    sender
}

/// Sends a request with a body of 200 bytes for a response of 500; returns its latency in
/// microseconds.
async fn exchange(sender: &mut Sender) -> u64 {
    let request = Request::post("/browse")
        .header("host", "test")
        .header("x-mark", "m")
        .header("x-answer-bytes", "500")
        .body(Full::new(Bytes::from_static(&[b'a'; 200])))
        .unwrap();
    let started = Instant::now();
    let response = sender.send_request(request).await.unwrap();
    assert_eq!(response.status(), 200);
    response.into_body().collect().await.unwrap();
    let elapsed = started.elapsed().as_micros() as u64;
    std::future::poll_fn(|cx| sender.poll_ready(cx))
        .await
        .unwrap();
    elapsed
}

impl Measured {
    fn new() -> Self {
        Self {
            direct: Histogram::new(3).unwrap(),
            through: Histogram::new(3).unwrap(),
        }
    }
}
