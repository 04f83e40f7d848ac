//! State of a host, and what the host may do on the basis of it.

mod observed;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::catalog::{DatabaseRoute, ReadConsistency, SiteCatalog};
use super::choose::{REMOTE_PRICE, ReadChoice};
use super::clock::{BootInstant, StoreInstant};
use super::endpoint::{EndpointKey, EndpointState, EndpointTable, LogPosition};
use super::extension::{ExtensionTable, is_up_to_date};
use super::group::{GroupEntry, GroupRecord, GroupTable};
use super::lease::{HostEntry, HostLease, HostRecord};
use super::position::{PositionHistory, PrimaryObservation};
use super::quota::{LimitTolerance, QuotaTable, ShareHost};
use super::suspicion;
use super::sync::SyncTable;
use crate::hash::hash_bytes;

/// Time for which a draining primary still gets new work while its successor is promoted. Work has
/// to stop 7 s after the registration changed, and a host learns of that within 4 s.
const DRAIN_GRACE: Duration = Duration::from_millis(2_000);

/// Why a primary may not be used now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PrimaryRefusal {
    /// The host's lease has ended.
    #[error("the lease of this host has ended")]
    NoLease,
    /// The lease is no longer fresh, and too few hosts have granted an extension.
    #[error("this host is cut off from most others")]
    NoQuorum,
    /// The primary is being replaced, or none is known.
    #[error("the primary is being changed")]
    Changing,
    /// The store was restored from a copy, and the primary may have been replaced since that was
    /// made.
    #[error("the primary is not verified since the store was restored")]
    Unverified,
    /// The primary is not registered.
    #[error("the primary is not registered")]
    Unregistered,
    /// The primary is draining and its grace period is over.
    #[error("the primary is leaving")]
    Leaving,
    /// The primary does not reply.
    #[error("the primary does not reply")]
    Unreachable,
}

/// Permission to use a primary, tied to the version of the group's row that names it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrimaryPermit {
    /// Endpoint that is the primary.
    pub endpoint: EndpointKey,
    /// Version of the group's row.
    pub version: u64,
}

/// State that a host keeps about the fleet.
pub struct HostState {
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// Price of a read in another failure domain, as latency.
    pub remote_price: Duration,
    /// The configuration in effect, once one is known.
    pub catalog: Option<Arc<SiteCatalog>>,
    /// Numbers of synchronous replicas that were lowered.
    pub(super) lowered_sync: SyncTable,
    /// Until when that configuration counts as fresh.
    pub(super) catalog_deadline: BootInstant,
    /// Evacuated failure domains, and when this host learned of it.
    pub evacuated: HashMap<String, BootInstant>,
    /// When this host learned of the last restoration of the store.
    pub(super) restored_at: Option<BootInstant>,
    /// Registered endpoints.
    pub endpoints: EndpointTable,
    /// Rows of the groups.
    pub groups: GroupTable,
    /// Observed log positions of the primaries, by group.
    pub positions: HashMap<String, PositionHistory>,
    /// The newest observation of each group that has not been sent to other hosts.
    unsent_observations: HashMap<String, PrimaryObservation>,
    /// Lease of this host.
    pub lease: HostLease,
    /// Lease extensions received and granted.
    pub extensions: ExtensionTable,
    /// Shares of the customers' rates.
    pub quota: QuotaTable,
    /// Rows of the hosts as last read.
    pub hosts: Vec<HostEntry>,
    /// When these rows were read, by the store's clock.
    pub hosts_read_at: StoreInstant,
}

impl HostState {
    /// State of a host that has read nothing yet.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::state::{HostState, PrimaryRefusal};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let state = HostState::new("h1", "d1", Default::default(), now);
    /// assert_eq!(state.primary_permit("g1", now), Err(PrimaryRefusal::NoLease));
    /// ```
    pub fn new(host: &str, domain: &str, tolerance: LimitTolerance, now: BootInstant) -> Self {
        Self {
            host: host.to_owned(),
            domain: domain.to_owned(),
            remote_price: REMOTE_PRICE,
            catalog: None,
            lowered_sync: SyncTable::default(),
            catalog_deadline: BootInstant::from_micros(0),
            evacuated: HashMap::new(),
            restored_at: None,
            endpoints: EndpointTable::default(),
            groups: GroupTable::default(),
            positions: HashMap::new(),
            unsent_observations: HashMap::new(),
            lease: HostLease::default(),
            extensions: ExtensionTable::new(now),
            quota: QuotaTable::new(host, tolerance, now),
            hosts: Vec::new(),
            hosts_read_at: StoreInstant::default(),
        }
    }

    /// A permit to use the primary of a group.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the primary may not be used now.
    pub fn primary_permit(
        &self,
        group: &str,
        now: BootInstant,
    ) -> Result<PrimaryPermit, PrimaryRefusal> {
        match self.has_lease_for(group, now) {
            true => (),
            false if self.lease.is_valid(now) => return Err(PrimaryRefusal::NoQuorum),
            false => return Err(PrimaryRefusal::NoLease),
        }
        let entry = self.groups.get(group).ok_or(PrimaryRefusal::Changing)?;
        let record = self.groups.primary(group).ok_or(PrimaryRefusal::Changing)?;
        if !self.groups.is_verified(group) {
            return Err(PrimaryRefusal::Unverified);
        }
        let found = self.endpoints.find(&record.primary);
        let endpoint = found.ok_or(PrimaryRefusal::Unregistered)?;
        let state = self.endpoints.get(endpoint).ok_or(PrimaryRefusal::Unregistered)?;
        let evacuated = self.evacuated.get(&state.record.domain).copied();
        let leaving = [state.draining_since, evacuated].into_iter().flatten().min();
        match leaving {
            Some(since) if now >= since.after(DRAIN_GRACE) => Err(PrimaryRefusal::Leaving),
            _ if suspicion::is_suspect(state, now) => Err(PrimaryRefusal::Unreachable),
            _ => Ok(PrimaryPermit { endpoint, version: entry.version }),
        }
    }

    /// A permit to use the primary of a group for a statement that may take until `until`. The lease
    /// lasts until then, unless it is lost: a reply that arrives after its end is in doubt.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the primary may not be used for that time.
    pub fn lasting_permit(
        &self,
        group: &str,
        until: BootInstant,
        now: BootInstant,
    ) -> Result<PrimaryPermit, PrimaryRefusal> {
        match self.has_lease_for(group, until) {
            true => self.primary_permit(group, now),
            false => Err(PrimaryRefusal::NoLease),
        }
    }

    /// Whether an endpoint is draining or its failure domain is evacuated.
    pub fn is_leaving(&self, state: &EndpointState) -> bool {
        state.draining_since.is_some() || self.evacuated.contains_key(&state.record.domain)
    }

    /// Whether a permit is still valid: the lease is valid and the group's row is unchanged.
    pub fn is_permit_valid(&self, group: &str, permit: PrimaryPermit, now: BootInstant) -> bool {
        self.has_lease_for(group, now)
            && self.groups.is_verified(group)
            && self.groups.get(group).is_some_and(|entry| entry.version == permit.version)
    }

    /// Whether the lease allows using a group's primary: it is fresh, or enough hosts have extended
    /// it.
    pub fn has_lease_for(&self, group: &str, now: BootInstant) -> bool {
        let needs_extensions = || !self.lease.is_fresh(now);
        let quorum = self.lease.quorum().filter(|_| needs_extensions());
        self.lease.is_valid(now)
            && quorum.is_none_or(|quorum| {
                let domain = self.primary_domain(group);
                self.extensions.has_quorum(quorum, domain == Some(self.domain.as_str()), now)
            })
    }

    /// Failure domain of a group's primary, if it is registered.
    pub fn primary_domain(&self, group: &str) -> Option<&str> {
        let key = self.endpoints.find(&self.groups.get(group)?.record.primary)?;
        self.endpoints.get(key).map(|state| state.record.domain.as_str())
    }

    /// Versions of the groups' rows, each with a hash of the group's name.
    pub fn group_versions(&self) -> Vec<(u64, u64)> {
        let hash = |entry: &GroupEntry| hash_bytes(entry.record.group.bytes());
        self.groups.entries().map(|entry| (hash(entry), entry.version)).collect()
    }

    /// Group rows that are newer than those of a host with the given versions.
    pub fn newer_groups(&self, versions: &[(u64, u64)]) -> Vec<&GroupEntry> {
        let is_newer = |entry: &&GroupEntry| {
            !is_up_to_date(versions, &[(hash_bytes(entry.record.group.bytes()), entry.version)])
        };
        self.groups.entries().filter(is_newer).collect()
    }

    /// Applies a group's row if it is newer, and returns whether it was. If it names another
    /// primary, the known positions are dropped, as the last commits of the former one may have
    /// been rolled back.
    pub fn apply_group(&mut self, entry: GroupEntry, now: BootInstant) -> bool {
        let group = entry.record.group.clone();
        let is_current = self.has_lease_for(&group, now);
        let former = self.groups.get(&group).map(|known| known.record.primary.clone());
        let is_replaced = former.is_some_and(|primary| primary != entry.record.primary);
        let is_new = self.groups.adopt(entry, is_current);
        if is_new && is_replaced {
            self.positions.remove(&group);
            self.unsent_observations.remove(&group);
        }
        // Failures from before this row say nothing about the primary now.
        let primary = self.groups.primary(&group).map(|record| record.primary.clone());
        let key = primary.and_then(|primary| self.endpoints.find(&primary));
        if let Some(state) = key.and_then(|key| self.endpoints.get_mut(key)).filter(|_| is_new) {
            state.forget_failures();
        }
        is_new
    }

    /// Records that the restored store has no row of a group, as of a version.
    pub fn note_lost_group(&mut self, group: &str, version: u64, now: BootInstant) {
        let is_current = self.has_lease_for(group, now);
        self.groups.note_lost(group, version, is_current);
    }

    /// Records that the primary of a group is to be replaced. If it is not registered, it may still
    /// come back.
    pub fn note_lost_primary(&mut self, record: &GroupRecord, now: BootInstant) {
        if self.endpoints.find(&record.primary).is_none() {
            self.endpoints.absences.note_unregistered(&record.primary, &record.group, now);
        }
    }

    /// The minimum position for a read that began at `began_at`: the log position that a replica
    /// must have applied. `None` if only the primary can serve the read.
    pub fn min_read_position(
        &self,
        route: &DatabaseRoute,
        written: Option<LogPosition>,
        began_at: BootInstant,
    ) -> Option<LogPosition> {
        let history = self.positions.get(&route.group)?;
        match route.consistency {
            ReadConsistency::Current => None,
            ReadConsistency::Bounded(age) => history.min_position(began_at, age),
            ReadConsistency::Session(age) => {
                let min_position = history.min_position(began_at, age)?;
                Some(min_position.max(self.commit_position(&route.group, written)?))
            }
        }
    }

    /// Position that includes the session's own commits. After a failover this is the newest
    /// position seen of the new primary, which includes every commit that survived.
    fn commit_position(&self, group: &str, written: Option<LogPosition>) -> Option<LogPosition> {
        let newest = self.positions.get(group)?.newest()?.position;
        match written {
            None => Some(LogPosition::default()),
            Some(written) if written.term < newest.term => Some(newest),
            Some(written) => Some(written),
        }
    }

    /// The endpoint for a read with this minimum position. Without one, only the primary can serve
    /// it.
    pub fn read_target(
        &self,
        group: &str,
        min_position: Option<LogPosition>,
        tried: &[EndpointKey],
        now: BootInstant,
    ) -> Option<EndpointKey> {
        let permit = self.primary_permit(group, now).ok();
        let primary = permit.and_then(|permit| self.endpoints.get(permit.endpoint));
        let choice = ReadChoice {
            group,
            primary: primary.map(|state| state.record.id.as_str()),
            min_position,
            domain: &self.domain,
            remote_price: self.remote_price,
            evacuated: &self.evacuated,
            tried,
            now,
            draw: self.draw(now),
        };
        choice.best(&self.endpoints)
    }

    /// A number from 0 to 1 that differs between hosts and instants.
    fn draw(&self, now: BootInstant) -> f64 {
        let bytes = self.host.bytes().chain([0]).chain(now.as_micros().to_le_bytes());
        // The upper 53 bits are what a `f64` holds exactly.
        (hash_bytes(bytes) >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Whether a statement can be served now: the group has a usable primary, or, for a read, a
    /// known minimum position.
    pub fn check_available(
        &self,
        route: &DatabaseRoute,
        is_read: bool,
        written: Option<LogPosition>,
        now: BootInstant,
    ) -> Result<(), PrimaryRefusal> {
        match self.primary_permit(&route.group, now) {
            Err(refusal) if !is_read => Err(refusal),
            Err(refusal) if self.min_read_position(route, written, now).is_none() => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Whether this host suspects an endpoint because it does not reply.
    pub fn is_suspect(&self, id: &str, now: BootInstant) -> bool {
        let state = self.endpoints.find(id).and_then(|key| self.endpoints.get(key));
        state.is_some_and(|state| suspicion::is_suspect(state, now))
    }

    /// Identities of the suspected primaries, without those that are already being replaced.
    pub fn suspects(&self, now: BootInstant) -> Vec<String> {
        let primaries = self.groups.entries().filter(|entry| entry.record.change.is_none());
        let suspected = primaries.filter(|entry| self.is_suspect(&entry.record.primary, now));
        let mut ids: Vec<String> = suspected.map(|entry| entry.record.primary.clone()).collect();
        ids.sort();
        ids
    }

    /// Number of primaries in a failure domain, not counting that of group `except`.
    pub fn primaries_in(&self, domain: &str, except: &str) -> usize {
        let others = self.groups.entries().filter(|entry| entry.record.group != except);
        let states = others.filter_map(|entry| {
            let key = self.endpoints.find(&entry.record.primary)?;
            self.endpoints.get(key)
        });
        states.filter(|state| state.record.domain == domain).count()
    }

    /// Hosts among which rates are shared.
    pub fn share_hosts(&self) -> Vec<ShareHost<'_>> {
        share_hosts(&self.hosts, self.hosts_read_at)
    }

    /// Number of live hosts; at least one, as this host counts itself.
    pub fn live_hosts(&self) -> usize {
        live_hosts(&self.hosts, self.hosts_read_at).count().max(1)
    }
}

/// Hosts among which rates are shared, from a list read at `read_at`: those that held a lease then
/// and were not shutting down. The list is some seconds old, so a lease that has ended since
/// according to this copy has most likely been renewed.
///
/// ```
/// use tanagerdeal_core::ledger::state::share_hosts;
/// use tanagerdeal_core::ledger::clock::StoreInstant;
///
/// assert!(share_hosts(&[], StoreInstant::from_millis(0)).is_empty());
/// ```
pub fn share_hosts(hosts: &[HostEntry], read_at: StoreInstant) -> Vec<ShareHost<'_>> {
    live_hosts(hosts, read_at)
        .map(|record| ShareHost { name: &record.host, domain: &record.domain })
        .collect()
}

/// Hosts of a list that held a lease when it was read and were not shutting down.
pub(super) fn live_hosts(
    hosts: &[HostEntry],
    read_at: StoreInstant,
) -> impl Iterator<Item = &HostRecord> {
    let is_live = move |record: &&HostRecord| record.until > read_at && !record.is_leaving;
    hosts.iter().map(|entry| &entry.record).filter(is_live)
}
