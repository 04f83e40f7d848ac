//! Records in effect on this host, and how recently they were known to equal the store.

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

/// Name of the record that holds the settings of the whole fleet.
const CONFIGURATION_NAME: &str = "fleet";

value_type! {
    /// What became of a batch of entries.
    #[derive(Copy, Default)]
    pub struct ApplyCount {
        /// Entries that replaced an older one.
        pub applied: u64,
        /// Entries that were older than the one held, or belong to a key deleted since.
        pub ignored: u64,
        /// Applied entries whose value this version does not understand.
        pub rejected: u64,
    }

    /// The last lease record seen of a host.
    pub struct SeenLease {
        /// The record.
        pub record: LeaseRecord,
        /// Revision that wrote it.
        pub revision: u64,
        /// When this host first saw it.
        pub seen_at: Instant,
    }
}

/// Records by kind and name.
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
    /// Revision of the store up to which changes have been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Rises with each change of an entry other than a lease, so that records are gone through only
    /// after a change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Instant as of which the catalog is known to equal the store.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.confirmed_at
    }

    /// Notes that the catalog equals the store as of an instant; an earlier one changes nothing.
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

    /// Applies entries that, together with what is held, are complete up to revision `through`.
    ///
    /// An entry older than the one held is ignored, whichever path it came by. So is an entry at or
    /// below the revision held whose key is absent: the catalog is complete up to there, so the key
    /// was deleted since. Leases are the exception, because other hosts do not relay them.
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
            let held = self.entries.revision(&entry.key);
            let is_lease = entry.key.starts_with(LEASE_PREFIX);
            match held {
                _ if entry.revision > through || !is_kept(&entry.key) => {}
                Some(held) if held == entry.revision => {}
                Some(held) if held > entry.revision => count.ignored += 1,
                None if entry.revision <= self.revision && !is_lease => count.ignored += 1,
                _ => {
                    count.applied += 1;
                    self.version += u64::from(!is_lease);
                    count.rejected += u64::from(!self.adopt(now, &entry));
                    self.entries.insert(entry);
                }
            }
        }
        self.revision = self.revision.max(through);
        count
    }

    /// Entries for another host that holds everything up to a revision, and the revision up to which
    /// they bring it. Stops after about `max_bytes`; the revision is then below that of the catalog.
    ///
    /// Nothing when deletions after that revision are no longer known.
    pub(crate) fn entries_after(
        &self,
        revision: u64,
        max_bytes: usize,
    ) -> Option<(Vec<CatalogEntry>, u64)> {
        let (entries, last) = self.entries.after(revision, max_bytes)?;
        Some((entries, last.unwrap_or(self.revision)))
    }

    /// Whether another host that holds everything up to a revision lacks an entry.
    pub(crate) fn has_news(&self, revision: u64) -> bool {
        self.entries.newest_relayed() > revision
    }

    /// Revision of the last write to a key, 0 when it is absent.
    pub(crate) fn key_revision(&self, key: &str) -> u64 {
        self.entries.present_revision(key)
    }

    /// Table keys of entries that this version does not understand, with the reason.
    pub(crate) fn unknown(&self) -> impl Iterator<Item = (&str, &str)> {
        self.unknown.iter().map(|(key, reason)| (key.as_str(), reason.as_str()))
    }

    /// The customer's record.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerRecord> {
        self.customers.get(name)
    }

    /// The key's record.
    pub fn key(&self, name: &KeyName) -> Option<&KeyRecord> {
        self.keys.get(name)
    }

    /// The route's record.
    pub fn route(&self, name: &RouteName) -> Option<&RouteRecord> {
        self.routes.get(name)
    }

    /// The service's record.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRecord> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceRecord)> {
        self.services.iter()
    }

    /// All customers.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerName, &CustomerRecord)> {
        self.customers.iter()
    }

    /// Settings of the fleet; defaults when there is no record.
    pub fn configuration(&self) -> ConfigurationRecord {
        let defaults = ConfigurationRecord { replication_wait_ms: 400, retry_percent: 10 };
        self.configuration.clone().unwrap_or(defaults)
    }

    /// Whether a failure domain gets new work.
    pub fn domain_phase(&self, name: &DomainName) -> DomainPhase {
        self.domains.get(name).map_or(DomainPhase::In, |record| record.state)
    }

    /// Whether an endpoint gets new work.
    pub fn endpoint_phase(&self, name: &EndpointName) -> EndpointPhase {
        self.endpoints.get(name).map_or(EndpointPhase::Serving, |record| record.state)
    }

    /// The share view of a failure domain.
    pub(crate) fn view(&self, domain: &DomainName) -> Option<&ShareView> {
        self.views.get(domain)
    }

    /// All share views.
    pub(crate) fn views(&self) -> impl Iterator<Item = (&DomainName, &ShareView)> {
        self.views.iter()
    }

    /// The failure domains among which rates are shared out.
    pub(crate) fn fleet_view(&self) -> Option<&FleetView> {
        self.fleet_view.as_ref()
    }

    /// The last lease seen of a host.
    pub(crate) fn lease(&self, host: &HostName) -> Option<&SeenLease> {
        self.leases.get(host)
    }

    /// All leases seen.
    pub(crate) fn leases(&self) -> impl Iterator<Item = (&HostName, &SeenLease)> {
        self.leases.iter()
    }

    /// Puts an entry into effect; the last understood value stays when it cannot be decoded.
    fn adopt(&mut self, now: Instant, entry: &CatalogEntry) -> bool {
        let adopted = match &entry.value {
            None => {
                self.remove(&entry.key);
                Ok(())
            }
            Some(text) => self.decode(now, entry, text),
        };
        match adopted {
            Ok(()) => {
                self.unknown.remove(&entry.key);
                true
            }
            Err(reason) => {
                let (key, revision) = (&entry.key, entry.revision);
                log::warn!("catalog: {key} at revision {revision} not understood: {reason}");
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
            RecordKind::Customer => drop_name(&mut self.customers, CustomerName::new(name)),
            RecordKind::Key => drop_name(&mut self.keys, KeyName::new(name)),
            RecordKind::Route => drop_name(&mut self.routes, RouteName::new(name)),
            RecordKind::Service => drop_name(&mut self.services, ServiceName::new(name)),
            RecordKind::Domain => drop_name(&mut self.domains, DomainName::new(name)),
            RecordKind::Endpoint => drop_name(&mut self.endpoints, EndpointName::new(name)),
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
                put_name(&mut self.customers, CustomerName::new(name), record)?;
            }
            Record::Key(record) => put_name(&mut self.keys, KeyName::new(name), record)?,
            Record::Route(record) => put_name(&mut self.routes, RouteName::new(name), record)?,
            Record::Service(record) => {
                put_name(&mut self.services, ServiceName::new(name), record)?;
            }
            Record::Domain(record) => put_name(&mut self.domains, DomainName::new(name), record)?,
            Record::Endpoint(record) => {
                put_name(&mut self.endpoints, EndpointName::new(name), record)?;
            }
            Record::Configuration(record) if name == CONFIGURATION_NAME => {
                self.configuration = Some(record);
            }
            Record::Configuration(_) => {}
        }
        Ok(())
    }
}

fn put_name<K: Ord, V>(
    map: &mut BTreeMap<K, V>,
    name: Result<K, NameError>,
    value: V,
) -> Result<(), NameError> {
    map.insert(name?, value);
    Ok(())
}

fn drop_name<K: Ord, V, E>(map: &mut BTreeMap<K, V>, name: Result<K, E>) {
    if let Ok(name) = name {
        map.remove(&name);
    }
}

/// Whether a key of the table service belongs to the catalog.
fn is_kept(key: &str) -> bool {
    [RECORD_PREFIX, VIEW_PREFIX, LEASE_PREFIX].iter().any(|prefix| key.starts_with(prefix))
}
