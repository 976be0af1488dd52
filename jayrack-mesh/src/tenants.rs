//! Tenants of the operator's configuration and the lookup of their keys.
use std::{collections::BTreeMap, sync::Arc};

use sha2::{Digest, Sha256};

/// Requests that a tenant may send, over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantAllowance {
    /// Sustained rate, in requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the sustained rate that may be sent at once.
    pub burst: f64,
}

/// A tenant, without its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Name, unique within the configuration.
    pub name: String,
    /// Rank of its requests, in place of the route's; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Its allowance; `None` if it has no limit.
    pub allowance: Option<TenantAllowance>,
}

/// SHA-256 digest of a key, so that a lookup does not compare the key itself.
type KeyDigest = [u8; 32];

/// Reason why the tenants of a configuration are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// Two tenants have this name.
    DuplicateName(String),
    /// A key of this tenant belongs to another tenant, too.
    SharedKey(String),
    /// A limit of this tenant is negative or not finite.
    Allowance(String),
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::DuplicateName(name) => write!(f, "tenant {name}: the name is not unique"),
            Error::SharedKey(name) => {
                write!(f, "tenant {name}: a key belongs to another tenant, too")
            }
            Error::Allowance(name) => write!(f, "tenant {name}: the allowance is out of range"),
        }
    }
}

impl std::error::Error for Error {}

/// Tenants by name and by key.
#[derive(Debug, Default)]
pub struct TenantDirectory {
    tenants: BTreeMap<String, Arc<Tenant>>,
    keys: BTreeMap<KeyDigest, Arc<Tenant>>,
}

impl TenantDirectory {
    /// Adds a tenant with its keys.
    ///
    /// # Errors
    ///
    /// Fails if the name or a key is in use, or the allowance is out of range.
    pub fn add(&mut self, tenant: Tenant, keys: &[String]) -> Result<(), Error> {
        let name = tenant.name.clone();
        if self.tenants.contains_key(&name) {
            return Err(Error::DuplicateName(name));
        }
        let is_limit = |limit: f64| limit >= 0.0 && limit.is_finite();
        let is_valid = |allowance: TenantAllowance| {
            is_limit(allowance.rate_per_s) && is_limit(allowance.burst)
        };
        if !tenant.allowance.is_none_or(is_valid) {
            return Err(Error::Allowance(name));
        }
        let tenant = Arc::new(tenant);
        for key in keys {
            let known = self.keys.insert(digest(key), tenant.clone());
            if known.is_some_and(|known| known.name != name) {
                return Err(Error::SharedKey(name));
            }
        }
        self.tenants.insert(name, tenant);
        Ok(())
    }

    /// The tenant that holds `key`.
    pub fn find(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.keys.get(&digest(key))
    }

    /// The tenant with this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(name)
    }

    /// All tenants, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.values()
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether there is no tenant.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}

fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}
