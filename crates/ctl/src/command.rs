//! Definition of the command line, from which the man page and the completions are made.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};
use tanagerdeal_wire::record::RECORD_KINDS;

/// Environment variable with the platform's address.
pub const PLATFORM_VARIABLE: &str = "TANAGERDEAL_PLATFORM";

/// The command line of `tanagerctl`.
///
/// ```
/// let matches = tanagerctl::command::command()
///     .try_get_matches_from(["tanagerctl", "--platform", "127.0.0.1:1", "get", "customer", "quarry"])
///     .unwrap();
/// assert_eq!(matches.subcommand_name(), Some("get"));
/// ```
pub fn command() -> Command {
    Command::new("tanagerctl")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Reads and changes the records of a tanagerdeal fleet")
        .subcommand_required(true)
        .args(global_arguments())
        .subcommands(read_commands())
        .subcommands(change_commands())
        .subcommands(other_commands())
}

fn global_arguments() -> Vec<Arg> {
    vec![
        Arg::new("platform")
            .long("platform")
            .value_name("IP:PORT")
            .global(true)
            .help("Address of the platform [env: TANAGERDEAL_PLATFORM]"),
        Arg::new("config")
            .long("config")
            .value_name("FILE")
            .global(true)
            .help("INI file with section [platform], key address"),
        Arg::new("json")
            .long("json")
            .action(ArgAction::SetTrue)
            .global(true)
            .help("Print JSON instead of text"),
        Arg::new("actor")
            .long("actor")
            .value_name("NAME")
            .global(true)
            .help("Who makes a change, for the audit trail [default: $USER]"),
        Arg::new("wait-ms")
            .long("wait-ms")
            .value_name("MS")
            .default_value("5000")
            .value_parser(value_parser!(u64))
            .global(true)
            .help("How long to wait until a change is in effect, and for lost responses"),
    ]
}

fn kind_argument() -> Arg {
    Arg::new("kind").required(true).value_parser(RECORD_KINDS.map(|kind| kind.as_str()))
}

fn name_argument() -> Arg {
    Arg::new("name").required(true)
}

fn change_arguments() -> Vec<Arg> {
    vec![
        Arg::new("expect")
            .long("expect")
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .help("Revision that the record must have, 0 for absent [default: the one just read]"),
        Arg::new("change-id")
            .long("change-id")
            .value_name("ID")
            .help("Identifies the change; repeat a change with the same id [default: random]"),
    ]
}

fn read_commands() -> Vec<Command> {
    vec![
        Command::new("get")
            .about("Prints one record with its revision")
            .args([kind_argument(), name_argument()]),
        Command::new("list").about("Lists the records of a kind").arg(kind_argument()),
        Command::new("history")
            .about("Prints the changes of one record, oldest first")
            .args([kind_argument(), name_argument()]),
        Command::new("audit").about("Prints the audit trail, newest last").arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(usize))
                .default_value("50")
                .help("Number of entries"),
        ),
        Command::new("status").about("Prints the state of hosts, groups and limits"),
    ]
}

fn change_commands() -> Vec<Command> {
    vec![
        Command::new("put")
            .about("Creates or changes a record; fields that are not given are kept")
            .args([kind_argument(), name_argument()])
            .arg(
                Arg::new("field")
                    .value_name("FIELD=JSON")
                    .action(ArgAction::Append)
                    .help("Field with its JSON value; a value that is not JSON is taken as text"),
            )
            .arg(
                Arg::new("file")
                    .long("file")
                    .value_name("FILE")
                    .help("JSON object with fields, read before the fields given"),
            )
            .args(change_arguments()),
        Command::new("withdraw")
            .about("Removes a record")
            .args([kind_argument(), name_argument()])
            .args(change_arguments()),
        Command::new("key")
            .about("Creates a key for a customer and prints it once")
            .args([Arg::new("customer").required(true), name_argument()])
            .args(change_arguments()),
        Command::new("domain")
            .about("Takes a failure domain out of service, or back in")
            .args([name_argument(), Arg::new("state").required(true).value_parser(["in", "out"])])
            .args(change_arguments()),
        Command::new("endpoint")
            .about("Makes an endpoint leave, or serve again")
            .args([
                name_argument(),
                Arg::new("state").required(true).value_parser(["serving", "leaving"]),
            ])
            .args(change_arguments()),
        Command::new("move-primary")
            .about("Moves the primary of a group away from its present endpoint")
            .arg(Arg::new("group").required(true)),
    ]
}

fn story_command() -> Command {
    Command::new("story")
        .about("Prints what log files tell of a request, over all hosts in order of time")
        .arg(Arg::new("request").long("request").value_name("ID").required(true))
        .arg(
            Arg::new("around-ms")
                .long("around-ms")
                .value_name("MS")
                .value_parser(value_parser!(u64))
                .default_value("3000")
                .help("Time around the request in which changes of its group and host are shown"),
        )
        .arg(
            Arg::new("file")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("Log files, one of each host"),
        )
}

fn check_command() -> Command {
    Command::new("check-config")
        .about("Checks a configuration of the users' platform before it is sent; writes nothing")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Configuration to check"),
        )
        .arg(
            Arg::new("against")
                .long("against")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("store")
                .help("Configuration in force, for the differences"),
        )
        .arg(
            Arg::new("store")
                .long("store")
                .value_name("IP:PORT")
                .help("Address of the store that holds the configuration in force"),
        )
        .arg(
            Arg::new("strict")
                .long("strict")
                .action(ArgAction::SetTrue)
                .help("Exit with 1 for warnings too"),
        )
}

fn endpoints_command() -> Command {
    Command::new("endpoints")
        .about("Prints limit, load and health of endpoints as their pool hosts see them")
        .arg(
            Arg::new("admin")
                .long("admin")
                .value_name("IP:PORT")
                .required(true)
                .value_delimiter(',')
                .help("Admin addresses of hosts, such as all of a failure domain"),
        )
}

fn other_commands() -> Vec<Command> {
    vec![
        story_command(),
        check_command(),
        endpoints_command(),
        Command::new("completions").about("Prints a completion script").arg(
            Arg::new("shell").required(true).value_parser(value_parser!(clap_complete::Shell)),
        ),
        Command::new("man").about("Prints the man page"),
    ]
}
