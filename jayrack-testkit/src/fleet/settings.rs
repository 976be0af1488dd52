//! The settings file of a daemon.
use std::net::SocketAddr;

use serde_json::{Map, Value, json};

use crate::certificates::DaemonIdentity;

/// Token of the team that may change everything.
pub const ADMIN_TOKEN: &str = "platform-token-0123456789";

/// Key of the fleet's datagrams.
const FLEET_KEY: &str = "loopback-fleet-key-0123456789";

/// Addresses of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Streams from other daemons.
    pub forward: SocketAddr,
    /// Datagrams from other daemons.
    pub gossip: SocketAddr,
    /// Administration API.
    pub admin: SocketAddr,
    /// Announcements of backend servers.
    pub announce: SocketAddr,
}

/// Values of a settings file.
#[derive(Debug, Clone)]
pub struct SettingsPlan<'a> {
    /// Name of the daemon.
    pub name: &'a str,
    /// Data centre.
    pub data_centre: &'a str,
    /// Region.
    pub region: &'a str,
    /// Addresses to listen on.
    pub addresses: &'a DaemonAddresses,
    /// Address of the log.
    pub log: SocketAddr,
    /// Retention time of the log, in milliseconds; 0 leaves the field out.
    pub retention_ms: u64,
    /// Datagram addresses of other daemons.
    pub seeds: &'a [SocketAddr],
    /// Certificate and key.
    pub identity: &'a DaemonIdentity,
    /// Certificate of the authority.
    pub authorities: &'a str,
    /// Fields to add or replace.
    pub extra_fields: &'a Map<String, Value>,
}

/// The text of the file.
pub fn text(plan: &SettingsPlan<'_>) -> String {
    let addresses = plan.addresses;
    let mut value = json!({
        "name": plan.name,
        "data_centre": plan.data_centre,
        "region": plan.region,
        "listen": {
            "callers": addresses.callers,
            "forward": addresses.forward,
            "gossip": addresses.gossip,
            "admin": addresses.admin,
            "announce": addresses.announce,
        },
        "log": {"address": plan.log},
        "seeds": plan.seeds,
        "fleet": {
            "key": FLEET_KEY,
            "certificate": plan.identity.certificate,
            "private_key": plan.identity.private_key,
            "authorities": plan.authorities,
        },
        "operators": [
            {"team": "platform", "token": ADMIN_TOKEN, "role": "admin"},
            {"team": "bookings", "token": "bookings-token-0123456789", "role": "operator"},
            {"team": "drawings", "token": "drawings-token-0123456789", "role": "operator"},
        ],
    });
    if plan.retention_ms > 0 {
        value["log"]["retention_ms"] = plan.retention_ms.into();
    }
    for (field, extra) in plan.extra_fields {
        value[field] = extra.clone();
    }
    format!("// Settings of one daemon of a fleet on loopback.\n{value:#}\n")
}
