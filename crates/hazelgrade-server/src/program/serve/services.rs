//! The parts of an instance, made and joined to each other. Nothing runs yet.

use crate::program::configuration::Deployment;
use crate::routing::callers::Callers;
use crate::routing::context::RequestContext;
use crate::routing::controller_driver::ControllerDriver;
use crate::routing::counters::Counters;
use crate::routing::dependency_calls::DependencyCalls;
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

/// Idle connections to the dependency are closed after this; it drops them early itself, and opening one costs little.
const DEPENDENCY_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The parts of an instance.
pub struct Services {
    /// The executor of all tasks.
    pub tasks: Rc<LocalExecutor<'static>>,
    pub registry: Rc<Registry>,
    pub rounds: Rc<ControllerDriver>,
    pub parts: Rc<RequestContext>,
    pub front: Rc<FrontEnd>,
    /// Set once shutdown is requested; heartbeats say not ready from then on.
    pub is_draining: Rc<Cell<bool>>,
}

impl Services {
    /// # Errors
    /// The address of the registry, if no socket can be opened for it.
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
        let hand = Rc::new(InFlightTable::default());
        let result_cache = Rc::new(ResultCache::new(deployment.max_result_cache_bytes()));
        let link = Rc::new(ExecutorLink::new(addresses.executor));
        let rounds = Rc::new(ControllerDriver::new(
            controller,
            host_settings.tick,
            hand.clone(),
            result_cache.clone(),
            link.clone(),
        ));
        if let Some(test_faults) = test_faults {
            tracing::warn!(?test_faults, "this node has faults injected, for tests");
            rounds.clock.skew(test_faults.clock_offset_ms, test_faults.clock_rate);
        }
        let max_connections = deployment.max_dependency_connections();
        let database = addresses
            .database
            .map(|address| Database::new(address, max_connections, DEPENDENCY_IDLE_TIMEOUT));
        let calls = Rc::new(DependencyCalls::new(database, hand.clone(), tasks.clone()));
        let parts = Rc::new(RequestContext {
            driver: rounds.clone(),
            in_flight: hand,
            result_cache,
            dependency_calls: calls,
            executor: link,
            settings: RefCell::new(Rc::new(host_settings)),
            counters: RefCell::new(Counters::default()),
            callers: Callers::default(),
        });
        let front = Rc::new(FrontEnd {
            context: parts.clone(),
            connections: ClientConnections::new(deployment.max_client_connections()),
            tasks: tasks.clone(),
            invalid_messages: Cell::new(0),
            tls: Rc::new(Tls::default()),
        });
        let is_draining = Rc::default();
        Ok(Services { tasks, registry: Rc::new(registry), rounds, parts, front, is_draining })
    }

    /// What turns messages of the executor into events of jobs.
    pub fn notices(&self) -> ExecutorEvents {
        let RequestContext { driver: rounds, in_flight: hand, executor: link, settings: site, .. } =
            &*self.parts;
        ExecutorEvents::new(rounds.clone(), hand.clone(), link.clone(), &site.borrow().gauge_names)
    }

    /// Runs a task until the exit.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }
}
