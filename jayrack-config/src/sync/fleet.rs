//! The live members of the fleet, and which of them read the log.
use std::collections::{BTreeMap, BTreeSet};

use jayrack_protocol::{MemberId, id::rendezvous_weight};
use rand_pcg::{Pcg64, rand_core::Rng};
use xxhash_rust::xxh3::xxh3_64;

const SNAPSHOT_WRITER_KEY: u64 = 0x736e_6170_7368_6f74;

/// One daemon that is considered alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetMember {
    /// Identifier of the daemon.
    pub id: MemberId,
    /// Data centre of the daemon.
    pub data_centre: String,
}

/// The daemon itself and all others that are considered alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetView {
    local: FleetMember,
    readers_per_data_centre: usize,
    members: BTreeMap<MemberId, String>,
    readers: BTreeSet<MemberId>,
}

impl FleetView {
    /// A fleet of one.
    pub fn new(local: FleetMember, readers_per_data_centre: usize) -> Self {
        let mut view = Self {
            local,
            readers_per_data_centre,
            members: BTreeMap::new(),
            readers: BTreeSet::new(),
        };
        view.replace(Vec::new());
        view
    }

    /// Replaces the list of live members; the daemon itself is always one of them.
    pub fn replace(&mut self, members: Vec<FleetMember>) {
        self.members = members
            .into_iter()
            .map(|member| (member.id, member.data_centre))
            .collect();
        self.members
            .insert(self.local.id, self.local.data_centre.clone());
        self.readers = choose_readers(&self.members, self.readers_per_data_centre);
    }

    /// Number of live members, the daemon itself included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no other member is known.
    pub fn is_empty(&self) -> bool {
        self.members.len() <= 1
    }

    /// Members that read the log.
    pub fn readers(&self) -> &BTreeSet<MemberId> {
        &self.readers
    }

    /// Whether the daemon itself reads the log.
    pub fn is_reader(&self) -> bool {
        self.readers.contains(&self.local.id)
    }

    /// Position of the daemon in the order in which readers write snapshots; `None` if it is not a reader.
    pub fn writer_index(&self) -> Option<usize> {
        let mut readers: Vec<MemberId> = self.readers.iter().copied().collect();
        readers.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight(SNAPSHOT_WRITER_KEY, *id)));
        readers.iter().position(|id| *id == self.local.id)
    }

    /// Data centre of a live member.
    pub fn data_centre(&self, id: MemberId) -> Option<&str> {
        self.members.get(&id).map(String::as_str)
    }

    /// Other live members.
    pub fn others(&self) -> impl Iterator<Item = (MemberId, &str)> {
        self.members
            .iter()
            .filter(|(id, _)| **id != self.local.id)
            .map(|(id, data_centre)| (*id, data_centre.as_str()))
    }

    /// Other live members that read the log.
    pub fn other_readers(&self) -> impl Iterator<Item = MemberId> {
        let local = self.local.id;
        self.readers.iter().copied().filter(move |id| *id != local)
    }

    /// Number of data centres with another live member.
    pub fn other_data_centres(&self) -> usize {
        let names: BTreeSet<&str> = self.others().map(|(_, data_centre)| data_centre).collect();
        names.len()
    }

    /// Chooses at most `count` other members at random, in ascending order.
    pub fn choose_peers(&self, count: usize, rng: &mut Pcg64) -> Vec<MemberId> {
        let mut peers: Vec<MemberId> = self.others().map(|(id, _)| id).collect();
        if peers.len() <= count {
            return peers;
        }
        for index in 0..count {
            let other = index + random_below(rng, (peers.len() - index) as u64) as usize;
            peers.swap(index, other);
        }
        peers.truncate(count);
        peers.sort();
        peers
    }
}

/// A random number below `limit`; 0 when `limit` is 0.
pub fn random_below(rng: &mut Pcg64, limit: u64) -> u64 {
    match limit {
        0 | 1 => 0,
        _ => rng.next_u64() % limit,
    }
}

fn choose_readers(members: &BTreeMap<MemberId, String>, count: usize) -> BTreeSet<MemberId> {
    let mut centres: BTreeMap<&str, Vec<MemberId>> = BTreeMap::new();
    for (id, data_centre) in members {
        centres.entry(data_centre).or_default().push(*id);
    }
    let mut readers = BTreeSet::new();
    for (data_centre, mut ids) in centres {
        let key = xxh3_64(data_centre.as_bytes());
        ids.sort_by_key(|id| std::cmp::Reverse(rendezvous_weight(key, *id)));
        readers.extend(ids.into_iter().take(count));
    }
    readers
}
