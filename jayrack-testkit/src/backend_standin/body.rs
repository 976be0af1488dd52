//! Answer bodies that carry the identifier of their request and a checksum.
//!
//! The first line is `ID CHECKSUM`; the payload that the checksum covers follows.
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};
use xxhash_rust::xxh3::xxh3_64;

/// Builds the answer to the request with `id` with a payload of `length` bytes.
pub fn build(id: &str, length: usize) -> Vec<u8> {
    let mut payload = vec![0; length];
    Pcg64Mcg::seed_from_u64(xxh3_64(id.as_bytes())).fill_bytes(&mut payload);
    let mut body = format!("{id} {:016x}\n", xxh3_64(&payload)).into_bytes();
    body.append(&mut payload);
    body
}

/// Whether `body` is the complete and unaltered answer to the request with `id`.
pub fn is_intact(id: &str, body: &[u8]) -> bool {
    let Some(end) = body.iter().position(|byte| *byte == b'\n') else {
        return false;
    };
    let (head, payload) = (&body[..end], &body[end + 1..]);
    head == format!("{id} {:016x}", xxh3_64(payload)).as_bytes()
}
