//! Pacing of large answers on the host's link.
use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use hyper::body::Body;
use jayrack_mesh::link::{CallerLocation, LinkMeter, LinkReservation};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep_until},
};

use super::body::{AnswerBody, BodyPace};

/// Maximum number of large answers that are sent at the same time.
const MAX_TRANSFERS: usize = 1;

/// Time for which a large answer may leave the link idle in one turn: several chunks of a paced answer.
const MAX_IDLE_TIME: Duration = Duration::from_millis(100);

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

/// Turn of a large answer on the link.
///
/// A turn is held while the answer is written, until the link has transmitted what was written of it: the length that
/// the head of an answer states says nothing about what follows. An answer that leaves the link idle for
/// [`MAX_IDLE_TIME`] in all, because its server sends little or its receiver reads little, loses its turn and its
/// reservation to others, and waits for another turn when it goes on.
pub struct LinkTurn {
    link: HostLink,
    state: Arc<Mutex<TurnState>>,
    waiting: Option<Acquisition>,
}

/// Waits for the permit of another turn.
type Acquisition = Pin<Box<dyn Future<Output = HeldTurn> + Send>>;

#[derive(Debug)]
struct TurnState {
    held: Option<HeldTurn>,
    /// When the link has transmitted all that was written.
    transmitted_at: Instant,
    /// How long the link was idle in this turn before the last write.
    idle_time: Duration,
}

impl TurnState {
    fn new(held: HeldTurn) -> Self {
        Self {
            held: Some(held),
            transmitted_at: Instant::now(),
            idle_time: Duration::ZERO,
        }
    }

    /// When the turn ends unless more is written.
    fn ends_at(&self) -> Instant {
        self.transmitted_at + MAX_IDLE_TIME.saturating_sub(self.idle_time)
    }

    /// Counts the time since the link has transmitted all that was written as idle.
    fn count_idle_time(&mut self) {
        let now = Instant::now();
        self.idle_time += now.saturating_duration_since(self.transmitted_at);
        self.transmitted_at = self.transmitted_at.max(now);
    }

    /// Gives the turn up if it has ended; returns what it held.
    fn take_ended(&mut self) -> Option<HeldTurn> {
        let ends_at = self.ends_at();
        self.held.take_if(|_| ends_at <= Instant::now())
    }
}

/// What a turn takes from the link; dropping it gives all of it back.
#[derive(Debug)]
struct HeldTurn {
    _permit: Option<OwnedSemaphorePermit>,
    /// `None` once the answer has lost an earlier turn.
    _ticket: Option<LinkTicket>,
}

impl std::fmt::Debug for LinkTurn {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("LinkTurn")
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl LinkTurn {
    fn new(link: HostLink, held: HeldTurn) -> Self {
        Self {
            link,
            state: start_turn(held),
            waiting: None,
        }
    }

    /// Waits for a turn unless the answer still holds one.
    pub fn poll_held(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.waiting.is_none() && self.keep() {
            return Poll::Ready(());
        }
        let transfers = &self.link.transfers;
        let waiting = self.waiting.get_or_insert_with(|| {
            let transfers = transfers.clone();
            Box::pin(async move {
                HeldTurn {
                    // The semaphore is never closed.
                    _permit: transfers.acquire_owned().await.ok(),
                    _ticket: None,
                }
            })
        });
        let held = ready!(waiting.as_mut().poll(cx));
        self.waiting = None;
        self.state = start_turn(held);
        Poll::Ready(())
    }

    /// Whether the turn goes on for a further write.
    fn keep(&self) -> bool {
        let mut state = lock(&self.state);
        let ended = state.take_ended();
        state.count_idle_time();
        let is_held = state.held.is_some();
        drop(state);
        drop(ended);
        is_held
    }

    /// Records that `bytes` of the answer were written.
    pub fn record_written(&self, bytes: u64) {
        let sending_time = Duration::from_millis(self.link.lock().sending_ms(bytes));
        let mut state = lock(&self.state);
        state.transmitted_at = state.transmitted_at.max(Instant::now()) + sending_time;
    }
}

impl Drop for LinkTurn {
    fn drop(&mut self) {
        let (held, transmitted_at) = {
            let mut state = lock(&self.state);
            (state.held.take(), state.transmitted_at)
        };
        if held.is_some() && transmitted_at > Instant::now() {
            tokio::spawn(async move {
                sleep_until(transmitted_at).await;
                drop(held);
            });
        }
    }
}

fn start_turn(held: HeldTurn) -> Arc<Mutex<TurnState>> {
    let state = Arc::new(Mutex::new(TurnState::new(held)));
    tokio::spawn(end_idle_turn(state.clone()));
    state
}

/// Ends a turn whose answer leaves the link idle; returns when the turn has ended.
async fn end_idle_turn(state: Arc<Mutex<TurnState>>) {
    loop {
        let ends_at = {
            let mut state = lock(&state);
            let ended = state.take_ended();
            if state.held.is_none() {
                drop(state);
                return drop(ended);
            }
            state.ends_at()
        };
        sleep_until(ends_at).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
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

    /// Records a message with a body of `body_bytes` that is sent over the link without a turn.
    pub fn record_other(&self, body_bytes: u64) {
        let now_ms = self.started.elapsed().as_millis() as u64;
        self.lock().record_other(now_ms, body_bytes + HEAD_BYTES);
    }

    /// Records an answer that is sent without a turn: when it has ended, or at once if it is in memory.
    pub fn record_other_answer(&self, body: AnswerBody) -> AnswerBody {
        if body.is_buffered() {
            self.record_other(body.size_hint().lower());
            return body;
        }
        let link = self.clone();
        body.on_end(move |progress| link.record_other(progress.passed_bytes()))
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

    /// Learns the size of an answer of `route` from `body`: when it has ended, or at once if it is in memory.
    ///
    /// An answer that breaks off has at least the size that was passed on.
    pub fn observe(&self, route: &str, body: AnswerBody) -> AnswerBody {
        if body.is_buffered() {
            self.lock().observe(route, body.size_hint().lower());
            return body;
        }
        let (link, route) = (self.clone(), route.to_string());
        body.on_end(move |progress| {
            let bytes = progress.passed_bytes();
            let mut meter = link.lock();
            if progress.is_complete() || bytes > meter.expected_bytes(&route) {
                meter.observe(&route, bytes);
            }
        })
    }

    fn lock(&self) -> MutexGuard<'_, LinkMeter> {
        lock(&self.meter)
    }
}

impl LinkTicket {
    /// Takes the next turn for an answer; returns the ticket if another answer is being sent.
    pub fn try_acquire(self) -> Result<LinkTurn, Self> {
        match self.link.transfers.clone().try_acquire_owned() {
            Ok(permit) => Ok(self.start(Some(permit))),
            Err(_) => Err(self),
        }
    }

    /// Waits for the turn of an answer.
    pub async fn acquire(self) -> LinkTurn {
        // The semaphore is never closed.
        let permit = self.link.transfers.clone().acquire_owned().await.ok();
        self.start(permit)
    }

    /// Rate limit for the body of the answer.
    pub fn pace(&self) -> BodyPace {
        let meter = self.link.lock();
        let chunk_bytes = meter.chunk_bytes();
        let interval_ms = meter.sending_ms(chunk_bytes as u64);
        BodyPace::new(chunk_bytes, Duration::from_millis(interval_ms))
    }

    fn start(self, permit: Option<OwnedSemaphorePermit>) -> LinkTurn {
        let link = self.link.clone();
        let held = HeldTurn {
            _permit: permit,
            _ticket: Some(self),
        };
        LinkTurn::new(link, held)
    }
}

impl Drop for LinkTicket {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.link.lock().release(reservation);
        }
    }
}
