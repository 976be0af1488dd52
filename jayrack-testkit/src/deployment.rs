//! The users' two deployments: services, ranks, kinds of customer requests and routes.
use serde_json::{Value, json};

use crate::{backend_standin::call_tree::CallNode, fleet::ServerPlan};

/// A service with its backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePlan {
    /// Name.
    pub name: &'static str,
    /// Number of backend servers.
    pub servers: usize,
}

/// A rank and its reserved share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankPlan {
    /// Name.
    pub name: &'static str,
    /// Share of the slots that other ranks cannot take from it, in percent.
    pub reserved_share_percent: u32,
}

/// One kind of customer request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkKind {
    /// Name.
    pub name: &'static str,
    /// Index of its rank; 0 is the most urgent.
    pub rank: usize,
    /// Value of one completed customer request.
    pub weight: u32,
    /// Whether a request is safe to run more than once.
    pub idempotent: bool,
    /// Share of the usual load, in percent.
    pub share_percent: u32,
    /// The customer's call with its tree of nested calls.
    pub call: CallNode,
}

/// Configuration and workload of one user.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeploymentPlan {
    /// Name.
    pub name: &'static str,
    /// Services and the number of servers of each.
    pub services: Vec<ServicePlan>,
    /// Ranks, the most urgent first.
    pub ranks: Vec<RankPlan>,
    /// Kinds of customer requests.
    pub kinds: Vec<WorkKind>,
    /// Connections that each backend server accepts.
    pub connections: u32,
}

/// Turnio Cymru: lathe-time bookings.
pub fn turnio() -> DeploymentPlan {
    let lookup = call_node("/availability/lookup", "lookup", 15_000, Vec::new());
    DeploymentPlan {
        name: "turnio",
        services: vec![
            service("availability", 5),
            service("bookings", 3),
            service("drawings", 3),
        ],
        ranks: ranks(["confirm", "fetch", "browse"]),
        kinds: vec![
            WorkKind {
                name: "confirm",
                rank: 0,
                weight: 10,
                idempotent: false,
                share_percent: 20,
                call: call_node("/bookings/confirm", "confirm", 30_000, vec![lookup.clone()]),
            },
            WorkKind {
                name: "drawing",
                rank: 1,
                weight: 4,
                idempotent: true,
                share_percent: 30,
                call: call_node("/drawings/sheet", "drawing", 30_000, Vec::new()),
            },
            WorkKind {
                name: "browse",
                rank: 2,
                weight: 1,
                idempotent: true,
                share_percent: 50,
                call: call_node("/availability/browse", "browse", 20_000, Vec::new()),
            },
        ],
        connections: 110,
    }
}

/// Tugrug Flagline: the flag-flying calendar.
pub fn tugrug() -> DeploymentPlan {
    let date = call_node("/calendar/check", "check", 10_000, Vec::new());
    let stock = call_node("/orders/reserve", "reserve", 10_000, vec![date.clone()]);
    DeploymentPlan {
        name: "tugrug",
        services: vec![
            service("calendar", 6),
            service("order-desk", 5),
            service("archive", 3),
        ],
        ranks: ranks(["date", "order", "bundle"]),
        kinds: vec![
            WorkKind {
                name: "date",
                rank: 0,
                weight: 8,
                idempotent: true,
                share_percent: 40,
                call: call_node("/calendar/date", "date", 20_000, Vec::new()),
            },
            WorkKind {
                name: "order",
                rank: 1,
                weight: 10,
                idempotent: false,
                share_percent: 30,
                call: call_node("/orders/place", "order", 30_000, vec![stock]),
            },
            WorkKind {
                name: "bundle",
                rank: 2,
                weight: 2,
                idempotent: true,
                share_percent: 30,
                call: call_node("/archive/bundle", "bundle", 30_000, vec![date]),
            },
        ],
        connections: 130,
    }
}

fn service(name: &'static str, servers: usize) -> ServicePlan {
    ServicePlan { name, servers }
}

fn ranks(names: [&'static str; 3]) -> Vec<RankPlan> {
    const RESERVED_SHARE_PERCENT: u32 = 10;
    names
        .map(|name| RankPlan {
            name,
            reserved_share_percent: RESERVED_SHARE_PERCENT,
        })
        .to_vec()
}

fn call_node(path: &str, kind: &str, service_us: u64, calls: Vec<CallNode>) -> CallNode {
    CallNode {
        path: path.to_string(),
        kind: kind.to_string(),
        service_us,
        calls,
    }
}

impl DeploymentPlan {
    /// Total number of backend servers.
    pub fn server_count(&self) -> usize {
        self.services.iter().map(|service| service.servers).sum()
    }

    /// The servers in the order of the services, each beside a daemon of its own.
    pub fn servers(&self, slots: u32) -> Vec<ServerPlan> {
        let names = self
            .services
            .iter()
            .flat_map(|service| std::iter::repeat_n(service.name, service.servers));
        names
            .enumerate()
            .map(|(daemon, name)| {
                let mut server = ServerPlan::new(name, daemon).slots(slots);
                server.connections = self.connections;
                server
            })
            .collect()
    }

    /// Service that a path is routed to; empty when there is none.
    pub fn service_of(&self, path: &str) -> &'static str {
        let first = path.trim_start_matches('/').split('/').next();
        match first {
            Some("orders") => "order-desk",
            Some(first) => self
                .services
                .iter()
                .map(|service| service.name)
                .find(|name| *name == first)
                .unwrap_or_default(),
            None => "",
        }
    }

    /// The intent that configures ranks, services and routes of the deployment.
    pub fn change(&self) -> Value {
        let mut put = Vec::new();
        for (order, rank) in self.ranks.iter().enumerate() {
            put.push(json!({"type": "rank", "name": rank.name, "order": order,
                "floor_percent": rank.reserved_share_percent}));
        }
        for service in &self.services {
            put.push(json!({"type": "service", "name": service.name}));
        }
        for kind in &self.kinds {
            put.push(self.route(&kind.call, kind, kind.weight));
        }
        let mut nested: Vec<Value> = Vec::new();
        for kind in &self.kinds {
            for call in nested_calls(&kind.call) {
                let route = self.route(call, kind, 0);
                if nested.iter().all(|other| other["name"] != route["name"]) {
                    nested.push(route);
                }
            }
        }
        put.append(&mut nested);
        json!({"put": put})
    }

    fn route(&self, call: &CallNode, kind: &WorkKind, weight: u32) -> Value {
        json!({"type": "route", "name": call.kind, "path_prefix": call.path,
            "service": self.service_of(&call.path), "rank": self.ranks[kind.rank].name,
            "kind": call.kind, "weight": weight, "idempotent": kind.idempotent || weight == 0})
    }
}

/// All nested calls of `root`, in depth-first order.
pub fn nested_calls(root: &CallNode) -> Vec<&CallNode> {
    let mut found = Vec::new();
    for call in &root.calls {
        found.push(call);
        found.extend(nested_calls(call));
    }
    found
}
