//! Pings of addresses at which no running member is known.
use std::net::SocketAddr;

use jayrack_protocol::{
    MemberId,
    gossip::{Ping, datagram::Body},
};
use rand_pcg::rand_core::Rng;

use super::{Action, MembershipCore};
use crate::view::MemberStatus;

/// Pings per second that all members together send to one address.
const FLEET_PINGS_PER_S: u64 = 2;
const RECHECK_INTERVAL_MS: u64 = 200;
/// Retries without an answer after which the contacts in the log are needed.
const RETRIES_BEFORE_CONTACTS: u32 = 2;
const MS_PER_S: u64 = 1_000;

impl MembershipCore {
    /// Pings a random unreachable address, less often the more members are running, so that the
    /// pings of all members average at most [`FLEET_PINGS_PER_S`] per address.
    pub(super) fn tick_retry(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_retry_ms {
            return;
        }
        self.schedule.next_retry_ms = now_ms + self.options.retry_interval_ms;
        let targets = self.unreachable_addresses();
        let running = self.running_others().len() + 1;
        self.count_retry_while_alone(running);
        let wanted = targets.len() as u64 * FLEET_PINGS_PER_S * self.options.retry_interval_ms;
        let spread = running as u64 * MS_PER_S;
        let draw = self.random_index(spread as usize).unwrap_or(0) as u64;
        if draw >= wanted {
            return;
        }
        if let Some(index) = self.random_index(targets.len()) {
            self.ping_address(now_ms, targets[index]);
        }
    }

    fn count_retry_while_alone(&mut self, running: usize) {
        if running > 1 {
            self.schedule.retries = 0;
            return;
        }
        self.schedule.retries += 1;
        if self.schedule.retries > RETRIES_BEFORE_CONTACTS {
            self.schedule.retries = 0;
            self.actions.push(Action::NeedContacts);
        }
    }

    /// Addresses of dead members, and seeds whose member is unknown or has left.
    fn unreachable_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.view.members.values();
        let dead = entries
            .filter(|entry| entry.status == MemberStatus::Dead)
            .map(|entry| entry.record.gossip_address);
        let unknown = |seed: &&SocketAddr| {
            let id = MemberId::from_address(**seed);
            self.view
                .get(id)
                .is_none_or(|entry| entry.status == MemberStatus::Left)
        };
        let seeds = self.seeds.iter().filter(unknown).copied();
        dead.chain(seeds).collect()
    }

    /// Pings a member that is dead in this view and running in that of another member.
    pub(super) fn tick_recheck(&mut self, now_ms: u64) {
        if now_ms < self.schedule.next_recheck_ms {
            return;
        }
        self.schedule.next_recheck_ms = now_ms + RECHECK_INTERVAL_MS;
        while let Some(id) = self.rechecks.pop_first() {
            let entry = self.view.get(id);
            let dead = entry.filter(|entry| entry.status == MemberStatus::Dead);
            if let Some(address) = dead.map(|entry| entry.record.gossip_address) {
                return self.ping_address(now_ms, address);
            }
        }
    }

    fn ping_address(&mut self, now_ms: u64, address: SocketAddr) {
        let nonce = self.rng.next_u32();
        self.send(now_ms, address, Some(Body::Ping(Ping { nonce })));
    }
}
