//! State of one group: its term, its primary, its term history and the age of its data.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tanagerdeal_wire::GroupName;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};

use super::history::{Coverage, compare, is_truncated};
use crate::message::EndpointKey;

/// Minimum time between two stored observations.
const MIN_OBSERVATION_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of stored observations. They cover at least 12 s at the minimum interval, and far
/// more after thinning.
const MAX_OBSERVATIONS: usize = 512;

/// Routing state of a group of endpoints.
pub(crate) struct GroupState {
    pub(crate) name: GroupName,
    pub(crate) members: Vec<EndpointKey>,
    /// Highest term known to have a primary.
    pub(crate) term: u64,
    /// Primary of that term, if known.
    pub(crate) primary: Option<EndpointKey>,
    /// When the term became known.
    pub(crate) term_since: Option<Instant>,
    /// Latest term history taken from a member's status; it may not reach the current term yet.
    pub(crate) history: Vec<TermStart>,
    /// Whether this host probes the members periodically.
    pub(crate) is_probed: bool,
    /// When this host last had a request for the group.
    pub(crate) used_at: Option<Instant>,
    /// Highest position that this host has acknowledged to a client.
    pub(crate) acknowledged: LogPosition,
    /// Last offsets of confirmed primaries, each with a time at which the log had no later entry.
    observations: VecDeque<(Instant, u64)>,
}

impl GroupState {
    pub(crate) fn new(name: GroupName) -> Self {
        Self {
            name,
            members: Vec::new(),
            term: 0,
            primary: None,
            term_since: None,
            history: Vec::new(),
            is_probed: true,
            used_at: None,
            acknowledged: LogPosition::default(),
            observations: VecDeque::new(),
        }
    }

    /// Number of members that form a majority.
    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Updates term, primary and history from a member's status.
    pub(crate) fn observe(&mut self, now: Instant, member: EndpointKey, status: &MemberStatus) {
        let term = status.promised_term;
        match status.role {
            MemberRole::Fenced => {}
            MemberRole::Primary if term >= self.term => self.set_primary(now, term, Some(member)),
            MemberRole::Replica if term > self.term => self.set_primary(now, term, None),
            _ => {}
        }
        // A member that has just been told to follow a new primary may still hold the tail of a
        // diverged log, so only a history that contains the group's term is used.
        let includes_term = status.term_history.last().is_some_and(|start| start.term == self.term);
        if status.role != MemberRole::Fenced && includes_term && !self.has_history() {
            self.set_history(&status.term_history);
        }
    }

    /// Sets the term and, if known, its primary; lower terms are ignored.
    pub(crate) fn set_primary(&mut self, now: Instant, term: u64, member: Option<EndpointKey>) {
        if term > self.term {
            (self.term, self.term_since, self.primary) = (term, Some(now), None);
        }
        if term == self.term && member.is_some() {
            self.primary = member;
        }
    }

    fn set_history(&mut self, history: &[TermStart]) {
        self.history = history.to_vec();
        let term = self.history.last().map_or(0, |start| start.term);
        let end = LogPosition { term, offset: u64::MAX };
        if let Coverage::Lost(position) = compare(&self.history, self.acknowledged, end) {
            self.acknowledged = position;
        }
        if let Some(start) = self.history.last() {
            self.observations.retain(|(_, offset)| *offset <= start.offset);
        }
    }

    /// Whether the history includes the group's term.
    pub(crate) fn has_history(&self) -> bool {
        self.history.last().is_some_and(|start| start.term == self.term)
    }

    /// Position at which the current term began; offset 0 if the history does not include it.
    pub(crate) fn term_start(&self) -> LogPosition {
        let start = self.history.iter().find(|start| start.term == self.term);
        LogPosition { term: self.term, offset: start.map_or(0, |start| start.offset) }
    }

    /// Records that the log of a primary confirmed as of `at` had no entry after `offset`.
    pub(crate) fn record_offset(&mut self, at: Instant, offset: u64) {
        let is_due = |last: &(Instant, u64)| at >= last.0 + MIN_OBSERVATION_INTERVAL;
        if !self.observations.back().is_none_or(is_due) {
            return;
        }
        if self.observations.len() >= MAX_OBSERVATIONS {
            let mut index = 0;
            self.observations.retain(|_| {
                index += 1;
                index > MAX_OBSERVATIONS / 2 || index % 2 == 0
            });
        }
        self.observations.push_back((at, offset));
    }

    /// Upper bound of the staleness of the data at a position; `None` if unknown.
    pub(crate) fn age(&self, now: Instant, position: LogPosition) -> Option<Duration> {
        if is_truncated(&self.history, position) {
            return None;
        }
        let covered = |observation: &&(Instant, u64)| observation.1 <= position.offset;
        let (at, _) = self.observations.iter().rev().find(covered)?;
        Some(now.saturating_duration_since(*at))
    }

    /// Position from which a session continues if its watermark was lost in a failover.
    pub(crate) fn position_after_loss(&self, watermark: LogPosition) -> Option<LogPosition> {
        let end = LogPosition { term: self.term, offset: u64::MAX };
        match compare(&self.history, watermark, end) {
            Coverage::Lost(position) if self.has_history() => Some(position),
            _ => None,
        }
    }
}
