//! `control`: runs a control service, which publishes documents and may be the lessor of a site's budgets.

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

/// Subscribers admitted per second. A fleet of a thousand reconnects within seconds, and one core is not fully used.
const DEFAULT_ADMITTED_PER_S: f64 = 200.0;

/// Subscribers admitted at once after a quiet period, as a ratio of those admitted per second.
const ADMISSION_BURST_RATIO: f64 = 0.25;

/// The arguments of `control`.
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

    /// Runs until SIGTERM or SIGINT. Nodes continue with their last documents after that.
    pub fn run(self) -> Result<(), String> {
        let log = logging::start(self.log_level);
        let ended = run_until_signal(self.config);
        drop(log);
        ended
    }
}

fn parse_lessor(arguments: &mut Arguments) -> Result<Option<lessor_service::LessorConfig>, pico_args::Error> {
    let Some(site) = arguments.opt_value_from_str("--keeper")? else { return Ok(None) };
    let peers = arguments.values_from_fn("--peer", |text: &str| {
        let expected = || "expected SITE=ADDRESS".to_owned();
        let (site, address) = text.split_once('=').ok_or_else(expected)?;
        let address = address.parse().map_err(|_| expected())?;
        Ok::<_, String>((site.to_owned(), address))
    })?;
    let kill_at = arguments.opt_value_from_str("--keeper-dies-at-for-tests-only")?;
    Ok(Some(lessor_service::LessorConfig { site, peers, kill_at }))
}

fn run_until_signal(config: ControlServiceConfig) -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int]);
    let mut signals = signals.map_err(|error| format!("signals: {error}"))?;
    let tasks = Rc::new(LocalExecutor::new());
    let serving = control_service::serve(tasks.clone(), config, log_granted_units());
    let serving = async { serving.await.map_err(|error| error.to_string()) };
    let signalled = async {
        signals.next().await;
        Ok(())
    };
    async_io::block_on(tasks.run(or(serving, signalled)))
}

/// Units of all budgets together.
#[derive(Clone, Copy, PartialEq)]
struct GrantedUnits {
    granted: u32,
    in_doubt: u32,
}

/// Logs the granted units whenever they change. `budget metrics` prints all figures.
fn log_granted_units() -> Metrics {
    let before = Cell::new(None);
    Box::new(move |budgets| {
        let sum = |units: fn(&BudgetReport) -> u32| budgets.values().map(units).fold(0, u32::saturating_add);
        let now = GrantedUnits {
            granted: sum(|figures| figures.granted),
            in_doubt: sum(|figures| figures.unreturned),
        };
        if before.replace(Some(now)) != Some(now) {
            tracing::debug!(granted = now.granted, in_doubt = now.in_doubt, "budgets");
        }
    })
}
