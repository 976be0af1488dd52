//! Deltas between two versions of a text, so that daemons transfer only what has changed.
//!
//! A text is split into chunks after each closing brace. The sender keeps only the hashes of the chunks of
//! earlier versions; the receiver copies unchanged chunks from its own version.
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Byte that ends a chunk: configurations are written as nested objects.
const CHUNK_END: u8 = b'}';
/// Versions whose chunk hashes are kept: those of a few seconds when changes come in quick succession.
const MAX_VERSIONS: usize = 16;

/// Hashes of the chunks of a text, in order.
#[derive(Debug, PartialEq, Eq)]
pub struct ChunkHashes {
    hashes: Vec<u64>,
}

/// One step of building the new text.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaStep {
    /// Copies chunks of the old text: index of the first one and their number.
    Keep(u32, u32),
    /// Inserts new text.
    Put(String),
}

impl std::fmt::Debug for DeltaStep {
    /// Leaves out the text, which may contain API keys.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DeltaStep::Keep(first, count) => write!(f, "Keep({first}, {count})"),
            DeltaStep::Put(text) => write!(f, "Put({} bytes)", text.len()),
        }
    }
}

/// Steps that build a new text from an old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    /// Hash of the new text.
    digest: u64,
    steps: Vec<DeltaStep>,
}

/// Reason why a delta could not be applied.
#[derive(Debug, PartialEq, Eq)]
pub enum Error {
    /// A step copies a chunk that the old text does not have.
    MissingChunk,
    /// The hash of the result differs from that of the sender's text.
    DigestMismatch,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::MissingChunk => "the delta copies a chunk that the old text does not have",
            Error::DigestMismatch => "the delta was made for another text",
        })
    }
}

impl std::error::Error for Error {}

fn chunks(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(char::from(CHUNK_END))
}

impl ChunkHashes {
    /// Hashes the chunks of `text`.
    pub fn new(text: &str) -> Self {
        Self {
            hashes: chunks(text)
                .map(|chunk| xxh3_64(chunk.as_bytes()))
                .collect(),
        }
    }
}

impl TextDelta {
    /// Computes the delta that builds `new` from the text with the chunk hashes `old`.
    pub fn between(old: &ChunkHashes, new: &str) -> Self {
        let mut indices: BTreeMap<u64, u32> = BTreeMap::new();
        for (index, hash) in (0_u32..).zip(&old.hashes) {
            indices.entry(*hash).or_insert(index);
        }
        let mut steps = Vec::new();
        for chunk in chunks(new) {
            let hash = xxh3_64(chunk.as_bytes());
            let next = match steps.last() {
                Some(DeltaStep::Keep(from, count)) => Some(from + count),
                _ => None,
            };
            let is_next = |next: &u32| old.hashes.get(*next as usize) == Some(&hash);
            let index = next.filter(is_next).or_else(|| indices.get(&hash).copied());
            match (steps.last_mut(), index) {
                (Some(DeltaStep::Keep(from, count)), Some(index)) if *from + *count == index => {
                    *count += 1;
                }
                (_, Some(index)) => steps.push(DeltaStep::Keep(index, 1)),
                (Some(DeltaStep::Put(text)), None) => text.push_str(chunk),
                (_, None) => steps.push(DeltaStep::Put(chunk.to_string())),
            }
        }
        Self {
            digest: xxh3_64(new.as_bytes()),
            steps,
        }
    }

    /// Builds the new text from `old`.
    ///
    /// # Errors
    ///
    /// Fails if `old` is not the text that the delta was made for.
    pub fn apply(&self, old: &str) -> Result<String, Error> {
        let chunks: Vec<&str> = chunks(old).collect();
        let mut new = String::with_capacity(old.len());
        for step in &self.steps {
            match step {
                DeltaStep::Keep(from, count) => {
                    let from = *from as usize;
                    let kept = from
                        .checked_add(*count as usize)
                        .and_then(|end| chunks.get(from..end))
                        .ok_or(Error::MissingChunk)?;
                    kept.iter().for_each(|chunk| new.push_str(chunk));
                }
                DeltaStep::Put(text) => new.push_str(text),
            }
        }
        match xxh3_64(new.as_bytes()) == self.digest {
            true => Ok(new),
            false => Err(Error::DigestMismatch),
        }
    }
}

/// Chunk hashes of the latest versions of a text.
#[derive(Debug, Default)]
pub struct ChunkHashHistory {
    versions: VecDeque<(u64, ChunkHashes)>,
}

impl ChunkHashHistory {
    /// Adds a version; drops the oldest one if too many are kept.
    pub fn add(&mut self, version: u64, text: &str) {
        if self.versions.len() == MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back((version, ChunkHashes::new(text)));
    }

    /// Chunk hashes of `version`, if they are kept.
    pub fn get(&self, version: u64) -> Option<&ChunkHashes> {
        let found = self.versions.iter().find(|(known, _)| *known == version);
        found.map(|(_, hashes)| hashes)
    }
}
