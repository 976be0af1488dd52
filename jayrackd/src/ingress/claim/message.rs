//! Conversion between claims and the messages that daemons exchange.
use jayrack_protocol::{
    MemberId, RequestId,
    forward::{self, ClaimAction, ClaimAnswer, ClaimCall, ClaimVerdict},
};
use jayrack_traffic::claim::{ClaimReply, ClaimRequest, ClaimState, KeyHolder};

/// Makes the message about `holder` for a claim replica of the key.
pub(super) fn to_call(claim: &ClaimRequest, holder: KeyHolder, action: ClaimAction) -> ClaimCall {
    ClaimCall {
        key_high: (claim.key_hash >> 64) as u64,
        key_low: claim.key_hash as u64,
        request_digest: claim.request_digest,
        action: action.into(),
        holder: Some(from_holder(holder)),
        replaces: claim.replaces.map(from_holder),
        ingress: claim.ingress.0,
    }
}

/// Reads a claim; `None` when the message names no holder.
pub(super) fn to_claim(call: &ClaimCall) -> Option<ClaimRequest> {
    let holder = to_holder(call.holder?);
    Some(ClaimRequest {
        key_hash: (u128::from(call.key_high) << 64) | u128::from(call.key_low),
        request_digest: call.request_digest,
        request: holder.request,
        ingress: MemberId(call.ingress),
        owner: holder.owner,
        replaces: call.replaces.map(to_holder),
    })
}

/// Returns the holder of the key once `claim` is granted.
pub(super) fn holder_of(claim: &ClaimRequest) -> KeyHolder {
    KeyHolder {
        request: claim.request,
        owner: claim.owner,
        attempt: 0,
    }
}

/// Reads the answer to a claim; `None` when the verdict does not belong to a claim or the holder is
/// missing.
pub(super) fn to_reply(answer: &ClaimAnswer) -> Option<ClaimReply> {
    let held = |state| {
        let holder = to_holder(answer.holder?);
        Some(ClaimReply::Held { holder, state })
    };
    match answer.verdict() {
        ClaimVerdict::Granted => Some(ClaimReply::Granted),
        ClaimVerdict::HeldOpen => held(ClaimState::Open),
        ClaimVerdict::HeldDone => held(ClaimState::Done),
        ClaimVerdict::HeldUnknown => held(ClaimState::Unknown),
        ClaimVerdict::Mismatch => Some(ClaimReply::Mismatch),
        ClaimVerdict::CannotVouch => Some(ClaimReply::CannotVouch),
        ClaimVerdict::Full => Some(ClaimReply::Full),
        ClaimVerdict::Superseded => None,
    }
}

/// Whether the replica granted the claim or executed the action.
pub(super) fn is_granted(answer: &ClaimAnswer) -> bool {
    answer.verdict() == ClaimVerdict::Granted
}

/// Makes the answer to a claim.
pub(super) fn from_reply(reply: &ClaimReply) -> ClaimAnswer {
    let (verdict, holder) = match reply {
        ClaimReply::Granted => (ClaimVerdict::Granted, None),
        ClaimReply::Held { holder, state } => (from_state(*state), Some(*holder)),
        ClaimReply::Mismatch => (ClaimVerdict::Mismatch, None),
        ClaimReply::CannotVouch => (ClaimVerdict::CannotVouch, None),
        ClaimReply::Full => (ClaimVerdict::Full, None),
    };
    ClaimAnswer {
        verdict: verdict.into(),
        holder: holder.map(from_holder),
    }
}

/// Makes an answer without a holder.
pub(super) fn from_verdict(verdict: ClaimVerdict) -> ClaimAnswer {
    ClaimAnswer {
        verdict: verdict.into(),
        holder: None,
    }
}

/// Reads a holder.
pub(super) fn to_holder(holder: forward::KeyHolder) -> KeyHolder {
    KeyHolder {
        request: RequestId::from_halves(holder.request_high, holder.request_low),
        owner: MemberId(holder.owner),
        attempt: holder.attempt,
    }
}

fn from_holder(holder: KeyHolder) -> forward::KeyHolder {
    let (request_high, request_low) = holder.request.halves();
    forward::KeyHolder {
        request_high,
        request_low,
        owner: holder.owner.0,
        attempt: holder.attempt,
    }
}

fn from_state(state: ClaimState) -> ClaimVerdict {
    match state {
        ClaimState::Open => ClaimVerdict::HeldOpen,
        ClaimState::Done => ClaimVerdict::HeldDone,
        ClaimState::Unknown => ClaimVerdict::HeldUnknown,
    }
}

/// Returns the action of `call`; `None` when its number is unknown.
pub(super) fn action_of(call: &ClaimCall) -> Option<ClaimAction> {
    ClaimAction::try_from(call.action).ok()
}
