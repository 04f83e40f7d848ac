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
    /// Sessions refused for an invalid or revoked key.
    sessions_refused,
    /// Sessions closed because their key was revoked.
    sessions_revoked,
    /// Requests placed on a primary.
    placed_on_primary,
    /// Reads placed on a replica.
    placed_on_replica,
    /// Requests refused by the customer's rate limit.
    refused_rate,
    /// Requests refused because they could not meet their deadline.
    refused_overload,
    /// Requests refused for lack of a usable endpoint.
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
    /// Sessions that were told that a write was lost in a failover.
    writes_lost,
    /// Responses rejected because the endpoint's log position was too old for the read.
    reads_rejected,
    /// Retries that the budget allowed.
    retries_allowed,
    /// Retries that the budget refused.
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
    /// Requests sent to other hosts.
    peer_calls,
    /// Requests to other hosts without a response.
    peer_failures,
    /// Loans received from other hosts.
    loans_taken,
    /// Loans granted to other hosts.
    loans_given,
    /// Session tokens refused.
    tokens_refused,
}
