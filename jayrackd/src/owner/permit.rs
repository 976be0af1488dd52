//! Guards of a request at the owner: a ticket while it waits, a permit while it runs.
use std::time::Instant;

use jayrack_protocol::{RequestId, ResultCode};
use tokio::sync::oneshot;

use super::{
    answer::StoredAnswer,
    gate::{OwnerGate, TicketDecision},
};

/// How a permitted request ended.
#[derive(Debug, Clone)]
pub(crate) enum RunOutcome {
    /// The backend server answered.
    Done(StoredAnswer),
    /// The backend server answered that it is overloaded (status 503).
    Shed(StoredAnswer),
    /// The backend server received the request and failed.
    Failed,
    /// The backend server may have run the request.
    Unknown,
    /// The backend server did not receive the request.
    NotRun(ResultCode),
}

/// A queued request; dropping the ticket withdraws it.
#[derive(Debug)]
pub(crate) struct Ticket {
    gate: OwnerGate,
    id: RequestId,
    server: String,
    receiver: Option<oneshot::Receiver<TicketDecision>>,
}

impl Ticket {
    pub(super) fn new(
        gate: OwnerGate,
        id: RequestId,
        server: &str,
        receiver: oneshot::Receiver<TicketDecision>,
    ) -> Self {
        Self {
            gate,
            id,
            server: server.to_string(),
            receiver: Some(receiver),
        }
    }

    /// Waits for the decision.
    ///
    /// # Errors
    ///
    /// Returns the code that the request is refused with; it was not run.
    pub(crate) async fn decision(&mut self) -> Result<Permit, ResultCode> {
        let receiver = self.receiver.as_mut().ok_or(ResultCode::Cancelled)?;
        let decision = receiver.await;
        self.receiver = None;
        match decision {
            Ok(TicketDecision::Run) => Ok(Permit::new(self)),
            Ok(TicketDecision::Refuse(code)) => Err(code),
            Err(_) => Err(ResultCode::Cancelled),
        }
    }

    /// Removes the request from the queue; it did not run and never will.
    pub(crate) fn withdraw(mut self, code: ResultCode) {
        self.cancel(code);
    }

    fn cancel(&mut self, code: ResultCode) {
        let Some(mut receiver) = self.receiver.take() else {
            return;
        };
        if let Ok(TicketDecision::Run) = receiver.try_recv() {
            let permit = Permit::new(self);
            permit.complete(RunOutcome::NotRun(code));
            return;
        }
        self.gate.withdraw(self.id, code);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.cancel(ResultCode::Cancelled);
    }
}

/// A slot of a backend server; if dropped without [`Permit::complete`], the outcome is unknown.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: OwnerGate,
    id: RequestId,
    server: String,
    started: Instant,
    run_outcome: RunOutcome,
}

impl Permit {
    fn new(ticket: &Ticket) -> Self {
        Self {
            gate: ticket.gate.clone(),
            id: ticket.id,
            server: ticket.server.clone(),
            started: Instant::now(),
            run_outcome: RunOutcome::Unknown,
        }
    }

    /// Releases the slot and records the outcome.
    pub(crate) fn complete(mut self, run_outcome: RunOutcome) {
        self.run_outcome = run_outcome;
    }

    /// Sets the outcome; it is recorded and the slot released when the permit is dropped.
    pub(crate) fn complete_on_drop(mut self, run_outcome: RunOutcome) -> Self {
        self.run_outcome = run_outcome;
        self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let service_us = self.started.elapsed().as_micros() as u64;
        let run_outcome = std::mem::replace(&mut self.run_outcome, RunOutcome::Unknown);
        self.gate
            .finish(&self.server, self.id, service_us, run_outcome);
    }
}
