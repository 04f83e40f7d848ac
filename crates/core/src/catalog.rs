//! This host's replica of the store's records, and the time as of which it is known to be current.

mod entry;

use std::collections::BTreeMap;
use std::time::Instant;

use tanagerdeal_wire::name::NameError;
use tanagerdeal_wire::peer::CatalogEntry;
use tanagerdeal_wire::record::{
    ConfigurationRecord, CustomerRecord, DomainPhase, DomainRecord, EndpointPhase, EndpointRecord,
    KeyRecord, RECORD_PREFIX, Record, RecordKind, RouteRecord, ServiceRecord, split_record_key,
};
use tanagerdeal_wire::view::{
    FLEET_VIEW_KEY, FleetView, LEASE_PREFIX, LeaseRecord, ShareView, VIEW_PREFIX,
};
use tanagerdeal_wire::{
    CustomerName, DomainName, EndpointName, HostName, KeyName, RouteName, ServiceName, value_type,
};

use entry::EntryTable;

/// Name of the only configuration record in use; it holds the settings of the whole fleet.
const CONFIGURATION_NAME: &str = "fleet";

value_type! {
    /// Counts of the outcomes when a batch of entries is applied.
    #[derive(Copy, Default)]
    pub struct ApplyCount {
        /// Entries that were new or replaced an older one.
        pub applied: u64,
        /// Entries older than the stored one, or of a key deleted since.
        pub ignored: u64,
        /// Applied entries whose value could not be decoded.
        pub rejected: u64,
    }

    /// The newest lease record of a host that this host has received.
    pub struct SeenLease {
        /// The lease record as decoded from the store.
        pub record: LeaseRecord,
        /// Store revision at which it was written.
        pub revision: u64,
        /// When this host first received it.
        pub seen_at: Instant,
    }
}

/// Records by kind and name, with the entries they were decoded from.
#[derive(Default)]
pub struct CatalogTable {
    revision: u64,
    version: u64,
    confirmed_at: Option<Instant>,
    entries: EntryTable,
    unknown: BTreeMap<String, String>,
    customers: BTreeMap<CustomerName, CustomerRecord>,
    keys: BTreeMap<KeyName, KeyRecord>,
    routes: BTreeMap<RouteName, RouteRecord>,
    services: BTreeMap<ServiceName, ServiceRecord>,
    configuration: Option<ConfigurationRecord>,
    domains: BTreeMap<DomainName, DomainRecord>,
    endpoints: BTreeMap<EndpointName, EndpointRecord>,
    views: BTreeMap<DomainName, ShareView>,
    fleet_view: Option<FleetView>,
    leases: BTreeMap<HostName, SeenLease>,
}

impl CatalogTable {
    /// Store revision up to which changes have been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counter that increases with each change of an entry other than a lease, so that records are
    /// processed again only after a change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Latest instant as of which the catalog is known to equal the store, if any.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Records that the catalog equals the store as of an instant. An earlier instant than the
    /// recorded one has no effect.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use tanagerdeal_core::catalog::CatalogTable;
    ///
    /// let now = Instant::now();
    /// let mut catalog = CatalogTable::default();
    /// catalog.confirm(now);
    /// catalog.confirm(now - Duration::from_secs(1));
    /// assert_eq!(catalog.confirmed_at(), Some(now));
    /// ```
    pub fn confirm(&mut self, instant: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(instant));
    }

    /// Applies entries that, together with the stored ones, are complete up to revision `through`.
    ///
    /// An entry older than the stored one is ignored, whether it came from the store or from a
    /// peer. So is an entry of an absent key at or below the catalog's revision: the catalog is
    /// complete up to there, so the key was deleted since. Leases are exempt, because other hosts
    /// do not relay them.
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// use tanagerdeal_core::catalog::CatalogTable;
    /// use tanagerdeal_wire::peer::CatalogEntry;
    ///
    /// let value = Some(r#"{"schema":1,"rate_per_s":10,"burst":20}"#.to_owned());
    /// let entry = CatalogEntry { key: "records/customer/quarry".to_owned(), revision: 3, value };
    /// let mut catalog = CatalogTable::default();
    /// assert_eq!(catalog.apply(Instant::now(), vec![entry], 3).applied, 1);
    /// assert_eq!(catalog.customers().count(), 1);
    /// ```
    pub fn apply(
        &mut self,
        now: Instant,
        mut entries: Vec<CatalogEntry>,
        through: u64,
    ) -> ApplyCount {
        let mut count = ApplyCount::default();
        entries.sort_by_key(|entry| entry.revision);
        for entry in entries {
            let stored = self.entries.revision(&entry.key);
            let is_lease = entry.key.starts_with(LEASE_PREFIX);
            match stored {
                _ if entry.revision > through || !is_catalog_key(&entry.key) => {}
                Some(stored) if stored == entry.revision => {}
                Some(stored) if stored > entry.revision => count.ignored += 1,
                None if entry.revision <= self.revision && !is_lease => count.ignored += 1,
                _ => {
                    count.applied += 1;
                    self.version += u64::from(!is_lease);
                    count.rejected += u64::from(!self.apply_entry(now, &entry));
                    self.entries.insert(entry);
                }
            }
        }
        self.revision = self.revision.max(through);
        count
    }

    /// Entries that bring another host from `revision` up to date, and the revision that it reaches
    /// with them. Stops after about `max_bytes`; the revision reached is then below the catalog's.
    ///
    /// Returns `None` if tombstones of deletions after `revision` have been discarded, unless
    /// `revision` is 0.
    pub(crate) fn entries_after(
        &self,
        revision: u64,
        max_bytes: usize,
    ) -> Option<(Vec<CatalogEntry>, u64)> {
        let (entries, last) = self.entries.after(revision, max_bytes)?;
        Some((entries, last.unwrap_or(self.revision)))
    }

    /// Whether another host that is up to date as of a revision lacks an entry.
    pub(crate) fn has_news(&self, revision: u64) -> bool {
        self.entries.newest_relayed_revision() > revision
    }

    /// Revision of the last write to a key, 0 if it is absent or deleted.
    pub(crate) fn key_revision(&self, key: &str) -> u64 {
        self.entries.present_revision(key)
    }

    /// Store keys of entries that could not be decoded, with the reason.
    pub(crate) fn unknown(&self) -> impl Iterator<Item = (&str, &str)> {
        self.unknown.iter().map(|(key, reason)| (key.as_str(), reason.as_str()))
    }

    /// Record of a customer, if there is one.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerRecord> {
        self.customers.get(name)
    }

    /// Record of an access key, if there is one.
    pub fn key(&self, name: &KeyName) -> Option<&KeyRecord> {
        self.keys.get(name)
    }

    /// Record of a route, if there is one.
    pub fn route(&self, name: &RouteName) -> Option<&RouteRecord> {
        self.routes.get(name)
    }

    /// Record of a service, if there is one.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// All services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRecord)> {
        self.services.iter()
    }

    /// All customers, sorted by name.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerName, &CustomerRecord)> {
        self.customers.iter()
    }

    /// Settings of the whole fleet, or their defaults if there is no record.
    pub fn configuration(&self) -> ConfigurationRecord {
        let defaults = ConfigurationRecord { replication_wait_ms: 400, retry_percent: 10 };
        self.configuration.clone().unwrap_or(defaults)
    }

    /// Whether a failure domain gets new work; [`DomainPhase::In`] if there is no record.
    pub fn domain_phase(&self, name: &DomainName) -> DomainPhase {
        self.domains.get(name).map_or(DomainPhase::In, |record| record.state)
    }

    /// Whether an endpoint gets new work; [`EndpointPhase::Serving`] if there is no record.
    pub fn endpoint_phase(&self, name: &EndpointName) -> EndpointPhase {
        self.endpoints.get(name).map_or(EndpointPhase::Serving, |record| record.state)
    }

    /// Share view of a failure domain, if there is one.
    pub(crate) fn view(&self, domain: &DomainName) -> Option<&ShareView> {
        self.views.get(domain)
    }

    /// All share views by failure domain.
    pub(crate) fn views(&self) -> impl Iterator<Item = (&DomainName, &ShareView)> {
        self.views.iter()
    }

    /// View of the failure domains among which rate limits are divided.
    pub(crate) fn fleet_view(&self) -> Option<&FleetView> {
        self.fleet_view.as_ref()
    }

    /// Newest lease received of a host.
    pub(crate) fn lease(&self, host: &HostName) -> Option<&SeenLease> {
        self.leases.get(host)
    }

    /// Newest lease received of each host.
    pub(crate) fn leases(&self) -> impl Iterator<Item = (&HostName, &SeenLease)> {
        self.leases.iter()
    }

    /// Applies an entry to the decoded records and returns whether it could be decoded. If not, the
    /// last decoded value stays in effect.
    fn apply_entry(&mut self, now: Instant, entry: &CatalogEntry) -> bool {
        let outcome = match &entry.value {
            None => {
                self.remove(&entry.key);
                Ok(())
            }
            Some(text) => self.decode(now, entry, text),
        };
        match outcome {
            Ok(()) => {
                self.unknown.remove(&entry.key);
                true
            }
            Err(reason) => {
                let (key, revision) = (&entry.key, entry.revision);
                log::warn!("catalog: could not decode {key} at revision {revision}: {reason}");
                self.unknown.insert(key.clone(), reason);
                false
            }
        }
    }

    fn remove(&mut self, key: &str) {
        match split_record_key(key) {
            Some((kind, name)) => self.remove_record(kind, name),
            None if key == FLEET_VIEW_KEY => self.fleet_view = None,
            None => {
                if let Some(Ok(name)) = key.strip_prefix(LEASE_PREFIX).map(HostName::new) {
                    self.leases.remove(&name);
                }
                if let Some(Ok(name)) = key.strip_prefix(VIEW_PREFIX).map(DomainName::new) {
                    self.views.remove(&name);
                }
            }
        }
    }

    fn remove_record(&mut self, kind: RecordKind, name: &str) {
        match kind {
            RecordKind::Customer => remove_named(&mut self.customers, CustomerName::new(name)),
            RecordKind::Key => remove_named(&mut self.keys, KeyName::new(name)),
            RecordKind::Route => remove_named(&mut self.routes, RouteName::new(name)),
            RecordKind::Service => remove_named(&mut self.services, ServiceName::new(name)),
            RecordKind::Domain => remove_named(&mut self.domains, DomainName::new(name)),
            RecordKind::Endpoint => remove_named(&mut self.endpoints, EndpointName::new(name)),
            RecordKind::Configuration if name == CONFIGURATION_NAME => self.configuration = None,
            RecordKind::Configuration => {}
        }
    }

    fn decode(&mut self, now: Instant, entry: &CatalogEntry, text: &str) -> Result<(), String> {
        let key = entry.key.as_str();
        if key == FLEET_VIEW_KEY {
            self.fleet_view = Some(FleetView::decode(text).map_err(|e| e.to_string())?);
        } else if let Some(name) = key.strip_prefix(LEASE_PREFIX) {
            let name = HostName::new(name).map_err(|error| error.to_string())?;
            let record = LeaseRecord::decode(text).map_err(|error| error.to_string())?;
            let lease = SeenLease { record, revision: entry.revision, seen_at: now };
            self.leases.insert(name, lease);
        } else if let Some(name) = key.strip_prefix(VIEW_PREFIX) {
            let name = DomainName::new(name).map_err(|error| error.to_string())?;
            let view = ShareView::decode(text).map_err(|error| error.to_string())?;
            self.views.insert(name, view);
        } else {
            let (kind, name) = split_record_key(key).ok_or("kind of record is unknown")?;
            let value = serde_json::from_str(text).map_err(|error| error.to_string())?;
            let record = Record::decode(kind, &value).map_err(|error| error.to_string())?;
            self.insert_record(name, record).map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn insert_record(&mut self, name: &str, record: Record) -> Result<(), NameError> {
        match record {
            Record::Customer(record) => {
                put_named(&mut self.customers, CustomerName::new(name), record)?;
            }
            Record::Key(record) => put_named(&mut self.keys, KeyName::new(name), record)?,
            Record::Route(record) => put_named(&mut self.routes, RouteName::new(name), record)?,
            Record::Service(record) => {
                put_named(&mut self.services, ServiceName::new(name), record)?;
            }
            Record::Domain(record) => put_named(&mut self.domains, DomainName::new(name), record)?,
            Record::Endpoint(record) => {
                put_named(&mut self.endpoints, EndpointName::new(name), record)?;
            }
            Record::Configuration(record) if name == CONFIGURATION_NAME => {
                self.configuration = Some(record);
            }
            Record::Configuration(_) => {}
        }
        Ok(())
    }
}

fn put_named<K: Ord, V>(
    map: &mut BTreeMap<K, V>,
    name: Result<K, NameError>,
    value: V,
) -> Result<(), NameError> {
    map.insert(name?, value);
    Ok(())
}

fn remove_named<K: Ord, V, E>(map: &mut BTreeMap<K, V>, name: Result<K, E>) {
    if let Ok(name) = name {
        map.remove(&name);
    }
}

/// Whether a key of the store belongs to the catalog.
fn is_catalog_key(key: &str) -> bool {
    [RECORD_PREFIX, VIEW_PREFIX, LEASE_PREFIX].iter().any(|prefix| key.starts_with(prefix))
}
