//! Endpoints, their roles and positions, and the choice among them.

mod adopt;
mod choose;
mod group;
mod history;
mod member;
mod observe;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use slotmap::SlotMap;
use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::{DomainName, EndpointName, GroupName, ServiceName, value_type};

use crate::message::{EndpointKey, GroupKey};
use crate::profile::{HostProfile, HostTiming, ReadPolicy, ReturnPolicy};

pub(crate) use group::GroupState;
pub(crate) use history::{Coverage, advance_term, compare};
pub(crate) use member::MemberState;

value_type! {
    /// What a request needs from an endpoint.
    pub struct RouteQuery {
        /// The group.
        pub group: GroupKey,
        /// Whether only the primary will do.
        pub is_write: bool,
        /// Position that a read must contain.
        pub watermark: LogPosition,
        /// Greatest age of a read; zero means current: the read contains all commits that were
        /// acknowledged by this host, and at least the watermark.
        pub max_age: Duration,
        /// Endpoints that failed earlier attempts.
        pub excluded: Vec<EndpointKey>,
        /// When the client's wait ends.
        pub deadline: Instant,
    }

    /// Where a request can run.
    pub enum RouteChoice {
        /// Here.
        Endpoint {
            /// The endpoint.
            endpoint: EndpointKey,
            /// Position from which on a response needs no further check.
            required: LogPosition,
        },
        /// Nowhere yet; ask again at that time, or after the next answer of a member.
        WaitUntil(Instant),
        /// The watermark was lost in a failover; the session continues from here.
        WriteLost(LogPosition),
        /// Nowhere before that time, as far as is known.
        Unavailable(Instant),
    }

    /// What a read's reported position means for its session.
    pub enum PositionCheck {
        /// The watermark is contained.
        Contained,
        /// The endpoint has not caught up.
        Behind,
        /// The watermark was lost in a failover; the session continues from here.
        WriteLost(LogPosition),
    }

    /// Address and name of an endpoint.
    pub struct EndpointAddress {
        /// Its name.
        pub name: EndpointName,
        /// Address of its PostgreSQL listener.
        pub sql_address: String,
    }
}

/// Endpoints and groups by key.
#[derive(Default)]
pub struct EndpointTable {
    pub(crate) members: SlotMap<EndpointKey, MemberState>,
    pub(crate) groups: SlotMap<GroupKey, GroupState>,
    services: BTreeMap<ServiceName, Vec<GroupKey>>,
    group_names: BTreeMap<GroupName, GroupKey>,
    member_names: BTreeMap<EndpointName, EndpointKey>,
    domains: BTreeMap<DomainName, DomainState>,
    settings: RouteSettings,
    /// Requests placed since the start; varies the choice while a failure domain returns.
    placed: u64,
}

/// A failure domain that was taken out at least once.
#[derive(Default)]
struct DomainState {
    is_out: bool,
    returned_at: Option<Instant>,
}

/// Settings of the host that the choice depends on.
pub(crate) struct RouteSettings {
    home: Option<DomainName>,
    reads: ReadPolicy,
    domain_return: ReturnPolicy,
    return_ramp: Duration,
    suspect_after: Duration,
}

impl RouteSettings {
    pub(crate) fn new(profile: &HostProfile) -> Self {
        Self {
            home: Some(profile.identity.domain.clone()),
            reads: profile.policies.reads,
            domain_return: profile.policies.domain_return,
            return_ramp: profile.timing.return_ramp,
            suspect_after: profile.timing.suspect_after,
        }
    }
}

impl Default for RouteSettings {
    /// Default policies for a host whose failure domain is not known.
    fn default() -> Self {
        let timing = HostTiming::default();
        Self {
            home: None,
            reads: ReadPolicy::default(),
            domain_return: ReturnPolicy::default(),
            return_ramp: timing.return_ramp,
            suspect_after: timing.suspect_after,
        }
    }
}

impl EndpointTable {
    /// Groups of a service in placement order; empty when the service is unknown.
    ///
    /// ```
    /// use tanagerdeal_core::routing::EndpointTable;
    /// use tanagerdeal_wire::ServiceName;
    ///
    /// let service = ServiceName::new("orders-db").unwrap();
    /// assert!(EndpointTable::default().groups(&service).is_empty());
    /// ```
    pub fn groups(&self, service: &ServiceName) -> &[GroupKey] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Name of a group.
    ///
    /// ```
    /// use tanagerdeal_core::message::GroupKey;
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// assert!(EndpointTable::default().group_name(GroupKey::default()).is_none());
    /// ```
    pub fn group_name(&self, group: GroupKey) -> Option<&GroupName> {
        self.groups.get(group).map(|group| &group.name)
    }

    /// A group by name.
    ///
    /// ```
    /// use tanagerdeal_core::routing::EndpointTable;
    /// use tanagerdeal_wire::GroupName;
    ///
    /// let name = GroupName::new("orders-1").unwrap();
    /// assert!(EndpointTable::default().group(&name).is_none());
    /// ```
    pub fn group(&self, name: &GroupName) -> Option<GroupKey> {
        self.group_names.get(name).copied()
    }

    /// Address of an endpoint.
    ///
    /// ```
    /// use tanagerdeal_core::message::EndpointKey;
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// assert!(EndpointTable::default().address(EndpointKey::default()).is_none());
    /// ```
    pub fn address(&self, endpoint: EndpointKey) -> Option<&EndpointAddress> {
        self.members.get(endpoint).map(|member| &member.address)
    }

    /// Group of an endpoint.
    ///
    /// ```
    /// use tanagerdeal_core::message::EndpointKey;
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// assert!(EndpointTable::default().group_of(EndpointKey::default()).is_none());
    /// ```
    pub fn group_of(&self, endpoint: EndpointKey) -> Option<GroupKey> {
        self.members.get(endpoint).map(|member| member.group)
    }

    /// Endpoints, with the statements each runs at once and the connections all hosts may open.
    ///
    /// ```
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// assert_eq!(EndpointTable::default().capacities().count(), 0);
    /// ```
    pub fn capacities(&self) -> impl Iterator<Item = (EndpointKey, u32, u32)> {
        self.members.iter().map(|(key, member)| (key, member.slots, member.connections))
    }

    /// Whether no response is to be expected from an endpoint: its probes have gone unanswered for the
    /// suspicion time, and it is not the primary, for which nobody else could answer.
    pub(crate) fn is_lost(&self, now: Instant, endpoint: EndpointKey) -> bool {
        let Some(member) = self.members.get(endpoint) else { return false };
        let group = self.groups.get(member.group);
        let is_primary = group.is_some_and(|group| group.primary == Some(endpoint));
        !is_primary && member.is_silent(now, self.settings.suspect_after)
    }

    /// Judges the position that an endpoint reported with a response.
    ///
    /// ```
    /// use tanagerdeal_core::message::GroupKey;
    /// use tanagerdeal_core::routing::{EndpointTable, PositionCheck};
    /// use tanagerdeal_wire::member::LogPosition;
    ///
    /// let position = LogPosition { term: 1, offset: 1 };
    /// let check = EndpointTable::default().check(GroupKey::default(), position, position);
    /// assert_eq!(check, PositionCheck::Behind);
    /// ```
    pub fn check(
        &self,
        group: GroupKey,
        watermark: LogPosition,
        seen: LogPosition,
    ) -> PositionCheck {
        let Some(group) = self.groups.get(group) else { return PositionCheck::Behind };
        match compare(&group.history, watermark, seen) {
            Coverage::Contained => PositionCheck::Contained,
            Coverage::Behind => PositionCheck::Behind,
            Coverage::Lost(position) => PositionCheck::WriteLost(position),
        }
    }

    /// Notes that a request was placed on an endpoint.
    ///
    /// ```
    /// use tanagerdeal_core::message::EndpointKey;
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// // An endpoint that has been removed meanwhile is ignored.
    /// EndpointTable::default().begin(EndpointKey::default());
    /// ```
    pub fn begin(&mut self, endpoint: EndpointKey) {
        self.placed += 1;
        if let Some(member) = self.members.get_mut(endpoint) {
            member.in_flight += 1;
        }
    }

    /// Notes that a request on an endpoint ended; `is_lost` when the connection failed.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use tanagerdeal_core::message::EndpointKey;
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// // An endpoint that has been removed meanwhile is ignored.
    /// let mut endpoints = EndpointTable::default();
    /// endpoints.end(Instant::now(), EndpointKey::default(), false, Duration::ZERO);
    /// ```
    pub fn end(&mut self, now: Instant, endpoint: EndpointKey, is_lost: bool, took: Duration) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        match is_lost {
            true => member.lost_at = Some(now),
            false => member.add_latency(took),
        }
    }
}
