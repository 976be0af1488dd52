//! What a narrow link of a host can carry of large answers.
//!
//! Small answers share the link with large ones. Few large ones are sent at a time, so that small ones do
//! not queue behind them, and no more are taken on than the link carries in time.
use std::collections::BTreeMap;

/// Answers from this size on count as large, in bytes: shorter ones fit into a few packets.
pub const LARGE_ANSWER_BYTES: u64 = 24_000;
/// Part of the link that large answers may fill, in percent; the rest is for small ones, for what the host's
/// own callers get, and for retransmits.
pub const LINK_PERCENT: u64 = 78;
/// Part of the time left that answers for callers of the same data centre may wait for the link, in percent;
/// the rest covers answers above the average size.
const NEAR_PERCENT: u64 = 80;
/// The same for callers of other data centres, in percent: enough to keep the link busy where it has room,
/// and not so much that they take the place of near ones, for whom no border is crossed.
const FAR_PERCENT: u64 = 30;
/// Time that small answers wait at most behind what was written of a large one, in milliseconds: a few percent of
/// the time that lookups have.
const PIECE_MS: f64 = 10.0;
/// Least bytes that are written of an answer at a time.
const MIN_PIECE_BYTES: usize = 4 << 10;
/// Weight of a new observation in the average size of a route's answers.
const SIZE_WEIGHT: f64 = 0.1;
/// Shortest pause that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 40;

/// The large answers that a host has taken on.
#[derive(Debug)]
pub struct LinkMeter {
    bytes_per_ms: f64,
    outstanding_bytes: f64,
    sizes: BTreeMap<String, f64>,
}

/// Where the caller of a large answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerPlace {
    /// In the data centre of the host.
    Near,
    /// In another data centre.
    Far,
}

/// A large answer that was taken on.
#[derive(Debug, PartialEq)]
pub struct LinkShare {
    bytes: f64,
}

impl LinkMeter {
    /// Creates the meter of a link of `megabits_per_second`.
    pub fn new(megabits_per_second: f64) -> Self {
        let bytes_per_ms = megabits_per_second * 125.0 * LINK_PERCENT as f64 / 100.0;
        Self {
            bytes_per_ms: bytes_per_ms.max(1.0),
            outstanding_bytes: 0.0,
            sizes: BTreeMap::new(),
        }
    }

    /// Takes the expected answer of `route` on if it can be sent within a part of `left_ms`; small ones always can.
    ///
    /// # Errors
    ///
    /// Returns after how many milliseconds there may be room.
    pub fn offer(
        &mut self,
        route: &str,
        left_ms: u64,
        place: CallerPlace,
    ) -> Result<LinkShare, u64> {
        let size = self.sizes.get(route).copied().unwrap_or_default();
        if size < LARGE_ANSWER_BYTES as f64 {
            return Ok(LinkShare { bytes: 0.0 });
        }
        let percent = match place {
            CallerPlace::Near => NEAR_PERCENT,
            CallerPlace::Far => FAR_PERCENT,
        };
        let limit_ms = (left_ms * percent / 100) as f64;
        let needed_ms = (self.outstanding_bytes + size) / self.bytes_per_ms;
        if needed_ms > limit_ms && self.outstanding_bytes > 0.0 {
            let excess_ms = (needed_ms - limit_ms) as u64;
            return Err(excess_ms.max(MIN_RETRY_AFTER_MS));
        }
        self.outstanding_bytes += size;
        Ok(LinkShare { bytes: size })
    }

    /// Average size of the answers of `route`, in bytes.
    pub fn expected_bytes(&self, route: &str) -> u64 {
        self.sizes.get(route).map_or(0, |size| *size as u64)
    }

    /// Time in which the link carries `bytes`, in milliseconds.
    pub fn sending_ms(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_ms) as u64
    }

    /// Bytes of an answer that are written at a time: what the link carries in [`PIECE_MS`].
    pub fn piece_bytes(&self) -> usize {
        ((self.bytes_per_ms * PIECE_MS) as usize).max(MIN_PIECE_BYTES)
    }

    /// Notes that an answer was sent or is not sent any more.
    pub fn finished(&mut self, share: LinkShare) {
        self.outstanding_bytes = (self.outstanding_bytes - share.bytes).max(0.0);
    }

    /// Notes the size of an answer of `route`.
    pub fn observe(&mut self, route: &str, bytes: u64) {
        let bytes = bytes as f64;
        match self.sizes.get_mut(route) {
            Some(size) => *size += (bytes - *size) * SIZE_WEIGHT,
            None => {
                self.sizes.insert(route.to_string(), bytes);
            }
        }
    }
}
