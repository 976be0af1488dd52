//! Faults that can be switched on, and the counters.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How the log is out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It works.
    #[default]
    None,
    /// It answers 503 to everything.
    Refuse,
    /// It accepts requests and never answers.
    Silent,
}

/// How an answer gets lost.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostAnswer {
    /// The connection is closed.
    #[default]
    Cut,
    /// The connection stays open and silent.
    Withhold,
}

/// What the stand-in does from now on; a field left out has its default.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogBehaviour {
    /// How the log is out.
    pub outage: Outage,
    /// Delay of each answer, in milliseconds.
    pub delay_ms: u64,
    /// How many of the next appends take effect without an answer.
    pub lose_answers: u64,
    /// The only stream whose answers get lost; all when empty.
    pub lose_stream: String,
    /// How these answers get lost.
    pub lost_answer: LostAnswer,
    /// When appends whose answer is lost take effect after that, in milliseconds.
    pub late_ms: u64,
    /// Appends allowed per second; 0 for no limit.
    pub quota_per_second: u64,
    /// How long records are kept, in milliseconds; 0 for ever.
    pub retention_ms: u64,
}

/// Requests seen since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LogCounts {
    /// Append requests, whatever became of them.
    pub appends: u64,
    /// Append requests per stream.
    pub appends_by_stream: BTreeMap<String, u64>,
    /// Read requests, whatever became of them.
    pub reads: u64,
    /// Appends refused for want of quota.
    pub throttled: u64,
    /// Requests refused or left unanswered in an outage.
    pub outage: u64,
    /// Appends whose answer was lost.
    pub lost: u64,
    /// Reads of expired offsets.
    pub expired: u64,
    /// Records kept per stream.
    pub records: BTreeMap<String, u64>,
}
