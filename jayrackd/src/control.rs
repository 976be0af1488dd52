//! The control thread: configuration, membership, announcements and the administration API.
//!
//! One loop owns all control state and takes one event at a time. Calls to the log and to peers run
//! in tasks that report back as events; what traffic needs is published through [`SharedState`].
mod admin_calls;
mod contact_steps;
pub mod log_calls;
pub mod operations;
pub mod peer_calls;
pub mod publish;
mod report;
mod report_calls;
mod sample;
mod start;
mod state;
pub mod views;

use std::sync::Arc;

use jayrack_config::sync::Input;
use jayrack_membership::{MemberView, contacts};
use tokio::sync::{mpsc, watch};

pub use start::{Error, start};
use state::ControlState;

use crate::{
    admin::AdminCall,
    announce::api::AnnounceCall,
    gossip::{GossipEvent, GossipHandle},
    shared::SharedState,
    traffic::TrafficHandle,
    transport::SyncCall,
};

/// Time between two ticks of the control state, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

/// A result that a task reports to the loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// The log answered a read.
    Log(Input),
    /// A peer answered a pull.
    Peer(Input),
    /// The log answered the append of an operator's record.
    Appended {
        /// Identifier of the record.
        record: String,
        /// What the log answered.
        result: log_calls::AppendResult,
    },
    /// An operator's record that waited for the append budget may be tried again.
    AppendDue {
        /// Identifier of the record.
        record: String,
        /// Text of the record.
        text: String,
    },
    /// The log answered a call about contacts.
    Contacts(contacts::Input),
    /// The fleet answered for a report.
    Gathered(report_calls::GatheredReport),
}

/// Queues that the loop takes its events from.
#[derive(Debug)]
struct EventQueues {
    events: mpsc::Receiver<ControlEvent>,
    admin: mpsc::Receiver<AdminCall>,
    announcements: mpsc::Receiver<AnnounceCall>,
    sync: mpsc::Receiver<SyncCall>,
    view: watch::Receiver<Arc<MemberView>>,
}

/// The running control side of a daemon, with the traffic side under it.
#[derive(Debug)]
pub struct ControlLoop {
    state: ControlState,
    queues: EventQueues,
    handles: DaemonHandles,
    shared: Arc<SharedState>,
}

/// The parts of the daemon that the control state acts through.
#[derive(Debug)]
struct DaemonHandles {
    gossip: GossipHandle,
    traffic: TrafficHandle,
}

impl ControlLoop {
    /// Runs until `stop` completes, then refuses new work, lets requests in flight complete and closes.
    pub async fn run(mut self, stop: impl Future<Output = ()>) {
        let mut stop = std::pin::pin!(stop);
        let mut ticks = tokio::time::interval(std::time::Duration::from_millis(TICK_INTERVAL_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut stop => break,
                _ = ticks.tick() => self.state.tick(&self.handles),
                Some(event) = self.queues.events.recv() => self.state.handle_event(&self.handles, event),
                Some(call) = self.queues.admin.recv() => self.state.handle_admin_call(&self.handles, call),
                Some(call) = self.queues.announcements.recv() => self.state.handle_announcement(&self.handles, call),
                Some(call) = self.queues.sync.recv() => self.state.handle_sync_call(&self.handles, call),
                Ok(()) = self.queues.view.changed() => {
                    let view = self.queues.view.borrow_and_update().clone();
                    self.state.handle_view(&self.handles, view);
                }
                Some(event) = self.handles.gossip.events.recv() => self.handle_gossip_event(event),
            }
        }
        self.close().await;
    }

    fn handle_gossip_event(&mut self, event: GossipEvent) {
        self.state.handle_gossip_event(&self.handles, event);
    }

    async fn close(self) {
        log::info!("stopping");
        self.shared.set_leaving();
        self.handles.gossip.close().await;
        self.handles.traffic.close().await;
        log::info!("stopped");
    }
}
