//! Transfer of the configuration and the known hosts between daemons, without the store.
use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{
    Request, Response, StatusCode,
    header::{HeaderMap, HeaderName, HeaderValue},
    http::request::Parts,
};
use jayrack_mesh::{delta::TextDelta, hosts::HostRecord};
use jayrack_platform::socket::SocketOptions;

use super::{ControlState, rollout, rollout_wire};
use crate::{
    control::configuration,
    shared::MeshState,
    traffic::{
        body::AnswerBody,
        forward,
        pool::{self, ConnectionPool},
        request_body::RequestBody,
    },
};

/// Request header that names the state to return: the configuration, the hosts or the roll-outs.
const SYNC: HeaderName = HeaderName::from_static("jayrack-sync");
const CONFIGURATION: HeaderValue = HeaderValue::from_static("configuration");
/// Request header with the version in force at the requesting daemon, if it accepts a delta from that version.
const BASE: HeaderName = HeaderName::from_static("jayrack-sync-base");
/// Response header that marks the body as a delta and holds the version that it starts from.
const DELTA: HeaderName = HeaderName::from_static("jayrack-sync-delta");
const HOSTS: HeaderValue = HeaderValue::from_static("hosts");
const ROLLOUTS: HeaderValue = HeaderValue::from_static("rollouts");
/// Maximum size of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Time limit for connecting and for a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Answers another daemon's request for this daemon's state; returns `None` for other requests.
pub fn serve(mesh: &MeshState, parts: &Parts) -> Option<Response<AnswerBody>> {
    let kind = parts.headers.get(SYNC)?;
    let body = if kind == CONFIGURATION {
        let base = forward::number(&parts.headers, BASE);
        if let Some(response) = base.and_then(|base| delta_from(mesh, base)) {
            return Some(response);
        }
        let accepted = mesh.accepted();
        (accepted.version > 0).then(|| accepted.bytes.clone())
    } else if kind == HOSTS {
        let directory = mesh.directory();
        let records: Vec<&HostRecord> = directory.entries().map(|entry| &entry.record).collect();
        match serde_json::to_vec(&records) {
            Ok(text) => Some(Bytes::from(text)),
            Err(error) => {
                log::error!(error:% = error; "hosts not serialised");
                None
            }
        }
    } else if kind == ROLLOUTS {
        let statuses = mesh.rollouts().statuses(mesh.boot_now_ms());
        Some(Bytes::from(rollout_wire::encode_list(&statuses)))
    } else {
        None
    };
    Some(match body {
        Some(body) => Response::new(AnswerBody::buffered(body)),
        None => forward::empty(StatusCode::NOT_FOUND),
    })
}

/// Delta from version `base` to the configuration in force; `None` if the chunk hashes of `base` are not kept.
fn delta_from(mesh: &MeshState, base: u64) -> Option<Response<AnswerBody>> {
    let accepted = mesh.accepted();
    let chunk_hashes = accepted.chunk_hashes.get(base)?;
    let text = std::str::from_utf8(&accepted.bytes).ok()?;
    let delta = serde_json::to_vec(&TextDelta::between(chunk_hashes, text));
    let body = delta
        .inspect_err(|error| log::error!(error:% = error; "delta not serialised"))
        .ok()?;
    let mut response = Response::new(AnswerBody::buffered(Bytes::from(body)));
    response
        .headers_mut()
        .insert(DELTA, HeaderValue::from(base));
    Some(response)
}

/// Builds the new configuration from the one in force, which must be version `base`, and a delta.
fn apply_delta(mesh: &MeshState, base: u64, body: &[u8]) -> Result<Bytes, String> {
    // The parser's message quotes values, which may contain API keys.
    let delta: TextDelta = serde_json::from_slice(body)
        .map_err(|error| format!("fault at column {}", error.column()))?;
    let accepted = mesh.accepted();
    if accepted.version != base {
        return Err(format!("version {base} is no longer in force"));
    }
    let old = std::str::from_utf8(&accepted.bytes).map_err(|error| error.to_string())?;
    let text = delta.apply(old).map_err(|error| error.to_string())?;
    Ok(Bytes::from(text))
}

/// Fetches the configuration of the daemon at `address`: as a delta if possible, otherwise complete.
async fn pull_record(mesh: &MeshState, address: SocketAddr) -> Option<Bytes> {
    let version = mesh.version();
    if version > 0 {
        let (fields, body) = pull(address, CONFIGURATION, Some(version)).await?;
        let Some(base) = forward::number(&fields, DELTA) else {
            return Some(body);
        };
        match apply_delta(mesh, base, &body) {
            Ok(record) => return Some(record),
            Err(error) => {
                log::warn!(from:% = address, error = error.as_str(); "difference not applied")
            }
        }
    }
    Some(pull(address, CONFIGURATION, None).await?.1)
}

/// Fetches the configuration of the daemon at `address` and puts it into force if it is newer.
///
/// The first configuration is fetched after the roll-outs, so that requests follow both from the beginning.
pub async fn pull_configuration(control: &ControlState, address: SocketAddr) {
    if control.mesh.version() == 0 {
        pull_rollouts(control, address).await;
    }
    let Some(record) = pull_record(&control.mesh, address).await else {
        return;
    };
    match configuration::apply(&control.mesh, &record) {
        Ok(true) => log::info!(from:% = address; "configuration received from another daemon"),
        Ok(false) => {}
        Err(error) => log::error!(from:% = address, error:% = error; "configuration refused"),
    }
}

/// Fetches the roll-outs that the daemon at `address` knows and merges them.
pub async fn pull_rollouts(control: &ControlState, address: SocketAddr) {
    if !control.mesh.rollouts().is_enabled() {
        return;
    }
    let Some((_, body)) = pull(address, ROLLOUTS, None).await else {
        return;
    };
    match rollout_wire::decode_list(&body) {
        Ok(statuses) => {
            for status in statuses {
                rollout::merge(&control.mesh, address.ip(), &status);
            }
        }
        Err(error) => log::warn!(from:% = address, error:% = error; "roll-outs not decoded"),
    }
}

/// Fetches the hosts that the daemon at `address` knows and merges them into the directory.
///
/// Afterwards the state of an earlier process at this address counts as restored if that daemon held a record of the
/// server beside it; a daemon that has just started itself holds none. What it means that it held none depends on the
/// store; see [`super::gossip::GossipState::record_unknown_server`].
pub async fn pull_hosts(control: &ControlState, address: SocketAddr) {
    let Some((_, text)) = pull(address, HOSTS, None).await else {
        return;
    };
    let records: Vec<HostRecord> = match serde_json::from_slice(&text) {
        Ok(records) => records,
        Err(error) => {
            log::warn!(from:% = address, error:% = error; "hosts not decoded");
            return;
        }
    };
    log::info!(from:% = address, hosts = records.len(); "hosts received from another daemon");
    let local = control.mesh.settings.host.address;
    let mut holds_server = false;
    let mut is_restoring = false;
    for record in records {
        is_restoring |= record.forward == address && record.is_restoring;
        if record.address == local {
            holds_server = record.server.is_some();
            control.gossip.refute(&control.mesh, &record);
        } else {
            control.mesh.directory().merge(&record);
        }
    }
    match holds_server {
        true => control.gossip.set_restored(&control.mesh),
        false if is_restoring => {}
        false => control.gossip.record_unknown_server(&control.mesh, address),
    }
    control.gossip.publish(&control.mesh).await;
}

async fn pull(
    address: SocketAddr,
    kind: HeaderValue,
    base: Option<u64>,
) -> Option<(HeaderMap, Bytes)> {
    let pool = ConnectionPool::new(pool::Options {
        socket: SocketOptions {
            connect_timeout: ANSWER_TIMEOUT,
            unacknowledged_timeout: ANSWER_TIMEOUT,
        },
        max_idle: Duration::ZERO,
        max_idle_connections: 0,
        budget: None,
    });
    let mut request = Request::new(RequestBody::default());
    request.headers_mut().insert(SYNC, kind);
    if let Some(base) = base {
        request.headers_mut().insert(BASE, HeaderValue::from(base));
    }
    let host = HeaderValue::from_str(&address.to_string()).ok()?;
    request.headers_mut().insert(hyper::header::HOST, host);
    let exchange = async {
        let answer = pool.send(address, request, Duration::ZERO).await;
        let response = answer.map_err(|error| format!("{error:?}"))?.response;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let (parts, body) = response.into_parts();
        let body = body.collect_up_to(MAX_ANSWER_BYTES).await;
        body.map(|body| (parts.headers, body))
            .map_err(|error| format!("{error:?}"))
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::warn!(from:% = address, error = error.as_str(); "state of another daemon not read");
            None
        }
        Err(_) => {
            log::warn!(from:% = address; "state of another daemon not read in time");
            None
        }
    }
}
