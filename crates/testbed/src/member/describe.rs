//! Types of parameters and result columns, before a statement is executed.

use sqlparser::ast::{Expr, InTarget, SelectItem, Value};

use super::datum::ColumnType;
use super::error::SqlError;
use super::expr::{call_parts, expression_type, placeholder_index};
use super::plan::{Plan, column_type, fold};
use super::table::{Column, Database, TableShape};

/// Types of the parameters found so far; unknown ones are nothing.
struct ParameterTypes<'a> {
    shape: Option<&'a TableShape>,
    found: Vec<Option<ColumnType>>,
}

impl ParameterTypes<'_> {
    fn note(&mut self, expr: &Expr, expected: Option<ColumnType>) -> Result<(), SqlError> {
        match expr {
            Expr::Value(value) => {
                if let Value::Placeholder(name) = &value.value {
                    let index = placeholder_index(name)?;
                    let length = self.found.len().max(index + 1);
                    self.found.resize(length, None);
                    self.found[index] = self.found[index].or(expected);
                }
                Ok(())
            }
            Expr::BinaryOp { left, right, .. } => {
                let side = |expr: &Expr| match is_placeholder(expr) {
                    true => None,
                    false => expression_type(expr, self.shape, &[]).ok(),
                };
                let (left_type, right_type) = (side(left), side(right));
                self.note(left, right_type.or(expected))?;
                self.note(right, left_type.or(expected))
            }
            Expr::In { expr, target: InTarget::List(list), .. } => {
                let element = expression_type(expr, self.shape, &[]).ok();
                list.iter().try_for_each(|entry| self.note(entry, element))
            }
            Expr::Nested(inner)
            | Expr::IsNull(inner)
            | Expr::IsNotNull(inner)
            | Expr::UnaryOp { expr: inner, .. } => self.note(inner, expected),
            Expr::Cast { expr, data_type, .. } => self.note(expr, Some(column_type(data_type)?)),
            Expr::Function(function) => match call_parts(function)? {
                (_, Some(argument)) => self.note(argument, Some(ColumnType::Int8)),
                _ => Ok(()),
            },
            _ => Ok(()),
        }
    }

    fn note_items(&mut self, items: &[SelectItem]) -> Result<(), SqlError> {
        items.iter().try_for_each(|item| match item {
            SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                self.note(expr, None)
            }
            _ => Ok(()),
        })
    }

    fn note_plan(&mut self, plan: &Plan) -> Result<(), SqlError> {
        match plan {
            Plan::Insert(plan) => {
                let shape = self.shape;
                for row in &plan.rows {
                    for (index, expr) in row.iter().enumerate() {
                        let column = match plan.columns.get(index) {
                            Some(name) => shape.and_then(|shape| shape.column(name).ok()),
                            None => Some(index),
                        };
                        let expected = column
                            .and_then(|index| shape?.columns.get(index))
                            .map(|column| column.column_type);
                        self.note(expr, expected)?;
                    }
                }
                self.note_items(&plan.returning)
            }
            Plan::Update(plan) => {
                for (name, expr) in &plan.assignments {
                    let column = self.shape.map(|shape| (shape, shape.column(name)));
                    let expected = match column {
                        Some((shape, Ok(index))) => Some(shape.columns[index].column_type),
                        _ => None,
                    };
                    self.note(expr, expected)?;
                }
                plan.filter.iter().try_for_each(|filter| self.note(filter, None))
            }
            Plan::Delete(plan) => plan.filter.iter().try_for_each(|filter| self.note(filter, None)),
            Plan::Select(plan) => {
                self.note_items(&plan.items)?;
                plan.filter.iter().try_for_each(|filter| self.note(filter, None))?;
                plan.limit.iter().try_for_each(|limit| self.note(limit, Some(ColumnType::Int8)))
            }
            _ => Ok(()),
        }
    }
}

fn is_placeholder(expr: &Expr) -> bool {
    matches!(expr, Expr::Value(value) if matches!(value.value, Value::Placeholder(_)))
}

/// Types of a statement's parameters: as the client states them, else by their use, else text.
pub(super) fn parameter_types(
    database: &Database,
    plan: &Plan,
    stated: &[u32],
) -> Result<Vec<ColumnType>, SqlError> {
    let shape = plan.table().map(|name| database.table(name)).transpose()?;
    let mut types = ParameterTypes { shape: shape.map(|table| &table.shape), found: Vec::new() };
    types.note_plan(plan)?;
    let length = types.found.len().max(stated.len());
    let stated_type = |index: usize| match stated.get(index) {
        None | Some(0) => None,
        Some(oid) => Some(ColumnType::of_oid(*oid)),
    };
    let found = |index: usize| types.found.get(index).copied().flatten();
    let choose = |index| stated_type(index).or_else(|| found(index)).unwrap_or(ColumnType::Text);
    Ok((0..length).map(choose).collect())
}

/// Result columns of a statement; empty when it returns no rows.
pub(super) fn result_columns(
    database: &Database,
    plan: &Plan,
    params: &[ColumnType],
) -> Result<Vec<Column>, SqlError> {
    let shape = plan.table().map(|name| database.table(name)).transpose()?;
    let shape = shape.map(|table| &table.shape);
    let items = match plan {
        Plan::Select(plan) => &plan.items,
        Plan::Insert(plan) => &plan.returning,
        Plan::Update(plan) => &plan.returning,
        Plan::Delete(plan) => &plan.returning,
        _ => return Ok(Vec::new()),
    };
    let mut columns = Vec::new();
    for item in items {
        match item {
            SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                columns.extend(shape.iter().flat_map(|shape| shape.columns.iter().cloned()));
            }
            SelectItem::ExprWithAlias { expr, alias } => {
                let column_type = expression_type(expr, shape, params)?;
                columns.push(Column { name: fold(alias), column_type });
            }
            SelectItem::UnnamedExpr(expr) => {
                let column_type = expression_type(expr, shape, params)?;
                columns.push(Column { name: default_name(expr), column_type });
            }
            other => return Err(SqlError::unsupported(other)),
        }
    }
    Ok(columns)
}

/// Name of a result column without an alias.
fn default_name(expr: &Expr) -> String {
    match expr {
        Expr::Identifier(_) | Expr::CompoundIdentifier(_) => super::plan::column_name(expr),
        Expr::Function(function) => call_parts(function).map(|(name, _)| name),
        _ => Ok("?column?".to_owned()),
    }
    .unwrap_or_default()
}
