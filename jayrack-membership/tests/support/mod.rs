//! A fake network and inputs for tests.
#![allow(dead_code, unused_imports)]
mod fixture;
mod network;
mod node;

pub use fixture::{address, applied, id, record, server};
pub use network::FakeNetwork;
pub use node::{Delivery, FakeNode};

use jayrack_membership::MemberStatus;

/// Daemons that start at once and join through the first three.
pub fn started(size: usize, seed: u64) -> FakeNetwork {
    let mut network = FakeNetwork::new(seed);
    for index in 0..size {
        network.start(index, &[0, 1, 2]);
    }
    network
}

/// Daemons whose views have converged and that run without changes.
pub fn converged(size: usize, seed: u64) -> FakeNetwork {
    let mut network = started(size, seed);
    let time_ms = network.run_until(120_000, FakeNetwork::is_converged);
    assert!(time_ms.is_some(), "views do not converge");
    network.run_ms(10_000);
    network
}

/// Status of `member` in the view of `observer`.
pub fn status(network: &FakeNetwork, observer: usize, member: usize) -> Option<MemberStatus> {
    let view = network.nodes[&address(observer)].core.view();
    view.get(id(member)).map(|entry| entry.status)
}
