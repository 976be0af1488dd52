//! Drives the state machine that reads contacts from the log and publishes this daemon's own.
use std::net::SocketAddr;

use jayrack_membership::contacts;

use super::{DaemonHandles, state::ControlState};

impl ControlState {
    /// Passes one input to the state machine of contacts and performs the actions that it returns.
    pub(super) fn contact_step(&mut self, handles: &DaemonHandles, input: contacts::Input) {
        let now_ms = self.now_ms();
        for action in self.contacts.handle(now_ms, input) {
            match action {
                contacts::Action::Read => self.context.log.read_contacts(),
                contacts::Action::Seeds(seeds) => handles.gossip.set_seeds(seeds),
                contacts::Action::Append(address) => self.append_contact(handles, address),
            }
        }
    }

    fn append_contact(&mut self, handles: &DaemonHandles, address: SocketAddr) {
        match self.budget.charge(self.now_ms()) {
            Ok(()) => self.context.log.append_contact(address),
            Err(_) => self.contact_step(handles, contacts::Input::Failed),
        }
    }
}
