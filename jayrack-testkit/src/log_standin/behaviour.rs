//! Injected faults and request counters.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How the log is unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is available.
    #[default]
    None,
    /// It answers 503 to each request.
    Refuse,
    /// It accepts requests and never answers.
    Silent,
}

/// How an answer is lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswer {
    /// The connection is closed.
    #[default]
    Cut,
    /// The connection stays open without an answer.
    Withhold,
}

/// Behaviour of the stand-in; an omitted field has its default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogBehaviour {
    /// Kind of outage.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// Number of the next appends that take effect without an answer.
    pub lose_answers: u64,
    /// The only stream whose answers are lost; empty for all streams.
    pub lose_stream: String,
    /// How these answers are lost.
    pub lost_answer: LostAnswer,
    /// Time after which appends whose answer is lost take effect, in milliseconds.
    pub late_ms: u64,
    /// Appends allowed per second; 0 for no limit.
    pub quota_per_second: u64,
    /// Retention time of records, in milliseconds; 0 keeps them for ever.
    pub retention_ms: u64,
}

/// Request counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogCounts {
    /// Append requests, whatever their result.
    pub appends: u64,
    /// Append requests per stream.
    pub appends_by_stream: BTreeMap<String, u64>,
    /// Read requests, whatever their result.
    pub reads: u64,
    /// Appends refused because the quota was used up.
    pub throttled: u64,
    /// Requests refused or left unanswered in an outage.
    pub outage: u64,
    /// Appends whose answer was lost.
    pub lost: u64,
    /// Reads at expired offsets.
    pub expired: u64,
    /// Retained records per stream.
    pub records: BTreeMap<String, u64>,
}
