//! Claims on an Idempotency-Key: the driver at the ingress and the service of the claim replicas.
use std::{sync::Arc, time::Duration};

use jayrack_protocol::{
    MemberId, ResultCode,
    forward::{ClaimAction, RequestHead},
};
use jayrack_traffic::{
    ClaimCoordinator,
    claim::{self, ClaimRequest, KeyHolder, PeerSummary},
    coordinate::{self, Action, Input},
};
use tokio::task::JoinSet;
use xxhash_rust::xxh3;

use super::{
    attempt::{self, OwnerLocation},
    router,
};
use crate::{owner::OwnerAnswer, shared::PeerEntry, traffic::TrafficState};

mod message;
mod replica;

pub(crate) use replica::{ClaimReplica, serve_claim};

/// The request that a key is claimed for.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClaimSubject<'a> {
    pub(super) key: &'a str,
    pub(super) head: &'a RequestHead,
    pub(super) body: &'a [u8],
    /// The owner that the request is going to be sent to.
    pub(super) owner: MemberId,
    /// Deadline in milliseconds of the daemon's clock.
    pub(super) deadline_ms: u64,
}

/// Result of claiming a key.
#[derive(Debug)]
pub(super) enum ClaimResult {
    /// The request may run.
    Granted(Box<KeyClaim>),
    /// The answer of an earlier request with this key.
    EarlierAnswer(OwnerAnswer),
    /// The code to refuse the request with.
    Refused(ResultCode),
}

/// A granted claim.
#[derive(Debug)]
pub(super) struct KeyClaim {
    driver: ClaimDriver,
    /// Whether a retry has taken over the key, so that this request does not run.
    is_superseded: bool,
}

#[derive(Debug)]
struct ClaimDriver {
    coordinator: ClaimCoordinator,
    claim: ClaimRequest,
    replicas: Vec<MemberId>,
    wait_ms: u64,
}

enum DriveResult {
    Granted,
    Superseded,
    EarlierAnswer(OwnerAnswer),
    Refused(ResultCode),
}

/// Claims the key for the request.
pub(super) async fn acquire(state: &Arc<TrafficState>, subject: ClaimSubject<'_>) -> ClaimResult {
    let claim = to_claim(state, subject);
    let now_ms = state.clock.now_ms();
    let peers: Vec<PeerSummary> = state
        .shared
        .peers
        .load()
        .iter()
        .map(|peer| summary(peer, now_ms))
        .collect();
    let retention_ms = state.options.claims.retention_ms;
    let replicas = claim::claim_replicas(claim.key_hash, &peers, now_ms, retention_ms);
    let options = coordinate::Options {
        deadline_ms: subject.deadline_ms,
        ..coordinate::Options::default()
    };
    let mut driver = ClaimDriver {
        replicas: replicas.asked.clone(),
        coordinator: ClaimCoordinator::new(options, claim.clone(), replicas),
        claim,
        wait_ms: subject.deadline_ms,
    };
    match driver.drive(state, Input::Start).await {
        DriveResult::Granted => ClaimResult::Granted(Box::new(KeyClaim {
            driver,
            is_superseded: false,
        })),
        DriveResult::EarlierAnswer(answer) => ClaimResult::EarlierAnswer(answer),
        DriveResult::Refused(code) => {
            log::info!(
                request = driver.claim.request.to_string(),
                code = code.number(),
                holder:? = driver.coordinator.holder();
                "claim refused"
            );
            ClaimResult::Refused(code)
        }
        DriveResult::Superseded => ClaimResult::Refused(ResultCode::OutcomeUnknown),
    }
}

impl KeyClaim {
    /// Records that the request goes to another owner; returns whether it may.
    pub(super) async fn record_owner(
        &mut self,
        state: &Arc<TrafficState>,
        owner: MemberId,
    ) -> bool {
        let input = Input::Retry { owner };
        let result = self.driver.drive(state, input).await;
        self.is_superseded = !matches!(result, DriveResult::Granted);
        !self.is_superseded
    }

    /// Reports the request's outcome to the claim replicas.
    ///
    /// Returns at once unless the request did not run: then it waits until the replicas have freed
    /// the key, since a retry may arrive as soon as the caller has its answer, and the owner may not
    /// know later that the request did not run.
    pub(super) async fn resolve(
        self,
        state: &Arc<TrafficState>,
        result: &Result<OwnerAnswer, ResultCode>,
    ) {
        let action = match result {
            _ if self.is_superseded => ClaimAction::ResolveNotRun,
            Ok(answer) if answer.code().is_not_run() => ClaimAction::ResolveNotRun,
            Ok(_) => ClaimAction::ResolveDone,
            Err(code) if code.is_not_run() => ClaimAction::ResolveNotRun,
            Err(_) => ClaimAction::ResolveUnknown,
        };
        let mut calls = resolve_at(state, &self.driver.replicas, &self.driver.claim, action);
        if action == ClaimAction::ResolveNotRun {
            while calls.join_next().await.is_some() {}
        } else {
            calls.detach_all();
        }
    }
}

impl ClaimDriver {
    /// Drives the claim until it is granted, refused or answered by an earlier request.
    async fn drive(&mut self, state: &Arc<TrafficState>, first: Input<OwnerAnswer>) -> DriveResult {
        let mut calls = JoinSet::new();
        let mut input = first;
        loop {
            let actions = self.coordinator.handle(state.clock.now_ms(), input);
            for action in actions {
                if let Some(result) = self.act(state, action, &mut calls) {
                    return result;
                }
            }
            input = self.next_input(state, &mut calls).await;
        }
    }

    fn act(
        &mut self,
        state: &Arc<TrafficState>,
        action: Action<OwnerAnswer>,
        calls: &mut JoinSet<Input<OwnerAnswer>>,
    ) -> Option<DriveResult> {
        match action {
            Action::SendClaim { replica, claim } => {
                calls.spawn(send_claim(state.clone(), replica, claim));
            }
            Action::RecordOwner { replica, holder } => {
                calls.spawn(record_owner(
                    state.clone(),
                    replica,
                    self.claim.clone(),
                    holder,
                ));
            }
            Action::QueryHolder { holder, fence } => {
                calls.spawn(query_holder(state.clone(), holder, fence));
            }
            Action::Release { replicas } => {
                resolve_at(state, &replicas, &self.claim, ClaimAction::ResolveNotRun).detach_all();
            }
            Action::Wait { until_ms } => self.wait_ms = until_ms,
            Action::Run => return Some(DriveResult::Granted),
            Action::Superseded => return Some(DriveResult::Superseded),
            Action::ReturnAnswer(answer) => return Some(DriveResult::EarlierAnswer(answer)),
            Action::ReturnCode(code) => return Some(DriveResult::Refused(code)),
        }
        None
    }

    async fn next_input(
        &self,
        state: &TrafficState,
        calls: &mut JoinSet<Input<OwnerAnswer>>,
    ) -> Input<OwnerAnswer> {
        let left_ms = self.wait_ms.saturating_sub(state.clock.now_ms());
        let timer = tokio::time::sleep(Duration::from_millis(left_ms));
        tokio::select! {
            Some(Ok(input)) = calls.join_next() => input,
            () = timer => Input::Timeout,
        }
    }
}

async fn send_claim(
    state: Arc<TrafficState>,
    replica: MemberId,
    claim: ClaimRequest,
) -> Input<OwnerAnswer> {
    let call = message::to_call(&claim, message::holder_of(&claim), ClaimAction::Claim);
    let answer = replica::call(&state, replica, call).await;
    match answer.and_then(|answer| message::to_reply(&answer)) {
        Some(reply) => Input::Reply { replica, reply },
        None => Input::ReplicaLost { replica },
    }
}

async fn record_owner(
    state: Arc<TrafficState>,
    replica: MemberId,
    claim: ClaimRequest,
    holder: KeyHolder,
) -> Input<OwnerAnswer> {
    let call = message::to_call(&claim, holder, ClaimAction::RecordOwner);
    match replica::call(&state, replica, call).await {
        Some(answer) => Input::Recorded {
            replica,
            holder,
            holds: message::is_granted(&answer),
        },
        None => Input::ReplicaLost { replica },
    }
}

async fn query_holder(
    state: Arc<TrafficState>,
    holder: KeyHolder,
    fence: bool,
) -> Input<OwnerAnswer> {
    let Some(location) = OwnerLocation::find(&state, holder.owner) else {
        return Input::QueryLost;
    };
    match attempt::query(&state, location, holder.request, fence).await {
        Ok(query_result) => Input::QueryReply(query_result),
        Err(_) => Input::QueryLost,
    }
}

/// Sends a request's outcome to its claim replicas; dropping the returned set aborts the calls that
/// still run.
fn resolve_at(
    state: &Arc<TrafficState>,
    replicas: &[MemberId],
    claim: &ClaimRequest,
    action: ClaimAction,
) -> JoinSet<()> {
    let mut calls = JoinSet::new();
    for replica in replicas.iter().copied() {
        let call = message::to_call(claim, message::holder_of(claim), action);
        let state = state.clone();
        calls.spawn(async move {
            // A replica that does not answer frees the key when the claim is past its retention.
            replica::call(&state, replica, call).await;
        });
    }
    calls
}

fn to_claim(state: &TrafficState, subject: ClaimSubject<'_>) -> ClaimRequest {
    let head = subject.head;
    let scope = format!("{}\n{}\n{}", head.service, head.customer, subject.key);
    let mut digest = xxh3::Xxh3::new();
    digest.update(head.method.as_bytes());
    digest.update(b"\n");
    digest.update(head.target.as_bytes());
    digest.update(b"\n");
    digest.update(subject.body);
    ClaimRequest {
        key_hash: xxh3::xxh3_128(scope.as_bytes()),
        request_digest: digest.digest(),
        request: router::id_of(head),
        ingress: state.shared.local,
        owner: subject.owner,
        replaces: None,
    }
}

fn summary(peer: &PeerEntry, now_ms: u64) -> PeerSummary {
    PeerSummary {
        id: peer.id,
        alive: peer.is_alive,
        alive_since_ms: peer.alive_since_ms,
        dead_since_ms: peer.stopped_ms(now_ms),
    }
}
