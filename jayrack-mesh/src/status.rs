//! When daemons tell each other their status.
//!
//! Each datagram names the record that its sender knows of the receiver. A record that is new to the receiver is
//! confirmed at once, so that its sender repeats it only if one of the two datagrams was lost.

/// Time between two datagrams to a host of the same data centre, in milliseconds.
const NEAR_INTERVAL_MS: u64 = 1_000;
/// Time between two datagrams to a host of another data centre, in milliseconds; they are charged.
const FAR_INTERVAL_MS: u64 = 2_000;
/// Time until a datagram that was not confirmed is sent again, in milliseconds; it doubles with each further one.
const RESEND_INTERVAL_MS: u64 = 200;
/// Largest number of doublings of that time.
const MAX_DOUBLINGS: u32 = 4;
/// Time between two datagrams to a host that has been silent for long, in milliseconds.
const SILENT_INTERVAL_MS: u64 = 1_500;
/// Silence after which a host of a small fleet counts as silent for long, in milliseconds.
const LONG_SILENCE_MS: u64 = 5_000;
/// Time in which a datagram and its answer cross, in milliseconds: several times the way between data centres.
const CROSSING_MS: u64 = 20;

/// Epoch and revision of a host's record.
pub type RecordOrder = (u64, u64);

/// What a daemon notes of its datagrams to one host.
#[derive(Debug, Default)]
pub struct PeerNotes {
    sent_ms: Option<u64>,
    /// Own record that was sent last, and how often without a word from the host since.
    sent: Option<RecordOrder>,
    repeats: u32,
    confirmed: Option<RecordOrder>,
}

/// What decides when the next datagram to a host is due.
#[derive(Debug, Clone, Copy)]
pub struct DueInput {
    /// The time, in milliseconds since the daemon started.
    pub now_ms: u64,
    /// Order of the daemon's own record.
    pub own: RecordOrder,
    /// When the host was last heard, in milliseconds.
    pub heard_ms: Option<u64>,
    /// Whether it is in the same data centre.
    pub is_near: bool,
    /// How many times the intervals are those of a small fleet.
    pub spread: u64,
}

/// A datagram that was received.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedStatus {
    /// The time, in milliseconds since the daemon started.
    pub now_ms: u64,
    /// Order of the daemon's own record.
    pub own: RecordOrder,
    /// The record that the sender knows of the daemon.
    pub known: Option<RecordOrder>,
    /// Whether the sender's record was new to the daemon.
    pub is_newer: bool,
    /// Whether the daemon knows a newer record of the sender than the sender itself.
    pub is_corrected: bool,
}

impl PeerNotes {
    /// Notes that a datagram with the record `own` was sent.
    pub fn sent(&mut self, now_ms: u64, own: RecordOrder) {
        self.sent_ms = Some(now_ms);
        match self.sent == Some(own) {
            true => self.repeats += 1,
            false => self.repeats = 0,
        }
        self.sent = Some(own);
    }

    /// Whether a datagram to the host is due.
    pub fn is_due(&self, input: &DueInput) -> bool {
        let interval_ms = self.interval_ms(input);
        self.sent_ms
            .is_none_or(|sent_ms| input.now_ms.saturating_sub(sent_ms) >= interval_ms)
    }

    fn interval_ms(&self, input: &DueInput) -> u64 {
        let long_ms = LONG_SILENCE_MS * input.spread;
        let is_silent = input
            .heard_ms
            .is_none_or(|heard_ms| input.now_ms.saturating_sub(heard_ms) > long_ms);
        let resend_ms = RESEND_INTERVAL_MS << self.repeats.min(MAX_DOUBLINGS);
        match (self.confirmed == Some(input.own), is_silent) {
            (false, false) => resend_ms,
            (false, true) if input.now_ms < LONG_SILENCE_MS => resend_ms,
            (_, true) => SILENT_INTERVAL_MS * input.spread,
            (true, false) if input.is_near => NEAR_INTERVAL_MS * input.spread,
            (true, false) => FAR_INTERVAL_MS * input.spread,
        }
    }

    /// Takes a datagram of the host; whether it is to be answered at once.
    pub fn receive(&mut self, received: &ReceivedStatus) -> bool {
        self.confirmed = received.known;
        self.repeats = 0;
        let is_crossing = self
            .sent_ms
            .is_some_and(|sent_ms| received.now_ms.saturating_sub(sent_ms) < CROSSING_MS);
        let is_outdated = received.known != Some(received.own) && !is_crossing;
        received.is_newer || received.is_corrected || is_outdated
    }
}
