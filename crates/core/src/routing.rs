//! Endpoints, their roles and positions, and the choice among them.

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::LogPosition;
use tanagerdeal_wire::{EndpointName, GroupName, ServiceName, value_type};

use crate::message::{EndpointKey, GroupKey};

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
pub struct EndpointTable {}

impl EndpointTable {
    /// Groups of a service in placement order; empty when the service is unknown.
    pub fn groups(&self, _service: &ServiceName) -> &[GroupKey] {
        &[]
    }

    /// Name of a group.
    pub fn group_name(&self, _group: GroupKey) -> Option<&GroupName> {
        None
    }

    /// A group by name.
    pub fn group(&self, _name: &GroupName) -> Option<GroupKey> {
        None
    }

    /// Address of an endpoint.
    pub fn address(&self, _endpoint: EndpointKey) -> Option<&EndpointAddress> {
        None
    }

    /// Group of an endpoint.
    pub fn group_of(&self, _endpoint: EndpointKey) -> Option<GroupKey> {
        None
    }

    /// Endpoints, with the statements each runs at once and the connections all hosts may open.
    pub fn capacities(&self) -> impl Iterator<Item = (EndpointKey, u32, u32)> {
        std::iter::empty()
    }

    /// Chooses an endpoint for a request.
    pub fn choose(&self, now: Instant, query: &RouteQuery) -> RouteChoice {
        RouteChoice::Unavailable(now.max(query.deadline))
    }

    /// Judges the position that an endpoint reported with a response.
    pub fn check(
        &self,
        _group: GroupKey,
        _watermark: LogPosition,
        _seen: LogPosition,
    ) -> PositionCheck {
        PositionCheck::Behind
    }

    /// Notes that a request was placed on an endpoint.
    pub fn begin(&mut self, _endpoint: EndpointKey) {}

    /// Notes that a request on an endpoint ended; `is_lost` when the connection failed.
    pub fn end(&mut self, _now: Instant, _endpoint: EndpointKey, _is_lost: bool, _took: Duration) {}
}
