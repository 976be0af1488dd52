//! Random histories of a log, written by authors that lag behind.
use jayrack_config::{
    fold::ConfigState,
    object::{ConfigChange, ConfigObject, ObjectKey},
    record::{self, DecisionRecord, IntentRecord, ProposedRecord, Role, StoredRecord},
    validate,
};
use proptest::prelude::*;

use super::{START_MS, put, rank, remove, route, service};

#[derive(Debug, Clone)]
pub enum Step {
    /// Proposes a plan and confirms it at once.
    Accept {
        author: Author,
        lag: u8,
        change: ConfigChange,
    },
    Propose {
        plan: u8,
        author: Author,
        lag: u8,
        change: ConfigChange,
    },
    Decide {
        plan: u8,
        author: Author,
        confirm: bool,
    },
    Repeat {
        back: u8,
    },
    Garbage {
        text: String,
    },
    AdvanceClock {
        minutes: u8,
    },
}

#[derive(Debug, Clone)]
pub struct Author {
    team: &'static str,
    role: Role,
}

fn author() -> impl Strategy<Value = Author> {
    let team = prop_oneof![3 => Just("shop"), 1 => Just("college")];
    let role =
        prop_oneof![6 => Just(Role::Operator), 2 => Just(Role::Admin), 1 => Just(Role::Viewer)];
    (team, role).prop_map(|(team, role)| Author { team, role })
}

fn object() -> impl Strategy<Value = ConfigObject> {
    prop_oneof![
        (0..3u8, 0..3u8, 0..60u8).prop_map(|(name, order, reserved_percent)| rank(
            &format!("r{name}"),
            order,
            reserved_percent
        )),
        (0..3u8).prop_map(|name| service(&format!("s{name}"))),
        (0..3u8, 0..3u8, 0..3u8).prop_map(|(name, service, rank)| {
            route(
                &format!("p{name}"),
                &format!("s{service}"),
                &format!("r{rank}"),
            )
        }),
    ]
}

fn change() -> impl Strategy<Value = ConfigChange> {
    let single = object().prop_map(|object| put(vec![object]));
    let single_removal = object().prop_map(|object| remove(vec![object.key()]));
    let keys = prop::collection::vec(object().prop_map(|object| object.key()), 0..2);
    let many = (prop::collection::vec(object(), 0..4), keys);
    prop_oneof![
        3 => single,
        2 => single_removal,
        2 => many.prop_map(|(put, remove)| ConfigChange { put, remove }),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (author(), 0..6u8, change())
            .prop_map(|(author, lag, change)| Step::Accept { author, lag, change }),
        6 => (0..12u8, author(), 0..6u8, change())
            .prop_map(|(plan, author, lag, change)| Step::Propose { plan, author, lag, change }),
        6 => (0..12u8, author(), prop::bool::weighted(0.8))
            .prop_map(|(plan, author, confirm)| Step::Decide { plan, author, confirm }),
        2 => any::<u8>().prop_map(|back| Step::Repeat { back }),
        1 => ".{0,20}".prop_map(|text| Step::Garbage { text }),
        1 => (1..20u8).prop_map(|minutes| Step::AdvanceClock { minutes }),
    ]
}

pub fn steps(limit: usize) -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..limit)
}

/// Writes the records that the steps lead to, each author seeing the state some records ago.
pub fn write_log(steps: &[Step]) -> Vec<StoredRecord> {
    let mut log = RandomLog {
        records: Vec::new(),
        states: vec![ConfigState::new()],
        now_ms: START_MS,
    };
    for step in steps {
        log.apply(step);
    }
    log.records
}

struct RandomLog {
    records: Vec<StoredRecord>,
    /// The state before each record and after the last.
    states: Vec<ConfigState>,
    now_ms: u64,
}

impl RandomLog {
    fn apply(&mut self, step: &Step) {
        let last = self.records.len();
        match step {
            Step::AdvanceClock { minutes } => self.now_ms += u64::from(*minutes) * 60_000,
            Step::Garbage { text } => self.append(text.clone()),
            Step::Repeat { .. } if last == 0 => {}
            Step::Repeat { back } => {
                let index = last - 1 - usize::from(*back) % last;
                self.append(self.records[index].data.clone());
            }
            Step::Propose {
                plan,
                author,
                lag,
                change,
            } => {
                self.append(self.proposed(&format!("plan{plan}"), author, *lag, change));
            }
            Step::Decide {
                plan,
                author,
                confirm,
            } => {
                self.append(decision(&format!("plan{plan}"), author, *confirm, last));
            }
            Step::Accept {
                author,
                lag,
                change,
            } => {
                let plan = format!("accept{last}");
                self.append(self.proposed(&plan, author, *lag, change));
                self.append(decision(&plan, author, true, last + 1));
            }
        }
    }

    fn append(&mut self, data: String) {
        self.now_ms += 5;
        let stored = StoredRecord {
            offset: self.records.len() as u64 + 1,
            time_ms: self.now_ms,
            data,
        };
        let mut state = self.states[self.records.len()].clone();
        state.apply(&stored).expect("record is understood");
        self.states.push(state);
        self.records.push(stored);
    }

    fn proposed(&self, plan: &str, author: &Author, lag: u8, change: &ConfigChange) -> String {
        let last = self.records.len();
        let state = &self.states[last.saturating_sub(usize::from(lag))];
        let base = |key: ObjectKey| (key.clone(), state.object_version(&key));
        record::encode(&IntentRecord::Proposed(ProposedRecord {
            record: format!("record{last}"),
            plan: plan.to_string(),
            team: author.team.to_string(),
            role: author.role,
            after: state.next_offset() - 1,
            base_version: state.version(),
            base: validate::touched(change).into_iter().map(base).collect(),
            change: change.clone(),
            note: String::new(),
        }))
    }
}

fn decision(plan: &str, author: &Author, confirm: bool, serial: usize) -> String {
    let decision = DecisionRecord {
        record: format!("record{serial}"),
        plan: plan.to_string(),
        team: author.team.to_string(),
        role: author.role,
    };
    record::encode(&match confirm {
        true => IntentRecord::Confirmed(decision),
        false => IntentRecord::Dropped(decision),
    })
}
