//! Guards against links that are filled by refused attempts when the fleet requests several times the downloads that
//! the narrow links of a few hosts can carry.
//!
//! Most attempts end in a refusal, and each uses some capacity of a link; the links must still be busy with answers.
use std::net::{IpAddr, Ipv4Addr};

use jayrack_mesh::{
    attempts::{AttemptHistory, AttemptOutcome},
    link::{CallerLocation, DEFAULT_LARGE_ANSWER_PERCENT, LinkMeter, LinkReservation},
};

/// Hosts with servers of the service.
const SERVERS: u8 = 7;
/// Hosts where downloads are requested, including those with servers.
const HOSTS: u64 = 80;
/// Rate of the slowest links of hosts, in megabits per second.
const LINK_MBPS: f64 = 10.5;
/// The same rate, in bytes per millisecond.
const LINK_BYTES_PER_MS: u64 = 1_312;
/// Size of a download, in bytes.
const DOWNLOAD_BYTES: u64 = 90_000;
/// Size of an attempt with its refusal, in bytes.
const ATTEMPT_BYTES: u64 = 900;
/// Time between two downloads requested in the fleet, in milliseconds.
const INTERVAL_MS: u64 = 3;
/// Target latency of a download without its service time, in milliseconds.
const LIMIT_MS: u64 = 1_100;
const DURATION_MS: u64 = 20_000;

#[derive(Debug)]
struct ServerHost {
    meter: LinkMeter,
    sending: Vec<(u64, LinkReservation)>,
    served: u64,
    attempts: u64,
}

fn server_host() -> ServerHost {
    let mut meter = LinkMeter::new(LINK_MBPS);
    meter.observe("download", DOWNLOAD_BYTES);
    ServerHost {
        meter,
        sending: Vec::new(),
        served: 0,
        attempts: 0,
    }
}

impl ServerHost {
    /// Sends admitted downloads for one millisecond.
    fn send(&mut self) {
        let mut room = LINK_BYTES_PER_MS * DEFAULT_LARGE_ANSWER_PERCENT / 100;
        while let Some((left, _)) = self.sending.first_mut() {
            let sent = room.min(*left);
            *left -= sent;
            room -= sent;
            if *left > 0 {
                return;
            }
            let (_, reservation) = self.sending.remove(0);
            self.meter.release(reservation);
            self.served += 1;
        }
    }

    fn try_reserve(&mut self) -> bool {
        self.attempts += 1;
        let reserved = self
            .meter
            .reserve("download", LIMIT_MS, CallerLocation::SameDataCentre);
        let is_reserved = reserved.is_ok();
        if let Ok(reservation) = reserved {
            self.sending.push((DOWNLOAD_BYTES, reservation));
        }
        is_reserved
    }
}

fn address(host: u64) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + host as u32))
}

/// Forwards one download that entered at `host`; the first `SERVERS` hosts have a server.
fn forward_download(servers: &mut [ServerHost], host: u64, first: usize) {
    let mut history = AttemptHistory::new(address(host));
    for step in 0..servers.len() {
        let index = (first + step) % servers.len();
        history.record_attempt(address(index as u64));
        if servers[index].try_reserve() {
            return;
        }
        history.record_outcome(AttemptOutcome::LinkFull);
        if history.is_exhausted() {
            return;
        }
    }
}

fn simulate() -> Vec<ServerHost> {
    let mut servers: Vec<ServerHost> = (0..SERVERS).map(|_| server_host()).collect();
    for now_ms in 0..DURATION_MS {
        servers.iter_mut().for_each(ServerHost::send);
        if now_ms % INTERVAL_MS == 0 {
            let number = now_ms / INTERVAL_MS;
            forward_download(&mut servers, number % HOSTS, number as usize);
        }
    }
    servers
}

#[test]
fn links_carry_answers_rather_than_refused_attempts() {
    let servers = simulate();

    let share_bytes = DURATION_MS * LINK_BYTES_PER_MS * DEFAULT_LARGE_ANSWER_PERCENT / 100;
    for server in &servers {
        assert!(
            server.served * DOWNLOAD_BYTES >= share_bytes * 9 / 10,
            "{}",
            server.served
        );
        // The bounds of large answers leave at least ten percent of the link for all other messages.
        let attempt_bytes = server.attempts * ATTEMPT_BYTES;
        assert!(
            attempt_bytes * 10 <= DURATION_MS * LINK_BYTES_PER_MS,
            "{attempt_bytes}"
        );
    }
}

#[test]
fn no_other_host_is_tried_when_the_local_link_is_full() {
    let mut history = AttemptHistory::new(address(1));
    history.record_attempt(address(1));

    history.record_outcome(AttemptOutcome::LinkFull);

    assert!(history.is_exhausted());
}

#[test]
fn a_refusal_does_not_exhaust_the_attempts() {
    let mut history = AttemptHistory::new(address(1));
    for host in 1..4 {
        history.record_attempt(address(host));
        history.record_outcome(AttemptOutcome::Refused);
    }

    assert!(!history.is_exhausted());
    assert!(!history.is_retry());
}

#[test]
fn the_next_attempt_is_a_retry_once_a_server_ran_or_refused_the_request() {
    let mut refused = AttemptHistory::new(address(1));
    let mut ran = refused.clone();

    refused.record_outcome(AttemptOutcome::ServerRefused);
    ran.record_outcome(AttemptOutcome::Ran);

    assert!(refused.is_retry() && ran.is_retry());
    assert_eq!((refused.runs(), ran.runs()), (0, 1));
}
