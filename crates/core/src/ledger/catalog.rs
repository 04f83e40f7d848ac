//! The configuration in effect: routes, customers with their keys, and groups.

pub mod check;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_wire::{scalar_type, value_type};

use self::check::CatalogFinding;
use crate::limit::CustomerRate;

scalar_type! {
    /// Which commits a read has to include.
    pub enum ReadConsistency {
        /// Every commit that was acknowledged before the read began.
        Current,
        /// Every commit acknowledged at least the given time before the read began.
        Bounded(Duration),
        /// The session's own commits, and all that `Bounded` includes.
        Session(Duration),
    }
}

value_type! {
    /// A route from the name of a database to a group.
    pub struct DatabaseRoute {
        /// Name that clients give at the start of a session.
        pub database: String,
        /// Group that serves the database.
        pub group: String,
        /// Which commits reads have to include.
        pub consistency: ReadConsistency,
        /// Time limit of one statement.
        pub statement_limit: Duration,
        /// Latency objective of an operation.
        pub objective: Duration,
        /// Priority; 0 is the highest.
        pub priority: u8,
        /// Whether clients without a key are served.
        pub is_open: bool,
    }

    /// A customer with its limits.
    pub struct CustomerRecord {
        /// Name, as sent to endpoints.
        pub name: String,
        /// Valid keys.
        pub keys: Vec<String>,
        /// Operations a second and burst over all hosts.
        pub rate: CustomerRate,
    }

    /// Limits of a group.
    pub struct GroupLimits {
        /// Connections that an endpoint accepts from all hosts together.
        pub connections: u32,
        /// Replicas that have received a commit before it is acknowledged.
        pub sync_replicas: u32,
    }

    /// Records of one version of the configuration in their order, duplicates included.
    pub struct CatalogRecords {
        /// Version.
        pub version: u64,
        /// Routes.
        pub routes: Vec<DatabaseRoute>,
        /// Customers.
        pub customers: Vec<CustomerRecord>,
        /// Names and limits of groups.
        pub groups: Vec<(String, GroupLimits)>,
        /// Longest time that a transaction may stay idle.
        pub transaction_idle: Duration,
        /// Time limit for a client to name its database.
        pub startup_limit: Duration,
        /// What the decoder left out or ignored.
        pub findings: Vec<CatalogFinding>,
    }

    /// One version of the configuration.
    pub struct SiteCatalog {
        /// Version; the greatest one is in effect.
        pub version: u64,
        routes: HashMap<String, Arc<DatabaseRoute>>,
        customers: HashMap<String, Arc<CustomerRecord>>,
        customers_by_key: HashMap<String, Arc<CustomerRecord>>,
        groups: HashMap<String, GroupLimits>,
        priorities: BTreeSet<u8>,
        /// Longest time that a transaction may stay idle.
        pub transaction_idle: Duration,
        /// Time limit for a client to name its database.
        pub startup_limit: Duration,
    }
}

/// Identity of a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity {
    /// A customer with a valid key.
    Customer(Arc<CustomerRecord>),
    /// A client without a valid key on a route that is open to all.
    Anonymous,
}

/// Why a client is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AccessError {
    /// No route has the name.
    #[error("no database of this name")]
    UnknownDatabase,
    /// The key belongs to no customer.
    #[error("unknown key")]
    UnknownKey,
    /// The key belongs to another customer than when the transaction began.
    #[error("the key belongs to another customer since the transaction began")]
    IdentityChanged,
}

impl From<CatalogRecords> for SiteCatalog {
    fn from(records: CatalogRecords) -> Self {
        Self::new(
            records.version,
            records.routes,
            records.customers,
            records.groups,
            records.transaction_idle,
            records.startup_limit,
        )
    }
}

impl SiteCatalog {
    /// Builds a version from its records. Of several records with one name the last one counts.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::catalog::SiteCatalog;
    ///
    /// let limit = Duration::from_secs(3);
    /// let catalog = SiteCatalog::new(7, Vec::new(), Vec::new(), Vec::new(), limit, limit);
    /// assert!(catalog.route("orders").is_none());
    /// ```
    pub fn new(
        version: u64,
        routes: Vec<DatabaseRoute>,
        customers: Vec<CustomerRecord>,
        groups: Vec<(String, GroupLimits)>,
        transaction_idle: Duration,
        startup_limit: Duration,
    ) -> Self {
        let customers: Vec<_> = customers.into_iter().map(Arc::new).collect();
        let customers_by_key = customers
            .iter()
            .flat_map(|customer| customer.keys.iter().map(|key| (key.clone(), customer.clone())))
            .collect();
        let routes: HashMap<String, Arc<DatabaseRoute>> =
            routes.into_iter().map(|route| (route.database.clone(), Arc::new(route))).collect();
        Self {
            version,
            priorities: routes.values().map(|route| route.priority).collect(),
            routes,
            customers_by_key,
            customers: customers.into_iter().map(|entry| (entry.name.clone(), entry)).collect(),
            groups: groups.into_iter().collect(),
            transaction_idle,
            startup_limit,
        }
    }

    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<&Arc<DatabaseRoute>> {
        self.routes.get(database)
    }

    /// The record of a customer.
    pub fn customer(&self, name: &str) -> Option<&Arc<CustomerRecord>> {
        self.customers.get(name)
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerRecord> {
        self.customers.values().map(Arc::as_ref)
    }

    /// Limits of a group.
    pub fn group(&self, name: &str) -> Option<&GroupLimits> {
        self.groups.get(name)
    }

    /// Names and limits of all groups.
    pub fn groups(&self) -> impl Iterator<Item = (&str, &GroupLimits)> {
        self.groups.iter().map(|(name, limits)| (name.as_str(), limits))
    }

    /// Whether the routes differ in priority.
    pub fn has_priorities(&self) -> bool {
        self.priorities.len() > 1
    }

    /// Priorities of the routes.
    pub fn priorities(&self) -> &BTreeSet<u8> {
        &self.priorities
    }

    /// Names of all groups that a route leads to.
    pub fn routed_groups(&self) -> HashSet<&str> {
        self.routes.values().map(|route| route.group.as_str()).collect()
    }

    /// Identifies a client of a database by its key.
    ///
    /// # Errors
    ///
    /// Fails when the database does not exist, or when it is not open and the key is unknown.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::catalog::{AccessError, SiteCatalog};
    ///
    /// let limit = Duration::from_secs(3);
    /// let catalog = SiteCatalog::new(7, Vec::new(), Vec::new(), Vec::new(), limit, limit);
    /// assert_eq!(catalog.identify("orders", "k").unwrap_err(), AccessError::UnknownDatabase);
    /// ```
    pub fn identify(&self, database: &str, key: &str) -> Result<CallerIdentity, AccessError> {
        let route = self.routes.get(database).ok_or(AccessError::UnknownDatabase)?;
        match self.customers_by_key.get(key) {
            Some(customer) => Ok(CallerIdentity::Customer(customer.clone())),
            None if route.is_open => Ok(CallerIdentity::Anonymous),
            None => Err(AccessError::UnknownKey),
        }
    }

    /// Checks that a client whose transaction began under `identity` may continue it with its key.
    /// The route does not matter: a change of it applies from the next transaction on.
    ///
    /// # Errors
    ///
    /// Fails when the key has been withdrawn or belongs to another customer.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use tanagerdeal_core::ledger::catalog::{CallerIdentity, SiteCatalog};
    ///
    /// let limit = Duration::from_secs(3);
    /// let catalog = SiteCatalog::new(7, Vec::new(), Vec::new(), Vec::new(), limit, limit);
    /// assert!(catalog.check_identity(&CallerIdentity::Anonymous, "").is_ok());
    /// ```
    pub fn check_identity(&self, identity: &CallerIdentity, key: &str) -> Result<(), AccessError> {
        let holder = self.customers_by_key.get(key).map(|customer| customer.name.as_str());
        match (identity.customer(), holder) {
            (known, holder) if known == holder => Ok(()),
            (Some(_), None) => Err(AccessError::UnknownKey),
            _ => Err(AccessError::IdentityChanged),
        }
    }
}

impl CallerIdentity {
    /// Name of the customer, if there is one.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::catalog::CallerIdentity;
    ///
    /// assert_eq!(CallerIdentity::Anonymous.customer(), None);
    /// ```
    pub fn customer(&self) -> Option<&str> {
        match self {
            Self::Customer(customer) => Some(&customer.name),
            Self::Anonymous => None,
        }
    }
}
