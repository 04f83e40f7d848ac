//! Tables in memory and the changes that replicas apply to them.

use std::collections::BTreeMap;

use tanagerdeal_wire::wire_type;

use super::datum::{ColumnType, Datum};
use super::error::SqlError;

/// Table of the proxy in which the outcomes of idempotent requests are kept.
pub const REQUEST_TABLE: &str = "tanagerdeal_requests";

/// A row, its values in the order of the columns.
pub type Row = Vec<Datum>;

/// Values of the primary key; a table without one is keyed by a row number.
pub type RowKey = Vec<Datum>;

wire_type! {
    /// A column.
    pub struct Column {
        /// Its name.
        pub name: String,
        /// Its type.
        pub column_type: ColumnType,
    }

    /// Columns and primary key of a table.
    pub struct TableShape {
        /// Its name.
        pub name: String,
        /// Its columns.
        pub columns: Vec<Column>,
        /// Indices of the columns of the primary key; empty for none.
        pub primary_key: Vec<usize>,
    }

    /// One change of a log entry.
    pub enum Change {
        /// A table was created.
        Create(TableShape),
        /// A row was inserted or replaced.
        Put {
            /// The table.
            table: String,
            /// The key of the row.
            key: RowKey,
            /// The row.
            row: Row,
        },
        /// A row was deleted.
        Delete {
            /// The table.
            table: String,
            /// The key of the row.
            key: RowKey,
        },
    }
}

/// A table with its rows.
pub(super) struct Table {
    pub(super) shape: TableShape,
    pub(super) rows: BTreeMap<RowKey, Row>,
}

/// All tables.
pub(super) struct Database {
    tables: BTreeMap<String, Table>,
}

impl TableShape {
    pub(super) fn column(&self, name: &str) -> Result<usize, SqlError> {
        let index = self.columns.iter().position(|column| column.name == name);
        index.ok_or_else(|| SqlError::new("42703", format!("column \"{name}\" does not exist")))
    }

    /// Key of a row; a table without a primary key takes the given row number.
    pub(super) fn key_of(&self, row: &Row, number: u64) -> Result<RowKey, SqlError> {
        if self.primary_key.is_empty() {
            return Ok(vec![Datum::Int(number as i64)]);
        }
        let key: RowKey = self.primary_key.iter().map(|index| row[*index].clone()).collect();
        match key.contains(&Datum::Null) {
            true => Err(SqlError::new("23502", "null value in a column of the primary key")),
            false => Ok(key),
        }
    }
}

impl Database {
    /// A database with the table of idempotent requests only.
    pub(super) fn new() -> Self {
        let column = |name: &str| Column { name: name.to_owned(), column_type: ColumnType::Text };
        let shape = TableShape {
            name: REQUEST_TABLE.to_owned(),
            columns: vec![column("customer"), column("request_id"), column("outcome")],
            primary_key: vec![0, 1],
        };
        let mut database = Self { tables: BTreeMap::new() };
        database.apply(&Change::Create(shape));
        database
    }

    pub(super) fn table(&self, name: &str) -> Result<&Table, SqlError> {
        let missing = || SqlError::new("42P01", format!("relation \"{name}\" does not exist"));
        self.tables.get(name).ok_or_else(missing)
    }

    pub(super) fn apply(&mut self, change: &Change) {
        match change {
            Change::Create(shape) => {
                let table = Table { shape: shape.clone(), rows: BTreeMap::new() };
                self.tables.entry(shape.name.clone()).or_insert(table);
            }
            Change::Put { table, key, row } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.rows.insert(key.clone(), row.clone());
                }
            }
            Change::Delete { table, key } => {
                if let Some(table) = self.tables.get_mut(table) {
                    table.rows.remove(key);
                }
            }
        }
    }
}
