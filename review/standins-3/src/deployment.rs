//! A small deployment: a store, one service of three members, and some hosts.

use std::time::Duration;

use serde_json::{Value, json};
use tanagerdeal_standin::StandinStore;

use crate::Folder;
use crate::database::Database;
use crate::host::Host;
use crate::record::Record;

pub const ZONES: [&str; 3] = ["akl-a", "akl-b", "ham-c"];
pub const SERVICE: &str = "orders-db";
pub const KEY: &str = "k-3f";
/// Databases of the routes, by kind.
pub const PRIMARY: &str = "order-confirm";
pub const BOUNDED: &str = "stock-lookup";
pub const SESSION: &str = "dispatch-amend";

const READY_LIMIT: Duration = Duration::from_secs(20);

pub struct Deployment {
    pub store: StandinStore,
    pub database: Database,
    pub hosts: Vec<Host>,
}

/// A configuration as the operator writes it.
pub fn configuration(sync_replicas: usize) -> Value {
    let route = |host: &str, kind: &str, timeout: u64, target: u64, staleness: u64| {
        json!({ "name": host, "host": host, "prefix": "/", "kind": kind, "timeoutMs": timeout,
                "targetLatencyMs": target, "priority": 1, "service": SERVICE, "maxAttempts": 2,
                "maxStalenessMs": staleness, "publicAccess": false })
    };
    json!({
        "version": 3,
        "routes": [
            route(PRIMARY, "primary", 1_000, 200, 0),
            route(BOUNDED, "bounded_staleness", 2_000, 600, 1_500),
            route(SESSION, "read_your_writes", 1_000, 400, 2_500),
        ],
        "services": [{ "name": SERVICE, "connectionLimit": 21, "syncReplicas": sync_replicas }],
        "limits": { "headerTimeoutMs": 3_000, "transactionIdleMs": 5_000 },
        "tenants": [{ "name": "quarry", "apiKeys": [KEY], "priority": 1, "ratePerS": 400,
                      "burstSize": 400 }],
    })
}

impl Deployment {
    /// Starts a deployment whose hosts are ready; an error tells why not.
    pub async fn start(
        folder: &Folder,
        hosts: usize,
        sync_replicas: usize,
        record: &Record,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let store = StandinStore::start().await.map_err(text)?;
        let database = Database::start(&store, SERVICE, &ZONES, sync_replicas, record);
        let database = database.await.map_err(text)?;
        store.put("op", "config", &configuration(sync_replicas));
        let mut deployment = Self { store, database, hosts: Vec::new() };
        for (index, zone) in ZONES.iter().cycle().take(hosts).enumerate() {
            let name = format!("front-{zone}-{index}");
            let (store, control) = (deployment.store.address(), deployment.database.control);
            let zones = ZONES.join(",");
            let host = Host::start(folder.path(), &name, zone, &zones, store, control);
            deployment.hosts.push(host.map_err(text)?);
        }
        for host in &deployment.hosts {
            if !host.wait_ready(READY_LIMIT).await {
                return Err(format!("a host is not ready: {:?}", host.log_lines(&["{"])));
            }
        }
        Ok(deployment)
    }
}
