//! Fixed properties of a host: identity, timing and policies, from its settings.

use std::time::Duration;

use tanagerdeal_wire::{DomainName, HostName, value_type};

value_type! {
    /// Who this host is.
    pub struct HostIdentity {
        /// Its name.
        pub host: HostName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Random number drawn at each start.
        pub incarnation: u64,
        /// Address of its peer listener, `ip:port`.
        pub peer_address: String,
        /// Address of its admin listener, `ip:port`.
        pub admin_address: String,
    }

    /// Intervals from the settings; the core computes deadlines from them.
    pub struct HostTiming {
        /// Interval between probes of a member.
        pub probe_interval: Duration,
        /// Time without a response after which a primary is suspected.
        pub suspect_after: Duration,
        /// Delay per rendezvous rank before a watcher starts a promotion.
        pub promote_step: Duration,
        /// Shortest time between two promotions of a group.
        pub promote_pause: Duration,
        /// Interval between reads of the change feed by a relay.
        pub feed_interval: Duration,
        /// Age of the catalog confirmation above which another source is asked.
        pub refresh_after: Duration,
        /// Age of the catalog confirmation above which keyed requests are refused.
        pub stale_after: Duration,
        /// Longest time for which a pull is held.
        pub pull_hold: Duration,
        /// Interval between lease renewals.
        pub lease_interval: Duration,
        /// Validity of a lease for its holder, from when the renewal was sent.
        pub lease_valid: Duration,
        /// Time without a renewal after which others count a lease as expired.
        pub lease_expired: Duration,
        /// Validity of a loan.
        pub loan_valid: Duration,
        /// Time between the announcement of a shutdown and the end of new sessions.
        pub drain_notice: Duration,
        /// Time that running requests get after a shutdown is announced.
        pub drain_limit: Duration,
        /// Time over which load returns to a failure domain that was taken out.
        pub return_ramp: Duration,
    }

    /// Which variant of a policy is used; the first of each is the default, the others are baselines.
    pub struct HostPolicies {
        /// Where reads go.
        pub reads: ReadPolicy,
        /// How requests wait for an endpoint.
        pub scheduler: SchedulerPolicy,
        /// How rates are shared out.
        pub limits: LimitPolicy,
        /// When a primary is replaced.
        pub suspicion: SuspicionPolicy,
        /// How load returns to a failure domain.
        pub domain_return: ReturnPolicy,
        /// What a host does without a recent catalog confirmation.
        pub without_store: WithoutStorePolicy,
    }

    /// Where reads go.
    #[derive(Copy, Default)]
    pub enum ReadPolicy {
        /// To any member that satisfies the watermark and the age.
        #[default]
        Replicas,
        /// To the primary, except reads with an age.
        Primary,
    }

    /// How requests wait for an endpoint.
    #[derive(Copy, Default)]
    pub enum SchedulerPolicy {
        /// Weighted fair queueing over customers.
        #[default]
        Fair,
        /// First come, first served.
        Fifo,
    }

    /// How rates are shared out.
    #[derive(Copy, Default)]
    pub enum LimitPolicy {
        /// Base shares with loans between hosts.
        #[default]
        Escrow,
        /// Base shares only.
        EqualSplit,
    }

    /// When a primary is replaced.
    #[derive(Copy, Default)]
    pub enum SuspicionPolicy {
        /// When watchers in a majority of failure domains suspect it.
        #[default]
        Agreed,
        /// When one host suspects it.
        Single,
    }

    /// How load returns to a failure domain.
    #[derive(Copy, Default)]
    pub enum ReturnPolicy {
        /// In steps.
        #[default]
        Stepped,
        /// All at once.
        Immediate,
    }

    /// What a host does without a recent catalog confirmation.
    #[derive(Copy, Default)]
    pub enum WithoutStorePolicy {
        /// Serves keyed requests while every other failure domain reports the store unreachable.
        #[default]
        Evidence,
        /// Refuses keyed requests.
        Never,
        /// Serves keyed requests.
        Always,
    }
}

/// Everything a host is told at its start.
#[derive(Clone)]
pub struct HostProfile {
    /// Who it is.
    pub identity: HostIdentity,
    /// Its intervals.
    pub timing: HostTiming,
    /// Its policies.
    pub policies: HostPolicies,
    /// Secret of the fleet, which signs session tokens.
    pub fleet_secret: Vec<u8>,
    /// Seed of the core's random numbers.
    pub seed: u64,
}

impl Default for HostTiming {
    /// Intervals for a fleet of today's size.
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(250),
            suspect_after: Duration::from_millis(1_000),
            promote_step: Duration::from_millis(300),
            promote_pause: Duration::from_millis(3_000),
            feed_interval: Duration::from_millis(500),
            refresh_after: Duration::from_millis(1_500),
            stale_after: Duration::from_millis(4_000),
            pull_hold: Duration::from_millis(1_000),
            lease_interval: Duration::from_secs(10),
            lease_valid: Duration::from_secs(90),
            lease_expired: Duration::from_secs(100),
            loan_valid: Duration::from_secs(10),
            drain_notice: Duration::from_secs(2),
            drain_limit: Duration::from_secs(30),
            return_ramp: Duration::from_secs(10),
        }
    }
}

impl Default for HostPolicies {
    /// The default of each policy.
    fn default() -> Self {
        Self {
            reads: ReadPolicy::default(),
            scheduler: SchedulerPolicy::default(),
            limits: LimitPolicy::default(),
            suspicion: SuspicionPolicy::default(),
            domain_return: ReturnPolicy::default(),
            without_store: WithoutStorePolicy::default(),
        }
    }
}
