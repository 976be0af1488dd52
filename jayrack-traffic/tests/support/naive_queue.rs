//! Admission by sorting all that waits anew for each decision.
use std::collections::BTreeMap;

use jayrack_protocol::RequestId;
use jayrack_traffic::RequestClass;

/// Every request costs the same.
const COST: i64 = 1_000;
const MAX_CREDIT: i64 = 1_000_000;

type Share = (u8, String);
type CustomerShare = (u8, String, String);

/// A list of waiting requests and the work that each rank, kind and customer has had.
#[derive(Debug, Default)]
pub struct NaiveQueue {
    waiting: Vec<(RequestId, RequestClass)>,
    reserved_share_percents: BTreeMap<u8, i64>,
    credits: BTreeMap<u8, i64>,
    kinds: BTreeMap<Share, i64>,
    customers: BTreeMap<CustomerShare, i64>,
    rank_bases: BTreeMap<u8, i64>,
    kind_bases: BTreeMap<Share, i64>,
}

/// A class of its rank, kind and customer with a distant deadline.
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

impl NaiveQueue {
    pub fn new() -> Self {
        Self::default()
    }

    pub fn offer(&mut self, id: RequestId, class: RequestClass) {
        let kind = (class.rank, class.kind.clone());
        let customer = (class.rank, class.kind.clone(), class.customer.clone());
        if !self
            .waiting
            .iter()
            .any(|(_, other)| share_of(other) == kind)
        {
            let base = self.rank_bases.get(&class.rank).copied().unwrap_or(0);
            let used = self.kinds.entry(kind.clone()).or_default();
            *used = (*used).max(base);
        }
        if !self
            .waiting
            .iter()
            .any(|(_, other)| customer_of(other) == customer)
        {
            let base = self.kind_bases.get(&kind).copied().unwrap_or(0);
            let used = self.customers.entry(customer).or_default();
            *used = (*used).max(base);
        }
        self.reserved_share_percents
            .insert(class.rank, i64::from(class.reserved_share_percent));
        self.credits.entry(class.rank).or_default();
        self.waiting.push((id, class));
    }

    /// Takes the request that a full sort puts first.
    pub fn take(&mut self) -> Option<RequestId> {
        let behind = self.rank_behind();
        let place = (0..self.waiting.len()).min_by_key(|place| {
            let (_, class) = &self.waiting[*place];
            let is_behind = Some(class.rank) == behind;
            let kind = share_of(class);
            let customer = customer_of(class);
            let used = (
                self.kinds[&kind],
                kind.1,
                self.customers[&customer],
                customer.2,
            );
            (!is_behind, class.rank, used, class.depth == 0, *place)
        })?;
        let (id, class) = self.waiting.remove(place);
        self.charge(&class);
        Some(id)
    }

    fn rank_behind(&self) -> Option<u8> {
        let waiting = |rank: &u8| self.waiting.iter().any(|(_, class)| class.rank == *rank);
        let credits = self.credits.iter().filter(|(rank, credit)| {
            waiting(rank) && self.reserved_share_percents[rank] > 0 && **credit >= COST
        });
        credits
            .max_by_key(|(_, credit)| **credit)
            .map(|(rank, _)| *rank)
    }

    fn charge(&mut self, class: &RequestClass) {
        let (kind, customer) = (share_of(class), customer_of(class));
        let used = self.kinds.get_mut(&kind).expect("offered");
        let base = self.rank_bases.entry(class.rank).or_default();
        *base = (*base).max(*used);
        *used += COST;
        let used = self.customers.get_mut(&customer).expect("offered");
        let base = self.kind_bases.entry(kind).or_default();
        *base = (*base).max(*used);
        *used += COST;
        for (rank, credit) in &mut self.credits {
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

fn share_of(class: &RequestClass) -> Share {
    (class.rank, class.kind.clone())
}

fn customer_of(class: &RequestClass) -> CustomerShare {
    (class.rank, class.kind.clone(), class.customer.clone())
}
