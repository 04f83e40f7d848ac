//! Selection: lookup by primary key, order, limit, aggregates and result columns.

use std::cmp::Ordering;

use sqlparser::ast::{BinaryOperator, Expr, SelectItem};

use super::datum::Datum;
use super::error::SqlError;
use super::expr::{Scope, call_parts};
use super::plan::{SelectPlan, column_name};
use super::table::{Row, RowKey, TableShape};

/// Rows of a result.
pub(super) type RowSet = Vec<Row>;

/// The primary key that a filter fixes by equalities joined with AND.
pub(super) fn pinned_key(
    shape: &TableShape,
    filter: Option<&Expr>,
    scope: Scope<'_>,
) -> Result<Option<RowKey>, SqlError> {
    let Some(filter) = filter.filter(|_| !shape.primary_key.is_empty()) else { return Ok(None) };
    let mut equalities = Vec::new();
    collect_equalities(filter, &mut equalities);
    let mut key = Vec::new();
    for index in &shape.primary_key {
        let column = &shape.columns[*index];
        let value = equalities.iter().find(|(name, _)| *name == column.name);
        let Some((_, expr)) = value else { return Ok(None) };
        match scope.evaluate(expr).and_then(|value| column.column_type.convert(value)) {
            Ok(value) => key.push(value),
            Err(_) => return Ok(None),
        }
    }
    Ok(Some(key))
}

fn collect_equalities<'a>(filter: &'a Expr, equalities: &mut Vec<(String, &'a Expr)>) {
    match filter {
        Expr::Nested(inner) => collect_equalities(inner, equalities),
        Expr::BinaryOp { left, op: BinaryOperator::And, right } => {
            collect_equalities(left, equalities);
            collect_equalities(right, equalities);
        }
        Expr::BinaryOp { left, op: BinaryOperator::Eq, right } => {
            match (column_name(left), column_name(right)) {
                (Ok(name), Err(_)) => equalities.push((name, right)),
                (Err(_), Ok(name)) => equalities.push((name, left)),
                _ => {}
            }
        }
        _ => {}
    }
}

/// Sorts, cuts and projects the rows that passed the filter.
pub(super) fn select_rows(
    plan: &SelectPlan,
    rows: Vec<(RowKey, Row)>,
    scope: Scope<'_>,
) -> Result<RowSet, SqlError> {
    let mut rows: Vec<Row> = rows.into_iter().map(|(_, row)| row).collect();
    if plan.items.iter().any(is_aggregate) {
        return Ok(vec![aggregate(&plan.items, &rows, scope)?]);
    }
    sort_rows(&mut rows, &plan.order, scope)?;
    if let Some(limit) = &plan.limit {
        match scope.evaluate(limit)? {
            Datum::Int(limit) => rows.truncate(usize::try_from(limit).unwrap_or(0)),
            Datum::Null => {}
            _ => return Err(SqlError::new("42804", "argument of LIMIT must be an integer")),
        }
    }
    project(&plan.items, &rows.iter().collect::<Vec<_>>(), scope)
}

fn sort_rows(
    rows: &mut Vec<Row>,
    order: &[(Expr, bool)],
    scope: Scope<'_>,
) -> Result<(), SqlError> {
    let mut keyed = Vec::new();
    for row in rows.drain(..) {
        let keys = order.iter().map(|(expr, _)| scope.with_row(&row).evaluate(expr));
        keyed.push((keys.collect::<Result<Vec<_>, _>>()?, row));
    }
    keyed.sort_by(|left, right| {
        let pairs = left.0.iter().zip(&right.0).zip(order);
        let orders = pairs.map(|((left, right), (_, descending))| match descending {
            true => right.cmp(left),
            false => left.cmp(right),
        });
        orders.fold(Ordering::Equal, Ordering::then)
    });
    rows.extend(keyed.into_iter().map(|(_, row)| row));
    Ok(())
}

/// Evaluates result columns for each row; no columns give no rows.
pub(super) fn project(
    items: &[SelectItem],
    rows: &[&Row],
    scope: Scope<'_>,
) -> Result<RowSet, SqlError> {
    if items.is_empty() {
        return Ok(Vec::new());
    }
    let mut result = Vec::with_capacity(rows.len());
    for row in rows {
        let scope = Scope { row: Some(row), ..scope };
        let mut values = Vec::new();
        for item in items {
            match item {
                SelectItem::Wildcard(_) | SelectItem::QualifiedWildcard(..) => {
                    values.extend(row.iter().cloned());
                }
                SelectItem::UnnamedExpr(expr) | SelectItem::ExprWithAlias { expr, .. } => {
                    values.push(call_or_evaluate(expr, scope)?);
                }
                other => return Err(SqlError::unsupported(other)),
            }
        }
        result.push(values);
    }
    Ok(result)
}

/// Milliseconds that `pg_sleep_ms` calls among the result columns ask for.
pub(super) fn sleep_ms(items: &[SelectItem], scope: Scope<'_>) -> Result<u64, SqlError> {
    let mut total = 0;
    for item in items {
        let (SelectItem::UnnamedExpr(Expr::Function(call))
        | SelectItem::ExprWithAlias { expr: Expr::Function(call), .. }) = item
        else {
            continue;
        };
        if let (name, Some(argument)) = call_parts(call)?
            && name == "pg_sleep_ms"
            && let Datum::Int(value) = scope.evaluate(argument)?
        {
            total += u64::try_from(value).unwrap_or(0);
        }
    }
    Ok(total)
}

fn call_or_evaluate(expr: &Expr, scope: Scope<'_>) -> Result<Datum, SqlError> {
    let Expr::Function(call) = expr else { return scope.evaluate(expr) };
    match call_parts(call)? {
        (name, Some(argument)) if name == "pg_sleep_ms" => scope.evaluate(argument),
        (name, _) => Err(SqlError::unsupported(format!("function {name}"))),
    }
}

fn is_aggregate(item: &SelectItem) -> bool {
    let (SelectItem::UnnamedExpr(Expr::Function(call))
    | SelectItem::ExprWithAlias { expr: Expr::Function(call), .. }) = item
    else {
        return false;
    };
    call_parts(call).is_ok_and(|(name, _)| matches!(name.as_str(), "count" | "sum" | "min" | "max"))
}

fn aggregate(items: &[SelectItem], rows: &[Row], scope: Scope<'_>) -> Result<Row, SqlError> {
    let mut values = Vec::new();
    for item in items {
        let (SelectItem::UnnamedExpr(Expr::Function(call))
        | SelectItem::ExprWithAlias { expr: Expr::Function(call), .. }) = item
        else {
            return Err(SqlError::unsupported("columns next to aggregates"));
        };
        let (name, argument) = call_parts(call)?;
        let Some(argument) = argument else {
            values.push(Datum::Int(rows.len() as i64));
            continue;
        };
        let arguments = rows.iter().map(|row| scope.with_row(row).evaluate(argument));
        let mut arguments = arguments.collect::<Result<Vec<_>, _>>()?;
        arguments.retain(|datum| *datum != Datum::Null);
        values.push(match name.as_str() {
            "count" => Datum::Int(arguments.len() as i64),
            "min" => arguments.into_iter().min().unwrap_or(Datum::Null),
            "max" => arguments.into_iter().max().unwrap_or(Datum::Null),
            _ if arguments.is_empty() => Datum::Null,
            _ => Datum::Int(arguments.iter().map(integer).sum()),
        });
    }
    Ok(values)
}

fn integer(datum: &Datum) -> i64 {
    match datum {
        Datum::Int(value) => *value,
        _ => 0,
    }
}
