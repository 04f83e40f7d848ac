//! Comparison of log positions across terms, by a group's term history.

use tanagerdeal_wire::member::{LogPosition, TermStart};
use tanagerdeal_wire::value_type;

value_type! {
    /// Result of comparing a position with a watermark.
    #[derive(Copy)]
    pub(crate) enum Coverage {
        /// The log up to the position includes the watermark.
        Contained,
        /// The watermark is not included, or not known to be.
        Behind,
        /// The watermark was truncated from the log, which continues from this position.
        Lost(LogPosition),
    }
}

/// Compares a position in the log that `history` describes with a watermark.
pub(crate) fn compare(
    history: &[TermStart],
    watermark: LogPosition,
    reached: LogPosition,
) -> Coverage {
    if is_truncated(history, reached) {
        return Coverage::Behind;
    }
    let reached = advance_term(history, reached);
    let by_offset = match reached.offset >= watermark.offset {
        true => Coverage::Contained,
        false => Coverage::Behind,
    };
    match (watermark.offset, reached.term) {
        (0, _) => Coverage::Contained,
        (_, term) if term < watermark.term => Coverage::Behind,
        (_, term) if term == watermark.term => by_offset,
        (_, term) => match term_end(history, watermark.term, term) {
            None => Coverage::Behind,
            Some(end) if watermark.offset <= end => by_offset,
            Some(end) => Coverage::Lost(LogPosition { term, offset: end }),
        },
    }
}

/// Offset at which the first term above `term` began, if the history includes the term `until`.
fn term_end(history: &[TermStart], term: u64, until: u64) -> Option<u64> {
    let is_complete = history.iter().any(|start| start.term == until);
    let next = history.iter().find(|start| start.term > term && start.term <= until);
    next.filter(|_| is_complete).map(|start| start.offset)
}

/// Whether a position lies in a tail that was truncated: a later term began at a lower offset.
pub(crate) fn is_truncated(history: &[TermStart], position: LogPosition) -> bool {
    let next = history.iter().find(|start| start.term > position.term);
    next.is_some_and(|start| start.offset < position.offset)
}

/// Raises the term of a position to that of the last term that began at or before it.
///
/// A new primary that has not written yet reports its last entry with the term in which it was
/// written, although its log already belongs to the new term.
pub(crate) fn advance_term(history: &[TermStart], position: LogPosition) -> LogPosition {
    let begun = |start: &&TermStart| start.offset <= position.offset;
    let term = history.iter().filter(begun).map(|start| start.term).max().unwrap_or(0);
    LogPosition { term: position.term.max(term), offset: position.offset }
}
