//! A fleet of daemons with their servers, a store and a network, in simulated time.
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
};

use jayrack_mesh::{
    RolloutBook,
    era::LogPosition,
    rollout::{
        ExposureBounds, RolloutOrder, RolloutPhase,
        book::OrderSource,
        evidence::{AnswerQuality, VersionVerdict},
        leader,
        phase::LeaderStep,
        status::RolloutStatus,
        versions::VersionedServer,
    },
};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

pub const SERVICE: &str = "slots";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";
pub const ROUTES: [&str; 3] = ["lookup", "book", "refer"];
/// Bounds of the first customer.
pub const BOUNDS: ExposureBounds = ExposureBounds {
    share: 0.1,
    slack: 50.0,
};
/// Time within which a bad version must get no more requests after its 50th bad answer, in milliseconds.
pub const ROLLBACK_MS: u64 = 5_000;
pub const ORDER_MS: u64 = 2_000;
pub const DURATION_MS: u64 = 12_000;

const STEP_MS: u64 = 20;
const TICK_MS: u64 = 100;
const SLOTS: usize = 6;
const WORK_MS: f64 = 100.0;
const WARMUP_MS: u64 = 3_000;
const NETWORK_MS: u64 = 20;
const LIVE_MS: u64 = 3_500;
const BACKOFF_MS: u64 = 250;

/// Fault of the new version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    None,
    Fails,
    Slow,
}

/// Fault of the new version and when it shows.
#[derive(Debug, Clone, Copy)]
pub struct VersionFault {
    pub kind: FaultKind,
    /// Time after the server's first request from which it shows.
    pub from_ms: u64,
    /// Only route on which it shows.
    pub route: Option<&'static str>,
    /// Requests at the server from which it shows.
    pub min_running: usize,
}

impl VersionFault {
    pub fn new(kind: FaultKind) -> Self {
        Self {
            kind,
            from_ms: 0,
            route: None,
            min_running: 0,
        }
    }
}

/// What happens to the messages of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostState {
    Live,
    Dead,
    /// Takes no step and receives no message.
    Frozen,
    /// Works, but reaches only its own server.
    Isolated,
}

struct SimHost {
    address: IpAddr,
    book: RolloutBook,
    state: HostState,
    version: String,
    speed: f64,
    is_grey: bool,
    is_cold: bool,
    first_ms: Option<u64>,
    running: usize,
    averages: BTreeMap<&'static str, f64>,
    heard_ms: BTreeMap<usize, u64>,
    next_send_ms: BTreeMap<usize, u64>,
    is_announcing: bool,
    is_reporting: bool,
    known_end: Option<u64>,
    retry_at_ms: u64,
}

struct Answer {
    at_ms: u64,
    host: usize,
    route: &'static str,
    service_ms: f64,
    has_failed: bool,
    number: u64,
}

struct Message {
    at_ms: u64,
    from: usize,
    to: usize,
    statuses: Vec<RolloutStatus>,
    averages: BTreeMap<&'static str, f64>,
}

/// A recorded state and when it took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateWrite {
    pub state: &'static str,
    pub at_ms: u64,
}

/// The topic of recorded states.
#[derive(Debug, Default)]
pub struct SimStore {
    pub writes: Vec<StateWrite>,
    pub calls: usize,
    pub is_down: bool,
    /// Number of answers to final writes that are lost; the writes take effect later by this time.
    pub lost_answers: usize,
    pub late_ms: u64,
    late: Vec<(u64, u64, &'static str)>,
}

impl SimStore {
    fn put(&mut self, now_ms: u64, state: &'static str, end: u64) -> Result<u64, bool> {
        self.calls += 1;
        if self.is_down {
            return Err(false);
        }
        if self.lost_answers > 0 && state != "running" {
            self.lost_answers -= 1;
            self.late.push((now_ms + self.late_ms, end, state));
            return Err(false);
        }
        if self.writes.len() as u64 != end {
            return Err(true);
        }
        self.writes.push(StateWrite {
            state,
            at_ms: now_ms,
        });
        Ok(end)
    }

    fn apply_late(&mut self, now_ms: u64) {
        let (due, later): (Vec<_>, Vec<_>) = self
            .late
            .drain(..)
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.late = later;
        for (_, end, state) in due {
            if self.writes.len() as u64 == end {
                self.writes.push(StateWrite {
                    state,
                    at_ms: now_ms,
                });
            }
        }
    }

    pub fn finals(&self) -> Vec<&StateWrite> {
        let writes = self.writes.iter();
        writes.filter(|write| write.state != "running").collect()
    }
}

/// What callers and servers saw.
#[derive(Debug, Default)]
pub struct FleetReport {
    /// Requests sent to the service between the order and its deadline.
    pub requests: u64,
    /// Those sent to the new version.
    pub exposed: u64,
    pub refused: u64,
    /// When the new version gave bad answers.
    pub bad_ms: Vec<u64>,
    /// When requests were sent to the new version.
    pub exposed_ms: Vec<u64>,
    /// Requests to the new version before the order.
    pub forbidden: u64,
    /// Requests at old servers of live hosts when these stopped at `completed`.
    pub cut: usize,
}

/// The fleet.
pub struct SimFleet {
    hosts: Vec<SimHost>,
    pub store: SimStore,
    pub report: FleetReport,
    pub rate_per_s: f64,
    pub fault: VersionFault,
    pub now_ms: u64,
    messages: Vec<Message>,
    answers: Vec<Answer>,
    random: Pcg32,
    has_order: bool,
}

impl SimFleet {
    /// A fleet of `hosts` hosts, of which the first ones have `servers` old and then as many new servers.
    pub fn new(hosts: usize, servers: usize, seed: u64) -> Self {
        let speeds = [1.0, 0.5, 1.7, 1.2, 0.8];
        let host = |number: usize| {
            let address = IpAddr::from(Ipv4Addr::new(10, 0, 0, number as u8 + 1));
            let version = match number {
                _ if number < servers => OLD,
                _ if number < 2 * servers => NEW,
                _ => "",
            };
            SimHost {
                address,
                book: RolloutBook::new(Some(BOUNDS), seed * 1_000 + number as u64),
                state: HostState::Live,
                version: version.to_string(),
                speed: speeds[number % speeds.len()],
                is_grey: false,
                is_cold: false,
                first_ms: None,
                running: 0,
                averages: BTreeMap::new(),
                heard_ms: BTreeMap::new(),
                next_send_ms: BTreeMap::new(),
                is_announcing: false,
                is_reporting: false,
                known_end: None,
                retry_at_ms: 0,
            }
        };
        Self {
            hosts: (0..hosts).map(host).collect(),
            store: SimStore::default(),
            report: FleetReport::default(),
            rate_per_s: 30.0 * servers as f64,
            fault: VersionFault::new(FaultKind::None),
            now_ms: 0,
            messages: Vec::new(),
            answers: Vec::new(),
            random: Pcg32::seed_from_u64(seed),
            has_order: false,
        }
    }

    /// Makes the first new server fail half of its answers, whatever its version.
    pub fn make_one_grey(&mut self) {
        let host = self.hosts.iter_mut().find(|host| host.version == NEW);
        host.unwrap().is_grey = true;
    }

    /// Makes the new servers slow for the first seconds after their first request.
    pub fn make_cold(&mut self) {
        for host in self.hosts.iter_mut().filter(|host| host.version == NEW) {
            host.is_cold = true;
        }
    }

    pub fn set_state(&mut self, host: usize, state: HostState) {
        self.hosts[host].state = state;
    }

    /// The host that leads the roll-out among the live ones.
    pub fn leader(&self) -> usize {
        let live = self.hosts.iter().filter(|h| h.state == HostState::Live);
        let addresses: Vec<IpAddr> = live.map(|host| host.address).collect();
        let first = leader::leaders(SERVICE, &addresses, 1)[0];
        let position = self.hosts.iter().position(|host| host.address == first);
        position.unwrap()
    }

    pub fn phase(&self, host: usize) -> Option<RolloutPhase> {
        let (_, phase) = self.hosts[host].book.rollout(SERVICE)?;
        Some(phase)
    }

    /// Phases of the hosts that work.
    pub fn live_phases(&self) -> Vec<Option<RolloutPhase>> {
        let numbers = 0..self.hosts.len();
        let live = numbers.filter(|number| self.hosts[*number].state == HostState::Live);
        live.map(|number| self.phase(number)).collect()
    }

    pub fn run_until(&mut self, end_ms: u64) {
        self.run_while(|fleet| fleet.now_ms < end_ms);
    }

    /// Runs until a live host has reached `phase`.
    pub fn run_until_phase(&mut self, phase: RolloutPhase) {
        self.run_while(|fleet| {
            fleet.now_ms < 60_000
                && !fleet
                    .live_phases()
                    .iter()
                    .any(|known| *known >= Some(phase))
        });
        assert!(self.now_ms < 60_000, "{phase:?} is not reached");
    }

    fn run_while(&mut self, goes_on: impl Fn(&Self) -> bool) {
        while goes_on(self) {
            self.now_ms += STEP_MS;
            if self.now_ms >= ORDER_MS && !self.has_order {
                self.order();
            }
            self.store.apply_late(self.now_ms);
            self.stop_old_servers();
            self.deliver();
            self.finish_answers();
            self.send_requests();
            for number in 0..self.hosts.len() {
                let is_due =
                    (self.now_ms / STEP_MS + number as u64).is_multiple_of(TICK_MS / STEP_MS);
                let works = matches!(
                    self.hosts[number].state,
                    HostState::Live | HostState::Isolated
                );
                if works && (is_due || self.hosts[number].is_reporting) {
                    self.tick(number);
                }
            }
            self.gossip();
        }
    }

    /// The old servers stop at once when the store says that the roll-out is completed.
    fn stop_old_servers(&mut self) {
        let finals = self.store.finals();
        if finals.iter().all(|write| write.state != "completed") {
            return;
        }
        for host in self.hosts.iter_mut().filter(|host| host.version == OLD) {
            host.version.clear();
            if host.state == HostState::Live {
                self.report.cut += host.running;
            }
        }
    }

    /// Two readers see the order in the store.
    fn order(&mut self) {
        self.has_order = true;
        let order = new_order();
        let count = self.hosts.len();
        let working: Vec<usize> = (0..count)
            .filter(|number| self.hosts[*number].state == HostState::Live)
            .collect();
        for number in working.into_iter().rev().take(2) {
            let host = &mut self.hosts[number];
            let source = OrderSource::Change;
            host.book
                .add_order(self.now_ms, order.clone(), source, count);
            host.is_announcing = true;
        }
    }

    fn fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn can_talk(&self, from: usize, to: usize) -> bool {
        let is_live = |number: usize| self.hosts[number].state == HostState::Live;
        from == to || is_live(from) && is_live(to)
    }

    fn send_requests(&mut self) {
        let mean = self.rate_per_s * STEP_MS as f64 / 1_000.0;
        let count = (mean + self.fraction()).floor() as usize;
        for _ in 0..count {
            let ingress = self.random.next_u32() as usize % self.hosts.len();
            let works = matches!(
                self.hosts[ingress].state,
                HostState::Live | HostState::Isolated
            );
            if works {
                self.send_request(ingress);
            }
        }
    }

    fn send_request(&mut self, ingress: usize) {
        let now_ms = self.now_ms;
        let usable: Vec<usize> = (0..self.hosts.len())
            .filter(|to| self.can_talk(ingress, *to) && !self.hosts[*to].version.is_empty())
            .collect();
        let servers: Vec<VersionedServer<'_>> = usable
            .iter()
            .map(|number| versioned(&self.hosts[*number]))
            .collect();
        let groups = self.hosts[ingress].book.groups(now_ms, SERVICE, &servers);
        let groups = groups.unwrap_or_else(|| vec![(0..usable.len()).collect()]);
        for group in groups {
            let numbers = group.iter().map(|index| usable[*index]);
            let free: Vec<usize> = numbers
                .filter(|number| {
                    let host = &self.hosts[*number];
                    host.running < SLOTS && host.book.admits(SERVICE, &host.version)
                })
                .collect();
            let chosen = free
                .iter()
                .min_by_key(|number| self.hosts[**number].running);
            if let Some(chosen) = chosen {
                self.serve(ingress, *chosen);
                return;
            }
        }
        self.report.refused += 1;
    }

    fn serve(&mut self, ingress: usize, server: usize) {
        let now_ms = self.now_ms;
        let version = self.hosts[server].version.clone();
        self.hosts[ingress]
            .book
            .record_sent(now_ms, SERVICE, &version);
        let is_new = version == NEW;
        self.report.forbidden += u64::from(is_new && !self.has_order);
        if self.has_order && now_ms < ORDER_MS + DURATION_MS {
            self.report.requests += 1;
            self.report.exposed += u64::from(is_new);
        }
        if is_new {
            self.report.exposed_ms.push(now_ms);
        }
        let route = ROUTES[self.random.next_u32() as usize % ROUTES.len()];
        let spread = 0.5 + self.fraction();
        let has_bad_luck = self.fraction() < 0.5;
        let has_failed_by_chance = self.fraction() < 0.005;
        let fault = self.fault;
        let host = &mut self.hosts[server];
        let first_ms = *host.first_ms.get_or_insert(now_ms);
        let shows = is_new
            && now_ms - first_ms >= fault.from_ms
            && fault.route.is_none_or(|only| only == route)
            && host.running >= fault.min_running;
        let is_cold = host.is_cold && now_ms - first_ms < WARMUP_MS;
        host.running += 1;
        let crowding = 1.0 + 0.35 * (host.running as f64 / SLOTS as f64).powi(2);
        let mut service_ms = WORK_MS / host.speed * spread * crowding;
        if is_cold {
            service_ms *= 2.0;
        }
        if shows && fault.kind == FaultKind::Slow {
            service_ms *= 8.0;
        }
        let is_faulty = host.is_grey || shows && fault.kind == FaultKind::Fails;
        let number = host.book.start_request(now_ms, SERVICE, route);
        self.answers.push(Answer {
            at_ms: now_ms + service_ms as u64,
            host: server,
            route,
            service_ms,
            has_failed: is_faulty && has_bad_luck || has_failed_by_chance,
            number,
        });
    }

    fn finish_answers(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = self
            .answers
            .drain(..)
            .partition(|answer| answer.at_ms <= now_ms);
        self.answers = later;
        for answer in due {
            let fault = self.fault;
            let host = &mut self.hosts[answer.host];
            host.running -= 1;
            let average = host
                .averages
                .entry(answer.route)
                .or_insert(answer.service_ms);
            *average += (answer.service_ms - *average) * 0.1;
            let is_warming_up = host.is_cold
                && host
                    .first_ms
                    .is_some_and(|first_ms| now_ms - first_ms < WARMUP_MS);
            let reference_ms = host.book.reference_ms(SERVICE, answer.route);
            let quality = match answer.has_failed {
                true => AnswerQuality::Failed,
                false => {
                    AnswerQuality::of_success(answer.service_ms as u64, reference_ms, is_warming_up)
                }
            };
            let is_bad = answer.has_failed
                || fault.kind == FaultKind::Slow && answer.service_ms > 4.0 * WORK_MS / host.speed;
            if host.version == NEW && fault.kind != FaultKind::None && is_bad {
                self.report.bad_ms.push(now_ms);
            }
            let server = (SERVICE, host.version.as_str());
            if !host.book.end_request(answer.number) {
                continue;
            }
            host.is_reporting |= host
                .book
                .record_answer(now_ms, server, answer.route, quality);
        }
    }

    fn live_view(&self, number: usize) -> Vec<usize> {
        let host = &self.hosts[number];
        let others = host.heard_ms.iter();
        others
            .filter(|(_, at_ms)| self.now_ms - **at_ms < LIVE_MS * 3)
            .map(|(other, _)| *other)
            .collect()
    }

    /// The driver of one daemon.
    fn tick(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let live = self.live_view(number);
        let working = self
            .hosts
            .iter()
            .filter(|host| host.state != HostState::Dead);
        let owned: Vec<(IpAddr, String)> = working
            .filter(|host| !host.version.is_empty())
            .map(|host| (host.address, host.version.clone()))
            .collect();
        let rebuilt: Vec<VersionedServer<'_>> = owned
            .iter()
            .map(|(address, version)| VersionedServer {
                address: *address,
                service: SERVICE,
                version,
                born_ms: u64::from(version == NEW),
            })
            .collect();
        let is_isolated = self.hosts[number].state == HostState::Isolated;
        let has_contact = live.len() * 4 >= self.hosts.len() - 1;
        let addresses: Vec<IpAddr> = live
            .iter()
            .chain([&number])
            .map(|other| self.hosts[*other].address)
            .collect();
        let ranking = leader::leaders(SERVICE, &addresses, usize::MAX);
        let host = &mut self.hosts[number];
        host.book.observe_servers(now_ms, &rebuilt, true);
        let version = host.version.clone();
        let is_warming_up = host.is_cold
            && host
                .first_ms
                .is_some_and(|first_ms| now_ms - first_ms < WARMUP_MS);
        host.is_reporting |= host.book.record_overdue(now_ms, &version, is_warming_up);
        let is_idle = host.running == 0;
        let status = host
            .book
            .status(now_ms, SERVICE, is_idle, (SERVICE, &version));
        let Some(status) = status else {
            return;
        };
        let was_final = status.phase.is_final();
        let verdict = host.book.verdict(now_ms, SERVICE, status.evidence.as_ref());
        if verdict == VersionVerdict::Bad
            && !was_final
            && host
                .book
                .enter(now_ms, &new_order(), RolloutPhase::RollingBack)
        {
            host.is_announcing = true;
        }
        if status.is_drained {
            let address = host.address;
            host.book.set_drained(SERVICE, address);
            host.is_reporting = true;
        }
        let rank = ranking.iter().position(|address| *address == host.address);
        let old_hosts: Vec<IpAddr> = owned
            .iter()
            .filter(|(_, version)| version == OLD)
            .map(|(address, _)| *address)
            .collect();
        let view = host.book.view(now_ms, SERVICE, rank.unwrap(), &old_hosts);
        if has_contact && !is_isolated {
            self.take_step(number, view.unwrap().step());
        }
        if self.hosts[number].is_reporting {
            self.hosts[number].is_reporting = false;
            let leaders: Vec<IpAddr> = ranking.into_iter().take(2).collect();
            for to in 0..self.hosts.len() {
                if leaders.contains(&self.hosts[to].address) && to != number {
                    self.send(number, to);
                }
            }
        }
    }

    fn take_step(&mut self, number: usize, step: LeaderStep) {
        let now_ms = self.now_ms;
        let state = match step {
            // The store of this fleet loses nothing.
            LeaderStep::Wait | LeaderStep::RestoreState => return,
            LeaderStep::Enter(phase) => {
                let host = &mut self.hosts[number];
                host.is_announcing |= host.book.enter(now_ms, &new_order(), phase);
                return;
            }
            LeaderStep::ReadState => return self.read_states(number),
            LeaderStep::RecordRunning => "running",
            LeaderStep::RecordCompleted => "completed",
            LeaderStep::RecordRolledBack => "rolled_back",
        };
        if now_ms < self.hosts[number].retry_at_ms {
            return;
        }
        if self.hosts[number].known_end.is_none() {
            self.read_states(number);
        }
        let Some(end) = self.hosts[number].known_end else {
            return;
        };
        let phase = self.phase(number).unwrap();
        let is_due = match state {
            "running" => phase == RolloutPhase::Canary,
            "completed" => phase == RolloutPhase::Draining,
            _ => phase == RolloutPhase::RollingBack,
        };
        if !is_due {
            return;
        }
        match self.store.put(now_ms, state, end) {
            Ok(offset) => {
                self.hosts[number].known_end = Some(offset + 1);
                self.adopt(number, state);
            }
            Err(true) => self.read_states(number),
            Err(false) => {
                self.hosts[number].known_end = None;
                self.hosts[number].retry_at_ms = now_ms + BACKOFF_MS;
            }
        }
    }

    fn read_states(&mut self, number: usize) {
        self.store.calls += 1;
        if self.store.is_down {
            self.hosts[number].retry_at_ms = self.now_ms + BACKOFF_MS;
            return;
        }
        self.hosts[number].known_end = Some(self.store.writes.len() as u64);
        if let Some(write) = self.store.writes.last() {
            let state = write.state;
            self.adopt(number, state);
        }
    }

    fn adopt(&mut self, number: usize, state: &str) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[number];
        let phase = match state {
            "running" => {
                host.book.set_recorded(&new_order());
                RolloutPhase::Canary
            }
            "completed" => RolloutPhase::Completed,
            _ => RolloutPhase::RolledBack,
        };
        host.is_announcing |= host.book.enter(now_ms, &new_order(), phase);
    }

    /// Sends due datagrams, every 1 to 9 s between two hosts, and announcements.
    fn gossip(&mut self) {
        for from in 0..self.hosts.len() {
            if !matches!(self.hosts[from].state, HostState::Live) {
                continue;
            }
            let is_announcing = std::mem::replace(&mut self.hosts[from].is_announcing, false);
            for to in 0..self.hosts.len() {
                let next_ms = self.hosts[from].next_send_ms.get(&to).copied().unwrap_or(0);
                if to == from || !is_announcing && self.now_ms < next_ms {
                    continue;
                }
                if self.now_ms >= next_ms {
                    let interval_ms = 1_000 + u64::from(self.random.next_u32()) % 8_000;
                    let next_ms = self.now_ms + interval_ms;
                    self.hosts[from].next_send_ms.insert(to, next_ms);
                }
                self.send(from, to);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize) {
        if !self.can_talk(from, to) {
            return;
        }
        let now_ms = self.now_ms;
        let host = &mut self.hosts[from];
        let version = host.version.clone();
        let is_idle = host.running == 0;
        let statuses = host.book.news(now_ms, is_idle, (SERVICE, &version));
        self.messages.push(Message {
            at_ms: now_ms + NETWORK_MS,
            from,
            to,
            statuses,
            averages: self.hosts[from].averages.clone(),
        });
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = self
            .messages
            .drain(..)
            .partition(|message| message.at_ms <= now_ms);
        self.messages = later;
        let count = self.hosts.len();
        for message in due {
            // A frozen host finds its messages when it resumes; most of them are lost.
            if self.hosts[message.to].state != HostState::Live {
                continue;
            }
            let (sender, version) = {
                let host = &self.hosts[message.from];
                (host.address, host.version.clone())
            };
            let mut is_behind = false;
            let host = &mut self.hosts[message.to];
            host.heard_ms.insert(message.from, now_ms);
            for status in &message.statuses {
                let effect = host.book.merge(now_ms, sender, status, count);
                is_behind |= effect.is_sender_behind;
            }
            let times = message.averages.iter();
            let times = times.map(|(route, ms)| (route.to_string(), *ms as u32));
            host.book
                .record_service_times(sender, (SERVICE, &version), times);
            if is_behind {
                self.send(message.to, message.from);
            }
        }
    }
}

/// The order of the simulation.
fn new_order() -> RolloutOrder {
    RolloutOrder {
        service: SERVICE.to_string(),
        target_version: NEW.to_string(),
        duration_ms: DURATION_MS,
        position: LogPosition {
            era: None,
            offset: 7,
        },
    }
}

fn versioned(host: &SimHost) -> VersionedServer<'_> {
    VersionedServer {
        address: host.address,
        service: SERVICE,
        version: &host.version,
        born_ms: u64::from(host.version == NEW),
    }
}
