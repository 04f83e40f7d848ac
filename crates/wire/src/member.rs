//! Bodies of the member API, over which hosts probe, fence and promote endpoints.

use std::fmt;
use std::str::FromStr;

use crate::{EndpointName, GroupName};

/// Name of the parameter status in which a member reports a [`LogPosition`].
pub const POSITION_PARAMETER: &str = "cluster_position";

/// A point in a group's log: the term in which it was written and its offset.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
pub struct LogPosition {
    /// Term of the primary that wrote it.
    pub term: u64,
    /// Number of log entries up to and including this one.
    pub offset: u64,
}

/// A position that is not of the form `<term>/<offset>`.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("position {text:?} is not of the form <term>/<offset>")]
pub struct PositionError {
    text: String,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.offset)
    }
}

impl FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, PositionError> {
        let invalid = || PositionError { text: text.to_owned() };
        let (term, offset) = text.split_once('/').ok_or_else(invalid)?;
        let term = term.parse().map_err(|_| invalid())?;
        let offset = offset.parse().map_err(|_| invalid())?;
        Ok(Self { term, offset })
    }
}

wire_type! {
    /// Role of a member in its group.
    #[derive(Copy)]
    #[serde(rename_all = "lowercase")]
    pub enum MemberRole {
        /// Accepts writes.
        Primary,
        /// Follows a primary.
        Replica,
        /// Has promised a newer term and follows nobody yet.
        Fenced,
    }

    /// Where a term began in the log.
    #[derive(Copy)]
    pub struct TermStart {
        /// The term.
        pub term: u64,
        /// Offset of the last entry before the term began.
        pub offset: u64,
    }

    /// Answer to `GET /v1/status`.
    pub struct MemberStatus {
        /// The group.
        pub group: GroupName,
        /// The member.
        pub member: EndpointName,
        /// Current role.
        pub role: MemberRole,
        /// Highest term promised; nothing below it is accepted.
        pub promised_term: u64,
        /// Last entry received.
        pub received: LogPosition,
        /// Last entry visible to reads.
        pub applied: LogPosition,
        /// Starts of all terms in the log, oldest first.
        pub term_history: Vec<TermStart>,
        /// Open connections.
        pub connections: u32,
        /// Statements running.
        pub running: u32,
    }

    /// Body of `POST /v1/fence`, and of `POST /v1/promote`.
    pub struct TermRequest {
        /// The new term.
        pub term: u64,
        /// Unique id of this attempt; a term is promised to one promoter only.
        pub promoter: String,
    }

    /// Body of `POST /v1/follow`.
    pub struct FollowRequest {
        /// Term of the primary.
        pub term: u64,
        /// The primary.
        pub primary: EndpointName,
        /// Address of the primary's member API, `ip:port`.
        pub primary_api: String,
    }

    /// Answer to a fence, promote or follow request: the status after it, and whether it was done.
    pub struct TermReply {
        /// Whether the request was granted.
        pub granted: bool,
        /// Status of the member after the request.
        pub status: MemberStatus,
    }
}
