//! Failure detection and dissemination on a fake network in virtual time.
mod support;

use jayrack_membership::{Input, MemberStatus};
use rstest::rstest;
use support::{FakeNetwork, address, id, server};

#[rstest]
#[case(2)]
#[case(10)]
#[case(80)]
fn daemons_that_start_together_find_each_other(#[case] size: usize) {
    let mut network = FakeNetwork::joined(size, 1);

    let time_ms = network.run_until(60_000, FakeNetwork::is_agreed);

    assert!(time_ms.is_some());
    assert!(network.false_deaths.is_empty());
}
#[rstest]
fn t() {
    for n in [760usize] {
        let mut network = FakeNetwork::joined(n, 1);
        let t = network.run_until(60_000, FakeNetwork::is_agreed);
        let max = network
            .nodes
            .values()
            .map(|n| n.sent_bytes + n.received_bytes)
            .max();
        println!("{n} joined {t:?} max bytes {max:?}");
        network.run_ms(20000);
        let base: u64 = network
            .nodes
            .values()
            .map(|n| n.sent_bytes + n.received_bytes)
            .sum();
        network.run_ms(60000);
        let b: u64 = network
            .nodes
            .values()
            .map(|n| n.sent_bytes + n.received_bytes)
            .sum();
        println!("idle {} B/s", (b - base) / 60 / n as u64);
        network.crash(n - 1);
        let t = network.run_until(60_000, FakeNetwork::is_agreed);
        println!("crash {t:?} {}", network.false_deaths.len());
        network.input(0, Input::Servers(vec![server("x", false)]));
        let t = network.run_until(60_000, FakeNetwork::is_agreed);
        println!("churn {t:?} {}", network.false_deaths.len());
    }
}
