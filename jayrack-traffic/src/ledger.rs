//! The outcome of every request that reached an owner.
//!
//! A query about a request without a record is answered by the request's first-sent time: a request
//! sent before the daemon started, or no later than one whose record was evicted, may have run, so its
//! outcome is unknown.
//!
//! Such a request is also not run when it arrives: its sender may have been paused while a retry was
//! fenced here and run elsewhere. A request that arrives over a connection to this daemon cannot have
//! run before the daemon started, so one that was sent before the start is answered as not run.
use std::collections::{BTreeMap, VecDeque};

use jayrack_protocol::{RequestId, ResultCode};

use crate::class::sent_unix_ms;

/// Settings of an [`OutcomeLedger`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Start time of the daemon, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
    /// Maximum difference between the clocks of two daemons, in milliseconds.
    pub clock_skew_ms: u64,
    /// Maximum number of records; records without a final outcome are kept beyond it.
    pub max_records: usize,
    /// Maximum total size of stored answers, in bytes; the oldest answers are evicted first.
    pub max_bytes: u64,
    /// Time for which a record with a final outcome is kept, in milliseconds.
    pub retention_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            started_unix_ms: 0,
            clock_skew_ms: 1_000,
            max_records: 50_000,
            max_bytes: 8 << 20,
            retention_ms: 60_000,
        }
    }
}

/// Recorded outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome<A> {
    /// Waits for a slot.
    Queued,
    /// Was dispatched to the backend server.
    Dispatched,
    /// The backend server answered.
    Done(A),
    /// The backend server answered, but the answer is no longer stored.
    AnswerEvicted,
    /// Did not run and never will.
    NotRun(ResultCode),
    /// May have run.
    Unknown(ResultCode),
}

/// Whether a request that arrived may be passed to admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BeginResult<A> {
    /// The request is new and is recorded as [`Outcome::Queued`].
    New,
    /// The request must not be run; its outcome is given.
    Existing(Outcome<A>),
}

/// Result of a query about one request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueryResult<A> {
    /// It ran, with this answer.
    Done(A),
    /// It did not run and never will.
    NotRun(ResultCode),
    /// It is queued or running, or, in a query without a fence, has not arrived.
    InProgress,
    /// It may have run.
    Unknown(ResultCode),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OutcomeRecord<A> {
    outcome: Outcome<A>,
    bytes: u64,
    settled_ms: Option<u64>,
}

/// The outcomes of all requests that reached one owner.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OutcomeLedger<A: Clone> {
    options: Options,
    records: BTreeMap<RequestId, OutcomeRecord<A>>,
    /// Requests with a stored answer, oldest first.
    answered: VecDeque<RequestId>,
    bytes: u64,
    evicted_up_to_unix_ms: Option<u64>,
}

impl<A: Clone> OutcomeLedger<A> {
    /// Creates the empty ledger of a daemon that has just started.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            records: BTreeMap::new(),
            answered: VecDeque::new(),
            bytes: 0,
            evicted_up_to_unix_ms: None,
        }
    }

    /// Declares that no request can have run before the daemon started, as when the fleet had no
    /// configuration yet. The ledger then answers for requests sent before the start like for others.
    pub fn assume_complete(&mut self) {
        self.options.started_unix_ms = 0;
        self.options.clock_skew_ms = 0;
    }

    /// Registers a request that arrived over a connection to this daemon.
    pub fn begin(&mut self, now_ms: u64, id: RequestId) -> BeginResult<A> {
        self.evict(now_ms);
        if let Some(record) = self.records.get(&id) {
            return BeginResult::Existing(record.outcome.clone());
        }
        if self.may_be_evicted(id) {
            return BeginResult::Existing(Outcome::Unknown(ResultCode::OutcomeUnknown));
        }
        if self.is_before_start(id) {
            return BeginResult::Existing(Outcome::NotRun(ResultCode::Fenced));
        }
        self.insert(id, Outcome::Queued, None);
        BeginResult::New
    }

    /// Records that the request is about to be sent to the backend server.
    ///
    /// Returns whether it may be sent: a request that was fenced in the meantime must not run.
    pub fn dispatched(&mut self, _now_ms: u64, id: RequestId) -> bool {
        match self.records.get_mut(&id) {
            Some(record) if record.outcome_is_queued() => {
                record.outcome = Outcome::Dispatched;
                true
            }
            _ => false,
        }
    }

    /// Stores the backend server's answer of `bytes` bytes.
    pub fn done(&mut self, now_ms: u64, id: RequestId, answer: A, bytes: u64) {
        self.settle(now_ms, id, Outcome::Done(answer), bytes);
    }

    /// Records that a queued request was refused with `code`, or that a dispatched one certainly did not
    /// reach the backend server.
    pub fn not_run(&mut self, now_ms: u64, id: RequestId, code: ResultCode) {
        self.settle(now_ms, id, Outcome::NotRun(code), 0);
    }

    /// Records that the backend server accepted the request and failed.
    pub fn failed(&mut self, now_ms: u64, id: RequestId) {
        self.settle(now_ms, id, Outcome::Unknown(ResultCode::ServerFailed), 0);
    }

    /// Records that it cannot be determined whether the backend server ran the request.
    pub fn unknown(&mut self, now_ms: u64, id: RequestId) {
        self.settle(now_ms, id, Outcome::Unknown(ResultCode::OutcomeUnknown), 0);
    }

    /// Returns the outcome of a request. With `fence`, a request that has not been dispatched is fenced:
    /// it never will be dispatched.
    ///
    /// A request that this call fences while it is queued must be cancelled in admission.
    pub fn query(&mut self, now_ms: u64, id: RequestId, fence: bool) -> QueryResult<A> {
        self.evict(now_ms);
        match self.records.get(&id).map(|record| record.outcome.clone()) {
            Some(Outcome::Done(answer)) => QueryResult::Done(answer),
            Some(Outcome::NotRun(code)) => QueryResult::NotRun(code),
            Some(Outcome::Unknown(code)) => QueryResult::Unknown(code),
            Some(Outcome::AnswerEvicted) => QueryResult::Unknown(ResultCode::OutcomeUnknown),
            Some(Outcome::Dispatched) => QueryResult::InProgress,
            Some(Outcome::Queued) if !fence => QueryResult::InProgress,
            Some(Outcome::Queued) => self.fence(now_ms, id),
            None if self.may_have_run(id) => QueryResult::Unknown(ResultCode::OutcomeUnknown),
            None if !fence => QueryResult::InProgress,
            None => self.fence(now_ms, id),
        }
    }

    /// Number of records, and total size of the stored answers in bytes.
    pub fn size(&self) -> (usize, u64) {
        (self.records.len(), self.bytes)
    }

    fn fence(&mut self, now_ms: u64, id: RequestId) -> QueryResult<A> {
        self.insert(id, Outcome::NotRun(ResultCode::Fenced), Some(now_ms));
        QueryResult::NotRun(ResultCode::Fenced)
    }

    fn insert(&mut self, id: RequestId, outcome: Outcome<A>, settled_ms: Option<u64>) {
        let record = OutcomeRecord {
            outcome,
            bytes: 0,
            settled_ms,
        };
        self.records.insert(id, record);
    }

    fn settle(&mut self, now_ms: u64, id: RequestId, outcome: Outcome<A>, bytes: u64) {
        let Some(record) = self.records.get_mut(&id) else {
            return;
        };
        if record.settled_ms.is_some() {
            return;
        }
        record.outcome = outcome;
        record.bytes = bytes;
        record.settled_ms = Some(now_ms);
        if bytes > 0 {
            self.answered.push_back(id);
            self.bytes += bytes;
        }
        self.evict(now_ms);
    }

    /// Whether a record of `id` may have been evicted since the daemon started.
    fn may_be_evicted(&self, id: RequestId) -> bool {
        self.evicted_up_to_unix_ms
            .is_some_and(|horizon_ms| sent_unix_ms(id) <= horizon_ms)
    }

    /// Whether a request without a record may have been dispatched, now or before a restart.
    fn may_have_run(&self, id: RequestId) -> bool {
        self.may_be_evicted(id) || self.is_before_start(id)
    }

    fn is_before_start(&self, id: RequestId) -> bool {
        let horizon_ms = self.options.started_unix_ms + self.options.clock_skew_ms;
        sent_unix_ms(id) < horizon_ms
    }

    fn evict(&mut self, now_ms: u64) {
        while self.bytes > self.options.max_bytes {
            self.evict_answer();
        }
        while let Some(id) = self.next_evictable(now_ms) {
            let Some(record) = self.records.remove(&id) else {
                return;
            };
            self.bytes -= record.bytes;
            let mut answered = self.answered.iter();
            if record.bytes > 0
                && let Some(index) = answered.position(|other| *other == id)
            {
                self.answered.remove(index);
            }
            let horizon_ms = self.evicted_up_to_unix_ms.get_or_insert(0);
            *horizon_ms = (*horizon_ms).max(sent_unix_ms(id));
        }
    }

    /// Evicts the oldest answer; its record still shows that the request ran.
    fn evict_answer(&mut self) {
        let Some(id) = self.answered.pop_front() else {
            return;
        };
        if let Some(record) = self.records.get_mut(&id) {
            self.bytes -= record.bytes;
            record.bytes = 0;
            record.outcome = Outcome::AnswerEvicted;
        }
    }

    /// The record with a final outcome whose request was sent first, if there are too many records or its
    /// retention time is over.
    fn next_evictable(&self, now_ms: u64) -> Option<RequestId> {
        let is_over = self.records.len() > self.options.max_records;
        let mut settled = self
            .records
            .iter()
            .filter_map(|(id, record)| record.settled_ms.map(|settled_ms| (*id, settled_ms)));
        let (id, settled_ms) = settled.next()?;
        let is_old = now_ms.saturating_sub(settled_ms) > self.options.retention_ms;
        (is_over || is_old).then_some(id)
    }
}

impl<A> OutcomeRecord<A> {
    fn outcome_is_queued(&self) -> bool {
        matches!(self.outcome, Outcome::Queued)
    }
}
