//! Parsing of statements, their parameters' types and their result columns.

use sqlparser::ast::{
    AssignmentTarget, ColumnOption, CreateTable, DataType, Expr, FromTable, Ident, ObjectName,
    ObjectNamePart, OnConflictAction, OnInsert, Query, Select, SetExpr, Statement, TableConstraint,
    TableFactor, TableObject, TableWithJoins,
};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use super::datum::ColumnType;
use super::error::SqlError;
use super::table::{Column, TableShape};

/// A statement in the form in which it is executed.
#[derive(Clone)]
pub(super) enum Plan {
    /// Nothing but white space or comments.
    Empty,
    Begin,
    Commit,
    Rollback,
    /// A session command that is accepted and has no effect, with its tag.
    Session(&'static str),
    Create(CreatePlan),
    Insert(InsertPlan),
    Update(UpdatePlan),
    Delete(DeletePlan),
    Select(Box<SelectPlan>),
}

/// `CREATE TABLE`.
#[derive(Clone)]
pub(super) struct CreatePlan {
    pub(super) shape: TableShape,
    pub(super) if_not_exists: bool,
}

/// `INSERT`.
#[derive(Clone)]
pub(super) struct InsertPlan {
    pub(super) table: String,
    pub(super) columns: Vec<String>,
    pub(super) rows: Vec<Vec<Expr>>,
    pub(super) skip_duplicates: bool,
    pub(super) returning: Vec<sqlparser::ast::SelectItem>,
}

/// `UPDATE`.
#[derive(Clone)]
pub(super) struct UpdatePlan {
    pub(super) table: String,
    pub(super) assignments: Vec<(String, Expr)>,
    pub(super) filter: Option<Expr>,
    pub(super) returning: Vec<sqlparser::ast::SelectItem>,
}

/// `DELETE`.
#[derive(Clone)]
pub(super) struct DeletePlan {
    pub(super) table: String,
    pub(super) filter: Option<Expr>,
    pub(super) returning: Vec<sqlparser::ast::SelectItem>,
}

/// `SELECT` from one table or from none.
#[derive(Clone)]
pub(super) struct SelectPlan {
    pub(super) table: Option<String>,
    pub(super) items: Vec<sqlparser::ast::SelectItem>,
    pub(super) filter: Option<Expr>,
    /// Expressions to sort by, with whether the order is descending.
    pub(super) order: Vec<(Expr, bool)>,
    pub(super) limit: Option<Expr>,
    pub(super) lock_rows: bool,
}

impl Plan {
    /// Tag without the number of rows.
    pub(super) fn tag(&self) -> &'static str {
        match self {
            Self::Empty => "",
            Self::Begin => "BEGIN",
            Self::Commit => "COMMIT",
            Self::Rollback => "ROLLBACK",
            Self::Session(tag) => tag,
            Self::Create(_) => "CREATE TABLE",
            Self::Insert(_) => "INSERT",
            Self::Update(_) => "UPDATE",
            Self::Delete(_) => "DELETE",
            Self::Select(_) => "SELECT",
        }
    }

    /// Whether the statement takes an execution slot.
    pub(super) fn takes_slot(&self) -> bool {
        !matches!(
            self,
            Self::Empty | Self::Begin | Self::Commit | Self::Rollback | Self::Session(_)
        )
    }

    /// Whether the statement changes data.
    pub(super) fn is_write(&self) -> bool {
        matches!(self, Self::Create(_) | Self::Insert(_) | Self::Update(_) | Self::Delete(_))
    }

    pub(super) fn table(&self) -> Option<&str> {
        match self {
            Self::Insert(plan) => Some(&plan.table),
            Self::Update(plan) => Some(&plan.table),
            Self::Delete(plan) => Some(&plan.table),
            Self::Select(plan) => plan.table.as_deref(),
            _ => None,
        }
    }
}

/// A statement's text with its plan.
#[derive(Clone)]
pub(super) struct ParsedStatement {
    pub(super) text: String,
    pub(super) plan: Plan,
}

/// Parses a text of one or more statements.
pub(super) fn parse_text(text: &str) -> Result<Vec<ParsedStatement>, SqlError> {
    if let Some(tag) = session_command(text) {
        return Ok(vec![ParsedStatement { text: text.to_owned(), plan: Plan::Session(tag) }]);
    }
    let statements = Parser::parse_sql(&PostgreSqlDialect {}, text)
        .map_err(|error| SqlError::new("42601", format!("syntax error: {error}")))?;
    let single = statements.len() == 1;
    let parsed = statements.into_iter().map(|statement| {
        let text = if single { text.to_owned() } else { statement.to_string() };
        Ok(ParsedStatement { text, plan: plan_statement(statement)? })
    });
    parsed.collect()
}

/// Tag of a session command, which is accepted without being parsed.
fn session_command(text: &str) -> Option<&'static str> {
    if text.trim_end().trim_end_matches(';').contains(';') {
        return None;
    }
    let word = text.trim_start().split(|c: char| !c.is_ascii_alphabetic()).next()?;
    match word.to_ascii_uppercase().as_str() {
        "SET" => Some("SET"),
        "RESET" => Some("RESET"),
        "DISCARD" => Some("DISCARD ALL"),
        "DEALLOCATE" => Some("DEALLOCATE"),
        _ => None,
    }
}

fn plan_statement(statement: Statement) -> Result<Plan, SqlError> {
    match statement {
        Statement::StartTransaction { .. } => Ok(Plan::Begin),
        Statement::Commit { .. } => Ok(Plan::Commit),
        Statement::Rollback { savepoint: None, .. } => Ok(Plan::Rollback),
        Statement::Set(_) => Ok(Plan::Session("SET")),
        Statement::CreateTable(create) => plan_create(create).map(Plan::Create),
        Statement::Insert(insert) => plan_insert(insert).map(Plan::Insert),
        Statement::Update(update) => plan_update(update).map(Plan::Update),
        Statement::Delete(delete) => plan_delete(delete).map(Plan::Delete),
        Statement::Query(query) => plan_query(*query).map(|plan| Plan::Select(Box::new(plan))),
        other => Err(SqlError::unsupported(other)),
    }
}

fn plan_create(create: CreateTable) -> Result<CreatePlan, SqlError> {
    let mut primary_key = Vec::new();
    let mut columns = Vec::new();
    for definition in &create.columns {
        let name = fold(&definition.name);
        let is_key = |option: &ColumnOption| matches!(option, ColumnOption::PrimaryKey(_));
        if definition.options.iter().any(|entry| is_key(&entry.option)) {
            primary_key.push(columns.len());
        }
        columns.push(Column { name, column_type: column_type(&definition.data_type)? });
    }
    let mut shape = TableShape { name: last_part(&create.name)?, columns, primary_key };
    for constraint in &create.constraints {
        let TableConstraint::PrimaryKey(key) = constraint else {
            return Err(SqlError::unsupported(constraint));
        };
        for column in &key.columns {
            let index = shape.column(&column_name(&column.column.expr)?)?;
            shape.primary_key.push(index);
        }
    }
    Ok(CreatePlan { shape, if_not_exists: create.if_not_exists })
}

fn plan_insert(insert: sqlparser::ast::Insert) -> Result<InsertPlan, SqlError> {
    let TableObject::TableName(name) = &insert.table else {
        return Err(SqlError::unsupported("INSERT into a function"));
    };
    let skip_duplicates = match &insert.on {
        None => false,
        Some(OnInsert::OnConflict(conflict)) => match conflict.action {
            OnConflictAction::DoNothing => true,
            _ => return Err(SqlError::unsupported("ON CONFLICT DO UPDATE")),
        },
        Some(_) => return Err(SqlError::unsupported("this ON clause")),
    };
    let source = insert.source.map(|query| *query.body);
    let Some(SetExpr::Values(values)) = source else {
        return Err(SqlError::unsupported("INSERT without VALUES"));
    };
    Ok(InsertPlan {
        table: last_part(name)?,
        columns: insert.columns.iter().map(last_part).collect::<Result<_, _>>()?,
        rows: values.rows.into_iter().map(|row| row.content).collect(),
        skip_duplicates,
        returning: insert.returning.unwrap_or_default(),
    })
}

fn plan_update(update: sqlparser::ast::Update) -> Result<UpdatePlan, SqlError> {
    let mut assignments = Vec::new();
    for assignment in update.assignments {
        let AssignmentTarget::ColumnName(name) = &assignment.target else {
            return Err(SqlError::unsupported("assignment to several columns"));
        };
        assignments.push((last_part(name)?, assignment.value));
    }
    Ok(UpdatePlan {
        table: table_name(&update.table)?,
        assignments,
        filter: update.selection,
        returning: update.returning.unwrap_or_default(),
    })
}

fn plan_delete(delete: sqlparser::ast::Delete) -> Result<DeletePlan, SqlError> {
    let (FromTable::WithFromKeyword(tables) | FromTable::WithoutKeyword(tables)) = &delete.from;
    let [table] = tables.as_slice() else {
        return Err(SqlError::unsupported("DELETE from several tables"));
    };
    Ok(DeletePlan {
        table: table_name(table)?,
        filter: delete.selection,
        returning: delete.returning.unwrap_or_default(),
    })
}

fn plan_query(query: Query) -> Result<SelectPlan, SqlError> {
    let SetExpr::Select(select) = *query.body else {
        return Err(SqlError::unsupported("this kind of query"));
    };
    let table = select_table(&select)?;
    let order = match query.order_by.map(|order| order.kind) {
        None => Vec::new(),
        Some(sqlparser::ast::OrderByKind::Expressions(list)) => list
            .into_iter()
            .map(|entry| {
                let descending =
                    matches!(entry.options.sort, Some(sqlparser::ast::OrderBySort::Desc));
                (entry.expr, descending)
            })
            .collect(),
        Some(_) => return Err(SqlError::unsupported("ORDER BY ALL")),
    };
    let limit = match query.limit_clause {
        None => None,
        Some(sqlparser::ast::LimitClause::LimitOffset { limit, offset: None, .. }) => limit,
        Some(_) => return Err(SqlError::unsupported("OFFSET")),
    };
    let lock_rows = !query.locks.is_empty();
    Ok(SelectPlan {
        table,
        items: select.projection,
        filter: select.selection,
        order,
        limit,
        lock_rows,
    })
}

fn select_table(select: &Select) -> Result<Option<String>, SqlError> {
    match select.from.as_slice() {
        [] => Ok(None),
        [table] => table_name(table).map(Some),
        _ => Err(SqlError::unsupported("several tables")),
    }
}

fn table_name(table: &TableWithJoins) -> Result<String, SqlError> {
    match &table.relation {
        TableFactor::Table { name, .. } if table.joins.is_empty() => last_part(name),
        _ => Err(SqlError::unsupported("joins and subqueries")),
    }
}

pub(super) fn last_part(name: &ObjectName) -> Result<String, SqlError> {
    match name.0.last() {
        Some(ObjectNamePart::Identifier(ident)) => Ok(fold(ident)),
        _ => Err(SqlError::unsupported(name)),
    }
}

/// An identifier in lower case unless it is quoted.
pub(super) fn fold(ident: &Ident) -> String {
    match ident.quote_style {
        None => ident.value.to_lowercase(),
        Some(_) => ident.value.clone(),
    }
}

pub(super) fn column_name(expr: &Expr) -> Result<String, SqlError> {
    match expr {
        Expr::Identifier(ident) => Ok(fold(ident)),
        Expr::CompoundIdentifier(parts) if !parts.is_empty() => Ok(fold(&parts[parts.len() - 1])),
        other => Err(SqlError::unsupported(other)),
    }
}

pub(super) fn column_type(data_type: &DataType) -> Result<ColumnType, SqlError> {
    match data_type {
        DataType::Int(_)
        | DataType::Integer(_)
        | DataType::Int4(_)
        | DataType::SmallInt(_)
        | DataType::Int2(_) => Ok(ColumnType::Int4),
        DataType::BigInt(_) | DataType::Int8(_) => Ok(ColumnType::Int8),
        DataType::Text
        | DataType::Varchar(_)
        | DataType::CharacterVarying(_)
        | DataType::Char(_)
        | DataType::Uuid => Ok(ColumnType::Text),
        DataType::Boolean | DataType::Bool => Ok(ColumnType::Bool),
        other => Err(SqlError::unsupported(other)),
    }
}
