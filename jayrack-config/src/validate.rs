//! Validation of changes: the complete resulting configuration is checked, and all reasons for
//! a refusal are returned.
mod reason;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

pub use self::reason::Reason;
use crate::{
    object::{ConfigChange, ConfigObject, ObjectKey, RankSpec, RouteSpec, ServiceSpec, Version},
    table::ServerEntry,
};

/// Limit on the number of objects in a configuration.
pub const OBJECT_LIMIT: usize = 4096;

/// Limit on the length of a name, in bytes.
pub const NAME_LIMIT_BYTES: usize = 64;

/// Limit on the length of a path prefix, in bytes.
pub const PATH_LIMIT_BYTES: usize = 1024;

/// One stored object with its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectEntry {
    /// The object.
    pub object: ConfigObject,
    /// Team that created the object.
    pub team: String,
    /// Version at which the object was last changed.
    pub version: Version,
}

/// Stored objects by key.
pub type ObjectMap = BTreeMap<ObjectKey, Arc<ObjectEntry>>;

/// Keys of all objects that `change` stores or removes.
pub fn touched(change: &ConfigChange) -> BTreeSet<ObjectKey> {
    let stored = change.put.iter().map(ConfigObject::key);
    stored.chain(change.remove.iter().cloned()).collect()
}

/// Applies `change` to a copy of `objects` and validates the complete result.
pub fn apply_change(
    objects: &ObjectMap,
    change: &ConfigChange,
    author: &Author<'_>,
) -> Result<ObjectMap, Vec<Reason>> {
    let mut reasons = BTreeSet::new();
    check_keys(objects, change, &mut reasons);
    check_owners(objects, change, author, &mut reasons);
    let result = merge(objects, change, author);
    check_all(&result, &mut reasons);
    if reasons.is_empty() {
        Ok(result)
    } else {
        Err(reasons.into_iter().collect())
    }
}

/// Author of a change, and the version that the change gets.
#[derive(Debug, Clone, Copy)]
pub struct Author<'a> {
    /// Team of the operator.
    pub team: &'a str,
    /// Whether the operator may change objects of other teams.
    pub is_admin: bool,
    /// Version of the changed objects.
    pub version: Version,
}

/// Lists the pinned backend servers of `change` that `servers` does not have for the route's service.
pub fn check_pinned(change: &ConfigChange, servers: &[ServerEntry]) -> Vec<Reason> {
    let mut reasons = Vec::new();
    for object in &change.put {
        let ConfigObject::Route(route) = object else {
            continue;
        };
        let unknown = route.pinned.iter().filter(|name| {
            !servers
                .iter()
                .any(|server| server.name == **name && server.service == route.service)
        });
        reasons.extend(unknown.map(|name| Reason::UnknownServer {
            route: route.name.clone(),
            server: name.clone(),
        }));
    }
    reasons
}

fn check_keys(objects: &ObjectMap, change: &ConfigChange, reasons: &mut BTreeSet<Reason>) {
    let mut seen = BTreeSet::new();
    let stored = change.put.iter().map(ConfigObject::key);
    for key in stored.chain(change.remove.iter().cloned()) {
        if !seen.insert(key.clone()) {
            reasons.insert(Reason::Twice(key));
        }
    }
    if seen.is_empty() {
        reasons.insert(Reason::Empty);
    }
    let absent = change
        .remove
        .iter()
        .filter(|key| !objects.contains_key(key));
    reasons.extend(absent.cloned().map(Reason::Absent));
}

fn check_owners(
    objects: &ObjectMap,
    change: &ConfigChange,
    author: &Author<'_>,
    reasons: &mut BTreeSet<Reason>,
) {
    if author.is_admin {
        return;
    }
    for key in touched(change) {
        if let Some(entry) = objects.get(&key)
            && entry.team != author.team
        {
            reasons.insert(Reason::NotOwner {
                object: key,
                owner: entry.team.clone(),
            });
        }
    }
}

fn merge(objects: &ObjectMap, change: &ConfigChange, author: &Author<'_>) -> ObjectMap {
    let mut result = objects.clone();
    for key in &change.remove {
        result.remove(key);
    }
    for object in &change.put {
        let key = object.key();
        let team = match objects.get(&key) {
            Some(entry) => entry.team.clone(),
            None => author.team.to_string(),
        };
        let entry = ObjectEntry {
            object: object.clone(),
            team,
            version: author.version,
        };
        result.insert(key, Arc::new(entry));
    }
    result
}

fn check_all(objects: &ObjectMap, reasons: &mut BTreeSet<Reason>) {
    if objects.len() > OBJECT_LIMIT {
        reasons.insert(Reason::TooManyObjects);
    }
    for (key, entry) in objects {
        check_name(key, reasons);
        match &entry.object {
            ConfigObject::Rank(rank) => check_rank(key, rank, reasons),
            ConfigObject::Service(service) => check_service(objects, key, service, reasons),
            ConfigObject::Route(route) => check_route(objects, key, route, reasons),
        }
    }
    check_ranks(objects, reasons);
}

fn check_name(key: &ObjectKey, reasons: &mut BTreeSet<Reason>) {
    let (ObjectKey::Rank(name) | ObjectKey::Service(name) | ObjectKey::Route(name)) = key;
    if !is_name(name) {
        reasons.insert(Reason::BadName(key.clone()));
    }
}

fn is_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !name.is_empty() && name.len() <= NAME_LIMIT_BYTES && name.bytes().all(is_allowed)
}

fn check_rank(key: &ObjectKey, rank: &RankSpec, reasons: &mut BTreeSet<Reason>) {
    require(rank.deadline_ms > 0, key, "deadline_ms", reasons);
    require(rank.floor_percent <= 100, key, "floor_percent", reasons);
}

fn check_service(
    objects: &ObjectMap,
    key: &ObjectKey,
    service: &ServiceSpec,
    reasons: &mut BTreeSet<Reason>,
) {
    for objective in &service.objectives {
        let is_target = (1..=100_000).contains(&objective.target_millipercent);
        require(is_target, key, "target_millipercent", reasons);
        require(objective.latency_ms > 0, key, "latency_ms", reasons);
        require_object(
            objects,
            key,
            ObjectKey::Rank(objective.rank.clone()),
            reasons,
        );
    }
}

fn check_route(
    objects: &ObjectMap,
    key: &ObjectKey,
    route: &RouteSpec,
    reasons: &mut BTreeSet<Reason>,
) {
    let is_path = route.path_prefix.starts_with('/')
        && route.path_prefix.len() <= PATH_LIMIT_BYTES
        && route
            .path_prefix
            .bytes()
            .all(|byte| byte.is_ascii_graphic());
    require(is_path, key, "path_prefix", reasons);
    let is_host = route.host.len() <= 253 && route.host.bytes().all(|byte| byte.is_ascii_graphic());
    require(is_host, key, "host", reasons);
    let is_method = |method: &String| {
        !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase())
    };
    require(route.methods.iter().all(is_method), key, "methods", reasons);
    require(is_name(&route.kind), key, "kind", reasons);
    require_object(
        objects,
        key,
        ObjectKey::Service(route.service.clone()),
        reasons,
    );
    require_object(objects, key, ObjectKey::Rank(route.rank.clone()), reasons);
}

fn check_ranks(objects: &ObjectMap, reasons: &mut BTreeSet<Reason>) {
    let mut orders: BTreeMap<u8, &str> = BTreeMap::new();
    let mut percent = 0;
    for entry in objects.values() {
        let ConfigObject::Rank(rank) = &entry.object else {
            continue;
        };
        percent += u32::from(rank.floor_percent);
        if let Some(first) = orders.insert(rank.order, &rank.name) {
            reasons.insert(Reason::SharedOrder {
                first: first.to_string(),
                second: rank.name.clone(),
                order: rank.order,
            });
        }
    }
    if percent > 100 {
        reasons.insert(Reason::FloorsExceeded { percent });
    }
}

fn require(holds: bool, key: &ObjectKey, field: &'static str, reasons: &mut BTreeSet<Reason>) {
    if !holds {
        reasons.insert(Reason::BadField {
            object: key.clone(),
            field,
        });
    }
}

fn require_object(
    objects: &ObjectMap,
    key: &ObjectKey,
    target: ObjectKey,
    reasons: &mut BTreeSet<Reason>,
) {
    if !objects.contains_key(&target) {
        reasons.insert(Reason::Missing {
            object: key.clone(),
            target,
        });
    }
}
