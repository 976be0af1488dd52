//! This daemon's own record and the announcement of its departure.
use std::{net::SocketAddr, sync::Arc};

use prost::Message;

use super::{Action, AppliedState, Departure, MembershipCore};
use crate::{
    record::ServerRecord,
    updates::UpdateKey,
    view::{MemberEntry, MemberStatus},
    wire,
};

const LEAVE_ROUNDS: u32 = 5;
/// Maximum size of this daemon's record; backend servers that would exceed it are left out.
const MAX_RECORD_BYTES: usize = 620;

impl MembershipCore {
    pub(super) fn set_servers(&mut self, now_ms: u64, mut servers: Vec<ServerRecord>) {
        servers.sort();
        self.fit_servers(&mut servers);
        if servers != self.local.servers {
            self.local.servers = servers;
            self.publish_local(now_ms);
        }
    }

    pub(super) fn fit_servers(&self, servers: &mut Vec<ServerRecord>) {
        let mut record = self.local.clone();
        record.servers = std::mem::take(servers);
        while wire::to_message(&record, u64::MAX).encoded_len() > MAX_RECORD_BYTES
            && record.servers.pop().is_some()
        {}
        *servers = record.servers;
    }

    pub(super) fn set_ready(&mut self, now_ms: u64, ready: bool) {
        if ready != self.local.ready {
            self.local.ready = ready;
            self.publish_local(now_ms);
        }
    }

    pub(super) fn set_applied(&mut self, now_ms: u64, state: AppliedState) {
        self.applied = state;
        self.raise_applied(now_ms, self.local.id, state.version);
    }

    pub(super) fn set_seeds(&mut self, now_ms: u64, seeds: Vec<SocketAddr>) {
        let own = self.local.gossip_address;
        self.seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        self.schedule.next_retry_ms = now_ms;
        self.schedule.retries = 0;
    }

    pub(super) fn leave(&mut self) {
        if self.departure == Departure::Staying {
            self.departure = Departure::Announcing {
                rounds_left: LEAVE_ROUNDS,
            };
        }
    }

    pub(super) fn announce_departure(&mut self, now_ms: u64) -> bool {
        let Departure::Announcing { rounds_left } = self.departure else {
            return false;
        };
        if rounds_left == LEAVE_ROUNDS {
            self.set_status(now_ms, self.local.id, MemberStatus::Left);
        }
        self.updates.push(UpdateKey::Status(self.local.id));
        self.send_updates(now_ms);
        self.departure = match rounds_left {
            0 => Departure::Done,
            _ => Departure::Announcing {
                rounds_left: rounds_left - 1,
            },
        };
        if self.departure == Departure::Done {
            self.actions.push(Action::HasLeft);
        }
        true
    }

    pub(super) fn publish_local(&mut self, now_ms: u64) {
        self.local.revision += 1;
        self.store_local(now_ms);
        self.schedule.next_gossip_ms = now_ms;
    }

    pub(super) fn raise_incarnation(&mut self, now_ms: u64, above: u64) {
        self.local.incarnation = self.local.incarnation.max(above).saturating_add(1);
        self.local.revision = 0;
        self.store_local(now_ms);
    }

    pub(super) fn store_local(&mut self, now_ms: u64) {
        let known = self.view.get(self.local.id);
        let entry = MemberEntry {
            record: Arc::new(self.local.clone()),
            status: known.map_or(MemberStatus::Alive, |entry| entry.status),
            since_ms: known.map_or(now_ms, |entry| entry.since_ms),
            applied_version: self.applied.version,
            minimum_version: self.address_history.get(self.local.id).minimum_version,
        };
        self.put(entry);
        if !self.is_departing() {
            self.updates.push(UpdateKey::Record(self.local.id));
        }
    }
}
