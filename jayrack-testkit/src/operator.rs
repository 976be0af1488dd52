//! An operator at the administration API of one daemon.
use std::{net::SocketAddr, time::Duration};

use eyre::Result;
use hyper::header;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http_client::{self, HttpAnswer, HttpRequest};

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// An operator with a token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetOperator {
    /// The daemon's administration address.
    pub daemon: SocketAddr,
    /// Token of the operator's team.
    pub token: String,
}

/// An answer that carries a plan or a refusal.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct PlanAnswer {
    /// Result code.
    pub code: u16,
    /// The plan, where there is one.
    #[serde(default)]
    pub plan: PlanView,
    /// Reasons of a refusal.
    #[serde(default)]
    pub reasons: Vec<String>,
}

/// A plan as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct PlanView {
    /// Identifier.
    pub id: String,
    /// Open, confirmed, dropped, expired or in conflict.
    pub state: String,
    /// Version that it brought into force; 0 before.
    #[serde(deserialize_with = "number_or_zero")]
    pub version: u64,
    /// What will change.
    pub effects: Vec<String>,
}

/// Where the configuration is in force, as one daemon knows it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct StatusView {
    /// The daemon's own version.
    pub version: u64,
    /// Daemons that have it in force.
    pub on: u64,
    /// Daemons known.
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
    /// States an intent.
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

    /// Shows a plan.
    pub async fn show(&self, plan: &str) -> Result<PlanAnswer> {
        let request = http_client::get(self.daemon, &format!("/v1/plans/{plan}"))?;
        self.send(request).await?.json()
    }

    /// Where the configuration is in force.
    pub async fn status(&self) -> Result<StatusView> {
        let request = http_client::get(self.daemon, "/v1/status")?;
        self.send(request).await?.json()
    }

    /// The daemons and servers known, as the API gives them.
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
