//! Authentication of datagrams by a fleet key.
//!
//! A signed datagram is the payload followed by a truncated HMAC-SHA256 tag. Two keys may be valid
//! at once, so that a key can be replaced without stopping the fleet: datagrams are signed with the
//! first key and accepted with either.
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

/// Size of the tag that follows the payload, in bytes.
pub const TAG_BYTES: usize = 16;

/// The keys that are currently valid.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<Hmac<Sha256>>,
}

impl std::fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "FleetKeys({} keys)", self.keys.len())
    }
}

impl FleetKeys {
    /// Creates the set from the key used for signing and, during a rotation, the other key that is
    /// still accepted.
    pub fn new(current: &[u8], other: Option<&[u8]>) -> Self {
        let keys = std::iter::once(current).chain(other).map(new_mac).collect();
        Self { keys }
    }

    /// Returns `payload` with its authentication tag appended.
    pub fn sign(&self, mut payload: Vec<u8>) -> Vec<u8> {
        let tag = tag_of(&self.keys[0], &payload);
        payload.extend_from_slice(&tag);
        payload
    }

    /// Returns the payload of `datagram`, or `None` when its tag is valid under none of the keys.
    pub fn verify<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let split = datagram.len().checked_sub(TAG_BYTES)?;
        let (payload, tag) = datagram.split_at(split);
        let is_valid = |key: &Hmac<Sha256>| {
            let mut mac = key.clone();
            mac.update(payload);
            mac.verify_truncated_left(tag).is_ok()
        };
        self.keys.iter().any(is_valid).then_some(payload)
    }
}

fn new_mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC takes keys of any length")
}

fn tag_of(key: &Hmac<Sha256>, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut mac = key.clone();
    mac.update(payload);
    let full = mac.finalize().into_bytes();
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&full[..TAG_BYTES]);
    tag
}
