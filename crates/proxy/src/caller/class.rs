//! What the class of a statement means for its request.

use tanagerdeal_core::statement::StatementClass;

/// Whether a statement may have rows that must be checked; FETCH belongs to a transaction.
pub(super) fn may_read(class: &StatementClass) -> bool {
    matches!(class, StatementClass::Read | StatementClass::InTransaction)
}

/// The class under which a statement is placed: a setting may run anywhere.
pub(super) fn placement_class(class: StatementClass, is_open: bool) -> StatementClass {
    match class {
        StatementClass::Read | StatementClass::Write => class,
        StatementClass::Begin { .. } | StatementClass::Commit | StatementClass::Rollback => class,
        _ if is_open => StatementClass::InTransaction,
        _ => StatementClass::Read,
    }
}

/// Whether a statement may leave settings behind on its connection that the proxy does not know of, so
/// that the connection must not serve another session.
pub(super) fn leaves_state(sql: &str) -> bool {
    let lower = sql.to_ascii_lowercase();
    let word = lower.split_whitespace().next().unwrap_or_default();
    lower.contains("set_config") || matches!(word, "do" | "call")
}

/// Whether a text begins with BEGIN or START TRANSACTION, after comments.
pub(super) fn starts_transaction(sql: &str) -> bool {
    let mut rest = sql.trim_start();
    loop {
        let comment_end = match rest.get(..2) {
            Some("--") => rest.find('\n').unwrap_or(rest.len()),
            Some("/*") => match end_of_comment(rest) {
                Some(end) => end,
                None => return false,
            },
            _ => break,
        };
        rest = rest[comment_end..].trim_start();
    }
    let start = rest.get(..5).unwrap_or_default();
    start.eq_ignore_ascii_case("BEGIN") || start.eq_ignore_ascii_case("START")
}

/// Where a block comment at the start of a text ends; comments may be nested.
fn end_of_comment(text: &str) -> Option<usize> {
    let (mut depth, mut at) = (0_usize, 0);
    loop {
        let rest = text.get(at..)?;
        let (open, close) = (rest.find("/*"), rest.find("*/")?);
        match open.filter(|open| *open < close) {
            Some(open) => (depth, at) = (depth + 1, at + open + 2),
            None => (depth, at) = (depth.checked_sub(1)?, at + close + 2),
        }
        if depth == 0 {
            return Some(at);
        }
    }
}
