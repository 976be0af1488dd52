//! Simulates an overload of customer requests in virtual time: the crate's pickers, levels and admission
//! queues, with simulated backend servers and clients.
use std::{cmp::Reverse, collections::BTreeMap, collections::BinaryHeap, sync::Arc};

use jayrack_config::table::ServerEntry;
use jayrack_protocol::{MemberId, RequestId};
use jayrack_traffic::{
    AdmissionQueue, RequestClass, ServerPicker, ShedLevels,
    admission::{self, Decision},
    class::request_id,
    pick::{self, FinishReport, PickContext, PickResult},
    shed::{IngressRequest, ShedDecision},
};
use rand_pcg::{
    Pcg64Mcg,
    rand_core::{Rng, SeedableRng},
};

const SLOTS: u32 = 12;
const CUSTOMERS: u64 = 20;
const INGRESSES: usize = 3;
/// Customer requests that arrive from here until [`COUNT_END_US`] are counted.
const COUNT_START_US: u64 = 2_000_000;
const COUNT_END_US: u64 = 10_000_000;
const END_US: u64 = 11_000_000;
const TICK_US: u64 = 10_000;
/// Step of the service time scale: 1024 divided by the golden ratio, which spreads the service times
/// evenly.
const SERVICE_TIME_STEP: u64 = 633;

/// One kind of customer request: a call that holds its slot while its lookup runs.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub rank: u8,
    pub reserved_share_percent: u8,
    pub service: usize,
    pub work_us: u64,
    /// Service and work in microseconds of a lookup that is made before the answer.
    pub lookup: Option<(usize, u64)>,
    /// Number of lookups, made one after another.
    pub lookups: u32,
    pub deadline_ms: u64,
    /// Demand without a flood, in percent of the capacity of its service.
    pub demand_percent: u64,
}

/// Number of backend servers per service, and kinds of work with the most urgent first.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub servers: [usize; 3],
    pub kinds: [Kind; 3],
}

/// The work that exceeds the capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    LeastUrgent,
    MostUrgent,
    OneCustomer,
}

/// Admission policy of the owners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Ranked,
    /// First come, first served, without load shedding.
    Fifo,
}

/// Outcome of the customer requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindOutcome {
    pub offered: u64,
    /// Completed requests among those offered; if more were offered than the ideal, those completed within
    /// the counted time.
    pub completed: u64,
    completed_in_window: u64,
    /// Completed requests in the ideal case: capacity goes to the most urgent rank first, after the
    /// reserved shares.
    pub ideal: f64,
    /// Completed requests if the kind had only its reserved share.
    pub reserved: f64,
    /// Requests offered by, and below completed for, customers that do not flood.
    pub others_offered: u64,
    pub others_completed: u64,
}

/// Outcome of a flood.
#[derive(Debug, Default)]
pub struct FloodOutcome {
    pub kinds: [KindOutcome; 3],
    pub busy_us: u64,
    pub wasted_us: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { kind: usize, flood: bool },
    Offer { server: usize, id: RequestId },
    Finish { server: usize, id: RequestId },
    Tick { server: usize },
}

/// Service, work and depth of a call.
#[derive(Debug, Clone, Copy)]
struct CallSpec {
    service: usize,
    work_us: u64,
    depth: u32,
}

#[derive(Debug)]
struct Call {
    customer_request: u64,
    ingress: usize,
    server: usize,
    sent_us: u64,
    started_us: u64,
    work_us: u64,
    depth: u32,
}

#[derive(Debug)]
struct CustomerRequest {
    kind: usize,
    customer: String,
    is_counted: bool,
    root: RequestId,
    deadline_ms: u64,
    used_us: u64,
    lookups_left: u32,
    has_failed_lookup: bool,
}

struct Simulation {
    deployment: Deployment,
    policy: Policy,
    now_us: u64,
    sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    random: Pcg64Mcg,
    servers: Vec<Vec<Arc<ServerEntry>>>,
    names: BTreeMap<String, usize>,
    queues: Vec<AdmissionQueue>,
    levels: Vec<ShedLevels>,
    pickers: Vec<ServerPicker>,
    calls: BTreeMap<RequestId, Call>,
    requests: BTreeMap<u64, CustomerRequest>,
    rates: [[f64; 2]; 3],
    service_time_steps: [u64; 2],
    outcome: FloodOutcome,
}

/// Runs `deployment` with a demand of `factor` times the capacity for the kind that floods.
pub fn run_flood(
    deployment: Deployment,
    policy: Policy,
    flood: Flood,
    factor: u64,
) -> FloodOutcome {
    let mut simulation = Simulation::new(deployment, flood, factor);
    simulation.policy = policy;
    simulation.run();
    simulation.into_outcome()
}

impl Deployment {
    fn capacity_us(&self, service: usize) -> f64 {
        self.servers[service] as f64 * f64::from(SLOTS) * 1e6
    }

    /// Slot time that one customer request of `kind` takes at each service, including its lookups.
    fn work_us(&self, kind: &Kind) -> [f64; 3] {
        let mut work = [0.0; 3];
        work[kind.service] += kind.work_us as f64;
        if let Some((service, work_us)) = kind.lookup {
            let lookups = f64::from(kind.lookups);
            work[kind.service] += lookups * (work_us + 4_000) as f64;
            work[service] += lookups * work_us as f64;
        }
        work
    }

    /// Ideal and reserved customer requests per second of each kind when `rates` are offered.
    fn ideal(&self, rates: &[f64; 3]) -> ([f64; 3], [f64; 3]) {
        let mut ideal = [0.0; 3];
        let mut reserved_rates = [0.0; 3];
        for (index, kind) in self.kinds.iter().enumerate() {
            let work = self.work_us(kind);
            let mut rate = rates[index];
            let mut reserved_rate = rates[index];
            for (service, work_us) in work.into_iter().enumerate() {
                if work_us == 0.0 {
                    continue;
                }
                let mut left = self.capacity_us(service);
                for (other, other_kind) in self.kinds.iter().enumerate() {
                    let other_us = self.work_us(other_kind)[service];
                    let reserved = left * f64::from(other_kind.reserved_share_percent) / 100.0;
                    left -= match other.cmp(&index) {
                        std::cmp::Ordering::Less => ideal[other] * other_us,
                        std::cmp::Ordering::Equal => 0.0,
                        std::cmp::Ordering::Greater => reserved.min(rates[other] * other_us),
                    };
                }
                rate = rate.min(left.max(0.0) / work_us);
                let reserved_us =
                    self.capacity_us(service) * f64::from(kind.reserved_share_percent) / 100.0;
                reserved_rate = reserved_rate.min(reserved_us / work_us);
            }
            reserved_rates[index] = reserved_rate;
            ideal[index] = rate.max(reserved_rate);
        }
        (ideal, reserved_rates)
    }
}

impl Simulation {
    fn new(deployment: Deployment, flood: Flood, factor: u64) -> Self {
        let mut names = BTreeMap::new();
        let mut servers = Vec::new();
        for (service, count) in deployment.servers.iter().enumerate() {
            let entries = (0..*count).map(|index| Arc::new(server_entry(service, index)));
            let entries: Vec<Arc<ServerEntry>> = entries.collect();
            for entry in &entries {
                names.insert(entry.name.clone(), names.len());
            }
            servers.push(entries);
        }
        let flooding_kind = if flood == Flood::LeastUrgent { 2 } else { 0 };
        let mut rates = [[0.0; 2]; 3];
        for (index, kind) in deployment.kinds.iter().enumerate() {
            let full =
                deployment.capacity_us(kind.service) / deployment.work_us(kind)[kind.service];
            rates[index][0] = full * kind.demand_percent as f64 / 100.0;
            if index == flooding_kind {
                rates[index][1] = full * factor as f64 - rates[index][0];
            }
        }
        let queues = (0..names.len()).map(|_| AdmissionQueue::new(admission::Options::default()));
        let picker = |seed: usize| ServerPicker::new(pick::Options::default(), seed as u64);
        let spread = flood != Flood::OneCustomer;
        if spread {
            rates[flooding_kind] = [rates[flooding_kind][0] + rates[flooding_kind][1], 0.0];
        }
        Self {
            deployment,
            policy: Policy::Ranked,
            now_us: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            random: Pcg64Mcg::seed_from_u64(factor),
            queues: queues.collect(),
            names,
            servers,
            levels: (0..INGRESSES).map(|_| ShedLevels::new()).collect(),
            pickers: (0..INGRESSES + 32).map(picker).collect(),
            calls: BTreeMap::new(),
            requests: BTreeMap::new(),
            rates,
            service_time_steps: [0; 2],
            outcome: FloodOutcome::default(),
        }
    }

    fn run(&mut self) {
        for kind in 0..3 {
            for flood in [false, true] {
                self.schedule_arrival(kind, flood);
            }
        }
        for server in 0..self.queues.len() {
            self.schedule(TICK_US, Event::Tick { server });
        }
        while let Some(Reverse((time_us, _, event))) = self.events.pop() {
            if time_us > END_US {
                return;
            }
            self.now_us = time_us;
            self.handle_event(event);
        }
    }

    fn into_outcome(mut self) -> FloodOutcome {
        let rates = self.rates.map(|[base, flood]| base + flood);
        let (ideal, reserved_rates) = self.deployment.ideal(&rates);
        let seconds = (COUNT_END_US - COUNT_START_US) as f64 / 1e6;
        for (index, kind) in self.outcome.kinds.iter_mut().enumerate() {
            if rates[index] > ideal[index] {
                kind.completed = kind.completed_in_window;
            }
            kind.ideal = (ideal[index] * seconds).min(kind.offered as f64);
            kind.reserved = (reserved_rates[index] * seconds).min(kind.offered as f64);
        }
        std::mem::take(&mut self.outcome)
    }

    fn handle_event(&mut self, event: Event) {
        let now_ms = self.now_us / 1_000;
        match event {
            Event::Arrive { kind, flood } => {
                self.schedule_arrival(kind, flood);
                self.arrive(kind, flood);
            }
            Event::Offer { server, id } => {
                let class = self.class(id);
                let decisions = self.queues[server].offer(now_ms, id, class);
                self.decide(server, decisions);
            }
            Event::Finish { server, id } => self.finish_running(server, id, true),
            Event::Tick { server } => {
                let decisions = self.queues[server].tick(now_ms);
                self.decide(server, decisions);
                self.schedule(TICK_US, Event::Tick { server });
            }
        }
    }

    fn arrive(&mut self, kind: usize, flood: bool) {
        let customer_request = self.random.next_u64();
        let ingress = self.random.next_u64() as usize % INGRESSES;
        let customer = match flood {
            true => "flood".to_string(),
            false => format!("customer-{}", self.random.next_u64() % CUSTOMERS),
        };
        let spec = self.deployment.kinds[kind];
        let request = CustomerRequest {
            kind,
            customer,
            is_counted: (COUNT_START_US..COUNT_END_US).contains(&self.now_us),
            root: RequestId(0),
            deadline_ms: self.now_us / 1_000 + spec.deadline_ms,
            used_us: 0,
            lookups_left: spec.lookups,
            has_failed_lookup: false,
        };
        if request.is_counted {
            self.outcome.kinds[kind].offered += 1;
            self.outcome.kinds[kind].others_offered += u64::from(!flood);
        }
        let service = spec.service.to_string();
        let entry = IngressRequest {
            service: &service,
            rank: spec.rank,
            kind: spec.name,
            customer: &request.customer,
            customer_request,
        };
        let decision = self.levels[ingress].decide(self.now_us / 1_000, &entry);
        if decision == ShedDecision::Refuse && self.policy == Policy::Ranked {
            return;
        }
        self.requests.insert(customer_request, request);
        let call_spec = CallSpec {
            service: spec.service,
            work_us: spec.work_us,
            depth: 0,
        };
        let root = self.send(customer_request, ingress, call_spec);
        if let Some(request) = self.requests.get_mut(&customer_request) {
            request.root = root;
        }
    }

    fn send(&mut self, customer_request: u64, ingress: usize, call_spec: CallSpec) -> RequestId {
        let CallSpec {
            service,
            work_us,
            depth,
        } = call_spec;
        let request = &self.requests[&customer_request];
        let context = PickContext {
            data_centre: "here",
            region: "here",
            excluded: &[],
            rank: self.deployment.kinds[request.kind].rank,
        };
        let now_ms = self.now_us / 1_000;
        let picker = &mut self.pickers[ingress];
        let index = picker
            .pick(now_ms, &self.servers[service], &context)
            .expect("a server");
        let name = self.servers[service][index].name.clone();
        picker.started(now_ms, &name);
        self.sequence += 1;
        let id = request_id(now_ms, u128::from(self.sequence));
        let server = self.names[&name];
        let service_time_scale = 512 + self.service_time_steps[depth as usize] % 1_024;
        self.service_time_steps[depth as usize] += SERVICE_TIME_STEP;
        let call = Call {
            customer_request,
            ingress,
            server,
            sent_us: self.now_us,
            started_us: 0,
            work_us: work_us * service_time_scale / 1_024,
            depth,
        };
        self.calls.insert(id, call);
        self.schedule(2_000, Event::Offer { server, id });
        id
    }

    fn class(&self, id: RequestId) -> RequestClass {
        let call = &self.calls[&id];
        let request = &self.requests[&call.customer_request];
        let kind = &self.deployment.kinds[request.kind];
        let fifo = RequestClass {
            rank: 0,
            reserved_share_percent: 0,
            kind: String::new(),
            customer: String::new(),
            customer_request: 0,
            depth: 0,
            deadline_ms: request.deadline_ms,
            idempotent: true,
        };
        if self.policy == Policy::Fifo {
            return fifo;
        }
        RequestClass {
            rank: kind.rank,
            reserved_share_percent: kind.reserved_share_percent,
            kind: if call.depth > 0 { "lookup" } else { kind.name }.to_string(),
            customer: request.customer.clone(),
            customer_request: call.customer_request,
            depth: call.depth,
            deadline_ms: request.deadline_ms,
            idempotent: true,
        }
    }

    fn decide(&mut self, server: usize, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Refuse(id, _) => self.finish_call(id, PickResult::Refused),
                Decision::Dispatch(id) => self.dispatch(server, id),
            }
        }
    }

    fn dispatch(&mut self, server: usize, id: RequestId) {
        let call = self.calls.get_mut(&id).expect("a call");
        call.started_us = self.now_us;
        let (customer_request, depth, work_us) = (call.customer_request, call.depth, call.work_us);
        if depth > 0 || !self.send_lookup(customer_request, server) {
            self.schedule(work_us, Event::Finish { server, id });
        }
    }

    /// Sends the next lookup of a call at `server`, if there is one.
    fn send_lookup(&mut self, customer_request: u64, server: usize) -> bool {
        let request = self.requests.get_mut(&customer_request).expect("a request");
        let Some((service, work_us)) = self.deployment.kinds[request.kind].lookup else {
            return false;
        };
        if request.lookups_left == 0 {
            return false;
        }
        request.lookups_left -= 1;
        let call_spec = CallSpec {
            service,
            work_us,
            depth: 1,
        };
        self.send(customer_request, INGRESSES + server, call_spec);
        true
    }

    /// Handles the end of a dispatched call at its server.
    fn finish_running(&mut self, server: usize, id: RequestId, is_ok: bool) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let service_us = self.now_us - call.started_us;
        let result = match is_ok {
            true => admission::Result::Ok,
            false => admission::Result::Failed,
        };
        if let Some(request) = self.requests.get_mut(&call.customer_request) {
            request.used_us += service_us;
        }
        let decisions = self.queues[server].finished(self.now_us / 1_000, id, service_us, result);
        self.finish_call(
            id,
            if is_ok {
                PickResult::Ok
            } else {
                PickResult::Failed
            },
        );
        self.decide(server, decisions);
    }

    /// Handles the answer or refusal of a call at its ingress.
    fn finish_call(&mut self, id: RequestId, result: PickResult) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let now_ms = self.now_us / 1_000;
        let load = self.queues[call.server].load();
        let report = FinishReport {
            latency_us: self.now_us - call.sent_us,
            result: if result == PickResult::Failed {
                PickResult::Ok
            } else {
                result
            },
            load: Some(load),
        };
        let name = self
            .servers
            .iter()
            .flatten()
            .nth(call.server)
            .expect("a server")
            .name
            .clone();
        self.pickers[call.ingress].finished(now_ms, &name, &report);
        if call.depth > 0 {
            return self.on_lookup_finished(&call, result);
        }
        let service = self.deployment.kinds[self.requests[&call.customer_request].kind].service;
        self.levels[call.ingress].update(&service.to_string(), &name, load, now_ms);
        let request = self
            .requests
            .remove(&call.customer_request)
            .expect("a request");
        self.record_result(
            &request,
            result == PickResult::Ok && !request.has_failed_lookup,
        );
    }

    /// Handles the end of a lookup: the server of the call continues with its own work, or fails.
    fn on_lookup_finished(&mut self, lookup: &Call, result: PickResult) {
        let Some(request) = self.requests.get_mut(&lookup.customer_request) else {
            return;
        };
        request.has_failed_lookup = result != PickResult::Ok;
        let (root, has_failed_lookup) = (request.root, request.has_failed_lookup);
        let call = &self.calls[&root];
        let (server, work_us) = (call.server, call.work_us);
        if has_failed_lookup {
            return self.finish_running(server, root, false);
        }
        if !self.send_lookup(lookup.customer_request, server) {
            self.schedule(work_us + 2_000, Event::Finish { server, id: root });
        }
    }

    fn record_result(&mut self, request: &CustomerRequest, is_ok: bool) {
        let in_time = self.now_us / 1_000 <= request.deadline_ms;
        if is_ok && in_time && (COUNT_START_US..COUNT_END_US).contains(&self.now_us) {
            self.outcome.kinds[request.kind].completed_in_window += 1;
        }
        if request.is_counted {
            self.outcome.busy_us += request.used_us;
            if !(is_ok && in_time) {
                self.outcome.wasted_us += request.used_us;
            } else {
                let kind = &mut self.outcome.kinds[request.kind];
                kind.completed += 1;
                kind.others_completed += u64::from(request.customer != "flood");
            }
        }
    }

    fn schedule_arrival(&mut self, kind: usize, flood: bool) {
        let rate = self.rates[kind][usize::from(flood)];
        if rate <= 0.0 {
            return;
        }
        let uniform = (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        let gap_us = -(1.0 - uniform).ln() * 1e6 / rate;
        self.schedule(gap_us as u64, Event::Arrive { kind, flood });
    }

    fn schedule(&mut self, after_us: u64, event: Event) {
        self.sequence += 1;
        let entry = (self.now_us + after_us, self.sequence, event);
        self.events.push(Reverse(entry));
    }
}

fn server_entry(service: usize, index: usize) -> ServerEntry {
    ServerEntry {
        name: format!("{service}-{index}"),
        service: service.to_string(),
        owner: MemberId(index as u64),
        forward_address: "127.0.0.1:1".parse().expect("an address"),
        data_centre: "here".to_string(),
        region: "here".to_string(),
        slots: SLOTS,
        connections: 110,
        draining: false,
        warm_percent: 100,
    }
}
