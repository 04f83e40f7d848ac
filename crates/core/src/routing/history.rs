//! Comparison of log positions through a group's term history.

use tanagerdeal_wire::member::{LogPosition, TermStart};
use tanagerdeal_wire::value_type;

value_type! {
    /// How a position relates to a watermark.
    #[derive(Copy)]
    pub(crate) enum Coverage {
        /// The watermark is contained.
        Contained,
        /// Not contained, or not known to be.
        Behind,
        /// The watermark is not part of the log any more; the log goes on from here.
        Lost(LogPosition),
    }
}

/// Compares a position on the log that `history` describes with a watermark.
pub(crate) fn compare(
    history: &[TermStart],
    watermark: LogPosition,
    seen: LogPosition,
) -> Coverage {
    if is_truncated(history, seen) {
        return Coverage::Behind;
    }
    let seen = advance_term(history, seen);
    let reaches = match seen.offset >= watermark.offset {
        true => Coverage::Contained,
        false => Coverage::Behind,
    };
    match (watermark.offset, seen.term) {
        (0, _) => Coverage::Contained,
        (_, term) if term < watermark.term => Coverage::Behind,
        (_, term) if term == watermark.term => reaches,
        (_, term) => match end_of_term(history, watermark.term, term) {
            None => Coverage::Behind,
            Some(end) if watermark.offset <= end => reaches,
            Some(end) => Coverage::Lost(LogPosition { term, offset: end }),
        },
    }
}

/// Offset at which the first term above `term` began, when the history reaches up to `until`.
fn end_of_term(history: &[TermStart], term: u64, until: u64) -> Option<u64> {
    let is_complete = history.iter().any(|start| start.term == until);
    let next = history.iter().find(|start| start.term > term && start.term <= until);
    next.filter(|_| is_complete).map(|start| start.offset)
}

/// Whether a position lies behind the point at which a later term cut its own term off.
pub(crate) fn is_truncated(history: &[TermStart], position: LogPosition) -> bool {
    let next = history.iter().find(|start| start.term > position.term);
    next.is_some_and(|start| start.offset < position.offset)
}

/// Raises the term of a position to that of the last term that began at or before it.
///
/// A new primary that has not written yet reports its last entry under the term that wrote it,
/// although its log already belongs to the new term.
pub(crate) fn advance_term(history: &[TermStart], position: LogPosition) -> LogPosition {
    let begun = |start: &&TermStart| start.offset <= position.offset;
    let term = history.iter().filter(begun).map(|start| start.term).max().unwrap_or(0);
    LogPosition { term: position.term.max(term), offset: position.offset }
}
