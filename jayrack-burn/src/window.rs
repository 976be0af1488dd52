//! Good and total requests over sliding windows, in bounded memory.
use serde::{Deserialize, Serialize};

/// Length of a window over which a burn rate is computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WindowLength {
    /// Five minutes.
    #[serde(rename = "5m")]
    FiveMinutes,
    /// One hour.
    #[serde(rename = "1h")]
    OneHour,
    /// Six hours.
    #[serde(rename = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    ThreeDays,
}

impl WindowLength {
    /// All lengths, the shortest first.
    pub const ALL: [WindowLength; 4] = [
        WindowLength::FiveMinutes,
        WindowLength::OneHour,
        WindowLength::SixHours,
        WindowLength::ThreeDays,
    ];

    /// The length in milliseconds.
    pub fn length_ms(self) -> u64 {
        const MINUTE_MS: u64 = 60_000;
        match self {
            WindowLength::FiveMinutes => 5 * MINUTE_MS,
            WindowLength::OneHour => 60 * MINUTE_MS,
            WindowLength::SixHours => 360 * MINUTE_MS,
            WindowLength::ThreeDays => 72 * 60 * MINUTE_MS,
        }
    }

    /// The name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            WindowLength::FiveMinutes => "5m",
            WindowLength::OneHour => "1h",
            WindowLength::SixHours => "6h",
            WindowLength::ThreeDays => "3d",
        }
    }
}

/// Counted requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCount {
    /// Requests that met the objective.
    pub good: u64,
    /// All requests.
    pub total: u64,
}

impl RequestCount {
    /// Adds `other`.
    pub fn add(&mut self, other: RequestCount) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Fraction of the requests that did not meet the objective, 0 to 1; 0 without requests.
    pub fn error_ratio(&self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        (self.total - self.good) as f64 / self.total as f64
    }
}

/// Number of buckets that a window is divided into.
pub const BUCKETS: u64 = 30;

#[derive(Debug, Clone, Copy, Default)]
struct TimeBucket {
    number: u64,
    good: u32,
    total: u32,
}

/// Requests counted over one sliding window.
///
/// The window ends at the time that is passed to [`WindowCounter::count`] and is exact to one
/// bucket, a thirtieth of its length.
#[derive(Debug, Clone)]
pub struct WindowCounter {
    bucket_ms: u64,
    buckets: Vec<TimeBucket>,
}

impl WindowCounter {
    /// Creates an empty window.
    pub fn new(length: WindowLength) -> Self {
        Self {
            bucket_ms: length.length_ms() / BUCKETS,
            buckets: vec![TimeBucket::default(); BUCKETS as usize],
        }
    }

    /// Counts one request at `now_ms`.
    pub fn record(&mut self, now_ms: u64, is_good: bool) {
        let number = now_ms / self.bucket_ms;
        let bucket = &mut self.buckets[(number % BUCKETS) as usize];
        if bucket.number != number {
            *bucket = TimeBucket {
                number,
                ..TimeBucket::default()
            };
        }
        bucket.total = bucket.total.saturating_add(1);
        bucket.good = bucket.good.saturating_add(u32::from(is_good));
    }

    /// Requests within the window that ends at `now_ms`.
    pub fn count(&self, now_ms: u64) -> RequestCount {
        let last = now_ms / self.bucket_ms;
        let mut count = RequestCount::default();
        for bucket in &self.buckets {
            if bucket.number + BUCKETS > last && bucket.number <= last {
                count.good += u64::from(bucket.good);
                count.total += u64::from(bucket.total);
            }
        }
        count
    }
}
