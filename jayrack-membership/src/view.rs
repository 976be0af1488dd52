//! The members known to one daemon and what it believes of each.
use std::{collections::BTreeMap, sync::Arc};

use jayrack_protocol::{MemberId, id::rendezvous_weight};

use crate::record::MemberRecord;

/// Readers chosen in each data centre.
pub const READERS_PER_DATA_CENTRE: usize = 3;

const READER_KEY: u64 = 0x7265_6164_6572_7331;

/// What a daemon believes of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Missed a probe and has not refuted it yet.
    Suspect,
    /// Did not refute a suspicion in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

impl MemberStatus {
    /// Whether the member is believed to run: alive, or suspected and not yet found dead.
    pub fn is_running(self) -> bool {
        matches!(self, MemberStatus::Alive | MemberStatus::Suspect)
    }
}

/// One member of the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// The latest record known.
    pub record: Arc<MemberRecord>,
    /// What this daemon believes of the member.
    pub status: MemberStatus,
    /// When the status was taken on, in milliseconds of the daemon's monotonic clock.
    pub since_ms: u64,
    /// Highest configuration version known in force at the member in its present incarnation.
    pub applied_version: u64,
    /// Highest configuration version known to have been in force at the member's address, in this
    /// incarnation or an earlier one.
    pub minimum_version: u64,
}

/// All members known to a daemon, itself included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Raised with each change of a record or of a status, and not by applied versions.
    pub generation: u64,
    /// Members by identifier.
    pub members: BTreeMap<MemberId, MemberEntry>,
}

impl MemberView {
    /// Finds a member.
    pub fn get(&self, id: MemberId) -> Option<&MemberEntry> {
        self.members.get(&id)
    }

    /// Members that are believed to run, ordered by identifier.
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
