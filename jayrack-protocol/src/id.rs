//! Identifiers of members and requests.
use std::{fmt, net::SocketAddr};

/// Identifies a daemon for as long as it keeps its datagram address.
///
/// A daemon restarted at the same address has the same identifier, so that peers can keep the
/// configuration version last in force there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Derives the identifier from the member's datagram address.
    pub fn from_address(address: SocketAddr) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(address.to_string().as_bytes()))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies a request at every daemon that it passes, the same for all forwarding attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Joins the two halves carried in messages.
    pub fn from_halves(high: u64, low: u64) -> Self {
        Self((u128::from(high) << 64) | u128::from(low))
    }

    /// Splits the identifier into its high and low halves.
    pub fn halves(self) -> (u64, u64) {
        ((self.0 >> 64) as u64, self.0 as u64)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Weight of `member` for `key` in rendezvous hashing; the member with the highest weight is chosen.
pub fn rendezvous_weight(key: u64, member: MemberId) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&member.0.to_le_bytes());
    xxhash_rust::xxh3::xxh3_64(&bytes)
}
