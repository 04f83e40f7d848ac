//! What a host does when the store was restored from a copy.
//!
//! Rows written since the copy are gone. The versions of the new era are later than all earlier
//! ones, so every table is read anew and every row applied again.

use serde_json::json;

use super::context::HostContext;
use super::journal;

/// Takes note of the era of the store's last reply.
pub(super) fn note_era(host: &HostContext) {
    let era = host.store.era();
    match host.era.replace(Some(era)) {
        Some(known) if known < era => {
            journal::event("store", "restored", json!({ "era": era, "former": known }));
        }
        _ => (),
    }
}
