//! Everything that a host believes, and what it may do on that ground.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::catalog::{DatabaseRoute, ReadConsistency, SiteCatalog};
use super::choose::ReadChoice;
use super::clock::{BootInstant, StoreInstant};
use super::consent::{StayLedger, knows_all};
use super::endpoint::{EndpointKey, EndpointState, EndpointTable, LogPosition};
use super::floor::{FloorHistory, PrimaryObservation, SharedObservation};
use super::group::{GroupEntry, GroupTable};
use super::lease::{HostEntry, HostLease, HostRecord};
use super::quota::{LimitTolerance, QuotaTable, ShareHost};
use super::suspicion;
use crate::hash::hash_bytes;

/// Time for which a primary that is to leave still gets new work, while its successor is made. Work
/// has to stop 7 s after the registration, of which a host hears within 4 s.
const LEAVING_GRACE: Duration = Duration::from_millis(2_000);

/// Why a primary may not be used now.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum PrimaryRefusal {
    /// The host's lease has ended.
    #[error("the lease of this host has ended")]
    NoLease,
    /// The lease was renewed some time ago, and too few hosts consent that this one goes on.
    #[error("this host is cut off from most others")]
    NoConsent,
    /// The primary is being changed, or none is known.
    #[error("the primary is being changed")]
    Changing,
    /// The primary is not registered.
    #[error("the primary is not registered")]
    Unregistered,
    /// The primary is to leave and its time is over.
    #[error("the primary is leaving")]
    Leaving,
    /// The primary does not reply.
    #[error("the primary does not reply")]
    Unreachable,
}

/// A primary that may be used, and the version of the group's row that says so.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrimaryRight {
    /// Endpoint.
    pub endpoint: EndpointKey,
    /// Version of the group's row.
    pub version: u64,
}

/// The tables of a host.
pub struct HostBook {
    /// Name of this host.
    pub host: String,
    /// Failure domain of this host.
    pub domain: String,
    /// The configuration in effect, once one is known.
    pub catalog: Option<Arc<SiteCatalog>>,
    /// Failure domains that take no work, and since when this host knows.
    pub evacuated: HashMap<String, BootInstant>,
    /// Registered endpoints.
    pub endpoints: EndpointTable,
    /// Rows of the groups.
    pub groups: GroupTable,
    /// Positions of the primaries.
    pub floors: HashMap<String, FloorHistory>,
    /// Newest own observations that other hosts have not been told of.
    observed: HashMap<String, PrimaryObservation>,
    /// The own lease.
    pub lease: HostLease,
    /// Stays that this host has got, and has granted.
    pub stays: StayLedger,
    /// Shares of the customers' rates.
    pub quota: QuotaTable,
    /// Rows of the hosts as last read.
    pub hosts: Vec<HostEntry>,
    /// When they were read, by the store's clock.
    pub hosts_read_at: StoreInstant,
}

impl HostBook {
    /// The book of a host that knows nothing yet.
    ///
    /// ```
    /// use tanagerdeal_core::ledger::book::{HostBook, PrimaryRefusal};
    /// use tanagerdeal_core::ledger::clock::BootInstant;
    ///
    /// let now = BootInstant::from_micros(0);
    /// let book = HostBook::new("h1", "d1", Default::default(), now);
    /// assert_eq!(book.primary_right("g1", now), Err(PrimaryRefusal::NoLease));
    /// ```
    pub fn new(host: &str, domain: &str, tolerance: LimitTolerance, now: BootInstant) -> Self {
        Self {
            host: host.to_owned(),
            domain: domain.to_owned(),
            catalog: None,
            evacuated: HashMap::new(),
            endpoints: EndpointTable::default(),
            groups: GroupTable::default(),
            floors: HashMap::new(),
            observed: HashMap::new(),
            lease: HostLease::default(),
            stays: StayLedger::new(now),
            quota: QuotaTable::new(host, tolerance, now),
            hosts: Vec::new(),
            hosts_read_at: StoreInstant::default(),
        }
    }

    /// The primary of a group, if this host may use it now.
    ///
    /// # Errors
    ///
    /// Fails with the reason why not.
    pub fn primary_right(
        &self,
        group: &str,
        now: BootInstant,
    ) -> Result<PrimaryRight, PrimaryRefusal> {
        match self.has_lease_for(group, now) {
            true => (),
            false if self.lease.is_valid(now) => return Err(PrimaryRefusal::NoConsent),
            false => return Err(PrimaryRefusal::NoLease),
        }
        let entry = self.groups.get(group).ok_or(PrimaryRefusal::Changing)?;
        let record = self.groups.primary(group).ok_or(PrimaryRefusal::Changing)?;
        let found = self.endpoints.find(&record.primary);
        let endpoint = found.ok_or(PrimaryRefusal::Unregistered)?;
        let state = self.endpoints.get(endpoint).ok_or(PrimaryRefusal::Unregistered)?;
        let evacuated = self.evacuated.get(&state.record.domain).copied();
        let leaving = [state.draining_since, evacuated].into_iter().flatten().min();
        match leaving {
            Some(since) if now >= since.after(LEAVING_GRACE) => Err(PrimaryRefusal::Leaving),
            _ if suspicion::is_suspect(state, now) => Err(PrimaryRefusal::Unreachable),
            _ => Ok(PrimaryRight { endpoint, version: entry.version }),
        }
    }

    /// Whether an endpoint or its failure domain is to leave.
    pub fn is_leaving(&self, state: &EndpointState) -> bool {
        state.draining_since.is_some() || self.evacuated.contains_key(&state.record.domain)
    }

    /// Whether a right that was given is still good: the lease holds and the group's row is the
    /// same.
    pub fn is_right_good(&self, group: &str, right: PrimaryRight, now: BootInstant) -> bool {
        self.has_lease_for(group, now)
            && self.groups.get(group).is_some_and(|entry| entry.version == right.version)
    }

    /// Whether the own lease covers the use of a group's primary: it was renewed a moment ago, or other
    /// hosts consent.
    pub fn has_lease_for(&self, group: &str, now: BootInstant) -> bool {
        let needs_stays = || !self.lease.is_fresh(now);
        let quorum = self.lease.quorum().filter(|_| needs_stays());
        self.lease.is_valid(now)
            && quorum.is_none_or(|quorum| {
                let domain = self.primary_domain(group);
                self.stays.suffices(quorum, domain == Some(self.domain.as_str()), now)
            })
    }

    /// Failure domain of a group's primary, if it is registered.
    pub fn primary_domain(&self, group: &str) -> Option<&str> {
        let key = self.endpoints.find(&self.groups.get(group)?.record.primary)?;
        self.endpoints.get(key).map(|state| state.record.domain.as_str())
    }

    /// Versions of the groups' rows, with a hash of each group's name.
    pub fn group_versions(&self) -> Vec<(u64, u64)> {
        let hash = |entry: &GroupEntry| hash_bytes(entry.record.group.bytes());
        self.groups.entries().map(|entry| (hash(entry), entry.version)).collect()
    }

    /// The rows of groups that a host with these versions does not know.
    pub fn news_for(&self, versions: &[(u64, u64)]) -> Vec<&GroupEntry> {
        let is_news = |entry: &&GroupEntry| {
            !knows_all(versions, &[(hash_bytes(entry.record.group.bytes()), entry.version)])
        };
        self.groups.entries().filter(is_news).collect()
    }

    /// Takes over a group's row. Returns whether it is new; floors of the former primary are
    /// forgotten, as its last commits may have been rolled back.
    pub fn adopt_group(&mut self, entry: GroupEntry) -> bool {
        let group = entry.record.group.clone();
        let former = self.groups.get(&group).map(|known| known.record.primary.clone());
        let is_moved = former.is_some_and(|primary| primary != entry.record.primary);
        let is_new = self.groups.adopt(entry);
        if is_new && is_moved {
            self.floors.remove(&group);
            self.observed.remove(&group);
        }
        // What was seen of the primary before the row changed says nothing about it now.
        let primary = self.groups.primary(&group).map(|record| record.primary.clone());
        let key = primary.and_then(|primary| self.endpoints.find(&primary));
        if let Some(state) = key.and_then(|key| self.endpoints.get_mut(key)).filter(|_| is_new) {
            state.forget_failures();
        }
        is_new
    }

    /// Notes the position in a reply of a primary that was used under a right.
    pub fn observe_primary(
        &mut self,
        group: &str,
        right: PrimaryRight,
        observation: PrimaryObservation,
        now: BootInstant,
    ) {
        if self.is_right_good(group, right, now) {
            self.floors.entry(group.to_owned()).or_default().observe(observation);
            self.observed.insert(group.to_owned(), observation);
        }
    }

    /// Takes over what another host has seen of a group's primary.
    pub fn adopt_observation(&mut self, group: &str, shared: &SharedObservation) {
        let Some(clock) = self.lease.clock().filter(|_| self.groups.get(group).is_some()) else {
            return;
        };
        let observation = PrimaryObservation::adopt(shared, &clock);
        self.floors.entry(group.to_owned()).or_default().observe(observation);
    }

    /// What this host has seen of primaries since the last call, for other hosts.
    pub fn take_observed(&mut self) -> Vec<(String, SharedObservation)> {
        let Some(clock) = self.lease.clock() else { return Vec::new() };
        let observed = std::mem::take(&mut self.observed).into_iter();
        observed.map(|(group, observation)| (group, observation.share(&clock))).collect()
    }

    /// What another host needs for a read of a group that began now and accepts data of an age.
    pub fn observations(
        &self,
        group: &str,
        staleness: Duration,
        now: BootInstant,
    ) -> Vec<SharedObservation> {
        let Some(clock) = self.lease.clock() else { return Vec::new() };
        let history = self.floors.get(group).into_iter();
        history
            .flat_map(|history| history.sample(now, staleness))
            .map(|observation| observation.share(&clock))
            .collect()
    }

    /// The position that a read which began at `began_at` has to see on a replica; nothing when
    /// only the primary will do.
    pub fn read_floor(
        &self,
        route: &DatabaseRoute,
        written: Option<LogPosition>,
        began_at: BootInstant,
    ) -> Option<LogPosition> {
        let history = self.floors.get(&route.group)?;
        match route.consistency {
            ReadConsistency::Current => None,
            ReadConsistency::Bounded(age) => history.floor(began_at, age),
            ReadConsistency::Session(age) => {
                let floor = history.floor(began_at, age)?;
                Some(floor.max(self.own_floor(&route.group, written)?))
            }
        }
    }

    /// Position that holds a session's own commits. After a change of primary that is the newest
    /// one seen of the new primary, which includes whatever the change has kept.
    fn own_floor(&self, group: &str, written: Option<LogPosition>) -> Option<LogPosition> {
        let newest = self.floors.get(group)?.newest()?.position;
        match written {
            None => Some(LogPosition::default()),
            Some(written) if written.term < newest.term => Some(newest),
            Some(written) => Some(written),
        }
    }

    /// The endpoint for a read that has to see `floor`; without one only the primary will do.
    pub fn read_target(
        &self,
        group: &str,
        floor: Option<LogPosition>,
        tried: &[EndpointKey],
        now: BootInstant,
    ) -> Option<EndpointKey> {
        let right = self.primary_right(group, now).ok();
        let primary = right.and_then(|right| self.endpoints.get(right.endpoint));
        let choice = ReadChoice {
            group,
            primary: primary.map(|state| state.record.id.as_str()),
            floor,
            domain: &self.domain,
            evacuated: &self.evacuated,
            tried,
            now,
        };
        choice.best(&self.endpoints)
    }

    /// Whether a statement can be served at all now: whether a group has a usable primary, or for
    /// a read, whether its floor is known.
    pub fn is_served(
        &self,
        route: &DatabaseRoute,
        is_read: bool,
        written: Option<LogPosition>,
        now: BootInstant,
    ) -> Result<(), PrimaryRefusal> {
        match self.primary_right(&route.group, now) {
            Err(refusal) if !is_read => Err(refusal),
            Err(refusal) if self.read_floor(route, written, now).is_none() => Err(refusal),
            _ => Ok(()),
        }
    }

    /// Whether an endpoint does not reply to this host.
    pub fn is_suspect(&self, id: &str, now: BootInstant) -> bool {
        let state = self.endpoints.find(id).and_then(|key| self.endpoints.get(key));
        state.is_some_and(|state| suspicion::is_suspect(state, now))
    }

    /// Identities of primaries that do not reply to this host, without those that are being
    /// replaced.
    pub fn suspects(&self, now: BootInstant) -> Vec<String> {
        let primaries = self.groups.entries().filter(|entry| entry.record.change.is_none());
        let suspected = primaries.filter(|entry| self.is_suspect(&entry.record.primary, now));
        let mut ids: Vec<String> = suspected.map(|entry| entry.record.primary.clone()).collect();
        ids.sort();
        ids
    }

    /// Number of primaries in a failure domain, without that of one group.
    pub fn primaries_in(&self, domain: &str, except: &str) -> usize {
        let others = self.groups.entries().filter(|entry| entry.record.group != except);
        let states = others.filter_map(|entry| {
            let key = self.endpoints.find(&entry.record.primary)?;
            self.endpoints.get(key)
        });
        states.filter(|state| state.record.domain == domain).count()
    }

    /// Hosts among which shares are divided.
    pub fn share_hosts(&self) -> Vec<ShareHost<'_>> {
        share_hosts(&self.hosts, self.hosts_read_at)
    }

    /// Number of live hosts, this one included.
    pub fn live_hosts(&self) -> usize {
        self.share_hosts().len().max(1)
    }
}

/// Hosts among which shares are divided, of a list that was read at `read_at`: those that held a
/// lease then, and were not leaving. The list is some seconds old, so a lease that has ended since
/// in this copy has most likely been renewed.
///
/// ```
/// use tanagerdeal_core::ledger::book::share_hosts;
/// use tanagerdeal_core::ledger::clock::StoreInstant;
///
/// assert!(share_hosts(&[], StoreInstant::from_millis(0)).is_empty());
/// ```
pub fn share_hosts(hosts: &[HostEntry], read_at: StoreInstant) -> Vec<ShareHost<'_>> {
    live_hosts(hosts, read_at)
        .map(|record| ShareHost { name: &record.host, domain: &record.domain })
        .collect()
}

/// Hosts of a list that held a lease when it was read, and were not leaving.
pub(super) fn live_hosts(
    hosts: &[HostEntry],
    read_at: StoreInstant,
) -> impl Iterator<Item = &HostRecord> {
    let is_live = move |record: &&HostRecord| record.until > read_at && !record.is_leaving;
    hosts.iter().map(|entry| &entry.record).filter(is_live)
}
