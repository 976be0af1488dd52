//! Distribution of a route's requests over its weighted services.
use std::collections::BTreeMap;

use crate::routes::{MeshRoute, RouteTarget};

/// Assigns a route's requests to its services so that every prefix of the sequence follows the weights.
///
/// A service keeps its share also while it refuses requests: they are not moved to another service.
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
    /// The service for the next request of `route`; `None` if the route has no targets.
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

    /// Drops the counts of routes for which `is_kept` returns false.
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
    /// Index of the service that lags most behind its share; the first one of several.
    fn next(&mut self) -> Option<usize> {
        let weights = self.targets.iter().map(|target| i128::from(target.weight));
        let total_weight: i128 = weights.sum();
        let total = self.assigned.iter().sum::<u64>() + 1;
        let lag = |index: usize| {
            let expected = i128::from(self.targets[index].weight) * i128::from(total);
            expected - i128::from(self.assigned[index]) * total_weight
        };
        let index =
            (0..self.targets.len()).max_by_key(|index| (lag(*index), usize::MAX - index))?;
        self.assigned[index] += 1;
        Some(index)
    }
}
