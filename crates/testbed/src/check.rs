//! Checker: decides from the files of a run alone whether each guarantee held.
//!
//! Each rule is a function from a [`RunRecord`] to the violations it finds. A rule reports only what
//! the files prove; where they leave room, it assumes the order that keeps the guarantee.

mod access;
mod limits;
mod operations;
mod sessions;
mod terms;
mod writes;

use std::collections::BTreeMap;

use tanagerdeal_wire::value_type;

use crate::history::{
    HistoryLine, Invocation, Observation, OperatorEvent, Outcome, OutcomeVerdict, SessionOpened,
};
use crate::load::tag_of;
use crate::member::Execution;

/// Time within which a revoked key, an absent domain or endpoint and a configuration must have
/// taken effect, in microseconds.
pub const EFFECT_BOUND_US: u64 = 5_000_000;

/// Difference that the clocks of two processes of one machine may have, in microseconds.
pub const CLOCK_SLACK_US: u64 = 5_000;

value_type! {
    /// A violation of a guarantee.
    pub struct RuleViolation {
        /// Name of the rule.
        pub rule: &'static str,
        /// What was seen.
        pub text: String,
    }

    /// The lines of a run's files.
    #[derive(Default)]
    pub struct RunFiles {
        /// The load generator's history.
        pub history: Vec<HistoryLine>,
        /// The members' executions.
        pub executions: Vec<Execution>,
        /// The operators' changes.
        pub operators: Vec<OperatorEvent>,
        /// Observations of hosts and members.
        pub observations: Vec<Observation>,
    }
}

/// One attempt of a request with its outcome and its executions.
pub(crate) struct AttemptView<'a> {
    pub(crate) invocation: &'a Invocation,
    pub(crate) outcome: Option<&'a Outcome>,
    pub(crate) executions: Vec<&'a Execution>,
}

/// The files of a run, joined by attempt.
pub struct RunRecord<'a> {
    pub(crate) files: &'a RunFiles,
    /// Attempts by request and number.
    pub(crate) attempts: BTreeMap<(u64, u32), AttemptView<'a>>,
    /// Openings of sessions in the order of the history.
    pub(crate) openings: Vec<&'a SessionOpened>,
}

/// A rule of the checker.
#[derive(Clone, Copy)]
pub struct CheckRule {
    /// Number of the guarantee in the design page; 0 for the rule on refusals.
    pub guarantee: u32,
    /// Its name.
    pub name: &'static str,
    check: fn(&RunRecord<'_>, &mut Vec<String>),
}

/// All rules, in the order of the guarantees.
pub const RULES: [CheckRule; 18] = [
    rule(0, "refused_at_once", operations::refused_at_once),
    rule(1, "read_your_writes", sessions::read_your_writes),
    rule(1, "reads_within_age", sessions::reads_within_age),
    rule(2, "no_ack_by_replaced_primary", terms::no_ack_by_replaced_primary),
    rule(2, "acknowledged_writes_kept", terms::acknowledged_writes_kept),
    rule(3, "transactions_not_mixed", writes::transactions_not_mixed),
    rule(4, "only_valid_keys", access::only_valid_keys),
    rule(5, "no_key_at_endpoints", access::no_key_at_endpoints),
    rule(6, "revoked_keys_stop", access::revoked_keys_stop),
    rule(7, "rate_and_burst", limits::rate_and_burst),
    rule(8, "absent_domain_idle", operations::absent_domain_idle),
    rule(9, "whole_answers", sessions::whole_answers),
    rule(10, "not_run_is_true", writes::not_run_is_true),
    rule(11, "at_most_once", writes::at_most_once),
    rule(11, "acknowledged_writes_ran", writes::acknowledged_writes_ran),
    rule(12, "leaving_endpoint_idle", operations::leaving_endpoint_idle),
    rule(13, "shutdown_interrupts_nothing", operations::shutdown_interrupts_nothing),
    rule(14, "configuration_in_effect", operations::configuration_in_effect),
];

const fn rule(
    guarantee: u32,
    name: &'static str,
    check: fn(&RunRecord<'_>, &mut Vec<String>),
) -> CheckRule {
    CheckRule { guarantee, name, check }
}

impl CheckRule {
    /// Violations of the rule in a run.
    ///
    /// ```
    /// use tanagerdeal_testbed::check::{RULES, RunFiles, RunRecord};
    ///
    /// let files = RunFiles::default();
    /// assert!(RULES[0].violations(&RunRecord::new(&files)).is_empty());
    /// ```
    pub fn violations(&self, record: &RunRecord<'_>) -> Vec<RuleViolation> {
        let mut texts = Vec::new();
        (self.check)(record, &mut texts);
        texts.into_iter().map(|text| RuleViolation { rule: self.name, text }).collect()
    }
}

impl<'a> RunRecord<'a> {
    /// Joins the lines of a run's files.
    ///
    /// ```
    /// use tanagerdeal_testbed::check::{RunFiles, RunRecord};
    ///
    /// let files = RunFiles::default();
    /// assert_eq!(RunRecord::new(&files).attempts(), 0);
    /// ```
    pub fn new(files: &'a RunFiles) -> Self {
        let mut record = Self { files, attempts: BTreeMap::new(), openings: Vec::new() };
        for line in &files.history {
            match line {
                HistoryLine::Opened(opening) => record.openings.push(opening),
                HistoryLine::Invoked(invocation) => {
                    let view = AttemptView { invocation, outcome: None, executions: Vec::new() };
                    record.attempts.insert((invocation.request, invocation.attempt), view);
                }
                HistoryLine::Ended(outcome) => {
                    let key = (outcome.request, outcome.attempt);
                    if let Some(view) = record.attempts.get_mut(&key) {
                        view.outcome = Some(outcome);
                    }
                }
            }
        }
        for execution in &files.executions {
            if let Some(view) = tag_of(execution).and_then(|tag| record.attempts.get_mut(&tag)) {
                view.executions.push(execution);
            }
        }
        record
    }

    /// Number of attempts in the history.
    ///
    /// ```
    /// use tanagerdeal_testbed::check::{RunFiles, RunRecord};
    ///
    /// assert_eq!(RunRecord::new(&RunFiles::default()).attempts(), 0);
    /// ```
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Acknowledged writes and transactions.
    pub(crate) fn acknowledged(&self) -> impl Iterator<Item = &AttemptView<'a>> {
        self.attempts.values().filter(|view| view.is_write() && view.is_done())
    }
}

impl AttemptView<'_> {
    pub(crate) fn is_write(&self) -> bool {
        use crate::history::RequestKind::{Transaction, Write};
        matches!(self.invocation.kind, Write | Transaction)
    }

    pub(crate) fn verdict(&self) -> Option<OutcomeVerdict> {
        self.outcome.map(|outcome| outcome.verdict)
    }

    pub(crate) fn is_done(&self) -> bool {
        self.verdict() == Some(OutcomeVerdict::Done)
    }

    /// Whether the answer tells that a write of the session was lost.
    pub(crate) fn is_told_of_loss(&self) -> bool {
        self.outcome.is_some_and(|outcome| outcome.sqlstate == "40003")
    }

    /// Name of the attempt in messages.
    pub(crate) fn label(&self) -> String {
        let Invocation { request, attempt, customer, .. } = self.invocation;
        format!("request {request}.{attempt} of {customer}")
    }
}

/// Violations of all rules in a run.
///
/// ```
/// use tanagerdeal_testbed::check::{RunFiles, check_run};
///
/// assert!(check_run(&RunFiles::default()).is_empty());
/// ```
pub fn check_run(files: &RunFiles) -> Vec<RuleViolation> {
    let record = RunRecord::new(files);
    RULES.iter().flat_map(|rule| rule.violations(&record)).collect()
}
