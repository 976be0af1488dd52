//! Tokens that a daemon holds, and when it asks for more.
use std::{
    collections::{BTreeMap, VecDeque},
    net::IpAddr,
};

use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

pub use super::borrowing::{
    AllowanceDecision, BorrowInput, BorrowOutcome, BorrowerCounts, BorrowerOutput, ReceivedLease,
    TokenPermit,
};
use super::{LEASE_VALIDITY_MS, LeaseRequest, OverrunBounds, account::TenantAccount};

/// Times after the first request at which it is sent again, in milliseconds, each with the index of the lender that it
/// is sent to. A round trip takes up to 3 ms, more on a busy host; a datagram may be lost.
/// Later ones are asked in pairs, so that the hosts of one side of a cut find one on their side.
const RESEND_SCHEDULE: [(u64, usize); 6] = [(12, 0), (25, 1), (35, 2), (35, 3), (45, 4), (45, 5)];
/// Time after which a request counts as unanswered, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 55;
/// Time for which a lender that did not answer is asked only after the others, in milliseconds, unless it is heard
/// before: longer than the interval of a small tenant's requests at most hosts, which would each wait for it.
const SUSPECT_MS: u64 = 3_000;
/// Time in which an answer shows that the lender is there, in milliseconds. If another request to it is not answered,
/// probably only datagrams were lost, and tokens that a standby lends meanwhile come on top of the lender's.
const RECENT_ANSWER_MS: u64 = 500;
/// Time after an unanswered request in which only the daemon's own share is used, in milliseconds.
const OWN_SHARE_MS: u64 = 500;
/// The same while there are lenders that were not asked yet.
const SHORT_OWN_SHARE_MS: u64 = 20;
/// Bounds of the time for which a lender that had too few tokens is not asked again, in milliseconds: requests in
/// between are refused without a datagram.
const PAUSE_BOUNDS_MS: (u64, u64) = (10, 100);
/// Time without requests after which a tenant's account is removed, in milliseconds.
const ACCOUNT_MEMORY_MS: u64 = 10_000;

/// A request for tokens that was not answered yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    request: LeaseRequest,
    lenders: Vec<IpAddr>,
    sent_ms: u64,
    /// Entries of [`RESEND_SCHEDULE`] that were carried out.
    resends: usize,
}

impl PendingRequest {
    fn due_ms(&self) -> u64 {
        let next = RESEND_SCHEDULE.get(self.resends);
        self.sent_ms + next.map_or(ANSWER_TIMEOUT_MS, |(after_ms, _)| *after_ms)
    }
}

/// Tokens of all tenants at one daemon.
#[derive(Debug)]
pub struct TokenBorrower {
    bounds: OverrunBounds,
    accounts: BTreeMap<String, TenantAccount>,
    /// Lenders that did not answer, with the time until which they are asked last.
    suspects: BTreeMap<IpAddr, u64>,
    /// When lenders last answered.
    answered_ms: BTreeMap<IpAddr, u64>,
    next_id: u64,
    next_ticket: u64,
    random: Pcg32,
    /// Counts since the start.
    pub counts: BorrowerCounts,
}

impl TokenBorrower {
    /// Creates a borrower without tokens. `first_id` must be above all identifiers that an earlier process of the same
    /// host has used lately; `seed` determines random choices.
    pub fn new(bounds: OverrunBounds, first_id: u64, seed: u64) -> Self {
        Self {
            bounds,
            accounts: BTreeMap::new(),
            suspects: BTreeMap::new(),
            answered_ms: BTreeMap::new(),
            next_id: first_id,
            next_ticket: 0,
            random: Pcg32::seed_from_u64(seed),
            counts: BorrowerCounts::default(),
        }
    }

    /// Decides about a request, or asks for a token.
    pub fn request(&mut self, input: &BorrowInput<'_>, out: &mut BorrowerOutput) -> BorrowOutcome {
        let now_ms = input.now_ms;
        if !self.accounts.contains_key(input.tenant) {
            let account = TenantAccount::new(now_ms, self.random_fraction());
            self.accounts.insert(input.tenant.to_string(), account);
        }
        let mut account = self.accounts.remove(input.tenant).expect("inserted above");
        account.record_request(now_ms, input.allowance, input.hosts);
        let outcome = self.decide(input, &mut account, out);
        self.accounts.insert(input.tenant.to_string(), account);
        outcome
    }

    fn decide(
        &mut self,
        input: &BorrowInput<'_>,
        account: &mut TenantAccount,
        out: &mut BorrowerOutput,
    ) -> BorrowOutcome {
        let now_ms = input.now_ms;
        if account.waiting.is_empty()
            && let Some(permit) = account.take(now_ms)
        {
            self.ask_ahead(input, account, out);
            return BorrowOutcome::Decided(self.run(account, now_ms, permit));
        }
        if now_ms < account.own_until_ms {
            let share = account.take_own(now_ms, &self.bounds);
            return BorrowOutcome::Decided(match share {
                Some(permit) => self.run(account, now_ms, permit),
                None => self.refuse(account, now_ms),
            });
        }
        if now_ms < account.paused_until_ms {
            return BorrowOutcome::Decided(self.refuse(account, now_ms));
        }
        self.next_ticket += 1;
        account.waiting.push_back(self.next_ticket);
        if account.pending.is_none() {
            self.ask(input, account, out);
        }
        BorrowOutcome::Waiting(self.next_ticket)
    }

    fn run(
        &mut self,
        account: &mut TenantAccount,
        now_ms: u64,
        permit: TokenPermit,
    ) -> AllowanceDecision {
        self.counts.admitted += 1;
        account.grants.add(now_ms);
        AllowanceDecision::Run(permit)
    }

    fn refuse(&mut self, account: &mut TenantAccount, now_ms: u64) -> AllowanceDecision {
        self.counts.refused += 1;
        let fraction = self.random_fraction();
        AllowanceDecision::Refuse(account.retry_after_ms(now_ms, fraction))
    }

    /// Asks for the tokens of the next requests when less than half of them is held.
    fn ask_ahead(
        &mut self,
        input: &BorrowInput<'_>,
        account: &mut TenantAccount,
        out: &mut BorrowerOutput,
    ) {
        let wanted = account.wanted(input.now_ms, &self.bounds);
        let is_paused = input.now_ms < account.paused_until_ms.max(account.own_until_ms);
        if account.held() * 2 < wanted && account.pending.is_none() && !is_paused {
            self.ask(input, account, out);
        }
    }

    fn ask(
        &mut self,
        input: &BorrowInput<'_>,
        account: &mut TenantAccount,
        out: &mut BorrowerOutput,
    ) {
        let now_ms = input.now_ms;
        let wanted = account.wanted(now_ms, &self.bounds);
        let needed = wanted.saturating_sub(account.held()) + account.waiting.len() as u32;
        let (trusted, suspects): (Vec<IpAddr>, Vec<IpAddr>) = input
            .lenders
            .iter()
            .partition(|lender| !self.is_suspect(now_ms, **lender));
        let lenders = [trusted, suspects].concat();
        let Some(lender) = lenders.first().copied() else {
            return;
        };
        self.next_id += 1;
        let request = LeaseRequest {
            tenant: input.tenant.to_string(),
            id: self.next_id,
            tokens: needed.max(1),
            returned: 0,
        };
        out.requests.push((
            lender,
            LeaseRequest {
                returned: account.returned.remove(&lender).unwrap_or(0),
                ..request.clone()
            },
        ));
        account.pending = Some(PendingRequest {
            request,
            lenders,
            sent_ms: now_ms,
            resends: 0,
        });
    }

    fn is_suspect(&self, now_ms: u64, lender: IpAddr) -> bool {
        let until_ms = self.suspects.get(&lender);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Applies a lease.
    ///
    /// The tokens of an answer that comes too late are given back; copies of an answer are ignored.
    pub fn receive(&mut self, received: &ReceivedLease<'_>, out: &mut BorrowerOutput) {
        let ReceivedLease {
            now_ms,
            lender,
            lease,
            lenders,
        } = *received;
        self.suspects.remove(&lender);
        self.answered_ms.insert(lender, now_ms);
        let Some(mut account) = self.accounts.remove(&lease.tenant) else {
            return;
        };
        if account.record_answer(lease.id, lender) {
            account.own_until_ms = 0;
            let pending = account
                .pending
                .take_if(|pending| pending.request.id == lease.id);
            match pending {
                Some(pending) => {
                    let expires_ms = pending.sent_ms + LEASE_VALIDITY_MS;
                    let tokens = lease.tokens.min(pending.request.tokens);
                    account.hold(lender, tokens, expires_ms);
                    if lease.tokens < pending.request.tokens {
                        let (min_ms, max_ms) = PAUSE_BOUNDS_MS;
                        let pause_ms = u64::from(lease.wait_ms).clamp(min_ms, max_ms);
                        account.paused_until_ms = now_ms + pause_ms;
                    }
                    let input = account.input(now_ms, &lease.tenant, lenders);
                    self.serve_waiting(&input, &mut account, out);
                }
                None if lease.tokens > 0 => {
                    *account.returned.entry(lender).or_default() += lease.tokens;
                }
                None => {}
            }
        }
        self.accounts.insert(lease.tenant.clone(), account);
    }

    /// Lets waiting requests run with the tokens held; the others are refused if the lender had too few.
    fn serve_waiting(
        &mut self,
        input: &BorrowInput<'_>,
        account: &mut TenantAccount,
        out: &mut BorrowerOutput,
    ) {
        let now_ms = input.now_ms;
        while !account.waiting.is_empty() {
            let Some(permit) = account.take(now_ms) else {
                break;
            };
            let ticket = account.waiting.pop_front().expect("not empty");
            out.decisions
                .push((ticket, self.run(account, now_ms, permit)));
        }
        if account.waiting.is_empty() {
            return;
        }
        if now_ms < account.paused_until_ms {
            for ticket in std::mem::take(&mut account.waiting) {
                out.decisions.push((ticket, self.refuse(account, now_ms)));
            }
        } else if account.pending.is_none() {
            self.ask(input, account, out);
        }
    }

    /// Records that a datagram of `host` was received: it is no longer suspected.
    pub fn record_heard(&mut self, host: IpAddr) {
        self.suspects.remove(&host);
    }

    /// Takes back the token of a request that has certainly not run.
    pub fn give_back(&mut self, now_ms: u64, tenant: &str, permit: TokenPermit) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.give_back(now_ms, permit);
        }
    }

    /// Removes a request whose caller has left from those that wait.
    pub fn withdraw(&mut self, tenant: &str, ticket: u64) {
        if let Some(account) = self.accounts.get_mut(tenant) {
            account.waiting.retain(|waiting| *waiting != ticket);
        }
    }

    /// Sends unanswered requests again, uses the own share where no lender answers, and gives back expired tokens.
    pub fn tick(&mut self, now_ms: u64, out: &mut BorrowerOutput) {
        let mut accounts = std::mem::take(&mut self.accounts);
        for (tenant, account) in &mut accounts {
            account.expire(now_ms);
            self.resend(now_ms, account, out);
            for (lender, returned) in std::mem::take(&mut account.returned) {
                self.next_id += 1;
                let request = LeaseRequest {
                    tenant: tenant.clone(),
                    id: self.next_id,
                    tokens: 0,
                    returned,
                };
                out.requests.push((lender, request));
            }
        }
        accounts.retain(|_, account| account.is_in_use(now_ms, ACCOUNT_MEMORY_MS));
        self.accounts = accounts;
        self.suspects.retain(|_, until_ms| now_ms < *until_ms);
        self.answered_ms
            .retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < RECENT_ANSWER_MS);
    }

    fn resend(&mut self, now_ms: u64, account: &mut TenantAccount, out: &mut BorrowerOutput) {
        while let Some(pending) = &mut account.pending
            && pending.due_ms() <= now_ms
        {
            let Some((_, index)) = RESEND_SCHEDULE.get(pending.resends) else {
                if let Some(lender) = pending.lenders.get(RESEND_SCHEDULE.len() - 1)
                    && !is_recent(&self.answered_ms, now_ms, *lender)
                {
                    self.suspects.insert(*lender, now_ms + SUSPECT_MS);
                }
                self.use_own_share(now_ms, account, out);
                return;
            };
            pending.resends += 1;
            if let Some(silent) = index.checked_sub(1)
                && let Some(lender) = pending.lenders.get(silent)
            {
                if is_recent(&self.answered_ms, now_ms, *lender) {
                    pending.request.tokens = account.waiting.len().max(1) as u32;
                } else {
                    self.suspects.insert(*lender, now_ms + SUSPECT_MS);
                }
            }
            if let Some(lender) = pending.lenders.get(*index) {
                out.requests.push((*lender, pending.request.clone()));
            }
        }
    }

    /// Decides the waiting requests by the daemon's own share of the rate.
    fn use_own_share(
        &mut self,
        now_ms: u64,
        account: &mut TenantAccount,
        out: &mut BorrowerOutput,
    ) {
        self.counts.unanswered += 1;
        let lenders = account.pending.take().map(|pending| pending.lenders);
        let is_any_left = lenders.is_some_and(|lenders| {
            let mut lenders = lenders.iter();
            lenders.any(|lender| !self.is_suspect(now_ms, *lender))
        });
        let own_ms = match is_any_left {
            true => SHORT_OWN_SHARE_MS,
            false => OWN_SHARE_MS,
        };
        account.start_own(now_ms, now_ms + own_ms);
        for ticket in std::mem::take(&mut account.waiting) {
            let decision = match account.take_own(now_ms, &self.bounds) {
                Some(permit) => self.run(account, now_ms, permit),
                None => self.refuse(account, now_ms),
            };
            out.decisions.push((ticket, decision));
        }
    }

    /// When [`TokenBorrower::tick`] is due next, in milliseconds; `None` if nothing is pending.
    pub fn due_ms(&self) -> Option<u64> {
        let pending = self.accounts.values().filter_map(|account| {
            let pending = account.pending.as_ref();
            pending.map(PendingRequest::due_ms)
        });
        pending.min()
    }

    /// Number of tenants with an account.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no tenant has an account.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// A random number of at least 0 and below 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}

/// Whether `lender` has answered lately.
fn is_recent(answered_ms: &BTreeMap<IpAddr, u64>, now_ms: u64, lender: IpAddr) -> bool {
    let at_ms = answered_ms.get(&lender);
    at_ms.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < RECENT_ANSWER_MS)
}

/// Waiting requests, by their numbers in order of arrival.
pub(super) type WaitingTickets = VecDeque<u64>;
