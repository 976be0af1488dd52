//! The control thread: configuration, membership, announcements and the administration API.
//!
//! One loop owns all control state and handles one event at a time. Calls to the log and to peers run
//! in tasks that send their results back as events; the loop publishes the state that the traffic
//! threads need through [`SharedState`].
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

/// Interval of the periodic work of the control state, in milliseconds.
const TICK_INTERVAL_MS: u64 = 100;

/// Result of a task, sent to the control loop.
#[derive(Debug)]
pub enum ControlEvent {
    /// Result of a read of the log.
    Log(Input),
    /// Result of a pull from a peer.
    Peer(Input),
    /// Result of the append of an operator's record.
    Appended {
        /// Identifier of the record.
        record: String,
        /// Offset of the record, or the log's error.
        result: log_calls::AppendResult,
    },
    /// The append budget may now allow an operator's record that was delayed.
    AppendDue {
        /// Identifier of the record.
        record: String,
        /// The record as JSON.
        text: String,
    },
    /// Result of a read or an append of contacts.
    Contacts(contacts::Input),
    /// Burn reports gathered from the fleet.
    Gathered(report_calls::GatheredReport),
}

/// Queues from which the loop receives its events.
#[derive(Debug)]
struct EventQueues {
    events: mpsc::Receiver<ControlEvent>,
    admin: mpsc::Receiver<AdminCall>,
    announcements: mpsc::Receiver<AnnounceCall>,
    sync: mpsc::Receiver<SyncCall>,
    view: watch::Receiver<Arc<MemberView>>,
}

/// Control side of a daemon; also owns the handle that stops the traffic threads.
#[derive(Debug)]
pub struct ControlLoop {
    state: ControlState,
    queues: EventQueues,
    handles: DaemonHandles,
    shared: Arc<SharedState>,
}

/// Handles through which the control state acts on gossip and on the traffic threads.
#[derive(Debug)]
struct DaemonHandles {
    gossip: GossipHandle,
    traffic: TrafficHandle,
}

impl ControlLoop {
    /// Runs until `stop` completes, then refuses new requests, lets requests in flight complete and
    /// closes gossip and the traffic threads.
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
