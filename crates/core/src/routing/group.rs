//! What is known about one group: its term, its primary, and how recent that knowledge is.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tanagerdeal_wire::GroupName;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};

use super::history::{Coverage, compare, is_truncated};
use crate::message::EndpointKey;

/// Shortest time between two observations that are kept.
const OBSERVATION_SPAN: Duration = Duration::from_millis(25);

/// Sightings kept: at least 12 s at the shortest span, and far more after thinning.
const MAX_OBSERVATIONS: usize = 512;

/// A group of members.
pub(crate) struct GroupState {
    pub(crate) name: GroupName,
    pub(crate) members: Vec<EndpointKey>,
    /// Highest term that is known to have a primary.
    pub(crate) term: u64,
    /// Primary of that term, when it is known.
    pub(crate) primary: Option<EndpointKey>,
    /// When the term became known.
    pub(crate) term_since: Option<Instant>,
    /// Term history of the highest term, from a member's status.
    pub(crate) history: Vec<TermStart>,
    /// Whether this host sends periodic probes to its members.
    pub(crate) is_probed: bool,
    /// When this host last had a request on it.
    pub(crate) used_at: Option<Instant>,
    /// Greatest position that this host has acknowledged.
    pub(crate) acknowledged: LogPosition,
    /// Offsets of confirmed primaries, with the time at which the log ended at or before them.
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

    /// Members needed for a majority.
    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Learns term, primary and history from a member's status.
    pub(crate) fn observe(&mut self, now: Instant, member: EndpointKey, status: &MemberStatus) {
        let term = status.promised_term;
        match status.role {
            MemberRole::Fenced => {}
            MemberRole::Primary if term >= self.term => self.set_primary(now, term, Some(member)),
            MemberRole::Replica if term > self.term => self.set_primary(now, term, None),
            _ => {}
        }
        // A member that has just been told to follow may still hold the tail of another branch, so
        // that only a history which contains the term itself counts.
        let ends_here = status.term_history.last().is_some_and(|start| start.term == self.term);
        if status.role != MemberRole::Fenced && ends_here && !self.has_history() {
            self.adopt_history(&status.term_history);
        }
    }

    /// Learns a primary; older terms are ignored.
    pub(crate) fn set_primary(&mut self, now: Instant, term: u64, member: Option<EndpointKey>) {
        if term > self.term {
            (self.term, self.term_since, self.primary) = (term, Some(now), None);
        }
        if term == self.term && member.is_some() {
            self.primary = member;
        }
    }

    fn adopt_history(&mut self, history: &[TermStart]) {
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

    /// Whether the history reaches up to the group's term.
    pub(crate) fn has_history(&self) -> bool {
        self.history.last().is_some_and(|start| start.term == self.term)
    }

    /// Where the current term began.
    pub(crate) fn term_start(&self) -> LogPosition {
        let start = self.history.iter().find(|start| start.term == self.term);
        LogPosition { term: self.term, offset: start.map_or(0, |start| start.offset) }
    }

    /// Notes that a primary confirmed at `at` had no entry beyond `offset`.
    pub(crate) fn record_offset(&mut self, at: Instant, offset: u64) {
        let is_due = |last: &(Instant, u64)| at >= last.0 + OBSERVATION_SPAN;
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

    /// Upper bound of the age of the data at a position; absent when it is unknown.
    pub(crate) fn age(&self, now: Instant, position: LogPosition) -> Option<Duration> {
        if is_truncated(&self.history, position) {
            return None;
        }
        let covered = |observation: &&(Instant, u64)| observation.1 <= position.offset;
        let (at, _) = self.observations.iter().rev().find(covered)?;
        Some(now.saturating_duration_since(*at))
    }

    /// Where a session goes on whose watermark is not part of the log any more.
    pub(crate) fn find_loss(&self, watermark: LogPosition) -> Option<LogPosition> {
        let end = LogPosition { term: self.term, offset: u64::MAX };
        match compare(&self.history, watermark, end) {
            Coverage::Lost(position) if self.has_history() => Some(position),
            _ => None,
        }
    }
}
