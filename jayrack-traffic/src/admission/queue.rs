//! Waiting requests, fair-queued by rank, kind and customer.
//!
//! Within a rank, the kind that was charged the least service time goes first, and within a kind the
//! customer that was charged the least. A kind or customer that starts to wait again is raised to the
//! virtual time, so that it gains no advantage from having been idle.
use std::collections::{BTreeMap, VecDeque};

use jayrack_protocol::RequestId;

use crate::class::RequestClass;

/// Maximum credit that a rank collects towards its reserved share, in microseconds of slot time.
const MAX_CREDIT_US: i64 = 1_000_000;
/// Number of customers of one kind above which those without a waiting request are evicted.
const MAX_CUSTOMERS: usize = 256;

/// One request that waits.
#[derive(Debug, Clone)]
pub(super) struct QueuedRequest {
    pub(super) id: RequestId,
    pub(super) class: RequestClass,
    pub(super) estimated_service_us: u64,
    /// Latest time at which it may be dispatched.
    pub(super) latest_start_ms: u64,
}

/// Requests of one customer within a kind: nested calls go first, since their customer requests are in
/// progress.
#[derive(Debug, Default)]
struct CustomerQueue {
    nested: VecDeque<RequestId>,
    root: VecDeque<RequestId>,
    used_us: u64,
}

#[derive(Debug, Default)]
struct KindQueue {
    customers: BTreeMap<String, CustomerQueue>,
    virtual_time_us: u64,
    used_us: u64,
    len: usize,
}

#[derive(Debug, Default)]
struct RankQueue {
    kinds: BTreeMap<String, KindQueue>,
    virtual_time_us: u64,
    len: usize,
    work_us: u64,
    reserved_share_percent: u8,
    credit_us: i64,
}

/// All waiting requests of one backend server.
#[derive(Debug)]
pub(super) struct WaitingRequests {
    ranks: BTreeMap<u8, RankQueue>,
    requests: BTreeMap<RequestId, QueuedRequest>,
}

impl WaitingRequests {
    pub(super) fn new() -> Self {
        Self {
            ranks: BTreeMap::new(),
            requests: BTreeMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn push(&mut self, request: QueuedRequest) {
        let rank = self.ranks.entry(request.class.rank).or_default();
        rank.push(&request);
        self.requests.insert(request.id, request);
    }

    /// Removes the request that runs next: of the rank with the most credit if one has enough for its
    /// reserved share, else of the most urgent rank.
    pub(super) fn pop(&mut self) -> Option<QueuedRequest> {
        let rank_order = self.next_rank()?;
        let rank = self.ranks.get_mut(&rank_order)?;
        let id = rank.next_id()?;
        let request = self.requests.remove(&id)?;
        rank.remove(&request);
        rank.charge(&request);
        self.distribute_credit(rank_order, request.estimated_service_us as i64);
        Some(request)
    }

    /// Reverts the charge of a request that was popped and is not run.
    pub(super) fn refund(&mut self, request: &QueuedRequest) {
        self.distribute_credit(request.class.rank, -(request.estimated_service_us as i64));
        if let Some(rank) = self.ranks.get_mut(&request.class.rank) {
            rank.refund(request);
        }
    }

    /// Replaces the estimate charged at dispatch with the measured service time.
    pub(super) fn correct_charge(
        &mut self,
        rank_order: u8,
        estimated_service_us: u64,
        service_us: u64,
    ) {
        self.distribute_credit(rank_order, service_us as i64 - estimated_service_us as i64);
    }

    pub(super) fn remove(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        if let Some(rank) = self.ranks.get_mut(&request.class.rank) {
            rank.remove(&request);
        }
        true
    }

    pub(super) fn take_overdue(&mut self, now_ms: u64) -> Vec<RequestId> {
        let overdue = self
            .requests
            .values()
            .filter(|request| now_ms > request.latest_start_ms);
        let ids: Vec<RequestId> = overdue.map(|request| request.id).collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        let ids: Vec<RequestId> = self.requests.keys().copied().collect();
        for id in &ids {
            self.remove(*id);
        }
        ids
    }

    /// Removes the newest request of the least urgent rank that fills more than its reserved share of
    /// `max_queued`, from its customer with the most waiting requests.
    pub(super) fn take_least_urgent(&mut self, max_queued: usize) -> Option<RequestId> {
        let victim =
            self.ranks.values().rev().find(|rank| {
                rank.len > max_queued * usize::from(rank.reserved_share_percent) / 100
            })?;
        let id = victim.newest_id()?;
        self.remove(id);
        Some(id)
    }

    /// Work that runs before a new request of `class`, in microseconds.
    pub(super) fn work_before_us(&self, class: &RequestClass) -> u64 {
        let more_urgent = self
            .ranks
            .range(..class.rank)
            .map(|(_, rank)| rank.work_us)
            .sum();
        let reserved_share_percent = u64::from(class.reserved_share_percent);
        if reserved_share_percent == 0 {
            return more_urgent;
        }
        let own = self.ranks.get(&class.rank).map_or(0, |rank| rank.work_us);
        (own * 100 / reserved_share_percent).min(more_urgent)
    }

    fn next_rank(&self) -> Option<u8> {
        let waiting = self.ranks.iter().filter(|(_, rank)| rank.len > 0);
        let with_credit = waiting
            .clone()
            .filter(|(_, rank)| rank.has_reserved_credit())
            .max_by_key(|(_, rank)| rank.credit_us);
        with_credit
            .or_else(|| waiting.clone().next())
            .map(|(order, _)| *order)
    }

    /// Credits each waiting rank with its reserved share of `work_us`, which rank `served` has used.
    fn distribute_credit(&mut self, served: u8, work_us: i64) {
        for (order, rank) in &mut self.ranks {
            let mut credit_us = rank.credit_us;
            if rank.len > 0 || *order == served {
                credit_us += work_us * i64::from(rank.reserved_share_percent) / 100;
            }
            if *order == served {
                credit_us -= work_us;
            }
            rank.credit_us = credit_us.clamp(0, MAX_CREDIT_US);
            if rank.len == 0 {
                rank.credit_us = 0;
            }
        }
    }
}

impl RankQueue {
    /// Adds a request at the end of its customer's queue.
    fn push(&mut self, request: &QueuedRequest) {
        let class = &request.class;
        self.reserved_share_percent = class.reserved_share_percent;
        self.len += 1;
        self.work_us += request.estimated_service_us;
        if !self.kinds.contains_key(&class.kind) {
            self.kinds.insert(class.kind.clone(), KindQueue::default());
        }
        let virtual_time_us = self.virtual_time_us;
        if let Some(kind) = self.kinds.get_mut(&class.kind) {
            if kind.len == 0 {
                kind.used_us = kind.used_us.max(virtual_time_us);
            }
            kind.push(request);
        }
    }

    /// Whether the rank's credit covers the mean service time of its waiting requests.
    fn has_reserved_credit(&self) -> bool {
        self.reserved_share_percent > 0
            && self.credit_us >= (self.work_us / self.len.max(1) as u64) as i64
    }

    fn next_id(&self) -> Option<RequestId> {
        let waiting = self.kinds.values().filter(|kind| kind.len > 0);
        let kind = waiting.min_by_key(|kind| kind.used_us)?;
        let waiting = kind
            .customers
            .values()
            .filter(|customer| customer.len() > 0);
        let customer = waiting.min_by_key(|customer| customer.used_us)?;
        customer.nested.front().or(customer.root.front()).copied()
    }

    fn newest_id(&self) -> Option<RequestId> {
        let customers = self.kinds.values().flat_map(|kind| kind.customers.values());
        let longest = customers.max_by_key(|customer| customer.len())?;
        longest.root.back().or(longest.nested.back()).copied()
    }

    /// Removes a request from its queue.
    fn remove(&mut self, request: &QueuedRequest) {
        let class = &request.class;
        self.len -= 1;
        self.work_us -= request.estimated_service_us;
        if let Some(kind) = self.kinds.get_mut(&class.kind)
            && let Some(customer) = kind.customers.get_mut(&class.customer)
        {
            customer.remove(request.id);
            kind.len -= 1;
        }
    }

    /// Charges the estimated service time to a request's kind and customer.
    fn charge(&mut self, request: &QueuedRequest) {
        let class = &request.class;
        let Some(kind) = self.kinds.get_mut(&class.kind) else {
            return;
        };
        self.virtual_time_us = self.virtual_time_us.max(kind.used_us);
        kind.used_us += request.estimated_service_us;
        kind.charge(&class.customer, request.estimated_service_us);
    }

    fn refund(&mut self, request: &QueuedRequest) {
        if let Some(kind) = self.kinds.get_mut(&request.class.kind) {
            kind.used_us = kind.used_us.saturating_sub(request.estimated_service_us);
        }
    }
}

impl KindQueue {
    fn push(&mut self, request: &QueuedRequest) {
        let class = &request.class;
        if !self.customers.contains_key(&class.customer) {
            self.evict_idle_customers();
            self.customers
                .insert(class.customer.clone(), CustomerQueue::default());
        }
        let virtual_time_us = self.virtual_time_us;
        if let Some(customer) = self.customers.get_mut(&class.customer) {
            if customer.len() == 0 {
                customer.used_us = customer.used_us.max(virtual_time_us);
            }
            customer.push(request);
        }
        self.len += 1;
    }

    /// Evicts customers without waiting requests when there are too many customers.
    fn evict_idle_customers(&mut self) {
        if self.customers.len() >= MAX_CUSTOMERS {
            self.customers.retain(|_, customer| customer.len() > 0);
        }
    }

    fn charge(&mut self, customer: &str, work_us: u64) {
        if let Some(queue) = self.customers.get_mut(customer) {
            self.virtual_time_us = self.virtual_time_us.max(queue.used_us);
            queue.used_us += work_us;
        }
    }
}

impl CustomerQueue {
    fn push(&mut self, request: &QueuedRequest) {
        if request.class.depth > 0 {
            self.nested.push_back(request.id);
        } else {
            self.root.push_back(request.id);
        }
    }

    fn len(&self) -> usize {
        self.nested.len() + self.root.len()
    }

    fn remove(&mut self, id: RequestId) {
        self.nested.retain(|waiting| *waiting != id);
        self.root.retain(|waiting| *waiting != id);
    }
}
