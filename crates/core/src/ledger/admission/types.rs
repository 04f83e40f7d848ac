//! What the scheduler of an endpoint is asked, and what it answers.

use std::collections::BTreeMap;
use std::time::Duration;

use tanagerdeal_wire::{scalar_type, value_type};

use super::TicketKey;
use crate::ledger::capacity::WorkClass;
use crate::ledger::clock::BootInstant;

scalar_type! {
    /// A statement that is to run on the endpoint.
    pub struct StatementDemand<'a> {
        /// Customer that it is run for.
        pub customer: &'a str,
        /// Priority of its route; 0 is the most urgent.
        pub priority: u8,
        /// What it does.
        pub work: WorkClass,
        /// When it must start at the latest.
        pub wait_deadline: BootInstant,
        /// Whether it belongs to an open transaction.
        pub is_continuation: bool,
    }

    /// Why a statement was refused.
    pub enum RefusalReason {
        /// It is not expected to start by its deadline.
        Backlog,
        /// Its deadline has passed.
        Expired,
        /// Too many statements of the same or a higher priority wait.
        QueueFull,
    }

    /// A refusal. The statement was not run.
    pub struct AdmissionRefusal {
        /// Why it was refused.
        pub reason: RefusalReason,
        /// Time after which the endpoint is expected to have room for it.
        pub retry_after: Duration,
    }

    /// What happens to a waiting statement.
    pub enum AdmissionDecision {
        /// It may start; its end must be reported.
        Start(TicketKey),
        /// It was removed from the queue.
        Refuse(TicketKey, AdmissionRefusal),
    }

    /// How a statement ended.
    pub enum WorkOutcome {
        /// The endpoint replied.
        Completed {
            /// Time from sending the statement to its reply.
            took: Duration,
        },
        /// The endpoint refused it because it is full. The statement may be submitted again.
        Full,
        /// There was no reply, or an error of the endpoint itself.
        Failed,
        /// It ended for a reason that says nothing about the endpoint.
        Cancelled,
    }
}

value_type! {
    /// Load on an endpoint.
    pub struct AdmissionSummary {
        /// Number of waiting statements by priority.
        pub waiting: BTreeMap<u8, usize>,
        /// Number of running statements.
        pub running: usize,
        /// Number of statements that may run at once.
        pub limit: u32,
        /// Expected wait of another statement of the lowest priority that waits, or of any
        /// statement if none waits.
        pub expected_wait: Duration,
    }
}
