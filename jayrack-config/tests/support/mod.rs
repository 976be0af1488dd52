//! Fixtures for the tests of configuration.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod naive;
pub mod steps;
pub mod world;

use jayrack_config::{
    fold::{ConfigState, Outcome},
    object::{ConfigChange, ConfigObject, ObjectKey, RankSpec, RouteSpec, ServiceSpec},
    plan::{self, Operator, PlanView, ProposeRequest, Role},
    record::StoredRecord,
    table::ServerEntry,
};
use jayrack_protocol::MemberId;
use proptest::test_runner::{Config, FileFailurePersistence, RngSeed};

pub const START_MS: u64 = 1_700_000_000_000;

/// Settings of a property test with a fixed seed, which stores the seeds of failures.
pub fn property(cases: u32, seeds: &'static str) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(seeds))),
        ..Config::default()
    }
}

pub fn rank(name: &str, order: u8, floor_percent: u8) -> ConfigObject {
    ConfigObject::Rank(RankSpec {
        name: name.to_string(),
        order,
        floor_percent,
        deadline_ms: 5_000,
    })
}

pub fn service(name: &str) -> ConfigObject {
    ConfigObject::Service(ServiceSpec {
        name: name.to_string(),
        objectives: Vec::new(),
    })
}

pub fn route_spec(name: &str, service: &str, rank: &str) -> RouteSpec {
    RouteSpec {
        name: name.to_string(),
        host: String::new(),
        path_prefix: format!("/{name}"),
        methods: Vec::new(),
        service: service.to_string(),
        rank: rank.to_string(),
        kind: "lookup".to_string(),
        weight: 1,
        idempotent: true,
        pinned: Vec::new(),
    }
}

pub fn route(name: &str, service: &str, rank: &str) -> ConfigObject {
    ConfigObject::Route(route_spec(name, service, rank))
}

pub fn put(objects: Vec<ConfigObject>) -> ConfigChange {
    ConfigChange {
        put: objects,
        remove: Vec::new(),
    }
}

pub fn remove(keys: Vec<ObjectKey>) -> ConfigChange {
    ConfigChange {
        put: Vec::new(),
        remove: keys,
    }
}

pub fn operator(team: &str) -> Operator<'_> {
    Operator {
        team,
        role: Role::Operator,
    }
}

pub fn admin(team: &str) -> Operator<'_> {
    Operator {
        team,
        role: Role::Admin,
    }
}

pub fn server(name: &str, service: &str) -> ServerEntry {
    ServerEntry {
        name: name.to_string(),
        service: service.to_string(),
        owner: MemberId(1),
        forward_address: "127.0.0.1:1".parse().expect("address"),
        data_centre: "wrecsam".to_string(),
        region: "wales".to_string(),
        slots: 12,
        connections: 110,
        draining: false,
        warm_percent: 100,
    }
}

/// A log with one state that has folded all of it.
#[derive(Debug, Clone)]
pub struct LogFixture {
    pub records: Vec<StoredRecord>,
    pub now_ms: u64,
    pub state: ConfigState,
}

impl LogFixture {
    pub fn new() -> Self {
        Self {
            records: Vec::new(),
            now_ms: START_MS,
            state: ConfigState::new(),
        }
    }

    /// A log in which team `shop` has a rank, a service and a route in force.
    pub fn with_route() -> Self {
        let mut log = Self::new();
        let objects = vec![
            rank("urgent", 0, 10),
            service("bookings"),
            route("book", "bookings", "urgent"),
        ];
        log.accept("first", put(objects));
        log
    }

    pub fn append(&mut self, data: String) -> Outcome {
        self.now_ms += 10;
        let record = StoredRecord {
            offset: self.records.len() as u64 + 1,
            time_ms: self.now_ms,
            data,
        };
        self.records.push(record.clone());
        self.state.apply(&record).expect("record is understood")
    }

    pub fn propose(
        &mut self,
        plan_id: &str,
        operator: &Operator<'_>,
        change: ConfigChange,
    ) -> Outcome {
        let text = propose(&self.state, plan_id, operator, change).expect("change is valid");
        self.append(text)
    }

    pub fn confirm(&mut self, plan_id: &str, operator: &Operator<'_>) -> Outcome {
        let record_id = format!("{plan_id}-confirm-{}", self.records.len());
        let text = plan::confirm(&self.state, operator, plan_id, &record_id).expect("plan is open");
        self.append(text)
    }

    pub fn accept(&mut self, plan_id: &str, change: ConfigChange) -> Outcome {
        self.propose(plan_id, &operator("shop"), change);
        self.confirm(plan_id, &operator("shop"))
    }

    pub fn view(&self, plan_id: &str) -> PlanView {
        plan::view(&self.state, plan_id).expect("plan is known")
    }
}

pub fn propose(
    state: &ConfigState,
    plan_id: &str,
    operator: &Operator<'_>,
    change: ConfigChange,
) -> Result<String, plan::Error> {
    let request = ProposeRequest {
        plan_id,
        record_id: &format!("{plan_id}-propose"),
        change,
        note: "",
        servers: &[],
        now_ms: START_MS,
    };
    plan::propose(state, operator, request).map(|proposal| proposal.record_json)
}
