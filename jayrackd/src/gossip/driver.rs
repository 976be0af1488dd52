//! The task that owns the socket and the state machine.
use std::{net::SocketAddr, sync::Arc, time::Duration};

use jayrack_membership::{
    MemberView, MembershipCore,
    core::{Action, Input, TICK_INTERVAL_MS},
    wire,
};
use jayrack_protocol::{auth::FleetKeys, gossip::Datagram};
use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{Instant, Interval, MissedTickBehavior, interval},
};

use super::{Command, GossipEvent, Options, PeerReport, counters::GossipCounters, log_rejected};

/// Larger than any accepted datagram, so that a longer one is detected as too long.
const RECEIVE_BUFFER_BYTES: usize = 2_048;
/// Maximum number of datagrams read from the socket before a tick is handled.
const MAX_DATAGRAMS_PER_DRAIN: usize = 512;

/// Channels and counters to which the driver reports.
#[derive(Debug)]
pub(super) struct Outputs {
    pub(super) view: watch::Sender<Arc<MemberView>>,
    pub(super) events: mpsc::Sender<GossipEvent>,
    pub(super) need_contacts: Arc<Notify>,
    pub(super) counters: Arc<GossipCounters>,
}

/// Runs until the daemon has left or the handle is dropped.
pub(super) async fn run(
    socket: UdpSocket,
    options: Options,
    mut commands: mpsc::UnboundedReceiver<Command>,
    outputs: Outputs,
) {
    let mut driver = GossipDriver::new(socket, options, outputs);
    let mut ticks = tick_interval();
    driver.publish_view();
    while !driver.is_closed {
        tokio::select! {
            biased;
            _ = ticks.tick() => driver.tick(),
            command = commands.recv() => driver.execute(command),
            readable = driver.socket.readable() => match readable {
                Ok(()) => driver.drain_socket(),
                Err(error) => log::warn!(error:% = error; "gossip socket failed"),
            },
        }
        tokio::task::consume_budget().await;
    }
}

fn tick_interval() -> Interval {
    let mut ticks = interval(Duration::from_millis(TICK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

struct GossipDriver {
    socket: UdpSocket,
    keys: FleetKeys,
    core: MembershipCore,
    started: Instant,
    outputs: Outputs,
    is_view_stale: bool,
    is_closed: bool,
}

impl GossipDriver {
    fn new(socket: UdpSocket, options: Options, outputs: Outputs) -> Self {
        Self {
            socket,
            keys: options.keys,
            core: MembershipCore::new(options.core, options.local, options.seed, 0),
            started: Instant::now(),
            outputs,
            is_view_stale: true,
            is_closed: false,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Handles the datagrams that have arrived before it advances time, so that after a stall of this
    /// process the answers that wait in the socket are taken into account.
    fn tick(&mut self) {
        self.drain_socket();
        self.input(Input::Tick);
    }

    fn drain_socket(&mut self) {
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_DRAIN {
            let Ok((length, from)) = self.socket.try_recv_from(&mut buffer) else {
                break;
            };
            self.receive(from, &buffer[..length]);
        }
        self.publish_view();
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        self.outputs.counters.count_received(bytes.len());
        let Some(payload) = self.keys.verify(bytes) else {
            return self.reject(from, "not authentic");
        };
        match wire::decode(payload) {
            Ok(datagram) => self.handle(Input::Datagram {
                from,
                datagram: Box::new(datagram),
            }),
            Err(error) => self.reject(from, &error.to_string()),
        }
    }

    fn reject(&self, from: SocketAddr, reason: &str) {
        self.outputs.counters.count_rejected();
        log_rejected(from, reason);
    }

    fn execute(&mut self, command: Option<Command>) {
        match command {
            Some(Command::Input(input)) => self.input(input),
            Some(Command::Close) | None => self.is_closed = true,
        }
    }

    fn input(&mut self, input: Input) {
        self.handle(input);
        self.publish_view();
    }

    fn handle(&mut self, input: Input) {
        let now_ms = self.now_ms();
        for action in self.core.handle(now_ms, input) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send { to, datagram } => self.send(to, &datagram),
            Action::Changed => self.is_view_stale = true,
            Action::PeerApplied { peer, state } => {
                self.report(GossipEvent::Peer(PeerReport { peer, state }))
            }
            Action::MinimumVersion { version } => self.report(GossipEvent::MinimumVersion(version)),
            Action::NeedContacts => self.outputs.need_contacts.notify_one(),
            Action::HasLeft => self.is_closed = true,
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let signed = self.keys.sign(wire::encode(datagram));
        match self.socket.try_send_to(&signed, to) {
            Ok(length) => self.outputs.counters.count_sent(length),
            Err(error) => log::debug!(to:% = to, error:% = error; "datagram not sent"),
        }
    }

    /// Queues an event; if the queue is full it is dropped, and the peer's next datagram repeats it.
    fn report(&self, event: GossipEvent) {
        if self.outputs.events.try_send(event).is_err() {
            log::trace!("gossip event dropped");
        }
    }

    fn publish_view(&mut self) {
        if std::mem::take(&mut self.is_view_stale) {
            let view = Arc::new(self.core.view().clone());
            self.outputs.view.send_replace(view);
        }
    }
}
