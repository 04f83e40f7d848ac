//! Counters of one host, exported as metrics.

use tanagerdeal_wire::wire_type;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {
        wire_type! {
            /// Counts since the start of the process.
            #[derive(Default)]
            pub struct HostCounters {
                $($(#[$doc])* pub $name: u64,)+
            }
        }

        impl HostCounters {
            /// Names and values, in the order of declaration.
            ///
            /// ```
            /// let counters = tanagerdeal_core::counter::HostCounters::default();
            /// assert!(counters.entries().iter().all(|(_, count)| *count == 0));
            /// ```
            pub fn entries(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)+]
            }
        }
    };
}

counters! {
    /// Sessions opened.
    sessions_opened,
    /// Sessions refused for a bad or revoked key.
    sessions_refused,
    /// Sessions closed because their key was revoked.
    sessions_revoked,
    /// Requests placed on a primary.
    placed_on_primary,
    /// Reads placed on a replica.
    placed_on_replica,
    /// Requests refused for the customer's rate.
    refused_rate,
    /// Requests refused because they could not be on time.
    refused_overload,
    /// Requests refused for lack of an endpoint.
    refused_unavailable,
    /// Keyed requests refused for lack of a recent catalog confirmation.
    refused_stale_catalog,
    /// Requests whose outcome is unknown to the client.
    outcomes_unknown,
    /// Commits acknowledged.
    commits_acknowledged,
    /// Commits acknowledged before a second member had received them.
    acks_unreplicated,
    /// Commits refused because a higher term was seen.
    commits_fenced,
    /// Sessions told that a write was lost in a failover.
    writes_lost,
    /// Responses rejected because they were read at too old a position.
    reads_rejected,
    /// Retries allowed.
    retries_allowed,
    /// Retries refused by the budget.
    retries_refused,
    /// Promotions started by this host.
    promotions_started,
    /// Promotions completed by this host.
    promotions_completed,
    /// Catalog changes applied.
    changes_applied,
    /// Catalog entries ignored because they were older than the one in effect.
    changes_ignored,
    /// Records that could not be decoded.
    records_rejected,
    /// Calls of the store that failed.
    store_failures,
    /// Calls of the store.
    store_calls,
    /// Requests to other hosts.
    peer_calls,
    /// Requests to other hosts without a response.
    peer_failures,
    /// Loans taken.
    loans_taken,
    /// Loans given.
    loans_given,
    /// Session tokens refused.
    tokens_refused,
}
