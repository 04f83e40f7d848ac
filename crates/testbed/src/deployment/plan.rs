//! Descriptions of deployments.

use tanagerdeal_wire::record::{CustomerRecord, WriteDurability};
use tanagerdeal_wire::value_type;

value_type! {
    /// A failure domain with its own loopback address, by which relays tell its traffic.
    pub struct DomainPlan {
        /// Its name.
        pub name: String,
        /// Loopback address of its processes.
        pub address: String,
    }

    /// A customer with one key.
    pub struct CustomerPlan {
        /// Its name.
        pub name: String,
        /// Its record.
        pub record: CustomerRecord,
    }

    /// A route.
    pub struct RoutePlan {
        /// Its name.
        pub name: String,
        /// Whether callers need no key.
        pub open: bool,
        /// Greatest age of a read in milliseconds, 0 for current.
        pub max_read_age_ms: u32,
        /// When a write is acknowledged.
        pub durability: WriteDurability,
    }

    /// A deployment.
    pub struct DeploymentPlan {
        /// Name of the service.
        pub service: String,
        /// Prefix of the groups' names, which end with a number from 1.
        pub group_prefix: String,
        /// Number of groups.
        pub groups: usize,
        /// Failure domains; each group has one member in each.
        pub domains: Vec<DomainPlan>,
        /// Number of hosts, dealt out to the failure domains in turn.
        pub hosts: usize,
        /// Statements that a member runs at once.
        pub slots: u32,
        /// Connections that a member takes.
        pub connections: u32,
        /// Milliseconds that opening a connection takes.
        pub connect_ms: u32,
        /// Milliseconds that a statement takes.
        pub service_ms: u32,
        /// One-way delay between failure domains in microseconds.
        pub domain_delay_us: u64,
        /// One-way delay between clients and hosts in microseconds.
        pub client_delay_us: u64,
        /// Whether the links between failure domains and to the platform go through the relay.
        pub relayed: bool,
        /// Customers.
        pub customers: Vec<CustomerPlan>,
        /// Routes to the service.
        pub routes: Vec<RoutePlan>,
        /// Statements that create the tables.
        pub tables: Vec<String>,
        /// Keys and values of the section `[policy]` of the hosts' settings.
        pub policies: Vec<(String, String)>,
    }
}

impl DeploymentPlan {
    /// Kahikatea Yard Systems: `orders-db`, 9 hosts, 3 groups of 3 members.
    ///
    /// ```
    /// use tanagerdeal_testbed::deployment::DeploymentPlan;
    ///
    /// let plan = DeploymentPlan::kahikatea();
    /// assert_eq!((plan.hosts, plan.groups, plan.domains.len()), (9, 3, 3));
    /// assert_eq!(plan.customers.len(), 8);
    /// ```
    pub fn kahikatea() -> Self {
        Self {
            service: "orders-db".to_owned(),
            group_prefix: "orders".to_owned(),
            groups: 3,
            domains: domains(["akl-a", "akl-b", "ham-c"]),
            hosts: 9,
            slots: 3,
            connections: 20,
            connect_ms: 10,
            service_ms: 5,
            domain_delay_us: 1_500,
            client_delay_us: 3_000,
            relayed: false,
            customers: customers("yard"),
            routes: vec![route("orders", 0), route("stock", 2_000), open_route("catalogue")],
            tables: tables(),
            policies: Vec::new(),
        }
    }

    /// Pamplemousses Canine Fit Consortium: `sizing-core`, 8 hosts, 3 groups of 3 members.
    ///
    /// ```
    /// use tanagerdeal_testbed::deployment::DeploymentPlan;
    ///
    /// let plan = DeploymentPlan::pamplemousses();
    /// assert_eq!((plan.slots, plan.connections), (2, 30));
    /// ```
    pub fn pamplemousses() -> Self {
        Self {
            service: "sizing-core".to_owned(),
            group_prefix: "sizing".to_owned(),
            groups: 3,
            domains: domains(["port-louis", "curepipe", "flacq"]),
            hosts: 8,
            slots: 2,
            connections: 30,
            connect_ms: 10,
            service_ms: 5,
            domain_delay_us: 1_000,
            client_delay_us: 1_000,
            relayed: false,
            customers: customers("maker"),
            routes: vec![route("sizing", 0), route("fit", 2_000), open_route("charts")],
            tables: tables(),
            policies: Vec::new(),
        }
    }

    /// One group of three members and three hosts, for tests of one mechanism.
    ///
    /// ```
    /// let plan = tanagerdeal_testbed::deployment::DeploymentPlan::small();
    /// assert_eq!((plan.hosts, plan.groups), (3, 1));
    /// ```
    pub fn small() -> Self {
        Self { groups: 1, hosts: 3, ..Self::kahikatea() }
    }

    /// Names of the groups.
    ///
    /// ```
    /// let plan = tanagerdeal_testbed::deployment::DeploymentPlan::small();
    /// assert_eq!(plan.group_names(), ["orders-1"]);
    /// ```
    pub fn group_names(&self) -> Vec<String> {
        (1..=self.groups).map(|number| format!("{}-{number}", self.group_prefix)).collect()
    }

    /// Name of the member of a group in a failure domain.
    ///
    /// ```
    /// let plan = tanagerdeal_testbed::deployment::DeploymentPlan::small();
    /// assert_eq!(plan.member_name("orders-1", 2), "orders-1-c");
    /// ```
    pub fn member_name(&self, group: &str, domain: usize) -> String {
        let letter = (b'a' + domain as u8) as char;
        format!("{group}-{letter}")
    }

    /// Names of the hosts with the index of their failure domain.
    ///
    /// ```
    /// let plan = tanagerdeal_testbed::deployment::DeploymentPlan::small();
    /// assert_eq!(plan.host_names()[1], ("akl-b-1".to_owned(), 1));
    /// ```
    pub fn host_names(&self) -> Vec<(String, usize)> {
        let count = self.domains.len();
        let name = |index: usize| {
            let domain = index % count;
            (format!("{}-{}", self.domains[domain].name, index / count + 1), domain)
        };
        (0..self.hosts).map(name).collect()
    }
}

fn domains(names: [&str; 3]) -> Vec<DomainPlan> {
    let domain = |(index, name): (usize, &&str)| DomainPlan {
        name: (*name).to_owned(),
        address: format!("127.0.{}.1", index + 1),
    };
    names.iter().enumerate().map(domain).collect()
}

/// Eight customers, three of them large.
fn customers(prefix: &str) -> Vec<CustomerPlan> {
    let rates = [80, 60, 40, 12, 12, 12, 12, 12];
    let customer = |(index, rate): (usize, &u32)| CustomerPlan {
        name: format!("{prefix}-{}", index + 1),
        record: CustomerRecord {
            rate_per_s: *rate,
            burst: *rate,
            weight: if *rate >= 40 { 4 } else { 1 },
            worth: 1,
            max_sessions: 1_000,
        },
    };
    rates.iter().enumerate().map(customer).collect()
}

fn route(name: &str, max_read_age_ms: u32) -> RoutePlan {
    let durability = WriteDurability::Term;
    RoutePlan { name: name.to_owned(), open: false, max_read_age_ms, durability }
}

fn open_route(name: &str) -> RoutePlan {
    RoutePlan { open: true, ..route(name, 0) }
}

/// `items` holds counters that are updated, `orders` rows that are inserted once.
fn tables() -> Vec<String> {
    [
        "CREATE TABLE items (item text PRIMARY KEY, amount bigint, writer text)",
        "CREATE TABLE orders (id text PRIMARY KEY, customer text, item text, writer text)",
    ]
    .map(str::to_owned)
    .to_vec()
}
