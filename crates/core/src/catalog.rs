//! Records in effect on this host, and how recently they were known to equal the store.

use std::time::Instant;

use tanagerdeal_wire::record::{
    ConfigurationRecord, CustomerRecord, DomainPhase, EndpointPhase, KeyRecord, RouteRecord,
    ServiceRecord,
};
use tanagerdeal_wire::{CustomerName, DomainName, EndpointName, KeyName, RouteName, ServiceName};

/// Records by kind and name.
#[derive(Default)]
pub struct CatalogTable {
    revision: u64,
    confirmed_at: Option<Instant>,
}

impl CatalogTable {
    /// Revision of the store up to which changes have been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Instant as of which the catalog is known to equal the store.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// The customer's record.
    pub fn customer(&self, _name: &CustomerName) -> Option<&CustomerRecord> {
        None
    }

    /// The key's record.
    pub fn key(&self, _name: &KeyName) -> Option<&KeyRecord> {
        None
    }

    /// The route's record.
    pub fn route(&self, _name: &RouteName) -> Option<&RouteRecord> {
        None
    }

    /// The service's record.
    pub fn service(&self, _name: &ServiceName) -> Option<&ServiceRecord> {
        None
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRecord)> {
        std::iter::empty()
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerName, &CustomerRecord)> {
        std::iter::empty()
    }

    /// Settings of the fleet; defaults when there is no record.
    pub fn configuration(&self) -> ConfigurationRecord {
        ConfigurationRecord { replication_wait_ms: 400, retry_percent: 10 }
    }

    /// Whether a failure domain gets new work.
    pub fn domain_phase(&self, _name: &DomainName) -> DomainPhase {
        DomainPhase::In
    }

    /// Whether an endpoint gets new work.
    pub fn endpoint_phase(&self, _name: &EndpointName) -> EndpointPhase {
        EndpointPhase::Serving
    }
}
