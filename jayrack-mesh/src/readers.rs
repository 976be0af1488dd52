//! Which hosts follow the store on behalf of the others.
use std::{cmp::Reverse, net::IpAddr};

use xxhash_rust::xxh3::xxh3_64;

/// Hosts of each data centre that follow the store; a second one since the first may just have died.
pub const READERS: usize = 2;

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
    let ahead = candidates
        .iter()
        .filter(|candidate| place(candidate) < place(own));
    ahead.count() < READERS
}

/// Order in which candidates are taken.
fn place(candidate: &ReaderCandidate) -> (bool, Reverse<u32>, u64) {
    let weight = match candidate.address {
        IpAddr::V4(address) => xxh3_64(&address.octets()),
        IpAddr::V6(address) => xxh3_64(&address.octets()),
    };
    (
        !candidate.reaches_store,
        Reverse(candidate.link_mbps),
        weight,
    )
}
