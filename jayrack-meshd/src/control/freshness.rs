//! Reports when the knowledge of API keys becomes too old to check one, and when it is recent again.
use std::{sync::Arc, time::Duration};

use jayrack_mesh::MeshRoutes;
use tokio::time::sleep;

use crate::shared::{MeshState, boot_ms};

/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Logs and counts these changes for as long as the process runs.
pub async fn watch(mesh: Arc<MeshState>) {
    let mut was_current = true;
    loop {
        sleep(CHECK_INTERVAL).await;
        let has_tenants = {
            let routes = mesh.routes.load();
            routes.as_deref().and_then(MeshRoutes::tenants).is_some()
        };
        let is_current = !has_tenants || mesh.is_key_knowledge_current();
        if std::mem::replace(&mut was_current, is_current) == is_current {
            continue;
        }
        let age_ms = mesh.knowledge().age_ms(boot_ms());
        if is_current {
            log::info!(version = mesh.version(), age_ms:? = age_ms; "knowledge of the API keys is recent again");
            mesh.metrics.count_state_change("keys-fresh");
        } else {
            log::warn!(version = mesh.version(), age_ms:? = age_ms; "knowledge of the API keys is too old; refusing requests with keys");
            mesh.metrics.count_state_change("keys-stale");
        }
    }
}
