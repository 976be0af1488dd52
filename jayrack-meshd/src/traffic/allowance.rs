//! Tenant rate limits: requests wait here for a token of their tenant.
//!
//! The decisions are in [`jayrack_mesh::allowance`]. The control thread sends and receives the messages between
//! daemons; see [`crate::control::allowance`].
use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use jayrack_mesh::{
    allowance::{
        AllowanceMessage, OverrunBounds,
        borrower::{AllowanceDecision, BorrowOutcome, TokenPermit},
        node::{AllowanceCounts, AllowanceEvent, AllowanceNode, FleetView},
    },
    tenants::TenantAllowance,
};
use jayrack_protocol::ResultCode;
use tokio::sync::{Notify, oneshot};

use super::{answer::CallerAnswer, forward, intake::CallerRequest, state::TrafficState};
use crate::{logging, settings::MeshSettings};

/// Minimum time in `Retry-After`, in milliseconds: a shorter one costs a connection and brings no token.
const MIN_RETRY_AFTER_MS: u64 = 50;
/// Identifiers reserved for each millisecond of the host's clock, so that those of a later process are higher.
const IDS_PER_MS: u64 = 4_096;

#[derive(Debug)]
struct AllowanceCore {
    node: AllowanceNode,
    waiting: BTreeMap<u64, oneshot::Sender<AllowanceDecision>>,
}

/// The daemon's part in the tenant rate limits, shared by its threads.
#[derive(Debug)]
pub struct AllowanceExchange {
    core: Mutex<AllowanceCore>,
    started: Instant,
    /// Wakes the task that sends messages.
    changed: Notify,
}

impl AllowanceExchange {
    /// Creates the exchange; `None` if the settings have no bounds for allowances.
    pub fn new(settings: &MeshSettings) -> Option<Self> {
        let bounds = settings.bounds.allowance.as_ref()?;
        let bounds = OverrunBounds {
            window_s: bounds.window_s,
            overrun: bounds.overrun,
            slack: bounds.slack,
        };
        let first_id = logging::unix_ms() * IDS_PER_MS;
        let seed = first_id ^ u64::from(std::process::id());
        let node = AllowanceNode::new(settings.host.address, bounds, first_id, seed);
        Some(Self {
            core: Mutex::new(AllowanceCore {
                node,
                waiting: BTreeMap::new(),
            }),
            started: Instant::now(),
            changed: Notify::new(),
        })
    }

    /// Waits for a token; dropping the future withdraws the request.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which a token is expected; the tenant is over its limit.
    pub async fn acquire(
        self: &Arc<Self>,
        tenant: &str,
        allowance: TenantAllowance,
    ) -> Result<AllowancePermit, u64> {
        let mut ticket = {
            let mut core = self.lock();
            let outcome = core.node.request(self.now_ms(), tenant, allowance);
            let number = match outcome {
                BorrowOutcome::Decided(decision) => {
                    self.settle(core);
                    return self.to_result(tenant, decision);
                }
                BorrowOutcome::Waiting(number) => number,
            };
            let (sender, receiver) = oneshot::channel();
            core.waiting.insert(number, sender);
            self.settle(core);
            AllowanceTicket {
                exchange: self.clone(),
                tenant: tenant.to_string(),
                number,
                receiver,
            }
        };
        let decision = (&mut ticket.receiver).await;
        // Each ticket is decided before its sender is dropped.
        self.to_result(tenant, decision.map_err(|_| MIN_RETRY_AFTER_MS)?)
    }

    fn to_result(
        self: &Arc<Self>,
        tenant: &str,
        decision: AllowanceDecision,
    ) -> Result<AllowancePermit, u64> {
        match decision {
            AllowanceDecision::Run(token) => Ok(AllowancePermit {
                exchange: self.clone(),
                tenant: tenant.to_string(),
                token,
            }),
            AllowanceDecision::Refuse(retry_after_ms) => Err(retry_after_ms),
        }
    }

    /// Handles a message of the daemon at `sender`.
    pub fn receive(&self, sender: IpAddr, message: &AllowanceMessage) {
        let mut core = self.lock();
        core.node.receive(self.now_ms(), sender, message);
        self.settle(core);
    }

    /// Records that a datagram of the daemon at `sender` was received.
    pub fn record_heard(&self, sender: IpAddr) {
        self.lock().node.record_heard(self.now_ms(), sender);
    }

    /// Replaces the view of the fleet.
    pub fn set_fleet(&self, fleet: FleetView) {
        self.lock().node.set_fleet(fleet);
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: BTreeMap<String, TenantAllowance>) {
        self.lock().node.set_limits(limits);
    }

    /// Carries out what is due, and returns the messages to send.
    pub fn tick(&self) -> ExchangeOutput {
        let mut core = self.lock();
        core.node.tick(self.now_ms());
        core.deliver();
        ExchangeOutput {
            messages: core.node.take_outgoing(),
            events: core.node.take_events(),
            counts: core.node.counts(),
            due_in_ms: core
                .node
                .due_ms()
                .map(|due_ms| due_ms.saturating_sub(self.now_ms())),
        }
    }

    /// Waits until a message is to be sent.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, AllowanceCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers decisions and wakes the sending task if there are messages.
    fn settle(&self, mut core: MutexGuard<'_, AllowanceCore>) {
        core.deliver();
        if core.node.has_outgoing() {
            self.changed.notify_one();
        }
    }
}

impl AllowanceCore {
    fn deliver(&mut self) {
        for (number, decision) in self.node.take_decisions() {
            if let Some(sender) = self.waiting.remove(&number) {
                // The ticket of a caller that has left takes the decision back when it is dropped.
                let _ = sender.send(decision);
            }
        }
    }
}

/// What is to be sent and logged after a step.
#[derive(Debug)]
pub struct ExchangeOutput {
    /// Messages by receiver.
    pub messages: Vec<(IpAddr, AllowanceMessage)>,
    /// Events to log.
    pub events: Vec<AllowanceEvent>,
    /// Numbers since the start.
    pub counts: AllowanceCounts,
    /// Time until the next step is due, in milliseconds.
    pub due_in_ms: Option<u64>,
}

/// A request that waits for a token; dropping the ticket withdraws it.
struct AllowanceTicket {
    exchange: Arc<AllowanceExchange>,
    tenant: String,
    number: u64,
    receiver: oneshot::Receiver<AllowanceDecision>,
}

impl Drop for AllowanceTicket {
    fn drop(&mut self) {
        let mut core = self.exchange.lock();
        if core.waiting.remove(&self.number).is_some() {
            core.node.withdraw(&self.tenant, self.number);
        }
        // A decision that was not awaited any more: the request does not run.
        if let Ok(AllowanceDecision::Run(token)) = self.receiver.try_recv() {
            let now_ms = self.exchange.now_ms();
            core.node.give_back(now_ms, &self.tenant, token);
        }
    }
}

/// The token of a request that may run; it is used up unless it is given back.
#[derive(Debug)]
pub struct AllowancePermit {
    exchange: Arc<AllowanceExchange>,
    tenant: String,
    token: TokenPermit,
}

impl AllowancePermit {
    /// Gives the token back: the request has certainly not run.
    pub fn give_back(self) {
        let now_ms = self.exchange.now_ms();
        let mut core = self.exchange.lock();
        core.node.give_back(now_ms, &self.tenant, self.token);
    }

    /// Gives the token back if `answer` guarantees that the request has not run.
    pub fn settle(self, answer: &CallerAnswer) {
        match answer {
            CallerAnswer::Refusal(..) => self.give_back(),
            CallerAnswer::Answer(_) | CallerAnswer::Code(_) => {}
        }
    }
}

/// Takes a token for a request of a tenant with a limit; `None` if nothing limits it.
///
/// Nested calls need none: the tenant sent only their root request, which has one.
pub(super) async fn admit(
    state: &TrafficState,
    request: &CallerRequest,
) -> Result<Option<AllowancePermit>, CallerAnswer> {
    let (Some(exchange), Some(tenant)) = (&state.mesh.allowance, &request.tenant) else {
        return Ok(None);
    };
    let Some(allowance) = tenant.allowance.filter(|_| request.urgency.stage > 0) else {
        return Ok(None);
    };
    let retry_after_ms = match exchange.acquire(&tenant.name, allowance).await {
        Ok(permit) => return Ok(Some(permit)),
        Err(retry_after_ms) => retry_after_ms.max(MIN_RETRY_AFTER_MS),
    };
    let code = ResultCode::AllowanceExceeded;
    let id = forward::request_id(&request.parts.headers);
    log::log!(
        target: logging::REQUEST,
        logging::request_level(id),
        id = id,
        route = request.route.name.as_str(),
        tenant = tenant.name.as_str(),
        pause_ms = retry_after_ms,
        code = code.name();
        "over the tenant's limit"
    );
    Err(CallerAnswer::Refusal(code, retry_after_ms))
}
