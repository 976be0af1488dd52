//! Waits on observed state.
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use tokio::time::sleep;

/// Time between two looks, in milliseconds.
const LOOK_INTERVAL_MS: u64 = 20;

/// Looks again and again until `look` finds something; fails after `limit`, which only ends a hung run.
pub async fn until<T>(
    limit: Duration,
    what: &str,
    mut look: impl AsyncFnMut() -> Option<T>,
) -> Result<T> {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(found) = look().await {
            return Ok(found);
        }
        if Instant::now() > deadline {
            bail!("waited {} s in vain for {what}", limit.as_secs());
        }
        sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
}
