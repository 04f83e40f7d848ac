//! The command line.

use std::ffi::OsString;
use std::io::Write as _;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use tanagerdeal_platform::PlatformClient;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::driver::DriverHandle;
use crate::ledger;
use crate::logging::LogControl;
use crate::peer::{PeerNode, PeerTrust};
use crate::runtime::{self, HostTasks, RunningHost};
use crate::settings::{HostSettings, describe};
use crate::{member, store, tls};

/// Exit code for wrong settings or arguments.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a host that could not start or failed.
const EXIT_FAILED: u8 = 1;

/// The definition of the command line.
///
/// ```
/// tanagerdeal::command::definition().debug_assert();
/// ```
pub fn definition() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Only test the settings file and list its settings");
    let shell = Arg::new("shell").required(true).value_parser(value_parser!(Shell));
    Command::new("tanagerdeal")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Database proxy with session consistency")
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Serve clients").arg(config.clone()))
        .subcommand(Command::new("check").about("Test a settings file").arg(config.clone()))
        .subcommand(Command::new("settings").about("List all settings"))
        .subcommand(
            Command::new("serve")
                .about("Serve clients on a platform whose store carries all coordination")
                .arg(config)
                .arg(check),
        )
        .subcommand(Command::new("completions").about("Print a shell completion").arg(shell))
        .subcommand(Command::new("man").about("Print the manual page"))
}

/// Runs a command line and returns the exit code of the process.
pub fn execute(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match definition().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let code = u8::try_from(error.exit_code()).unwrap_or(EXIT_SETTINGS);
            // Standard output may be closed; the exit code tells the rest.
            let _ = error.print();
            return ExitCode::from(code);
        }
    };
    match matches.subcommand() {
        Some(("run", matches)) => run(config_of(matches)),
        Some(("check", matches)) => check(config_of(matches)),
        Some(("serve", matches)) if matches.get_flag("check") => check_site(config_of(matches)),
        Some(("serve", matches)) => match ledger::serve(config_of(matches)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => fail(EXIT_SETTINGS, &error),
        },
        Some(("completions", matches)) => print(&completion(matches)),
        Some(("man", _)) => print(&manual()),
        _ => print(describe().as_bytes()),
    }
}

fn config_of(matches: &ArgMatches) -> &Path {
    matches.get_one::<PathBuf>("config").map_or(Path::new(""), PathBuf::as_path)
}

fn completion(matches: &ArgMatches) -> Vec<u8> {
    let shell = matches.get_one("shell").copied().unwrap_or(Shell::Bash);
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut definition(), "tanagerdeal", &mut text);
    text
}

fn manual() -> Vec<u8> {
    let mut text = Vec::new();
    // Writing into a vector cannot fail.
    let _ = clap_mangen::Man::new(definition()).render(&mut text);
    text
}

fn print(text: &[u8]) -> ExitCode {
    match std::io::stdout().write_all(text) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(EXIT_FAILED),
    }
}

fn fail(code: u8, message: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("tanagerdeal: {message}");
    ExitCode::from(code)
}

/// Reads the settings and all files that they name.
fn load(file: &Path) -> Result<(HostSettings, PeerTrust), String> {
    let settings = HostSettings::load(file).map_err(|error| error.to_string())?;
    let named = |section: &str, error: &dyn std::fmt::Display| {
        format!("{}: [{section}] {error}", file.display())
    };
    if let Some(files) = &settings.tls {
        tls::acceptor(files).map_err(|error| named("tls", &error))?;
    }
    let peer = &settings.peer;
    let trust = PeerTrust::from_files(&peer.certificate, &peer.key, &peer.authority)
        .map_err(|error| named("fleet", &error))?;
    Ok((settings, trust))
}

fn check(file: &Path) -> ExitCode {
    match load(file) {
        Ok(_) => print(format!("{}: settings are valid\n", file.display()).as_bytes()),
        Err(error) => fail(EXIT_SETTINGS, &error),
    }
}

fn check_site(file: &Path) -> ExitCode {
    match ledger::SiteSettings::load(file) {
        Ok(_) => print(ledger::describe().as_bytes()),
        Err(error) => fail(EXIT_SETTINGS, &error),
    }
}

fn run(file: &Path) -> ExitCode {
    let (settings, trust) = match load(file) {
        Ok(loaded) => loaded,
        Err(error) => return fail(EXIT_SETTINGS, &error),
    };
    let log = match LogControl::install(&settings.log) {
        Ok(log) => log,
        Err(error) => return fail(EXIT_SETTINGS, &error),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(async {
            match serve(file, settings, &trust, log).await {
                Ok(code) => code,
                Err(error) => fail(EXIT_FAILED, &error),
            }
        }),
        Err(error) => fail(EXIT_FAILED, &error),
    }
}

async fn serve(
    file: &Path,
    settings: HostSettings,
    trust: &PeerTrust,
    log: LogControl,
) -> Result<ExitCode, String> {
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let signals = HostSignals::new().map_err(|error| text(&error))?;
    let node = PeerNode::bind(settings.listen.peers, trust).map_err(|error| text(&error))?;
    let peer_address = node.local_address().map_err(|error| text(&error))?;
    let started = runtime::start(&settings, peer_address).await;
    let (host, tasks) = started.map_err(|error| text(&error))?;
    let (name, domain) = (settings.host.as_str(), settings.domain.as_str());
    let client = PlatformClient::new(
        &settings.platform,
        name,
        domain,
        settings.platform_timeout,
        settings.source,
    )
    .map_err(|error| text(&error))?;
    log::info!("caller: listening on {}", host.callers);
    log::info!("peer: listening on {peer_address}");
    log::info!("admin: listening on {}", host.admin);
    connect(host.driver.clone(), tasks, client, node, settings.source);
    let mut host = host;
    Ok(signals.attend(&mut host, ReloadState { file, settings, log }).await)
}

/// Starts the parts that talk to the platform, the members and other hosts.
fn connect(
    driver: DriverHandle,
    tasks: HostTasks,
    client: PlatformClient,
    node: PeerNode,
    source: Option<IpAddr>,
) {
    tokio::spawn(store::run(driver.clone(), tasks.store, client));
    tokio::spawn(node.run(driver.clone(), tasks.peers));
    tokio::spawn(async move {
        if let Err(error) = member::run(driver, tasks.members, source).await {
            log::error!("endpoint: {error}");
        }
    });
}

/// What a reload compares and changes.
struct ReloadState<'a> {
    file: &'a Path,
    settings: HostSettings,
    log: LogControl,
}

impl ReloadState<'_> {
    /// Reads the file again and changes log level, intervals and policies. A file with an error
    /// changes nothing.
    fn reload(&mut self, driver: &DriverHandle) {
        let next = match HostSettings::load(self.file) {
            Ok(next) => next,
            Err(error) => return log::error!("admin: settings not reloaded: {error}"),
        };
        if self.settings.needs_restart(&next) {
            log::warn!("admin: some changed settings need a restart; see `tanagerdeal settings`");
        }
        if let Err(error) = self.log.change_level(next.log.level) {
            log::error!("admin: log level not changed: {error}");
        }
        driver.adopt_settings(next.timing.clone(), next.policies.clone());
        self.settings.timing = next.timing;
        self.settings.policies = next.policies;
        log::info!("admin: settings reloaded");
    }
}

/// Signals that the process acts on.
struct HostSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl HostSignals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Acts on signals until the host has ended. The second request to stop ends it at once.
    async fn attend(mut self, host: &mut RunningHost, mut state: ReloadState<'_>) -> ExitCode {
        let mut is_stopping = false;
        loop {
            let is_stop = tokio::select! {
                is_done = host.finished() => {
                    return if is_done { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) };
                }
                _ = self.reload.recv() => false,
                _ = self.terminate.recv() => true,
                _ = self.interrupt.recv() => true,
            };
            match (is_stop, is_stopping) {
                (false, _) => state.reload(&host.driver),
                (true, true) => {
                    log::warn!("drain: stopped at once by a second signal");
                    return ExitCode::from(EXIT_FAILED);
                }
                (true, false) => {
                    log::info!("drain: shutting down");
                    is_stopping = true;
                    host.shut_down();
                }
            }
        }
    }
}
