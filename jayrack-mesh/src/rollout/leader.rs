//! Ranking of the hosts that may lead a roll-out.
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous hash of a host for a service; `seed` distinguishes uses of the hash.
pub fn rendezvous_hash(service: &str, address: IpAddr, seed: u64) -> u64 {
    let address_hash = match address {
        IpAddr::V4(address) => xxh3_64_with_seed(&address.octets(), seed),
        IpAddr::V6(address) => xxh3_64_with_seed(&address.octets(), seed),
    };
    xxh3_64_with_seed(service.as_bytes(), address_hash)
}

/// The first `count` of `candidates` by their rendezvous hash for `service`, the leader first.
///
/// The candidates are the live hosts that reach the store.
pub fn leaders(service: &str, candidates: &[IpAddr], count: usize) -> Vec<IpAddr> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_key(|address| std::cmp::Reverse(rendezvous_hash(service, *address, 0)));
    ranked.dedup();
    ranked.truncate(count);
    ranked
}
