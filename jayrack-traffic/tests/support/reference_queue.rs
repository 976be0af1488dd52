//! Reference implementation of the admission queue that sorts all waiting requests for each decision.
use std::collections::BTreeMap;

use jayrack_protocol::RequestId;
use jayrack_traffic::RequestClass;

/// Service time charged for every request.
const COST: i64 = 1_000;
const MAX_CREDIT: i64 = 1_000_000;

type KindKey = (u8, String);
type CustomerKey = (u8, String, String);

/// A list of waiting requests, and the work charged to each rank, kind and customer.
#[derive(Debug, Default)]
pub struct ReferenceQueue {
    waiting: Vec<(RequestId, RequestClass)>,
    reserved_share_percents: BTreeMap<u8, i64>,
    rank_credits: BTreeMap<u8, i64>,
    kind_used: BTreeMap<KindKey, i64>,
    customer_used: BTreeMap<CustomerKey, i64>,
    rank_virtual_times: BTreeMap<u8, i64>,
    kind_virtual_times: BTreeMap<KindKey, i64>,
}

/// A class of the given rank, kind and customer, with a distant deadline.
pub fn class(
    rank: u8,
    reserved_share_percent: u8,
    kind: u8,
    customer: u8,
    depth: u32,
) -> RequestClass {
    RequestClass {
        rank,
        reserved_share_percent,
        kind: format!("kind-{kind}"),
        customer: format!("customer-{customer}"),
        customer_request: 0,
        depth,
        deadline_ms: 100_000,
        idempotent: true,
    }
}

impl ReferenceQueue {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn offer(&mut self, id: RequestId, class: RequestClass) {
        let kind = (class.rank, class.kind.clone());
        let customer = (class.rank, class.kind.clone(), class.customer.clone());
        if !self
            .waiting
            .iter()
            .any(|(_, other)| kind_key(other) == kind)
        {
            let virtual_time = self
                .rank_virtual_times
                .get(&class.rank)
                .copied()
                .unwrap_or(0);
            let used = self.kind_used.entry(kind.clone()).or_default();
            *used = (*used).max(virtual_time);
        }
        if !self
            .waiting
            .iter()
            .any(|(_, other)| customer_key(other) == customer)
        {
            let virtual_time = self.kind_virtual_times.get(&kind).copied().unwrap_or(0);
            let used = self.customer_used.entry(customer).or_default();
            *used = (*used).max(virtual_time);
        }
        self.reserved_share_percents
            .insert(class.rank, i64::from(class.reserved_share_percent));
        self.rank_credits.entry(class.rank).or_default();
        self.waiting.push((id, class));
    }

    /// Removes the request that comes first in a full sort.
    pub fn take(&mut self) -> Option<RequestId> {
        let rank_with_credit = self.rank_with_credit();
        let index = (0..self.waiting.len()).min_by_key(|index| {
            let (_, class) = &self.waiting[*index];
            let has_credit = Some(class.rank) == rank_with_credit;
            let kind = kind_key(class);
            let customer = customer_key(class);
            let used = (
                self.kind_used[&kind],
                kind.1,
                self.customer_used[&customer],
                customer.2,
            );
            (!has_credit, class.rank, used, class.depth == 0, *index)
        })?;
        let (id, class) = self.waiting.remove(index);
        self.charge(&class);
        Some(id)
    }

    fn rank_with_credit(&self) -> Option<u8> {
        let waiting = |rank: &u8| self.waiting.iter().any(|(_, class)| class.rank == *rank);
        let rank_credits = self.rank_credits.iter().filter(|(rank, credit)| {
            waiting(rank) && self.reserved_share_percents[rank] > 0 && **credit >= COST
        });
        rank_credits
            .max_by_key(|(_, credit)| **credit)
            .map(|(rank, _)| *rank)
    }

    fn charge(&mut self, class: &RequestClass) {
        let (kind, customer) = (kind_key(class), customer_key(class));
        let used = self.kind_used.get_mut(&kind).expect("offered");
        let virtual_time = self.rank_virtual_times.entry(class.rank).or_default();
        *virtual_time = (*virtual_time).max(*used);
        *used += COST;
        let used = self.customer_used.get_mut(&customer).expect("offered");
        let virtual_time = self.kind_virtual_times.entry(kind).or_default();
        *virtual_time = (*virtual_time).max(*used);
        *used += COST;
        for (rank, credit) in &mut self.rank_credits {
            let waits = self.waiting.iter().any(|(_, other)| other.rank == *rank);
            let own = if *rank == class.rank { COST } else { 0 };
            let earned = COST * self.reserved_share_percents[rank] / 100;
            *credit = match waits {
                true => (*credit + earned - own).clamp(0, MAX_CREDIT),
                false => 0,
            };
        }
    }
}

fn kind_key(class: &RequestClass) -> KindKey {
    (class.rank, class.kind.clone())
}

fn customer_key(class: &RequestClass) -> CustomerKey {
    (class.rank, class.kind.clone(), class.customer.clone())
}
