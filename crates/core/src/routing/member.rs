//! State of one member of a group: its probe responses and the requests in flight to it.

use std::time::{Duration, Instant};

use tanagerdeal_wire::DomainName;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus};
use tanagerdeal_wire::record::MemberRecord;

use super::EndpointAddress;
use super::history::advance_term;
use crate::message::GroupKey;

/// Minimum time between the two statuses from which an apply rate is computed. Over shorter times
/// the arrival of single entries dominates the rate.
const MIN_RATE_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time over which a position is extrapolated: two periodic probes.
const MAX_EXTRAPOLATION: Duration = Duration::from_millis(500);

/// Divisor of the moving average of latency: the newest sample has a weight of one eighth.
const LATENCY_DIVISOR: u32 = 8;

/// Routing state of an endpoint as a member of a group.
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
    /// When a connection to the member last failed.
    pub(crate) lost_at: Option<Instant>,
    pub(crate) probe: ProbeState,
    /// Last probe response.
    pub(crate) view: Option<MemberView>,
    /// Status time and applied position from which the next apply rate is computed.
    rate_base: Option<(Instant, LogPosition)>,
}

/// A status, the time at which its probe was sent, and the apply rate derived from it.
pub(crate) struct MemberView {
    pub(crate) asked_at: Instant,
    pub(crate) status: MemberStatus,
    /// Entries applied per second.
    pub(crate) rate: f64,
}

/// State of the probes sent to a member.
#[derive(Default)]
pub(crate) struct ProbeState {
    /// When the last probe was sent.
    pub(crate) sent_at: Option<Instant>,
    /// Whether the response to the last probe is outstanding.
    pub(crate) is_open: bool,
    /// When the first probe since the last response was sent; `None` if none is unanswered.
    pub(crate) unanswered_since: Option<Instant>,
    /// Whether the last probe failed.
    pub(crate) has_failed: bool,
    /// Whether the next probe is sent at once instead of at its periodic time.
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
            rate_base: None,
        }
    }

    /// Applies a changed record. The probe state is reset if the API address or group has changed.
    pub(crate) fn update(&mut self, group: GroupKey, record: &MemberRecord) {
        if self.group != group || self.api_address != record.api_address {
            (self.view, self.rate_base, self.probe) = (None, None, ProbeState::default());
        }
        self.group = group;
        self.address.sql_address.clone_from(&record.sql_address);
        self.api_address.clone_from(&record.api_address);
        self.domain.clone_from(&record.domain);
        self.connections = record.connections;
        self.slots = record.slots;
    }

    /// Stores a status and updates the apply rate; returns false if a later one is already known.
    pub(crate) fn observe(&mut self, asked_at: Instant, status: MemberStatus) -> bool {
        if self.view.as_ref().is_some_and(|view| view.asked_at > asked_at) {
            return false;
        }
        let applied = status.applied;
        let rate = match (self.rate_base, &self.view) {
            (Some((at, base)), _) if asked_at.duration_since(at) >= MIN_RATE_INTERVAL => {
                let entries = applied.offset.saturating_sub(base.offset) as f64;
                self.rate_base = Some((asked_at, applied));
                entries / asked_at.duration_since(at).as_secs_f64()
            }
            (Some(_), Some(view)) => view.rate,
            _ => {
                self.rate_base = Some((asked_at, applied));
                0.0
            }
        };
        self.view = Some(MemberView { asked_at, status, rate });
        true
    }

    /// Whether probes have been unanswered for at least `after`.
    pub(crate) fn is_silent(&self, now: Instant, after: Duration) -> bool {
        let since = self.probe.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= after)
    }

    /// Whether the member has never answered a probe, or not for at least `after`.
    pub(crate) fn is_unreachable(&self, now: Instant, after: Duration) -> bool {
        self.view.is_none() || self.is_silent(now, after)
    }

    /// Whether a connection failed and no probe sent since has been answered.
    pub(crate) fn is_in_doubt(&self) -> bool {
        let asked_at = self.view.as_ref().map(|view| view.asked_at);
        self.lost_at.is_some_and(|lost_at| asked_at.is_none_or(|asked_at| asked_at < lost_at))
    }

    /// Whether the last status reports the member as the primary of `term`.
    pub(crate) fn is_primary_of(&self, term: u64) -> bool {
        let is_primary = |status: &MemberStatus| {
            status.role == MemberRole::Primary && status.promised_term == term
        };
        self.status().is_some_and(is_primary)
    }

    /// Last status that the member reported.
    pub(crate) fn status(&self) -> Option<&MemberStatus> {
        self.view.as_ref().map(|view| &view.status)
    }

    /// When the last answered probe was sent, if its promised term is exactly `term`.
    pub(crate) fn promised_at(&self, term: u64) -> Option<Instant> {
        let view = self.view.as_ref()?;
        (view.status.promised_term == term).then_some(view.asked_at)
    }

    /// Requests per slot, in thousandths.
    pub(crate) fn load(&self) -> u64 {
        let running = self.status().map_or(0, |status| status.running);
        u64::from(self.in_flight.max(running)) * 1_000 / u64::from(self.slots.max(1))
    }

    pub(crate) fn add_latency(&mut self, sample: Duration) {
        self.latency = match self.latency {
            Duration::ZERO => sample,
            average => (average * (LATENCY_DIVISOR - 1) + sample) / LATENCY_DIVISOR,
        };
    }
}

impl MemberView {
    /// Applied position, with the term to which the member's log belongs.
    pub(crate) fn applied(&self) -> LogPosition {
        advance_term(&self.status.term_history, self.status.applied)
    }

    /// Applied position extrapolated to `at` by the apply rate.
    pub(crate) fn expected(&self, at: Instant) -> LogPosition {
        let elapsed = at.saturating_duration_since(self.asked_at).min(MAX_EXTRAPOLATION);
        let applied = self.applied();
        let entries = (self.rate * elapsed.as_secs_f64()) as u64;
        LogPosition { offset: applied.offset + entries, ..applied }
    }
}

impl ProbeState {
    /// Records that a probe was sent.
    pub(crate) fn begin(&mut self, now: Instant) {
        (self.sent_at, self.is_open, self.is_wanted) = (Some(now), true, false);
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the probe sent at `asked_at` was answered.
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

    /// Records that the probe sent at `asked_at` failed.
    pub(crate) fn fail(&mut self, asked_at: Instant) {
        if self.sent_at.is_none_or(|sent_at| asked_at >= sent_at) {
            (self.is_open, self.has_failed) = (false, true);
        }
    }
}
