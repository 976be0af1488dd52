//! Membership over UDP: drives [`jayrack_membership::MembershipCore`].
//!
//! * [`counters`]: datagrams and bytes for the metrics.
//! * `driver`: the task that owns the socket and the state machine.
pub mod counters;
mod driver;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use jayrack_membership::{
    MemberRecord, MemberView, ServerRecord,
    core::{self, AppliedState},
};
use jayrack_protocol::{MemberId, ResultCode, auth::FleetKeys};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
};

use counters::GossipCounters;

/// Maximum number of events that wait for the control thread; further ones are dropped.
const MAX_QUEUED_EVENTS: usize = 256;
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Error of starting gossip.
#[derive(Debug)]
pub enum Error {
    /// The UDP socket could not be bound to the address.
    Bind(SocketAddr, io::Error),
    /// The address is unspecified (such as `0.0.0.0`), so peers could not identify the member by it.
    Unspecified(SocketAddr),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Bind(address, error) => write!(f, "cannot listen on {address}: {error}"),
            Error::Unspecified(address) => {
                write!(f, "{address} is not the address of an interface")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Settings of the driver.
#[derive(Debug, Clone)]
pub struct Options {
    /// Address to listen on; peers must see datagrams come from it.
    pub listen: SocketAddr,
    /// Keys that authenticate datagrams.
    pub keys: FleetKeys,
    /// Settings of the state machine.
    pub core: core::Options,
    /// This daemon's record.
    pub local: MemberRecord,
    /// Seed of the state machine's random choices.
    pub seed: u64,
}

/// State of a peer's configuration, as reported by the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerReport {
    /// The peer.
    pub peer: MemberId,
    /// Version, digest and next offset of its configuration.
    pub state: AppliedState,
}

/// Event that the driver reports in addition to the membership view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GossipEvent {
    /// A peer reported the state of its configuration.
    Peer(PeerReport),
    /// Version that a peer knows from an earlier daemon at this address; this daemon must not serve a
    /// lower one.
    MinimumVersion(u64),
}

/// A command of the control thread to the driver.
#[derive(Debug)]
enum Command {
    Input(core::Input),
    Close,
}

/// Controls the running driver.
#[derive(Debug)]
pub struct GossipHandle {
    commands: mpsc::UnboundedSender<Command>,
    view: watch::Receiver<Arc<MemberView>>,
    /// Events of the driver, in the order of arrival.
    pub events: mpsc::Receiver<GossipEvent>,
    need_contacts: Arc<Notify>,
    counters: Arc<GossipCounters>,
    task: JoinHandle<()>,
}

impl GossipHandle {
    /// Publishes the backend servers beside this daemon.
    pub fn set_servers(&self, servers: Vec<ServerRecord>) {
        self.input(core::Input::Servers(servers));
    }

    /// Publishes the state of this daemon's configuration.
    pub fn set_applied(&self, version: u64, digest: u64, next_offset: u64) {
        let state = AppliedState {
            version,
            digest,
            next_offset,
        };
        self.input(core::Input::Applied(state));
    }

    /// Publishes whether this daemon has caught up with the configuration.
    pub fn set_ready(&self, ready: bool) {
        self.input(core::Input::Ready(ready));
    }

    /// Replaces the addresses to join through.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.input(core::Input::Seeds(seeds));
    }

    /// Returns a receiver of the membership view, which is notified of each change.
    pub fn view(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.clone()
    }

    /// Notified when no other member is known and no seed answers.
    pub fn need_contacts(&self) -> Arc<Notify> {
        self.need_contacts.clone()
    }

    /// Datagrams and bytes for the metrics.
    pub fn counters(&self) -> Arc<GossipCounters> {
        self.counters.clone()
    }

    /// Announces to the fleet that this daemon leaves, then closes the socket.
    pub async fn close(self) {
        self.input(core::Input::Leave);
        let abort = self.task.abort_handle();
        let is_late = tokio::time::timeout(LEAVE_TIMEOUT, self.task)
            .await
            .is_err();
        if is_late {
            abort.abort();
        }
    }

    /// Closes the socket without announcing it to the fleet, as a crash would.
    pub async fn close_abruptly(self) {
        if self.commands.send(Command::Close).is_ok() {
            self.task.await.unwrap_or_default();
        }
    }

    fn input(&self, input: core::Input) {
        if self.commands.send(Command::Input(input)).is_err() {
            log::debug!("gossip has stopped");
        }
    }
}

/// Binds the socket and starts the driver on the runtime of the caller.
pub async fn start(options: Options) -> Result<GossipHandle, Error> {
    let listen = options.listen;
    if listen.ip().is_unspecified() {
        return Err(Error::Unspecified(listen));
    }
    let socket = UdpSocket::bind(listen)
        .await
        .map_err(|error| Error::Bind(listen, error))?;
    log::info!(address:% = listen, member:% = options.local.id; "gossip started");
    let (commands, command_queue) = mpsc::unbounded_channel();
    let (event_sender, events) = mpsc::channel(MAX_QUEUED_EVENTS);
    let (view_sender, view) = watch::channel(Arc::new(MemberView::default()));
    let need_contacts = Arc::new(Notify::new());
    let counters = Arc::new(GossipCounters::default());
    let outputs = driver::Outputs {
        view: view_sender,
        events: event_sender,
        need_contacts: need_contacts.clone(),
        counters: counters.clone(),
    };
    let task = tokio::spawn(driver::run(socket, options, command_queue, outputs));
    Ok(GossipHandle {
        commands,
        view,
        events,
        need_contacts,
        counters,
        task,
    })
}

/// Logs a datagram that was discarded.
fn log_rejected(from: SocketAddr, reason: &str) {
    let code = ResultCode::DatagramRejected;
    log::debug!(code = code.number(), from:% = from; "datagram rejected: {reason}");
}
