//! Failovers in random order of kills, lost calls, cuts and endpoints without a free slot.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tanagerdeal_core::ledger::clock::StoreInstant;
use tanagerdeal_core::ledger::endpoint::EndpointRole;
use tanagerdeal_core::ledger::failover::choice::{CATCH_UP_LIMIT, STATUS_WAIT_LIMIT};
use tanagerdeal_core::ledger::failover::step::{
    ChangeStep, ChangeView, PROMOTION_CALL_TIMEOUT, PROMOTION_DELIVERY_LIMIT,
    PROMOTION_EFFECT_LIMIT, next_step,
};
use tanagerdeal_core::ledger::failover::{CandidateStatus, UnansweredCandidate};
use tanagerdeal_core::ledger::group::{GroupRecord, PromotionRecord};

use super::{row, status, untold};
use crate::support::{at, position, store_at};

/// Endpoints of a group as the platform promotes them, and the coordinators of one failover.
struct PlatformModel {
    now: u64,
    /// Role and newest term of `p`, `r1` and `r2`.
    members: Vec<(EndpointRole, u64)>,
    is_reached: Vec<bool>,
    /// Whether they have no slot free.
    is_busy: Vec<bool>,
    /// When the coordinator has begun to ask the endpoints.
    asked_since: u64,
    /// Promotions that take effect at a time.
    pending: Vec<(u64, usize)>,
    record: GroupRecord,
    has_unanswered: bool,
    accepted_at: Option<u64>,
}

const MEMBERS: [&str; 3] = ["p", "r1", "r2"];

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    /// An endpoint is cut off from the coordinator, or can be reached again.
    Reach(usize, bool),
    /// An endpoint has no slot free, or has one again.
    Occupy(usize, bool),
    /// Time passes.
    Pass(u64),
    /// The coordinator looks and takes its next step. The call arrives after the delay or never,
    /// and the coordinator may not get the answer.
    Step { delay: Option<u64>, is_answered: bool },
    /// Another process goes on from the row.
    Replace,
}

impl PlatformModel {
    fn new() -> Self {
        let replica = (EndpointRole::Replica, 3);
        Self {
            now: 0,
            members: vec![(EndpointRole::Primary, 3), replica, replica],
            is_reached: vec![false, true, true],
            is_busy: vec![false; 3],
            asked_since: 0,
            pending: Vec::new(),
            record: row(None),
            has_unanswered: false,
            accepted_at: None,
        }
    }

    fn store_now(&self) -> StoreInstant {
        store_at(self.now)
    }

    fn pass(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            let now = self.now;
            let due: Vec<usize> = self
                .pending
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, member)| member)
                .collect();
            due.into_iter().for_each(|member| self.take_effect(member));
        }
    }

    /// The latest primary goes on until it hears of its successor.
    fn take_effect(&mut self, member: usize) {
        let newest = self.members.iter().map(|(_, term)| *term).max().unwrap();
        if self.members[member] != (EndpointRole::Primary, newest) {
            self.members[member] = (EndpointRole::Primary, newest + 1);
        }
    }

    fn statuses(&self) -> Vec<CandidateStatus> {
        let answering = |member: &usize| self.is_reached[*member] && !self.is_busy[*member];
        (0..MEMBERS.len())
            .filter(answering)
            .map(|member| {
                let (role, term) = self.members[member];
                status(MEMBERS[member], role, term, 7)
            })
            .collect()
    }

    fn unanswered(&self) -> Vec<UnansweredCandidate> {
        let is_silent = |member: &usize| !self.is_reached[*member] || self.is_busy[*member];
        let candidate = |member: usize| untold(MEMBERS[member], 7, self.is_reached[member]);
        (0..MEMBERS.len()).filter(is_silent).map(candidate).collect()
    }

    /// Whether the recorded promotion is over, as a coordinator decides it.
    fn is_call_over(&self) -> bool {
        let effect = PROMOTION_EFFECT_LIMIT.as_millis() as u64;
        let accepted_at = self.accepted_at.filter(|_| !self.has_unanswered);
        self.record.promotion().is_none_or(|promotion| self.store_now() > promotion.effective_until)
            || accepted_at.is_some_and(|at| self.now > at + effect)
    }

    /// Takes a step. Returns the published endpoint with its term.
    fn step(&mut self, delay: Option<u64>, is_answered: bool) -> Option<(usize, u64)> {
        let (statuses, unanswered) = (self.statuses(), self.unanswered());
        let record = self.record.clone();
        let waited = Duration::from_millis(self.now - self.asked_since);
        let view = ChangeView {
            record: &record,
            is_verified: true,
            statuses: &statuses,
            unanswered: &unanswered,
            absent: &[],
            sync_replicas: 0,
            acknowledged: position(3, 7),
            is_status_wait_over: waited >= STATUS_WAIT_LIMIT,
            is_catch_up_over: waited >= CATCH_UP_LIMIT,
            is_leaving: false,
            is_accepted: self.accepted_at.is_some(),
            is_call_over: self.is_call_over(),
            now: at(self.now),
            primaries: &|_| 0,
        };
        let member_of = |id: &str| MEMBERS.iter().position(|known| *known == id).unwrap();
        match next_step(view) {
            ChangeStep::Publish(found) | ChangeStep::Keep(found) => {
                Some((member_of(&found.id), found.term))
            }
            ChangeStep::Promote(chosen) => {
                let promotion = PromotionRecord::new(&chosen.id, view, 1, self.store_now());
                self.call(promotion, delay, is_answered);
                None
            }
            ChangeStep::Wait | ChangeStep::NoCandidate | ChangeStep::Withhold => None,
        }
    }

    fn call(&mut self, promotion: PromotionRecord, delay: Option<u64>, is_answered: bool) {
        let is_same = |former: &PromotionRecord| former.endpoint == promotion.endpoint;
        if !self.record.promotion().is_some_and(is_same) || self.is_call_over() {
            (self.has_unanswered, self.accepted_at) = (false, None);
        }
        let member = MEMBERS.iter().position(|known| *known == promotion.endpoint).unwrap();
        self.record.change.as_mut().unwrap().promotion = Some(promotion);
        let effect = PROMOTION_EFFECT_LIMIT.as_millis() as u64;
        match (delay, is_answered) {
            (Some(delay), true) => {
                self.pending.push((self.now + delay.min(effect), member));
                self.accepted_at = Some(self.now);
            }
            (delay, _) => {
                self.pending.extend(delay.map(|delay| (self.now + delay, member)));
                self.has_unanswered = true;
            }
        }
    }

    fn apply(&mut self, event: ModelEvent) -> Option<(usize, u64)> {
        match event {
            ModelEvent::Reach(member, is_reached) => self.is_reached[member] = is_reached,
            ModelEvent::Occupy(member, is_busy) => self.is_busy[member] = is_busy,
            ModelEvent::Pass(millis) => self.pass(millis),
            ModelEvent::Step { delay, is_answered } => return self.step(delay, is_answered),
            ModelEvent::Replace => {
                self.has_unanswered = self.record.promotion().is_some();
                self.accepted_at = None;
                self.asked_since = self.now;
            }
        }
        None
    }
}

fn events() -> impl Strategy<Value = Vec<ModelEvent>> {
    let limit = PROMOTION_CALL_TIMEOUT + PROMOTION_DELIVERY_LIMIT + PROMOTION_EFFECT_LIMIT;
    let delay = prop::option::of(0..limit.as_millis() as u64);
    let event = prop_oneof![
        (0..MEMBERS.len(), any::<bool>()).prop_map(|(member, is)| ModelEvent::Reach(member, is)),
        (0..MEMBERS.len(), any::<bool>()).prop_map(|(member, is)| ModelEvent::Occupy(member, is)),
        (1..3_000_u64).prop_map(ModelEvent::Pass),
        (delay, any::<bool>())
            .prop_map(|(delay, is_answered)| ModelEvent::Step { delay, is_answered }),
        Just(ModelEvent::Replace),
    ];
    prop::collection::vec(event, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Guards against a primary that is published and then replaced by a promotion of the same
    /// failover, or that has already been replaced by one: in any order of kills of coordinators,
    /// lost calls, lost answers, delays, cuts and endpoints without a free slot.
    #[test]
    fn a_published_primary_is_the_last_one(events in events()) {
        let mut model = PlatformModel::new();
        for event in events {
            if let Some((published, term)) = model.apply(event) {
                model.pass(10_000);
                let newest = model.members.iter().map(|(_, term)| *term).max().unwrap();
                prop_assert_eq!(model.members[published], (EndpointRole::Primary, newest));
                prop_assert_eq!(term, newest);
                return Ok(());
            }
        }
    }
}
