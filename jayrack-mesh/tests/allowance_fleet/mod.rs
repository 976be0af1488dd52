//! A fleet of daemons with rate limits in virtual time, without a network.
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr},
};

use jayrack_mesh::{
    allowance::{
        AllowanceMessage, OverrunBounds,
        borrower::{AllowanceDecision, BorrowOutcome},
        node::{AllowanceNode, FleetView, TICK_INTERVAL_MS},
    },
    tenants::TenantAllowance,
};
use rand_pcg::{
    Pcg32,
    rand_core::{Rng, SeedableRng},
};

pub const HOSTS: usize = 62;
pub const BOUNDS: OverrunBounds = OverrunBounds {
    window_s: 5.0,
    overrun: 0.1,
    slack: 20.0,
};
/// Interval of status datagrams, and of the update of the view of the fleet.
const STATUS_INTERVAL_MS: u64 = 2_000;
const VIEW_INTERVAL_MS: u64 = 250;
/// Period in which a slow host runs and pauses.
const SLOW_PERIOD_MS: u64 = 100;
/// Silence after which a host is not chosen as a lender, as in the daemon.
const SILENCE_MS: u64 = 5_000;
/// Ratio of the limits to the usual rates.
pub const LIMIT_RATIO: f64 = 1.6;

/// Hosts at which a tenant's requests enter, and how fast, from a time on.
#[derive(Debug, Clone)]
pub struct LoadPhase {
    pub from_ms: u64,
    pub rate_per_s: f64,
    pub hosts: Vec<usize>,
}

#[derive(Debug, Clone)]
pub struct SimTenant {
    pub name: String,
    pub allowance: TenantAllowance,
    pub phases: Vec<LoadPhase>,
}

impl SimTenant {
    /// A tenant that sends at its usual rate at all hosts.
    pub fn usual(name: &str, rate_per_s: f64) -> Self {
        let limit = rate_per_s * LIMIT_RATIO;
        Self {
            name: name.to_string(),
            allowance: TenantAllowance {
                rate_per_s: limit,
                burst: limit,
            },
            phases: vec![LoadPhase {
                from_ms: 0,
                rate_per_s,
                hosts: (0..HOSTS).collect(),
            }],
        }
    }

    pub fn then(mut self, from_ms: u64, rate_per_s: f64, hosts: Vec<usize>) -> Self {
        self.phases.push(LoadPhase {
            from_ms,
            rate_per_s,
            hosts,
        });
        self
    }
}

/// Until when a host is slow, and for how long it runs in each period meanwhile.
#[derive(Debug, Clone, Copy, Default)]
struct SlowTime {
    until_ms: u64,
    running_ms: u64,
}

#[derive(Debug)]
enum Event {
    Arrival(usize),
    Deliver(IpAddr, usize, AllowanceMessage),
    Tick(usize),
    Wake(usize),
    Status(usize),
    View(usize),
}

/// Results for one tenant.
#[derive(Debug, Default, Clone)]
pub struct TenantLedger {
    pub arrivals: Vec<u64>,
    pub runs: Vec<u64>,
    pub refusals: Vec<u64>,
}

pub struct SimFleet {
    pub now_ms: u64,
    pub nodes: Vec<AllowanceNode>,
    pub tenants: Vec<SimTenant>,
    pub ledgers: Vec<TenantLedger>,
    /// Limits in force, by tenant; see [`SimFleet::set_limit`].
    pub limits: BTreeMap<String, TenantAllowance>,
    pub loss: f64,
    pub datagrams: u64,
    /// Hosts reach each other only within one group.
    pub groups: Vec<usize>,
    limits_version: u64,
    /// Version of the limits that each host holds.
    known_limits: Vec<u64>,
    slow: Vec<SlowTime>,
    frozen_until_ms: Vec<u64>,
    is_dead: Vec<bool>,
    heard_ms: Vec<Vec<Option<u64>>>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    waiting: BTreeMap<(usize, u64), usize>,
    random: Pcg32,
    starts: u64,
}

pub fn address(host: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, host as u8 + 1))
}

fn host_of(address: IpAddr) -> usize {
    match address {
        IpAddr::V4(address) => usize::from(address.octets()[3]) - 1,
        IpAddr::V6(_) => unreachable!(),
    }
}

impl SimFleet {
    pub fn new(tenants: Vec<SimTenant>, seed: u64) -> Self {
        let limits = tenants
            .iter()
            .map(|tenant| (tenant.name.clone(), tenant.allowance))
            .collect();
        let mut fleet = Self {
            now_ms: 0,
            nodes: Vec::new(),
            ledgers: vec![TenantLedger::default(); tenants.len()],
            tenants,
            limits,
            loss: 0.0,
            datagrams: 0,
            groups: vec![0; HOSTS],
            limits_version: 1,
            known_limits: vec![0; HOSTS],
            frozen_until_ms: vec![0; HOSTS],
            slow: vec![SlowTime::default(); HOSTS],
            is_dead: vec![false; HOSTS],
            heard_ms: vec![vec![Some(0); HOSTS]; HOSTS],
            events: BTreeMap::new(),
            sequence: 0,
            waiting: BTreeMap::new(),
            random: Pcg32::seed_from_u64(seed),
            starts: 0,
        };
        for host in 0..HOSTS {
            let node = fleet.new_node(host);
            fleet.nodes.push(node);
            fleet.update_view(host);
            let offset_ms = fleet.below(STATUS_INTERVAL_MS);
            fleet.push(offset_ms, Event::Status(host));
            fleet.push(offset_ms % TICK_INTERVAL_MS, Event::Tick(host));
            fleet.push(offset_ms % VIEW_INTERVAL_MS, Event::View(host));
        }
        for tenant in 0..fleet.tenants.len() {
            fleet.plan_arrival(tenant);
        }
        fleet
    }

    fn new_node(&mut self, host: usize) -> AllowanceNode {
        self.starts += 1;
        let first_id = self.starts << 32;
        AllowanceNode::new(address(host), BOUNDS, first_id, self.starts)
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.sequence += 1;
        self.events
            .insert((self.now_ms + after_ms, self.sequence), event);
    }

    fn below(&mut self, limit: u64) -> u64 {
        u64::from(self.random.next_u32()) % limit
    }

    fn fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn phase(&self, tenant: usize) -> &LoadPhase {
        let phases = self.tenants[tenant].phases.iter();
        let mut started = phases.filter(|phase| phase.from_ms <= self.now_ms);
        started.next_back().unwrap()
    }

    /// Plans the next arrival: exponential intervals, cut off at the start of the next phase.
    fn plan_arrival(&mut self, tenant: usize) {
        let rate_per_s = self.phase(tenant).rate_per_s;
        let interval_ms = -(1.0 - self.fraction()).ln() * 1_000.0 / rate_per_s;
        // A fraction of a millisecond is rounded at random, so that high rates are kept.
        let after_ms = (interval_ms + self.fraction()) as u64;
        self.push(after_ms.min(1_000), Event::Arrival(tenant));
    }

    /// Runs until `until_ms`.
    pub fn run_until(&mut self, until_ms: u64) {
        while let Some(((at_ms, _), _)) = self.events.first_key_value()
            && *at_ms < until_ms
        {
            let ((at_ms, _), event) = self.events.pop_first().unwrap();
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.now_ms = until_ms;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(tenant) => {
                self.arrive(tenant);
                self.plan_arrival(tenant);
            }
            Event::Deliver(from, host, message) => {
                if self.is_dead[host] {
                    return;
                }
                let left_ms = self.frozen_ms(host).or_else(|| self.paused_ms(host));
                if let Some(left_ms) = left_ms {
                    self.push(left_ms, Event::Deliver(from, host, message));
                    return;
                }
                self.heard_ms[host][host_of(from)] = Some(self.now_ms);
                self.nodes[host].receive(self.now_ms, from, &message);
                self.settle(host);
            }
            Event::Tick(host) | Event::Wake(host) if self.paused_ms(host).is_some() => {
                let left_ms = self.paused_ms(host).unwrap();
                self.push(left_ms, event);
            }
            Event::Tick(host) => {
                if self.is_running(host) {
                    self.nodes[host].tick(self.now_ms);
                    self.settle(host);
                }
                self.push(TICK_INTERVAL_MS, Event::Tick(host));
            }
            Event::Wake(host) => {
                if self.is_running(host) {
                    self.nodes[host].tick(self.now_ms);
                    self.settle(host);
                }
            }
            Event::Status(host) => {
                self.send_status(host);
                self.push(STATUS_INTERVAL_MS, Event::Status(host));
            }
            Event::View(host) => {
                if self.is_running(host) {
                    self.update_view(host);
                }
                self.push(VIEW_INTERVAL_MS, Event::View(host));
            }
        }
    }

    fn frozen_ms(&self, host: usize) -> Option<u64> {
        let left_ms = self.frozen_until_ms[host].saturating_sub(self.now_ms);
        (left_ms > 0).then_some(left_ms)
    }

    /// Time until a slow host goes on, if it is paused.
    fn paused_ms(&self, host: usize) -> Option<u64> {
        let SlowTime {
            until_ms,
            running_ms,
        } = self.slow[host];
        let phase_ms = self.now_ms % SLOW_PERIOD_MS;
        let is_paused = self.now_ms < until_ms && phase_ms >= running_ms;
        is_paused.then_some(SLOW_PERIOD_MS - phase_ms)
    }

    fn is_running(&self, host: usize) -> bool {
        !self.is_dead[host] && self.frozen_ms(host).is_none()
    }

    fn arrive(&mut self, tenant: usize) {
        let phase = self.phase(tenant).clone();
        let host = phase.hosts[self.below(phase.hosts.len() as u64) as usize];
        if !self.is_running(host) {
            return;
        }
        self.ledgers[tenant].arrivals.push(self.now_ms);
        let name = self.tenants[tenant].name.clone();
        let allowance = self.limits[&name];
        let now_ms = self.now_ms;
        match self.nodes[host].request(now_ms, &name, allowance) {
            BorrowOutcome::Decided(decision) => self.record(tenant, decision),
            BorrowOutcome::Waiting(ticket) => {
                self.waiting.insert((host, ticket), tenant);
            }
        }
        self.settle(host);
    }

    fn record(&mut self, tenant: usize, decision: AllowanceDecision) {
        let now_ms = self.now_ms;
        let ledger = &mut self.ledgers[tenant];
        match decision {
            AllowanceDecision::Run(_) => ledger.runs.push(now_ms),
            AllowanceDecision::Refuse(_) => ledger.refusals.push(now_ms),
        }
    }

    /// Sends the messages of a node and records its decisions.
    fn settle(&mut self, host: usize) {
        for (ticket, decision) in self.nodes[host].take_decisions() {
            if let Some(tenant) = self.waiting.remove(&(host, ticket)) {
                self.record(tenant, decision);
            }
        }
        for (receiver, message) in self.nodes[host].take_outgoing() {
            self.datagrams += 1;
            let other = host_of(receiver);
            if self.groups[host] != self.groups[other] || self.fraction() < self.loss {
                continue;
            }
            let after_ms = 1 + self.below(2);
            self.push(after_ms, Event::Deliver(address(host), other, message));
        }
        if let Some(due_ms) = self.nodes[host].due_ms() {
            let after_ms = due_ms.saturating_sub(self.now_ms).max(1);
            self.push(after_ms, Event::Wake(host));
        }
    }

    fn send_status(&mut self, host: usize) {
        if !self.is_running(host) {
            return;
        }
        for other in 0..HOSTS {
            let is_lost = self.fraction() < self.loss;
            if other != host && self.groups[other] == self.groups[host] && !is_lost {
                self.heard_ms[other][host] = Some(self.now_ms);
                self.nodes[other].record_heard(self.now_ms, address(host));
            }
        }
    }

    fn update_view(&mut self, host: usize) {
        let is_live = |other: &usize| {
            let heard_ms = self.heard_ms[host][*other];
            *other == host || heard_ms.is_some_and(|at_ms| self.now_ms - at_ms < SILENCE_MS)
        };
        let view = FleetView {
            live: (0..HOSTS).filter(is_live).map(address).collect(),
            counted: (0..HOSTS).map(address).collect(),
        };
        self.nodes[host].set_fleet(view);
        if self.known_limits[host] != self.limits_version {
            self.known_limits[host] = self.limits_version;
            self.nodes[host].set_limits(self.limits.clone());
        }
    }

    /// Ends a daemon; its waiting requests have not run.
    pub fn kill(&mut self, host: usize) {
        self.is_dead[host] = true;
        self.waiting
            .retain(|(waiting_host, _), _| *waiting_host != host);
    }

    /// Starts a daemon again; it has heard nobody yet, and sends its status at once.
    pub fn start(&mut self, host: usize) {
        self.is_dead[host] = false;
        self.nodes[host] = self.new_node(host);
        self.known_limits[host] = 0;
        self.heard_ms[host] = vec![None; HOSTS];
        self.update_view(host);
        self.send_status(host);
        // The others answer a new record at once.
        for other in 0..HOSTS {
            if self.is_running(other) && self.groups[other] == self.groups[host] {
                self.heard_ms[host][other] = Some(self.now_ms);
            }
        }
    }

    /// Changes a tenant's limit; the hosts receive it with their next view.
    pub fn set_limit(&mut self, tenant: &str, allowance: TenantAllowance) {
        self.limits.insert(tenant.to_string(), allowance);
        self.limits_version += 1;
    }

    pub fn freeze(&mut self, host: usize, for_ms: u64) {
        self.frozen_until_ms[host] = self.now_ms + for_ms;
    }

    /// Lets a daemon run for `running_ms` of each tenth of a second only.
    pub fn slow_down(&mut self, host: usize, for_ms: u64, running_ms: u64) {
        self.slow[host] = SlowTime {
            until_ms: self.now_ms + for_ms,
            running_ms,
        };
    }

    pub fn lender_of(&self, tenant: usize) -> usize {
        let hosts: Vec<IpAddr> = (0..HOSTS).map(address).collect();
        let order = jayrack_mesh::allowance::lender_order(&self.tenants[tenant].name, &hosts);
        host_of(order[0])
    }

    /// Asserts that each window of each tenant holds the bound for `allowance`, or that of the tenant.
    pub fn assert_bounds(&self) {
        for (tenant, ledger) in self.tenants.iter().zip(&self.ledgers) {
            assert_window(&tenant.name, &ledger.runs, tenant.allowance);
        }
    }

    /// Fraction of the requests within the limit that ran, of all tenants together, between two times.
    pub fn admitted_fraction(&self, from_ms: u64, until_ms: u64) -> f64 {
        let tenants = self.tenants.iter().zip(&self.ledgers);
        let (mut ran, mut due) = (0, 0);
        for (tenant, ledger) in tenants {
            let (tenant_ran, tenant_due) = admitted(tenant, ledger, from_ms, until_ms);
            ran += tenant_ran.min(tenant_due);
            due += tenant_due;
        }
        ran as f64 / due as f64
    }

    /// The same for one tenant.
    pub fn tenant_fraction(&self, tenant: usize, from_ms: u64, until_ms: u64) -> f64 {
        let (ran, due) = admitted(
            &self.tenants[tenant],
            &self.ledgers[tenant],
            from_ms,
            until_ms,
        );
        ran as f64 / due as f64
    }
}

/// Most requests that may run in a window.
pub fn window_bound(allowance: TenantAllowance) -> f64 {
    let TenantAllowance { rate_per_s, burst } = allowance;
    (rate_per_s * BOUNDS.window_s + burst) * (1.0 + BOUNDS.overrun) + BOUNDS.slack
}

pub fn assert_window(name: &str, runs: &[u64], allowance: TenantAllowance) {
    let window_ms = (BOUNDS.window_s * 1_000.0) as u64;
    let bound = window_bound(allowance);
    let mut first = 0;
    for (last, at_ms) in runs.iter().enumerate() {
        while runs[first] + window_ms <= *at_ms {
            first += 1;
        }
        let count = (last - first + 1) as f64;
        assert!(
            count <= bound,
            "{name}: {count} of at most {bound} requests ran in the window that ends at {at_ms} ms"
        );
    }
}

/// Requests that ran, and those that one central token bucket would have admitted.
fn admitted(
    tenant: &SimTenant,
    ledger: &TenantLedger,
    from_ms: u64,
    until_ms: u64,
) -> (usize, usize) {
    let TenantAllowance { rate_per_s, burst } = tenant.allowance;
    let (mut level, mut updated_ms) = (burst, 0);
    let mut due = 0;
    for at_ms in &ledger.arrivals {
        level = (level + rate_per_s * (at_ms - updated_ms) as f64 / 1_000.0).min(burst.max(1.0));
        updated_ms = *at_ms;
        if level >= 1.0 {
            level -= 1.0;
            due += usize::from((from_ms..until_ms).contains(at_ms));
        }
    }
    let runs = ledger.runs.iter();
    let ran = runs.filter(|at_ms| (from_ms..until_ms).contains(at_ms));
    (ran.count(), due)
}
