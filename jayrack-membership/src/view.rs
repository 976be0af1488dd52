//! The members known to one daemon and the status of each.
use std::{collections::BTreeMap, sync::Arc};

use jayrack_protocol::{MemberId, id::rendezvous_weight};

use crate::record::MemberRecord;

/// Number of readers, the members that tail the log, in each data centre.
pub const READERS_PER_DATA_CENTRE: usize = 3;

const READER_KEY: u64 = 0x7265_6164_6572_7331;

/// Status of a member in the view of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Failed a probe and has not refuted the suspicion yet.
    Suspect,
    /// Did not refute a suspicion in time.
    Dead,
    /// Announced its departure.
    Left,
}

impl MemberStatus {
    /// Whether the member counts as running: alive, or suspected and not yet declared dead.
    pub fn is_running(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// One member of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// The latest record known.
    pub record: Arc<MemberRecord>,
    /// Status of the member in this view.
    pub status: MemberStatus,
    /// Time since which the status holds, in milliseconds of the daemon's monotonic clock.
    pub since_ms: u64,
    /// Highest configuration version known to be in force at the member in its current incarnation.
    pub applied_version: u64,
    /// Highest configuration version known to have been in force at the member's address, in this
    /// incarnation or an earlier one.
    pub minimum_version: u64,
}

/// All members known to a daemon, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Incremented with each change of a record or a status, but not of applied versions.
    pub generation: u64,
    /// Members by identifier.
    pub members: BTreeMap<MemberId, MemberEntry>,
}

impl MemberView {
    /// Returns the entry of a member, if it is known.
    pub fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.members.get(&id)
    }

    /// Members that are running as defined by [`MemberStatus::is_running`], ordered by identifier.
    pub fn running(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members
            .values()
            .filter(|entry| entry.status.is_running())
    }

    /// Running members grouped by data centre.
    pub fn by_data_centre(&self) -> BTreeMap<&str, Vec<&MemberEntry>> {
        let mut groups: BTreeMap<&str, Vec<&MemberEntry>> = BTreeMap::new();
        for entry in self.running() {
            let data_centre = entry.record.data_centre.as_str();
            groups.entry(data_centre).or_default().push(entry);
        }
        groups
    }

    /// The members that tail the log: those of highest rendezvous weight in each data centre.
    pub fn readers(&self) -> Vec<MemberId> {
        self.by_data_centre()
            .values()
            .flat_map(|group| heaviest(group, READER_KEY, READERS_PER_DATA_CENTRE))
            .collect()
    }
}

/// The `count` members of the highest weight for `key`, heaviest first.
pub(crate) fn heaviest(group: &[&MemberEntry], key: u64, count: usize) -> Vec<MemberId> {
    let mut ids: Vec<MemberId> = group.iter().map(|entry| entry.record.id).collect();
    ids.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight(key, *id)));
    ids.truncate(count);
    ids
}
