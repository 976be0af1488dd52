//! The choice among the weighted services of a route.
use std::collections::BTreeMap;

use crate::routes::{MeshRoute, RouteTarget};

/// Deals a route's requests to its services so that each prefix of the sequence keeps the weights.
///
/// The share of a service holds also while it refuses: what does not fit is not moved to another one.
#[derive(Debug, Default)]
pub struct SplitChooser {
    routes: BTreeMap<String, DealtRoute>,
}

#[derive(Debug)]
struct DealtRoute {
    targets: Vec<RouteTarget>,
    dealt: Vec<u64>,
}

impl SplitChooser {
    /// The service that takes the next request of `route`.
    pub fn choose<'a>(&mut self, route: &'a MeshRoute) -> Option<&'a str> {
        if let [only] = route.targets.as_slice() {
            return Some(&only.service);
        }
        let dealt = self.dealt_mut(route);
        let index = dealt.next()?;
        route
            .targets
            .get(index)
            .map(|target| target.service.as_str())
    }

    /// Forgets the routes for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|name, _| is_kept(name));
    }

    fn dealt_mut(&mut self, route: &MeshRoute) -> &mut DealtRoute {
        let fresh = || DealtRoute {
            dealt: vec![0; route.targets.len()],
            targets: route.targets.clone(),
        };
        let dealt = self.routes.entry(route.name.clone()).or_insert_with(fresh);
        if dealt.targets != route.targets {
            *dealt = fresh();
        }
        dealt
    }
}

impl DealtRoute {
    /// Picks the service that lags most behind its weight.
    fn next(&mut self) -> Option<usize> {
        let total_weight: u64 = self.targets.iter().map(|target| target.weight).sum();
        let total = self.dealt.iter().sum::<u64>() + 1;
        let lag = |index: usize| {
            let owed = i128::from(self.targets[index].weight) * i128::from(total);
            owed - i128::from(self.dealt[index]) * i128::from(total_weight)
        };
        let index =
            (0..self.targets.len()).max_by_key(|index| (lag(*index), usize::MAX - index))?;
        self.dealt[index] += 1;
        Some(index)
    }
}
