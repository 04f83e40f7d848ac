//! Chooses an endpoint for a request.

use std::hash::Hasher as _;
use std::time::{Duration, Instant};

use tanagerdeal_wire::member::{LogPosition, MemberRole};

use super::member::MemberView;
use super::{Coverage, EndpointTable, GroupState, MemberState, RouteChoice, RouteQuery, compare};
use crate::message::EndpointKey;
use crate::profile::{ReadPolicy, ReturnPolicy};

/// Interval at which a waiting request retries the choice. It is also the longest time for which a
/// read waits for a replica to catch up before it goes to the primary.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Retry delay given to a client when no endpoint is expected to become available.
const UNAVAILABLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Costs in thousandths of a request per slot. A read leaves the host's failure domain when the
/// endpoints there have one more request per slot, and goes to the primary when replicas have
/// three more.
const REMOTE_DOMAIN_COST: u64 = 1_000;
const PRIMARY_COST: u64 = 3_000;
/// Extra cost of a replica whose position is extrapolated: if it has not caught up, the read has to
/// be repeated.
const EXTRAPOLATED_COST: u64 = 500;

/// Number of equal steps in which load returns to a failure domain.
const RAMP_STEPS: u32 = 10;

/// When a replica can serve a read: now at a cost, at a later time, or not in time to wait for it.
enum Readiness {
    Now(u64),
    At(Instant),
    Never,
}

impl EndpointTable {
    /// Chooses an endpoint for a request, or says when to retry.
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
            return RouteChoice::Unavailable(now + UNAVAILABLE_RETRY_DELAY);
        };
        if let Some(position) = group.position_after_loss(query.watermark) {
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
            Some(endpoint) => route_to(group, query, endpoint, &self.members[endpoint]),
            None => self.wait_or_refuse(now, group, query, None),
        }
    }

    fn choose_read(&self, now: Instant, group: &GroupState, query: &RouteQuery) -> RouteChoice {
        if query.max_age.is_zero() && !self.is_majority_fresh(now, group) {
            return self.wait_or_refuse(now, group, query, None);
        }
        let primary = self.usable_primary(now, group, query);
        let primary = primary.filter(|_| self.is_primary_fresh(now, group, query));
        let mut best: Option<(u64, Duration, EndpointKey)> = None;
        let mut earliest: Option<Instant> = None;
        for (key, member) in self.members_of(group) {
            if primary == Some(key) || !self.is_usable_replica(now, group, query, key, member) {
                continue;
            }
            match self.replica_readiness(now, group, query, member) {
                Readiness::Now(cost) => {
                    let cost = cost + self.member_cost(now, member);
                    let entry = (cost, member.latency, key);
                    best = Some(best.map_or(entry, |best| best.min(entry)));
                }
                Readiness::At(at) => earliest = Some(earliest.map_or(at, |soon| soon.min(at))),
                Readiness::Never => {}
            }
        }
        let primary_cost = primary
            .and_then(|key| self.members.get(key))
            .map(|member| PRIMARY_COST + self.member_cost(now, member));
        let replica_at = earliest.filter(|at| *at < query.deadline && *at <= now + RETRY_INTERVAL);
        match (best, primary, replica_at) {
            (Some((cost, ..)), Some(key), _) if primary_cost.is_some_and(|p| p < cost) => {
                route_to(group, query, key, &self.members[key])
            }
            (Some((_, _, key)), ..) => route_to(group, query, key, &self.members[key]),
            (None, _, Some(at)) => RouteChoice::WaitUntil(at),
            (None, Some(key), None) => route_to(group, query, key, &self.members[key]),
            (None, None, None) => self.wait_or_refuse(now, group, query, earliest),
        }
    }

    /// The primary, if it may receive new requests.
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

    /// Whether a member reports itself as the primary of the group's term, or has no status
    /// that is recent enough to contradict it.
    fn is_current_primary(&self, group: &GroupState, member: &MemberState) -> bool {
        let predates_term = |view: &MemberView| {
            group.term_since.is_some_and(|since| view.asked_at < since)
                && view.status.promised_term <= group.term
        };
        member.is_primary_of(group.term) || member.view.as_ref().is_none_or(predates_term)
    }

    fn is_live(&self, now: Instant, member: &MemberState) -> bool {
        !member.is_unreachable(now, self.settings.suspect_after) && !member.is_in_doubt()
    }

    /// Whether a member is leaving or its failure domain is out; it then receives no new requests.
    pub(crate) fn is_withheld(&self, member: &MemberState) -> bool {
        member.is_leaving || self.domains.get(&member.domain).is_some_and(|domain| domain.is_out)
    }

    /// Whether a majority has confirmed the group's term recently enough for a read at the primary:
    /// within the staleness limit of the query or `suspect_after`, whichever is longer.
    fn is_primary_fresh(&self, now: Instant, group: &GroupState, query: &RouteQuery) -> bool {
        let allowed = query.max_age.max(self.settings.suspect_after);
        let heard_at = self.heard_at(group);
        heard_at.is_some_and(|at| now.saturating_duration_since(at) <= allowed)
    }

    /// Whether a majority has confirmed the group's term within `suspect_after`. No other primary
    /// can have been elected since, because a primary is suspected for that long before it is
    /// replaced.
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
        let is_former_primary =
            member.status().is_some_and(|status| status.role == MemberRole::Primary);
        // The primary is considered separately. A former primary may hold a tail of entries that is
        // not part of the log.
        group.primary != Some(key)
            && !is_former_primary
            && !query.excluded.contains(&key)
            && !self.is_withheld(member)
            && self.is_live(now, member)
    }

    /// Estimates from its last status and apply rate when a replica can serve a read.
    fn replica_readiness(
        &self,
        now: Instant,
        group: &GroupState,
        query: &RouteQuery,
        member: &MemberState,
    ) -> Readiness {
        let Some(view) = &member.view else { return Readiness::Never };
        let needed = match query.max_age.is_zero() {
            true => [query.watermark, group.acknowledged],
            false => [query.watermark, LogPosition::default()],
        };
        let includes_needed = |reached: LogPosition| {
            needed.iter().all(|position| {
                compare(&view.status.term_history, *position, reached) == Coverage::Contained
                    && compare(&group.history, *position, reached) == Coverage::Contained
            })
        };
        let is_recent = query.max_age.is_zero()
            || group.age(now, view.applied()).is_some_and(|age| age <= query.max_age);
        let latest = now + RETRY_INTERVAL;
        match () {
            () if !is_recent => Readiness::Never,
            () if includes_needed(view.applied()) => Readiness::Now(0),
            () if includes_needed(view.expected(now)) => Readiness::Now(EXTRAPOLATED_COST),
            () if includes_needed(view.expected(latest)) => {
                let offset = needed.iter().map(|position| position.offset).max().unwrap_or(0);
                let missing = offset.saturating_sub(view.expected(now).offset) as f64;
                let time = Duration::try_from_secs_f64(missing / view.rate);
                Readiness::At((now + time.unwrap_or(RETRY_INTERVAL)).min(latest))
            }
            () => Readiness::Never,
        }
    }

    /// Cost of a member by load, failure domain and return ramp.
    fn member_cost(&self, now: Instant, member: &MemberState) -> u64 {
        let is_remote = self.settings.own_domain.as_ref().is_some_and(|own| *own != member.domain);
        let remote_cost = if is_remote { REMOTE_DOMAIN_COST } else { 0 };
        // The cost is so high that the member is chosen only if there is no other.
        let ramp_cost = if self.is_limited_by_ramp(now, member) { u64::MAX / 4 } else { 0 };
        member.load() + remote_cost + ramp_cost
    }

    /// Whether the return ramp of a member's failure domain keeps this request from the member. The
    /// hash admits a share of the requests that grows with each step of the ramp.
    fn is_limited_by_ramp(&self, now: Instant, member: &MemberState) -> bool {
        let returned_at = match self.domains.get(&member.domain) {
            Some(domain) if self.settings.domain_return == ReturnPolicy::Stepped => {
                domain.returned_at
            }
            _ => None,
        };
        let Some(returned_at) = returned_at else { return false };
        let elapsed = now.saturating_duration_since(returned_at);
        let step = self.settings.return_ramp / RAMP_STEPS;
        let steps = elapsed.as_nanos() / step.as_nanos().max(1) + 1;
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write_u64(self.placed_requests);
        hasher.write_u128(elapsed.as_nanos());
        steps <= u128::from(hasher.finish() % u64::from(RAMP_STEPS))
    }

    /// Decision for a request without an endpoint: wait if a failover, a probe or a replica that
    /// catches up may provide one before the deadline, otherwise refuse the request with a retry
    /// time.
    fn wait_or_refuse(
        &self,
        now: Instant,
        group: &GroupState,
        query: &RouteQuery,
        earliest: Option<Instant>,
    ) -> RouteChoice {
        let has_active_member = self.members_of(group).any(|(_, member)| !self.is_withheld(member));
        // Members that have not been probed yet, or whose first response is outstanding, may
        // respond.
        let is_unknown = |member: &MemberState| member.view.is_none() && !member.probe.has_failed;
        let unknown = self.members_of(group).filter(|(_, member)| is_unknown(member)).count();
        let reachable = self.count_reachable(now, group);
        let is_unservable = !has_active_member || reachable + unknown < group.majority();
        match earliest {
            _ if now >= query.deadline => RouteChoice::Unavailable(now + UNAVAILABLE_RETRY_DELAY),
            _ if is_unservable => RouteChoice::Unavailable(now + UNAVAILABLE_RETRY_DELAY),
            Some(at) => RouteChoice::WaitUntil(at.min(now + RETRY_INTERVAL)),
            None => RouteChoice::WaitUntil((now + RETRY_INTERVAL).min(query.deadline)),
        }
    }
}

/// Routes a request to an endpoint. The required position is raised to the term of the member, so
/// that a response at or after it needs no check against the term history.
fn route_to(
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
        // The start of the primary's term is unknown, so each response has to be checked.
        _ => needed.term,
    };
    let required = LogPosition { term: term.max(needed.term), offset: needed.offset };
    RouteChoice::Endpoint { endpoint, required }
}
