//! Waits on observed state.
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use tokio::time::sleep;

/// Time between two looks, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Looks again and again until `look` finds something; fails after `limit`, which only ends a hung run.
pub async fn until<T>(
    timeout: Duration,
    what: &str,
    mut probe: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(found) = probe().await {
            return Ok(found);
        }
        if Instant::now() > deadline {
            bail!("waited {} s in vain for {what}", timeout.as_secs());
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
