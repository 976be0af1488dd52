//! The ingress side of one request: sends it to servers, retries it and decides on the response to the
//! caller.
//!
//! Servers are numbered from 0 in the order in which the driver selects them for this request; it
//! selects a new one when an action names the next number.
use jayrack_protocol::ResultCode;

use crate::{ledger::QueryResult, retry::may_retry};

/// Settings of a [`RequestFlow`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Depth in the tree of requests that serves one customer request; 0 for the root request.
    pub depth: u32,
    /// Attempts left that were passed down with the request, if any were stated.
    pub attempts_left: Option<u32>,
    /// Maximum number of servers tried.
    pub max_attempts: usize,
    /// Deadline, in milliseconds of the local monotonic clock.
    pub deadline_ms: u64,
    /// Time after the deadline in which the outcome is still queried, in milliseconds.
    pub grace_ms: u64,
    /// Time between two queries of the same outcome, in milliseconds.
    pub query_interval_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idempotent: false,
            depth: 0,
            attempts_left: None,
            max_attempts: 3,
            deadline_ms: 5_000,
            grace_ms: 500,
            query_interval_ms: 50,
        }
    }
}

/// Event that concerns the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<A> {
    /// The caller's request was received completely.
    Start,
    /// The owner of a server answered.
    Answer {
        /// Number of the server.
        server: usize,
        /// `Ok` with the backend server's answer, or the owner's code.
        code: ResultCode,
    },
    /// The connection was lost after all or some of the request was sent.
    Lost {
        /// Number of the server.
        server: usize,
    },
    /// Nothing of the request was sent, since no connection could be opened.
    NotSent {
        /// Number of the server.
        server: usize,
    },
    /// No other server can be tried, for this reason.
    NoServer(ResultCode),
    /// An owner replied to a query.
    QueryReply {
        /// Number of the server.
        server: usize,
        /// Outcome of the request at this owner.
        result: QueryResult<A>,
    },
    /// A query could not be sent, or its reply was lost.
    QueryLost {
        /// Number of the server.
        server: usize,
    },
    /// The time of the last [`Action::Wait`] was reached.
    Timeout,
    /// The caller disconnected.
    Cancel,
}

/// Response to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response<A> {
    /// The answer that the server's owner is sending.
    Forwarded {
        /// Number of the server.
        server: usize,
    },
    /// An answer that a query fetched from an owner's ledger.
    Fetched(A),
    /// A result code; see [`ResultCode::is_not_run`].
    Code(ResultCode),
}

/// Action that the driver has to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Send the request to the server with this number. For a number other than 0, the driver takes a
    /// retry from the budget first; if none is left, it passes [`Input::NoServer`] instead.
    Send {
        /// Number of the server.
        server: usize,
    },
    /// Query the server's owner for the outcome, over a new connection.
    Query {
        /// Number of the server.
        server: usize,
        /// Whether to fence the request if it has not been dispatched.
        fence: bool,
    },
    /// Pass [`Input::Timeout`] at this time; replaces the time of an earlier wait.
    Wait {
        /// Milliseconds of the local monotonic clock.
        until_ms: u64,
    },
    /// Respond to the caller; the flow has ended.
    Respond(Response<A>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum FlowState {
    New,
    Sent { server: usize },
    Querying { server: usize },
    WaitingToQuery { server: usize },
    Ended,
}

/// One request at its ingress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestFlow {
    options: Options,
    state: FlowState,
    servers_tried: usize,
    last_refusal: ResultCode,
    may_have_run: bool,
    is_known_running: bool,
    is_cancelled: bool,
}

impl RequestFlow {
    /// Creates a flow that waits for [`Input::Start`].
    pub fn new(options: Options) -> Self {
        Self {
            options,
            state: FlowState::New,
            servers_tried: 0,
            last_refusal: ResultCode::OwnerUnreachable,
            may_have_run: false,
            is_known_running: false,
            is_cancelled: false,
        }
    }

    /// Whether the response to the caller was decided.
    pub fn is_ended(&self) -> bool {
        self.state == FlowState::Ended
    }

    /// Handles an event that happened at `now_ms` and returns the actions to take, in order.
    pub fn handle<A>(&mut self, now_ms: u64, input: Input<A>) -> Vec<Action<A>> {
        match (self.state, input) {
            (FlowState::Ended, _) => Vec::new(),
            (FlowState::New, Input::Start) => self.send(now_ms),
            (_, Input::NoServer(code)) => self.stop(code),
            (FlowState::Sent { server: at }, Input::Answer { server, code }) if at == server => {
                self.on_answer(now_ms, server, code)
            }
            (FlowState::Sent { server: at }, Input::NotSent { server }) if at == server => {
                self.on_not_run(now_ms, ResultCode::OwnerUnreachable)
            }
            (FlowState::Sent { server: at }, Input::Lost { server }) if at == server => {
                self.on_lost(now_ms, server)
            }
            (FlowState::Sent { server }, Input::Timeout | Input::Cancel) => {
                self.cancel_and_query(now_ms, server)
            }
            (FlowState::Querying { server: at }, Input::QueryReply { server, result })
                if at == server =>
            {
                self.on_query_result(now_ms, server, result)
            }
            (FlowState::Querying { server: at }, Input::QueryLost { server }) if at == server => {
                self.wait_to_query(now_ms, server)
            }
            (FlowState::Querying { server }, Input::Timeout) => self.wait_to_query(now_ms, server),
            (FlowState::WaitingToQuery { server }, Input::Timeout) => self.query(now_ms, server),
            (_, Input::Cancel) => {
                self.is_cancelled = true;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn send<A>(&mut self, now_ms: u64) -> Vec<Action<A>> {
        if now_ms >= self.options.deadline_ms {
            return self.stop(ResultCode::DeadlinePassed);
        }
        let server = self.servers_tried;
        self.servers_tried += 1;
        self.state = FlowState::Sent { server };
        vec![
            Action::Send { server },
            Action::Wait {
                until_ms: self.options.deadline_ms,
            },
        ]
    }

    fn on_answer<A>(&mut self, now_ms: u64, server: usize, code: ResultCode) -> Vec<Action<A>> {
        if code == ResultCode::Ok {
            return self.respond(Response::Forwarded { server });
        }
        if code.is_not_run() {
            return self.on_not_run(now_ms, code);
        }
        self.on_uncertain(now_ms, code)
    }

    /// The last server tried certainly did not run the request and never will.
    fn on_not_run<A>(&mut self, now_ms: u64, code: ResultCode) -> Vec<Action<A>> {
        self.last_refusal = code;
        if self.can_retry(now_ms) && is_retryable(code) {
            return self.send(now_ms);
        }
        self.stop(code)
    }

    /// The last server tried may have run the request.
    fn on_uncertain<A>(&mut self, now_ms: u64, code: ResultCode) -> Vec<Action<A>> {
        self.may_have_run = true;
        let can_rerun = self.options.idempotent && code == ResultCode::OutcomeUnknown;
        if can_rerun && self.can_retry(now_ms) {
            return self.send(now_ms);
        }
        self.respond(Response::Code(code))
    }

    fn on_lost<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        if self.options.idempotent && self.can_retry(now_ms) {
            self.may_have_run = true;
            return self.send(now_ms);
        }
        self.query(now_ms, server)
    }

    fn cancel_and_query<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        self.is_cancelled = true;
        self.query(now_ms, server)
    }

    fn query<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        if self.is_overdue(now_ms) {
            return self.respond(Response::Code(self.overdue_code()));
        }
        self.state = FlowState::Querying { server };
        vec![
            Action::Query {
                server,
                fence: true,
            },
            Action::Wait {
                until_ms: self.query_timeout_ms(now_ms),
            },
        ]
    }

    fn on_query_result<A>(
        &mut self,
        now_ms: u64,
        server: usize,
        result: QueryResult<A>,
    ) -> Vec<Action<A>> {
        match result {
            QueryResult::Done(answer) => self.respond(Response::Fetched(answer)),
            QueryResult::NotRun(code) => self.on_not_run(now_ms, code),
            QueryResult::Unknown(code) => self.on_uncertain(now_ms, code),
            QueryResult::InProgress => {
                self.is_known_running = true;
                self.wait_to_query(now_ms, server)
            }
        }
    }

    fn wait_to_query<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        if self.is_overdue(now_ms) {
            return self.respond(Response::Code(self.overdue_code()));
        }
        self.state = FlowState::WaitingToQuery { server };
        vec![Action::Wait {
            until_ms: now_ms + self.options.query_interval_ms,
        }]
    }

    fn stop<A>(&mut self, code: ResultCode) -> Vec<Action<A>> {
        let code = match (self.may_have_run, self.servers_tried) {
            (true, _) => ResultCode::OutcomeUnknown,
            (false, servers_tried) if servers_tried > 1 && code == ResultCode::RouteInactive => {
                self.last_refusal
            }
            _ => code,
        };
        self.respond(Response::Code(code))
    }

    fn respond<A>(&mut self, response: Response<A>) -> Vec<Action<A>> {
        self.state = FlowState::Ended;
        vec![Action::Respond(response)]
    }

    fn can_retry(&self, now_ms: u64) -> bool {
        !self.is_cancelled
            && now_ms < self.options.deadline_ms
            && self.servers_tried < self.options.max_attempts
            && may_retry(self.options.depth, self.options.attempts_left)
    }

    fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms >= self.options.deadline_ms + self.options.grace_ms
    }

    /// Result code when the time for queries is over.
    fn overdue_code(&self) -> ResultCode {
        match self.is_known_running && !self.may_have_run {
            true => ResultCode::DeadlineExceeded,
            false => ResultCode::OutcomeUnknown,
        }
    }

    fn query_timeout_ms(&self, now_ms: u64) -> u64 {
        let end_ms = self.options.deadline_ms + self.options.grace_ms;
        end_ms.min(now_ms + self.options.grace_ms)
    }
}

/// Whether another server may accept a request that one refused with `code`.
fn is_retryable(code: ResultCode) -> bool {
    match code {
        ResultCode::DeadlinePassed
        | ResultCode::RequestMalformed
        | ResultCode::RequestTooLarge
        | ResultCode::Cancelled => false,
        _ => code.is_not_run(),
    }
}
