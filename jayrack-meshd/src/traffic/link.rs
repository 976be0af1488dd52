//! Pacing of large answers on the host's link.
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use super::body::BodyPace;
use jayrack_mesh::link::{CallerLocation, LinkMeter, LinkReservation};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep_until},
};

/// Maximum number of large answers that are sent at the same time.
const MAX_TRANSFERS: usize = 1;

/// Size assumed of a message without its body, in bytes: head and packet headers.
const HEAD_BYTES: u64 = 400;

/// The link of this host; clones share it.
#[derive(Debug, Clone)]
pub struct HostLink {
    meter: Arc<Mutex<LinkMeter>>,
    transfers: Arc<Semaphore>,
    started: Instant,
}

/// Reservation of link capacity for an expected answer; dropping the ticket releases it.
#[derive(Debug)]
pub struct LinkTicket {
    link: HostLink,
    reservation: Option<LinkReservation>,
}

/// Permit to send a large answer, with its reservation.
///
/// Written bytes wait in the buffers of the link, so the permit is released no sooner than the link has
/// transmitted them.
#[derive(Debug)]
pub struct TransferPermit {
    held: Option<(LinkTicket, OwnedSemaphorePermit)>,
    transmitted_at: Instant,
}

impl Drop for TransferPermit {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        let transmitted_at = self.transmitted_at;
        if transmitted_at > Instant::now() {
            tokio::spawn(async move {
                sleep_until(transmitted_at).await;
                drop(held);
            });
        }
    }
}

impl HostLink {
    /// Creates the state of a link of `megabits_per_second`.
    pub fn new(megabits_per_second: f64) -> Self {
        Self {
            meter: Arc::new(Mutex::new(LinkMeter::new(megabits_per_second))),
            transfers: Arc::new(Semaphore::new(MAX_TRANSFERS)),
            started: Instant::now(),
        }
    }

    /// Records a message with a body of `body_bytes` that is sent over the link without a transfer permit.
    pub fn record_other(&self, body_bytes: u64) {
        let now_ms = self.started.elapsed().as_millis() as u64;
        self.lock().record_other(now_ms, body_bytes + HEAD_BYTES);
    }

    /// Reserves capacity for the expected answer of `route` if it can be sent within a fraction of `left_ms`.
    ///
    /// # Errors
    ///
    /// Returns the time after which there may be capacity, in milliseconds.
    pub fn reserve(
        &self,
        route: &str,
        left_ms: u64,
        location: CallerLocation,
    ) -> Result<LinkTicket, u64> {
        let reservation = self.lock().reserve(route, left_ms, location)?;
        Ok(LinkTicket {
            link: self.clone(),
            reservation: Some(reservation),
        })
    }

    /// Average size of the answers of `route`, in bytes.
    pub fn expected_bytes(&self, route: &str) -> u64 {
        self.lock().expected_bytes(route)
    }

    /// Records the size of an answer of `route`, in bytes.
    pub fn observe(&self, route: &str, bytes: u64) {
        self.lock().observe(route, bytes);
    }

    fn lock(&self) -> MutexGuard<'_, LinkMeter> {
        self.meter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LinkTicket {
    /// Acquires the transfer permit of an answer of `bytes`; returns the ticket if another answer is being sent.
    pub fn try_acquire(self, bytes: u64) -> Result<TransferPermit, Self> {
        match self.link.transfers.clone().try_acquire_owned() {
            Ok(permit) => Ok(self.start(bytes, Some(permit))),
            Err(_) => Err(self),
        }
    }

    /// Waits for the transfer permit of an answer of `bytes`.
    pub async fn acquire(self, bytes: u64) -> TransferPermit {
        // The semaphore is never closed.
        let permit = self.link.transfers.clone().acquire_owned().await.ok();
        self.start(bytes, permit)
    }

    /// Rate limit for the body of the answer.
    pub fn pace(&self) -> BodyPace {
        let meter = self.link.lock();
        let chunk_bytes = meter.chunk_bytes();
        let interval_ms = meter.sending_ms(chunk_bytes as u64);
        BodyPace::new(chunk_bytes, Duration::from_millis(interval_ms))
    }

    fn start(self, bytes: u64, permit: Option<OwnedSemaphorePermit>) -> TransferPermit {
        let sending_ms = self.link.lock().sending_ms(bytes);
        TransferPermit {
            held: permit.map(|permit| (self, permit)),
            transmitted_at: Instant::now() + Duration::from_millis(sending_ms),
        }
    }
}

impl Drop for LinkTicket {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.link.lock().release(reservation);
        }
    }
}
