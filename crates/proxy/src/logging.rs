//! Log output by log4rs.

use log::LevelFilter;
use log4rs::Handle;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::settings::LogSettings;

/// Crates whose log lines have the configured level; those of libraries are limited to warnings.
const OWN_CRATES: [&str; 3] = ["tanagerdeal", "tanagerdeal_core", "tanagerdeal_platform"];
/// Name of the only appender.
const APPENDER: &str = "main";

/// Why logging could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("log file: {0}")]
    File(#[from] std::io::Error),
    /// The configuration was refused.
    #[error("log configuration: {0}")]
    Config(#[from] log4rs::config::runtime::ConfigErrors),
    /// A logger is installed already.
    #[error("{0}")]
    Installed(#[from] log::SetLoggerError),
}

/// The installed logger.
pub struct LogControl {
    handle: Handle,
    settings: LogSettings,
}

impl LogControl {
    /// Installs the logger. A panic is logged as an error from then on.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened or a logger is installed already.
    pub fn install(settings: &LogSettings) -> Result<Self, LoggingError> {
        let handle = log4rs::init_config(config(settings, settings.level)?)?;
        std::panic::set_hook(Box::new(|panic| log::error!("panic: {panic}")));
        Ok(Self { handle, settings: settings.clone() })
    }

    /// Changes the level.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened again; the level stays as it was.
    pub fn change_level(&mut self, level: LevelFilter) -> Result<(), LoggingError> {
        self.handle.set_config(config(&self.settings, level)?);
        self.settings.level = level;
        Ok(())
    }
}

fn config(settings: &LogSettings, level: LevelFilter) -> Result<Config, LoggingError> {
    let encoder = Box::new(PatternEncoder::new(&settings.format));
    let appender: Box<dyn Append> = match &settings.file {
        Some(file) => Box::new(FileAppender::builder().encoder(encoder).build(file)?),
        None => {
            Box::new(ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build())
        }
    };
    let own = OWN_CRATES.into_iter().map(|name| Logger::builder().build(name, level));
    let root = Root::builder().appender(APPENDER).build(level.min(LevelFilter::Warn));
    Ok(Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .loggers(own)
        .build(root)?)
}
