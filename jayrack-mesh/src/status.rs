//! Schedule of status datagrams between daemons.
//!
//! Each datagram carries the order of the receiver's record that its sender holds. A record that is new to the
//! receiver is confirmed at once, so that its sender resends it only if one of the two datagrams was lost.

/// Time between two datagrams to a host of the same data centre, in milliseconds.
const SAME_DATA_CENTRE_INTERVAL_MS: u64 = 1_000;
/// Time between two datagrams to a host of another data centre, in milliseconds; traffic between data centres is
/// charged.
const REMOTE_INTERVAL_MS: u64 = 2_000;
/// Time until an unconfirmed record is resent, in milliseconds; it doubles with each resend.
const RESEND_INTERVAL_MS: u64 = 200;
/// Largest number of doublings of [`RESEND_INTERVAL_MS`].
const MAX_DOUBLINGS: u32 = 4;
/// Time between two datagrams to a host that has been silent for long, in milliseconds.
const SILENT_INTERVAL_MS: u64 = 1_500;
/// Silence after which a host counts as silent for long, in milliseconds, in a fleet with an interval factor of one.
const LONG_SILENCE_MS: u64 = 5_000;
/// Time after sending within which a received datagram may have crossed the one sent, in milliseconds: several times
/// the one-way delay between data centres.
const CROSSING_WINDOW_MS: u64 = 20;

/// Epoch and revision of a host's record; a later record compares greater.
pub type RecordOrder = (u64, u64);

/// State of the exchange of datagrams with one host.
#[derive(Debug, Default)]
pub struct PeerState {
    last_sent_ms: Option<u64>,
    /// Own record that was sent last.
    last_sent: Option<RecordOrder>,
    /// How often it was resent since the host last sent a datagram.
    resends: u32,
    /// Own record that the host last reported to hold.
    confirmed: Option<RecordOrder>,
}

/// Input of [`PeerState::is_due`].
#[derive(Debug, Clone, Copy)]
pub struct DueInput {
    /// The time, in milliseconds since the daemon started.
    pub now_ms: u64,
    /// Order of the daemon's own record.
    pub own: RecordOrder,
    /// When the last datagram of the host was received, in milliseconds; `None` if none was.
    pub last_received_ms: Option<u64>,
    /// Whether it is in the same data centre.
    pub is_same_data_centre: bool,
    /// Factor by which the fleet's size stretches the intervals.
    pub interval_factor: u64,
}

/// A datagram that was received from a host.
#[derive(Debug, Clone, Copy)]
pub struct ReceivedStatus {
    /// The time, in milliseconds since the daemon started.
    pub now_ms: u64,
    /// Order of the daemon's own record.
    pub own: RecordOrder,
    /// Order of the daemon's record that the sender holds.
    pub known: Option<RecordOrder>,
    /// Whether the sender's record was new to the daemon.
    pub is_newer: bool,
    /// Whether the daemon holds a newer record of the sender than the sender sent.
    pub is_sender_outdated: bool,
}

impl PeerState {
    /// Records that a datagram with the record `own` was sent.
    pub fn record_sent(&mut self, now_ms: u64, own: RecordOrder) {
        self.last_sent_ms = Some(now_ms);
        match self.last_sent == Some(own) {
            true => self.resends += 1,
            false => self.resends = 0,
        }
        self.last_sent = Some(own);
    }

    /// Whether the host last reported to hold the record `own`, so that it need not be sent again.
    pub fn has_confirmed(&self, own: RecordOrder) -> bool {
        self.confirmed == Some(own)
    }

    /// Whether a datagram to the host is due.
    pub fn is_due(&self, input: &DueInput) -> bool {
        let interval_ms = self.interval_ms(input);
        self.last_sent_ms
            .is_none_or(|last_sent_ms| input.now_ms.saturating_sub(last_sent_ms) >= interval_ms)
    }

    fn interval_ms(&self, input: &DueInput) -> u64 {
        let long_silence_ms = LONG_SILENCE_MS * input.interval_factor;
        let is_silent = input.last_received_ms.is_none_or(|last_received_ms| {
            input.now_ms.saturating_sub(last_received_ms) > long_silence_ms
        });
        let resend_ms = RESEND_INTERVAL_MS << self.resends.min(MAX_DOUBLINGS);
        match (self.has_confirmed(input.own), is_silent) {
            (false, false) => resend_ms,
            (false, true) if input.now_ms < LONG_SILENCE_MS => resend_ms,
            (_, true) => SILENT_INTERVAL_MS * input.interval_factor,
            (true, false) if input.is_same_data_centre => {
                SAME_DATA_CENTRE_INTERVAL_MS * input.interval_factor
            }
            (true, false) => REMOTE_INTERVAL_MS * input.interval_factor,
        }
    }

    /// Records a datagram of the host; returns whether it must be answered at once.
    pub fn receive(&mut self, received: &ReceivedStatus) -> bool {
        self.confirmed = received.known;
        self.resends = 0;
        let is_crossing = self.last_sent_ms.is_some_and(|last_sent_ms| {
            received.now_ms.saturating_sub(last_sent_ms) < CROSSING_WINDOW_MS
        });
        let is_outdated = received.known != Some(received.own) && !is_crossing;
        received.is_newer || received.is_sender_outdated || is_outdated
    }
}
