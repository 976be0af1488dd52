//! Age of a daemon's knowledge of the configuration: the time since a point at which the version in force was the
//! newest one in the store.
//!
//! A read of the store that reaches the end of the log shows the newest version at some time after the read began.
//! The beginning of the read is therefore a lower bound, and it is the one that counts. Daemons that don't read the
//! store derive the bound from datagrams. Each datagram states its sender's clock. A daemon that has received one
//! converts the point at which its own knowledge was confirmed to the clock of that peer: the stated time, plus the
//! time since it was received, minus the age of the knowledge. The peer sent the stated time before it was received,
//! so the result is never later than the true point, however long the datagrams were in transit and however long
//! either daemon was suspended.
//!
//! Times are in milliseconds of a clock that also runs while the host is suspended.
use std::{collections::BTreeMap, net::IpAddr};

/// Reads of the store by one reader within the bound: a lost read and the spread to all hosts still leave time.
const READS_PER_BOUND: u64 = 5;
/// Part of the bound that is not used, in milliseconds, for the time between the check and the forwarding.
const MARGIN_MS: u64 = 100;
/// Largest part of the bound that the margin may take, as a divisor of the bound.
const MARGIN_DIVISOR: u64 = 10;
/// Age from which on a daemon reads the store itself, in percent of the bound: datagrams usually make its knowledge
/// younger, and one call still fits into the rest.
const OWN_READ_PERCENT: u64 = 60;
/// Difference between the rates of two clocks that are adjusted by 500 ppm in opposite directions, as a divisor of
/// the measured time.
const DRIFT_DIVISOR: u64 = 1_000;
/// Error of a difference of two times that are truncated to milliseconds.
const ROUNDING_MS: u64 = 1;
/// Bits of a stated time. They take six bytes in a datagram and wrap after 139 years.
const STATED_TIME_BITS: u32 = 42;

/// A time by the clock of one process, shifted by a random offset of that process.
///
/// A time by the clock of an earlier process at the same address is taken for one within the bound with a probability
/// of bound / 2^42 ms, about 1e-9.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedTime(u64);

impl StatedTime {
    /// The time as a number, which a datagram carries.
    pub fn to_number(self) -> u64 {
        self.0
    }

    /// The time with the given number; excess bits are dropped.
    pub fn from_number(number: u64) -> Self {
        Self(number & ((1 << STATED_TIME_BITS) - 1))
    }

    fn plus(self, time_ms: u64) -> Self {
        Self::from_number(self.0.wrapping_add(time_ms))
    }

    fn minus(self, time_ms: u64) -> Self {
        Self::from_number(self.0.wrapping_sub(time_ms))
    }
}

/// Confirmation of a version, as a datagram states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedConfirmation {
    /// The version.
    pub version: u64,
    /// Point at which no later version existed, by the clock of the receiver.
    pub at: StatedTime,
}

/// What a datagram states about its sender's clock and knowledge.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FreshnessReport {
    /// The sender's clock at the time of sending.
    pub clock: Option<StatedTime>,
    /// The sender's knowledge, if it is within the bound and the receiver's clock is known.
    pub confirmation: Option<StatedConfirmation>,
}

/// Point at which no later version than `version` existed; earlier than the boot of the host if negative.
#[derive(Debug, Clone, Copy)]
struct ConfirmedVersion {
    version: u64,
    at_ms: i64,
}

/// Clock that another daemon stated, and when that was received.
#[derive(Debug, Clone, Copy)]
struct HeardClock {
    time: StatedTime,
    received_ms: u64,
}

/// Age of this daemon's knowledge and the clocks of the other daemons.
#[derive(Debug)]
pub struct KnowledgeAge {
    clock_offset_ms: u64,
    bound_ms: Option<u64>,
    confirmed: Option<ConfirmedVersion>,
    /// Later confirmation of a version that is not in force here yet.
    pending: Option<ConfirmedVersion>,
    clocks: BTreeMap<IpAddr, HeardClock>,
}

impl KnowledgeAge {
    /// Creates the state of a process; `clock_offset_ms` is random, so that it differs from that of earlier processes
    /// at the same address.
    pub fn new(clock_offset_ms: u64) -> Self {
        Self {
            clock_offset_ms,
            bound_ms: None,
            confirmed: None,
            pending: None,
            clocks: BTreeMap::new(),
        }
    }

    /// Sets the age up to which API keys are served; `None` if any age suffices.
    pub fn set_bound(&mut self, bound_ms: Option<u64>) {
        self.bound_ms = bound_ms;
    }

    /// Interval of a reader between the beginnings of two reads, in milliseconds; `None` without a bound.
    pub fn read_interval_ms(&self) -> Option<u64> {
        self.bound_ms.map(|bound_ms| bound_ms / READS_PER_BOUND)
    }

    /// Records a read of the store that began at `began_ms`, reached the end of the log and showed no later version
    /// than `in_force`.
    pub fn confirm(&mut self, began_ms: u64, in_force: u64) {
        let at_ms = i64::try_from(began_ms).unwrap_or(i64::MIN);
        let confirmed = ConfirmedVersion {
            version: in_force,
            at_ms,
        };
        self.adopt(confirmed, in_force);
    }

    /// Adopts a confirmation that was received before its version was in force here.
    pub fn settle(&mut self, in_force: u64) {
        if let Some(pending) = self.pending.take() {
            self.adopt(pending, in_force);
        }
    }

    /// Fields of a datagram to `peer`; empty without a bound.
    pub fn report_to(&self, now_ms: u64, peer: IpAddr) -> FreshnessReport {
        let Some(bound_ms) = self.bound_ms else {
            return FreshnessReport::default();
        };
        let age_ms = |confirmed: &ConfirmedVersion| age_of(*confirmed, now_ms);
        let confirmed = self
            .confirmed
            .filter(|confirmed| age_ms(confirmed) <= bound_ms);
        let confirmation = confirmed.and_then(|confirmed| {
            let heard = self.clocks.get(&peer)?;
            // One reading of the clock is used for both times, so it does not matter when the datagram leaves.
            let held_ms = now_ms.saturating_sub(heard.received_ms);
            let age_ms = age_ms(&confirmed);
            let drift_ms = held_ms.div_ceil(DRIFT_DIVISOR) + age_ms.div_ceil(DRIFT_DIVISOR);
            let now = heard.time.plus(held_ms);
            Some(StatedConfirmation {
                version: confirmed.version,
                at: now.minus(age_ms).minus(drift_ms + ROUNDING_MS),
            })
        });
        FreshnessReport {
            clock: Some(self.stated(now_ms)),
            confirmation,
        }
    }

    /// Records what a datagram of `peer`, received at `now_ms`, states; `in_force` is the version in force here.
    pub fn receive(&mut self, now_ms: u64, peer: IpAddr, report: &FreshnessReport, in_force: u64) {
        if let Some(time) = report.clock {
            // A datagram that arrives late replaces a later clock; that only makes the next statement earlier.
            let received_ms = now_ms;
            self.clocks.insert(peer, HeardClock { time, received_ms });
        }
        let confirmed = report
            .confirmation
            .and_then(|stated| self.to_confirmed(now_ms, stated));
        if let Some(confirmed) = confirmed {
            self.adopt(confirmed, in_force);
        }
    }

    /// Age of the knowledge, in milliseconds; `None` if it was never confirmed.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed.map(|confirmed| age_of(confirmed, now_ms))
    }

    /// Whether API keys may be served at `now_ms`.
    pub fn is_current(&self, now_ms: u64) -> bool {
        let Some(bound_ms) = self.bound_ms else {
            return true;
        };
        let limit_ms = bound_ms - MARGIN_MS.min(bound_ms / MARGIN_DIVISOR);
        self.age_ms(now_ms).is_some_and(|age_ms| age_ms <= limit_ms)
    }

    /// Whether this daemon, which started at `started_ms`, has to read the store itself since no datagram has renewed
    /// its knowledge for long.
    pub fn needs_own_read(&self, now_ms: u64, started_ms: u64) -> bool {
        let Some(bound_ms) = self.bound_ms else {
            return false;
        };
        let age_ms = self
            .age_ms(now_ms)
            .unwrap_or(now_ms.saturating_sub(started_ms));
        age_ms >= bound_ms / 100 * OWN_READ_PERCENT
    }

    fn stated(&self, now_ms: u64) -> StatedTime {
        StatedTime::from_number(now_ms.wrapping_add(self.clock_offset_ms))
    }

    /// Converts a stated confirmation to the local clock; `None` unless it lies within the bound before `now_ms`, which
    /// is the case for times in the future and those by the clock of an earlier process.
    fn to_confirmed(&self, now_ms: u64, stated: StatedConfirmation) -> Option<ConfirmedVersion> {
        let age_ms = self.stated(now_ms).minus(stated.at.to_number()).to_number();
        let age_ms = i64::try_from(age_ms).ok()?;
        let bound_ms = i64::try_from(self.bound_ms?).ok()?;
        (age_ms <= bound_ms).then(|| ConfirmedVersion {
            version: stated.version,
            at_ms: now_ms.cast_signed() - age_ms,
        })
    }

    /// Keeps the latest confirmation of a version that is in force here, and the latest of a later version.
    fn adopt(&mut self, confirmed: ConfirmedVersion, in_force: u64) {
        let known = match confirmed.version <= in_force {
            true => &mut self.confirmed,
            false => &mut self.pending,
        };
        if known.is_none_or(|known| known.at_ms < confirmed.at_ms) {
            *known = Some(confirmed);
        }
    }
}

/// Time since a confirmation, in milliseconds.
fn age_of(confirmed: ConfirmedVersion, now_ms: u64) -> u64 {
    let now_ms = i64::try_from(now_ms).unwrap_or(i64::MAX);
    u64::try_from(now_ms.saturating_sub(confirmed.at_ms)).unwrap_or_default()
}
