//! Which hosts follow the store on behalf of the others.
use std::{cmp::Reverse, net::IpAddr};

use xxhash_rust::xxh3::xxh3_64;

/// Hosts of each data centre that follow the store; a second one since the first may just have died.
pub const READERS_PER_DATA_CENTRE: usize = 2;

/// A host that may follow the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderCandidate {
    /// Address of the host.
    pub address: IpAddr,
    /// Rate of the host's link, in megabits a second: the others take the configuration over it.
    pub link_mbps: u32,
    /// Whether the store served it when it last tried; true if it has not tried.
    pub reaches_store: bool,
}

/// Whether the host at `local` follows the store, among the live hosts of its data centre.
///
/// All hosts with the same view agree. Hosts that the store turns away come last, so that they try again
/// only where no other host reaches it.
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

/// Order in which candidates are taken.
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
