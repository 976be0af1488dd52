//! Status and members as the administration API returns them.
use jayrack_config::{fold::ConfigState, plan};
use jayrack_membership::{MemberEntry, MemberView, in_force};
use serde_json::{Value, json};

use super::publish::status_name;

/// State of this daemon that is in neither the configuration state nor the membership view.
#[derive(Debug, Clone, Copy)]
pub struct LocalStatus {
    /// Whether the daemon has caught up with the configuration.
    pub is_ready: bool,
    /// Whether the platform log answered the last read.
    pub log_is_up: bool,
    /// Whether the daemon reads the log for others.
    pub is_reader: bool,
    /// The log's time, or the host's if the log's is unknown, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Body of `GET /v1/status`.
pub fn status(state: &ConfigState, view: &MemberView, local: LocalStatus) -> Value {
    let version = state.version();
    let force = in_force::in_force(view, version);
    let behind = force
        .behind
        .iter()
        .filter_map(|id| view.get(*id))
        .map(behind_row);
    let behind: Vec<Value> = behind.collect();
    json!({
        "version": version,
        "digest": format!("{:016x}", state.digest()),
        "next_offset": state.next_offset(),
        "ready": local.is_ready,
        "reader": local.is_reader,
        "on": force.on,
        "of": force.of,
        "behind": behind,
        "data_centres": data_centres(view, version),
        "log": if local.log_is_up { "up" } else { "down" },
        "open_plans": open_plans(state, local.unix_ms),
    })
}

/// Body of `GET /v1/members`.
pub fn members(view: &MemberView) -> Value {
    let members: Vec<Value> = view.members.values().map(member_row).collect();
    json!({ "members": members })
}

fn behind_row(entry: &MemberEntry) -> Value {
    json!({
        "id": entry.record.id.to_string(),
        "data_centre": entry.record.data_centre,
        "address": entry.record.admin_address,
        "version": entry.applied_version,
    })
}

fn data_centres(view: &MemberView, version: u64) -> Vec<Value> {
    view.by_data_centre()
        .into_iter()
        .map(|(name, group)| {
            let on = group
                .iter()
                .filter(|entry| entry.applied_version >= version)
                .count();
            let lowest = group.iter().map(|entry| entry.applied_version).min();
            json!({"name": name, "on": on, "of": group.len(), "lowest": lowest.unwrap_or(0)})
        })
        .collect()
}

fn open_plans(state: &ConfigState, unix_ms: u64) -> usize {
    let plans = plan::list(state, unix_ms);
    plans
        .iter()
        .filter(|plan| plan.state == plan::PlanState::Open)
        .count()
}

fn member_row(entry: &MemberEntry) -> Value {
    let record = &entry.record;
    let servers: Vec<Value> = record
        .servers
        .iter()
        .map(|server| {
            json!({
                "name": server.name,
                "service": server.service,
                "slots": server.slots,
                "connections": server.connections,
                "draining": server.draining,
                "warm_percent": server.warm_percent,
            })
        })
        .collect();
    json!({
        "id": record.id.to_string(),
        "address": record.admin_address,
        "data_centre": record.data_centre,
        "region": record.region,
        "status": status_name(entry.status),
        "incarnation": record.incarnation,
        "ready": record.ready,
        "version": entry.applied_version,
        "servers": servers,
    })
}
