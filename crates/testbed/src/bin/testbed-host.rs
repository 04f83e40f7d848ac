//! The proxy as a program of this package, so that its tests can start it without a workspace build.

fn main() -> std::process::ExitCode {
    tanagerdeal::command::execute(std::env::args_os())
}
