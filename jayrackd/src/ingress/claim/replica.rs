//! Claim replica: stores claims on idempotency keys for requests of all ingresses.
use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use jayrack_protocol::{
    MemberId,
    forward::{ClaimAction, ClaimAnswer, ClaimCall, ClaimVerdict},
};
use jayrack_traffic::{
    ClaimRegistry,
    claim::{self, ClaimOutcome},
};
use quinn::RecvStream;

use super::{
    super::attempt::OwnerLocation,
    message::{self, to_holder},
};
use crate::{
    clock::DaemonClock,
    traffic::{Options, TrafficState},
    transport::{
        Error,
        wire::{self, StreamKind, StreamSender},
    },
};

/// Longest encoded claim, in bytes.
const CLAIM_MESSAGE_BYTES: usize = 1024;

/// Time limit for a replica's answer, after which its connection is discarded.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Claims stored by this daemon.
#[derive(Debug)]
pub(crate) struct ClaimReplica {
    registry: Mutex<ClaimRegistry>,
    clock: DaemonClock,
}

impl ClaimReplica {
    pub(crate) fn new(options: &Options) -> Self {
        let since_ms = options
            .claims_known_since_ms
            .unwrap_or_else(|| options.clock.now_ms());
        let claim_options = claim::Options {
            retention_ms: options.claims.retention_ms,
            max_claims: options.claims.max_claims,
        };
        Self {
            registry: Mutex::new(ClaimRegistry::new(since_ms, claim_options)),
            clock: options.clock,
        }
    }

    /// Lets this replica vouch at once, since no claim can have been made before it started.
    pub(crate) fn assume_complete(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.assume_complete();
    }

    /// Executes `call`; `None` when it is malformed.
    fn answer(&self, call: &ClaimCall) -> Option<ClaimAnswer> {
        let now_ms = self.clock.now_ms();
        let claim = message::to_claim(call)?;
        let holder = to_holder(call.holder?);
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let outcome = match message::action_of(call)? {
            ClaimAction::Claim => {
                return Some(message::from_reply(&registry.claim(now_ms, &claim)));
            }
            ClaimAction::RecordOwner => {
                let holds = registry.record_owner(now_ms, claim.key_hash, holder);
                return Some(message::from_verdict(if holds {
                    ClaimVerdict::Granted
                } else {
                    ClaimVerdict::Superseded
                }));
            }
            ClaimAction::ResolveDone => ClaimOutcome::Done,
            ClaimAction::ResolveNotRun => ClaimOutcome::NotRun,
            ClaimAction::ResolveUnknown => ClaimOutcome::Unknown,
        };
        registry.resolve(now_ms, claim.key_hash, claim.request, outcome);
        Some(message::from_verdict(ClaimVerdict::Granted))
    }
}

/// Sends `call` to `replica`; `None` when it does not answer in time.
pub(super) async fn call(
    state: &TrafficState,
    replica: MemberId,
    call: ClaimCall,
) -> Option<ClaimAnswer> {
    let address = match OwnerLocation::find(state, replica)? {
        OwnerLocation::Local => return state.claims.answer(&call),
        OwnerLocation::Remote(address) => address,
    };
    let mut stream = state.peers.open(address).await.ok()?;
    let connection = stream.connection.clone();
    let calling = async {
        let start = wire::encode_start(StreamKind::Claim, &call);
        stream.send.write_chunk(start).await?;
        stream.send.finish()?;
        wire::read_message(&mut stream.receive, CLAIM_MESSAGE_BYTES).await
    };
    match tokio::time::timeout(CALL_TIMEOUT, calling).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(_)) | Err(_) => {
            state.peers.discard(address, &connection);
            None
        }
    }
}

/// Serves a stream of the kind [`StreamKind::Claim`].
pub(crate) async fn serve_claim(
    send: &mut StreamSender,
    mut receive: RecvStream,
    state: &TrafficState,
) -> Result<(), Error> {
    let call: ClaimCall = wire::read_message(&mut receive, CLAIM_MESSAGE_BYTES).await?;
    let answer = state.claims.answer(&call).ok_or(Error::Malformed)?;
    send.write_message(&answer).await?;
    send.finish()
}
