//! Helpers of the stand-ins' processes and control APIs.

use std::io::{Read as _, stdin};

use clap::{Arg, ArgAction, ArgMatches};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Replaces the fields of a value that a JSON object names.
pub(crate) fn merge_fields<T>(current: &T, change: Value) -> serde_json::Result<T>
where
    T: Serialize + DeserializeOwned,
{
    let mut merged = serde_json::to_value(current)?;
    if let (Value::Object(fields), Value::Object(change)) = (&mut merged, change) {
        fields.extend(change);
    }
    serde_json::from_value(merged)
}

/// Name of the flag of [`end_with_input`].
const END_WITH_INPUT: &str = "end-with-input";

/// Flag with which a stand-in ends when its standard input does.
///
/// ```
/// let flag = tanagerdeal_testbed::control::end_with_input_flag();
/// assert_eq!(flag.get_long(), Some("end-with-input"));
/// ```
pub fn end_with_input_flag() -> Arg {
    Arg::new(END_WITH_INPUT).long(END_WITH_INPUT).action(ArgAction::SetTrue)
}

/// Ends the process when its standard input ends, if the flag was given.
///
/// A test holds the other end of the pipe, so its stand-ins end with it even when it is killed.
///
/// ```
/// use clap::Command;
/// use tanagerdeal_testbed::control::{end_with_input, end_with_input_flag};
///
/// let matches = Command::new("x").arg(end_with_input_flag()).get_matches_from(["x"]);
/// end_with_input(&matches);
/// ```
pub fn end_with_input(matches: &ArgMatches) {
    if matches.get_flag(END_WITH_INPUT) {
        std::thread::spawn(|| {
            let mut buffer = [0; 64];
            while stdin().read(&mut buffer).is_ok_and(|length| length > 0) {}
            std::process::exit(0);
        });
    }
}
