//! Statistics of samples.
use hdrhistogram::Histogram;
use serde::Serialize;

/// Quantiles of a set of samples, in the unit of the samples.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct SampleSummary {
    /// Number of samples.
    pub count: u64,
    /// Half of the samples are not above it.
    pub median: u64,
    /// 99 % of the samples are not above it.
    pub p99: u64,
    /// The highest sample.
    pub worst: u64,
}

/// Samples with a precision of three digits.
#[derive(Debug, Clone)]
pub struct SampleSet {
    histogram: Histogram<u64>,
}

impl Default for SampleSet {
    fn default() -> Self {
        const DIGITS: u8 = 3;
        const HIGHEST: u64 = 1 << 40;
        Self {
            histogram: Histogram::new_with_max(HIGHEST, DIGITS)
                .unwrap_or_else(|_| unreachable!("constant bounds are valid")),
        }
    }
}

impl SampleSet {
    /// Adds a sample.
    pub fn record(&mut self, sample: u64) {
        self.histogram.saturating_record(sample);
    }

    /// Quantiles of the samples so far.
    pub fn summary(&self) -> SampleSummary {
        SampleSummary {
            count: self.histogram.len(),
            median: self.histogram.value_at_quantile(0.5),
            p99: self.histogram.value_at_quantile(0.99),
            worst: self.histogram.max(),
        }
    }
}

/// Mean and highest of values, one per daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// Highest.
    pub highest: f64,
}

impl Spread {
    /// Summarises `figures`; both values are 0 when there are none.
    pub fn of(figures: &[f64]) -> Self {
        if figures.is_empty() {
            return Self::default();
        }
        Self {
            mean: figures.iter().sum::<f64>() / figures.len() as f64,
            highest: figures.iter().copied().fold(0.0, f64::max),
        }
    }
}
