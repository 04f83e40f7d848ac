//! What is known about one member: its answers to probes, and the requests in flight to it.

use std::time::{Duration, Instant};

use tanagerdeal_wire::DomainName;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus};
use tanagerdeal_wire::record::MemberRecord;

use super::EndpointAddress;
use super::history::advance_term;
use crate::message::GroupKey;

/// Shortest time between the two statuses from which an apply rate is computed; over shorter times
/// the rate is dominated by when single entries arrive.
const RATE_SPAN: Duration = Duration::from_millis(100);

/// Longest time over which a position is extrapolated: two periodic probes.
const MAX_EXTRAPOLATION: Duration = Duration::from_millis(500);

/// Weight of the newest sample in the latency average, as a divisor.
const LATENCY_SAMPLES: u32 = 8;

/// A member of a group.
pub(crate) struct MemberState {
    pub(crate) group: GroupKey,
    pub(crate) address: EndpointAddress,
    pub(crate) api_address: String,
    pub(crate) domain: DomainName,
    pub(crate) connections: u32,
    pub(crate) slots: u32,
    pub(crate) is_leaving: bool,
    pub(crate) in_flight: u32,
    pub(crate) latency: Duration,
    /// When a connection to it was last lost.
    pub(crate) lost_at: Option<Instant>,
    pub(crate) probe: ProbeState,
    /// Its last answer.
    pub(crate) view: Option<MemberView>,
    mark: Option<(Instant, LogPosition)>,
}

/// A status and when it was asked for.
pub(crate) struct MemberView {
    pub(crate) asked_at: Instant,
    pub(crate) status: MemberStatus,
    /// Entries applied a second.
    pub(crate) rate: f64,
}

/// Probes sent to a member.
#[derive(Default)]
pub(crate) struct ProbeState {
    /// When the last probe was sent.
    pub(crate) sent_at: Option<Instant>,
    /// Whether its answer is outstanding.
    pub(crate) is_open: bool,
    /// When the first probe was sent that has not been followed by an answer.
    pub(crate) unanswered_since: Option<Instant>,
    /// Whether the last probe failed.
    pub(crate) has_failed: bool,
    /// Whether the next probe is to be sent without waiting for its time.
    pub(crate) is_wanted: bool,
}

impl MemberState {
    pub(crate) fn new(group: GroupKey, record: &MemberRecord) -> Self {
        let name = record.endpoint.clone();
        Self {
            group,
            address: EndpointAddress { name, sql_address: record.sql_address.clone() },
            api_address: record.api_address.clone(),
            domain: record.domain.clone(),
            connections: record.connections,
            slots: record.slots,
            is_leaving: false,
            in_flight: 0,
            latency: Duration::ZERO,
            lost_at: None,
            probe: ProbeState::default(),
            view: None,
            mark: None,
        }
    }

    /// Takes over a changed record; what was learnt at another address or group is forgotten.
    pub(crate) fn adopt(&mut self, group: GroupKey, record: &MemberRecord) {
        if self.group != group || self.api_address != record.api_address {
            (self.view, self.mark, self.probe) = (None, None, ProbeState::default());
        }
        self.group = group;
        self.address.sql_address.clone_from(&record.sql_address);
        self.api_address.clone_from(&record.api_address);
        self.domain.clone_from(&record.domain);
        self.connections = record.connections;
        self.slots = record.slots;
    }

    /// Takes a status; false when a later one is known already.
    pub(crate) fn observe(&mut self, asked_at: Instant, status: MemberStatus) -> bool {
        if self.view.as_ref().is_some_and(|view| view.asked_at > asked_at) {
            return false;
        }
        let applied = status.applied;
        let rate = match (self.mark, &self.view) {
            (Some((at, mark)), _) if asked_at.duration_since(at) >= RATE_SPAN => {
                let entries = applied.offset.saturating_sub(mark.offset) as f64;
                self.mark = Some((asked_at, applied));
                entries / asked_at.duration_since(at).as_secs_f64()
            }
            (Some(_), Some(view)) => view.rate,
            _ => {
                self.mark = Some((asked_at, applied));
                0.0
            }
        };
        self.view = Some(MemberView { asked_at, status, rate });
        true
    }

    /// Whether its probes have gone unanswered for a time.
    pub(crate) fn is_silent(&self, now: Instant, after: Duration) -> bool {
        let since = self.probe.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= after)
    }

    /// Whether it is silent, or has never answered.
    pub(crate) fn is_unreachable(&self, now: Instant, after: Duration) -> bool {
        self.view.is_none() || self.is_silent(now, after)
    }

    /// Whether a connection was lost and no later probe has been answered.
    pub(crate) fn is_in_doubt(&self) -> bool {
        let asked_at = self.view.as_ref().map(|view| view.asked_at);
        self.lost_at.is_some_and(|lost_at| asked_at.is_none_or(|asked_at| asked_at < lost_at))
    }

    /// Whether its last answer shows it as the primary of a term.
    pub(crate) fn is_primary_of(&self, term: u64) -> bool {
        let is_primary = |status: &MemberStatus| {
            status.role == MemberRole::Primary && status.promised_term == term
        };
        self.status().is_some_and(is_primary)
    }

    /// Its last status.
    pub(crate) fn status(&self) -> Option<&MemberStatus> {
        self.view.as_ref().map(|view| &view.status)
    }

    /// Latest probe time that was answered with exactly this promised term.
    pub(crate) fn promised_at(&self, term: u64) -> Option<Instant> {
        let view = self.view.as_ref()?;
        (view.status.promised_term == term).then_some(view.asked_at)
    }

    /// Requests for each statement that runs at once, in thousandths.
    pub(crate) fn load(&self) -> u64 {
        let running = self.status().map_or(0, |status| status.running);
        u64::from(self.in_flight.max(running)) * 1_000 / u64::from(self.slots.max(1))
    }

    pub(crate) fn add_latency(&mut self, took: Duration) {
        self.latency = match self.latency {
            Duration::ZERO => took,
            average => (average * (LATENCY_SAMPLES - 1) + took) / LATENCY_SAMPLES,
        };
    }
}

impl MemberView {
    /// Applied position, under the term to which its log belongs.
    pub(crate) fn applied(&self) -> LogPosition {
        advance_term(&self.status.term_history, self.status.applied)
    }

    /// Position expected at an instant, from the apply rate.
    pub(crate) fn expected(&self, at: Instant) -> LogPosition {
        let elapsed = at.saturating_duration_since(self.asked_at).min(MAX_EXTRAPOLATION);
        let applied = self.applied();
        let entries = (self.rate * elapsed.as_secs_f64()) as u64;
        LogPosition { offset: applied.offset + entries, ..applied }
    }
}

impl ProbeState {
    /// Notes that a probe was sent.
    pub(crate) fn begin(&mut self, now: Instant) {
        (self.sent_at, self.is_open, self.is_wanted) = (Some(now), true, false);
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that a probe sent at `asked_at` was answered.
    pub(crate) fn succeed(&mut self, asked_at: Instant) {
        let is_last = self.sent_at.is_none_or(|sent_at| asked_at >= sent_at);
        let is_stale = self.unanswered_since.is_some_and(|since| asked_at < since);
        if is_last {
            (self.is_open, self.has_failed) = (false, false);
        }
        if !is_stale {
            self.unanswered_since = self.sent_at.filter(|_| !is_last);
        }
    }

    /// Notes that a probe sent at `asked_at` was not answered.
    pub(crate) fn fail(&mut self, asked_at: Instant) {
        if self.sent_at.is_none_or(|sent_at| asked_at >= sent_at) {
            (self.is_open, self.has_failed) = (false, true);
        }
    }
}
