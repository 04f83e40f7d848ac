//! Evaluation of expressions over one row, and the types of results.

use std::cmp::Ordering;

use sqlparser::ast::{
    BinaryOperator, Expr, Function, FunctionArg, FunctionArgExpr, FunctionArguments, InTarget,
    UnaryOperator, Value,
};

use super::datum::{ColumnType, Datum};
use super::error::SqlError;
use super::plan::{column_name, column_type, last_part};
use super::table::{Row, TableShape};

/// What an expression can refer to.
#[derive(Clone, Copy)]
pub(super) struct Scope<'a> {
    pub(super) shape: Option<&'a TableShape>,
    pub(super) row: Option<&'a Row>,
    pub(super) params: &'a [Datum],
}

impl<'a> Scope<'a> {
    /// The same scope with a row.
    pub(super) fn with_row(self, row: &'a Row) -> Self {
        Self { row: Some(row), ..self }
    }

    fn column(&self, expr: &Expr) -> Result<Datum, SqlError> {
        let name = column_name(expr)?;
        let unknown = || SqlError::new("42703", format!("column \"{name}\" does not exist"));
        let index = self.shape.ok_or_else(unknown)?.column(&name)?;
        self.row.and_then(|row| row.get(index)).cloned().ok_or_else(unknown)
    }

    /// Value of an expression.
    pub(super) fn evaluate(&self, expr: &Expr) -> Result<Datum, SqlError> {
        match expr {
            Expr::Value(value) => self.literal(&value.value),
            Expr::Identifier(_) | Expr::CompoundIdentifier(_) => self.column(expr),
            Expr::Nested(inner) => self.evaluate(inner),
            Expr::Cast { expr, data_type, .. } => {
                column_type(data_type)?.convert(self.evaluate(expr)?)
            }
            Expr::IsNull(inner) => Ok(Datum::Bool(self.evaluate(inner)? == Datum::Null)),
            Expr::IsNotNull(inner) => Ok(Datum::Bool(self.evaluate(inner)? != Datum::Null)),
            Expr::UnaryOp { op, expr } => self.unary(*op, expr),
            Expr::BinaryOp { left, op, right } => self.binary(left, op, right),
            Expr::In { expr, target: InTarget::List(list), negated, .. } => {
                self.in_list(expr, list, *negated)
            }
            other => Err(SqlError::unsupported(other)),
        }
    }

    /// Whether a row passes a filter.
    pub(super) fn passes(&self, filter: Option<&Expr>) -> Result<bool, SqlError> {
        match filter {
            None => Ok(true),
            Some(filter) => Ok(self.evaluate(filter)? == Datum::Bool(true)),
        }
    }

    fn literal(&self, value: &Value) -> Result<Datum, SqlError> {
        match value {
            Value::Null => Ok(Datum::Null),
            Value::Boolean(value) => Ok(Datum::Bool(*value)),
            Value::SingleQuotedString(text) | Value::EscapedStringLiteral(text) => {
                Ok(Datum::Text(text.clone()))
            }
            Value::Number(text, _) => ColumnType::Int8.convert(Datum::Text(text.clone())),
            Value::Placeholder(name) => {
                let index = placeholder_index(name)?;
                let missing = || SqlError::new("42P02", format!("there is no parameter {name}"));
                self.params.get(index).cloned().ok_or_else(missing)
            }
            other => Err(SqlError::unsupported(other)),
        }
    }

    fn unary(&self, op: UnaryOperator, expr: &Expr) -> Result<Datum, SqlError> {
        match (op, self.evaluate(expr)?) {
            (_, Datum::Null) => Ok(Datum::Null),
            (UnaryOperator::Minus, Datum::Int(value)) => Ok(Datum::Int(value.wrapping_neg())),
            (UnaryOperator::Plus, Datum::Int(value)) => Ok(Datum::Int(value)),
            (UnaryOperator::Not, Datum::Bool(value)) => Ok(Datum::Bool(!value)),
            (op, _) => Err(SqlError::unsupported(op)),
        }
    }

    fn binary(&self, left: &Expr, op: &BinaryOperator, right: &Expr) -> Result<Datum, SqlError> {
        let (left, right) = (self.evaluate(left)?, self.evaluate(right)?);
        match (op, &left, &right) {
            (BinaryOperator::And, Datum::Bool(false), _)
            | (BinaryOperator::And, _, Datum::Bool(false)) => Ok(Datum::Bool(false)),
            (BinaryOperator::Or, Datum::Bool(true), _)
            | (BinaryOperator::Or, _, Datum::Bool(true)) => Ok(Datum::Bool(true)),
            (_, Datum::Null, _) | (_, _, Datum::Null) => Ok(Datum::Null),
            (BinaryOperator::And, Datum::Bool(true), Datum::Bool(true)) => Ok(Datum::Bool(true)),
            (BinaryOperator::Or, Datum::Bool(false), Datum::Bool(false)) => Ok(Datum::Bool(false)),
            (BinaryOperator::StringConcat, _, _) => {
                let text = |datum: &Datum| datum.to_text().unwrap_or_default();
                Ok(Datum::Text(text(&left) + &text(&right)))
            }
            _ => match comparison(op) {
                Some(accepts) => Ok(Datum::Bool(accepts(compare(&left, &right)?))),
                None => arithmetic(op, &left, &right),
            },
        }
    }

    fn in_list(&self, expr: &Expr, list: &[Expr], negated: bool) -> Result<Datum, SqlError> {
        let value = self.evaluate(expr)?;
        let mut found = false;
        for entry in list {
            let entry = self.evaluate(entry)?;
            found |= entry != Datum::Null && compare(&value, &entry)? == Ordering::Equal;
        }
        Ok(Datum::Bool(found != negated))
    }
}

/// Index of a parameter `$n`.
pub(super) fn placeholder_index(name: &str) -> Result<usize, SqlError> {
    let number = name.strip_prefix('$').and_then(|digits| digits.parse::<usize>().ok());
    let index = number.and_then(|number| number.checked_sub(1));
    index.ok_or_else(|| SqlError::new("42601", format!("invalid parameter {name}")))
}

fn comparison(op: &BinaryOperator) -> Option<fn(Ordering) -> bool> {
    match op {
        BinaryOperator::Eq => Some(Ordering::is_eq),
        BinaryOperator::NotEq => Some(Ordering::is_ne),
        BinaryOperator::Lt => Some(Ordering::is_lt),
        BinaryOperator::LtEq => Some(Ordering::is_le),
        BinaryOperator::Gt => Some(Ordering::is_gt),
        BinaryOperator::GtEq => Some(Ordering::is_ge),
        _ => None,
    }
}

/// Order of two values; a text literal compared with an integer is read as one.
fn compare(left: &Datum, right: &Datum) -> Result<Ordering, SqlError> {
    match (left, right) {
        (Datum::Int(_), Datum::Text(_)) => Ok(left.cmp(&ColumnType::Int8.convert(right.clone())?)),
        (Datum::Text(_), Datum::Int(_)) => Ok(ColumnType::Int8.convert(left.clone())?.cmp(right)),
        _ => Ok(left.cmp(right)),
    }
}

fn arithmetic(op: &BinaryOperator, left: &Datum, right: &Datum) -> Result<Datum, SqlError> {
    let integer = |datum: &Datum| match ColumnType::Int8.convert(datum.clone())? {
        Datum::Int(value) => Ok(value),
        _ => Err(SqlError::new("42883", "operator does not exist for these types")),
    };
    let (left, right) = (integer(left)?, integer(right)?);
    let result = match op {
        BinaryOperator::Plus => left.checked_add(right),
        BinaryOperator::Minus => left.checked_sub(right),
        BinaryOperator::Multiply => left.checked_mul(right),
        BinaryOperator::Divide | BinaryOperator::Modulo if right == 0 => {
            return Err(SqlError::new("22012", "division by zero"));
        }
        BinaryOperator::Divide => left.checked_div(right),
        BinaryOperator::Modulo => left.checked_rem(right),
        other => return Err(SqlError::unsupported(other)),
    };
    result.map(Datum::Int).ok_or_else(|| SqlError::new("22003", "integer out of range"))
}

/// Name and single argument of a function call; no argument for `*`.
pub(super) fn call_parts(function: &Function) -> Result<(String, Option<&Expr>), SqlError> {
    let name = last_part(&function.name)?;
    let FunctionArguments::List(list) = &function.args else {
        return Err(SqlError::unsupported(function));
    };
    match list.args.as_slice() {
        [] | [FunctionArg::Unnamed(FunctionArgExpr::Wildcard)] => Ok((name, None)),
        [FunctionArg::Unnamed(FunctionArgExpr::Expr(argument))] => Ok((name, Some(argument))),
        _ => Err(SqlError::unsupported(function)),
    }
}

/// Type of an expression's value.
pub(super) fn expression_type(
    expr: &Expr,
    shape: Option<&TableShape>,
    params: &[ColumnType],
) -> Result<ColumnType, SqlError> {
    match expr {
        Expr::Identifier(_) | Expr::CompoundIdentifier(_) => {
            let name = column_name(expr)?;
            let unknown = || SqlError::new("42703", format!("column \"{name}\" does not exist"));
            let shape = shape.ok_or_else(unknown)?;
            Ok(shape.columns[shape.column(&name)?].column_type)
        }
        Expr::Value(value) => match &value.value {
            Value::Number(text, _) if text.parse::<i32>().is_ok() => Ok(ColumnType::Int4),
            Value::Number(..) => Ok(ColumnType::Int8),
            Value::Boolean(_) => Ok(ColumnType::Bool),
            Value::Placeholder(name) => {
                let index = placeholder_index(name)?;
                Ok(params.get(index).copied().unwrap_or(ColumnType::Text))
            }
            _ => Ok(ColumnType::Text),
        },
        Expr::Nested(inner) => expression_type(inner, shape, params),
        Expr::Cast { data_type, .. } => column_type(data_type),
        Expr::UnaryOp { op: UnaryOperator::Not, .. } => Ok(ColumnType::Bool),
        Expr::UnaryOp { expr, .. } => expression_type(expr, shape, params),
        Expr::BinaryOp { op: BinaryOperator::StringConcat, .. } => Ok(ColumnType::Text),
        Expr::BinaryOp { left, op, right } if arithmetic_operator(op) => {
            let left = expression_type(left, shape, params)?;
            Ok(left.max(expression_type(right, shape, params)?).min(ColumnType::Int8))
        }
        Expr::Function(function) => match call_parts(function)? {
            (name, Some(argument)) if matches!(name.as_str(), "min" | "max") => {
                expression_type(argument, shape, params)
            }
            _ => Ok(ColumnType::Int8),
        },
        _ => Ok(ColumnType::Bool),
    }
}

fn arithmetic_operator(op: &BinaryOperator) -> bool {
    matches!(
        op,
        BinaryOperator::Plus
            | BinaryOperator::Minus
            | BinaryOperator::Multiply
            | BinaryOperator::Divide
            | BinaryOperator::Modulo
    )
}
