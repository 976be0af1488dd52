//! How long requests of other hosts were on their way here.
//!
//! Clocks of hosts differ by an unknown offset. The smallest difference between the sender's and the local
//! time within some seconds stands for a free link; what a request takes beyond that, it waited on a full
//! link or for a daemon that was not running.
use std::{collections::BTreeMap, net::IpAddr};

/// Time after which the smallest difference is taken anew, in milliseconds: longer than a flood fills a link
/// without a pause, and short enough that a clock that was set is believed soon.
const WINDOW_MS: u64 = 10_000;
/// Delay beyond which a difference is taken for that of another clock, in milliseconds; no request waits so
/// long for its answer.
const MAX_DELAY_MS: i64 = 5_000;

#[derive(Debug, Clone, Copy)]
struct HostOffset {
    /// Process of the sender; another one may count from another time.
    epoch: u64,
    window_start_ms: u64,
    current_min_ms: i64,
    previous_min_ms: i64,
}

/// Smallest differences between clocks, by host.
#[derive(Debug, Default)]
pub struct TransitMeter {
    hosts: BTreeMap<IpAddr, HostOffset>,
}

impl TransitMeter {
    /// Takes a message that the process `epoch` at `host` sent at `sent_ms` of its clock and that is read at
    /// `now_ms` of the local one; returns for how many milliseconds it was held up.
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

    /// Forgets the hosts for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&IpAddr) -> bool) {
        self.hosts.retain(|address, _| is_kept(address));
    }
}

impl HostOffset {
    fn min_ms(&self) -> i64 {
        self.current_min_ms.min(self.previous_min_ms)
    }
}
