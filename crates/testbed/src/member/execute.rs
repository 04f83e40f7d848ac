//! Execution of statements for one connection.

use std::sync::Arc;
use std::time::Duration;

use tanagerdeal_wire::member::LogPosition;
use tokio::time::Instant;

use super::Member;
use super::datum::{ColumnType, Datum};
use super::describe::result_columns;
use super::error::SqlError;
use super::expr::Scope;
use super::plan::{ParsedStatement, Plan};
use super::select::sleep_ms;
use super::state::{Execution, MemberData};
use super::table::{Column, Row};
use super::transaction::{Outcome, Stop, Transaction};
use crate::clock::now_us;

/// Longest wait for the lock of a row; then the statement fails with 40001, which also ends
/// deadlocks.
const LOCK_WAIT: Duration = Duration::from_secs(1);

/// State of a connection between statements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum BlockState {
    Idle,
    Open,
    Failed,
}

/// Result of a statement.
pub(super) struct StatementResult {
    pub(super) columns: Vec<Column>,
    pub(super) rows: Vec<Row>,
    pub(super) tag: String,
    /// Position to be reported before the first row or the completion.
    pub(super) position: Option<LogPosition>,
}

/// Executes the statements of one connection; dropping it rolls back.
pub(super) struct Executor {
    member: Arc<Member>,
    connection: u64,
    pub(super) block: BlockState,
    transaction: Option<Transaction>,
    began_us: u64,
    /// Writes of the open transaction, recorded when it is committed.
    uncommitted: Vec<Execution>,
}

/// Counts a statement as running while it lives.
struct RunningGuard<'a>(&'a Member);

impl<'a> RunningGuard<'a> {
    fn new(member: &'a Member) -> Self {
        member.lock().running += 1;
        Self(member)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

impl Drop for Executor {
    fn drop(&mut self) {
        self.roll_back();
    }
}

impl Executor {
    pub(super) fn new(member: Arc<Member>, connection: u64) -> Self {
        Self {
            member,
            connection,
            block: BlockState::Idle,
            transaction: None,
            began_us: 0,
            uncommitted: Vec::new(),
        }
    }

    /// Executes a statement. A failure inside a transaction block makes the block fail.
    pub(super) async fn run(
        &mut self,
        parsed: &ParsedStatement,
        params: &[Datum],
    ) -> Result<StatementResult, SqlError> {
        let result = match (&parsed.plan, self.block) {
            (Plan::Commit, _) => self.commit(),
            (Plan::Rollback, _) => {
                self.roll_back();
                self.block = BlockState::Idle;
                Ok(completed("ROLLBACK", None))
            }
            (_, BlockState::Failed) => {
                let message = "current transaction is aborted, commands ignored until end of block";
                Err(SqlError::new("25P02", message))
            }
            (Plan::Begin, _) => {
                self.begin();
                Ok(completed("BEGIN", None))
            }
            (Plan::Session(tag), _) => Ok(completed(tag, None)),
            _ => self.execute(parsed, params).await,
        };
        if result.is_err() && self.block == BlockState::Open {
            self.fail();
        }
        result
    }

    /// Rolls back and makes an open block fail, as an error inside it does.
    pub(super) fn fail(&mut self) {
        self.roll_back();
        if self.block == BlockState::Open {
            self.block = BlockState::Failed;
        }
    }

    fn begin(&mut self) {
        if self.block == BlockState::Idle {
            self.block = BlockState::Open;
            self.began_us = now_us();
            self.transaction = Some(self.member.lock().new_transaction());
        }
    }

    fn commit(&mut self) -> Result<StatementResult, SqlError> {
        let block = std::mem::replace(&mut self.block, BlockState::Idle);
        let transaction = self.transaction.take();
        let (BlockState::Open, Some(transaction)) = (block, transaction) else {
            let tag = if block == BlockState::Failed { "ROLLBACK" } else { "COMMIT" };
            return Ok(completed(tag, None));
        };
        let mut executions = std::mem::take(&mut self.uncommitted);
        let position = {
            let mut data = self.member.lock();
            let position = data.commit(transaction);
            if let Ok(position) = position {
                for execution in &mut executions {
                    (execution.position, execution.end_us) = (position, now_us());
                }
                self.member.record(&mut data, executions);
            }
            position
        };
        self.member.announce_commit();
        position.map(|position| completed("COMMIT", Some(position)))
    }

    fn roll_back(&mut self) {
        self.uncommitted.clear();
        if let Some(transaction) = self.transaction.take() {
            self.member.lock().locks.release(transaction.id);
            self.member.announce_commit();
        }
    }

    async fn execute(
        &mut self,
        parsed: &ParsedStatement,
        params: &[Datum],
    ) -> Result<StatementResult, SqlError> {
        if self.block == BlockState::Idle {
            self.began_us = now_us();
            self.transaction = Some(self.member.lock().new_transaction());
        }
        let start_us = now_us();
        let result = self.wait_and_execute(parsed, params, start_us).await;
        if self.block == BlockState::Idle {
            self.roll_back();
        }
        result
    }

    /// Serves the statement in a slot, then executes it as soon as all rows it writes are free.
    async fn wait_and_execute(
        &mut self,
        parsed: &ParsedStatement,
        params: &[Datum],
        start_us: u64,
    ) -> Result<StatementResult, SqlError> {
        let member = self.member.clone();
        if parsed.plan.takes_slot() {
            let _permit = member.slots.acquire().await;
            let _running = RunningGuard::new(&member);
            tokio::time::sleep(self.service_time(&parsed.plan, params)?).await;
        }
        let deadline = Instant::now() + LOCK_WAIT;
        loop {
            let released = member.lock_released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            match self.try_execute(parsed, params, start_us) {
                Ok(result) => {
                    if parsed.plan.is_write() && self.block == BlockState::Idle {
                        member.announce_commit();
                    }
                    return Ok(result);
                }
                Err(Stop::Failed(error)) => return Err(error),
                Err(Stop::Locked) => {}
            }
            if tokio::time::timeout_at(deadline, released).await.is_err() {
                let message = "could not serialize access due to concurrent update";
                return Err(SqlError::new("40001", message));
            }
        }
    }

    fn service_time(&self, plan: &Plan, params: &[Datum]) -> Result<Duration, SqlError> {
        let sleep = match plan {
            Plan::Select(plan) => sleep_ms(&plan.items, Scope { shape: None, row: None, params })?,
            _ => 0,
        };
        let fault = Duration::from_millis(self.member.lock().faults.statement_ms + sleep);
        Ok(self.member.options.service_time + fault)
    }

    /// Executes the statement, and commits it outside of a block, in one step.
    fn try_execute(
        &mut self,
        parsed: &ParsedStatement,
        params: &[Datum],
        start_us: u64,
    ) -> Result<StatementResult, Stop> {
        let member = self.member.clone();
        let mut data = member.lock();
        let mut transaction = match self.transaction.take() {
            Some(transaction) => transaction,
            None => data.new_transaction(),
        };
        let executed = execute_in(&mut data, &mut transaction, &parsed.plan, params);
        let transaction_id = transaction.id;
        let (outcome, columns) = match executed {
            Ok(executed) => executed,
            Err(stop) => {
                self.transaction = Some(transaction);
                return Err(stop);
            }
        };
        let open = self.block == BlockState::Open;
        let position = match open {
            true => {
                self.transaction = Some(transaction);
                data.applied()
            }
            false => data.commit(transaction)?,
        };
        let mut execution = describe_execution(&data, parsed, params);
        execution.connection = self.connection;
        execution.transaction = transaction_id;
        (execution.began_us, execution.start_us) = (self.began_us, start_us);
        (execution.rows, execution.position) = (outcome.affected as u64, position);
        match open && parsed.plan.is_write() {
            true => self.uncommitted.push(execution),
            false => member.record(&mut data, vec![execution]),
        }
        let reported = !open || !columns.is_empty();
        Ok(StatementResult {
            tag: full_tag(&parsed.plan, outcome.affected),
            columns,
            rows: outcome.rows,
            position: reported.then_some(position),
        })
    }
}

/// The record of a statement that ends now, without what the connection knows.
fn describe_execution(data: &MemberData, parsed: &ParsedStatement, params: &[Datum]) -> Execution {
    Execution {
        member: data.identity.name.to_string(),
        group: data.identity.group.to_string(),
        domain: data.identity.domain.to_string(),
        connection: 0,
        transaction: 0,
        began_us: 0,
        start_us: 0,
        end_us: now_us(),
        statement: parsed.text.clone(),
        params: params.iter().map(Datum::to_text).collect(),
        write: parsed.plan.is_write(),
        primary: data.is_primary(),
        rows: 0,
        position: LogPosition::default(),
    }
}

fn execute_in(
    data: &mut MemberData,
    transaction: &mut Transaction,
    plan: &Plan,
    params: &[Datum],
) -> Result<(Outcome, Vec<Column>), Stop> {
    if plan.is_write() {
        data.admit_write(transaction, plan.tag())?;
    }
    let types: Vec<ColumnType> = params.iter().map(datum_type).collect();
    let columns = result_columns(&data.database, plan, &types)?;
    let MemberData { database, locks, .. } = data;
    Ok((transaction.execute(database, locks, plan, params)?, columns))
}

fn datum_type(datum: &Datum) -> ColumnType {
    match datum {
        Datum::Int(_) => ColumnType::Int8,
        Datum::Bool(_) => ColumnType::Bool,
        Datum::Null | Datum::Text(_) => ColumnType::Text,
    }
}

fn completed(tag: &str, position: Option<LogPosition>) -> StatementResult {
    StatementResult { columns: Vec::new(), rows: Vec::new(), tag: tag.to_owned(), position }
}

fn full_tag(plan: &Plan, affected: usize) -> String {
    match plan {
        Plan::Insert(_) => format!("INSERT 0 {affected}"),
        Plan::Update(_) | Plan::Delete(_) | Plan::Select(_) => format!("{} {affected}", plan.tag()),
        _ => plan.tag().to_owned(),
    }
}
