//! The story of one request, from the log files of hosts.

use std::path::PathBuf;

use clap::ArgMatches;
use serde_json::Value;

use crate::error::ToolError;
use crate::print::print_line;

/// Parts whose lines are about groups, and whose lines are about a host as a whole.
const GROUP_PARTS: [&str; 2] = ["takeover", "group"];
const HOST_PARTS: [&str; 5] = ["store", "lease", "ready", "process", "suspicion"];

/// A line of a log file.
#[derive(Clone, Debug, PartialEq)]
pub struct StoryLine {
    /// File that it stands in.
    pub file: String,
    /// Time of day by the clock of its host, in milliseconds.
    pub at_ms: u64,
    /// The whole line.
    pub text: String,
    fields: Value,
}

/// Reads the lines of a log file; lines that are no JSON objects with a time are left out.
///
/// ```
/// let lines = tanagerctl::story::parse("h1.log", "{\"at_ms\":7,\"event\":\"on\"}\nnoise\n");
/// assert_eq!((lines.len(), lines[0].at_ms), (1, 7));
/// ```
pub fn parse(file: &str, text: &str) -> Vec<StoryLine> {
    let line = |text: &str| {
        let fields: Value = serde_json::from_str(text).ok()?;
        let at_ms = fields.get("at_ms")?.as_u64()?;
        Some(StoryLine { file: file.to_owned(), at_ms, text: text.to_owned(), fields })
    };
    text.lines().filter_map(line).collect()
}

/// Lines of a request, and around them those that changed what the same hosts believed or concern
/// its group on any host, within `around_ms`; in order of time.
///
/// ```
/// use tanagerctl::story::{parse, select};
///
/// let lines = parse("h1.log", "{\"at_ms\":7,\"request\":\"r1\"}\n{\"at_ms\":8,\"request\":\"r2\"}\n");
/// assert_eq!(select(&lines, "r1", 100).len(), 1);
/// ```
pub fn select<'a>(lines: &'a [StoryLine], request: &str, around_ms: u64) -> Vec<&'a StoryLine> {
    let own: Vec<&StoryLine> = lines.iter().filter(|line| line.is(request, "request")).collect();
    let is_near = |line: &StoryLine| {
        own.iter().any(|of_request| {
            let is_in_time = line.at_ms.abs_diff(of_request.at_ms) <= around_ms;
            let is_host = line.file == of_request.file && line.is_part(&HOST_PARTS);
            let group = of_request.fields.get("group").and_then(Value::as_str);
            let is_group =
                line.is_part(&GROUP_PARTS) && group.is_some_and(|group| line.is(group, "group"));
            is_in_time && (is_host || is_group)
        })
    };
    let mut chosen: Vec<&StoryLine> =
        lines.iter().filter(|line| line.is(request, "request") || is_near(line)).collect();
    chosen.sort_by_key(|line| line.at_ms);
    chosen
}

impl StoryLine {
    fn is(&self, value: &str, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }

    fn is_part(&self, parts: &[&str]) -> bool {
        self.fields.get("part").and_then(Value::as_str).is_some_and(|part| parts.contains(&part))
    }
}

/// Prints the story of a request.
///
/// # Errors
///
/// Fails when a file cannot be read, or no line has the request.
pub fn tell(arguments: &ArgMatches) -> Result<(), ToolError> {
    let request = arguments.get_one::<String>("request").map_or("", String::as_str);
    let around_ms = arguments.get_one::<u64>("around-ms").copied().unwrap_or(0);
    let mut lines = Vec::new();
    for file in arguments.get_many::<PathBuf>("file").into_iter().flatten() {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file)
            .map_err(|error| ToolError::Usage(format!("{name}: {error}")))?;
        lines.append(&mut parse(&name, &text));
    }
    let chosen = select(&lines, request, around_ms);
    if chosen.is_empty() {
        return Err(ToolError::Missing(format!("a line of request {request}")));
    }
    for line in chosen {
        print_line(format_args!("{} {}", line.file, line.text));
    }
    Ok(())
}
