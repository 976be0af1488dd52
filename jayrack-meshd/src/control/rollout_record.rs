//! Recorded states of roll-outs in the store.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::rollout::{RolloutOrder, RolloutPhase};
use jayrack_platform::{
    rollout::{self, RecordedState, STATE_TOPIC, StateRecord},
    store::{Error, KeyedBatch, LogPosition},
};
use tokio::time::{Instant, timeout};

use super::{ControlState, rollout::enter};

/// Time limit for a call, shorter than for other calls: a final state is to be recorded before the deadline.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Backoff after a failed call; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Largest number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 3;

/// Calls to the store about roll-outs.
#[derive(Debug, Default)]
pub(super) struct StoreCalls {
    /// Where the topic ended after the latest call; `None` if the states are to be read first.
    end: Option<LogPosition>,
    failures: u32,
    retry_at: Option<Instant>,
}

/// Call about the recorded state of an order.
#[derive(Debug, Clone, Copy)]
pub(super) enum StateCall {
    /// Read the recorded states.
    Read,
    /// Record a state.
    Record(RecordedState),
    /// Record the final state again, unless the store still holds it.
    Restore,
}

/// Starts a task that makes a call about the order of `service`. Does nothing while such a task runs or during the backoff.
pub(super) fn start(control: &Arc<ControlState>, service: &str, call: StateCall) {
    let is_ready = control
        .rollout_calls
        .try_lock()
        .is_ok_and(|calls| calls.retry_at.is_none_or(|at| Instant::now() >= at));
    if !is_ready {
        return;
    }
    let (control, service) = (control.clone(), service.to_string());
    tokio::spawn(async move {
        let Ok(mut calls) = control.rollout_calls.try_lock() else {
            return;
        };
        let result = match call {
            StateCall::Read => read_states(&control, &mut calls).await.map(|_| ()),
            StateCall::Record(state) => record(&control, &mut calls, &service, state).await,
            StateCall::Restore => restore(&control, &mut calls, &service).await,
        };
        match result {
            Ok(()) => {
                calls.failures = 0;
                calls.retry_at = None;
            }
            Err(error) => {
                // An answer may have been lost; the topic is read before the next write.
                calls.end = None;
                let doublings = calls.failures.min(MAX_DOUBLINGS);
                calls.failures += 1;
                calls.retry_at = Some(Instant::now() + INITIAL_BACKOFF * (1 << doublings));
                log::warn!(service = service.as_str(), call:? = call, error:% = error; "state of the roll-out not recorded");
            }
        }
    });
}

async fn record(
    control: &ControlState,
    calls: &mut StoreCalls,
    service: &str,
    state: RecordedState,
) -> Result<(), Error> {
    if calls.end.is_none() {
        read_states(control, calls).await?;
    }
    let Some(order) = recordable_order(control, service, state) else {
        return Ok(());
    };
    let Some(end) = calls.end else {
        return Ok(());
    };
    let value = encode(state, &order)?;
    let key = rollout::key(service);
    match limited(control.store.put_at(STATE_TOPIC, &key, &value, end)).await {
        Ok(end) => {
            calls.end = Some(end);
            adopt(control, &order, state).await;
            Ok(())
        }
        // Another state was recorded first, perhaps that of this roll-out, or the store has lost the latest ones.
        Err(Error::Moved(_) | Error::Superseded) => {
            read_states(control, calls).await?;
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// Records the final state of the order of `service` again, unless the store still holds it.
async fn restore(
    control: &ControlState,
    calls: &mut StoreCalls,
    service: &str,
) -> Result<(), Error> {
    let states = read_states(control, calls).await?;
    let Some((order, state)) = final_state(control, service) else {
        return Ok(());
    };
    let known = StateRecord {
        state,
        target_version: order.target_version.clone(),
    };
    if known.is_missing_in(stored_state(&states, service).as_ref()) {
        let value = encode(state, &order)?;
        let key = rollout::key(service);
        let put = control.store.put_at(STATE_TOPIC, &key, &value, states.next);
        calls.end = Some(limited(put).await?);
        log::info!(service = service, state:? = state; "recorded a state of a roll-out again that the store had lost");
    }
    control.mesh.rollouts().set_state_restored(&order);
    Ok(())
}

/// The order of `service` and its final state, if it has one.
fn final_state(control: &ControlState, service: &str) -> Option<(RolloutOrder, RecordedState)> {
    let rollouts = control.mesh.rollouts();
    let (order, phase) = rollouts.rollout(service)?;
    let state = match phase {
        RolloutPhase::Completed => RecordedState::Completed,
        RolloutPhase::RolledBack => RecordedState::RolledBack,
        RolloutPhase::Unknown
        | RolloutPhase::Canary
        | RolloutPhase::Promoting
        | RolloutPhase::Draining
        | RolloutPhase::RollingBack => return None,
    };
    Some((order.clone(), state))
}

fn encode(state: RecordedState, order: &RolloutOrder) -> Result<Vec<u8>, Error> {
    rollout::encode_state(state, &order.target_version)
        .map_err(|error| Error::Malformed(error.to_string()))
}

/// Limits the time of a call; a write that has not been answered by then may still take effect.
async fn limited<T>(call: impl Future<Output = Result<T, Error>>) -> Result<T, Error> {
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::Ambiguous("time-out".to_string())),
    }
}

/// The order of `service`, if `state` still follows from its phase after the states were read.
fn recordable_order(
    control: &ControlState,
    service: &str,
    state: RecordedState,
) -> Option<RolloutOrder> {
    let rollouts = control.mesh.rollouts();
    let (order, phase) = rollouts.rollout(service)?;
    let is_due = match state {
        RecordedState::Running => phase == RolloutPhase::Canary,
        RecordedState::Completed => phase == RolloutPhase::Draining,
        RecordedState::RolledBack => phase == RolloutPhase::RollingBack,
    };
    is_due.then(|| order.clone())
}

/// Reads the recorded states and adopts those of known orders that have not ended.
async fn read_states(control: &ControlState, calls: &mut StoreCalls) -> Result<KeyedBatch, Error> {
    let orders: Vec<(RolloutOrder, bool)> = {
        let rollouts = control.mesh.rollouts();
        let now_ms = control.mesh.boot_now_ms();
        let unfinished = rollouts.unfinished();
        let orders = unfinished.iter().filter_map(|service| {
            let (order, _) = rollouts.rollout(service)?;
            Some((order.clone(), rollouts.is_fresh(now_ms, service)))
        });
        orders.collect()
    };
    let states = limited(control.store.newest(STATE_TOPIC)).await?;
    calls.end = Some(states.next);
    let aged = orders.iter().filter(|(_, is_fresh)| !is_fresh);
    for (order, _) in aged {
        match recorded_state(&states, order) {
            Some(state) => adopt(control, order, state).await,
            // Nobody has acted on the order yet, or only on its way to the first state.
            None => enter(control, order, RolloutPhase::Canary).await,
        }
    }
    Ok(states)
}

/// Recorded state of `order`; `None` if there is none or that of another version.
fn recorded_state(states: &KeyedBatch, order: &RolloutOrder) -> Option<RecordedState> {
    let stored = stored_state(states, &order.service)?;
    (stored.target_version == order.target_version).then_some(stored.state)
}

/// Recorded state of the latest roll-out of `service`; `None` if there is none that can be decoded.
fn stored_state(states: &KeyedBatch, service: &str) -> Option<StateRecord> {
    let key = rollout::key(service);
    let record = states.records.iter().find(|record| record.key == key)?;
    match rollout::decode_state(&record.value) {
        Ok(stored) => Some(stored),
        Err(error) => {
            log::warn!(key = key.as_str(), offset = record.offset, error:% = error; "state of a roll-out ignored");
            None
        }
    }
}

/// Puts a recorded state of `order` into force.
async fn adopt(control: &ControlState, order: &RolloutOrder, state: RecordedState) {
    let phase = match state {
        RecordedState::Running => {
            let mut rollouts = control.mesh.rollouts();
            rollouts.set_recorded(order);
            RolloutPhase::Canary
        }
        RecordedState::Completed => RolloutPhase::Completed,
        RecordedState::RolledBack => RolloutPhase::RolledBack,
    };
    enter(control, order, phase).await;
}
