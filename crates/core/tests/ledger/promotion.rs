//! Steps of a failover around a promotion that may have been called for.

mod model;

use std::time::Duration;

use googletest::prelude::*;
use tanagerdeal_core::ledger::endpoint::{EndpointRole, LogPosition};
use tanagerdeal_core::ledger::failover::step::{
    ChangeStep, ChangeView, PROMOTION_CALL_TIMEOUT, PROMOTION_DELIVERY_LIMIT,
    PROMOTION_EFFECT_LIMIT, next_step,
};
use tanagerdeal_core::ledger::failover::{CandidateStatus, UnansweredCandidate};
use tanagerdeal_core::ledger::group::{GroupRecord, PendingChange, PromotionRecord};

use crate::support::{at, position, store_at};

fn status(id: &str, role: EndpointRole, term: u64, number: u64) -> CandidateStatus {
    CandidateStatus {
        id: id.to_owned(),
        domain: "d1".to_owned(),
        role,
        term,
        received: position(term, number),
        is_eligible: true,
    }
}

fn primary(id: &str, term: u64) -> CandidateStatus {
    status(id, EndpointRole::Primary, term, 9)
}

fn replica(id: &str, term: u64) -> CandidateStatus {
    status(id, EndpointRole::Replica, term, 7)
}

/// A row in which the promotion of an endpoint is recorded. The primary is `p`, in term 3.
fn row(promoted: Option<&str>) -> GroupRecord {
    let (holder, until) = ("h1".to_owned(), store_at(3_000));
    let change = Some(PendingChange { holder, token: 1, until, promotion: None });
    let mut record = GroupRecord {
        group: "g".to_owned(),
        term: 3,
        primary: "p".to_owned(),
        change,
        term_start: None,
        verified_era: 0,
        former_starts: Vec::new(),
    };
    let promotion = promoted.map(|id| PromotionRecord::new(id, view(&record, &[]), 1, store_at(0)));
    record.change.as_mut().unwrap().promotion = promotion;
    record
}

fn view<'s, 'v>(record: &'v GroupRecord, statuses: &'s [CandidateStatus]) -> ChangeView<'s, 'v> {
    ChangeView {
        record,
        is_verified: true,
        statuses,
        unanswered: &[],
        absent: &[],
        sync_replicas: 0,
        acknowledged: LogPosition::default(),
        is_status_wait_over: false,
        is_catch_up_over: false,
        is_leaving: false,
        is_accepted: false,
        is_call_over: record.promotion().is_none(),
        now: at(0),
        primaries: &|_| 0,
    }
}

/// An endpoint that has not told its status; it has received at least up to `number`.
fn untold(id: &str, number: u64, is_running: bool) -> UnansweredCandidate {
    let known = status(id, EndpointRole::Replica, 0, 0);
    let status = CandidateStatus { received: position(3, number), ..known };
    UnansweredCandidate { status, is_running, has_successor: false }
}

/// A view of a lost primary with a replica that has received up to 7 and another one that has not
/// told its status.
fn lost<'s, 'v>(
    record: &'v GroupRecord,
    statuses: &'s [CandidateStatus],
    unanswered: &'s [UnansweredCandidate],
) -> ChangeView<'s, 'v> {
    ChangeView { unanswered, ..view(record, statuses) }
}

/// Guards against a replica that is left out because its slots are taken, while one that is seconds
/// behind is promoted (review/2).
#[gtest]
fn an_endpoint_that_runs_is_asked_until_it_answers() {
    let (record, statuses) = (row(None), [replica("r1", 3)]);
    for known in [0, 9] {
        let unanswered = [untold("r2", known, true)];
        let view = lost(&record, &statuses, &unanswered);
        expect_that!(next_step(view), eq(ChangeStep::Wait));
        let is_over = ChangeView { is_status_wait_over: true, ..view };
        let best = if known > 7 { &unanswered[0].status } else { &statuses[0] };
        expect_that!(next_step(is_over), eq(ChangeStep::Promote(best)));
    }
    let alone = [untold("r2", 0, true)];
    expect_that!(next_step(lost(&record, &[], &alone)), eq(ChangeStep::Wait));
}

/// Guards against commits that are given up although a silent endpoint may have them, and against a
/// wait for a silent endpoint that cannot have more than the others.
#[gtest]
fn a_silent_endpoint_is_waited_for_when_the_others_lack_commits() {
    let (record, statuses) = (row(None), [replica("r1", 3)]);
    let silent = [untold("r2", 7, false)];
    let view = lost(&record, &statuses, &silent);
    let promotes = eq(ChangeStep::Promote(&statuses[0]));
    expect_that!(next_step(ChangeView { acknowledged: position(3, 7), ..view }), promotes);
    let lacks_commits = ChangeView { acknowledged: position(3, 8), ..view };
    expect_that!(next_step(lacks_commits), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_status_wait_over: true, ..lacks_commits };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
    let ahead = [untold("r2", 8, false)];
    expect_that!(next_step(lost(&record, &statuses, &ahead)), eq(ChangeStep::Wait));
    let mut leaving = untold("r2", 8, false);
    leaving.status.is_eligible = false;
    let leaving = [leaving];
    expect_that!(
        next_step(lost(&record, &statuses, &leaving)),
        eq(ChangeStep::Promote(&statuses[0]))
    );
    // Without any answer another host may do better.
    expect_that!(next_step(lost(&record, &[], &silent)), eq(ChangeStep::NoCandidate));
}

/// Guards against commits that are given up, and come back with a later promotion, when every other
/// endpoint has crashed for a moment: reads in between missed them (day of review/2, seed 206).
#[gtest]
fn an_endpoint_that_lacks_commits_is_promoted_only_after_the_wait() {
    let (record, statuses) = (row(None), [replica("r1", 3)]);
    let lacks_commits = ChangeView { acknowledged: position(3, 8), ..view(&record, &statuses) };
    expect_that!(next_step(lacks_commits), eq(ChangeStep::Wait));
    let back = [replica("r1", 3), status("p-again", EndpointRole::Replica, 3, 8)];
    let is_back = ChangeView { statuses: &back, ..lacks_commits };
    expect_that!(next_step(is_back), eq(ChangeStep::Promote(&back[1])));
    let is_over = ChangeView { is_status_wait_over: true, ..lacks_commits };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
    // The row tells what the term began with to a host that has not used its primary (seed 212).
    let mut record = row(None);
    (record.term, record.term_start) = (4, Some(position(3, 8)));
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Wait));
}

/// Guards against commits that were given up by a promotion and come back with the next one, as
/// their position is higher: reads in between missed them (day of review/2, seed 109).
#[gtest]
fn commits_that_were_given_up_do_not_come_back() {
    let mut record = row(None);
    (record.term, record.term_start) = (4, Some(position(3, 7)));
    let statuses = [status("r1", EndpointRole::Replica, 3, 9), replica("r2", 3)];
    let view = view(&record, &statuses);
    expect_that!(next_step(view), eq(ChangeStep::Promote(&statuses[1])));
    let later = [replica("r2", 3), status("r3", EndpointRole::Replica, 4, 8)];
    let has_later = ChangeView { statuses: &later, ..view };
    expect_that!(next_step(has_later), eq(ChangeStep::Promote(&later[1])));
    let alone = ChangeView { statuses: &statuses[..1], ..view };
    expect_that!(next_step(alone), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_status_wait_over: true, ..alone };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
}

/// Guards against an old primary that is replaced because its slots are taken when it can be reached
/// again, and against a wait for one that is silent and has no more than the others.
#[gtest]
fn an_old_primary_that_runs_is_asked_until_it_answers() {
    let (record, statuses) = (row(None), [replica("r1", 3), replica("r2", 3)]);
    let running = [untold("p", 9, true)];
    let view = lost(&record, &statuses, &running);
    expect_that!(next_step(view), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_status_wait_over: true, ..view };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
    let silent = [untold("p", 9, false)];
    let is_silent = ChangeView { unanswered: &silent, ..view };
    expect_that!(next_step(is_silent), eq(ChangeStep::Promote(&statuses[0])));
}

/// Guards against a promotion beside a primary that has no slot free, when the row names a replica.
#[gtest]
fn a_busy_primary_beside_a_wrong_row_is_waited_for() {
    let record = row(None);
    let statuses = [replica("p", 3), replica("r1", 3)];
    let unanswered = [untold("r2", 7, true)];
    expect_that!(next_step(lost(&record, &statuses, &unanswered)), eq(ChangeStep::Wait));
}

/// Guards against a planned change that gives up commits: the replicas may take a moment to receive
/// the last ones, also if the old primary only shows its position when it refuses requests. Once a
/// replica has all of them, no other one is waited for.
#[gtest]
fn the_last_commits_of_a_leaving_primary_are_waited_for() {
    let record = row(None);
    let told = [primary("p", 3), replica("r1", 3)];
    let mut refusing = [untold("p", 9, true)];
    refusing[0].status.role = EndpointRole::Primary;
    for view in [view(&record, &told), lost(&record, &told[1..], &refusing)] {
        let leaving = ChangeView { is_leaving: true, ..view };
        expect_that!(next_step(leaving), eq(ChangeStep::Wait));
        let is_over = ChangeView { is_catch_up_over: true, ..leaving };
        expect_that!(next_step(is_over), eq(ChangeStep::Promote(&told[1])));
    }
    let caught_up = [primary("p", 3), status("r1", EndpointRole::Replica, 3, 9)];
    let busy = [untold("r2", 0, true)];
    let leaving = ChangeView { is_leaving: true, ..lost(&record, &caught_up, &busy) };
    expect_that!(next_step(leaving), eq(ChangeStep::Promote(&caught_up[1])));
}

/// Guards against an old primary that is published again while its successor is being promoted. The
/// coordinator that had called for it was killed.
#[gtest]
fn an_old_primary_is_not_kept_while_a_promotion_may_take_effect() {
    let record = row(Some("r1"));
    let statuses = [primary("p", 3), replica("r1", 3), replica("r2", 3)];
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_call_over: true, ..view(&record, &statuses) };
    expect_that!(next_step(is_over), eq(ChangeStep::Keep(&statuses[0])));
    let none_called = row(None);
    expect_that!(next_step(view(&none_called, &statuses)), eq(ChangeStep::Keep(&statuses[0])));
}

/// Guards against an old primary that is published again although the endpoint that was to be
/// promoted is out of reach and may lead: only another promotion gives a later term.
#[gtest]
fn a_promoted_endpoint_that_is_silent_may_lead() {
    let record = row(Some("r1"));
    let statuses = [primary("p", 3), replica("r2", 3)];
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_call_over: true, ..view(&record, &statuses) };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
    let is_leaving = ChangeView { is_leaving: true, ..is_over };
    expect_that!(next_step(is_leaving), eq(ChangeStep::Promote(&statuses[0])));
}

/// Guards against a second promotion beside one that may still take effect, and against a wait of
/// seconds when the call of a coordinator that was killed may never have been sent.
#[gtest]
fn a_promotion_is_called_for_again_for_the_same_endpoint() {
    let record = row(Some("r1"));
    let statuses = [status("r2", EndpointRole::Replica, 3, 8), replica("r1", 3)];
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Promote(&statuses[1])));
    let is_accepted = ChangeView { is_accepted: true, ..view(&record, &statuses) };
    expect_that!(next_step(is_accepted), eq(ChangeStep::Wait));
}

/// Guards against a primary that is published while the promotion of another one is pending.
#[gtest]
fn another_successor_waits_for_the_pending_promotion() {
    let record = row(Some("r2"));
    let statuses = [primary("r1", 4), replica("r2", 4)];
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Wait));
    let is_over = ChangeView { is_call_over: true, ..view(&record, &statuses) };
    expect_that!(next_step(is_over), eq(ChangeStep::Publish(&statuses[0])));
    let own = row(Some("r1"));
    expect_that!(next_step(view(&own, &statuses)), eq(ChangeStep::Publish(&statuses[0])));
}

/// Guards against an old primary that has come back under another identity and counts as the
/// successor, as the term of the first primary was never read.
#[gtest]
fn an_old_primary_under_another_identity_is_no_successor() {
    let mut record = row(Some("r1"));
    record.term = 0;
    let statuses = [primary("p-again", 3), replica("r1", 3)];
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Promote(&statuses[1])));
    let statuses = [primary("p-again", 3), replica("r1", 4)];
    expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Promote(&statuses[1])));
}

/// Guards against a row that names a replica for good: the real primary is found by its term, also
/// if the row was written before any term was known.
#[gtest]
fn the_primary_of_a_wrong_row_is_found() {
    let statuses = [replica("p", 4), primary("r1", 4)];
    for term in [0, 3] {
        let mut record = row(None);
        record.term = term;
        expect_that!(next_step(view(&record, &statuses)), eq(ChangeStep::Publish(&statuses[1])));
    }
    let none_leads = [status("p", EndpointRole::Replica, 4, 9), replica("r1", 4)];
    expect_that!(next_step(view(&row(None), &none_leads)), eq(ChangeStep::Promote(&none_leads[0])));
}

/// Guards against an old primary that is kept after two promotions: the second one did not take
/// effect, but the first one may have, as its endpoint has not answered since.
#[gtest]
fn a_silent_endpoint_may_lead_until_a_promotion_takes_effect() {
    let first = row(Some("r1"));
    let statuses = [primary("p", 3), replica("r2", 3)];
    let second = PromotionRecord::new("p", view(&first, &statuses), 1, store_at(5_000));
    let mut record = row(None);
    record.change.as_mut().unwrap().promotion = Some(second);
    let is_over = ChangeView { is_call_over: true, ..view(&record, &statuses) };
    expect_that!(next_step(is_over), eq(ChangeStep::Promote(&statuses[0])));
    // The platform accepted the call and changed nothing: the old primary is the present one.
    let is_accepted = ChangeView { is_accepted: true, ..is_over };
    expect_that!(next_step(is_accepted), eq(ChangeStep::Publish(&statuses[0])));
}

/// Guards against a record that ends before the call that it announces.
#[gtest]
fn a_record_outlasts_its_call() {
    let record = row(Some("r1")).promotion().unwrap().clone();
    let limit = PROMOTION_CALL_TIMEOUT + PROMOTION_DELIVERY_LIMIT + PROMOTION_EFFECT_LIMIT;
    let last = (0..5_000).map(store_at).filter(|now| record.covers_call(*now)).max().unwrap();
    expect_that!(last.after(limit), eq(record.effective_until));
    expect_that!(record.covers_call(last.after(Duration::from_millis(1))), eq(false));
}
