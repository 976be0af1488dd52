//! Values of the control side for metrics.
use jayrack_membership::in_force;

use super::{DaemonHandles, state::ControlState};
use crate::metrics::{ChannelSample, ControlSample};

impl ControlState {
    /// Reads the current values.
    pub(super) fn sample(&self, handles: &DaemonHandles) -> ControlSample {
        let version = self.context.shared.table.load().version;
        let force = in_force::in_force(&self.view, version);
        let gauges = handles.traffic.gauges();
        ControlSample {
            version,
            is_ready: self.context.sync.is_ready(),
            log_is_up: self.log_is_up,
            is_reader: self.context.sync.fleet().is_reader(),
            members: force.of as u64,
            behind: force.behind.len() as u64,
            running: u64::from(gauges.running),
            queued: u64::from(gauges.queued),
            caller_connections: gauges.caller_connections as u64,
            peer_connections: gauges.peer_connections as u64,
            channels: vec![gossip_sample(handles), self.log_sample()],
        }
    }

    fn log_sample(&self) -> ChannelSample {
        let counts = self.context.log.traffic();
        ChannelSample {
            channel: "log",
            sent_bytes: counts.sent_bytes,
            received_bytes: counts.received_bytes,
            sent_units: counts.connections,
            received_units: 0,
        }
    }
}

fn gossip_sample(handles: &DaemonHandles) -> ChannelSample {
    let counts = handles.gossip.counters().read();
    ChannelSample {
        channel: "gossip",
        sent_bytes: counts.sent_bytes,
        received_bytes: counts.received_bytes,
        sent_units: counts.sent_datagrams,
        received_units: counts.received_datagrams,
    }
}
