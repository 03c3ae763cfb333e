//! `serve`: runs a service instance.

use super::operator_file;
use crate::program::serve::{self, LogLevel, ServeOptions};
use crate::program::{configuration, logging};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// Environment variable with the path of the configuration file if `--config` is not given. The platform sets it.
const CONFIGURATION_VARIABLE: &str = "PROXY_CONFIG";

/// The log level unless `--log` is given.
pub const DEFAULT_LOG_LEVEL: LevelFilter = LevelFilter::INFO;

/// The parsed arguments of `serve`.
pub struct ServeCommand {
    operator: Option<PathBuf>,
    configuration: Option<PathBuf>,
    log_level: LevelFilter,
}

/// Parses `--config`. Returns the path in `PROXY_CONFIG` if `--config` is not given, or `None` if neither is set.
pub fn configuration_path(arguments: &mut Arguments) -> Result<Option<PathBuf>, pico_args::Error> {
    let path: Option<PathBuf> = arguments.opt_value_from_str("--config")?;
    Ok(path.or_else(|| std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from)))
}

/// The error of a command that needs a configuration file and was given none.
pub const NO_CONFIGURATION: &str = "no configuration file: neither --config nor PROXY_CONFIG is set";

/// Parses `--log`. Returns [`DEFAULT_LOG_LEVEL`] if the argument is not given.
pub fn log_level(arguments: &mut Arguments) -> Result<LevelFilter, pico_args::Error> {
    Ok(arguments.opt_value_from_str("--log")?.unwrap_or(DEFAULT_LOG_LEVEL))
}

impl ServeCommand {
    /// Parses the arguments of the sub-command.
    pub fn parse(arguments: &mut Arguments) -> Result<ServeCommand, pico_args::Error> {
        Ok(ServeCommand {
            operator: arguments.opt_value_from_str("--operator")?,
            configuration: configuration_path(arguments)?,
            log_level: log_level(arguments)?,
        })
    }

    /// Serves until shutdown. Returns a failure exit code if not every answer was written.
    pub fn run(self) -> Result<ExitCode, String> {
        let signals = serve::install_signals()?;
        let configuration_path = self.configuration.ok_or(NO_CONFIGURATION)?;
        let deployment = configuration::read(&configuration_path).map_err(|error| error.to_string())?;
        let operator = self.operator.as_deref().map(operator_file::read).transpose()?.unwrap_or_default();
        if operator.test_faults.is_some() && std::env::var_os(CONFIGURATION_VARIABLE).is_some() {
            return Err("field for_tests_only: not allowed when PROXY_CONFIG is set by the platform".into());
        }
        let log = logging::start(self.log_level);
        let log_level = LogLevel { handle: log.level, default: self.log_level };
        let answers_written =
            serve::serve(ServeOptions { deployment, configuration_path, operator, log_level, signals });
        drop(log.guard);
        Ok(if answers_written? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}
