//! Creates the components of an instance and connects them to each other, without running any task.

use crate::program::configuration::Deployment;
use crate::routing::callers::Callers;
use crate::routing::context::RequestContext;
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::counters::Counters;
use crate::routing::dependency_calls::DependencyCalls;
use crate::routing::event_log::EventLog;
use crate::routing::executor_events::ExecutorEvents;
use crate::routing::front_end::FrontEnd;
use crate::routing::in_flight::InFlightTable;
use crate::routing::result_cache::ResultCache;
use crate::transport::clients::ClientConnections;
use crate::transport::database::Database;
use crate::transport::executor::ExecutorLink;
use crate::transport::registry::Registry;
use crate::transport::tls::Tls;
use async_executor::LocalExecutor;
use hazelgrade_config::operator::TestFaults;
use hazelgrade_settings::DecodedSettings;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Connections to the dependency are closed after being idle for this long. The timeout can be short because the
/// dependency itself closes idle connections early, and opening a connection costs little.
const DEPENDENCY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The components of an instance.
pub struct Services {
    /// The async executor that runs all tasks of the instance.
    pub tasks: Rc<LocalExecutor<'static>>,
    /// Sends heartbeats to the registry.
    pub registry: Rc<Registry>,
    /// Runs the controller.
    pub driver: Rc<ControllerDriver>,
    /// The components and settings that all jobs and connections share.
    pub context: Rc<RequestContext>,
    /// Serves the client connections.
    pub front_end: Rc<FrontEnd>,
    /// Whether shutdown was requested. Heartbeats report "not ready" from then on.
    pub is_draining: Rc<Cell<bool>>,
}

impl Services {
    /// Creates the components of an instance.
    ///
    /// # Errors
    /// Returns an error that names the address of the registry if no socket can be opened for that address.
    pub fn new(
        deployment: &Deployment,
        settings: DecodedSettings,
        test_faults: Option<TestFaults>,
    ) -> Result<Services, String> {
        let DecodedSettings { controller, host: host_settings } = settings;
        let addresses = deployment.addresses;
        let registry = Registry::new(addresses.registry)
            .map_err(|error| format!("field registry: {}: {error}", addresses.registry))?;
        tracing::info!(name = deployment.name, listen = %deployment.listen, "started");
        let tasks = Rc::new(LocalExecutor::new());
        let in_flight = Rc::new(InFlightTable::default());
        let result_cache = Rc::new(ResultCache::new(deployment.max_result_cache_bytes()));
        let executor = Rc::new(ExecutorLink::new(addresses.executor));
        let driver = Rc::new(ControllerDriver::new(
            controller,
            host_settings.tick,
            in_flight.clone(),
            result_cache.clone(),
            executor.clone(),
        ));
        if let Some(test_faults) = test_faults {
            tracing::warn!(?test_faults, "test faults are injected into this node");
            driver.clock.skew(test_faults.clock_offset_ms, test_faults.clock_rate);
        }
        let max_connections = deployment.max_dependency_connections();
        let database = addresses
            .database
            .map(|address| Database::new(address, max_connections, DEPENDENCY_IDLE_TIMEOUT));
        let dependency_calls = Rc::new(DependencyCalls::new(database, in_flight.clone(), tasks.clone()));
        let context = Rc::new(RequestContext {
            driver: driver.clone(),
            in_flight,
            result_cache,
            started_jobs: RefCell::default(),
            dependency_calls,
            executor,
            settings: RefCell::new(Rc::new(host_settings)),
            counters: RefCell::new(Counters::default()),
            callers: Callers::default(),
            event_log: EventLog::default(),
        });
        let front_end = Rc::new(FrontEnd {
            context: context.clone(),
            connections: ClientConnections::new(
                deployment.max_client_connections(),
                deployment.max_unwritten_bytes(),
            ),
            tasks: tasks.clone(),
            invalid_messages: Cell::new(0),
            tls: Rc::new(Tls::default()),
        });
        let is_draining = Rc::default();
        Ok(Services { tasks, registry: Rc::new(registry), driver, context, front_end, is_draining })
    }

    /// Returns a handler of the executor's events.
    pub fn executor_events(&self) -> ExecutorEvents {
        let RequestContext { driver, in_flight, executor, settings, .. } = &*self.context;
        ExecutorEvents::new(
            driver.clone(),
            in_flight.clone(),
            executor.clone(),
            &settings.borrow().gauge_names,
        )
    }

    /// Spawns a task that runs until the process exits or the task completes.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }
}
