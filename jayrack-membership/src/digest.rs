//! Digests of the running members, with which two daemons find the buckets in which their views
//! differ.
use jayrack_protocol::MemberId;
use xxhash_rust::xxh3::xxh3_64;

use crate::{record::RecordRecency, view::MemberEntry};

/// Number of buckets that a view is divided into; the highest bits of a member's identifier select
/// its bucket.
pub const BUCKETS: usize = 64;
/// Bytes of one bucket's digest in a message.
pub const DIGEST_BYTES: usize = 4;

const BUCKET_SHIFT: u32 = u64::BITS - BUCKETS.ilog2();

/// Index of the bucket of a member.
pub fn bucket_of(id: MemberId) -> usize {
    (id.0 >> BUCKET_SHIFT) as usize
}

/// The identifiers that belong to a bucket.
pub fn bucket_range(bucket: usize) -> std::ops::RangeInclusive<MemberId> {
    let first = (bucket as u64) << BUCKET_SHIFT;
    let last = first | (u64::MAX >> BUCKETS.ilog2());
    MemberId(first)..=MemberId(last)
}

/// Digest of each bucket of one view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewDigest {
    buckets: [u32; BUCKETS],
}

impl Default for ViewDigest {
    fn default() -> Self {
        Self {
            buckets: [0; BUCKETS],
        }
    }
}

impl ViewDigest {
    /// Adds the entry of a running member, or removes it when it is already included.
    pub fn toggle(&mut self, entry: &MemberEntry) {
        if entry.status.is_running() {
            let id = entry.record.id;
            self.buckets[bucket_of(id)] ^= member_digest(id, entry.record.recency());
        }
    }

    /// Digest of all buckets.
    pub fn root(&self) -> u32 {
        self.buckets.iter().fold(0, |root, bucket| root ^ bucket)
    }

    /// Digest of one bucket.
    pub fn bucket(&self, bucket: usize) -> u32 {
        self.buckets[bucket]
    }

    /// Encodes the digests of all buckets for a message.
    pub fn to_bytes(&self) -> Vec<u8> {
        self.buckets
            .iter()
            .flat_map(|bucket| bucket.to_le_bytes())
            .collect()
    }

    /// Decodes the digests in a message; `None` when their number is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        if bytes.len() != BUCKETS * DIGEST_BYTES {
            return None;
        }
        let mut digest = Self::default();
        for (bucket, chunk) in digest.buckets.iter_mut().zip(bytes.as_chunks().0) {
            *bucket = u32::from_le_bytes(*chunk);
        }
        Some(digest)
    }
}

fn member_digest(id: MemberId, recency: RecordRecency) -> u32 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&recency.incarnation.to_le_bytes());
    bytes[16..].copy_from_slice(&recency.revision.to_le_bytes());
    xxh3_64(&bytes) as u32
}
