//! The choice among the weighted services of a route.
use std::collections::BTreeMap;

use crate::routes::{MeshRoute, RouteTarget};

/// Deals a route's requests to its services so that each prefix of the sequence keeps the weights.
///
/// The share of a service holds also while it refuses: what does not fit is not moved to another one.
#[derive(Debug, Default)]
pub struct SplitChooser {
    routes: BTreeMap<String, RouteAssignments>,
}

#[derive(Debug)]
struct RouteAssignments {
    targets: Vec<RouteTarget>,
    assigned: Vec<u64>,
}

impl SplitChooser {
    /// The service that takes the next request of `route`.
    pub fn choose<'a>(&mut self, route: &'a MeshRoute) -> Option<&'a str> {
        if let [only] = route.targets.as_slice() {
            return Some(&only.service);
        }
        let assignments = self.assignments_mut(route);
        let index = assignments.next()?;
        route
            .targets
            .get(index)
            .map(|target| target.service.as_str())
    }

    /// Forgets the routes for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_kept(name));
    }

    fn assignments_mut(&mut self, route: &MeshRoute) -> &mut RouteAssignments {
        let fresh = || RouteAssignments {
            assigned: vec![0; route.targets.len()],
            targets: route.targets.clone(),
        };
        let assignments = self.routes.entry(route.name.clone()).or_insert_with(fresh);
        if assignments.targets != route.targets {
            *assignments = fresh();
        }
        assignments
    }
}

impl RouteAssignments {
    /// Picks the service that lags most behind its weight.
    fn next(&mut self) -> Option<usize> {
        let total_weight: u64 = self.targets.iter().map(|target| target.weight).sum();
        let total = self.assigned.iter().sum::<u64>() + 1;
        let lag = |index: usize| {
            let expected = i128::from(self.targets[index].weight) * i128::from(total);
            expected - i128::from(self.assigned[index]) * i128::from(total_weight)
        };
        let index =
            (0..self.targets.len()).max_by_key(|index| (lag(*index), usize::MAX - index))?;
        self.assigned[index] += 1;
        Some(index)
    }
}
