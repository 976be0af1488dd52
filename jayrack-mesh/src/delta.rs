//! The difference between two versions of a text, so that what travels between daemons is the change.
//!
//! A text is cut into pieces after each closing brace. The sender keeps only the hashes of the pieces of
//! earlier versions; the receiver takes the pieces that stay from its own copy.
use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Byte after which a piece ends: configurations are written as nested objects.
const CHUNK_END: u8 = b'}';
/// Versions whose outlines are kept: those of a few seconds when changes come in quick succession.
const MAX_VERSIONS: usize = 16;

/// The hashes of a text's pieces, in order.
#[derive(Debug, PartialEq, Eq)]
pub struct ChunkHashes {
    hashes: Vec<u64>,
}

/// One step of making the new text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeltaStep {
    /// So many pieces of the old text, from this one on.
    Keep(u32, u32),
    /// New text.
    Put(String),
}

/// How a new text is made of an old one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    /// Hash of the new text.
    digest: u64,
    steps: Vec<DeltaStep>,
}

/// Why a new text could not be made.
#[derive(Debug, PartialEq, Eq)]
pub enum Error {
    /// A step names a piece that the old text does not have.
    MissingChunk,
    /// The outcome is not the text that the sender had.
    DigestMismatch,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Error::MissingChunk => "the difference names a piece that is not there",
            Error::DigestMismatch => "the difference was made for another text",
        })
    }
}

impl std::error::Error for Error {}

fn chunks(text: &str) -> impl Iterator<Item = &str> {
    text.split_inclusive(char::from(CHUNK_END))
}

impl ChunkHashes {
    /// Hashes the pieces of `text`.
    pub fn new(text: &str) -> Self {
        Self {
            hashes: chunks(text)
                .map(|chunk| xxh3_64(chunk.as_bytes()))
                .collect(),
        }
    }
}

impl TextDelta {
    /// Finds how `new` is made of the text with the outline `old`.
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

    /// Makes the new text of `old`.
    ///
    /// # Errors
    ///
    /// Returns why `old` is not the text that the difference was made for.
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

/// The outlines of the latest versions of a text.
#[derive(Debug, Default)]
pub struct ChunkHashHistory {
    versions: VecDeque<(u64, ChunkHashes)>,
}

impl ChunkHashHistory {
    /// Adds a version; the oldest one is forgotten when there are too many.
    pub fn add(&mut self, version: u64, text: &str) {
        if self.versions.len() == MAX_VERSIONS {
            self.versions.pop_front();
        }
        self.versions.push_back((version, ChunkHashes::new(text)));
    }

    /// The outline of `version`, if it is kept.
    pub fn get(&self, version: u64) -> Option<&ChunkHashes> {
        let found = self.versions.iter().find(|(known, _)| *known == version);
        found.map(|(_, hashes)| hashes)
    }
}
