//! Transactions: uncommitted changes, row locks, and the execution of statements inside them.

use std::collections::{BTreeMap, HashMap};

use sqlparser::ast::Expr;

use super::datum::Datum;
use super::error::SqlError;
use super::expr::Scope;
use super::plan::{CreatePlan, DeletePlan, InsertPlan, Plan, UpdatePlan};
use super::select::{RowSet, project, select_rows};
use super::table::{Change, Database, Row, RowKey, Table};

/// A row of a table.
pub(super) type RowId = (String, RowKey);

/// Locks on rows, each held by one transaction.
#[derive(Default)]
pub(super) struct LockTable {
    holders: HashMap<RowId, u64>,
    last_row: u64,
}

impl LockTable {
    pub(super) fn is_free(&self, row: &RowId, transaction: u64) -> bool {
        self.holders.get(row).is_none_or(|holder| *holder == transaction)
    }

    /// A number for a row of a table without a primary key, above those of its rows.
    fn next_row(&mut self, table: &Table) -> u64 {
        let last = match table.rows.last_key_value() {
            Some((key, _)) => key.first().cloned(),
            None => None,
        };
        if let Some(Datum::Int(last)) = last {
            self.last_row = self.last_row.max(last.unsigned_abs());
        }
        self.last_row += 1;
        self.last_row
    }

    pub(super) fn release(&mut self, transaction: u64) {
        self.holders.retain(|_, holder| *holder != transaction);
    }
}

/// Uncommitted changes of a transaction.
#[derive(Default)]
pub(super) struct Transaction {
    pub(super) id: u64,
    /// Term in which the first change was made.
    pub(super) term: Option<u64>,
    created: Vec<Change>,
    /// Rows written, nothing for deleted ones.
    written: BTreeMap<String, BTreeMap<RowKey, Option<Row>>>,
}

/// Why a statement could not finish now.
pub(super) enum Stop {
    /// Another transaction holds the lock of a row.
    Locked,
    /// The statement failed.
    Failed(SqlError),
}

impl From<SqlError> for Stop {
    fn from(error: SqlError) -> Self {
        Self::Failed(error)
    }
}

/// Result of a statement: rows returned and rows affected.
pub(super) struct Outcome {
    pub(super) rows: RowSet,
    pub(super) affected: usize,
}

impl Transaction {
    pub(super) fn new(id: u64) -> Self {
        Self { id, ..Self::default() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.created.is_empty() && self.written.values().all(BTreeMap::is_empty)
    }

    /// The changes to be logged.
    pub(super) fn into_changes(self) -> Vec<Change> {
        let mut changes = self.created;
        for (table, rows) in self.written {
            changes.extend(rows.into_iter().map(|(key, row)| match row {
                Some(row) => Change::Put { table: table.clone(), key, row },
                None => Change::Delete { table: table.clone(), key },
            }));
        }
        changes
    }

    /// Rows of a table as the transaction sees them and that pass a filter.
    pub(super) fn matching(
        &self,
        table: &Table,
        filter: Option<&Expr>,
        scope: Scope<'_>,
    ) -> Result<Vec<(RowKey, Row)>, SqlError> {
        let written = self.written.get(&table.shape.name);
        if let Some(key) = super::select::pinned_key(&table.shape, filter, scope)? {
            let row = self.visible(table, &key);
            let rows = row.into_iter().map(|row| (key.clone(), row.clone()));
            return filter_rows(rows, filter, scope);
        }
        let own = |key: &RowKey| written.is_some_and(|rows| rows.contains_key(key));
        let committed = table.rows.iter().filter(|(key, _)| !own(key));
        let committed = committed.map(|(key, row)| (key.clone(), row.clone()));
        let own_rows = written.into_iter().flatten();
        let own_rows = own_rows.filter_map(|(key, row)| Some((key.clone(), row.clone()?)));
        let mut rows = filter_rows(committed.chain(own_rows), filter, scope)?;
        rows.sort_by(|left, right| left.0.cmp(&right.0));
        Ok(rows)
    }

    fn visible<'a>(&'a self, table: &'a Table, key: &RowKey) -> Option<&'a Row> {
        let written = self.written.get(&table.shape.name).and_then(|rows| rows.get(key));
        written.map_or_else(|| table.rows.get(key), Option::as_ref)
    }

    fn put(&mut self, locks: &mut LockTable, table: &str, key: RowKey, row: Option<Row>) {
        locks.holders.insert((table.to_owned(), key.clone()), self.id);
        self.written.entry(table.to_owned()).or_default().insert(key, row);
    }

    /// Executes a statement that reads or writes; nothing is changed when it stops.
    pub(super) fn execute(
        &mut self,
        database: &Database,
        locks: &mut LockTable,
        plan: &Plan,
        params: &[Datum],
    ) -> Result<Outcome, Stop> {
        let shape = plan.table().map(|name| database.table(name)).transpose()?;
        let scope = Scope { shape: shape.map(|table| &table.shape), row: None, params };
        match (plan, shape) {
            (Plan::Create(plan), _) => self.create(database, plan),
            (Plan::Insert(plan), Some(table)) => self.insert(table, locks, plan, scope),
            (Plan::Update(plan), Some(table)) => self.update(table, locks, plan, scope),
            (Plan::Delete(plan), Some(table)) => self.delete(table, locks, plan, scope),
            (Plan::Select(plan), table) => {
                let rows = match table {
                    Some(table) => self.matching(table, plan.filter.as_ref(), scope)?,
                    None => vec![(Vec::new(), Vec::new())],
                };
                if plan.lock_rows {
                    self.lock_rows(locks, plan.table.as_deref().unwrap_or_default(), &rows)?;
                }
                let rows = select_rows(plan, rows, scope)?;
                Ok(Outcome { affected: rows.len(), rows })
            }
            _ => Ok(Outcome { rows: Vec::new(), affected: 0 }),
        }
    }

    fn create(&mut self, database: &Database, plan: &CreatePlan) -> Result<Outcome, Stop> {
        let name = &plan.shape.name;
        match database.table(name) {
            Ok(_) if plan.if_not_exists => {}
            Ok(_) => {
                let message = format!("relation \"{name}\" already exists");
                return Err(SqlError::new("42P07", message).into());
            }
            Err(_) => self.created.push(Change::Create(plan.shape.clone())),
        }
        Ok(Outcome { rows: Vec::new(), affected: 0 })
    }

    fn lock_rows(
        &self,
        locks: &mut LockTable,
        table: &str,
        rows: &[(RowKey, Row)],
    ) -> Result<(), Stop> {
        let ids: Vec<RowId> = rows.iter().map(|(key, _)| (table.to_owned(), key.clone())).collect();
        match ids.iter().all(|id| locks.is_free(id, self.id)) {
            true => {
                locks.holders.extend(ids.into_iter().map(|id| (id, self.id)));
                Ok(())
            }
            false => Err(Stop::Locked),
        }
    }

    fn insert(
        &mut self,
        table: &Table,
        locks: &mut LockTable,
        plan: &InsertPlan,
        scope: Scope<'_>,
    ) -> Result<Outcome, Stop> {
        let name = &table.shape.name;
        let mut new_rows: BTreeMap<RowKey, Row> = BTreeMap::new();
        for values in &plan.rows {
            let row = build_row(table, &plan.columns, values, scope)?;
            let key = table.shape.key_of(&row, locks.next_row(table))?;
            if !locks.is_free(&(name.clone(), key.clone()), self.id) {
                return Err(Stop::Locked);
            }
            let exists = new_rows.contains_key(&key) || self.visible(table, &key).is_some();
            match exists {
                false => drop(new_rows.insert(key, row)),
                true if plan.skip_duplicates => {}
                true => return Err(SqlError::duplicate(name).into()),
            }
        }
        let rows: Vec<&Row> = new_rows.values().collect();
        let outcome =
            Outcome { affected: rows.len(), rows: project(&plan.returning, &rows, scope)? };
        for (key, row) in new_rows {
            self.put(locks, name, key, Some(row));
        }
        Ok(outcome)
    }

    fn update(
        &mut self,
        table: &Table,
        locks: &mut LockTable,
        plan: &UpdatePlan,
        scope: Scope<'_>,
    ) -> Result<Outcome, Stop> {
        let name = &table.shape.name;
        let old_rows = self.matching(table, plan.filter.as_ref(), scope)?;
        let mut new_rows = Vec::new();
        for (key, old) in &old_rows {
            let mut row = old.clone();
            for (column, expr) in &plan.assignments {
                let index = table.shape.column(column)?;
                let value = scope.with_row(old).evaluate(expr)?;
                row[index] = table.shape.columns[index].column_type.convert(value)?;
            }
            let moved = !table.shape.primary_key.is_empty() && table.shape.key_of(&row, 0)? != *key;
            if moved {
                return Err(SqlError::unsupported("changing a primary key").into());
            }
            new_rows.push((key.clone(), row));
        }
        self.lock_rows(locks, name, &old_rows)?;
        let rows: Vec<&Row> = new_rows.iter().map(|(_, row)| row).collect();
        let outcome =
            Outcome { affected: rows.len(), rows: project(&plan.returning, &rows, scope)? };
        for (key, row) in new_rows {
            self.put(locks, name, key, Some(row));
        }
        Ok(outcome)
    }

    fn delete(
        &mut self,
        table: &Table,
        locks: &mut LockTable,
        plan: &DeletePlan,
        scope: Scope<'_>,
    ) -> Result<Outcome, Stop> {
        let name = &table.shape.name;
        let old_rows = self.matching(table, plan.filter.as_ref(), scope)?;
        self.lock_rows(locks, name, &old_rows)?;
        let rows: Vec<&Row> = old_rows.iter().map(|(_, row)| row).collect();
        let outcome =
            Outcome { affected: rows.len(), rows: project(&plan.returning, &rows, scope)? };
        for (key, _) in old_rows {
            self.put(locks, name, key, None);
        }
        Ok(outcome)
    }
}

fn filter_rows(
    rows: impl Iterator<Item = (RowKey, Row)>,
    filter: Option<&Expr>,
    scope: Scope<'_>,
) -> Result<Vec<(RowKey, Row)>, SqlError> {
    let mut passing = Vec::new();
    for (key, row) in rows {
        if scope.with_row(&row).passes(filter)? {
            passing.push((key, row));
        }
    }
    Ok(passing)
}

fn build_row(
    table: &Table,
    columns: &[String],
    values: &[Expr],
    scope: Scope<'_>,
) -> Result<Row, SqlError> {
    let expected = if columns.is_empty() { table.shape.columns.len() } else { columns.len() };
    if values.len() > expected || (values.len() < expected && !columns.is_empty()) {
        return Err(SqlError::new("42601", "INSERT has another number of values than of columns"));
    }
    let mut row = vec![Datum::Null; table.shape.columns.len()];
    for (position, value) in values.iter().enumerate() {
        let index = match columns.get(position) {
            Some(name) => table.shape.column(name)?,
            None => position,
        };
        row[index] = table.shape.columns[index].column_type.convert(scope.evaluate(value)?)?;
    }
    Ok(row)
}
