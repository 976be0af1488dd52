//! The ingress side of one request: where it is sent, when it is sent again, and what the caller is
//! told.
//!
//! Servers are numbered in the order in which the driver picked them for this request; the driver
//! picks a new one when it is asked for the number after the last.
use jayrack_protocol::ResultCode;

use crate::{ledger::QueryResult, retry::may_retry};

/// Settings of a [`RequestFlow`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Options {
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Position in the tree of requests that serves one customer request.
    pub depth: u32,
    /// Attempts left that travelled with the request.
    pub attempts_left: Option<u32>,
    /// Greatest number of servers tried.
    pub max_attempts: usize,
    /// Deadline, in milliseconds of the local monotonic clock.
    pub deadline_ms: u64,
    /// Time after the deadline in which the outcome is still asked for, in milliseconds.
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

/// What happened to the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input<A> {
    /// The caller's request is complete.
    Start,
    /// The owner of a server answered.
    Answer {
        /// Number of the server.
        server: usize,
        /// `Ok` with the backend server's answer, or the owner's code.
        code: ResultCode,
    },
    /// The connection was lost after the request was sent, or after a part of it was.
    Lost {
        /// Number of the server.
        server: usize,
    },
    /// Nothing of the request was sent, as no connection could be had.
    NotSent {
        /// Number of the server.
        server: usize,
    },
    /// No further server can be tried, for this reason.
    NoServer(ResultCode),
    /// An owner answered a query.
    QueryReply {
        /// Number of the server.
        server: usize,
        /// What it knows.
        result: QueryResult<A>,
    },
    /// A query could not be sent or its answer was lost.
    QueryLost {
        /// Number of the server.
        server: usize,
    },
    /// The time of the last [`Action::Wait`] was reached.
    Timeout,
    /// The caller went away.
    Cancel,
}

/// What the caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response<A> {
    /// The answer that the server's owner is sending.
    Forwarded {
        /// Number of the server.
        server: usize,
    },
    /// An answer fetched from an owner's ledger.
    Fetched(A),
    /// A result code; see [`ResultCode::is_not_run`].
    Refused(ResultCode),
}

/// What the driver has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action<A> {
    /// Send the request to the server with this number. For a number other than 0, a retry has to be
    /// taken from the budget first; if none is left the input is [`Input::NoServer`].
    Send {
        /// Number of the server.
        server: usize,
    },
    /// Ask the server's owner for the outcome, over a new connection.
    Query {
        /// Number of the server.
        server: usize,
        /// Whether a request that has not been dispatched must never be.
        fence: bool,
    },
    /// Give [`Input::Timeout`] at this time, in place of the time asked for before.
    Wait {
        /// Milliseconds of the local monotonic clock.
        until_ms: u64,
    },
    /// Tell the caller; the flow has ended.
    Respond(Response<A>),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum FlowState {
    New,
    Sent { server: usize },
    Asking { server: usize },
    Pausing { server: usize },
    Ended,
}

/// One request at its ingress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RequestFlow {
    options: Options,
    state: FlowState,
    tried: usize,
    refusal: ResultCode,
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
            tried: 0,
            refusal: ResultCode::OwnerUnreachable,
            may_have_run: false,
            is_known_running: false,
            is_cancelled: false,
        }
    }

    /// Whether the caller was answered.
    pub fn is_ended(&self) -> bool {
        self.state == FlowState::Ended
    }

    /// Takes an input that happened at `now_ms` and returns what to do, in order.
    pub fn handle<A>(&mut self, now_ms: u64, input: Input<A>) -> Vec<Action<A>> {
        match (self.state, input) {
            (FlowState::Ended, _) => Vec::new(),
            (FlowState::New, Input::Start) => self.send(now_ms),
            (_, Input::NoServer(code)) => self.stop(code),
            (FlowState::Sent { server: at }, Input::Answer { server, code }) if at == server => {
                self.answered(now_ms, server, code)
            }
            (FlowState::Sent { server: at }, Input::NotSent { server }) if at == server => {
                self.refused(now_ms, ResultCode::OwnerUnreachable)
            }
            (FlowState::Sent { server: at }, Input::Lost { server }) if at == server => {
                self.lost(now_ms, server)
            }
            (FlowState::Sent { server }, Input::Timeout | Input::Cancel) => {
                self.give_up(now_ms, server)
            }
            (FlowState::Asking { server: at }, Input::QueryReply { server, result })
                if at == server =>
            {
                self.told(now_ms, server, result)
            }
            (FlowState::Asking { server: at }, Input::QueryLost { server }) if at == server => {
                self.pause(now_ms, server)
            }
            (FlowState::Asking { server }, Input::Timeout) => self.pause(now_ms, server),
            (FlowState::Pausing { server }, Input::Timeout) => self.ask(now_ms, server),
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
        let server = self.tried;
        self.tried += 1;
        self.state = FlowState::Sent { server };
        vec![
            Action::Send { server },
            Action::Wait {
                until_ms: self.options.deadline_ms,
            },
        ]
    }

    fn answered<A>(&mut self, now_ms: u64, server: usize, code: ResultCode) -> Vec<Action<A>> {
        if code == ResultCode::Ok {
            return self.respond(Response::Forwarded { server });
        }
        if code.is_not_run() {
            return self.refused(now_ms, code);
        }
        self.uncertain(now_ms, code)
    }

    /// The last server tried certainly did not and will not run the request.
    fn refused<A>(&mut self, now_ms: u64, code: ResultCode) -> Vec<Action<A>> {
        self.refusal = code;
        if self.may_send_again(now_ms) && is_worth_retry(code) {
            return self.send(now_ms);
        }
        self.stop(code)
    }

    /// The last server tried may have run the request.
    fn uncertain<A>(&mut self, now_ms: u64, code: ResultCode) -> Vec<Action<A>> {
        self.may_have_run = true;
        let can_repeat = self.options.idempotent && code == ResultCode::OutcomeUnknown;
        if can_repeat && self.may_send_again(now_ms) {
            return self.send(now_ms);
        }
        self.respond(Response::Refused(code))
    }

    fn lost<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        if self.options.idempotent && self.may_send_again(now_ms) {
            self.may_have_run = true;
            return self.send(now_ms);
        }
        self.ask(now_ms, server)
    }

    fn give_up<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        self.is_cancelled = true;
        self.ask(now_ms, server)
    }

    fn ask<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        if self.is_overdue(now_ms) {
            return self.respond(Response::Refused(self.overdue_code()));
        }
        self.state = FlowState::Asking { server };
        vec![
            Action::Query {
                server,
                fence: true,
            },
            Action::Wait {
                until_ms: self.last_ms(now_ms),
            },
        ]
    }

    fn told<A>(&mut self, now_ms: u64, server: usize, result: QueryResult<A>) -> Vec<Action<A>> {
        match result {
            QueryResult::Done(answer) => self.respond(Response::Fetched(answer)),
            QueryResult::NotRun(code) => self.refused(now_ms, code),
            QueryResult::Unknown(code) => self.uncertain(now_ms, code),
            QueryResult::InProgress => {
                self.is_known_running = true;
                self.pause(now_ms, server)
            }
        }
    }

    fn pause<A>(&mut self, now_ms: u64, server: usize) -> Vec<Action<A>> {
        if self.is_overdue(now_ms) {
            return self.respond(Response::Refused(self.overdue_code()));
        }
        self.state = FlowState::Pausing { server };
        vec![Action::Wait {
            until_ms: now_ms + self.options.query_interval_ms,
        }]
    }

    fn stop<A>(&mut self, code: ResultCode) -> Vec<Action<A>> {
        let code = match (self.may_have_run, self.tried) {
            (true, _) => ResultCode::OutcomeUnknown,
            (false, tried) if tried > 1 && code == ResultCode::RouteInactive => self.refusal,
            _ => code,
        };
        self.respond(Response::Refused(code))
    }

    fn respond<A>(&mut self, response: Response<A>) -> Vec<Action<A>> {
        self.state = FlowState::Ended;
        vec![Action::Respond(response)]
    }

    fn may_send_again(&self, now_ms: u64) -> bool {
        !self.is_cancelled
            && now_ms < self.options.deadline_ms
            && self.tried < self.options.max_attempts
            && may_retry(self.options.depth, self.options.attempts_left)
    }

    fn is_overdue(&self, now_ms: u64) -> bool {
        now_ms >= self.options.deadline_ms + self.options.grace_ms
    }

    /// What is known when the time for queries is over.
    fn overdue_code(&self) -> ResultCode {
        match self.is_known_running && !self.may_have_run {
            true => ResultCode::DeadlineExceeded,
            false => ResultCode::OutcomeUnknown,
        }
    }

    fn last_ms(&self, now_ms: u64) -> u64 {
        let end_ms = self.options.deadline_ms + self.options.grace_ms;
        end_ms.min(now_ms + self.options.grace_ms)
    }
}

/// Whether another server may take a request that one refused with `code`.
fn is_worth_retry(code: ResultCode) -> bool {
    match code {
        ResultCode::DeadlinePassed
        | ResultCode::RequestMalformed
        | ResultCode::RequestTooLarge
        | ResultCode::Cancelled => false,
        _ => code.is_not_run(),
    }
}
