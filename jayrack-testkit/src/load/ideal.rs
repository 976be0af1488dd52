//! Upper bound of what a fleet can complete: capacity goes to the most urgent kinds first, and reserved shares are kept.
use std::collections::BTreeMap;

use crate::{
    backend_standin::call_tree::CallNode,
    deployment::{DeploymentPlan, WorkKind},
};

/// Slot time by service, in seconds.
type SlotTime = BTreeMap<&'static str, f64>;

/// Slot time that one request of `kind` takes at each service; a call holds its slot while it makes others.
pub fn slot_time(deployment: &DeploymentPlan, kind: &WorkKind) -> SlotTime {
    let mut time = SlotTime::new();
    add_slot_time(deployment, &kind.call, &mut time);
    time
}

fn add_slot_time(deployment: &DeploymentPlan, node: &CallNode, time: &mut SlotTime) -> f64 {
    const MICROSECONDS_PER_SECOND: f64 = 1e6;
    let nested: f64 = node
        .calls
        .iter()
        .map(|call| add_slot_time(deployment, call, time))
        .sum();
    let held = node.service_us as f64 / MICROSECONDS_PER_SECOND + nested;
    *time.entry(deployment.service_of(&node.path)).or_default() += held;
    held
}

/// Slots of each service.
pub fn capacity(deployment: &DeploymentPlan, slots: u32) -> SlotTime {
    deployment
        .services
        .iter()
        .map(|service| (service.name, service.servers as f64 * f64::from(slots)))
        .collect()
}

/// Requests per second of all kinds, in their usual shares, at which the first service is full.
pub fn usual_rate(deployment: &DeploymentPlan, slots: u32) -> f64 {
    let mut mixed = SlotTime::new();
    for kind in &deployment.kinds {
        for (service, time) in slot_time(deployment, kind) {
            *mixed.entry(service).or_default() += time * f64::from(kind.share_percent) / 100.0;
        }
    }
    full_rate(&mixed, &capacity(deployment, slots))
}

/// Requests per second of `kind` alone at which the first service is full.
pub fn kind_rate(deployment: &DeploymentPlan, kind: &WorkKind, slots: u32) -> f64 {
    full_rate(&slot_time(deployment, kind), &capacity(deployment, slots))
}

fn full_rate(time: &SlotTime, capacity: &SlotTime) -> f64 {
    time.iter()
        .map(|(service, time)| capacity[service] / time)
        .fold(f64::INFINITY, f64::min)
}

/// Highest fraction of each kind's `offered` requests per second that can be completed.
pub fn completable_fractions(deployment: &DeploymentPlan, offered: &[f64], slots: u32) -> Vec<f64> {
    let capacity = capacity(deployment, slots);
    let demand: Vec<SlotTime> = deployment
        .kinds
        .iter()
        .zip(offered)
        .map(|(kind, rate)| {
            slot_time(deployment, kind)
                .into_iter()
                .map(|(service, time)| (service, time * rate))
                .collect()
        })
        .collect();
    let mut used = SlotTime::new();
    let mut fractions = vec![0.0; deployment.kinds.len()];
    let mut order: Vec<usize> = (0..deployment.kinds.len()).collect();
    order.sort_by_key(|index| deployment.kinds[*index].rank);
    for (position, kind) in order.iter().enumerate() {
        let less_urgent = &order[position + 1..];
        let mut fraction: f64 = 1.0;
        for (service, wanted) in &demand[*kind] {
            let reserved =
                reserved_slots(deployment, less_urgent, &demand, service, capacity[service]);
            let free =
                capacity[service] - used.get(service).copied().unwrap_or_default() - reserved;
            if *wanted > 0.0 {
                fraction = fraction.min((free / wanted).max(0.0));
            }
        }
        for (service, wanted) in &demand[*kind] {
            *used.entry(service).or_default() += wanted * fraction;
        }
        fractions[*kind] = fraction;
    }
    fractions
}

/// Slots of `service` that are reserved for less urgent kinds, as far as these need them.
fn reserved_slots(
    deployment: &DeploymentPlan,
    less_urgent: &[usize],
    demand: &[SlotTime],
    service: &str,
    capacity: f64,
) -> f64 {
    less_urgent
        .iter()
        .map(|kind| {
            let rank = &deployment.ranks[deployment.kinds[*kind].rank];
            let reserved = capacity * f64::from(rank.reserved_share_percent) / 100.0;
            let wanted = demand[*kind].get(service).copied().unwrap_or_default();
            reserved.min(wanted)
        })
        .sum()
}
