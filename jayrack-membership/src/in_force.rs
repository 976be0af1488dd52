//! The members at which a configuration version is in force.
use std::collections::BTreeMap;

use jayrack_protocol::MemberId;

use crate::view::MemberView;

/// Distribution of a configuration version among the running members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InForce {
    /// Number of members that have the version or a higher one in force.
    pub on: usize,
    /// Number of running members.
    pub of: usize,
    /// Members that have only a lower version in force, ordered by identifier.
    pub behind: Vec<MemberId>,
    /// Lowest version in force in each data centre.
    pub data_centre_minimum: BTreeMap<String, u64>,
}

/// Counts the running members of `view` that have `version` in force.
pub fn in_force(view: &MemberView, version: u64) -> InForce {
    let behind: Vec<MemberId> = view
        .running()
        .filter(|entry| entry.applied_version < version)
        .map(|entry| entry.record.id)
        .collect();
    let of = view.running().count();
    InForce {
        on: of - behind.len(),
        of,
        behind,
        data_centre_minimum: minimum_by_data_centre(view),
    }
}

fn minimum_by_data_centre(view: &MemberView) -> BTreeMap<String, u64> {
    view.by_data_centre()
        .into_iter()
        .map(|(data_centre, group)| {
            let versions = group.iter().map(|entry| entry.applied_version);
            (data_centre.to_string(), versions.min().unwrap_or(0))
        })
        .collect()
}
