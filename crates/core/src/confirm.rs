//! Confirmation of commits and positions by a majority of a group.

use std::time::Instant;

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::record::WriteDurability;
use tanagerdeal_wire::value_type;

use crate::message::{DispatchKey, GroupKey, SessionKey};

value_type! {
    /// Who waits for a confirmation.
    #[derive(Copy)]
    pub enum ConfirmWaiter {
        /// The commit of a request.
        Commit(DispatchKey),
        /// A session that has no watermark yet and adopts the primary's position.
        Position(SessionKey),
    }

    /// A wait for confirmation.
    pub struct ConfirmRequest {
        /// Who waits.
        pub waiter: ConfirmWaiter,
        /// The group.
        pub group: GroupKey,
        /// Position of the commit; ignored for a position.
        pub position: LogPosition,
        /// When the commit was reported; only answers to later probes count.
        pub since: Instant,
        /// When the wait for a second member's receipt ends.
        pub replicated_by: Instant,
        /// When the client's wait ends.
        pub deadline: Instant,
        /// What is needed for an acknowledgement.
        pub durability: WriteDurability,
    }

    /// The end of a wait.
    pub struct ConfirmResult {
        /// Who waited.
        pub waiter: ConfirmWaiter,
        /// How it ended.
        pub outcome: ConfirmOutcome,
    }

    /// How a wait for confirmation ended.
    #[derive(Copy)]
    pub enum ConfirmOutcome {
        /// Confirmed at this position; `replicated` when a second member has received it.
        Confirmed {
            /// The commit's position, or the primary's for a position.
            position: LogPosition,
            /// Whether a second member has received it.
            replicated: bool,
        },
        /// A majority has promised a higher term, or one member follows it.
        Fenced,
        /// The deadline passed.
        Expired,
    }
}

/// Waits by group.
#[derive(Default)]
pub struct ConfirmTable {}

impl ConfirmTable {
    /// Adds a wait; the group is probed at the next run of the systems.
    pub fn add(&mut self, _request: ConfirmRequest) {}

    /// Takes the waits that have ended since the last call.
    pub fn take_results(&mut self) -> Vec<ConfirmResult> {
        Vec::new()
    }
}
