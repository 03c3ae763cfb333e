//! `control`: runs a control service, which publishes documents and can also be the lessor of a site's budgets.

use super::serve::log_level;
use crate::program::logging;
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use hazelgrade_budget::lessor::BudgetReport;
use hazelgrade_stream::control_service::{self, AdmissionRate, ControlServiceConfig};
use hazelgrade_stream::lessor_service::{self, Metrics};
use pico_args::Arguments;
use std::cell::Cell;
use std::rc::Rc;
use tracing::level_filters::LevelFilter;

/// Subscribers admitted per second unless `--admit` is given. A thousand nodes reconnect within seconds at this rate,
/// and the control service does not saturate one core.
const DEFAULT_ADMITTED_PER_S: f64 = 200.0;

/// Burst of the admission rate limit: subscribers admitted at once after an idle period, as a ratio of the subscribers
/// admitted per second.
const ADMISSION_BURST_RATIO: f64 = 0.25;

/// The parsed arguments of `control`.
pub struct ControlCommand {
    config: ControlServiceConfig,
    log_level: LevelFilter,
}

impl ControlCommand {
    /// Parses the arguments of the sub-command.
    pub fn parse(arguments: &mut Arguments) -> Result<ControlCommand, pico_args::Error> {
        let admitted_per_s = arguments.opt_value_from_str("--admit")?.unwrap_or(DEFAULT_ADMITTED_PER_S);
        let config = ControlServiceConfig {
            documents: arguments.value_from_str("--documents")?,
            listen: arguments.value_from_str("--listen")?,
            lineage: arguments.opt_value_from_str("--lineage")?,
            lessor: parse_lessor(arguments)?,
            admission: AdmissionRate {
                per_second: admitted_per_s,
                burst: admitted_per_s * ADMISSION_BURST_RATIO,
            },
        };
        Ok(ControlCommand { config, log_level: log_level(arguments)? })
    }

    /// Runs the control service until SIGTERM or SIGINT. Nodes keep their last documents when the service has stopped.
    pub fn run(self) -> Result<(), String> {
        let log = logging::start(self.log_level);
        let result = run_until_signal(self.config);
        drop(log);
        result
    }
}

fn parse_lessor(arguments: &mut Arguments) -> Result<Option<lessor_service::LessorConfig>, pico_args::Error> {
    let Some(site) = arguments.opt_value_from_str("--keeper")? else { return Ok(None) };
    let peers = arguments.values_from_fn("--peer", |text: &str| {
        let expected = || "expected SITE=ADDRESS for --peer".to_owned();
        let (site, address) = text.split_once('=').ok_or_else(expected)?;
        let address = address.parse().map_err(|_| expected())?;
        Ok::<_, String>((site.to_owned(), address))
    })?;
    let kill_at = arguments.opt_value_from_str("--keeper-dies-at-for-tests-only")?;
    Ok(Some(lessor_service::LessorConfig { site, peers, kill_at }))
}

fn run_until_signal(config: ControlServiceConfig) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.map_err(|error| format!("cannot install signal handlers: {error}"))?;
    let tasks = Rc::new(LocalExecutor::new());
    let serving = control_service::serve(tasks.clone(), config, log_granted_units());
    let serving = async { serving.await.map_err(|error| error.to_string()) };
    let until_signal = async {
        // An error says nothing about a signal.
        while !matches!(signals.next().await, Some(Ok(_)) | None) {}
        Ok(())
    };
    async_io::block_on(tasks.run(or(serving, until_signal)))
}

/// Units of a lessor, each summed over all budgets.
#[derive(Clone, Copy, PartialEq)]
struct GrantedUnits {
    granted: u32,
    /// Units booked beyond what is granted, which are waiting to be returned or to expire.
    in_doubt: u32,
}

/// Returns a callback that logs the granted units whenever they change. `budget metrics` prints all figures of each
/// budget.
fn log_granted_units() -> Metrics {
    let last_logged = Cell::new(None);
    Box::new(move |budgets| {
        let sum = |units: fn(&BudgetReport) -> u32| budgets.values().map(units).fold(0, u32::saturating_add);
        let current = GrantedUnits {
            granted: sum(|figures| figures.granted),
            in_doubt: sum(|figures| figures.unreturned),
        };
        if last_logged.replace(Some(current)) != Some(current) {
            tracing::debug!(
                granted = current.granted,
                in_doubt = current.in_doubt,
                "granted units of all budgets changed"
            );
        }
    })
}
