//! Admission of large answers to the link of a host.
//!
//! Small answers share the link with large ones. Few large ones are sent at a time, so that small ones do
//! not queue behind them, and no more are admitted than the link can carry in time.
use std::collections::BTreeMap;

/// Size from which an answer counts as large, in bytes: smaller ones fit into a few packets.
pub const LARGE_ANSWER_BYTES: u64 = 24_000;
/// Share of the link that large answers may use until its other traffic has been measured, in percent.
pub const DEFAULT_LARGE_ANSWER_PERCENT: u64 = 78;
/// Bounds of the share of the link that large answers may use, in percent: the upper one leaves room for packet headers
/// and retransmissions, the lower one lets large answers through when small ones alone would fill the link.
const LARGE_ANSWER_PERCENT_BOUNDS: (f64, f64) = (50.0, 90.0);
/// Capacity kept free for other messages, as a multiple of their average rate, since they come in bursts.
const OTHER_HEADROOM_RATIO: f64 = 1.4;
/// Length of a window over which the rate of other messages is measured, in milliseconds.
const OTHER_WINDOW_MS: u64 = 500;
/// Smoothing factor of that rate, for each window.
const OTHER_SMOOTHING: f64 = 0.3;
/// Share of the time left within which the link must carry an answer to the same data centre, in percent; the rest
/// covers answers above the average size.
const SAME_DATA_CENTRE_WAIT_PERCENT: u64 = 80;
/// The same for answers to other data centres, in percent: enough to keep the link busy while it has room, without
/// displacing answers to the same data centre, which cause no traffic between data centres.
const REMOTE_WAIT_PERCENT: u64 = 30;
/// Longest time that small answers wait behind a chunk of a large one, in milliseconds: a few percent of the time
/// that lookups have.
const CHUNK_MS: f64 = 10.0;
/// Smallest chunk in which an answer is written, in bytes.
const MIN_CHUNK_BYTES: usize = 4 << 10;
/// Smoothing factor of the average size of a route's answers.
const SIZE_SMOOTHING: f64 = 0.1;
/// Shortest time after which a refused caller may retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 40;

/// Capacity of a host's link and the large answers that are admitted to it.
#[derive(Debug)]
pub struct LinkMeter {
    link_bytes_per_ms: f64,
    outstanding_bytes: f64,
    sizes: BTreeMap<String, f64>,
    other: OtherTraffic,
}

/// Rate of the messages that the link carries besides large answers of the server beside the daemon.
#[derive(Debug, Default)]
struct OtherTraffic {
    window_start_ms: u64,
    window_bytes: u64,
    /// Average rate; `None` until the first window has ended.
    bytes_per_ms: Option<f64>,
}

/// Location of the caller that a large answer is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerLocation {
    /// In the data centre of this host.
    SameDataCentre,
    /// In another data centre.
    Remote,
}

/// Capacity that is reserved for one answer; given back with [`LinkMeter::release`].
#[derive(Debug, PartialEq)]
pub struct LinkReservation {
    bytes: f64,
}

impl LinkMeter {
    /// Creates the meter of a link with a rate of `megabits_per_second`.
    pub fn new(megabits_per_second: f64) -> Self {
        Self {
            link_bytes_per_ms: (megabits_per_second * 125.0).max(1.0),
            outstanding_bytes: 0.0,
            sizes: BTreeMap::new(),
            other: OtherTraffic::default(),
        }
    }

    /// Records a message of `bytes` that is sent over the link without a reservation.
    pub fn record_other(&mut self, now_ms: u64, bytes: u64) {
        self.other.record(now_ms, bytes);
    }

    /// Rate that large answers may use at the moment, in bytes per millisecond.
    fn bytes_per_ms(&self) -> f64 {
        let (min, max) = LARGE_ANSWER_PERCENT_BOUNDS;
        let percent = match self.other.bytes_per_ms {
            Some(other) => 100.0 * (1.0 - OTHER_HEADROOM_RATIO * other / self.link_bytes_per_ms),
            None => DEFAULT_LARGE_ANSWER_PERCENT as f64,
        };
        self.link_bytes_per_ms * percent.clamp(min, max) / 100.0
    }

    /// Reserves capacity for an answer of `route` with the average size.
    ///
    /// It is granted if all admitted answers can be sent within a share of `left_ms` that depends on the caller's
    /// location, if no other large answer is admitted, or if answers of the route are small on average.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be room, in milliseconds.
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

    /// Time that the link takes to carry `bytes` of large answers, in milliseconds.
    pub fn sending_ms(&self, bytes: u64) -> u64 {
        (bytes as f64 / self.bytes_per_ms()) as u64
    }

    /// Size of the chunks in which an answer is written, in bytes: what the link carries in [`CHUNK_MS`],
    /// with a lower bound.
    pub fn chunk_bytes(&self) -> usize {
        ((self.bytes_per_ms() * CHUNK_MS) as usize).max(MIN_CHUNK_BYTES)
    }

    /// Releases a reservation when its answer was sent or is not going to be sent.
    pub fn release(&mut self, reservation: LinkReservation) {
        self.outstanding_bytes = (self.outstanding_bytes - reservation.bytes).max(0.0);
    }

    /// Records the size of an answer of `route`, in bytes.
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
