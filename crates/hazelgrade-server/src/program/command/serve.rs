//! `serve`: runs a service instance.

use super::operator_file;
use crate::program::serve::{self, LogLevel, ServeOptions};
use crate::program::{configuration, logging};
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// The environment variable that names the configuration file if `--config` is not given; the platform sets it.
const CONFIGURATION_VARIABLE: &str = "PROXY_CONFIG";

/// The log level if the command line names none.
pub const DEFAULT_LOG_LEVEL: LevelFilter = LevelFilter::INFO;

/// The arguments of `serve`.
pub struct ServeCommand {
    operator: Option<PathBuf>,
    configuration: Option<PathBuf>,
    log_level: LevelFilter,
}

/// Takes `--config`, or else the file that the environment names.
pub fn configuration_path(arguments: &mut Arguments) -> Result<Option<PathBuf>, pico_args::Error> {
    let named: Option<PathBuf> = arguments.opt_value_from_str("--config")?;
    Ok(named.or_else(|| std::env::var_os(CONFIGURATION_VARIABLE).map(PathBuf::from)))
}

/// The error of a command without a configuration.
pub const NO_CONFIGURATION: &str = "no configuration: neither --config nor PROXY_CONFIG is given";

/// Takes `--log`.
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

    /// Serves until shutdown. The exit code tells whether every answer was written.
    pub fn run(self) -> Result<ExitCode, String> {
        let signals = serve::install_signals()?;
        let configuration_path = self.configuration.ok_or(NO_CONFIGURATION)?;
        let deployment = configuration::read(&configuration_path).map_err(|error| error.to_string())?;
        let operator = self.operator.as_deref().map(operator_file::read).transpose()?.unwrap_or_default();
        if operator.test_faults.is_some() && std::env::var_os(CONFIGURATION_VARIABLE).is_some() {
            return Err(
                "field for_tests_only: refused together with PROXY_CONFIG, the platform's start".into()
            );
        }
        let log = logging::start(self.log_level);
        let log_level = LogLevel { handle: log.level, default: self.log_level };
        let all_written =
            serve::serve(ServeOptions { deployment, configuration_path, operator, log_level, signals });
        drop(log.guard);
        Ok(if all_written? { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}
