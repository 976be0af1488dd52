//! Counts of datagrams and bytes for metrics.
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the start; bytes are those of UDP payloads.
#[derive(Debug, Default)]
pub struct GossipCounters {
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
    received_datagrams: AtomicU64,
    received_bytes: AtomicU64,
    rejected_datagrams: AtomicU64,
}

/// Values of [`GossipCounters`] at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GossipCounts {
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// UDP payload bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// UDP payload bytes received.
    pub received_bytes: u64,
    /// Datagrams received that failed authentication or decoding.
    pub rejected_datagrams: u64,
}

impl GossipCounters {
    /// Reads all counts.
    pub fn read(&self) -> GossipCounts {
        GossipCounts {
            sent_datagrams: self.sent_datagrams.load(Ordering::Relaxed),
            sent_bytes: self.sent_bytes.load(Ordering::Relaxed),
            received_datagrams: self.received_datagrams.load(Ordering::Relaxed),
            received_bytes: self.received_bytes.load(Ordering::Relaxed),
            rejected_datagrams: self.rejected_datagrams.load(Ordering::Relaxed),
        }
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_received(&self, bytes: usize) {
        self.received_datagrams.fetch_add(1, Ordering::Relaxed);
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn count_rejected(&self) {
        self.rejected_datagrams.fetch_add(1, Ordering::Relaxed);
    }
}
