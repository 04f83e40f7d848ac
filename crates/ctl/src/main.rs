//! Operators' tool of tanagerdeal.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    tanagerctl::run(std::env::args_os()).await
}
