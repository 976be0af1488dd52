//! State machines of distribution with a fake log and a fake network.
use std::collections::{BTreeMap, VecDeque};

use jayrack_config::{
    record::StoredRecord,
    sync::{Action, ConfigSync, FleetMember, Input, LogAnswer, Options, PullAnswer, RecordPush},
};
use jayrack_protocol::{MemberId, ResultCode};

use super::START_MS;

pub const DATA_CENTRES: [&str; 3] = ["wrecsam", "abertawe", "casnewydd"];

/// Member number `index`; consecutive members are in different data centres.
pub fn member(index: usize) -> FleetMember {
    FleetMember {
        id: MemberId(index as u64 + 1),
        data_centre: DATA_CENTRES[index % 3].to_string(),
    }
}

pub fn members(count: usize) -> Vec<FleetMember> {
    (0..count).map(member).collect()
}

/// One state machine with its own clock.
pub struct Machine {
    pub sync: ConfigSync,
    pub now_ms: u64,
}

impl Machine {
    /// Member 0 of a fleet of `count` after a start without stored state.
    pub fn start(count: usize) -> Self {
        Self::start_as(0, count)
    }

    pub fn start_as(index: usize, count: usize) -> Self {
        let options = Options::builder()
            .seed(index as u64)
            .start_spread_ms(0)
            .build();
        let mut machine = Self {
            sync: ConfigSync::new(options, member(index), START_MS),
            now_ms: START_MS,
        };
        machine.input(Input::Members(members(count)));
        machine
    }

    /// A member that has folded `records` and is ready.
    pub fn ready(index: usize, count: usize, records: &[StoredRecord]) -> Self {
        let mut machine = Self::start_as(index, count);
        machine.input(Input::SnapshotsRead {
            records: Vec::new(),
        });
        machine.read(records, START_MS);
        assert!(machine.sync.is_ready());
        machine
    }

    pub fn input(&mut self, input: Input) -> Vec<Action> {
        self.sync.handle(self.now_ms, input)
    }

    /// Answers a read of the log that ends with the last of `records`.
    pub fn read(&mut self, records: &[StoredRecord], log_now_ms: u64) -> Vec<Action> {
        let next = records
            .last()
            .map_or(self.sync.state().next_offset(), |last| last.offset + 1);
        self.input(Input::LogRead(LogAnswer {
            first: 1,
            next,
            now_ms: log_now_ms,
            records: records.to_vec(),
        }))
    }

    pub fn pulled(&mut self, index: usize, answer: PullAnswer) -> Vec<Action> {
        let peer = member(index).id;
        self.input(Input::Pulled { peer, answer })
    }

    /// Advances the clock in ticks of half a second.
    pub fn advance(&mut self, duration_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..duration_ms / 500 {
            self.now_ms += 500;
            actions.extend(self.input(Input::Tick));
        }
        actions
    }
}

pub fn reports(actions: &[Action]) -> Vec<ResultCode> {
    let codes = actions.iter().filter_map(|action| match action {
        Action::Report { code, .. } => Some(*code),
        _ => None,
    });
    codes.collect()
}

pub fn reads(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|action| matches!(action, Action::ReadLog { .. }))
        .count()
}

pub fn snapshots(actions: &[Action]) -> Vec<&str> {
    let texts = actions.iter().filter_map(|action| match action {
        Action::AppendSnapshot { text } => Some(text.as_str()),
        _ => None,
    });
    texts.collect()
}

/// Delivers pushes until none is left; returns the number sent by each member.
pub fn spread(fleet: &mut [Machine], from: usize, actions: Vec<Action>) -> BTreeMap<usize, usize> {
    let mut sent = BTreeMap::new();
    let mut queue: VecDeque<(usize, Action)> =
        actions.into_iter().map(|action| (from, action)).collect();
    while let Some((sender, action)) = queue.pop_front() {
        let Action::Push {
            peers,
            records,
            hops,
        } = action
        else {
            continue;
        };
        *sent.entry(sender).or_default() += peers.len();
        for peer in peers {
            let receiver = peer.0 as usize - 1;
            let push = RecordPush {
                peer: Some(member(sender).id),
                records: records.clone(),
                hops,
            };
            let actions = fleet[receiver].input(Input::Pushed(push));
            queue.extend(actions.into_iter().map(|action| (receiver, action)));
        }
    }
    sent
}
