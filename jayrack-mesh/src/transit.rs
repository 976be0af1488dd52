//! Transit delay of requests from other hosts.
//!
//! The clocks of hosts differ by an unknown offset. The smallest difference between the local time of receipt and
//! the sender's time of sending within some seconds is the baseline of an idle link. Any time above it was spent in
//! the queue of a full link or waiting for a daemon that was not running.
use std::{collections::BTreeMap, net::IpAddr};

/// Length of a window over which the smallest difference is taken, in milliseconds: longer than a flood fills a link
/// without a gap, and short enough that a clock that was set gets a new baseline soon.
const WINDOW_MS: u64 = 10_000;
/// Longest plausible delay, in milliseconds: a larger one is attributed to a change of the clock, since no request
/// waits so long for its answer.
const MAX_DELAY_MS: i64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct HostOffset {
    /// Process of the sender; the clock of another process may have another zero point.
    epoch: u64,
    window_start_ms: u64,
    current_min_ms: i64,
    previous_min_ms: i64,
}

/// Baseline of the difference between the clocks, for each sending host.
#[derive(Debug, Default)]
pub struct TransitMeter {
    hosts: BTreeMap<IpAddr, HostOffset>,
}

impl TransitMeter {
    /// Records a message and returns its delay above the baseline, in milliseconds.
    ///
    /// The message was sent by the process `epoch` at `host` at `sent_ms` of that host's clock and read at `now_ms`
    /// of the local one.
    pub fn delay_ms(&mut self, now_ms: u64, host: IpAddr, epoch: u64, sent_ms: u64) -> u64 {
        let difference_ms = now_ms.cast_signed() - sent_ms.cast_signed();
        let fresh = HostOffset {
            epoch,
            window_start_ms: now_ms,
            current_min_ms: difference_ms,
            previous_min_ms: difference_ms,
        };
        let offset = self.hosts.entry(host).or_insert(fresh);
        if offset.epoch != epoch || difference_ms - offset.min_ms() > MAX_DELAY_MS {
            *offset = fresh;
        }
        if now_ms.saturating_sub(offset.window_start_ms) >= WINDOW_MS {
            offset.previous_min_ms = offset.current_min_ms;
            offset.current_min_ms = difference_ms;
            offset.window_start_ms = now_ms;
        }
        offset.current_min_ms = offset.current_min_ms.min(difference_ms);
        u64::try_from(difference_ms - offset.min_ms()).unwrap_or_default()
    }

    /// Drops the baselines of hosts for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&IpAddr) -> bool) {
        self.hosts.retain(|address, _| is_kept(address));
    }
}

impl HostOffset {
    fn min_ms(&self) -> i64 {
        self.current_min_ms.min(self.previous_min_ms)
    }
}
