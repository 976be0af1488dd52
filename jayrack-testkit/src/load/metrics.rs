//! Reads a daemon's metrics.
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use eyre::Result;

use crate::http_client;

/// Longest wait for the metrics.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Values by series, such as `name{label="value"}`.
pub type MetricValues = BTreeMap<String, f64>;

/// Reads all series of one daemon.
pub async fn read(admin: SocketAddr) -> Result<MetricValues> {
    let request = http_client::get(admin, "/metrics")?;
    let answer = http_client::send(admin, request, ANSWER_TIMEOUT).await?;
    Ok(parse(&String::from_utf8_lossy(&answer.body)))
}

/// Parses the text format; other lines than samples are skipped.
pub fn parse(text: &str) -> MetricValues {
    text.lines()
        .filter(|line| !line.starts_with('#'))
        .filter_map(|line| {
            let (series, value) = line.rsplit_once(' ')?;
            Some((series.to_string(), value.parse().ok()?))
        })
        .collect()
}

/// The growth of each series from `before` to `after`.
pub fn growth(before: &MetricValues, after: &MetricValues) -> MetricValues {
    after
        .iter()
        .map(|(series, value)| {
            let earlier = before.get(series).copied().unwrap_or_default();
            (series.clone(), value - earlier)
        })
        .collect()
}
