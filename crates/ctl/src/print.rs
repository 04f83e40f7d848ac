//! Output of records, changes and audit entries.

use std::fmt::Display;
use std::io::{ErrorKind, Write as _, stdout};

use serde_json::{Value, json};
use tanagerdeal_platform::change::{AuditEntry, ChangeOutcome, RecordChange};
use tanagerdeal_wire::platform::TableEntry;

use crate::fleet::FleetReach;

/// Prints a line. A reader that has closed the pipe has seen enough, so the tool ends quietly.
pub fn print_line(text: impl Display) {
    match writeln!(stdout(), "{text}") {
        Err(error) if error.kind() == ErrorKind::BrokenPipe => std::process::exit(0),
        Err(error) => eprintln!("tanagerctl: output: {error}"),
        Ok(()) => {}
    }
}

/// Prints one record.
pub fn print_record(is_json: bool, entry: &TableEntry) {
    let value = entry.value.as_ref().unwrap_or(&Value::Null);
    match is_json {
        true => print_line(format_args!(
            "{}",
            json!({ "key": entry.key, "revision": entry.revision, "value": value })
        )),
        false => print_line(format_args!("{} revision {} {value}", entry.key, entry.revision)),
    }
}

/// Prints an accepted change and on how many hosts it is in effect.
pub fn print_change(
    is_json: bool,
    change: &RecordChange,
    outcome: &ChangeOutcome,
    reach: &FleetReach,
) {
    let (word, revision) = match outcome {
        ChangeOutcome::Accepted(revision) => ("accepted", *revision),
        ChangeOutcome::Repeated(revision) => ("accepted earlier", *revision),
        ChangeOutcome::Conflict(revision) => ("conflict", *revision),
    };
    if is_json {
        let report = json!({
            "outcome": word,
            "key": change.key,
            "revision": revision,
            "change_id": change.change_id,
            "in_effect": reach.in_effect,
            "listed": reach.listed,
        });
        print_line(format_args!("{report}"));
        return;
    }
    print_line(format_args!(
        "{word}: {} revision {revision} change {}, in effect on {} of {} hosts",
        change.key, change.change_id, reach.in_effect, reach.listed
    ));
}

/// Prints one audit entry.
pub fn print_audit(is_json: bool, entry: &AuditEntry) {
    match is_json {
        true => print_line(format_args!("{}", serde_json::to_string(entry).unwrap_or_default())),
        false => print_line(format_args!(
            "{} {} {} {} from revision {} {} change {}",
            entry.at_ms,
            entry.actor,
            entry.action,
            entry.key,
            entry.from_revision,
            entry.outcome,
            entry.change_id
        )),
    }
}
