//! The command line of the program, with one module for each sub-command.

mod budget;
mod check;
mod control;
mod keys;
mod operator_file;
mod serve;
mod status;
mod table;

use pico_args::Arguments;
use std::process::ExitCode;

/// The usage text. `{KEYS}` and `{BUDGETS}` are placeholders for the usage texts of `keys` and `budget`.
const USAGE: &str = "\
hazelgrade: decides what one service instance takes, runs and turns away

usage:
  hazelgrade serve [--config FILE] [--operator FILE] [--log LEVEL]
                                     serve until SIGTERM; SIGHUP reads the configuration again
  hazelgrade check [--config FILE] [--operator FILE] [--document FILE] [--identity FILE] [--budgets FILE]
                                     say what is wrong with these files, or what they would do
  hazelgrade control --documents DIR --listen ADDRESS [--lineage NAME] [--admit RATE]
                    [--keeper SITE [--peer SITE=ADDRESS]...]
                                     publish DIR/serving.toml to the nodes that follow; keep the budgets of a site
  hazelgrade status --control ADDRESS
                                     say who runs which version
{KEYS}{BUDGETS}  hazelgrade version
  hazelgrade help

  --config FILE     the configuration; else the file that PROXY_CONFIG names
  --operator FILE   the operator's own file in TOML: what is switched on beyond the platform's side
  --document FILE   a serving document, as a control service publishes it
  --identity FILE   an identity document: keys, callers, rights
  --budgets FILE    a document of budgets: limits that hold for all nodes together
  --lineage NAME    whose versions these are; else as kept in DIR, or made up and kept there
  --admit RATE      nodes that are taken on in a second (200 usually); others are told when to come back
  --log LEVEL       off, error, warn, info (the usual level), debug or trace
";

/// Exit code for invalid arguments, an invalid configuration, or an address that cannot be bound.
const EXIT_INVALID_USAGE: u8 = 2;

/// Runs the program with the command line of this process.
pub fn main() -> ExitCode {
    main_with(Arguments::from_env())
}

/// Runs the program with the given arguments instead of those of this process.
pub fn main_with(arguments: Arguments) -> ExitCode {
    match run(arguments) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("hazelgrade: {message}");
            ExitCode::from(EXIT_INVALID_USAGE)
        }
    }
}

fn usage() -> String {
    USAGE.replace("{KEYS}", keys::USAGE).replace("{BUDGETS}", budget::USAGE)
}

fn usage_error(message: impl std::fmt::Display) -> String {
    format!("{message}\n{}", usage())
}

fn run(mut arguments: Arguments) -> Result<ExitCode, String> {
    if arguments.contains(["-h", "--help"]) {
        print!("{}", usage());
        return Ok(ExitCode::SUCCESS);
    }
    let name = arguments.subcommand().map_err(usage_error)?;
    let name = name.ok_or_else(|| usage_error("missing command"))?;
    let command = Command::parse(&name, &mut arguments).map_err(usage_error)?;
    if let Some(unknown) = arguments.finish().first() {
        return Err(usage_error(format_args!("unknown argument {}", unknown.to_string_lossy())));
    }
    match command {
        Some(command) => command.run(),
        None => Err(usage_error(format_args!("unknown command {name}"))),
    }
}

enum Command {
    Serve(serve::ServeCommand),
    Check(check::CheckCommand),
    Control(control::ControlCommand),
    Status(status::StatusCommand),
    Keys(keys::KeysCommand),
    Budget(budget::BudgetCommand),
    Version,
    Help,
}

impl Command {
    /// Parses the arguments of a sub-command. Returns `None` if no sub-command has this name.
    fn parse(name: &str, arguments: &mut Arguments) -> Result<Option<Command>, pico_args::Error> {
        Ok(Some(match name {
            "serve" => Command::Serve(serve::ServeCommand::parse(arguments)?),
            "check" => Command::Check(check::CheckCommand::parse(arguments)?),
            "control" => Command::Control(control::ControlCommand::parse(arguments)?),
            "status" => Command::Status(status::StatusCommand::parse(arguments)?),
            "keys" => Command::Keys(keys::KeysCommand::parse(arguments)?),
            "budget" => Command::Budget(budget::BudgetCommand::parse(arguments)?),
            "version" => Command::Version,
            "help" => Command::Help,
            _ => return Ok(None),
        }))
    }

    fn run(self) -> Result<ExitCode, String> {
        match self {
            Command::Serve(command) => return command.run(),
            Command::Check(command) => command.run()?,
            Command::Control(command) => command.run()?,
            Command::Status(command) => print!("{}", command.run()?),
            Command::Keys(command) => print!("{}", command.run()?),
            Command::Budget(command) => print!("{}", command.run()?),
            Command::Version => println!("hazelgrade {}", env!("CARGO_PKG_VERSION")),
            Command::Help => print!("{}", usage()),
        }
        Ok(ExitCode::SUCCESS)
    }
}
