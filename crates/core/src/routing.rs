//! Tracks the roles and log positions of endpoints and routes requests to them.

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
    /// Requirements of a request on the endpoint that serves it.
    pub struct RouteQuery {
        /// Group of endpoints that may serve the request.
        pub group: GroupKey,
        /// Whether the request writes, and therefore needs the primary.
        pub is_write: bool,
        /// Position that the data of a read must include.
        pub watermark: LogPosition,
        /// Maximum staleness of a read. Zero requires a current read, which includes the watermark
        /// and all commits that this host has acknowledged.
        pub max_age: Duration,
        /// Endpoints on which earlier attempts failed; they are not chosen again.
        pub excluded: Vec<EndpointKey>,
        /// Time after which the client no longer waits.
        pub deadline: Instant,
    }

    /// Routing decision for a request.
    pub enum RouteChoice {
        /// The request can run on this endpoint now.
        Endpoint {
            /// Endpoint chosen for the request.
            endpoint: EndpointKey,
            /// A response at this position or a later one needs no further check.
            required: LogPosition,
        },
        /// No endpoint yet; retry at this time, or after the next probe response of a member.
        WaitUntil(Instant),
        /// The watermark was lost in a failover; the session continues from this position.
        WriteLost(LogPosition),
        /// No endpoint is expected before this time.
        Unavailable(Instant),
    }

    /// Result of comparing the position reported with a response to the session's watermark.
    pub enum PositionCheck {
        /// The data includes the watermark.
        Contained,
        /// The endpoint has not applied the watermark, or is not known to have.
        Behind,
        /// The watermark was lost in a failover; the session continues from this position.
        WriteLost(LogPosition),
    }

    /// Address and name of an endpoint.
    pub struct EndpointAddress {
        /// Name in the catalog.
        pub name: EndpointName,
        /// Address of the PostgreSQL listener.
        pub sql_address: String,
    }
}

/// Known services, groups and endpoints, and the state that routing depends on.
#[derive(Default)]
pub struct EndpointTable {
    pub(crate) members: SlotMap<EndpointKey, MemberState>,
    pub(crate) groups: SlotMap<GroupKey, GroupState>,
    services: BTreeMap<ServiceName, Vec<GroupKey>>,
    group_names: BTreeMap<GroupName, GroupKey>,
    member_names: BTreeMap<EndpointName, EndpointKey>,
    domains: BTreeMap<DomainName, DomainState>,
    settings: RouteSettings,
    /// Requests placed since the process started. It seeds the choice of the requests that go to a
    /// failure domain during its return ramp.
    placed_requests: u64,
}

/// State of a failure domain that has been out of service at least once.
#[derive(Default)]
struct DomainState {
    is_out: bool,
    returned_at: Option<Instant>,
}

/// Settings of the host that routing depends on.
pub(crate) struct RouteSettings {
    own_domain: Option<DomainName>,
    reads: ReadPolicy,
    domain_return: ReturnPolicy,
    return_ramp: Duration,
    suspect_after: Duration,
}

impl RouteSettings {
    pub(crate) fn new(profile: &HostProfile) -> Self {
        Self {
            own_domain: Some(profile.identity.domain.clone()),
            reads: profile.policies.reads,
            domain_return: profile.policies.domain_return,
            return_ramp: profile.timing.return_ramp,
            suspect_after: profile.timing.suspect_after,
        }
    }
}

impl Default for RouteSettings {
    /// Default policies for a host whose failure domain is unknown.
    fn default() -> Self {
        let timing = HostTiming::default();
        Self {
            own_domain: None,
            reads: ReadPolicy::default(),
            domain_return: ReturnPolicy::default(),
            return_ramp: timing.return_ramp,
            suspect_after: timing.suspect_after,
        }
    }
}

impl EndpointTable {
    /// Groups of a service in the order of its catalog record; empty if the service is unknown.
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

    /// Name of a group; `None` if the key is unknown.
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

    /// Looks up a group by name.
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

    /// Name and address of an endpoint; `None` if the key is unknown.
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

    /// Group of an endpoint; `None` if the key is unknown.
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

    /// Each endpoint with the number of statements that it runs concurrently and the number of
    /// connections that all hosts together may open to it.
    ///
    /// ```
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// assert_eq!(EndpointTable::default().capacities().count(), 0);
    /// ```
    pub fn capacities(&self) -> impl Iterator<Item = (EndpointKey, u32, u32)> {
        self.members.iter().map(|(key, member)| (key, member.slots, member.connections))
    }

    /// Whether no response can be expected from an endpoint, because its probes have been
    /// unanswered for `suspect_after`. False for a primary, because no other member could answer in
    /// its place.
    pub(crate) fn is_lost(&self, now: Instant, endpoint: EndpointKey) -> bool {
        let Some(member) = self.members.get(endpoint) else { return false };
        let group = self.groups.get(member.group);
        let is_primary = group.is_some_and(|group| group.primary == Some(endpoint));
        !is_primary && member.is_silent(now, self.settings.suspect_after)
    }

    /// Compares the position that an endpoint reported with a response to a session's watermark.
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
        reached: LogPosition,
    ) -> PositionCheck {
        let Some(group) = self.groups.get(group) else { return PositionCheck::Behind };
        match compare(&group.history, watermark, reached) {
            Coverage::Contained => PositionCheck::Contained,
            Coverage::Behind => PositionCheck::Behind,
            Coverage::Lost(position) => PositionCheck::WriteLost(position),
        }
    }

    /// Records that a request was placed on an endpoint.
    ///
    /// ```
    /// use tanagerdeal_core::message::EndpointKey;
    /// use tanagerdeal_core::routing::EndpointTable;
    ///
    /// // An endpoint that has been removed meanwhile is ignored.
    /// EndpointTable::default().begin(EndpointKey::default());
    /// ```
    pub fn begin(&mut self, endpoint: EndpointKey) {
        self.placed_requests += 1;
        if let Some(member) = self.members.get_mut(endpoint) {
            member.in_flight += 1;
        }
    }

    /// Records that a request on an endpoint ended, after `latency` or because its connection
    /// failed.
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
    pub fn end(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        is_connection_lost: bool,
        latency: Duration,
    ) {
        let Some(member) = self.members.get_mut(endpoint) else { return };
        member.in_flight = member.in_flight.saturating_sub(1);
        match is_connection_lost {
            true => member.lost_at = Some(now),
            false => member.add_latency(latency),
        }
    }
}
