//! Usage reports: counting, gathering, and a model of the duty whose interleavings are explored.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use googletest::prelude::*;
use proptest::prelude::*;
use tanagerdeal_core::ledger::duty::{
    DutyApplicant, DutyDecision, DutyLease, MIN_DUTY_TERM, decide_duty_lease,
};
use tanagerdeal_core::ledger::usage::{
    HostUsage, ReportStep, UsageCounter, UsageReport, UsageTable, WindowClock, agreed_offset,
    fix_limit, missing_hosts, plan_report,
};

use crate::support::{host, store_at};

const WINDOW: u64 = 7;

fn usage(name: &str, incarnation: u64, total: Option<u64>, counts: &[(&str, u64)]) -> HostUsage {
    let counts = counts.iter().map(|(customer, count)| ((*customer).to_owned(), *count)).collect();
    HostUsage { host: name.to_owned(), incarnation, window: WINDOW, total, counts }
}

proptest! {
    /// Guards against totals that depend on which messages of a host were lost, repeated or late.
    #[test]
    fn messages_may_be_lost_repeated_and_late(
        order in prop::collection::vec(0..10_u64, 0..30),
    ) {
        let message = |count: u64| usage("h1", 1, None, &[("acme", count), ("byrd", 2 * count)]);
        let mut table = UsageTable::default();
        order.iter().for_each(|count| {
            table.merge(&message(*count));
        });
        table.merge(&message(9));
        let expected = BTreeMap::from([("acme".to_owned(), 9), ("byrd".to_owned(), 18)]);
        prop_assert_eq!(table.sum(WINDOW), expected);
    }

    /// Guards against two relays whose rows differ although both know the same: they would write
    /// them in turn.
    #[test]
    fn rows_of_relays_agree_once_they_have_merged(
        counts in prop::collection::vec((0..4_usize, 0..3_u64, 0..50_u64), 0..20),
    ) {
        let mut relays = [UsageTable::default(), UsageTable::default()];
        for (index, (host, incarnation, count)) in counts.iter().enumerate() {
            let name = format!("h{host}");
            relays[index % 2].merge(&usage(&name, *incarnation, None, &[("acme", *count)]));
        }
        let (first, second) = (relays[0].row(WINDOW), relays[1].row(WINDOW));
        relays[0].merge_row(&second).unwrap();
        relays[1].merge_row(&first).unwrap();
        prop_assert_eq!(relays[0].row(WINDOW), relays[1].row(WINDOW));
    }
}

/// Guards against a total that counts as complete while a request is under way or a part of the
/// counts was lost.
#[gtest]
fn a_host_is_complete_when_all_its_counts_have_arrived() {
    let mut counter = UsageCounter::default();
    ["acme", "byrd"].iter().for_each(|customer| {
        counter.begin(WINDOW);
        counter.end(WINDOW, Some(customer));
    });
    counter.begin(WINDOW);
    expect_that!(counter.usage("h1", 1, WINDOW, WINDOW + 1).total, none());
    counter.end(WINDOW, None);
    expect_that!(counter.usage("h1", 1, WINDOW, WINDOW).total, none(), "the window goes on");
    let parts = counter.usage("h1", 1, WINDOW, WINDOW + 1).parts(20);
    let mut table = UsageTable::default();
    table.merge(&parts[1]);
    expect_that!(table.is_final(WINDOW, "h1", 1), eq(false), "the first part was lost");
    table.merge(&parts[0]);
    expect_that!(table.is_final(WINDOW, "h1", 1), eq(true));
}

/// Guards against a process that goes down over a row that another build or a fault has written.
#[gtest]
fn a_row_with_an_unknown_customer_is_an_error() {
    let mut table = UsageTable::default();
    table.merge(&usage("h1", 1, None, &[("acme", 3)]));
    let mut row = table.row(WINDOW);
    row.customers.clear();
    expect_that!(UsageTable::default().merge_row(&row), err(anything()));
}

/// Guards against windows that move because the time of day of some hosts has jumped.
#[gtest]
fn hosts_whose_clocks_jumped_do_not_move_the_windows() {
    let mut hosts: Vec<_> = (0..9).map(|index| host(&format!("h{index}"), 1, 9, &[])).collect();
    for (index, entry) in hosts.iter_mut().enumerate() {
        entry.record.time_offset_ms = Some(1_000 + index as i64);
    }
    let before = agreed_offset(&hosts, store_at(0)).unwrap();
    hosts.iter_mut().take(3).for_each(|entry| entry.record.time_offset_ms = Some(9_000));
    let after = agreed_offset(&hosts, store_at(0)).unwrap();
    expect_that!((after - before).abs(), le(3));
}

#[gtest]
fn windows_end_where_the_next_ones_start() {
    for offset_ms in [-700, 0, 3, 1_790_000_000_123] {
        let clock = WindowClock { offset_ms, window_ms: 5_000 };
        let window = clock.window_at(store_at(60_000));
        expect_that!(clock.start_of(window), le(store_at(60_000)));
        expect_that!(clock.end_of(window), gt(store_at(60_000)));
        expect_that!(clock.end_of(window), eq(clock.start_of(window + 1)));
    }
}

/// Load pattern: a host dies or is cut off (`node_kill`, `node_cut`, `zone_cut`). Guards against a
/// report that waits for it until it is overdue, and against one that leaves out a host that is only
/// slow.
#[gtest]
fn a_silent_host_is_waited_for_until_the_limit() {
    let hosts = [host("h1", 1, 9_000, &[]), host("h2", 1, 9_000, &[]), host("gone", 1, 10, &[])];
    let mut table = UsageTable::default();
    table.merge(&usage("h1", 1, Some(3), &[("acme", 3)]));
    table.merge(&usage("h2", 1, None, &[("acme", 2)]));
    let missing = || missing_hosts(&table, WINDOW, store_at(100), &hosts);
    expect_that!(missing(), elements_are![eq("h2")]);
    expect_that!(plan_report(None, WINDOW, &table, missing(), false), eq(&ReportStep::Wait));
    let ReportStep::Fix(report) = plan_report(None, WINDOW, &table, missing(), true) else {
        panic!("the limit has passed")
    };
    expect_that!(report.counts.get("acme"), some(eq(&5)));
    expect_that!(report.missing, elements_are![eq("h2")]);
    expect_that!(fix_limit(Duration::from_secs(10)), lt(Duration::from_secs(8)));
}

/// Guards against a wait for a process that was killed and has been replaced on its host.
#[gtest]
fn a_replaced_process_is_not_waited_for() {
    let mut restarted = host("h1", 1, 9_000, &[]);
    restarted.record.incarnation = 2;
    let mut table = UsageTable::default();
    table.merge(&usage("h1", 1, None, &[("acme", 3)]));
    table.merge(&usage("h1", 2, Some(0), &[]));
    expect_that!(missing_hosts(&table, WINDOW, store_at(0), &[restarted]), is_empty());
    expect_that!(table.sum(WINDOW).get("acme"), some(eq(&3)));
}

/// A step of the protocol that the model leaves out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum OmittedStep {
    None,
    /// The total is written to the row before it is sent.
    FixBeforeSend,
    /// A successor sends the report of the row, not a sum of its own.
    SendStoredReport,
    /// The lease is checked right before a call.
    CheckLease,
}

/// Row of a duty lease: holder, incarnation, token, end.
type ModelLease = (usize, u64, u64, u64);

/// What a host of the model is doing.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum ModelTask {
    Idle,
    /// It has decided on this transaction.
    Planned {
        lease: ModelLease,
        lease_version: u64,
        slot_version: u64,
        count: u64,
        is_fix: bool,
    },
    /// It holds the lease and is to send this count.
    Sending {
        lease: ModelLease,
        count: u64,
    },
}

/// A fleet with one window to report. Times are in ticks of 1 s.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ModelDuty {
    tick: u64,
    /// Requests that have reached the store so far.
    total: u64,
    lease: Option<ModelLease>,
    lease_version: u64,
    /// Count of the report and whether it was accepted.
    slot: Option<(u64, bool)>,
    slot_version: u64,
    tasks: Vec<ModelTask>,
    incarnations: Vec<u64>,
    /// Transactions whose answers were lost, and that may still be applied.
    late: Option<ModelTask>,
    /// The last call that the platform got: holder, token, count.
    called: Option<(usize, u64, u64)>,
    /// Whether it got two counts, or a token that decreased or was used by two hosts.
    is_broken: bool,
    omitted: OmittedStep,
}

#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    Tick,
    Grow,
    Plan(usize),
    Write(usize),
    /// The host gives up waiting for the answer to its write, which may be applied later.
    LoseWrite(usize),
    ApplyLate,
    Send(usize),
    MarkSent(usize),
    Restart(usize),
}

/// Ticks of an exploration: a lease, its margin, and a call of the next holder.
const MODEL_TICKS: u64 = 5;
const MODEL_TOTAL: u64 = 2;
/// Writes of the lease after which no further one is planned.
const MODEL_WRITES: u64 = 3;

impl ModelDuty {
    fn new(omitted: OmittedStep) -> Self {
        Self {
            tick: 0,
            total: 1,
            lease: None,
            lease_version: 0,
            slot: None,
            slot_version: 0,
            tasks: vec![ModelTask::Idle; 2],
            incarnations: vec![1; 2],
            late: None,
            called: None,
            is_broken: false,
            omitted,
        }
    }

    fn report(count: u64, is_sent: bool) -> UsageReport {
        let counts = BTreeMap::from([("acme".to_owned(), count)]);
        UsageReport { window: WINDOW, counts, missing: Vec::new(), is_sent }
    }

    fn plan(&self, index: usize) -> Option<ModelTask> {
        let name = |holder: usize| format!("h{holder}");
        let known = self.lease.map(|(holder, incarnation, token, until)| DutyLease {
            holder: name(holder),
            incarnation,
            token,
            until: store_at(until * 1_000),
        });
        let host = name(index);
        let incarnation = self.incarnations[index];
        let applicant =
            DutyApplicant { host: &host, incarnation, term: MIN_DUTY_TERM, min_token: 1 };
        let now = store_at(self.tick * 1_000);
        let DutyDecision::Take(lease) = decide_duty_lease(known.as_ref(), applicant, now) else {
            return None;
        };
        let slot = self.slot.map(|(count, is_sent)| Self::report(count, is_sent));
        let mut table = UsageTable::default();
        table.merge(&usage("h1", 1, Some(self.total), &[("acme", self.total)]));
        let (report, is_fix) = match plan_report(slot.as_ref(), WINDOW, &table, Vec::new(), false) {
            ReportStep::Fix(report) => (report, true),
            ReportStep::Send(report) => (report, false),
            ReportStep::Wait | ReportStep::Done => return None,
        };
        let count = match self.omitted {
            OmittedStep::SendStoredReport => self.total,
            _ => report.counts["acme"],
        };
        Some(ModelTask::Planned {
            lease: (index, incarnation, lease.token, lease.until.as_millis() / 1_000),
            lease_version: self.lease_version,
            slot_version: self.slot_version,
            count,
            is_fix: is_fix && self.omitted != OmittedStep::FixBeforeSend,
        })
    }

    /// Applies a planned transaction if its conditions hold.
    fn apply(&mut self, task: &ModelTask) -> Option<ModelTask> {
        let ModelTask::Planned { lease, lease_version, slot_version, count, is_fix } = *task else {
            return None;
        };
        if lease_version != self.lease_version || (is_fix && slot_version != self.slot_version) {
            return None;
        }
        (self.lease, self.lease_version) = (Some(lease), self.lease_version + 1);
        if is_fix {
            (self.slot, self.slot_version) = (Some((count, false)), self.slot_version + 1);
        }
        Some(ModelTask::Sending { lease, count })
    }

    /// The state after an event, or `None` if the event cannot happen.
    fn after(&self, event: ModelEvent) -> Option<Self> {
        let mut next = self.clone();
        match event {
            ModelEvent::Tick if self.tick < MODEL_TICKS => next.tick += 1,
            ModelEvent::Grow if self.total < MODEL_TOTAL => next.total += 1,
            ModelEvent::Plan(index)
                if self.tasks[index] == ModelTask::Idle && self.lease_version < MODEL_WRITES =>
            {
                next.tasks[index] = self.plan(index)?;
            }
            ModelEvent::Write(index) => {
                let done = next.apply(&self.tasks[index]);
                matches!(self.tasks[index], ModelTask::Planned { .. }).then_some(())?;
                next.tasks[index] = done.unwrap_or(ModelTask::Idle);
            }
            ModelEvent::LoseWrite(index) if self.late.is_none() => {
                matches!(self.tasks[index], ModelTask::Planned { .. }).then_some(())?;
                next.late = Some(std::mem::replace(&mut next.tasks[index], ModelTask::Idle));
            }
            ModelEvent::ApplyLate => {
                let late = next.late.take()?;
                next.apply(&late);
            }
            ModelEvent::Send(index) => {
                let ModelTask::Sending { lease, count } = self.tasks[index] else { return None };
                let (holder, _, token, until) = lease;
                if self.tick >= until && self.omitted != OmittedStep::CheckLease {
                    return None;
                }
                next.is_broken = self.called.is_some_and(|(last, last_token, last_count)| {
                    let is_shared = token == last_token && holder != last;
                    count != last_count || token < last_token || is_shared
                });
                next.called = Some((holder, token, count));
            }
            ModelEvent::MarkSent(index) => {
                let ModelTask::Sending { count, .. } = self.tasks[index] else { return None };
                let is_stored = self.slot == Some((count, false));
                if is_stored {
                    (next.slot, next.slot_version) = (Some((count, true)), self.slot_version + 1);
                }
                next.tasks[index] = ModelTask::Idle;
            }
            ModelEvent::Restart(index) if self.incarnations[index] == 1 => {
                next.incarnations[index] = 2;
                next.tasks[index] = ModelTask::Idle;
            }
            _ => return None,
        }
        Some(next)
    }

    /// Explores all interleavings. Returns the number of states, or a broken one.
    fn explore(omitted: OmittedStep) -> std::result::Result<usize, Box<Self>> {
        let first = Self::new(omitted);
        let of_hosts = [0, 1].into_iter().flat_map(|index| {
            [
                ModelEvent::Plan(index),
                ModelEvent::Write(index),
                ModelEvent::Send(index),
                ModelEvent::MarkSent(index),
            ]
        });
        // The hosts are alike, so one that loses answers and restarts is enough.
        let shared = [
            ModelEvent::Tick,
            ModelEvent::Grow,
            ModelEvent::LoseWrite(0),
            ModelEvent::ApplyLate,
            ModelEvent::Restart(0),
        ];
        let events: Vec<ModelEvent> = shared.into_iter().chain(of_hosts).collect();
        let (mut seen, mut open) = (HashSet::from([first.clone()]), VecDeque::from([first]));
        while let Some(duty) = open.pop_front() {
            for event in &events {
                let Some(next) = duty.after(*event).filter(|next| !seen.contains(next)) else {
                    continue;
                };
                if next.is_broken {
                    return Err(Box::new(next));
                }
                seen.insert(next.clone());
                open.push_back(next);
            }
        }
        Ok(seen.len())
    }
}

/// Guards against two reports of one window, and tokens that decrease or are used twice: with lost
/// and late writes, restarts, pauses, and totals that grow after the first sum.
#[gtest]
fn all_reports_of_a_window_are_equal() {
    expect_that!(ModelDuty::explore(OmittedStep::None), ok(gt(&1_000)));
}

/// The model finds what each step of the protocol is for.
#[gtest]
fn a_protocol_without_one_of_its_steps_is_found_broken() {
    let steps =
        [OmittedStep::FixBeforeSend, OmittedStep::SendStoredReport, OmittedStep::CheckLease];
    for omitted in steps {
        expect_that!(ModelDuty::explore(omitted), err(anything()), "{omitted:?}");
    }
}

/// Guards against a duty that goes from one host to another and back within the time in which the
/// users take that for a disorder.
#[gtest]
fn a_duty_does_not_go_back_and_forth_within_a_lease() {
    let take = |known: Option<&DutyLease>, host: &str, now: u64| {
        let applicant = DutyApplicant { host, incarnation: 1, term: MIN_DUTY_TERM, min_token: 1 };
        decide_duty_lease(known, applicant, store_at(now))
    };
    let DutyDecision::Take(first) = take(None, "a", 0) else { panic!("free") };
    let last_call = first.until;
    let DutyDecision::Take(second) = take(Some(&first), "b", 4_001) else { panic!("ended") };
    let back =
        (4_001..20_000).find(|now| matches!(take(Some(&second), "a", *now), DutyDecision::Take(_)));
    expect_that!(store_at(back.unwrap()).since(last_call), gt(MIN_DUTY_TERM));
}
