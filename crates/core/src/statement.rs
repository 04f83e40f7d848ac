//! Classes of SQL texts.

mod functions;
mod scan;
#[cfg(test)]
mod tests;

use sqlparser::ast::Statement;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::{Token, Tokenizer};
use tanagerdeal_wire::value_type;

use scan::Words;

value_type! {
    /// What a SQL text does, as far as placement is concerned.
    pub enum StatementClass {
        /// Reads only; may run on a replica.
        Read,
        /// Writes, locks, or cannot be classified.
        Write,
        /// Opens a transaction.
        Begin {
            /// Whether it was declared read only.
            read_only: bool,
        },
        /// Ends a transaction with a commit.
        Commit,
        /// Ends a transaction with a rollback.
        Rollback,
        /// Belongs to a transaction that is already open (savepoints).
        InTransaction,
        /// Sets session state that is replayed on each connection.
        SessionSetting,
        /// Sets a proxy setting.
        SetProxySetting {
            /// Name with its prefix.
            name: String,
            /// New value.
            value: String,
        },
        /// Shows a proxy setting.
        ShowProxySetting {
            /// Name with its prefix.
            name: String,
        },
        /// Empty text.
        Empty,
        /// Refused, with the reason.
        Rejected {
            /// The reason.
            reason: String,
        },
    }
}

/// Prefix of the settings that the proxy handles itself.
pub const SETTING_PREFIX: &str = "tanagerdeal.";

/// Table that records idempotent requests; only the proxy itself may use it.
const RECORD_TABLE: &str = "tanagerdeal_requests";

/// Classifies a SQL text; a text that cannot be parsed is a write.
///
/// ```
/// use tanagerdeal_core::statement::{StatementClass, classify};
///
/// assert_eq!(classify("SELECT 1"), StatementClass::Read);
/// assert_eq!(classify("SELECT nextval('s')"), StatementClass::Write);
/// assert_eq!(classify("BEGIN READ ONLY"), StatementClass::Begin { read_only: true });
/// assert!(matches!(classify("LISTEN x"), StatementClass::Rejected { .. }));
/// ```
pub fn classify(sql: &str) -> StatementClass {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, sql).tokenize() else {
        return StatementClass::Write;
    };
    let tokens: Vec<Token> =
        tokens.into_iter().filter(|token| !matches!(token, Token::Whitespace(_))).collect();
    let parts: Vec<&[Token]> = tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|part| !part.is_empty() && *part != [Token::EOF])
        .collect();
    match parts.as_slice() {
        [] => StatementClass::Empty,
        [part] => classify_one(part),
        parts => classify_block(parts),
    }
}

fn classify_one(tokens: &[Token]) -> StatementClass {
    let words = Words(tokens);
    if let Some(reason) = find_unsupported(&words) {
        return reject(reason);
    }
    match words.lower(0).as_str() {
        "begin" => StatementClass::Begin { read_only: is_read_only(&words) },
        "start" if words.is_at(1, "transaction") => {
            StatementClass::Begin { read_only: is_read_only(&words) }
        }
        "commit" | "end" | "rollback" | "abort" => classify_end(&words),
        "savepoint" | "release" | "declare" | "fetch" | "move" | "close" => {
            StatementClass::InTransaction
        }
        "set" => classify_set(&words),
        "reset" => match proxy_setting(&words, 1) {
            Some((name, _)) => StatementClass::SetProxySetting { name, value: String::new() },
            None => StatementClass::SessionSetting,
        },
        "discard" => StatementClass::SessionSetting,
        "show" => match proxy_setting(&words, 1) {
            Some((name, _)) => StatementClass::ShowProxySetting { name },
            None => StatementClass::Read,
        },
        _ if is_pure_query(tokens) => StatementClass::Read,
        _ => StatementClass::Write,
    }
}

/// A text of several statements is accepted only as one transaction, because its parts could not
/// be placed, retried or refused separately.
fn classify_block(parts: &[&[Token]]) -> StatementClass {
    let classes: Vec<StatementClass> = parts.iter().map(|part| classify_one(part)).collect();
    if let Some(rejected) =
        classes.iter().find(|class| matches!(class, StatementClass::Rejected { .. }))
    {
        return rejected.clone();
    }
    match classes.as_slice() {
        [StatementClass::Begin { read_only }, inner @ .., StatementClass::Commit]
            if inner.iter().all(is_block_part) =>
        {
            let is_read = *read_only && inner.iter().all(|class| *class == StatementClass::Read);
            if is_read { StatementClass::Read } else { StatementClass::Write }
        }
        _ => reject("several statements in one text, other than one BEGIN ... COMMIT block"),
    }
}

fn is_block_part(class: &StatementClass) -> bool {
    matches!(class, StatementClass::Read | StatementClass::Write | StatementClass::InTransaction)
}

fn classify_end(words: &Words) -> StatementClass {
    let is_chained = words.has_pair("and", "chain");
    let has_target = (1..=2).any(|at| words.is_at(at, "to"));
    match words.lower(0).as_str() {
        _ if words.is_at(1, "prepared") => StatementClass::Write,
        _ if is_chained => reject("AND CHAIN"),
        "commit" | "end" => StatementClass::Commit,
        _ if has_target => StatementClass::InTransaction,
        _ => StatementClass::Rollback,
    }
}

fn classify_set(words: &Words) -> StatementClass {
    let start = if words.is_at(1, "session") { 2 } else { 1 };
    match words.lower(1).as_str() {
        "local" if proxy_setting(words, 2).is_some() => {
            reject("SET LOCAL of a setting of the proxy")
        }
        "local" | "transaction" | "constraints" => StatementClass::InTransaction,
        _ => match proxy_setting(words, start) {
            Some((name, next)) => match words.value_from(next) {
                Some(value) => StatementClass::SetProxySetting { name, value },
                None => reject("a setting of the proxy takes one value"),
            },
            None => StatementClass::SessionSetting,
        },
    }
}

/// Name of the proxy setting at a place, and the place after it.
fn proxy_setting(words: &Words, at: usize) -> Option<(String, usize)> {
    let prefix = SETTING_PREFIX.trim_end_matches('.');
    match (words.0.get(at + 1), words.0.get(at + 2)) {
        (Some(Token::Period), Some(Token::Word(name))) if words.is_at(at, prefix) => {
            Some((format!("{SETTING_PREFIX}{}", name.value.to_lowercase()), at + 3))
        }
        _ => None,
    }
}

/// Whether the last access mode given is READ ONLY.
fn is_read_only(words: &Words) -> bool {
    let last = (0..words.0.len()).rev().find(|at| words.is_at(*at, "read"));
    last.is_some_and(|at| words.is_at(at + 1, "only"))
}

/// Why a statement cannot be run on a connection that is shared between sessions.
fn find_unsupported(words: &Words) -> Option<&'static str> {
    let is_temporary = |at| words.is_at(at, "temp") || words.is_at(at, "temporary");
    let creates_temporary = words.is_at(0, "create") && (1..=4).any(is_temporary);
    let selects_temporary = (1..words.0.len())
        .any(|at| words.is_at(at, "into") && (1..=2).any(|n| is_temporary(at + n)));
    match words.lower(0).as_str() {
        "listen" | "notify" | "unlisten" => Some("LISTEN, NOTIFY and UNLISTEN"),
        "copy" => Some("COPY"),
        "prepare" | "execute" | "deallocate" => {
            Some("PREPARE, EXECUTE and DEALLOCATE as SQL; use the extended query protocol")
        }
        "declare" if words.has_pair("with", "hold") => Some("cursors WITH HOLD"),
        // The classes rely on the standard reading of string literals.
        "set" | "reset" if words.has("standard_conforming_strings") => {
            Some("changing standard_conforming_strings")
        }
        _ if creates_temporary || selects_temporary => Some("temporary tables"),
        _ if words.has_call(functions::is_session_lock) => Some("advisory locks of the session"),
        _ if words.has(RECORD_TABLE) => Some("access to table tanagerdeal_requests"),
        _ => None,
    }
}

/// Whether a statement is a query without locks, data changes or functions of unknown effect.
fn is_pure_query(tokens: &[Token]) -> bool {
    let words = Words(tokens);
    let changes = ["insert", "update", "delete", "merge", "into"];
    let locks = ["update", "share", "no", "key"].iter().any(|next| words.has_pair("for", next));
    if locks || changes.iter().any(|word| words.has_unquoted(word)) {
        return false;
    }
    if words.has_call(|name| !functions::is_pure(name)) {
        return false;
    }
    let dialect = PostgreSqlDialect {};
    let parsed = Parser::new(&dialect).with_tokens(tokens.to_vec()).parse_statements();
    matches!(parsed.as_deref(), Ok([Statement::Query(_)]))
}

fn reject(reason: &str) -> StatementClass {
    StatementClass::Rejected { reason: format!("not supported: {reason}") }
}
