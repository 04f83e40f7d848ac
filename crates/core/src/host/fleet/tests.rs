//! Tests of several hosts with hand-ordered messages.

mod catalog;
mod harness;
mod member;
mod news;
mod share;

use std::time::Duration;

use serde_json::json;
use tanagerdeal_wire::KeyName;

use harness::Fleet;

const DOMAINS: [&str; 3] = ["akl-a", "akl-b", "ham-c"];
const KEY: &str = "records/key/k1";

/// A settled fleet with one key record: leases, views and shares are in effect.
fn settled(per_domain: usize) -> Fleet {
    let mut fleet = Fleet::new(&DOMAINS, per_domain);
    let value = json!({"schema": 1, "customer": "quarry", "salt": "s", "digest": "d"});
    fleet.table.put(KEY, Some(value));
    let value = json!({"schema": 1, "rate_per_s": 90, "burst": 90});
    fleet.table.put("records/customer/quarry", Some(value));
    fleet.run(Duration::from_secs(20));
    assert!(fleet.nodes.iter().all(has_key), "key not in effect everywhere");
    fleet
}

fn has_key(node: &harness::Node) -> bool {
    node.state.catalog.key(&KeyName::new("k1").unwrap()).is_some()
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn millis(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
