//! The proxy process.

use std::process::ExitCode;

fn main() -> ExitCode {
    tanagerdeal::command::execute(std::env::args_os())
}
