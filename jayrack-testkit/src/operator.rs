//! A client of one daemon's administration API.
use std::{net::SocketAddr, time::Duration};

use eyre::Result;
use hyper::header;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http_client::{self, HttpAnswer, HttpRequest};

/// Timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// An authenticated client of one daemon's administration API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetOperator {
    /// The daemon's administration address.
    pub daemon: SocketAddr,
    /// Bearer token of the operator's team.
    pub token: String,
}

/// Answer to a request about a plan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PlanAnswer {
    /// Result code; 0 is success.
    pub code: u16,
    /// The plan; empty when the answer has none.
    #[serde(default)]
    pub plan: PlanView,
    /// Reasons of a refusal; empty otherwise.
    #[serde(default)]
    pub reasons: Vec<String>,
}

/// A plan as the administration API shows it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct PlanView {
    /// Identifier of the plan.
    pub id: String,
    /// State of the plan: open, confirmed, dropped, expired or in conflict.
    pub state: String,
    /// Version of the configuration that the plan created; 0 before it is confirmed.
    #[serde(deserialize_with = "number_or_zero")]
    pub version: u64,
    /// Descriptions of the changes that the plan makes.
    pub effects: Vec<String>,
}

/// Rollout state of the configuration, as one daemon reports it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// Version in force at the daemon.
    pub version: u64,
    /// Number of daemons with this version in force.
    pub on: u64,
    /// Number of daemons that it knows.
    pub of: u64,
    /// Whether the daemon reads the log for others.
    pub reader: bool,
    /// State of the platform log.
    pub log: String,
}

fn number_or_zero<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    Ok(Option::<u64>::deserialize(deserializer)?.unwrap_or_default())
}

impl FleetOperator {
    /// Proposes an intent as a plan.
    pub async fn propose(&self, change: &Value) -> Result<PlanAnswer> {
        let body = json!({"change": change, "note": ""});
        let request = http_client::post_json(self.daemon, "/v1/plans", &body)?;
        self.send(request).await?.json()
    }

    /// Confirms a plan.
    pub async fn confirm(&self, plan: &str) -> Result<PlanAnswer> {
        self.post(&format!("/v1/plans/{plan}/confirm")).await
    }

    /// Drops a plan.
    pub async fn drop_plan(&self, plan: &str) -> Result<PlanAnswer> {
        self.post(&format!("/v1/plans/{plan}/drop")).await
    }

    /// Reads a plan.
    pub async fn show(&self, plan: &str) -> Result<PlanAnswer> {
        let request = http_client::get(self.daemon, &format!("/v1/plans/{plan}"))?;
        self.send(request).await?.json()
    }

    /// Reads the rollout state of the configuration.
    pub async fn status(&self) -> Result<StatusView> {
        let request = http_client::get(self.daemon, "/v1/status")?;
        self.send(request).await?.json()
    }

    /// Reads the daemon's list of daemons and servers, as raw JSON.
    pub async fn members(&self) -> Result<Value> {
        let request = http_client::get(self.daemon, "/v1/members")?;
        self.send(request).await?.json()
    }

    async fn post(&self, path: &str) -> Result<PlanAnswer> {
        let request = http_client::post_json(self.daemon, path, &json!({}))?;
        self.send(request).await?.json()
    }

    /// Sends a request with the operator's token.
    pub async fn send(&self, mut request: HttpRequest) -> Result<HttpAnswer> {
        let token = format!("Bearer {}", self.token).parse()?;
        request.headers_mut().insert(header::AUTHORIZATION, token);
        http_client::send(self.daemon, request, ANSWER_TIMEOUT).await
    }
}
