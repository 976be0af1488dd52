//! Recorded states of roll-outs in the store.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::rollout::{RolloutOrder, RolloutPhase};
use jayrack_platform::{
    rollout::{self, RecordedState, STATE_TOPIC},
    store::{Error, KeyedBatch, TopicCursor},
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
    end: Option<TopicCursor>,
    failures: u32,
    retry_at: Option<Instant>,
}

/// Starts a task that reads the recorded states and, if `state` is given, records it for the order of `service`. Does
/// nothing while such a task runs or during the backoff.
pub(super) fn start(control: &Arc<ControlState>, service: &str, state: Option<RecordedState>) {
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
        let result = match state {
            None => read_states(&control, &mut calls).await,
            Some(state) => record(&control, &mut calls, &service, state).await,
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
                log::warn!(service = service.as_str(), state:? = state, error:% = error; "state of the roll-out not recorded");
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
    let value = rollout::encode_state(state, &order.target_version)
        .map_err(|error| Error::Malformed(error.to_string()))?;
    let key = rollout::key(service);
    match limited(control.store.put_at(STATE_TOPIC, &key, &value, end)).await {
        Ok(end) => {
            calls.end = Some(end);
            adopt(control, &order, state).await;
            Ok(())
        }
        // Another state was recorded first, perhaps that of this roll-out, or the store has lost the latest ones.
        Err(Error::Moved(_) | Error::Superseded) => read_states(control, calls).await,
        Err(error) => Err(error),
    }
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

/// Reads the recorded states and adopts those of known orders.
async fn read_states(control: &ControlState, calls: &mut StoreCalls) -> Result<(), Error> {
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
    Ok(())
}

/// Recorded state of `order`; `None` if there is none or that of another version.
fn recorded_state(states: &KeyedBatch, order: &RolloutOrder) -> Option<RecordedState> {
    let key = rollout::key(&order.service);
    let record = states.records.iter().find(|record| record.key == key)?;
    match rollout::decode_state(&record.value) {
        Ok(known) => (known.target_version == order.target_version).then_some(known.state),
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
            rollouts.set_recorded(&order.service, order.offset);
            RolloutPhase::Canary
        }
        RecordedState::Completed => RolloutPhase::Completed,
        RecordedState::RolledBack => RolloutPhase::RolledBack,
    };
    enter(control, order, phase).await;
}
