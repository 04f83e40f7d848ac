//! Operators' tool: reads and changes records, and shows the state of the fleet.

pub mod check;
pub mod command;
pub mod context;
pub mod endpoints;
pub mod error;
pub mod fleet;
pub mod print;
pub mod record;
pub mod story;
pub mod switchover;

use std::ffi::OsString;
use std::io::stdout;
use std::process::ExitCode;

use clap::ArgMatches;

use crate::command::command;
use crate::context::ToolContext;
use crate::error::ToolError;

/// Runs the tool with the arguments of the process; the first one is the program's name.
pub async fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(2));
        }
    };
    match dispatch(&matches).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tanagerctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn dispatch(matches: &ArgMatches) -> Result<(), ToolError> {
    let Some((name, arguments)) = matches.subcommand() else { return Ok(()) };
    match name {
        "completions" => return write_completions(arguments),
        "story" => return story::tell(arguments),
        "endpoints" => return endpoints::show(arguments).await,
        "check-config" => return check::check_config(arguments).await,
        "man" => return clap_mangen::Man::new(command()).render(&mut stdout()).map_err(Into::into),
        _ => {}
    }
    let context = ToolContext::from_arguments(matches)?;
    match name {
        "get" => record::get(&context, arguments).await,
        "list" => record::list(&context, arguments).await,
        "put" => record::put(&context, arguments).await,
        "withdraw" => record::withdraw(&context, arguments).await,
        "history" => record::history(&context, arguments).await,
        "audit" => record::audit(&context, arguments).await,
        "key" => record::create_key(&context, arguments).await,
        "domain" => record::set_domain(&context, arguments).await,
        "endpoint" => record::set_endpoint(&context, arguments).await,
        "status" => fleet::status(&context).await,
        "move-primary" => switchover::move_primary(&context, arguments).await,
        other => Err(ToolError::Usage(format!("unknown command {other:?}"))),
    }
}

fn write_completions(arguments: &ArgMatches) -> Result<(), ToolError> {
    let shell = arguments
        .get_one::<clap_complete::Shell>("shell")
        .ok_or_else(|| ToolError::Usage("a shell is required".to_owned()))?;
    clap_complete::generate(*shell, &mut command(), "tanagerctl", &mut stdout());
    Ok(())
}
