//! Runs one service instance from its start to its exit.
//!
//! [`serve`] starts the instance, and [`super::drain`] shuts it down.

mod bind;
mod reports;
mod services;
mod signals;

pub use signals::install as install_signals;

use super::configuration::Deployment;
use super::drain::{self, DrainNotifiers};
use super::logging::LevelHandle;
use super::reload::Reload;
use super::serving_document::{InitialConfiguration, ServingContext};
use super::{budgets, identity, tls};
use crate::routing::executor_events::ExecutorEvents;
use crate::transport::listener;
use async_executor::Task;
use async_io::{Async, block_on};
use async_signal::Signals;
use bind::Bound;
use futures_lite::future::or;
use hazelgrade::api::ServiceLimits;
use hazelgrade_config::OperatorConfig;
use hazelgrade_config::operator::{BudgetConfig, IdentityConfig, StreamConfig};
pub use services::Services;
use signals::{Reloader, ShutdownRequest};
use std::cell::Cell;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use tracing::level_filters::LevelFilter;

/// The log level of the program, which serving documents may change.
pub struct LogLevel {
    /// Changes the log level while the program runs.
    pub handle: LevelHandle,
    /// The log level set on the command line.
    pub default: LevelFilter,
}

/// The inputs of a service instance, taken from the command line and the files that it names.
pub struct ServeOptions {
    /// The platform's configuration.
    pub deployment: Deployment,
    /// The file from which the deployment was read. SIGHUP reads the file again.
    pub configuration_path: PathBuf,
    /// The decoded operator's file.
    pub operator: OperatorConfig,
    /// The log level of the program.
    pub log_level: LogLevel,
    /// The signals received by the process, caught since before the configuration was read.
    pub signals: Signals,
}

/// Serves until SIGTERM or SIGINT, then drains. SIGHUP reloads files at any time until the exit. Returns `Ok(true)` if
/// every answer was written.
///
/// With `[stream]` in the operator's file, job classes, tenants, limits and addresses come from serving documents, and
/// the job classes and tenants of the deployment are ignored.
///
/// # Errors
/// Returns an error that names the invalid field of a file, or the address that can't be used. No job was served.
pub fn serve(options: ServeOptions) -> Result<bool, String> {
    let ServeOptions { mut deployment, configuration_path, operator, log_level, mut signals } = options;
    let initial = open_initial_configuration(&operator, &mut deployment)?;
    let settings = hazelgrade_settings::decode(&deployment.settings, deployment.seed)
        .map_err(|error| format!("settings: {error}"))?;
    let (listener, reload_requested) = match bind::bind(deployment.listen, &mut signals)? {
        Bound::Listening { listener, reload_requested } => (listener, reload_requested),
        Bound::ShutdownRequested => {
            tracing::info!("shutdown requested before the listening socket was open; exiting");
            return Ok(true);
        }
    };
    let default_limits = settings.host.limits.clone();
    let services = Services::new(&deployment, settings, operator.test_faults)?;
    let executor_events = services.executor_events();
    if let Some(config) = &operator.tls {
        tls::load(config, &services.front_end.tls, &services.context)?;
    }
    let instance = Instance { deployment, services, drain_notifiers: DrainNotifiers::default() };

    instance.start_reports();
    let reload = Rc::new(instance.new_reload(configuration_path));
    instance.start_identity(operator.identity.as_ref(), operator.stream.as_ref(), initial.as_ref())?;
    let clock_rate = operator.test_faults.map_or(1.0, |faults| faults.clock_rate);
    instance.start_budgets(
        operator.budgets.as_ref(),
        operator.stream.as_ref(),
        initial.as_ref(),
        clock_rate,
    )?;
    if let Some((initial, stream)) = initial.zip(operator.stream.as_ref()) {
        instance.start_serving_documents(initial, stream, &reload, log_level, default_limits);
    }
    instance.start_driver(executor_events);
    let listener = Rc::new(listener);
    let accepting = instance.start_accepting(&listener);

    let Instance { deployment, services, drain_notifiers } = instance;
    let shutdown = ShutdownRequest::default();
    let reloader = Reloader::new(&operator, reload, &services);
    let handle_signals = signals::handle(signals, reload_requested, &reloader, &shutdown, &services.driver);
    let serve_and_drain = async {
        let requested_at = shutdown.requested(&services.driver).await;
        let all_written =
            drain::drain(&services, &drain_notifiers, accepting, listener, requested_at, deployment.stop);
        Ok(all_written.await)
    };
    block_on(services.tasks.run(or(serve_and_drain, handle_signals)))
}

/// Opens the store of a node that subscribes to control services. The document that the node starts with may lower the
/// limits of the process.
fn open_initial_configuration(
    operator: &OperatorConfig,
    deployment: &mut Deployment,
) -> Result<Option<InitialConfiguration>, String> {
    let Some(stream) = &operator.stream else { return Ok(None) };
    let kill_at = operator.test_faults.and_then(|faults| faults.kill_at_store_change);
    let initial = InitialConfiguration::open(stream, &deployment.name, kill_at)?;
    deployment.lower_limits(initial.resource_limits());
    deployment.remove_job_classes_and_tenants();
    Ok(Some(initial))
}

/// An instance whose components are created. Each `start_*` method spawns tasks, which run once all of these methods
/// have returned.
struct Instance {
    deployment: Deployment,
    services: Services,
    drain_notifiers: DrainNotifiers,
}

impl Instance {
    /// Starts the heartbeats, the periodic log summary, and the enforcement of client timeouts.
    fn start_reports(&self) {
        let Services { driver, registry, front_end, is_draining, .. } = &self.services;
        let readiness_follows_health = self.services.context.settings.borrow().readiness_follows_health;
        let heartbeat = reports::Heartbeat {
            registry: registry.clone(),
            node: self.deployment.name.clone(),
            driver: driver.clone(),
            is_draining: is_draining.clone(),
            readiness_follows_health,
        };
        self.services.spawn(async move { heartbeat.run().await });
        let summarized = front_end.clone();
        self.services.spawn(async move { reports::log_summaries(&summarized).await });
        let watched = front_end.clone();
        self.services.spawn(async move { watched.connections.enforce_timeouts().await });
    }

    fn new_reload(&self, configuration_path: PathBuf) -> Reload {
        let addresses = self.deployment.addresses;
        Reload {
            configuration_path,
            start_fields: self.deployment.start_fields.clone(),
            calls_dependency: addresses.database.is_some(),
            file_addresses: Cell::new(addresses),
            streamed_addresses: Cell::default(),
            executor: self.services.context.executor.clone(),
            dependency_calls: self.services.context.dependency_calls.clone(),
            registry: self.services.registry.clone(),
            driver: self.services.driver.clone(),
        }
    }

    fn start_identity(
        &self,
        config: Option<&IdentityConfig>,
        stream: Option<&StreamConfig>,
        initial: Option<&InitialConfiguration>,
    ) -> Result<(), String> {
        let Some(config) = config else { return Ok(()) };
        let Services { context, tasks, .. } = &self.services;
        let subscription = identity::start(config, stream, initial, &self.deployment, context)?;
        if let Some((subscription, stream)) = subscription.zip(stream) {
            let draining = self.drain_notifiers.identity.clone();
            subscription.started.follow(subscription.host, stream, tasks, draining);
        }
        let audited = context.clone();
        self.services.spawn(async move { identity::log_denied_requests(&audited).await });
        Ok(())
    }

    fn start_budgets(
        &self,
        config: Option<&BudgetConfig>,
        stream: Option<&StreamConfig>,
        initial: Option<&InitialConfiguration>,
        clock_rate: f64,
    ) -> Result<(), String> {
        let Some(((config, stream), initial)) = config.zip(stream).zip(initial) else { return Ok(()) };
        let Services { context, tasks, .. } = &self.services;
        let subscription = budgets::start(config, stream, initial, &self.deployment, context, clock_rate)?;
        let draining = self.drain_notifiers.budgets.clone();
        subscription.started.follow(subscription.host, stream, tasks, draining);
        Ok(())
    }

    fn start_serving_documents(
        &self,
        initial: InitialConfiguration,
        stream: &StreamConfig,
        reload: &Rc<Reload>,
        log_level: LogLevel,
        default_limits: ServiceLimits,
    ) {
        let Services { context, tasks, .. } = &self.services;
        let serving_context = ServingContext {
            node: self.deployment.name.clone(),
            request_context: context.clone(),
            reload: reload.clone(),
            log_level: log_level.handle,
            default_log_level: log_level.default,
            default_limits,
            calls_dependency: context.settings.borrow().calls_dependency,
        };
        let subscription = initial.start(stream, &self.deployment, serving_context);
        subscription.started.follow(subscription.host, stream, tasks, self.drain_notifiers.serving.clone());
    }

    /// Starts the link to the executor and the rounds of the controller.
    fn start_driver(&self, executor_events: ExecutorEvents) {
        let Services { driver, tasks, .. } = &self.services;
        let link_tasks = tasks.clone();
        self.services.spawn(async move { executor_events.run(&link_tasks).await });
        let driver = driver.clone();
        self.services.spawn(async move { driver.run().await });
    }

    fn start_accepting(&self, listener: &Rc<Async<TcpListener>>) -> Task<()> {
        let listener = listener.clone();
        let front_end = self.services.front_end.clone();
        let accept = async move {
            listener::accept(&listener, &front_end.connections, |accepted| front_end.start(accepted)).await
        };
        self.services.tasks.spawn(accept)
    }
}
