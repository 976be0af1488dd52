//! Era of the store: it rises each time that the store comes back from a copy and has lost its latest records.
//!
//! An offset, a listing or an acknowledgement is worth something only in the era in which the store gave it. The era of
//! an answer of the store proves that era. What another daemon states about it does not, since datagrams are not
//! authenticated; but as long as the store has had no time to prove or refute it, answers of earlier eras are not relied
//! on.
use serde::{Deserialize, Serialize};

/// Time for which the era that another daemon stated is relied on without an answer of the store that proves it, in
/// milliseconds: several attempts of a call with their backoffs.
const STATED_ERA_TRUST_MS: u64 = 10_000;

/// Era of the store; a later one is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era with the given number.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// Number of the era, as the store states it.
    pub fn to_number(self) -> u64 {
        self.0
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Position in a topic of the store; of two of the same topic, the one that was given later compares greater.
///
/// Offsets are given out again after the store has come back from a copy, so that one means nothing without its era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// Era in which the store gave the offset; `None` if it states no eras.
    pub era: Option<StoreEra>,
    /// Offset of a record, or of the next one.
    pub offset: u64,
}

/// What an answer of the store means for the known era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerAge {
    /// The answer is of the latest known era, or the store states no eras.
    Current,
    /// The answer is of a later era than the one known so far, if any.
    Later,
    /// The answer is of an earlier era or states none although others did; it must not be relied on.
    Earlier,
}

/// An era that another daemon stated, and when this daemon first heard of it.
#[derive(Debug, Clone, Copy)]
struct StatedEra {
    era: StoreEra,
    heard_ms: u64,
}

/// Latest era known to a daemon, from answers of the store and from other daemons.
#[derive(Debug, Default)]
pub struct EraTracker {
    proved: Option<StoreEra>,
    stated: Option<StatedEra>,
    /// Latest stated era that the store did not prove in time.
    refuted: Option<StoreEra>,
}

impl EraTracker {
    /// Latest era that an answer of the store has proved; `None` if the store states no eras.
    pub fn proved(&self) -> Option<StoreEra> {
        self.proved
    }

    /// Latest era that the store is believed to have reached, also if only another daemon says so.
    pub fn latest(&self) -> Option<StoreEra> {
        self.proved.max(self.stated.map(|stated| stated.era))
    }

    /// Records that another daemon states `era`; returns whether that is a later one than known so far.
    pub fn record_stated(&mut self, now_ms: u64, era: StoreEra) -> bool {
        if self.latest() >= Some(era) || self.refuted == Some(era) {
            return false;
        }
        let heard_ms = now_ms;
        self.stated = Some(StatedEra { era, heard_ms });
        true
    }

    /// Records an answer of the store that states `era`.
    pub fn record_answer(&mut self, now_ms: u64, era: Option<StoreEra>) -> AnswerAge {
        let is_overdue = |stated: &StatedEra| {
            now_ms.saturating_sub(stated.heard_ms) >= STATED_ERA_TRUST_MS && era < Some(stated.era)
        };
        if let Some(stated) = self.stated.take_if(|stated| is_overdue(stated)) {
            self.refuted = Some(stated.era);
        }
        if era < self.latest() {
            return AnswerAge::Earlier;
        }
        self.stated = None;
        match std::mem::replace(&mut self.proved, era) < era {
            true => AnswerAge::Later,
            false => AnswerAge::Current,
        }
    }
}
