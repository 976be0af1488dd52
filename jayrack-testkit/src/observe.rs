//! Polls until an expected state is observed.
use std::time::{Duration, Instant};

use eyre::{Result, bail};
use tokio::time::sleep;

/// Time between two probes, in milliseconds.
const POLL_INTERVAL_MS: u64 = 20;

/// Calls `probe` until it returns a value; fails after `timeout`.
///
/// `what` names the expected state in the error. Callers choose a `timeout` that only a hung run reaches.
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
            bail!("timed out after {} s waiting for {what}", timeout.as_secs());
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}
