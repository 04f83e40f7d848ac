//! A run made by hand in which all guarantees hold.

use googletest::prelude::*;
use tanagerdeal_testbed::check::{RULES, RunFiles, RunRecord, check_run};
use tanagerdeal_testbed::history::{
    HistoryLine, HostSample, Invocation, LimitSample, Observation, OperatorAction, OperatorEvent,
    Outcome, OutcomeVerdict, RequestKind, SearchSample, SessionOpened, TermSample, request_tag,
};
use tanagerdeal_testbed::member::Execution;
use tanagerdeal_wire::member::{LogPosition, MemberRole, MemberStatus, TermStart};
use tanagerdeal_wire::{EndpointName, GroupName};

/// Item that all requests of the run use.
pub const ITEM: &str = "quarry:0001";

/// Start of the run.
pub const START_US: u64 = 1_000_000_000;

/// A second.
pub const SECOND_US: u64 = 1_000_000;

/// Adds lines to the files of a run.
#[derive(Default)]
pub struct RunBuilder {
    pub files: RunFiles,
}

impl RunBuilder {
    /// Adds an attempt that is sent at a time and answered 20 ms later.
    pub fn attempt(&mut self, request: u64, kind: RequestKind, at_us: u64) -> &mut Invocation {
        self.files.history.push(HistoryLine::Invoked(Invocation {
            request,
            attempt: 1,
            process: 1,
            session: 7,
            customer: "quarry".to_owned(),
            key_name: "quarry-key".to_owned(),
            host: "akl-a-1".to_owned(),
            kind,
            items: vec![ITEM.to_owned()],
            request_id: None,
            max_age_ms: 0,
            deadline_ms: 5_000,
            due_us: at_us,
            start_us: at_us,
        }));
        match self.files.history.last_mut() {
            Some(HistoryLine::Invoked(invocation)) => invocation,
            _ => unreachable!("the line was just added"),
        }
    }

    /// Ends the attempt that was added last.
    pub fn end(&mut self, verdict: OutcomeVerdict, sqlstate: &str, amount: Option<i64>) {
        let Some(HistoryLine::Invoked(invocation)) = self.files.history.last().cloned() else {
            unreachable!("an attempt was added before");
        };
        let tag = request_tag(invocation.request, invocation.attempt);
        let row = |amount: i64| vec![Some(ITEM.to_owned()), Some(amount.to_string()), Some(tag)];
        self.files.history.push(HistoryLine::Ended(Outcome {
            request: invocation.request,
            attempt: invocation.attempt,
            end_us: invocation.start_us + 20_000,
            verdict,
            sqlstate: sqlstate.to_owned(),
            message: String::new(),
            retry_after_ms: sqlstate.starts_with("53").then_some(100),
            rows: amount.map(row).into_iter().collect(),
        }));
    }

    /// Adds the execution of an attempt, 10 ms after it was sent, in a transaction of its own.
    pub fn execute(&mut self, request: u64, at_us: u64, write: bool, term: u64, offset: u64) {
        self.files.executions.push(Execution {
            member: "orders-1-a".to_owned(),
            group: "orders-1".to_owned(),
            domain: "akl-a".to_owned(),
            connection: 3,
            transaction: request,
            began_us: at_us + 10_000,
            start_us: at_us + 10_000,
            end_us: at_us + 12_000,
            statement: format!("'{}'", request_tag(request, 1)),
            params: Vec::new(),
            write,
            primary: true,
            rows: 1,
            position: LogPosition { term, offset },
        });
    }

    /// Adds an acknowledged write with its execution.
    pub fn write(&mut self, request: u64, at_us: u64, amount: i64, term: u64, offset: u64) {
        self.attempt(request, RequestKind::Write, at_us);
        self.end(OutcomeVerdict::Done, "", Some(amount));
        self.execute(request, at_us, true, term, offset);
    }

    /// Adds an answered read with its execution.
    pub fn read(&mut self, request: u64, at_us: u64, amount: i64, max_age_ms: u32) {
        self.attempt(request, RequestKind::Read, at_us).max_age_ms = max_age_ms;
        self.end(OutcomeVerdict::Done, "", Some(amount));
        self.execute(request, at_us, false, 1, 3);
    }

    /// Adds an operators' change.
    pub fn operate(&mut self, at_us: u64, action: OperatorAction, name: &str, revision: u64) {
        self.files.operators.push(OperatorEvent { at_us, action, name: name.to_owned(), revision });
    }

    /// Adds the status of a host.
    pub fn sample(&mut self, at_us: u64, revision: u64) {
        self.files.observations.push(Observation::Host(HostSample {
            at_us,
            host: "akl-a-1".to_owned(),
            life: 1,
            revision,
            serving_keyed: true,
        }));
    }

    /// Adds the final status of the group's primary, with term 2 from an offset on.
    pub fn finish(&mut self, second_term_from: u64, last: u64) {
        let position = LogPosition { term: 2, offset: last };
        self.files.observations.push(Observation::FinalPrimary(MemberStatus {
            group: GroupName::new("orders-1").expect("a name"),
            member: EndpointName::new("orders-1-b").expect("a name"),
            role: MemberRole::Primary,
            promised_term: 2,
            received: position,
            applied: position,
            term_history: vec![
                TermStart { term: 1, offset: 0 },
                TermStart { term: 2, offset: second_term_from },
            ],
            connections: 0,
            running: 0,
        }));
    }

    /// Adds the observation of a term's primary.
    pub fn promoted(&mut self, at_us: u64, term: u64) {
        let group = "orders-1".to_owned();
        self.files.observations.push(Observation::Promoted(TermSample { at_us, group, term }));
    }

    /// Adds the opening of a session.
    pub fn open(&mut self, key_valid: bool, accepted: bool) {
        self.files.history.push(HistoryLine::Opened(SessionOpened {
            at_us: START_US,
            session: 7,
            customer: "quarry".to_owned(),
            key: "quarry-key".to_owned(),
            key_valid,
            route: "orders".to_owned(),
            open_route: false,
            host: "akl-a-1".to_owned(),
            with_token: false,
            accepted,
        }));
    }

    /// Adds the result of a search for secrets.
    pub fn search(&mut self, found: u64, control_found: u64, complete: bool) {
        let member = "orders-1-a".to_owned();
        let sample = SearchSample { member, found, control_found, complete };
        self.files.observations.push(Observation::Searched(sample));
    }

    /// Adds the limits of the customer.
    pub fn limit(&mut self, rate_per_s: u32, burst: u32) {
        let customer = "quarry".to_owned();
        let sample = LimitSample { customer, rate_per_s, burst };
        self.files.observations.push(Observation::Limit(sample));
    }

    /// Names of the rules that the run violates.
    pub fn violated(&self) -> Vec<&'static str> {
        let record = RunRecord::new(&self.files);
        let violated = RULES.iter().filter(|rule| !rule.violations(&record).is_empty());
        violated.map(|rule| rule.name).collect()
    }
}

/// A run with a failover from term 1 to term 2, a withdrawn key, an absent domain, a leaving
/// endpoint, a shutdown and refusals, in which all goes well.
pub fn good_run() -> RunBuilder {
    let mut run = RunBuilder::default();
    run.open(true, true);
    run.open(false, false);
    run.write(1, START_US, 1, 1, 2);
    run.read(2, START_US + SECOND_US, 1, 0);
    run.write(3, START_US + 2 * SECOND_US, 2, 1, 3);
    // A replica may still show the older amount within the accepted age.
    run.read(4, START_US + 3 * SECOND_US, 1, 2_000);
    run.attempt(5, RequestKind::Write, START_US + 4 * SECOND_US);
    run.end(OutcomeVerdict::NotRun, "53400", None);
    run.promoted(START_US + 5 * SECOND_US, 2);
    run.attempt(6, RequestKind::Write, START_US + 6 * SECOND_US);
    run.end(OutcomeVerdict::MayHaveRun, "08007", None);
    run.write(7, START_US + 7 * SECOND_US, 3, 2, 5);
    run.finish(3, 9);
    run.operate(START_US + 8 * SECOND_US, OperatorAction::WithdrawKey, "quarry-key", 4);
    run.operate(START_US + 8 * SECOND_US, OperatorAction::DomainOut, "akl-a", 5);
    run.operate(START_US + 8 * SECOND_US, OperatorAction::EndpointLeaving, "orders-1-a", 6);
    run.operate(START_US + 8 * SECOND_US, OperatorAction::ShutDownHost, "akl-a-1", 0);
    run.read(8, START_US + 9 * SECOND_US, 3, 0);
    run.sample(START_US, 3);
    run.sample(START_US + 14 * SECOND_US, 6);
    run.search(0, 12, true);
    run.limit(1, 1);
    run
}

/// Guards against rules that reject what the guarantees permit.
#[gtest]
fn a_good_run_has_no_violations() {
    expect_that!(check_run(&good_run().files), eq(&Vec::new()));
}
