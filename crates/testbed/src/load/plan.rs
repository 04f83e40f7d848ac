//! What the load generator is told to do.

use std::net::SocketAddr;

use tanagerdeal_wire::wire_type;

use crate::deployment::{Deployment, RoutePlan};

/// Sessions of a small customer on each of its two routes.
const SMALL_SESSIONS: u32 = 2;

/// Requests a second that one session is expected to carry.
const RATE_PER_SESSION: u32 = 10;

wire_type! {
    /// A host that takes callers.
    pub struct HostTarget {
        /// Its name.
        pub name: String,
        /// Its listener for callers.
        pub address: SocketAddr,
    }

    /// A time in which a customer sends a multiple of its rate.
    #[derive(Copy)]
    pub struct SurgePlan {
        /// Milliseconds after the start at which it begins.
        pub from_ms: u64,
        /// Milliseconds after the start at which it ends.
        pub to_ms: u64,
        /// The multiple.
        pub factor: u32,
    }

    /// Load of one customer.
    pub struct CustomerLoad {
        /// Its name.
        pub name: String,
        /// Name of its key.
        pub key_name: String,
        /// Password with which its sessions connect.
        pub password: String,
        /// Requests that it sends, in thousandths a second.
        pub millirate: u64,
        /// Sessions on each of the two routes.
        pub sessions: u32,
        /// When it sends more.
        pub surge: Option<SurgePlan>,
    }

    /// Weights of the kinds of requests.
    #[derive(Copy)]
    pub struct RequestMix {
        /// Current reads of one item.
        pub reads: u32,
        /// Reads of one item that accept an age.
        pub aged_reads: u32,
        /// Reads of all items of the customer that accept an age.
        pub lists: u32,
        /// Writes without a request id.
        pub writes: u32,
        /// Writes with a request id, repeated when their outcome is unknown.
        pub idempotent_writes: u32,
        /// Transactions of two writes.
        pub transactions: u32,
    }

    /// A run of the load generator.
    pub struct LoadPlan {
        /// Seed of all random choices.
        pub seed: u64,
        /// Length of the run in milliseconds.
        pub duration_ms: u64,
        /// Hosts; with skew, earlier ones get more sessions.
        pub hosts: Vec<HostTarget>,
        /// Whether a host gets twice the sessions of the next one.
        pub skewed_hosts: bool,
        /// Customers.
        pub customers: Vec<CustomerLoad>,
        /// Route of current requests.
        pub route: String,
        /// Route of reads that accept an age.
        pub aged_route: String,
        /// Age in milliseconds that the second route accepts.
        pub max_age_ms: u32,
        /// Kinds of requests.
        pub mix: RequestMix,
        /// Items of each customer.
        pub items: u32,
        /// Deadline of a request in milliseconds.
        pub deadline_ms: u32,
        /// Percentage of requests after which the session roams to another host.
        pub roam_percent: u32,
        /// Percentage of roaming sessions that take their token along.
        pub token_percent: u32,
        /// Most attempts of an idempotent write.
        pub attempts: u32,
    }
}

impl Default for RequestMix {
    /// Mostly reads that accept an age, as both firms send.
    fn default() -> Self {
        Self {
            reads: 20,
            aged_reads: 50,
            lists: 5,
            writes: 10,
            idempotent_writes: 10,
            transactions: 5,
        }
    }
}

impl LoadPlan {
    /// A run against all hosts of a deployment, at a percentage of each customer's rate.
    ///
    /// ```no_run
    /// use tanagerdeal_testbed::deployment::Deployment;
    /// use tanagerdeal_testbed::load::LoadPlan;
    ///
    /// fn plan(deployment: &Deployment) -> LoadPlan {
    ///     LoadPlan::for_deployment(deployment, 80, 10_000)
    /// }
    /// ```
    pub fn for_deployment(deployment: &Deployment, rate_percent: u64, duration_ms: u64) -> Self {
        let plan = deployment.plan();
        let keyed = |aged: bool| {
            let fits = |route: &&RoutePlan| !route.open && (route.max_read_age_ms > 0) == aged;
            plan.routes.iter().find(fits)
        };
        let (current, aged) = (keyed(false), keyed(true));
        let hosts = deployment.hosts();
        let hosts = hosts.map(|host| HostTarget { name: host.name.clone(), address: host.caller });
        let customers = plan.customers.iter().map(|customer| CustomerLoad {
            name: customer.name.clone(),
            key_name: deployment.key_name(&customer.name),
            password: deployment.password(&customer.name),
            millirate: u64::from(customer.record.rate_per_s) * rate_percent * 10,
            sessions: (customer.record.rate_per_s / RATE_PER_SESSION).max(SMALL_SESSIONS),
            surge: None,
        });
        Self {
            seed: 1,
            duration_ms,
            hosts: hosts.collect(),
            skewed_hosts: false,
            customers: customers.collect(),
            route: current.map(|route| route.name.clone()).unwrap_or_default(),
            aged_route: aged.map(|route| route.name.clone()).unwrap_or_default(),
            max_age_ms: aged.map_or(0, |route| route.max_read_age_ms),
            mix: RequestMix::default(),
            items: 10,
            deadline_ms: 5_000,
            roam_percent: 2,
            token_percent: 80,
            attempts: 4,
        }
    }
}
