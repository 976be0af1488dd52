//! Tokens of one tenant at one daemon.
use std::{collections::BTreeMap, net::IpAddr};

use super::{
    LEASE_VALIDITY_MS, OverrunBounds, RateMeter,
    borrower::{BorrowInput, PendingRequest, TokenPermit, WaitingTickets},
};
use crate::tenants::TenantAllowance;

/// Answers that are remembered to recognise copies.
const REMEMBERED_ANSWERS: usize = 8;
/// Longest time that a refused caller is told to wait, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;

/// Tokens of one lease.
#[derive(Debug)]
struct LeasedTokens {
    lender: IpAddr,
    tokens: u32,
    expires_ms: u64,
}

/// The daemon's own share of the rate, for times without an answer of a lender.
///
/// It starts at a random fraction of a token, so that over many hosts that lose contact at once requests run at the
/// tenant's rate from the first moment, and neither none nor one at each host.
#[derive(Debug)]
struct OwnShare {
    level: f64,
    updated_ms: u64,
}

#[derive(Debug)]
pub(super) struct TenantAccount {
    allowance: TenantAllowance,
    hosts: usize,
    demand: RateMeter,
    pub(super) grants: RateMeter,
    leases: Vec<LeasedTokens>,
    pub(super) waiting: WaitingTickets,
    pub(super) pending: Option<PendingRequest>,
    /// The lender had too few tokens; it is not asked before this time.
    pub(super) paused_until_ms: u64,
    /// No lender answered; only the own share is used before this time.
    pub(super) own_until_ms: u64,
    own: OwnShare,
    /// Tokens to give back, by lender.
    pub(super) returned: BTreeMap<IpAddr, u32>,
    answers: Vec<(u64, IpAddr)>,
    /// Time at which the last refused caller was told to retry.
    retry_at_ms: f64,
    used_ms: u64,
}

impl TenantAccount {
    pub(super) fn new(now_ms: u64, own_level: f64) -> Self {
        Self {
            allowance: TenantAllowance {
                rate_per_s: 0.0,
                burst: 0.0,
            },
            hosts: 1,
            demand: RateMeter::default(),
            grants: RateMeter::default(),
            leases: Vec::new(),
            waiting: WaitingTickets::new(),
            pending: None,
            paused_until_ms: 0,
            own_until_ms: 0,
            own: OwnShare {
                level: own_level,
                updated_ms: now_ms,
            },
            returned: BTreeMap::new(),
            answers: Vec::new(),
            retry_at_ms: 0.0,
            used_ms: now_ms,
        }
    }

    pub(super) fn record_request(&mut self, now_ms: u64, allowance: TenantAllowance, hosts: usize) {
        self.allowance = allowance;
        self.hosts = hosts.max(1);
        self.used_ms = now_ms;
        self.demand.add(now_ms);
        self.expire(now_ms);
    }

    /// Records an answer; returns whether it is the first copy.
    pub(super) fn record_answer(&mut self, id: u64, lender: IpAddr) -> bool {
        if self.answers.contains(&(id, lender)) {
            return false;
        }
        if self.answers.len() >= REMEMBERED_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push((id, lender));
        true
    }

    /// Input for asking again on behalf of requests that already wait.
    pub(super) fn input<'a>(
        &self,
        now_ms: u64,
        tenant: &'a str,
        lenders: &'a [IpAddr],
    ) -> BorrowInput<'a> {
        BorrowInput {
            now_ms,
            tenant,
            allowance: self.allowance,
            lenders,
            hosts: self.hosts,
        }
    }

    /// Tokens to hold for the requests that are expected next.
    pub(super) fn wanted(&self, now_ms: u64, bounds: &OverrunBounds) -> u32 {
        (self.demand.per_second(now_ms) * bounds.prefetch_s()) as u32
    }

    pub(super) fn held(&self) -> u32 {
        self.leases.iter().map(|lease| lease.tokens).sum()
    }

    pub(super) fn hold(&mut self, lender: IpAddr, tokens: u32, expires_ms: u64) {
        if tokens > 0 {
            self.leases.push(LeasedTokens {
                lender,
                tokens,
                expires_ms,
            });
        }
    }

    /// Takes a token of the lease that expires first.
    pub(super) fn take(&mut self, now_ms: u64) -> Option<TokenPermit> {
        self.expire(now_ms);
        let lease = self
            .leases
            .iter_mut()
            .min_by_key(|lease| lease.expires_ms)?;
        lease.tokens -= 1;
        let permit = TokenPermit {
            lender: Some(lease.lender),
            expires_ms: lease.expires_ms,
        };
        self.leases.retain(|lease| lease.tokens > 0);
        Some(permit)
    }

    pub(super) fn give_back(&mut self, now_ms: u64, permit: TokenPermit) {
        match permit.lender {
            Some(lender) if now_ms < permit.expires_ms => self.hold(lender, 1, permit.expires_ms),
            Some(lender) => *self.returned.entry(lender).or_default() += 1,
            None => self.own.level += 1.0,
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        for lease in self
            .leases
            .extract_if(.., |lease| lease.expires_ms <= now_ms)
        {
            *self.returned.entry(lease.lender).or_default() += lease.tokens;
        }
    }

    /// Uses the own share until `until_ms`; it does not grow while lenders answer.
    pub(super) fn start_own(&mut self, now_ms: u64, until_ms: u64) {
        let is_continued = now_ms.saturating_sub(self.own_until_ms) < LEASE_VALIDITY_MS;
        if !is_continued {
            self.own.updated_ms = now_ms;
        }
        self.own_until_ms = until_ms;
    }

    pub(super) fn take_own(&mut self, now_ms: u64, bounds: &OverrunBounds) -> Option<TokenPermit> {
        let rate_per_s = self.allowance.rate_per_s / self.hosts as f64;
        let elapsed_s = now_ms.saturating_sub(self.own.updated_ms) as f64 / 1_000.0;
        let capacity = 1.0 + rate_per_s * bounds.headroom_s();
        self.own.level = (self.own.level + rate_per_s * elapsed_s).min(capacity);
        self.own.updated_ms = now_ms;
        if self.own.level < 1.0 {
            return None;
        }
        self.own.level -= 1.0;
        Some(TokenPermit {
            lender: None,
            expires_ms: now_ms + LEASE_VALIDITY_MS,
        })
    }

    /// Time after which a refused caller gets a token: refused callers are told times one after another, as far apart
    /// as tokens arrive here. `fraction` spreads those for whom that would be too late.
    pub(super) fn retry_after_ms(&mut self, now_ms: u64, fraction: f64) -> u64 {
        let share_per_s = self.allowance.rate_per_s / self.hosts as f64;
        let rate_per_s = self.grants.per_second(now_ms).max(share_per_s);
        let earliest_ms = self.paused_until_ms.max(now_ms) as f64;
        let at_ms = self.retry_at_ms.max(earliest_ms) + 1_000.0 / rate_per_s;
        let now_ms = now_ms as f64;
        if at_ms > now_ms + MAX_RETRY_AFTER_MS {
            let earliest_after_ms = (earliest_ms - now_ms).min(MAX_RETRY_AFTER_MS);
            let spread_ms = (MAX_RETRY_AFTER_MS - earliest_after_ms) * fraction;
            return (earliest_after_ms + spread_ms) as u64;
        }
        self.retry_at_ms = at_ms;
        (at_ms - now_ms) as u64
    }

    pub(super) fn is_in_use(&self, now_ms: u64, memory_ms: u64) -> bool {
        self.pending.is_some()
            || !self.leases.is_empty()
            || now_ms.saturating_sub(self.used_ms) < memory_ms
    }
}
