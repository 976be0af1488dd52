//! Heartbeats to the daemon beside the server.
use std::{net::SocketAddr, time::Duration};

use eyre::{Result, ensure};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

use crate::http_client;

/// Time between heartbeats, in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// Timeout of one heartbeat, in milliseconds.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_000;

/// Body of a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Unique name of the server.
    pub name: String,
    /// Service that it works for.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Length of its cold start, in milliseconds.
    pub cold_start_ms: u64,
}

/// Sends one heartbeat; fails unless the daemon answers 200.
pub async fn announce(daemon: SocketAddr, announcement: &Announcement) -> Result<()> {
    let request = http_client::post_json(daemon, "/v1/announce", announcement)?;
    let limit = Duration::from_millis(HEARTBEAT_TIMEOUT_MS);
    let answer = http_client::send(daemon, request, limit).await?;
    ensure!(answer.status == StatusCode::OK, "refused: {answer:?}");
    Ok(())
}
