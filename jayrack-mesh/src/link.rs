//! What a narrow link of a host can carry of large answers.
//!
//! Small answers share the link with large ones. Few large ones are sent at a time, so that small ones do
//! not queue behind them, and no more are taken on than the link carries in time.
use std::collections::BTreeMap;

/// Answers from this size on count as large, in bytes: shorter ones fit into a few packets.
pub const LARGE_ANSWER_BYTES: u64 = 24_000;
/// Part of the link that large answers may fill until it is known what else it carries, in percent.
pub const DEFAULT_LARGE_ANSWER_PERCENT: u64 = 78;
/// Bounds of that part, in percent: something is left for headers of packets and retransmits, and large answers go
/// on when small ones alone would fill the link.
const LARGE_ANSWER_PERCENT_BOUNDS: (f64, f64) = (50.0, 90.0);
/// Room kept for other messages, as a multiple of their average: they come in bursts.
const OTHER_HEADROOM_RATIO: f64 = 1.4;
/// Time over which other messages are counted before their average changes, in milliseconds.
const OTHER_WINDOW_MS: u64 = 500;
/// Weight of such a time in the average.
const OTHER_SMOOTHING: f64 = 0.3;
/// Part of the time left that answers for callers of the same data centre may wait for the link, in percent;
/// the rest covers answers above the average size.
const SAME_DATA_CENTRE_WAIT_PERCENT: u64 = 80;
/// The same for callers of other data centres, in percent: enough to keep the link busy where it has room,
/// and not so much that they take the place of near ones, for whom no border is crossed.
const REMOTE_WAIT_PERCENT: u64 = 30;
/// Time that small answers wait at most behind what was written of a large one, in milliseconds: a few percent of
/// the time that lookups have.
const CHUNK_MS: f64 = 10.0;
/// Least bytes that are written of an answer at a time.
const MIN_CHUNK_BYTES: usize = 4 << 10;
/// Weight of a new observation in the average size of a route's answers.
const SIZE_SMOOTHING: f64 = 0.1;
/// Shortest pause that a refused caller is told, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 40;

/// The large answers that a host has taken on.
#[derive(Debug)]
pub struct LinkMeter {
    link_bytes_per_ms: f64,
    outstanding_bytes: f64,
    sizes: BTreeMap<String, f64>,
    other: OtherTraffic,
}

/// What the link carries besides large answers of the server beside the daemon.
#[derive(Debug, Default)]
struct OtherTraffic {
    window_start_ms: u64,
    window_bytes: u64,
    /// Average, once a window has ended.
    bytes_per_ms: Option<f64>,
}

/// Where the caller of a large answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerLocation {
    /// In the data centre of the host.
    SameDataCentre,
    /// In another data centre.
    Remote,
}

/// A large answer that was taken on.
#[derive(Debug, PartialEq)]
pub struct LinkReservation {
    bytes: f64,
}

impl LinkMeter {
    /// Creates the meter of a link of `megabits_per_second`.
    pub fn new(megabits_per_second: f64) -> Self {
        Self {
            link_bytes_per_ms: (megabits_per_second * 125.0).max(1.0),
            outstanding_bytes: 0.0,
            sizes: BTreeMap::new(),
            other: OtherTraffic::default(),
        }
    }

    /// Notes a message of `bytes` that goes over the link beside the large answers that take turns.
    pub fn record_other(&mut self, now_ms: u64, bytes: u64) {
        self.other.record(now_ms, bytes);
    }

    /// Part of the link that large answers may fill now, in bytes for each millisecond.
    fn bytes_per_ms(&self) -> f64 {
        let (min, max) = LARGE_ANSWER_PERCENT_BOUNDS;
        let percent = match self.other.bytes_per_ms {
            Some(other) => 100.0 * (1.0 - OTHER_HEADROOM_RATIO * other / self.link_bytes_per_ms),
            None => DEFAULT_LARGE_ANSWER_PERCENT as f64,
        };
        self.link_bytes_per_ms * percent.clamp(min, max) / 100.0
    }

    /// Takes the expected answer of `route` on if it can be sent within a part of `left_ms`; small ones always can.
    ///
    /// # Errors
    ///
    /// Returns after how many milliseconds there may be room.
    pub fn reserve(
        &mut self,
        route: &str,
        left_ms: u64,
        location: CallerLocation,
    ) -> Result<LinkReservation, u64> {
        let size = self.sizes.get(route).copied().unwrap_or_default();
        if size < LARGE_ANSWER_BYTES as f64 {
            return Ok(LinkReservation { bytes: 0.0 });
        }
        let percent = match location {
            CallerLocation::SameDataCentre => SAME_DATA_CENTRE_WAIT_PERCENT,
            CallerLocation::Remote => REMOTE_WAIT_PERCENT,
        };
        let limit_ms = (left_ms * percent / 100) as f64;
        let needed_ms = (self.outstanding_bytes + size) / self.bytes_per_ms();
        if needed_ms > limit_ms && self.outstanding_bytes > 0.0 {
            let excess_ms = (needed_ms - limit_ms) as u64;
            return Err(excess_ms.max(MIN_RETRY_AFTER_MS));
        }
        self.outstanding_bytes += size;
        Ok(LinkReservation { bytes: size })
    }

    /// Average size of the answers of `route`, in bytes.
    pub fn expected_bytes(&self, route: &str) -> u64 {
        self.sizes.get(route).map_or(0, |size| *size as u64)
    }

    /// Time in which the link carries `bytes`, in milliseconds.
    pub fn sending_ms(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_ms()) as u64
    }

    /// Bytes of an answer that are written at a time: what the link carries in [`CHUNK_MS`].
    pub fn chunk_bytes(&self) -> usize {
        ((self.bytes_per_ms() * CHUNK_MS) as usize).max(MIN_CHUNK_BYTES)
    }

    /// Notes that an answer was sent or is not sent any more.
    pub fn release(&mut self, reservation: LinkReservation) {
        self.outstanding_bytes = (self.outstanding_bytes - reservation.bytes).max(0.0);
    }

    /// Notes the size of an answer of `route`.
    pub fn observe(&mut self, route: &str, bytes: u64) {
        let bytes = bytes as f64;
        match self.sizes.get_mut(route) {
            Some(size) => *size += (bytes - *size) * SIZE_SMOOTHING,
            None => {
                self.sizes.insert(route.to_string(), bytes);
            }
        }
    }
}

impl OtherTraffic {
    fn record(&mut self, now_ms: u64, bytes: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.window_start_ms);
        if elapsed_ms >= OTHER_WINDOW_MS {
            let observed = self.window_bytes as f64 / elapsed_ms as f64;
            let average = self.bytes_per_ms.unwrap_or(observed);
            self.bytes_per_ms = Some(average + (observed - average) * OTHER_SMOOTHING);
            self.window_start_ms = now_ms;
            self.window_bytes = 0;
        }
        self.window_bytes += bytes;
    }
}
