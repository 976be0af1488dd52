//! Selection of readers: the hosts that read the store on behalf of the others in their data centre.
use std::{cmp::Reverse, net::IpAddr};

use xxhash_rust::xxh3::xxh3_64;

/// Readers in each data centre; a second one, since the first may have just failed.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// A host that may become a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderCandidate {
    /// Address of the host.
    pub address: IpAddr,
    /// Rate of the host's link, in megabits per second: the others fetch the configuration over it.
    pub link_mbps: u32,
    /// Whether the store served it at the last try; true if it has not tried.
    pub reaches_store: bool,
}

/// Whether the host at `local` is a reader, given the live hosts of its data centre.
///
/// Hosts with the same view select the same readers. Hosts that don't reach the store come last, so that they try
/// again only where no other host reaches it. A host that is not among the candidates is a reader.
pub fn is_reader(local: IpAddr, candidates: &[ReaderCandidate]) -> bool {
    let own = candidates
        .iter()
        .find(|candidate| candidate.address == local);
    let Some(own) = own else {
        return true;
    };
    let preferred = candidates
        .iter()
        .filter(|candidate| preference(candidate) < preference(own));
    preferred.count() < READERS_PER_DATA_CENTRE
}

/// Sort key: reachability of the store, then the link rate, then a hash of the address to break ties.
fn preference(candidate: &ReaderCandidate) -> (bool, Reverse<u32>, u64) {
    let tie_breaker = match candidate.address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    };
    (
        !candidate.reaches_store,
        Reverse(candidate.link_mbps),
        tie_breaker,
    )
}
