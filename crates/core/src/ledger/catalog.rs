//! The configuration in effect: routes, customers with their keys, and groups.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_wire::{scalar_type, value_type};

use crate::limit::CustomerRate;

scalar_type! {
    /// Which commits a read has to see.
    pub enum ReadConsistency {
        /// Every commit that was acknowledged before the read began.
        Current,
        /// Every commit that was acknowledged before the given age.
        Bounded(Duration),
        /// The session's own commits, and every commit before the given age.
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
        /// What reads have to see.
        pub consistency: ReadConsistency,
        /// Longest time of one statement.
        pub statement_limit: Duration,
        /// Latency objective of an operation.
        pub objective: Duration,
        /// Importance; 0 is the highest.
        pub priority: u8,
        /// Whether clients without a key are served.
        pub is_open: bool,
    }

    /// A customer with its limits.
    pub struct CustomerRecord {
        /// Name, as endpoints are told.
        pub name: String,
        /// Keys in effect.
        pub keys: Vec<String>,
        /// Operations a second and burst over all hosts.
        pub rate: CustomerRate,
    }

    /// Limits of a group that hold for each of its endpoints.
    pub struct GroupLimits {
        /// Connections that an endpoint accepts from all hosts together.
        pub connections: u32,
    }

    /// One version of the configuration.
    pub struct SiteCatalog {
        /// Version; greater versions replace smaller ones.
        pub version: u64,
        routes: HashMap<String, Arc<DatabaseRoute>>,
        customers: HashMap<String, Arc<CustomerRecord>>,
        owners: HashMap<String, Arc<CustomerRecord>>,
        groups: HashMap<String, GroupLimits>,
        /// Longest time that a transaction may stay idle.
        pub transaction_idle: Duration,
        /// Time that a client has to name its database.
        pub startup_limit: Duration,
    }
}

/// Who a client is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerIdentity {
    /// A customer with a valid key.
    Customer(Arc<CustomerRecord>),
    /// A client without a valid key on a route that is open to all.
    Anonymous,
}

/// Why a client is turned away at the start of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum AccessError {
    /// No route has the name.
    #[error("no database of this name")]
    UnknownDatabase,
    /// The key belongs to no customer.
    #[error("unknown key")]
    UnknownKey,
}

impl SiteCatalog {
    /// A version with its records; of two records with one name the later one counts.
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
        let owners = customers
            .iter()
            .flat_map(|customer| customer.keys.iter().map(|key| (key.clone(), customer.clone())))
            .collect();
        let routes =
            routes.into_iter().map(|route| (route.database.clone(), Arc::new(route))).collect();
        Self {
            version,
            routes,
            owners,
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

    /// Names of all groups that a route leads to.
    pub fn routed_groups(&self) -> HashSet<&str> {
        self.routes.values().map(|route| route.group.as_str()).collect()
    }

    /// Who a client with a key is on a database.
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
        match self.owners.get(key) {
            Some(customer) => Ok(CallerIdentity::Customer(customer.clone())),
            None if route.is_open => Ok(CallerIdentity::Anonymous),
            None => Err(AccessError::UnknownKey),
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
