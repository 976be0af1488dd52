//! Token buckets of the tenants that a daemon lends for.
use std::{collections::BTreeMap, net::IpAddr};

use super::{LeaseRequest, OverrunBounds, StandbyNotice, TokenLease};
use crate::tenants::TenantAllowance;

/// Fraction of the rate that is lent by a standby, and by a lender that has just taken over: another lender may still
/// serve some of the hosts. It covers the usual rate of a tenant whose limit is 1.6 times that rate.
const CAUTIOUS_FRACTION: f64 = 0.78;
/// Part of the slack that a cautious lender may lend in a window beyond [`CAUTIOUS_FRACTION`], so that small tenants
/// get their whole rate.
const CAUTIOUS_EXTRA_FRACTION: f64 = 0.15;
/// Time after taking over in which a lender is cautious, in milliseconds: until other daemons have changed, too.
const TAKEOVER_MS: u64 = 1_200;
/// Fraction of its capacity below which a bucket is scarce, and knowledge about cuts matters.
const SCARCE_FRACTION: f64 = 0.5;
/// Time since the last request for which a scarce bucket matters, in milliseconds.
const SCARCE_MEMORY_MS: u64 = 2_000;
/// Time after which a borrower's last request is forgotten, in milliseconds; no copy arrives as late.
const REQUEST_MEMORY_MS: u64 = 5_000;
/// Time after which a standby's bucket that nobody asks for is dropped, in milliseconds.
const STANDBY_MEMORY_MS: u64 = 10_000;
/// Longest time until a token is available that is stated, in milliseconds.
const MAX_WAIT_MS: f64 = 1_000.0;
/// Time of the rate that standbys may have lent beyond a lender's level, in seconds: a lender that is slow or comes back owes
/// no more than that.
const MAX_DEBT_S: f64 = 0.2;
/// Rounding error of sums that must not cost a token.
const EPSILON: f64 = 1e-9;

/// Role of a daemon for a tenant, from its own view of the live hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LenderRole {
    /// It is the tenant's lender.
    Lender,
    /// Another host is; borrowers ask this one if that one does not answer.
    Standby,
}

/// Circumstances under which tokens are lent.
#[derive(Debug, Clone, Copy)]
pub struct LendingTerms {
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// The tenant's limit.
    pub allowance: TenantAllowance,
    /// Role of the daemon.
    pub role: LenderRole,
    /// Fraction of the fleet that the daemon hears from.
    pub share: f64,
}

/// Last messages of one borrower, by which copies and outdated ones are recognised.
#[derive(Debug, Default)]
struct BorrowerRecord {
    /// Answer to the last request for tokens.
    lease: Option<TokenLease>,
    /// Identifier of the last message that only gave tokens back.
    returned_id: u64,
    /// Tokens that this host has lent as a standby, by its latest notice.
    standby_lent: Option<u64>,
    updated_ms: u64,
}

#[derive(Debug)]
struct TenantBucket {
    level: f64,
    capacity: f64,
    /// The tenant's limit, of which only a part may be lent.
    rate_per_s: f64,
    /// Rate at which tokens are added now.
    lent_per_s: f64,
    role: LenderRole,
    role_since_ms: u64,
    updated_ms: u64,
    asked_ms: u64,
    /// Tokens lent since the bucket was created.
    lent: u64,
    borrowers: BTreeMap<IpAddr, BorrowerRecord>,
}

impl TenantBucket {
    fn put_back(&mut self, tokens: u32) {
        self.level = (self.level + f64::from(tokens)).min(self.capacity);
    }

    /// Starts a role with few tokens: another daemon may have lent those that have accumulated.
    fn change_role(&mut self, now_ms: u64, role: LenderRole, start_tokens: f64) {
        self.role = role;
        self.role_since_ms = now_ms;
        self.level = self.level.min(start_tokens);
        self.updated_ms = now_ms;
    }
}

/// Buckets by tenant.
#[derive(Debug)]
pub struct TokenLender {
    bounds: OverrunBounds,
    buckets: BTreeMap<String, TenantBucket>,
    /// Tokens lent since the start.
    pub lent: u64,
    /// Tokens that were given back since the start.
    pub returned: u64,
}

impl TokenLender {
    /// Creates a lender without buckets.
    pub fn new(bounds: OverrunBounds) -> Self {
        Self {
            bounds,
            buckets: BTreeMap::new(),
            lent: 0,
            returned: 0,
        }
    }

    /// Prepares the bucket of a tenant that this daemon is the lender of; returns whether it took over just now.
    pub fn take_role(&mut self, tenant: &str, terms: &LendingTerms) -> bool {
        let known = self.buckets.get(tenant).map(|bucket| bucket.role);
        self.refill(tenant, terms);
        known != Some(LenderRole::Lender)
    }

    /// Answers a request of the daemon at `borrower`; `None` if it is outdated or asks for nothing.
    ///
    /// A request that arrives again gets the same answer and is charged once.
    pub fn lend(
        &mut self,
        borrower: IpAddr,
        request: &LeaseRequest,
        terms: &LendingTerms,
    ) -> Option<TokenLease> {
        let now_ms = terms.now_ms;
        let bucket = self.refill(&request.tenant, terms);
        bucket.asked_ms = now_ms;
        let record = bucket.borrowers.entry(borrower).or_default();
        record.updated_ms = now_ms;
        if request.tokens == 0 {
            if record.returned_id < request.id {
                record.returned_id = request.id;
                bucket.put_back(request.returned);
                self.returned += u64::from(request.returned);
            }
            return None;
        }
        if let Some(lease) = &record.lease
            && lease.id >= request.id
        {
            return (lease.id == request.id).then(|| lease.clone());
        }
        bucket.put_back(request.returned);
        let tokens = request.tokens.min((bucket.level + EPSILON).max(0.0) as u32);
        bucket.level -= f64::from(tokens);
        bucket.lent += u64::from(tokens);
        let missing = (1.0 - bucket.level).max(0.0);
        let wait_ms = match tokens < request.tokens {
            true => (missing * 1_000.0 / bucket.lent_per_s).clamp(1.0, MAX_WAIT_MS) as u32,
            false => 0,
        };
        let lease = TokenLease {
            tenant: request.tenant.clone(),
            id: request.id,
            tokens,
            wait_ms,
        };
        if let Some(record) = bucket.borrowers.get_mut(&borrower) {
            record.lease = Some(lease.clone());
        }
        self.lent += u64::from(tokens);
        self.returned += u64::from(request.returned);
        Some(lease)
    }

    /// Charges the tokens that the standby at `sender` has lent since its last notice, so that both together lend no more
    /// than the rate.
    ///
    /// The first notice only states where the sum begins.
    pub fn record_standby(&mut self, sender: IpAddr, notice: &StandbyNotice, terms: &LendingTerms) {
        if !self.buckets.contains_key(&notice.tenant) {
            return;
        }
        let bucket = self.refill(&notice.tenant, terms);
        let record = bucket.borrowers.entry(sender).or_default();
        record.updated_ms = terms.now_ms;
        let known = record.standby_lent.replace(notice.lent);
        let charged = known.map_or(0, |known| notice.lent.saturating_sub(known));
        let floor = -bucket.rate_per_s * MAX_DEBT_S;
        bucket.level = (bucket.level - charged as f64).max(floor.min(bucket.level));
    }

    /// Tokens of a tenant that were lent since its bucket was created; 0 without a bucket.
    pub fn lent_for(&self, tenant: &str) -> u64 {
        self.buckets.get(tenant).map_or(0, |bucket| bucket.lent)
    }

    /// Ends the role of lender for the tenants that `is_lender` does not hold for.
    pub fn step_down(&mut self, now_ms: u64, is_lender: impl Fn(&str) -> bool) {
        let start_tokens = self.bounds.start_tokens();
        for (tenant, bucket) in &mut self.buckets {
            if bucket.role == LenderRole::Lender && !is_lender(tenant) {
                bucket.change_role(now_ms, LenderRole::Standby, start_tokens);
            }
        }
    }

    /// Empties all buckets down to their first level: after a pause of this process other daemons may have lent the
    /// tokens that have accumulated.
    pub fn restart(&mut self, now_ms: u64) {
        let start_tokens = self.bounds.start_tokens();
        for bucket in self.buckets.values_mut() {
            bucket.level = bucket.level.min(start_tokens);
            bucket.updated_ms = now_ms;
            bucket.role_since_ms = now_ms;
        }
    }

    /// Whether the bucket of a large tenant is scarce, so that it matters which hosts are in contact. For small
    /// tenants, the slack covers what two lenders lend too much during a cut.
    pub fn is_scarce(&self, now_ms: u64) -> bool {
        let is_scarce = |bucket: &TenantBucket| {
            bucket.rate_per_s * self.bounds.window_s > self.bounds.slack
                && bucket.level < bucket.capacity * SCARCE_FRACTION
                && now_ms.saturating_sub(bucket.asked_ms) < SCARCE_MEMORY_MS
        };
        self.buckets.values().any(is_scarce)
    }

    /// Removes the buckets of tenants without a limit, unused standby buckets and old requests.
    pub fn clean_up(&mut self, now_ms: u64, is_limited: impl Fn(&str) -> bool) {
        self.buckets.retain(|tenant, bucket| {
            bucket
                .borrowers
                .retain(|_, record| now_ms.saturating_sub(record.updated_ms) < REQUEST_MEMORY_MS);
            let is_used = bucket.role == LenderRole::Lender
                || now_ms.saturating_sub(bucket.asked_ms) < STANDBY_MEMORY_MS;
            is_used && is_limited(tenant)
        });
    }

    /// Number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there is no bucket.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn refill(&mut self, tenant: &str, terms: &LendingTerms) -> &mut TenantBucket {
        let now_ms = terms.now_ms;
        let capacity = capacity(&self.bounds, terms);
        let start_tokens = self.bounds.start_tokens();
        if !self.buckets.contains_key(tenant) {
            let bucket = TenantBucket {
                level: (start_tokens * terms.share).min(capacity),
                capacity,
                rate_per_s: terms.allowance.rate_per_s,
                lent_per_s: 0.0,
                role: terms.role,
                role_since_ms: now_ms,
                updated_ms: now_ms,
                asked_ms: now_ms,
                lent: 0,
                borrowers: BTreeMap::new(),
            };
            self.buckets.insert(tenant.to_string(), bucket);
        }
        let bucket = self
            .buckets
            .get_mut(tenant)
            .expect("the bucket was inserted above");
        if bucket.role != terms.role {
            bucket.change_role(now_ms, terms.role, start_tokens);
        }
        bucket.rate_per_s = terms.allowance.rate_per_s;
        let elapsed_ms = now_ms.saturating_sub(bucket.updated_ms) as f64;
        let extra_per_s = self.bounds.slack * CAUTIOUS_EXTRA_FRACTION / self.bounds.window_s;
        bucket.lent_per_s = lent_per_s(terms, bucket.role_since_ms, extra_per_s);
        let refill = bucket.lent_per_s * elapsed_ms / 1_000.0;
        bucket.level = (bucket.level + refill).min(capacity);
        bucket.capacity = capacity;
        bucket.updated_ms = now_ms;
        bucket
    }
}

/// Most tokens that a bucket may hold; at least one, since otherwise no request would ever run.
fn capacity(bounds: &OverrunBounds, terms: &LendingTerms) -> f64 {
    let TenantAllowance { rate_per_s, burst } = terms.allowance;
    let headroom = rate_per_s * bounds.headroom_s();
    let tokens = match terms.role {
        LenderRole::Lender => burst + bounds.spare_tokens() + headroom,
        LenderRole::Standby => bounds.start_tokens() + headroom,
    };
    (tokens * terms.share).max(1.0)
}

/// Rate at which tokens are added to a bucket.
fn lent_per_s(terms: &LendingTerms, role_since_ms: u64, extra_per_s: f64) -> f64 {
    let rate_per_s = terms.allowance.rate_per_s;
    let is_new = terms.now_ms.saturating_sub(role_since_ms) < TAKEOVER_MS;
    let lent_per_s = match terms.role {
        LenderRole::Lender if !is_new => rate_per_s,
        LenderRole::Lender | LenderRole::Standby => {
            rate_per_s.min(rate_per_s * CAUTIOUS_FRACTION + extra_per_s)
        }
    };
    lent_per_s * terms.share
}
