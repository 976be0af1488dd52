//! Status reports of the backend server beside the daemon.
use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Request, StatusCode};
use jayrack_mesh::{
    memory::connections::ClientKind,
    server::{ReportEffect, ServerRecord},
};
use jayrack_platform::report::{self, ServerCall};
use tokio::{net::TcpListener, time::timeout};

use super::{
    ControlState,
    endpoint::{self, SmallResponse},
    host_records,
};
use crate::{logging::unix_ms, traffic::memory::ByteBudget};

/// Time limit for recording a departure in the store; the server waits one second for the answer to its report.
const RECORD_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest lead of a server's clock, in milliseconds; a server that states a later start is not the one beside the daemon.
const MAX_CLOCK_SKEW_MS: u64 = 24 * 60 * 60 * 1_000;

/// Serves reports for as long as the process runs.
pub async fn serve(listener: TcpListener, budget: ByteBudget, control: Arc<ControlState>) {
    let handler = move |request| handle(control.clone(), request);
    endpoint::serve(listener, ClientKind::Reports, budget, handler).await;
}

async fn handle(control: Arc<ControlState>, request: Request<Bytes>) -> SmallResponse {
    let (parts, body) = request.into_parts();
    let Some(call) = ServerCall::decode(&parts.method, &parts.uri) else {
        return endpoint::answer(StatusCode::NOT_FOUND, String::new());
    };
    let acknowledged = match call {
        ServerCall::Report(instance) => handle_report(&control, &instance, &body).await,
        ServerCall::Leave(instance) => handle_leave(&control, &instance, &body).await,
    };
    if !acknowledged {
        return endpoint::answer(StatusCode::BAD_REQUEST, String::new());
    }
    if !store_departure(&control).await {
        return endpoint::answer(StatusCode::SERVICE_UNAVAILABLE, String::new());
    }
    endpoint::answer(StatusCode::OK, "{}".to_string())
}

/// Applies a status report; returns whether it may be acknowledged.
async fn handle_report(control: &ControlState, instance: &str, body: &Bytes) -> bool {
    let decoded = match report::decode(instance, body) {
        Ok(decoded) => decoded,
        Err(error) => {
            log::warn!(instance = instance, error:% = error; "report refused as invalid");
            return false;
        }
    };
    let mesh = &control.mesh;
    let settings = &mesh.settings.server;
    if decoded.address != settings.address.to_string() {
        log::warn!(instance = instance, address = decoded.address.as_str(); "report of a server at another address refused");
        return false;
    }
    let record = &decoded.report.record;
    if record.service != settings.service {
        log::warn!(instance = instance, service = record.service.as_str(); "report of another service refused");
        return false;
    }
    if record.born_ms > unix_ms().saturating_add(MAX_CLOCK_SKEW_MS) {
        log::warn!(instance = instance, born_ms = record.born_ms; "report of a server that starts in the future refused");
        return false;
    }
    let now_ms = mesh.now_ms();
    let (born_ms, sequence) = (record.born_ms, record.sequence);
    let warmup_left_ms = decoded.report.warmup_left_ms;
    let (effect, record) = {
        let mut tracker = mesh.tracker();
        let effect = tracker.handle(now_ms, decoded.report);
        (effect, tracker.record().cloned())
    };
    if effect.is_in_force() {
        mesh.record_warmup(warmup_left_ms);
    } else {
        log::info!(instance = instance, born_ms = born_ms, sequence = sequence, effect:? = effect; "report ignored");
    }
    if let (ReportEffect::Changed, Some(record)) = (effect, record) {
        propagate_change(control, &record).await;
    }
    effect.is_in_force()
}

/// Applies a departure; returns whether it may be acknowledged.
async fn handle_leave(control: &ControlState, instance: &str, body: &Bytes) -> bool {
    let born_ms = match report::decode_leave(body) {
        Ok(born_ms) => born_ms,
        Err(error) => {
            log::warn!(instance = instance, error:% = error; "departure refused as invalid");
            return false;
        }
    };
    let (effect, record) = {
        let mut tracker = control.mesh.tracker();
        let effect = tracker.leave(control.mesh.now_ms(), instance, born_ms);
        (effect, tracker.record().cloned())
    };
    if !effect.is_in_force() {
        log::info!(instance = instance, born_ms = born_ms, effect:? = effect; "departure ignored");
    }
    if let (ReportEffect::Changed, Some(record)) = (effect, record) {
        propagate_change(control, &record).await;
    }
    effect.is_in_force()
}

/// Applies a changed server record to the admission gate and sends it to the other daemons.
async fn propagate_change(control: &ControlState, record: &ServerRecord) {
    let mesh = &control.mesh;
    log::info!(
        instance = record.instance.as_str(),
        born_ms = record.born_ms,
        sequence = record.sequence,
        slots = record.slots,
        phase:? = record.phase;
        "server changed"
    );
    mesh.metrics.count_state_change("server-changed");
    control.gossip.apply_server(mesh);
    control.gossip.publish(mesh).await;
}

/// Stores a departure of the server that is not stored yet; returns whether the report may be acknowledged.
///
/// The server reports again until it is acknowledged, and a write that outlasts [`RECORD_TIMEOUT`] goes on meanwhile.
async fn store_departure(control: &Arc<ControlState>) -> bool {
    let latest = control.store.eras().latest();
    if control.mesh.tracker().unstored_departure(latest).is_none() {
        return true;
    }
    let writing = tokio::spawn(host_records::record_departure(control.clone()));
    match timeout(RECORD_TIMEOUT, writing).await {
        Ok(Ok(Ok(is_stored))) => is_stored,
        Ok(Ok(Err(error))) => {
            log::warn!(error:% = error; "departure not recorded");
            false
        }
        Ok(Err(error)) => {
            log::error!(error:% = error; "task that records a departure failed");
            false
        }
        Err(_) => {
            log::warn!("departure not recorded in time");
            false
        }
    }
}
