//! Control state of a daemon and its event handlers.
use std::sync::Arc;

use jayrack_config::{
    budget::{self, AppendBudget},
    sync::{Action, ConfigSync, Input, PeerDigest, RecordPush},
    tracker::AppendTracker,
};
use jayrack_membership::{
    MemberView,
    contacts::{self, ContactCore},
};
use jayrack_protocol::{MemberId, ResultCode};
use rand_pcg::{Pcg64, rand_core::SeedableRng};
use tokio::sync::mpsc;

use super::{
    ControlEvent, DaemonHandles,
    log_calls::{IntentRead, LogCaller},
    operations::OperationTable,
    peer_calls::{self, PeerCaller, PullCall},
    publish,
    report::{ReportCache, ReportWaiter},
};
use crate::{
    announce::{ServerRegistry, api::AnnounceCall},
    clock::{DaemonClock, unix_ms},
    gossip::GossipEvent,
    metrics::MetricRegistry,
    settings::{DaemonSettings, DistributionMode},
    shared::{LocalServer, SharedState},
    transport::{SyncCall, SyncReply, SyncRequest},
};

/// Delay before each read of the log with [`DistributionMode::Poll`], in milliseconds.
const POLL_INTERVAL_MS: u64 = 1_000;

/// Offset of the first record of a stream.
const FIRST_OFFSET: u64 = 1;

/// Settings and collaborators of the control state.
#[derive(Debug)]
pub struct ControlContext {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// The daemon's clock.
    pub clock: DaemonClock,
    /// Seed of random choices.
    pub seed: u64,
    /// State machine that distributes the configuration.
    pub sync: ConfigSync,
    /// Sends calls to the log.
    pub log: LogCaller,
    /// Sends pulls and pushes to peers.
    pub peers: PeerCaller,
    /// State published to the traffic threads.
    pub shared: Arc<SharedState>,
    /// All metrics.
    pub metrics: MetricRegistry,
    /// Receives the results of tasks.
    pub events: mpsc::Sender<ControlEvent>,
}

/// All control state of one daemon.
#[derive(Debug)]
pub struct ControlState {
    pub(super) context: ControlContext,
    pub(super) operations: OperationTable,
    pub(super) tracker: AppendTracker,
    pub(super) budget: AppendBudget,
    pub(super) view: Arc<MemberView>,
    pub(super) log_is_up: bool,
    pub(super) rng: Pcg64,
    pub(super) report_cache: Option<ReportCache>,
    pub(super) report_waiters: Vec<ReportWaiter>,
    registry: ServerRegistry,
    servers: Vec<LocalServer>,
    published: PublishedState,
    table_is_stale: bool,
    pub(super) contacts: ContactCore,
}

/// State of the configuration that was last passed to gossip.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PublishedState {
    version: u64,
    digest: u64,
    next_offset: u64,
}

impl ControlState {
    /// Creates the state with an empty membership view and no backend servers.
    pub fn new(context: ControlContext) -> Self {
        let budget_options = budget::Options {
            fleet_per_second: context.settings.log.appends_per_second,
            ..budget::Options::default()
        };
        Self {
            operations: OperationTable::default(),
            tracker: AppendTracker::new(),
            budget: AppendBudget::new(budget_options, 1, context.clock.now_ms()),
            view: Arc::new(MemberView::default()),
            log_is_up: false,
            rng: Pcg64::seed_from_u64(context.seed),
            contacts: ContactCore::new(
                context.settings.listen.gossip,
                context.seed,
                context.clock.now_ms(),
            ),
            report_cache: None,
            report_waiters: Vec::new(),
            registry: ServerRegistry::new(context.settings.timeouts.announce_ms),
            servers: Vec::new(),
            published: PublishedState::default(),
            table_is_stale: false,
            context,
        }
    }

    /// Expires silent servers and overdue operations, advances the state machines and rebuilds a stale
    /// route table.
    pub fn tick(&mut self, handles: &DaemonHandles) {
        let now_ms = self.now_ms();
        self.registry.expire(now_ms);
        self.publish_servers(handles);
        self.step(handles, Input::Tick);
        self.contact_step(handles, contacts::Input::Tick);
        self.operations.expire(now_ms, self.context.sync.state());
        if std::mem::take(&mut self.table_is_stale) {
            publish::publish_table(&self.context.shared, self.context.sync.state(), &self.view);
        }
    }

    /// Handles the result of a task.
    pub fn handle_event(&mut self, handles: &DaemonHandles, event: ControlEvent) {
        match event {
            ControlEvent::Log(input) => {
                self.log_is_up = !matches!(input, Input::LogFailed | Input::SnapshotsFailed);
                self.step(handles, input);
            }
            ControlEvent::Peer(input) => self.step(handles, input),
            ControlEvent::AppendDue { record, text } => self.append_within_budget(record, text),
            ControlEvent::Contacts(input) => self.contact_step(handles, input),
            ControlEvent::Gathered(gathered) => self.handle_gathered(gathered),
            ControlEvent::Appended { record, result } => self.handle_append_result(&record, result),
        }
    }

    /// Handles the announcement of a backend server.
    pub fn handle_announcement(&mut self, handles: &DaemonHandles, call: AnnounceCall) {
        let result = self.registry.announce(self.now_ms(), call.announcement);
        let _ = call.reply.send(result);
        self.publish_servers(handles);
    }

    /// Handles a pull or a push of configuration by a peer.
    pub fn handle_sync_call(&mut self, handles: &DaemonHandles, call: SyncCall) {
        let reply = match call.request {
            SyncRequest::Pull(request) => {
                let minimum_version = self.minimum_version_of(MemberId(request.sender));
                let max = request.max_records as usize;
                let answer = self
                    .context
                    .sync
                    .answer_pull(request.from, max, minimum_version);
                SyncReply::Pull(peer_calls::pull_reply(answer))
            }
            SyncRequest::Push(request) => {
                let push = RecordPush {
                    peer: self.peer_at(call.from),
                    records: peer_calls::from_wire(request.records),
                    hops: request.hops,
                };
                self.step(handles, Input::Pushed(push));
                SyncReply::Push(peer_calls::push_reply(
                    self.context.sync.state().next_offset(),
                ))
            }
        };
        let _ = call.reply.send(reply);
    }

    /// Handles a changed membership view.
    pub fn handle_view(&mut self, handles: &DaemonHandles, view: Arc<MemberView>) {
        let is_new = view.generation != self.view.generation;
        self.view = view;
        if !is_new {
            return;
        }
        let now_ms = self.now_ms();
        self.budget.resize(self.view.running().count(), now_ms);
        publish::publish_peers(&self.context.shared, &self.view);
        self.table_is_stale = true;
        let role = contacts::role(&self.view, self.context.shared.local);
        self.contact_step(handles, contacts::Input::Role(role));
        self.step(handles, Input::Members(publish::fleet_members(&self.view)));
    }

    /// Handles a peer's report of its state or of this daemon's minimum version.
    pub fn handle_gossip_event(&mut self, handles: &DaemonHandles, event: GossipEvent) {
        let input = match event {
            GossipEvent::MinimumVersion(version) => Input::MinimumVersion(version),
            GossipEvent::Peer(report) => Input::PeerDigest(PeerDigest {
                peer: report.peer,
                version: report.state.version,
                digest: report.state.digest,
                next_offset: Some(report.state.next_offset),
                log_now_ms: None,
            }),
        };
        self.step(handles, input);
    }

    /// Current time of the daemon's monotonic clock, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        self.context.clock.now_ms()
    }

    /// Passes one input to the state machine of configuration distribution and performs the actions that
    /// it returns.
    pub(super) fn step(&mut self, handles: &DaemonHandles, input: Input) {
        let now_ms = self.now_ms();
        let actions = self.context.sync.handle(now_ms, input);
        for action in actions {
            self.perform(handles, action);
        }
        self.operations.answer_folded(self.context.sync.state());
        self.publish_applied(handles);
    }

    fn perform(&mut self, handles: &DaemonHandles, action: Action) {
        match action {
            Action::ReadLog { from, max, wait_ms } => self.read_log(from, max, wait_ms),
            Action::ReadSnapshots => self.context.log.read_snapshots(),
            Action::AppendSnapshot { text } => self.append_snapshot(text),
            Action::Push {
                peers,
                records,
                hops,
            } => self.push(&peers, records, hops),
            Action::Pull { peer, from, max } => self.pull(peer, from, max),
            Action::Folded {
                offset,
                record_id,
                outcome,
                ..
            } => {
                log::info!(offset, record = record_id.as_str(), outcome:? = outcome; "record folded");
                self.tracker.folded(&record_id, offset, &outcome);
                self.operations.set_offset(&record_id, offset);
            }
            Action::Installed { version } => {
                log::info!(version; "configuration in force");
                self.tracker.reconcile(self.context.sync.state());
                publish::publish_table(&self.context.shared, self.context.sync.state(), &self.view);
            }
            Action::Ready => {
                log::info!(version = self.context.sync.state().version(); "ready");
                publish::publish_table(&self.context.shared, self.context.sync.state(), &self.view);
                if self.context.sync.state().next_offset() == FIRST_OFFSET {
                    handles.traffic.assume_complete();
                }
                self.context.shared.set_ready();
                handles.gossip.set_ready(true);
            }
            Action::Report { code, detail } => log::warn!(code = code.number(); "{detail}"),
        }
    }

    fn is_polling(&self) -> bool {
        self.context.settings.distribution == DistributionMode::Poll
    }

    fn read_log(&self, from: u64, max: usize, wait_ms: u64) {
        let delay_ms = if self.is_polling() {
            POLL_INTERVAL_MS
        } else {
            0
        };
        let read = IntentRead {
            from,
            max,
            wait_ms,
            delay_ms,
        };
        self.context.log.read_intents(read);
    }

    fn append_snapshot(&mut self, text: String) {
        match self.budget.charge(self.now_ms()) {
            Ok(()) => self.context.log.append_snapshot(text),
            Err(_) => log::warn!(code = ResultCode::LogThrottled.number(); "snapshot not appended"),
        }
    }

    fn push(
        &self,
        peers: &[MemberId],
        records: Vec<jayrack_config::record::StoredRecord>,
        hops: u32,
    ) {
        if self.is_polling() {
            return;
        }
        for peer in peers {
            if let Some(address) = publish::forward_address(&self.view, *peer) {
                self.context.peers.push(address, records.clone(), hops);
            }
        }
    }

    fn pull(&mut self, peer: MemberId, from: u64, max: usize) {
        if let Some(address) = publish::forward_address(&self.view, peer) {
            self.context.peers.pull(PullCall {
                peer,
                address,
                from,
                max,
            });
        }
    }

    fn publish_servers(&mut self, handles: &DaemonHandles) {
        let servers = self.registry.servers(self.now_ms());
        if servers == self.servers {
            return;
        }
        log::info!(servers = servers.len(); "backend servers changed");
        handles
            .gossip
            .set_servers(publish::server_records(&servers));
        self.context.shared.servers.store(Arc::new(servers.clone()));
        self.servers = servers;
    }

    fn publish_applied(&mut self, handles: &DaemonHandles) {
        let (version, digest) = self.context.sync.announced();
        let current = PublishedState {
            version,
            digest,
            next_offset: self.context.sync.state().next_offset(),
        };
        if current != self.published {
            self.published = current;
            handles
                .gossip
                .set_applied(current.version, current.digest, current.next_offset);
        }
    }

    fn minimum_version_of(&self, member: MemberId) -> u64 {
        self.view
            .get(member)
            .map_or(0, |entry| entry.minimum_version)
    }

    fn peer_at(&self, address: std::net::SocketAddr) -> Option<MemberId> {
        let found = self
            .view
            .running()
            .find(|entry| entry.record.forward_address == address);
        found.map(|entry| entry.record.id)
    }

    pub(super) fn unix_ms(&self) -> u64 {
        match self.context.sync.log_now_ms() {
            0 => unix_ms(),
            log_now_ms => log_now_ms,
        }
    }
}
