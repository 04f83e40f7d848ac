//! The choice of an endpoint for a request.

use std::hash::Hasher as _;
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{LogPosition, MemberRole};

use super::member::MemberView;
use super::{Coverage, EndpointTable, GroupState, MemberState, RouteChoice, RouteQuery, compare};
use crate::message::EndpointKey;
use crate::profile::{ReadPolicy, ReturnPolicy};

/// Time after which a request that waits for an endpoint asks again, and longest time for which a
/// read waits for a replica instead of going to the primary.
const SHORT_WAIT: Duration = Duration::from_millis(50);

/// Retry time given when no failover or return is in sight.
const RETRY_LATER: Duration = Duration::from_secs(1);

/// Costs in thousandths of a request per slot. A read leaves its failure domain when one more
/// request per slot waits there, and goes to the primary when replicas have three more.
const FOREIGN_COST: u64 = 1_000;
const PRIMARY_COST: u64 = 3_000;
/// A replica that is only expected to have caught up may have to be asked again.
const EXPECTED_COST: u64 = 500;

/// Steps in which load returns to a failure domain.
const RETURN_STEPS: u32 = 10;

/// When a replica can serve a read.
enum ReplicaTime {
    Now(u64),
    At(Instant),
    Never,
}

impl EndpointTable {
    /// Chooses an endpoint for a request.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// use tanagerdeal_core::message::GroupKey;
    /// use tanagerdeal_core::routing::{EndpointTable, RouteChoice, RouteQuery};
    /// use tanagerdeal_wire::member::{LogPosition, MemberRole};
    ///
    /// let now = Instant::now();
    /// let query = RouteQuery {
    ///     group: GroupKey::default(),
    ///     is_write: true,
    ///     watermark: LogPosition::default(),
    ///     max_age: Duration::ZERO,
    ///     excluded: Vec::new(),
    ///     deadline: now + Duration::from_secs(1),
    /// };
    /// let choice = EndpointTable::default().choose(now, &query);
    /// assert!(matches!(choice, RouteChoice::Unavailable(_)));
    /// ```
    pub fn choose(&self, now: Instant, query: &RouteQuery) -> RouteChoice {
        let Some(group) = self.groups.get(query.group) else {
            return RouteChoice::Unavailable(now + RETRY_LATER);
        };
        if let Some(position) = group.find_loss(query.watermark) {
            return RouteChoice::WriteLost(position);
        }
        let at_primary_only = query.is_write
            || (self.settings.reads == ReadPolicy::Primary && query.max_age.is_zero());
        match at_primary_only {
            true => self.choose_primary(now, group, query),
            false => self.choose_read(now, group, query),
        }
    }

    fn choose_primary(&self, now: Instant, group: &GroupState, query: &RouteQuery) -> RouteChoice {
        let primary = self.usable_primary(now, group, query);
        match primary.filter(|_| query.is_write || self.is_primary_fresh(now, group, query)) {
            Some(endpoint) => place(group, query, endpoint, &self.members[endpoint]),
            None => self.wait(now, group, query, None),
        }
    }

    fn choose_read(&self, now: Instant, group: &GroupState, query: &RouteQuery) -> RouteChoice {
        if query.max_age.is_zero() && !self.is_majority_fresh(now, group) {
            return self.wait(now, group, query, None);
        }
        let primary = self.usable_primary(now, group, query);
        let primary = primary.filter(|_| self.is_primary_fresh(now, group, query));
        let mut best: Option<(u64, Duration, EndpointKey)> = None;
        let mut soonest: Option<Instant> = None;
        for (key, member) in self.members_of(group) {
            if primary == Some(key) || !self.is_usable_replica(now, group, query, key, member) {
                continue;
            }
            match self.replica_time(now, group, query, member) {
                ReplicaTime::Now(cost) => {
                    let cost = cost + self.place_cost(now, member);
                    let entry = (cost, member.latency, key);
                    best = Some(best.map_or(entry, |best| best.min(entry)));
                }
                ReplicaTime::At(at) => soonest = Some(soonest.map_or(at, |soon| soon.min(at))),
                ReplicaTime::Never => {}
            }
        }
        let primary_cost = primary
            .and_then(|key| self.members.get(key))
            .map(|member| PRIMARY_COST + self.place_cost(now, member));
        let waits = soonest.filter(|at| *at < query.deadline && *at <= now + SHORT_WAIT);
        match (best, primary, waits) {
            (Some((cost, ..)), Some(key), _) if primary_cost.is_some_and(|p| p < cost) => {
                place(group, query, key, &self.members[key])
            }
            (Some((_, _, key)), ..) => place(group, query, key, &self.members[key]),
            (None, _, Some(at)) => RouteChoice::WaitUntil(at),
            (None, Some(key), None) => place(group, query, key, &self.members[key]),
            (None, None, None) => self.wait(now, group, query, soonest),
        }
    }

    /// The primary, when it may get new work.
    fn usable_primary(
        &self,
        now: Instant,
        group: &GroupState,
        query: &RouteQuery,
    ) -> Option<EndpointKey> {
        let key = group.primary?;
        let member = self.members.get(key)?;
        let is_excluded = query.excluded.contains(&key);
        let is_stale_term = query.watermark.term > group.term;
        let is_blocked = is_excluded || is_stale_term || self.is_withheld(member);
        (!is_blocked && self.is_live(now, member) && self.is_current_primary(group, member))
            .then_some(key)
    }

    /// Whether nothing contradicts that a member is the primary of the group's term.
    fn is_current_primary(&self, group: &GroupState, member: &MemberState) -> bool {
        let is_older = |view: &MemberView| {
            group.term_since.is_some_and(|since| view.asked_at < since)
                && view.status.promised_term <= group.term
        };
        member.is_primary_of(group.term) || member.view.as_ref().is_none_or(is_older)
    }

    fn is_live(&self, now: Instant, member: &MemberState) -> bool {
        !member.is_unreachable(now, self.settings.suspect_after) && !member.is_in_doubt()
    }

    /// Whether a member must get no new work.
    pub(crate) fn is_withheld(&self, member: &MemberState) -> bool {
        member.is_leaving || self.domains.get(&member.domain).is_some_and(|domain| domain.is_out)
    }

    /// Whether a read at the primary is as recent as the query demands.
    fn is_primary_fresh(&self, now: Instant, group: &GroupState, query: &RouteQuery) -> bool {
        let allowed = query.max_age.max(self.settings.suspect_after);
        let heard_at = self.heard_at(group);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) <= allowed)
    }

    /// Whether a majority has confirmed the group's term so recently that no other primary can have
    /// been agreed on meanwhile; a primary is suspected for as long before it is replaced.
    fn is_majority_fresh(&self, now: Instant, group: &GroupState) -> bool {
        let heard_at = self.heard_at(group);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) <= self.settings.suspect_after)
    }

    fn is_usable_replica(
        &self,
        now: Instant,
        group: &GroupState,
        query: &RouteQuery,
        key: EndpointKey,
        member: &MemberState,
    ) -> bool {
        let is_deposed = member.status().is_some_and(|status| status.role == MemberRole::Primary);
        // A primary is judged by itself, and the tail of a replaced one is not part of the log.
        group.primary != Some(key)
            && !is_deposed
            && !query.excluded.contains(&key)
            && !self.is_withheld(member)
            && self.is_live(now, member)
    }

    /// When a replica satisfies a read, by its last status and its apply rate.
    fn replica_time(
        &self,
        now: Instant,
        group: &GroupState,
        query: &RouteQuery,
        member: &MemberState,
    ) -> ReplicaTime {
        let Some(view) = &member.view else { return ReplicaTime::Never };
        let needed = match query.max_age.is_zero() {
            true => [query.watermark, group.acknowledged],
            false => [query.watermark, LogPosition::default()],
        };
        let covers = |seen: LogPosition| {
            needed.iter().all(|position| {
                compare(&view.status.term_history, *position, seen) == Coverage::Contained
                    && compare(&group.history, *position, seen) == Coverage::Contained
            })
        };
        let is_young = query.max_age.is_zero()
            || group.age(now, view.applied()).is_some_and(|age| age <= query.max_age);
        let wait = now + SHORT_WAIT;
        match () {
            () if !is_young => ReplicaTime::Never,
            () if covers(view.applied()) => ReplicaTime::Now(0),
            () if covers(view.expected(now)) => ReplicaTime::Now(EXPECTED_COST),
            () if covers(view.expected(wait)) => {
                let offset = needed.iter().map(|position| position.offset).max().unwrap_or(0);
                let missing = offset.saturating_sub(view.expected(now).offset) as f64;
                let time = Duration::try_from_secs_f64(missing / view.rate);
                ReplicaTime::At((now + time.unwrap_or(SHORT_WAIT)).min(wait))
            }
            () => ReplicaTime::Never,
        }
    }

    /// Cost of a place by load and failure domain.
    fn place_cost(&self, now: Instant, member: &MemberState) -> u64 {
        let is_foreign = self.settings.home.as_ref().is_some_and(|home| *home != member.domain);
        let foreign = if is_foreign { FOREIGN_COST } else { 0 };
        // A member that is held back is taken only when there is no other.
        let held_back = if self.is_held_back(now, member) { u64::MAX / 4 } else { 0 };
        member.load() + foreign + held_back
    }

    /// Whether a member of a failure domain that returns does not get this request yet.
    fn is_held_back(&self, now: Instant, member: &MemberState) -> bool {
        let returned_at = match self.domains.get(&member.domain) {
            Some(domain) if self.settings.domain_return == ReturnPolicy::Stepped => {
                domain.returned_at
            }
            _ => None,
        };
        let Some(returned_at) = returned_at else { return false };
        let elapsed = now.saturating_duration_since(returned_at);
        let step = self.settings.return_ramp / RETURN_STEPS;
        let steps = elapsed.as_nanos() / step.as_nanos().max(1) + 1;
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write_u64(self.placed);
        hasher.write_u128(elapsed.as_nanos());
        steps <= u128::from(hasher.finish() % u64::from(RETURN_STEPS))
    }

    /// Where a request without an endpoint stands: a failover or a probe may help, or nothing will.
    fn wait(
        &self,
        now: Instant,
        group: &GroupState,
        query: &RouteQuery,
        soonest: Option<Instant>,
    ) -> RouteChoice {
        let has_place = self.members_of(group).any(|(_, member)| !self.is_withheld(member));
        // Members that have not been asked yet, or whose first answer is still to come, may answer.
        let is_unknown = |member: &MemberState| member.view.is_none() && !member.probe.has_failed;
        let unknown = self.members_of(group).filter(|(_, member)| is_unknown(member)).count();
        let reachable = self.count_reachable(now, group);
        let is_hopeless = !has_place || reachable + unknown < group.majority();
        match soonest {
            _ if now >= query.deadline => RouteChoice::Unavailable(now + RETRY_LATER),
            _ if is_hopeless => RouteChoice::Unavailable(now + RETRY_LATER),
            Some(at) => RouteChoice::WaitUntil(at.min(now + SHORT_WAIT)),
            None => RouteChoice::WaitUntil((now + SHORT_WAIT).min(query.deadline)),
        }
    }
}

/// Places a request; a response at the member's own term needs no check from `required` on.
fn place(
    group: &GroupState,
    query: &RouteQuery,
    endpoint: EndpointKey,
    member: &MemberState,
) -> RouteChoice {
    let needed = match query.max_age.is_zero() && !query.is_write {
        true => query.watermark.max(group.acknowledged),
        false => query.watermark,
    };
    let term = match &member.view {
        _ if group.primary == Some(endpoint) && group.has_history() => group.term,
        Some(view) if group.primary != Some(endpoint) => view.applied().term,
        // Where the primary's term began is unknown, so that each response has to be checked.
        _ => needed.term,
    };
    let required = LogPosition { term: term.max(needed.term), offset: needed.offset };
    RouteChoice::Endpoint { endpoint, required }
}
