//! Lender and borrower of one daemon, and the exchange with other daemons.
use std::{collections::BTreeMap, net::IpAddr};

use super::{
    AllowanceMessage, LeaseRequest, OverrunBounds, StandbyNotice, TokenLease,
    borrower::{
        AllowanceDecision, BorrowInput, BorrowOutcome, BorrowerCounts, BorrowerOutput,
        ReceivedLease, TokenBorrower, TokenPermit,
    },
    contacts::ContactTable,
    lender::{LenderRole, LendingTerms, TokenLender},
    lender_order,
};
use crate::tenants::TenantAllowance;

/// Interval in which [`AllowanceNode::tick`] is to be called at least, in milliseconds.
pub const TICK_INTERVAL_MS: u64 = 100;
/// Time without a tick after which the process counts as having been suspended, in milliseconds: several times the
/// interval, since a busy host delays ticks.
const SUSPENSION_MS: u64 = 800;
/// Interval between two checks of the tenants that this daemon lends for, in milliseconds.
const ROLE_INTERVAL_MS: u64 = 500;
/// Interval in which a tenant's being over its limit is reported, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// Hosts as one daemon sees them, with itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Hosts that may be lenders.
    pub live: Vec<IpAddr>,
    /// Hosts that share the rate: the live ones and those that are silent, but not for long.
    pub counted: Vec<IpAddr>,
}

/// Event to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AllowanceEvent {
    /// This daemon has become the lender of a tenant.
    TookOver(String),
    /// Requests of a tenant are refused here.
    OverLimit(String),
}

/// Numbers since the start, over all tenants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AllowanceCounts {
    /// Requests and lease requests of this daemon.
    pub borrower: BorrowerCounts,
    /// Tokens that this daemon lent.
    pub lent: u64,
    /// Tokens that were given back to it.
    pub returned: u64,
}

/// The part of one daemon in the rate limits.
#[derive(Debug)]
pub struct AllowanceNode {
    local: IpAddr,
    lender: TokenLender,
    borrower: TokenBorrower,
    contacts: ContactTable,
    fleet: FleetView,
    limits: BTreeMap<String, TenantAllowance>,
    /// Lenders by tenant for the current fleet.
    orders: BTreeMap<String, Vec<IpAddr>>,
    outgoing: Vec<(IpAddr, AllowanceMessage)>,
    decisions: Vec<(u64, AllowanceDecision)>,
    events: Vec<AllowanceEvent>,
    reported_ms: BTreeMap<String, u64>,
    ticked_ms: u64,
    roles_ms: u64,
}

impl AllowanceNode {
    /// Creates the part of the daemon at `local`; see [`TokenBorrower::new`] for `first_id` and `seed`.
    pub fn new(local: IpAddr, bounds: OverrunBounds, first_id: u64, seed: u64) -> Self {
        Self {
            local,
            lender: TokenLender::new(bounds),
            borrower: TokenBorrower::new(bounds, first_id, seed),
            contacts: ContactTable::default(),
            fleet: FleetView {
                live: vec![local],
                counted: vec![local],
            },
            limits: BTreeMap::new(),
            orders: BTreeMap::new(),
            outgoing: Vec::new(),
            decisions: Vec::new(),
            events: Vec::new(),
            reported_ms: BTreeMap::new(),
            ticked_ms: 0,
            roles_ms: 0,
        }
    }

    /// Replaces the view of the fleet.
    pub fn set_fleet(&mut self, fleet: FleetView) {
        if fleet == self.fleet {
            return;
        }
        let others: Vec<IpAddr> = fleet
            .counted
            .iter()
            .copied()
            .filter(|host| *host != self.local)
            .collect();
        self.contacts.set_hosts(&others);
        self.orders.clear();
        self.fleet = fleet;
    }

    /// Replaces the limits of the tenants that have one.
    pub fn set_limits(&mut self, limits: BTreeMap<String, TenantAllowance>) {
        self.orders.retain(|tenant, _| limits.contains_key(tenant));
        self.limits = limits;
    }

    /// Records that a datagram of `host` was received.
    pub fn record_heard(&mut self, now_ms: u64, host: IpAddr) {
        self.borrower.record_heard(host);
        self.contacts.record_heard(now_ms, host);
    }

    /// Decides about a request of `tenant`, whose limit is `allowance`.
    pub fn request(
        &mut self,
        now_ms: u64,
        tenant: &str,
        allowance: TenantAllowance,
    ) -> BorrowOutcome {
        self.check_suspension(now_ms);
        let lenders = self.lenders(tenant);
        let input = BorrowInput {
            now_ms,
            tenant,
            allowance,
            lenders: &lenders,
            hosts: self.fleet.counted.len(),
        };
        let mut out = BorrowerOutput::default();
        let outcome = self.borrower.request(&input, &mut out);
        if let BorrowOutcome::Decided(AllowanceDecision::Refuse(_)) = outcome {
            self.report_over_limit(now_ms, tenant);
        }
        self.apply(now_ms, out);
        // The own lender has already decided.
        let decided = match outcome {
            BorrowOutcome::Waiting(ticket) => {
                let index = self
                    .decisions
                    .iter()
                    .position(|(other, _)| *other == ticket);
                index.map(|index| self.decisions.swap_remove(index).1)
            }
            BorrowOutcome::Decided(_) => None,
        };
        decided.map_or(outcome, BorrowOutcome::Decided)
    }

    /// Takes back the token of a request that has certainly not run.
    pub fn give_back(&mut self, now_ms: u64, tenant: &str, permit: TokenPermit) {
        self.borrower.give_back(now_ms, tenant, permit);
    }

    /// Removes a request whose caller has left from those that wait.
    pub fn withdraw(&mut self, tenant: &str, ticket: u64) {
        self.borrower.withdraw(tenant, ticket);
    }

    /// Handles a message of the daemon at `sender`.
    pub fn receive(&mut self, now_ms: u64, sender: IpAddr, message: &AllowanceMessage) {
        self.check_suspension(now_ms);
        self.record_heard(now_ms, sender);
        match message {
            AllowanceMessage::Request(request) => self.lend(now_ms, sender, request),
            AllowanceMessage::Lease(lease) if !lease.tenant.is_empty() => {
                self.borrow(now_ms, sender, lease);
            }
            AllowanceMessage::Lease(_) => {}
            AllowanceMessage::Notice(notice) => {
                if let Some(terms) = self.terms(now_ms, &notice.tenant) {
                    self.lender.record_standby(sender, notice, &terms);
                }
            }
        }
    }

    /// Sends requests again, gives back expired tokens, probes hosts and checks roles.
    pub fn tick(&mut self, now_ms: u64) {
        self.check_suspension(now_ms);
        let mut out = BorrowerOutput::default();
        self.borrower.tick(now_ms, &mut out);
        self.apply(now_ms, out);
        if now_ms >= self.roles_ms + ROLE_INTERVAL_MS {
            self.roles_ms = now_ms;
            self.take_roles(now_ms);
        }
        if self.lender.is_scarce(now_ms) {
            for host in self.contacts.probes_due(now_ms) {
                let probe = LeaseRequest {
                    tenant: String::new(),
                    id: 0,
                    tokens: 0,
                    returned: 0,
                };
                self.outgoing.push((host, AllowanceMessage::Request(probe)));
            }
        }
    }

    /// When [`AllowanceNode::tick`] is due next because of an unanswered request, in milliseconds.
    pub fn due_ms(&self) -> Option<u64> {
        self.borrower.due_ms()
    }

    /// Whether there are messages to send.
    pub fn has_outgoing(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Removes and returns the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<(IpAddr, AllowanceMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Removes and returns the decisions about waiting requests.
    pub fn take_decisions(&mut self) -> Vec<(u64, AllowanceDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Removes and returns the events to log.
    pub fn take_events(&mut self) -> Vec<AllowanceEvent> {
        std::mem::take(&mut self.events)
    }

    /// Numbers since the start.
    pub fn counts(&self) -> AllowanceCounts {
        AllowanceCounts {
            borrower: self.borrower.counts,
            lent: self.lender.lent,
            returned: self.lender.returned,
        }
    }

    /// Number of tenants with state here, as borrower and as lender.
    pub fn tenants_in_use(&self) -> (usize, usize) {
        (self.borrower.len(), self.lender.len())
    }

    fn check_suspension(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.ticked_ms) > SUSPENSION_MS {
            self.lender.restart(now_ms);
        }
        self.ticked_ms = now_ms;
    }

    fn lenders(&mut self, tenant: &str) -> Vec<IpAddr> {
        if let Some(order) = self.orders.get(tenant) {
            return order.clone();
        }
        let order = lender_order(tenant, &self.fleet.live);
        // Only limited tenants are remembered, which the configuration bounds.
        if self.limits.contains_key(tenant) {
            self.orders.insert(tenant.to_string(), order.clone());
        }
        order
    }

    fn terms(&mut self, now_ms: u64, tenant: &str) -> Option<LendingTerms> {
        let allowance = *self.limits.get(tenant)?;
        let role = match self.lenders(tenant).first() == Some(&self.local) {
            true => LenderRole::Lender,
            false => LenderRole::Standby,
        };
        let live = self.fleet.live.len() as f64;
        let counted = self.fleet.counted.len().max(1) as f64;
        Some(LendingTerms {
            now_ms,
            allowance,
            role,
            share: self.contacts.share(now_ms).min(live / counted),
        })
    }

    fn lend(&mut self, now_ms: u64, borrower: IpAddr, request: &LeaseRequest) {
        let lease = if request.tenant.is_empty() {
            Some(TokenLease {
                tenant: String::new(),
                id: request.id,
                tokens: 0,
                wait_ms: 0,
            })
        } else {
            let lent_before = self.lender.lent_for(&request.tenant);
            let terms = self.terms(now_ms, &request.tenant);
            let lease = terms.and_then(|terms| self.lender.lend(borrower, request, &terms));
            if self.lender.lent_for(&request.tenant) > lent_before {
                self.notify_earlier_lenders(&request.tenant);
            }
            lease
        };
        let Some(lease) = lease else {
            return;
        };
        if borrower == self.local {
            self.borrow(now_ms, borrower, &lease);
        } else {
            self.outgoing
                .push((borrower, AllowanceMessage::Lease(lease)));
        }
    }

    /// Tells the hosts before this one in the tenant's order what it has lent; none if it is the lender.
    fn notify_earlier_lenders(&mut self, tenant: &str) {
        let order = self.lenders(tenant);
        let earlier = order.into_iter().take_while(|host| *host != self.local);
        let notice = StandbyNotice {
            tenant: tenant.to_string(),
            lent: self.lender.lent_for(tenant),
        };
        let notices = earlier.map(|host| (host, AllowanceMessage::Notice(notice.clone())));
        self.outgoing.extend(notices);
    }

    fn borrow(&mut self, now_ms: u64, lender: IpAddr, lease: &TokenLease) {
        let lenders = self.lenders(&lease.tenant);
        let mut out = BorrowerOutput::default();
        let received = ReceivedLease {
            now_ms,
            lender,
            lease,
            lenders: &lenders,
        };
        self.borrower.receive(&received, &mut out);
        let is_refused = |(_, decision): &(u64, AllowanceDecision)| {
            matches!(decision, AllowanceDecision::Refuse(_))
        };
        if out.decisions.iter().any(is_refused) {
            self.report_over_limit(now_ms, &lease.tenant);
        }
        self.apply(now_ms, out);
    }

    /// Queues messages to other daemons and handles those to the own lender.
    fn apply(&mut self, now_ms: u64, out: BorrowerOutput) {
        self.decisions.extend(out.decisions);
        for (lender, request) in out.requests {
            if lender == self.local {
                self.lend(now_ms, lender, &request);
            } else {
                self.outgoing
                    .push((lender, AllowanceMessage::Request(request)));
            }
        }
    }

    fn take_roles(&mut self, now_ms: u64) {
        let tenants: Vec<String> = self.limits.keys().cloned().collect();
        for tenant in tenants {
            let terms = self.terms(now_ms, &tenant);
            let is_lender = |terms: &LendingTerms| terms.role == LenderRole::Lender;
            if let Some(terms) = terms.filter(is_lender)
                && self.lender.take_role(&tenant, &terms)
            {
                self.events.push(AllowanceEvent::TookOver(tenant));
            }
        }
        let (limits, orders, local) = (&self.limits, &self.orders, self.local);
        let is_lender = |tenant: &str| {
            let order = orders.get(tenant);
            order.and_then(|order| order.first()) == Some(&local)
        };
        self.lender.step_down(now_ms, is_lender);
        self.lender
            .clean_up(now_ms, |tenant| limits.contains_key(tenant));
        self.reported_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < REPORT_INTERVAL_MS);
    }

    fn report_over_limit(&mut self, now_ms: u64, tenant: &str) {
        if !self.reported_ms.contains_key(tenant) {
            self.reported_ms.insert(tenant.to_string(), now_ms);
            self.events
                .push(AllowanceEvent::OverLimit(tenant.to_string()));
        }
    }
}
