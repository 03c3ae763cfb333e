//! `budget`: creates the store of a site's lessor, and sends requests of an operator to a lessor.

mod report;

use hazelgrade_budget::protocol::OperatorCommand;
use hazelgrade_stream::lessor_service::LostStore;
use hazelgrade_stream::{control_service, lessor_service};
use pico_args::Arguments;
use serde_json::Value;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};

/// The usage text of `budget`.
pub const USAGE: &str = "  hazelgrade budget found --documents DIR --keeper SITE --listen ADDRESS [--lost [--longest-ms N]]
                                     make the store of a site's keeper, once; --lost if there was one before, N the
                                     greatest lease_ms plus longest_use_ms of any document of the last 70 s
  hazelgrade budget show|history|metrics|open --control ADDRESS
                                     who holds what; what happened; figures as text; take up granting again
  hazelgrade budget move --control ADDRESS --to SITE --budget NAME --units N [--id ID]
  hazelgrade budget retire --control ADDRESS --site SITE [--id ID]
                                     move units to another site; declare a site lost for good
";

/// Time-out of a request to the control service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The parsed arguments of `budget`.
pub enum BudgetCommand {
    /// Creates the store of a site's lessor.
    CreateStore {
        /// The folder of the documents, in which the store is created.
        documents: PathBuf,
        /// The site whose budgets the lessor grants.
        site: String,
        /// The address that the control service will listen on.
        listen: SocketAddr,
        /// Describes the lost store that the new one replaces; `None` if the site never had a store.
        lost: Option<LostStore>,
    },
    /// Sends a request to a lessor.
    Request {
        /// The address of the control service that runs the lessor.
        control_service: SocketAddr,
        /// The request to the lessor.
        request: OperatorCommand,
        /// The format in which the answer is printed.
        output: Output,
    },
}

/// The format in which the answer of a lessor is printed.
pub enum Output {
    /// Tables of sites, budgets and lease holders.
    Tables,
    /// Metrics in the text format of Prometheus.
    Metrics,
    /// One event per line.
    History,
    /// One line of text.
    Line,
}

impl BudgetCommand {
    /// Parses the arguments of the sub-command.
    pub fn parse(arguments: &mut Arguments) -> Result<BudgetCommand, pico_args::Error> {
        let name = arguments.subcommand()?.unwrap_or_default();
        if name == "found" {
            return Ok(BudgetCommand::CreateStore {
                documents: arguments.value_from_str("--documents")?,
                site: arguments.value_from_str("--keeper")?,
                listen: arguments.value_from_str("--listen")?,
                lost: parse_lost_store(arguments)?,
            });
        }
        let control_service = arguments.value_from_str("--control")?;
        let (request, output) = match name.as_str() {
            "show" => (OperatorCommand::Show, Output::Tables),
            "metrics" => (OperatorCommand::Show, Output::Metrics),
            "history" => (OperatorCommand::History, Output::History),
            "open" => (OperatorCommand::Open, Output::Line),
            "move" => (parse_move(arguments)?, Output::Line),
            "retire" => (parse_retire(arguments)?, Output::Line),
            _ => {
                let expected = "found, show, history, metrics, move, retire or open";
                let cause = format!("budget: expected a sub-command, one of {expected}");
                return Err(pico_args::Error::ArgumentParsingFailed { cause });
            }
        };
        Ok(BudgetCommand::Request { control_service, request, output })
    }

    /// Runs the command and returns the text to print.
    pub fn run(self) -> Result<String, String> {
        match self {
            BudgetCommand::CreateStore { documents, site, listen, lost } => {
                let message = lessor_service::create_store(&documents, &site, listen, lost)
                    .map_err(|error| error.to_string())?;
                Ok(format!("{message}\n"))
            }
            BudgetCommand::Request { control_service, request, output } => {
                let answer = control_service::send_budget_command(control_service, request, REQUEST_TIMEOUT)
                    .map_err(|error| error.to_string())?;
                Ok(output.format(&answer))
            }
        }
    }
}

fn parse_lost_store(arguments: &mut Arguments) -> Result<Option<LostStore>, pico_args::Error> {
    let is_lost = arguments.contains("--lost");
    let longest_ms: Option<f64> = arguments.opt_value_from_str("--longest-ms")?;
    let error = match longest_ms {
        Some(_) if !is_lost => Some("--longest-ms: only allowed together with --lost"),
        Some(longest_ms) if !LostStore::accepts(longest_ms) => {
            Some("--longest-ms: expected a number from 210 to 70000")
        }
        _ => None,
    };
    match error {
        Some(cause) => Err(pico_args::Error::ArgumentParsingFailed { cause: cause.into() }),
        None => Ok(is_lost.then_some(LostStore { longest_ms })),
    }
}

fn parse_move(arguments: &mut Arguments) -> Result<OperatorCommand, pico_args::Error> {
    Ok(OperatorCommand::Move {
        to: arguments.value_from_str("--to")?,
        budget: arguments.value_from_str("--budget")?,
        units: arguments.value_from_str("--units")?,
        id: parse_id(arguments)?,
    })
}

fn parse_retire(arguments: &mut Arguments) -> Result<OperatorCommand, pico_args::Error> {
    Ok(OperatorCommand::Retire { site: arguments.value_from_str("--site")?, id: parse_id(arguments)? })
}

/// Parses `--id`, the idempotency key of a change: the lessor applies a change once per id. The id is random if
/// `--id` is not given.
fn parse_id(arguments: &mut Arguments) -> Result<String, pico_args::Error> {
    let random_id = || format!("w{:016x}", RandomState::new().hash_one(SystemTime::now()));
    Ok(arguments.opt_value_from_str("--id")?.unwrap_or_else(random_id))
}

impl Output {
    fn format(&self, answer: &Value) -> String {
        match self {
            Output::Tables => report::tables(answer),
            Output::Metrics => report::metrics_text(answer),
            Output::History => report::history(answer),
            Output::Line => format!("{}\n", answer.as_str().unwrap_or_default()),
        }
    }
}
