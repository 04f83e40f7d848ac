//! Processes probe responses of members and derives the state of their group.

use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{LogPosition, MemberStatus};

use super::{Coverage, EndpointTable, GroupState, MemberState, compare};
use crate::message::{EndpointKey, GroupKey};

/// Time after which an unanswered probe that a promotion waits for is repeated.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_millis(75);

impl EndpointTable {
    /// Applies the response of a member to a probe sent at `asked_at`; returns the member's group.
    ///
    /// A status of another group or member is ignored and gives `None`. A status whose probe was
    /// sent before that of the stored one changes nothing.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        endpoint: EndpointKey,
        asked_at: Instant,
        status: MemberStatus,
    ) -> Option<GroupKey> {
        let member = self.members.get_mut(endpoint)?;
        let group = self.groups.get_mut(member.group)?;
        if status.group != group.name || status.member != member.address.name {
            return None;
        }
        let key = member.group;
        if member.observe(asked_at, status) {
            let status = member.status()?;
            group.observe(now, endpoint, status);
            self.record_offset(key);
        }
        Some(key)
    }

    /// Records the last offset of a group's primary if a majority has confirmed the primary.
    fn record_offset(&mut self, key: GroupKey) {
        if let Some((at, position)) = self.confirmed(key) {
            self.groups[key].record_offset(at, position.offset);
        }
    }

    /// Members of a group with their keys.
    pub(crate) fn members_of<'a>(
        &'a self,
        group: &'a GroupState,
    ) -> impl Iterator<Item = (EndpointKey, &'a MemberState)> {
        group.members.iter().filter_map(|key| self.members.get(*key).map(|member| (*key, member)))
    }

    /// Latest instant as of which a majority of a group, including its primary, has confirmed that
    /// no primary of a higher term was promoted, and the primary's last position.
    ///
    /// All probes counted were sent at that instant or later and were answered with a promised term
    /// equal to that of the primary. A promotion before that instant would have needed a majority
    /// that had already promised a higher term.
    pub(crate) fn confirmed(&self, group: GroupKey) -> Option<(Instant, LogPosition)> {
        let group = self.groups.get(group)?;
        let primary = self.members.get(group.primary?)?;
        if !primary.is_primary_of(group.term) {
            return None;
        }
        let view = primary.view.as_ref()?;
        let asked_at = self.members_of(group).filter_map(|(_, m)| m.promised_at(group.term));
        let at = majority_instant(group, asked_at.collect())?.min(view.asked_at);
        Some((at, LogPosition { term: group.term, offset: view.status.received.offset }))
    }

    /// Latest instant as of which a majority of a group reported at least the group's term.
    ///
    /// Responses to probes sent before the term became known count as well, because only their age
    /// matters.
    pub(crate) fn heard_at(&self, group: &GroupState) -> Option<Instant> {
        let views = self.members_of(group).filter_map(|(_, member)| member.view.as_ref());
        let current = views.filter(|view| {
            view.status.promised_term >= group.term || Some(view.asked_at) < group.term_since
        });
        majority_instant(group, current.map(|view| view.asked_at).collect())
    }

    /// Number of members that have answered a probe and have left none unanswered for
    /// `suspect_after`.
    pub(crate) fn count_reachable(&self, now: Instant, group: &GroupState) -> usize {
        let after = self.settings.suspect_after;
        self.members_of(group).filter(|(_, member)| !member.is_unreachable(now, after)).count()
    }

    /// Number of members whose log includes a position, by their last status.
    pub(crate) fn count_received(&self, group: &GroupState, position: LogPosition) -> usize {
        let statuses = self.members_of(group).filter_map(|(_, member)| member.status());
        let includes_position = |status: &&MemberStatus| {
            compare(&status.term_history, position, status.received) == Coverage::Contained
                && compare(&group.history, position, status.received) == Coverage::Contained
        };
        statuses.filter(includes_position).count()
    }

    /// Number of members that have promised a term higher than `term`.
    pub(crate) fn count_above(&self, group: &GroupState, term: u64) -> usize {
        let statuses = self.members_of(group).filter_map(|(_, member)| member.status());
        statuses.filter(|status| status.promised_term > term).count()
    }

    /// Records a position that this host has acknowledged to a client.
    pub(crate) fn note_acknowledged(&mut self, group: GroupKey, position: LogPosition) {
        if let Some(group) = self.groups.get_mut(group) {
            group.acknowledged = group.acknowledged.max(position);
        }
    }

    /// Requests a probe of all members of a group at the next run of the systems.
    pub(crate) fn want_probes(&mut self, group: GroupKey) {
        for member in self.members.values_mut().filter(|member| member.group == group) {
            member.probe.is_wanted = true;
        }
    }

    /// Requests a probe of the members of a group that have not answered a probe sent at `since` or
    /// later, unless such a probe was sent recently.
    pub(crate) fn want_answers(&mut self, now: Instant, group: GroupKey, since: Instant) {
        for member in self.members.values_mut().filter(|member| member.group == group) {
            let is_answered = member.view.as_ref().is_some_and(|view| view.asked_at >= since);
            let sent_at = member.probe.sent_at;
            let is_sent = |at: Instant| at >= since && now < at + PROBE_RETRY_INTERVAL;
            member.probe.is_wanted |= !is_answered && !sent_at.is_some_and(is_sent);
        }
    }

    /// Shifts the start of unanswered probes, so that time in which this host did not run is not
    /// counted against the members.
    pub(crate) fn shift_silence(&mut self, shift: impl Fn(Instant) -> Instant) {
        for member in self.members.values_mut() {
            member.probe.unanswered_since = member.probe.unanswered_since.map(&shift);
        }
    }
}

/// Latest instant at or before the instants of a majority of the group's members.
fn majority_instant(group: &GroupState, mut instants: Vec<Instant>) -> Option<Instant> {
    instants.sort_unstable_by(|left, right| right.cmp(left));
    instants.get(group.majority() - 1).copied()
}
