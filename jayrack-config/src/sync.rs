//! Distribution of configuration: which daemons read the log, and how records reach every member.
//!
//! A constant number of readers in each data centre follow the log and push new records to a few random
//! members, which relay them once. A member that is behind learns so from the digests in its peers'
//! datagrams and pulls from the peer that is ahead. The version in force never decreases.
mod exchange;
mod fleet;
mod follow;
mod log_reader;
mod message;
mod options;
mod readiness;
mod restore;
mod schedule;

use std::collections::BTreeSet;

use jayrack_protocol::ResultCode;
use rand_pcg::{Pcg64, rand_core::SeedableRng};

use self::{fleet::random_below, log_reader::LogReader};
pub use self::{
    fleet::{FleetMember, FleetView},
    message::{Action, Input, LogAnswer, PeerDigest, PullAnswer, RecordPush},
    options::{Options, OptionsBuilder},
    readiness::Readiness,
    schedule::{ScheduleView, SnapshotPosition, SnapshotSchedule},
};
use crate::{
    fold::ConfigState,
    object::Version,
    snapshot,
    tail::{self, RecordTail},
};

/// Time without a tick after which the process counts as having been suspended, in milliseconds.
const SUSPENSION_THRESHOLD_MS: u64 = 5_000;

/// Limit on the number of reports that are stored to suppress repetitions.
const REPORT_LIMIT: usize = 64;

/// Latest known offsets and time of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct LogView {
    /// Offset of the first record kept.
    first: u64,
    /// Offset of the next record; 0 when unknown.
    next: u64,
    now_ms: u64,
    /// Local time at which `now_ms` was received.
    received_ms: u64,
}

/// Keeps one daemon's configuration up to date.
#[derive(Debug, Clone)]
pub struct ConfigSync {
    options: Options,
    rng: Pcg64,
    state: ConfigState,
    tail: RecordTail,
    fleet: FleetView,
    readiness: Readiness,
    log_reader: LogReader,
    schedule: SnapshotSchedule,
    search: Option<restore::SnapshotSearch>,
    /// Whether the search for the latest snapshot after the start has not ended yet.
    is_restore_pending: bool,
    gap: Option<restore::ExpiredGap>,
    pull: Option<exchange::PullInFlight>,
    next_pull_ms: u64,
    /// Whether this daemon is to read the log once in place of silent readers.
    is_fallback_read_due: bool,
    log: LogView,
    /// Offset of a record that needs a newer release.
    halted: Option<u64>,
    /// Local time of the last sign that some member reads the log.
    last_reader_activity_ms: u64,
    last_tick_ms: u64,
    reported: BTreeSet<(ResultCode, u64)>,
    snapshot_cache: Option<(u64, String)>,
}

impl ConfigSync {
    /// Creates the state machine of the daemon `local`, without any configuration.
    pub fn new(options: Options, local: FleetMember, now_ms: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(options.seed);
        let delay_ms = random_below(&mut rng, options.start_spread_ms);
        let state = ConfigState::new();
        Self {
            tail: RecordTail::new(tail::Options::default(), state.next_offset()),
            fleet: FleetView::new(local, options.readers_per_data_centre),
            readiness: Readiness::default(),
            log_reader: LogReader::new(now_ms + delay_ms),
            schedule: SnapshotSchedule::new(options.retention_ms),
            search: None,
            is_restore_pending: true,
            gap: None,
            pull: None,
            next_pull_ms: now_ms,
            is_fallback_read_due: false,
            log: LogView::default(),
            halted: None,
            last_reader_activity_ms: now_ms,
            last_tick_ms: now_ms,
            reported: BTreeSet::new(),
            snapshot_cache: None,
            options,
            rng,
            state,
        }
    }

    /// The configuration after all folded records.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Whether the daemon may serve.
    pub fn is_ready(&self) -> bool {
        self.readiness.is_ready()
    }

    /// The daemon's view of the fleet.
    pub fn fleet(&self) -> &FleetView {
        &self.fleet
    }

    /// Offset of the record at which the daemon stopped because it needs a newer release.
    pub fn halted(&self) -> Option<u64> {
        self.halted
    }

    /// Version and digest to send to peers; both are 0 until the daemon is ready.
    pub fn announced(&self) -> (Version, u64) {
        match self.is_ready() {
            true => (self.state.version(), self.state.digest()),
            false => (0, 0),
        }
    }

    /// Latest log time known, in milliseconds since the Unix epoch; 0 when unknown.
    pub fn log_now_ms(&self) -> u64 {
        self.log.now_ms
    }

    /// Processes one input and returns the actions to carry out.
    pub fn handle(&mut self, now_ms: u64, input: Input) -> Vec<Action> {
        let version = self.state.version();
        let mut actions = Vec::new();
        self.dispatch(now_ms, input, &mut actions);
        self.close_gap();
        if self.state.version() != version {
            let version = self.state.version();
            actions.push(Action::Installed { version });
        }
        if self.readiness.check(self.state.version(), &self.fleet) {
            self.next_pull_ms = now_ms + random_below(&mut self.rng, exchange::PULL_INTERVAL_MS);
            actions.push(Action::Ready);
        }
        self.search_snapshots(now_ms, &mut actions);
        self.read_log(now_ms, &mut actions);
        self.pull_when_due(now_ms, &mut actions);
        actions
    }

    fn dispatch(&mut self, now_ms: u64, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Tick => self.tick(now_ms),
            Input::LogRead(answer) => self.log_read(now_ms, &answer, actions),
            Input::LogExpired {
                first,
                next,
                now_ms: log_now_ms,
            } => {
                self.log_answered(now_ms, first, next, log_now_ms);
                self.log_expired(now_ms);
            }
            Input::LogFailed => self.log_failed(now_ms, actions),
            Input::SnapshotsRead { records } => self.snapshots_read(now_ms, &records, actions),
            Input::SnapshotsFailed => self.snapshots_failed(now_ms, actions),
            Input::Pushed(push) => self.pushed(now_ms, &push, actions),
            Input::Pulled { peer, answer } => self.pulled(now_ms, peer, &answer, actions),
            Input::PullFailed { peer } => self.pull_ended(peer),
            Input::PeerDigest(digest) => self.peer_digest(now_ms, &digest, actions),
            Input::Members(members) => self.fleet.replace(members),
            Input::MinimumVersion(version) => self.readiness.raise_minimum_version(version),
        }
    }

    fn tick(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_tick_ms);
        self.last_tick_ms = now_ms;
        if elapsed_ms >= SUSPENSION_THRESHOLD_MS {
            self.reset_after_suspension(now_ms);
        }
        self.expire_search(now_ms);
        if self
            .log_reader
            .expire(now_ms, self.fleet.len(), &mut self.rng)
        {
            self.is_fallback_read_due = false;
            self.readiness.log_unavailable();
        }
        self.expire_pull(now_ms);
        self.consider_fallback_read(now_ms, elapsed_ms);
    }

    /// Discards outstanding reads and other state that is outdated after a suspension.
    fn reset_after_suspension(&mut self, now_ms: u64) {
        self.log_reader = LogReader::new(now_ms);
        self.search = None;
        self.pull = None;
        self.log.next = 0;
        self.last_reader_activity_ms = now_ms;
        self.schedule.restart_wait();
        self.schedule.attempted(now_ms);
        self.reset_gap_confirmations(now_ms);
    }

    /// Adds a report unless it was made before; `subject` distinguishes reports with the same code.
    fn report(
        &mut self,
        code: ResultCode,
        subject: u64,
        detail: String,
        actions: &mut Vec<Action>,
    ) {
        if self.reported.len() >= REPORT_LIMIT {
            self.reported.clear();
        }
        if self.reported.insert((code, subject)) {
            actions.push(Action::Report { code, detail });
        }
    }

    fn snapshot_text(&mut self) -> String {
        let offset = self.state.next_offset();
        match &self.snapshot_cache {
            Some((cached, text)) if *cached == offset => text.clone(),
            _ => {
                let text = snapshot::encode(&self.state);
                self.snapshot_cache = Some((offset, text.clone()));
                text
            }
        }
    }
}
